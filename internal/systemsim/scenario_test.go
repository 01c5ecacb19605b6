package systemsim

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// figures collects durations over seeds.
type figures struct {
	lock sync.Mutex
	list []time.Duration
}

func (f *figures) add(d time.Duration) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.list = append(f.list, d)
}

func (f *figures) log(t *testing.T, name string) {
	t.Helper()
	slices.Sort(f.list)
	if len(f.list) == 0 {
		t.Errorf("%s: no figures", name)
		return
	}
	t.Logf("%s: p50 %v, p99 %v, largest %v of %d", name, round(f.list[len(f.list)/2]),
		round(f.list[(len(f.list)-1)*99/100]), round(f.list[len(f.list)-1]), len(f.list))
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// longCut is the length of the operators' cuts of one instance.
const longCut = 20 * time.Second

// course is a course of events that broke a rule at the operators'.
type course struct {
	shape       Shape
	lure        bool
	restartSelf bool // the cut-off one first, then the others in any order
}

var courses = map[string]course{
	"cut 5":      {shape: BothWays},
	"lure":       {shape: BothWays, lure: true},
	"not heard":  {shape: Outward},
	"deaf":       {shape: Inward},
	"near":       {shape: Near},
	"from all":   {shape: FromAll},
	"from world": {shape: Alone},
	"both":       {shape: BothWays, restartSelf: true},
	"both lure":  {shape: Near, restartSelf: true, lure: true},
}

// play plays the course: the head is cut off for 20 s; after 10 s the others restart, all within 0.6 s. Operators go
// on with changes all the while.
func (c course) play(seed uint64, mutant Mutant) error {
	setup := SetupOf(seed)
	setup.Mutant, setup.Trace = mutant, tracer(seed)
	w := NewWorld(setup)
	if err := w.Run(settling); err != nil {
		return err
	}
	x := w.head()
	w.After(longCut, w.cutOff(x, c.shape))
	if c.lure {
		w.lure(x)
	}
	if c.restartSelf {
		w.After(w.between(5*time.Second, 9*time.Second), func() { x.kill(); x.back() })
	}
	w.After(longCut/2, func() { w.restartOthers(x) })
	if err := w.Run(longCut + w.between(0, 3*time.Second)); err != nil {
		return err
	}
	return w.Finish()
}

func TestCourses(t *testing.T) {
	for name, c := range courses {
		t.Run(name, func(t *testing.T) {
			eachSeed(*firstSeed, *courseCount, func(seed uint64) {
				if err := c.play(seed, NoMutant); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// TestFormerRouterFailsTheCourses plays them with a router that settles with whoever answers first, as routers did:
// where it still reaches the cut-off instance, a rule is broken in nine of ten plays at least.
func TestFormerRouterFailsTheCourses(t *testing.T) {
	for name, c := range courses {
		if c.shape == FromAll || c.shape == Alone {
			continue
		}
		var broken atomic.Int64
		eachSeed(*firstSeed, *courseCount, func(seed uint64) {
			if c.play(seed, SettleFirst) != nil {
				broken.Add(1)
			}
		})
		t.Logf("%s: broken in %d of %d plays", name, broken.Load(), *courseCount)
		if 10*broken.Load() < 9*int64(*courseCount) {
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

// proofAfter gathers how long each router takes from now until it has a proof that is younger than now.
func (w *World) proofAfter(routers []*router, into *figures) {
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

// TestTimeToLeave measures how long a router that follows the head goes without a proof from when the head loses the
// others, by the shape of the cut; and after a cut of all from each other, from the healing on.
func TestTimeToLeave(t *testing.T) {
	for _, shape := range []Shape{BothWays, Outward, Inward, Near, FromAll} {
		var leaving figures
		eachSeed(*firstSeed, *measured, func(seed uint64) {
			w := NewWorld(SetupOf(seed))
			_ = w.Run(settling + w.between(0, time.Second))
			x := w.mostFollowed()
			followers := w.following(x)
			w.cutOff(x, shape)
			w.proofAfter(followers, &leaving)
			if err := w.Run(8 * time.Second); err != nil {
				t.Error(err)
			}
		})
		leaving.log(t, "from the cut of an instance ("+string(shape)+") to a later proof at a router that followed it")
	}
	var healing, inForce figures
	eachSeed(*firstSeed, *measured, func(seed uint64) {
		w := NewWorld(SetupOf(seed))
		_ = w.Run(settling)
		var heals []func()
		for _, i := range w.instances {
			heals = append(heals, w.cutOff(i, FromAll))
		}
		_ = w.Run(w.between(3*time.Second, 8*time.Second))
		for _, heal := range heals {
			heal()
		}
		w.proofAfter(w.routers, &healing)
		w.newestInForce(&inForce)
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

// newestInForce gathers how long each router takes to have the next version that is acknowledged in force.
func (w *World) newestInForce(into *figures) {
	acks := len(w.truth.acks)
	for _, r := range w.routers {
		var wait func()
		wait = func() {
			if len(w.truth.acks) > acks && r.generation >= w.truth.acks[acks].newest {
				into.add(max(0, w.Now()-w.truth.acks[acks].at))
				return
			}
			w.After(time.Millisecond, wait)
		}
		wait()
	}
}

// mutants are found by histories within so many seeds.
const mutantSeeds = 60

// TestPlantedFaultsAreFound plays histories with faults in the stand-ins: each must be found.
func TestPlantedFaultsAreFound(t *testing.T) {
	for _, mutant := range []Mutant{SettleFirst, BelieveBeacons, StampFresh, DrainWithoutContact} {
		t.Run(string(mutant), func(t *testing.T) {
			for seed := *firstSeed; seed < *firstSeed+mutantSeeds; seed++ {
				if _, err := played(seed, mutant); err != nil {
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
const mostCalmFarewell = 700 * time.Millisecond

// TestCalmFarewells: proofs and other instances' receipts must not make endpoints wait where nothing is wrong.
func TestCalmFarewells(t *testing.T) {
	var taken figures
	eachSeed(*firstSeed, *measured, func(seed uint64) {
		w := NewWorld(SetupOf(seed))
		if err := w.Run(settling + troubled); err != nil {
			t.Error(err)
		}
		for _, e := range w.endpoints {
			if at, drained := w.truth.drained[e.id]; drained {
				taken.add(at - e.since)
			}
		}
	})
	taken.log(t, "from an endpoint's end to its acknowledgement in calm times")
	if len(taken.list) > 0 && taken.list[len(taken.list)-1] > mostCalmFarewell {
		t.Errorf("the longest is above %v", mostCalmFarewell)
	}
}
