package systemsim

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// samples collects durations over seeds.
type samples struct {
	lock      sync.Mutex
	durations []time.Duration
}

func (f *samples) add(d time.Duration) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.durations = append(f.durations, d)
}

func (f *samples) log(t *testing.T, name string) {
	t.Helper()
	slices.Sort(f.durations)
	if len(f.durations) == 0 {
		t.Errorf("%s: no figures", name)
		return
	}
	t.Logf("%s: p50 %v, p99 %v, largest %v of %d", name, roundToMilliseconds(f.durations[len(f.durations)/2]),
		roundToMilliseconds(f.durations[(len(f.durations)-1)*99/100]), roundToMilliseconds(f.durations[len(f.durations)-1]), len(f.durations))
}

func roundToMilliseconds(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// longCut is the length of the operators' cuts of one instance.
const partitionLength = 20 * time.Second

// scenario is a course of events that broke a rule at the operators'.
type scenario struct {
	shape       PartitionShape
	preferred   bool
	restartSelf bool // the cut-off one first, then the others in any order
}

var scenarios = map[string]scenario{
	"cut 5":      {shape: Symmetric},
	"lure":       {shape: Symmetric, preferred: true},
	"not heard":  {shape: OutboundLost},
	"deaf":       {shape: InboundLost},
	"near":       {shape: FromOtherZones},
	"from all":   {shape: FromRoutersToo},
	"from world": {shape: Total},
	"both":       {shape: Symmetric, restartSelf: true},
	"both lure":  {shape: FromOtherZones, restartSelf: true, preferred: true},
}

// run plays the course: the head is cut off for 20 s; after 10 s the others restart, all within 0.6 s. Operators go
// on with changes all the while.
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

// TestNaiveRouterFailsTheScenarios plays them with a router that settles with whoever answers first, as routers did:
// where it still reaches the cut-off instance, a rule is broken in nine of ten plays at least.
func TestNaiveRouterFailsTheScenarios(t *testing.T) {
	for name, c := range scenarios {
		if c.shape == FromRoutersToo || c.shape == Total {
			continue
		}
		var broken atomic.Int64
		eachSeed(*firstSeed, *scenarioCount, func(seed uint64) {
			if c.run(seed, FollowFirst) != nil {
				broken.Add(1)
			}
		})
		t.Logf("%s: broken in %d of %d plays", name, broken.Load(), *scenarioCount)
		if 10*broken.Load() < 9*int64(*scenarioCount) {
			t.Errorf("%s is hardly found", name)
		}
	}
}

// following lists the routers that have subscribed to an instance.
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

// measureNextProof gathers how long each router takes from now until it has a proof that is younger than now.
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

// TestTimeToNextProof measures how long a router that follows the head goes without a proof from when the head loses the
// others, by the shape of the cut; and after a cut of all from each other, from the healing on.
func TestTimeToNextProof(t *testing.T) {
	for _, shape := range []PartitionShape{Symmetric, OutboundLost, InboundLost, FromOtherZones, FromRoutersToo} {
		var leaving samples
		eachSeed(*firstSeed, *measuredCount, func(seed uint64) {
			w := NewWorld(SetupOf(seed))
			_ = w.Run(startupTime + w.between(0, time.Second))
			x := w.mostFollowed()
			followers := w.following(x)
			w.partition(x, shape)
			w.measureNextProof(followers, &leaving)
			if err := w.Run(8 * time.Second); err != nil {
				t.Error(err)
			}
		})
		leaving.log(t, "from the cut of an instance ("+string(shape)+") to a later proof at a router that followed it")
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
	healing.log(t, "from the healing of cuts between all to a later proof at a router")
	inForce.log(t, "from the first version acknowledged after it to that version in force at a router")
}

// mostFollowed is the instance that most routers follow.
func (w *World) mostFollowed() *instance {
	return slices.MaxFunc(w.instances, func(a, b *instance) int { return len(w.following(a)) - len(w.following(b)) })
}

// measureNextVersion gathers how long each router takes to have the next version that is acknowledged in force.
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

// mutants are found by histories within so many seeds.
const mutantSeeds = 60

// TestMutantsAreFound plays histories with faults in the stand-ins: each must be found.
func TestMutantsAreFound(t *testing.T) {
	for _, mutant := range []Mutant{FollowFirst, TrustAllBeacons, StampFresh, DrainWithoutContact} {
		t.Run(string(mutant), func(t *testing.T) {
			for seed := *firstSeed; seed < *firstSeed+mutantSeeds; seed++ {
				if _, err := simulated(seed, mutant); err != nil {
					t.Logf("found: %v", err)
					return
				}
			}
			t.Errorf("not found in %d histories", mutantSeeds)
		})
	}
}

// mostCalmFarewell is how long the end of an endpoint may wait for its acknowledgement while nothing is wrong. The
// endpoint asks elsewhere after a second.
const maxDrainTimeWithoutFaults = 700 * time.Millisecond

// TestCalmFarewells: proofs and other instances' receipts must not make endpoints wait where nothing is wrong.
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
	taken.log(t, "from an endpoint's end to its acknowledgement in calm times")
	if len(taken.durations) > 0 && taken.durations[len(taken.durations)-1] > maxDrainTimeWithoutFaults {
		t.Errorf("the longest is above %v", maxDrainTimeWithoutFaults)
	}
}
