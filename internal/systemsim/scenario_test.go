package systemsim

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// samples collects durations over seeds. It is safe for concurrent use.
type samples struct {
	lock      sync.Mutex
	durations []time.Duration
}

func (s *samples) add(d time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.durations = append(s.durations, d)
}

// log logs percentiles; a test without samples fails.
func (s *samples) log(t *testing.T, name string) {
	t.Helper()
	slices.Sort(s.durations)
	if len(s.durations) == 0 {
		t.Errorf("%s: no samples, want some", name)
		return
	}
	last := len(s.durations) - 1
	t.Logf("%s: p50 %v, p99 %v, largest %v of %d", name, roundToMilliseconds(s.durations[len(s.durations)/2]),
		roundToMilliseconds(s.durations[last*99/100]), roundToMilliseconds(s.durations[last]), len(s.durations))
}

func roundToMilliseconds(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// partitionLength is the length of the operators' partitions of one instance.
const partitionLength = 20 * time.Second

// scenario is a sequence of faults that broke a rule at the operators'.
type scenario struct {
	shape       PartitionShape
	preferred   bool // clients call the partitioned instance first
	restartSelf bool // the partitioned one first, then the others in any order
}

var scenarios = map[string]scenario{
	"symmetric":              {shape: Symmetric},
	"symmetric, preferred":   {shape: Symmetric, preferred: true},
	"outbound lost":          {shape: OutboundLost},
	"inbound lost":           {shape: InboundLost},
	"from other zones":       {shape: FromOtherZones},
	"from routers too":       {shape: FromRoutersToo},
	"total":                  {shape: Total},
	"symmetric, all restart": {shape: Symmetric, restartSelf: true},
	"from other zones, preferred, all restart": {shape: FromOtherZones, restartSelf: true, preferred: true},
}

// run simulates the scenario: the head is partitioned for 20 s; after 10 s the others restart, all in 0.6 s. Operators go
// on with changes meanwhile.
func (c scenario) run(seed uint64, mutant Mutant) error {
	setup := SetupOf(seed)
	setup.Mutant, setup.Trace = mutant, tracer(seed)
	w := NewWorld(setup)
	if err := w.Run(startupTime); err != nil {
		return err
	}
	x := w.head()
	w.After(partitionLength, w.partition(x, c.shape))
	if c.preferred {
		w.preferInstance(x)
	}
	if c.restartSelf {
		w.After(w.between(5*time.Second, 9*time.Second), func() { x.crash(); x.restartSoon() })
	}
	w.After(partitionLength/2, func() { w.restartOthers(x) })
	if err := w.Run(partitionLength + w.between(0, 3*time.Second)); err != nil {
		return err
	}
	return w.Finish()
}

func TestScenarios(t *testing.T) {
	for name, c := range scenarios {
		t.Run(name, func(t *testing.T) {
			eachSeed(*firstSeed, *scenarioCount, func(seed uint64) {
				if err := c.run(seed, NoMutant); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// TestNaiveRouterFailsTheScenarios runs them with routers that follow the first instance that answers: where they still
// reach the partitioned one, a rule is broken in nine of ten runs at least.
func TestNaiveRouterFailsTheScenarios(t *testing.T) {
	for name, c := range scenarios {
		if c.shape == FromRoutersToo || c.shape == Total {
			continue
		}
		var violations atomic.Int64
		eachSeed(*firstSeed, *scenarioCount, func(seed uint64) {
			if c.run(seed, FollowFirst) != nil {
				violations.Add(1)
			}
		})
		t.Logf("%s: a rule is broken in %d of %d runs", name, violations.Load(), *scenarioCount)
		if 10*violations.Load() < 9*int64(*scenarioCount) {
			t.Errorf("%s: a rule is broken in %d of %d runs, want nine of ten at least", name, violations.Load(), *scenarioCount)
		}
	}
}

// following returns the routers that are subscribed to an instance.
func (w *World) following(x *instance) []*router {
	nodes := x.host.controller.Routers()
	var list []*router
	for _, r := range w.routers {
		if slices.Contains(nodes, r.address) {
			list = append(list, r)
		}
	}
	return list
}

// measureNextProof collects how long each router takes from now until it has a proof of a later moment.
func (w *World) measureNextProof(routers []*router, into *samples) {
	since := w.Now()
	for _, r := range routers {
		var wait func()
		wait = func() {
			if r.confirmedAt > since {
				into.add(w.Now() - since)
				return
			}
			w.After(time.Millisecond, wait)
		}
		wait()
	}
}

// TestTimeToNextProof measures how long routers go without a later proof once the instance that they follow is partitioned,
// by the shape of the partition, and once a partition of all instances from each other is healed.
func TestTimeToNextProof(t *testing.T) {
	for _, shape := range []PartitionShape{Symmetric, OutboundLost, InboundLost, FromOtherZones, FromRoutersToo} {
		var leaving samples
		eachSeed(*firstSeed, *measuredCount, func(seed uint64) {
			w := NewWorld(SetupOf(seed))
			_ = w.Run(startupTime + w.between(0, time.Second))
			x := w.busiestInstance()
			followers := w.following(x)
			w.partition(x, shape)
			w.measureNextProof(followers, &leaving)
			if err := w.Run(8 * time.Second); err != nil {
				t.Error(err)
			}
		})
		leaving.log(t, "from the partition of an instance ("+string(shape)+") to a later proof at a router that followed it")
	}
	var healing, inForce samples
	eachSeed(*firstSeed, *measuredCount, func(seed uint64) {
		w := NewWorld(SetupOf(seed))
		_ = w.Run(startupTime)
		var heals []func()
		for _, i := range w.instances {
			heals = append(heals, w.partition(i, FromRoutersToo))
		}
		_ = w.Run(w.between(3*time.Second, 8*time.Second))
		for _, heal := range heals {
			heal()
		}
		w.measureNextProof(w.routers, &healing)
		w.measureNextVersion(&inForce)
		if err := w.Run(8 * time.Second); err != nil {
			t.Error(err)
		}
	})
	healing.log(t, "from the healing of partitions between all to a later proof at a router")
	inForce.log(t, "from the first version acknowledged after it to that version in force at a router")
}

// busiestInstance returns the instance to which the largest number of routers is subscribed.
func (w *World) busiestInstance() *instance {
	return slices.MaxFunc(w.instances, func(a, b *instance) int { return len(w.following(a)) - len(w.following(b)) })
}

// measureNextVersion collects how long each router takes to have the next version that is acknowledged in force.
func (w *World) measureNextVersion(into *samples) {
	acks := len(w.model.acks)
	for _, r := range w.routers {
		var wait func()
		wait = func() {
			if len(w.model.acks) > acks && r.generation >= w.model.acks[acks].newest {
				into.add(max(0, w.Now()-w.model.acks[acks].at))
				return
			}
			w.After(time.Millisecond, wait)
		}
		wait()
	}
}

// mutantSeeds is how many histories may pass until a mutant is found.
const mutantSeeds = 60

// TestMutantsAreFound simulates histories with mutants: each must break a rule.
func TestMutantsAreFound(t *testing.T) {
	for _, mutant := range []Mutant{FollowFirst, TrustAllBeacons, StampFresh, DrainWithoutContact, ForgetDepartures} {
		t.Run(string(mutant), func(t *testing.T) {
			for seed := *firstSeed; seed < *firstSeed+mutantSeeds; seed++ {
				if _, err := simulated(seed, mutant); err != nil {
					t.Logf("found: %v", err)
					return
				}
			}
			t.Errorf("found in 0 of %d histories, want 1 at least", mutantSeeds)
		})
	}
}

// maxDrainTimeWithoutFaults bounds how long an endpoint waits for the acknowledgement of its end without faults. It calls
// another instance after a second.
const maxDrainTimeWithoutFaults = 700 * time.Millisecond

// TestDrainTimesWithoutFaults: proofs and other instances' acknowledgements must not make endpoints wait without faults.
func TestDrainTimesWithoutFaults(t *testing.T) {
	var taken samples
	eachSeed(*firstSeed, *measuredCount, func(seed uint64) {
		w := NewWorld(SetupOf(seed))
		if err := w.Run(startupTime + faultTime); err != nil {
			t.Error(err)
		}
		for _, e := range w.endpoints {
			if at, drained := w.model.drained[e.id]; drained {
				taken.add(at - e.endingSince)
			}
		}
	})
	taken.log(t, "from an endpoint's end to its acknowledgement without faults")
	if len(taken.durations) > 0 && taken.durations[len(taken.durations)-1] > maxDrainTimeWithoutFaults {
		t.Errorf("the longest is %v, want %v at most", taken.durations[len(taken.durations)-1], maxDrainTimeWithoutFaults)
	}
}
