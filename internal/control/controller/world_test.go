package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/departures"
	"raventrestle/internal/control/registry"
	"raventrestle/internal/protocol"
)

// world simulates instances, routers and endpoints on a network in virtual time. It checks at each answer to an endpoint
// that what is acknowledged as in force is in force.
type world struct {
	now         time.Time
	random      *rand.Rand
	instances   []*instance
	routers     []*router
	endpoints   []*endpoint
	inTransit   []delivery
	partitioned map[[2]int]bool // pairs of instances, the lower number first
	loss        float64         // share of the messages between instances that are lost
	calm        bool            // no call is late any more
	tickets     uint64
	calls       map[uint64]call  // that wait for their answers
	departures  departures.Table // as committed
	faults      []string
	inForce     int // answers to drains and deregistrations, by result
	notInForce  int
	rejected    int
	next        uint64 // incarnations and connections
}

type instance struct {
	number     int
	address    string
	controller *Controller
	wakeAt     time.Time
	departures departures.Table // as its replica has applied them
	reach      []string         // other instances, as it noticed last
	contact    time.Time        // newest contact with a majority

	proving  time.Time // of the contact that will be proved next, if it lasts; zero: none
	provenAt time.Time
}

// delivery is a message in transit.
type delivery struct {
	at      time.Time
	order   uint64
	deliver func()
}

const (
	worldStep      = 5 * time.Millisecond
	worldHeartbeat = 1200 * time.Millisecond
	worldProof     = 250 * time.Millisecond // a contact is proved after this time at most
)

func newWorld(seed uint64, instances, routers, endpoints int) *world {
	w := &world{
		now:         time.Unix(1000, 0),
		random:      rand.New(rand.NewPCG(seed, seed)),
		partitioned: make(map[[2]int]bool),
		calls:       make(map[uint64]call),
	}
	for n := range instances {
		w.instances = append(w.instances, &instance{number: n, address: fmt.Sprintf("c%d", n)})
	}
	for n := range instances {
		w.restart(n)
	}
	for n := range routers {
		w.routers = append(w.routers, &router{number: n, home: -1, table: make(map[string]protocol.Endpoint)})
	}
	for range endpoints {
		w.addEndpoint(fmt.Sprintf("address%d", len(w.endpoints)))
	}
	return w
}

func (w *world) restart(n int) {
	i := w.instances[n]
	w.next++
	origin := protocol.Origin{Address: i.address, Incarnation: w.next}
	endpoints := registry.New(registry.Config{Origin: origin, Heartbeat: worldHeartbeat}, w.now)
	i.controller = New(Config{Origin: origin}, endpoints, w.now)
	i.reach, i.wakeAt = nil, w.now
	i.contact, i.proving = time.Time{}, time.Time{}
	w.observeReach(n)
	for _, r := range w.routers {
		if r.home == n {
			r.disconnect(w.now)
		}
	}
}

func (w *world) connected(a, b int) bool {
	return a == b || !w.partitioned[[2]int{min(a, b), max(a, b)}]
}

func (w *world) reachable(n int) []string {
	var reach []string
	for _, other := range w.instances {
		if other.number != n && w.connected(n, other.number) {
			reach = append(reach, other.address)
		}
	}
	return reach
}

func (w *world) later(minDelay, maxDelay time.Duration, deliver func()) {
	w.next++
	delay := minDelay + time.Duration(w.random.Int64N(int64(maxDelay-minDelay)))
	w.inTransit = append(w.inTransit, delivery{at: w.now.Add(delay), order: w.next, deliver: deliver})
}

// run lets time pass.
func (w *world) run(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); {
		w.now = w.now.Add(worldStep)
		w.arrive()
		w.sendHeartbeats()
		w.subscribe()
		for n, i := range w.instances {
			if w.random.IntN(40) == 0 { // a partition is noticed a while after it began
				w.notice(n)
			}
			if !w.now.Before(i.wakeAt) {
				w.step(n)
			}
		}
	}
}

func (w *world) notice(n int) {
	i := w.instances[n]
	if reach := w.reachable(n); !slices.Equal(reach, i.reach) {
		i.reach = reach
		w.observeReach(n)
	}
}

func (w *world) observeReach(n int) {
	w.step(n, ReplicaChanged{})
}

