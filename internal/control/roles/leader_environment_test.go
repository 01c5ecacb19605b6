package roles

import (
	"context"
	"sync"
	"testing"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/configuration"
	"raventrestle/internal/control/host"
	"raventrestle/internal/control/placer"
	"raventrestle/internal/control/replicatest"
	"raventrestle/internal/control/shares"
	"raventrestle/internal/control/state"
	"raventrestle/internal/protocol"
)

const testTimeout = 10 * time.Second // limit of every wait in a test

// environment implements all collaborators of a leader. It records what the leader does and returns what the test has set.
type environment struct {
	replica        *replicatest.Double
	machine        *state.Machine
	placerInputs   chan placer.Input
	loadingTables  chan protocol.LoadingTable
	proposals      chan proposal
	began          chan uint64 // epochs
	ended          chan uint64 // epochs
	placersIdleFor chan time.Duration

	mutex  sync.Mutex
	view   host.View
	orders []placer.Order // returned by the placer's next step
}

// proposal is a proposed assignment of shares.
type proposal struct {
	sequence uint64
	err      error
}

func (e *environment) View(context.Context) (host.View, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.view, nil
}

func (e *environment) setView(view host.View) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.view = view
}

func (e *environment) setOrders(orders ...placer.Order) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.orders = orders
}

func (e *environment) Current() *configuration.Configuration      { return &configuration.Configuration{} }
func (e *environment) Shares() shares.Table                       { return e.machine.Shares() }
func (e *environment) PublishLoading(table protocol.LoadingTable) { e.loadingTables <- table }
func (e *environment) SharesProposed(sequence uint64, err error) {
	e.proposals <- proposal{sequence, err}
}

func (e *environment) LeadershipBegan(epoch uint64, _ time.Duration) { e.began <- epoch }

func (e *environment) LeadershipEnded(epoch uint64) { e.ended <- epoch }

func (e *environment) OrderCompleted(uint64, placer.Order, placer.Outcome, error) {}

func (e *environment) newPlacer(idleFor time.Duration) Placer {
	e.placersIdleFor <- idleFor
	return fakePlacer{e}
}

type fakePlacer struct{ *environment }

func (p fakePlacer) Step(now time.Time, in placer.Input) placer.Output {
	p.mutex.Lock()
	out := placer.Output{Orders: p.orders, WakeAt: now.Add(20 * time.Millisecond)}
	p.orders = nil
	p.mutex.Unlock()
	p.placerInputs <- in
	return out
}

// testLease is short so that the tests are fast.
const testLease = 200 * time.Millisecond

// startLeader starts a leader and stops it at the end of the test.
func startLeader(t *testing.T, status replica.Status) (*environment, *Leader) {
	t.Helper()
	const capacity = 4096 // more than any test records
	machine := state.New()
	e := &environment{
		replica:        replicatest.New(machine, status),
		machine:        machine,
		placerInputs:   make(chan placer.Input, capacity),
		loadingTables:  make(chan protocol.LoadingTable, capacity),
		proposals:      make(chan proposal, capacity),
		began:          make(chan uint64, capacity),
		ended:          make(chan uint64, capacity),
		placersIdleFor: make(chan time.Duration, capacity),
	}
	leader := New(Config{NodeName: "node-7", Lease: testLease}, Dependencies{
		Replica: e.replica, Host: e, Configurations: e, NewPlacer: e.newPlacer, Events: e,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		leader.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return e, leader
}

func leaderStatusNow(epoch uint64) replica.Status {
	now := time.Now()
	return leaderStatus(epoch, now, time.Time{}, now.Add(time.Hour))
}

// await receives values from a channel until one matches.
func await[T any](t *testing.T, description string, from <-chan T, matches func(T) bool) T {
	t.Helper()
	deadline := time.After(testTimeout)
	for {
		select {
		case got := <-from:
			if matches(got) {
				return got
			}
		case <-deadline:
			t.Fatalf("%s: none in %v, want one", description, testTimeout)
		}
	}
}

func anyOf[T any](T) bool { return true }

func equalTo[T comparable](want T) func(T) bool { return func(got T) bool { return got == want } }
