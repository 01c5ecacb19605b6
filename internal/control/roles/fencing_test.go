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

// Holders of the roles run on the simulated chain, with all its faults: they are cut off, frozen, restarted, wiped and
// replaced, and their orders take their time. An endpoint that does not check fences judges what arrives.

// counter is a replicated machine without a content.
type counter struct{}

func (counter) Apply(uint64, []byte) []byte { return nil }
func (counter) Snapshot() []byte            { return nil }
func (counter) Restore([]byte) error        { return nil }

// thawTime is thaw_ms of the pages: what arrives so soon after its sender thawed does not count.
const thawTime = 300 * time.Millisecond

// fencing is one history.
type fencing struct {
	site     *simnet.Cluster
	hosts    map[int]*holding
	arrivals []arrival
	frozen   map[int]time.Duration // by machine: when it was last seen standing still
	failure  error
	orders   int
	handed   int // changes of holder

	// Planted faults.
	hasty   bool // no pause after the former holder's lease
	patient bool // an order may be on its way for longer than the pause
}

// holding is the life of one process. It has one order at a time for the endpoint.
type holding struct {
	life   int
	tenure *Leadership
	busy   bool
}

type arrival struct {
	at      time.Duration
	machine int
	epoch   uint64
}

// shortLease is lease_ms here, so that the role changes often.
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

// run looks at every machine again and again until the clients' time is over.
func (f *fencing) run() {
	const every = 30 * time.Millisecond
	if f.site.Now() >= f.site.ClientsUntil {
		return
	}
	for machine := range f.site.Machines() {
		f.look(machine)
	}
	f.site.After(every, f.run)
}

func (f *fencing) look(machine int) {
	process, awake := f.site.Process(machine)
	if !awake {
		f.frozen[machine] = f.site.Now()
		return
	}
	now := instant(process.Now)
	h := f.hosts[machine]
	if h == nil || h.life != process.Incarnation {
		h = &holding{life: process.Incarnation, tenure: NewLeadership(shortLease, now)}
		f.hosts[machine] = h
	}
	status := statusOf(process.Status)
	if f.hasty {
		status.PreviousLeaseExpiry, status.LeaderSince = now.Add(-shortLease), now.Add(-shortLease)
	}
	if turn := h.tenure.Step(now, status); turn.MayAct && !h.busy {
		h.busy = true
		f.dial(machine, h, turn.Epoch)
	}
}

// dial takes a while; a process that stands still then goes on when it thaws.
func (f *fencing) dial(machine int, h *holding, epoch uint64) {
	began := f.site.Now()
	within := orderTime(shortLease)
	if f.patient {
		within = 5 * shortLease
	}
	var write func()
	write = func() {
		process, awake := f.site.Process(machine)
		switch {
		case !f.site.Running(machine, h.life):
			return // its connection is gone with it
		case !awake:
			f.site.After(time.Millisecond, write)
			return
		case f.site.Now()-began > within:
			h.busy = false // given up
			return
		}
		status := statusOf(process.Status)
		until := instant(process.Now).Add(leaseReserve)
		if !status.IsLeader || status.View.Epoch != epoch || !until.Before(status.LeaseExpiry) {
			h.busy = false // permitted says no
			return
		}
		f.arrive(machine, h, epoch, within-(f.site.Now()-began))
	}
	f.site.After(time.Duration(f.site.RandomInt(100))*time.Millisecond, write)
}

// arrive brings what was written to the endpoint, and its answer back, within the time in which the kernel cares for it.
func (f *fencing) arrive(machine int, h *holding, epoch uint64, left time.Duration) {
	late := time.Duration(f.site.RandomInt(5)) * time.Millisecond
	if f.site.RandomInt(2) == 0 {
		late = time.Duration(f.site.RandomInt(int(left/time.Millisecond)+1)) * time.Millisecond
	}
	f.site.After(late, func() {
		f.judge(arrival{at: f.site.Now(), machine: machine, epoch: epoch})
		h.busy = false
	})
}

// judge is the rule ONE at an endpoint that does not check fences.
func (f *fencing) judge(now arrival) {
	if stood, seen := f.frozen[now.machine]; seen && now.at-stood <= thawTime {
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
			f.fail("token %d of machine %d after %d", now.epoch, now.machine, before.epoch)
		case before.epoch == now.epoch && before.machine != now.machine:
			f.fail("token %d of machines %d and %d", now.epoch, now.machine, before.machine)
		case before.machine != now.machine:
			otherSince = true
		case otherSince && now.at-before.at < shortLease:
			f.fail("machine %d takes turns within %v", now.machine, now.at-before.at)
		}
	}
	if last := len(f.arrivals) - 1; last >= 0 && f.arrivals[last].machine != now.machine {
		f.handed++
	}
	f.arrivals = append(f.arrivals, now)
}

func (f *fencing) fail(format string, values ...any) {
	if f.failure == nil {
		f.failure = fmt.Errorf("at %v: %s", f.site.Now(), fmt.Sprintf(format, values...))
	}
}

func playFencing(seed uint64, f *fencing) error {
	f.hosts, f.frozen = map[int]*holding{}, map[int]time.Duration{}
	_, err := simnet.PlayHeadFaults(seed, func() engine.StateMachine { return counter{} }, func(site *simnet.Cluster) {
		f.site = site
		f.run()
	})
	if err != nil {
		return err
	}
	return f.failure
}

// TestOrdersAreFencedOnTheSimulatedChain plays FENCING_SEEDS seeds.
func TestOrdersAreFencedOnTheSimulatedChain(t *testing.T) {
	seeds := uint64(12)
	if text := os.Getenv("FENCING_SEEDS"); text != "" {
		more, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			t.Fatal(err)
		}
		seeds = more
	}
	orders, handed := 0, 0
	for seed := uint64(1); seed <= seeds; seed++ {
		f := &fencing{}
		if err := playFencing(seed, f); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		orders += f.orders
		handed += f.handed
	}
	t.Logf("%d histories, %d orders, %d changes of holder", seeds, orders, handed)
	if handed < int(seeds) {
		t.Error("the role hardly ever changes")
	}
}

// A holder that acts again after another one within a lease is found by TestHoldersNeverTakeTurnsWithinALease. The look
// at the lease right before an order leaves has no planted fault: an order's time bounds it as well.
func TestPlantedFaultsOfFencingAreFound(t *testing.T) {
	const seeds = 40
	for name, plant := range map[string]func() *fencing{
		"no pause between holders":     func() *fencing { return &fencing{hasty: true} },
		"orders longer than the pause": func() *fencing { return &fencing{patient: true} },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				if err := playFencing(seed, plant()); err != nil {
					t.Logf("found: seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("not found in %d histories", seeds)
		})
	}
}