// status is what the replica of an instance publishes: who is live as it noticed last, and its contact with a majority.
func (w *world) status(n int) replica.Status {
	i := w.instances[n]
	status := replica.Status{View: replica.View{Epoch: 1}, ConfirmedAt: w.confirm(n)}
	for _, other := range w.instances {
		member := replica.Member{Identity: other.address, Address: other.address}
		status.View.Voters = append(status.View.Voters, member)
		if other == i {
			status.Self = member
		}
		if other == i || slices.Contains(i.reach, other.address) {
			status.LiveMembers = append(status.LiveMembers, member)
		}
	}
	status.View.Chain = status.View.Voters
	return status
}

// confirm notes contact with a majority, as the replica would: it proves a moment that is some time ago.
func (w *world) confirm(n int) time.Time {
	i := w.instances[n]
	if !w.hasMajority(n) {
		i.proving = time.Time{}
		return i.contact
	}
	if i.proving.IsZero() {
		i.proving = w.now
		i.provenAt = w.now.Add(time.Duration(w.random.Int64N(int64(worldProof))))
	}
	if !w.now.Before(i.provenAt) {
		i.contact, i.proving = i.proving, time.Time{}
	}
	return i.contact
}

func (w *world) arrive() {
	var due []delivery
	kept := w.inTransit[:0]
	for _, f := range w.inTransit {
		if f.at.After(w.now) {
			kept = append(kept, f)
			continue
		}
		due = append(due, f)
	}
	w.inTransit = kept
	for _, f := range due {
		f.deliver()
	}
}

// step lets one instance work and carries out its output.
func (w *world) step(n int, events ...Event) {
	i := w.instances[n]
	controller := i.controller
	replicated := ReplicatedState{Status: w.status(n)}
	replicated.Departures = w.appliedDepartures(n)
	output := controller.Step(w.now, Input{Replicated: replicated, Events: events, TimeOfDay: w.now})
	i.wakeAt = output.WakeAt
	for _, closing := range output.Close {
		for _, r := range w.routers {
			if r.home == n && r.connection == closing.Connection {
				r.disconnect(w.now)
			}
		}
	}
	for _, message := range output.RouterMessages {
		w.toRouter(n, message)
	}
	for _, message := range output.PeerMessages {
		w.toPeer(n, message)
	}
	for _, answer := range output.Answers {
		w.acknowledged(n, answer)
	}
	for _, proposal := range output.Proposals {
		w.propose(n, controller, proposal)
	}
	if output.StartBarrier != 0 {
		number := output.StartBarrier
		w.later(time.Millisecond, 10*time.Millisecond, func() {
			if w.instances[n].controller == controller {
				w.step(n, BarrierFinished{Number: number, Succeeded: true})
			}
		})
	}
}

// appliedDepartures returns what the replica of an instance has applied: all that is committed, while it has a majority.
func (w *world) appliedDepartures(n int) departures.Table {
	i := w.instances[n]
	if w.hasMajority(n) {
		i.departures = w.departures
	}
	return i.departures
}

func (w *world) hasMajority(n int) bool { return 2*(len(w.reachable(n))+1) > len(w.instances) }

// propose commits a departure, unless the instance has no majority.
func (w *world) propose(n int, controller *Controller, proposal Proposal) {
	finish := func(succeeded bool) func() {
		return func() {
			if succeeded {
				w.departures = w.departures.Record(proposal.Departure)
			}
			if w.instances[n].controller == controller {
				w.step(n, DepartureRecorded{RequestID: proposal.RequestID, Succeeded: succeeded})
			}
		}
	}
	if w.hasMajority(n) {
		w.later(time.Millisecond, 50*time.Millisecond, finish(true))
		return
	}
	w.later(RecordTimeout-time.Millisecond, RecordTimeout, finish(false))
}

func (w *world) toPeer(from int, message registry.Send) {
	if w.random.Float64() < w.loss {
		return
	}
	for n, i := range w.instances {
		if i.address != message.To {
			continue
		}
		w.later(time.Millisecond, 12*time.Millisecond, func() {
			if w.connected(from, n) {
				w.step(n, MessageReceived{Message: message.Message})
			}
		})
	}
}
