package roles

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/engine"
	"raventrestle/coordination/replica"
	"raventrestle/coordination/simnet"
)

// Leaders run on the simulated chain, with all its faults: they are partitioned, frozen, restarted, wiped and replaced, and
// their orders are delayed. An endpoint that does not check fencing tokens records what arrives, and the rule ONE is
// checked.

// emptyMachine is a replicated state machine without content.
type emptyMachine struct{}

func (emptyMachine) Apply(uint64, []byte) []byte { return nil }
func (emptyMachine) Snapshot() []byte            { return nil }
func (emptyMachine) Restore([]byte) error        { return nil }

// thawGracePeriod is thaw_ms of the operators' pages: an order that arrives so soon after its sender thawed does not count.
const thawGracePeriod = 300 * time.Millisecond

// fencingHistory is one simulated history and what arrived at the endpoint.
type fencingHistory struct {
	site          *simnet.Cluster
	processes     map[int]*simulatedProcess
	arrivals      []arrival
	frozen        map[int]time.Duration // by machine: when it was last seen frozen
	failure       error
	orders        int
	leaderChanges int

	// Injected faults.
	skipHandoverDelay bool // no delay after the former leader's lease
	unboundedOrders   bool // an order may be in flight for longer than the handover
}

// simulatedProcess is one incarnation of a process. It has one order at a time in flight.
type simulatedProcess struct {
	incarnation int
	leadership  *Leadership
	busy        bool
}

type arrival struct {
	at      time.Duration
	machine int
	epoch   uint64
}

// shortLease is lease_ms here, so that the leader changes often.
const shortLease = 1500 * time.Millisecond

var simulatedBegin = time.Unix(1000, 0)

func instant(at time.Duration) time.Time {
	if at == 0 {
		return time.Time{}
	}
	return simulatedBegin.Add(at)
}

func statusOf(s chain.Status) replica.Status {
	return replica.Status{
		View: s.View, IsLeader: s.IsLeader, LeaseExpiry: instant(s.LeaseExpiry), LeaderSince: instant(s.LeaderSince),
		PreviousLeaseExpiry: instant(s.PreviousLeaseExpiry),
	}
}

// run steps every machine periodically until the simulated time for clients is over.
func (f *fencingHistory) run() {
	const interval = 30 * time.Millisecond
	if f.site.Now() >= f.site.ClientsUntil {
		return
	}
	for machine := range f.site.Machines() {
		f.stepProcess(machine)
	}
	f.site.After(interval, f.run)
}

func (f *fencingHistory) stepProcess(machine int) {
	process, awake := f.site.Process(machine)
	if !awake {
		f.frozen[machine] = f.site.Now()
		return
	}
	now := instant(process.Now)
	h := f.processes[machine]
	if h == nil || h.incarnation != process.Incarnation {
		h = &simulatedProcess{incarnation: process.Incarnation, leadership: NewLeadership(shortLease, now)}
		f.processes[machine] = h
	}
	status := statusOf(process.Status)
	if f.skipHandoverDelay {
		status.PreviousLeaseExpiry, status.LeaderSince = now.Add(-shortLease), now.Add(-shortLease)
	}
	if out := h.leadership.Step(now, status); out.MayAct && !h.busy {
		h.busy = true
		f.dial(machine, h, out.Epoch)
	}
}

// dial takes a while, and longer when the process is frozen. The lease is checked right before the order is written.
func (f *fencingHistory) dial(machine int, h *simulatedProcess, epoch uint64) {
	began := f.site.Now()
	timeout := orderTimeout(shortLease)
	if f.unboundedOrders {
		timeout = 5 * shortLease
	}
	var write func()
	write = func() {
		process, awake := f.site.Process(machine)
		switch {
		case !f.site.Running(machine, h.incarnation):
			return // its connection has ended with it
		case !awake:
			f.site.After(time.Millisecond, write)
			return
		case f.site.Now()-began > timeout:
			h.busy = false // timed out
			return
		}
		status := statusOf(process.Status)
		until := instant(process.Now).Add(leaseSafetyMargin)
		if !status.IsLeader || status.View.Epoch != epoch || !until.Before(status.LeaseExpiry) {
			h.busy = false // as Leader.leaseHeld decides
			return
		}
		f.arrive(machine, h, epoch, timeout-(f.site.Now()-began))
	}
	f.site.After(time.Duration(f.site.RandomInt(100))*time.Millisecond, write)
}

// arrive delivers the order and the response before the kernel stops retransmitting.
func (f *fencingHistory) arrive(machine int, h *simulatedProcess, epoch uint64, remaining time.Duration) {
	delay := time.Duration(f.site.RandomInt(5)) * time.Millisecond
	if f.site.RandomInt(2) == 0 {
		delay = time.Duration(f.site.RandomInt(int(remaining/time.Millisecond)+1)) * time.Millisecond
	}
	f.site.After(delay, func() {
		f.checkArrival(arrival{at: f.site.Now(), machine: machine, epoch: epoch})
		h.busy = false
	})
}

// checkArrival checks the rule ONE at an endpoint that does not check fencing tokens.
func (f *fencingHistory) checkArrival(now arrival) {
	if frozenAt, wasFrozen := f.frozen[now.machine]; wasFrozen && now.at-frozenAt <= thawGracePeriod {
		return
	}
	f.orders++
	otherSince := false
	for i := len(f.arrivals) - 1; i >= 0; i-- {
		before := f.arrivals[i]
		if now.at-before.at > 4*shortLease {
			break
		}
		switch {
		case before.epoch > now.epoch:
			f.fail("token %d of machine %d after token %d, want tokens that only rise", now.epoch, now.machine, before.epoch)
		case before.epoch == now.epoch && before.machine != now.machine:
			f.fail("token %d of machines %d and %d, want it of one", now.epoch, now.machine, before.machine)
		case before.machine != now.machine:
			otherSince = true
		case otherSince && now.at-before.at < shortLease:
			f.fail("machine %d alternates after %v, want %v or more", now.machine, now.at-before.at, shortLease)
		}
	}
	if last := len(f.arrivals) - 1; last >= 0 && f.arrivals[last].machine != now.machine {
		f.leaderChanges++
	}
	f.arrivals = append(f.arrivals, now)
}

func (f *fencingHistory) fail(format string, values ...any) {
	if f.failure == nil {
		f.failure = fmt.Errorf("at %v: %s", f.site.Now(), fmt.Sprintf(format, values...))
	}
}

func runFencingHistory(seed uint64, f *fencingHistory) error {
	f.processes, f.frozen = map[int]*simulatedProcess{}, map[int]time.Duration{}
	_, err := simnet.PlayHeadFaults(seed, func() engine.StateMachine { return emptyMachine{} }, func(site *simnet.Cluster) {
		f.site = site
		f.run()
	})
	if err != nil {
		return err
	}
	return f.failure
}

// TestOrdersAreFencedOnTheSimulatedChain runs the histories of FENCING_SEEDS seeds.
func TestOrdersAreFencedOnTheSimulatedChain(t *testing.T) {
	seeds := uint64(12)
	if text := os.Getenv("FENCING_SEEDS"); text != "" {
		count, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			t.Fatal(err)
		}
		seeds = count
	}
	orders, leaderChanges := 0, 0
	for seed := uint64(1); seed <= seeds; seed++ {
		f := &fencingHistory{}
		if err := runFencingHistory(seed, f); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		orders += f.orders
		leaderChanges += f.leaderChanges
	}
	t.Logf("%d histories, %d orders, %d leader changes", seeds, orders, leaderChanges)
	if leaderChanges < int(seeds) {
		t.Errorf("%d leader changes in %d histories, want one each or more", leaderChanges, seeds)
	}
}

// TestInjectedFencingFaultsAreDetected has no fault for a leader that alternates with another in one lease, which
// TestLeadersNeverAlternateInOneLease detects, nor for the check of the lease right before an order leaves: the order
// timeout bounds it as well.
func TestInjectedFencingFaultsAreDetected(t *testing.T) {
	const seeds = 40
	for name, inject := range map[string]func() *fencingHistory{
		"no delay between leaders":        func() *fencingHistory { return &fencingHistory{skipHandoverDelay: true} },
		"orders longer than the handover": func() *fencingHistory { return &fencingHistory{unboundedOrders: true} },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				if err := runFencingHistory(seed, inject()); err != nil {
					t.Logf("detected: seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("not detected in %d histories, want it detected", seeds)
		})
	}
}
