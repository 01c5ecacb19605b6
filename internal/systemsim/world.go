package systemsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"raventrestle/coordination/simnet"
)

// Setup describes a world.
type Setup struct {
	Seed      uint64
	Instances int // the first three found the group
	Routers   int
	Endpoints int
	Operators int
	Mutant    Mutant
	Rules     []string // that are looked at; nil: all
	Trace     func(line string)
}

// Bounds of the deployment, as its settings give them.
const (
	configBound    = 2 * time.Second // config_ms
	drainBound     = 2 * time.Second // drain_ms
	liveness       = 3 * time.Second // liveness_ms
	partitionBound = 5 * time.Second // partition_ms
	lease          = 3 * time.Second // lease_ms
	heartbeatEvery = 1200 * time.Millisecond
	faults         = 1 // disks that may be lost at once
	seeds          = 3
)

// World is one simulated history.
type World struct {
	Setup
	*simnet.Scheduler
	random    *rand.Rand
	network   *network
	instances []*instance
	routers   []*router
	endpoints []*endpoint
	callers   []*caller     // operators and endpoints
	quiet     bool          // nothing new is called for
	heals     []func()      // of the cuts that were made
	repaired  time.Duration // no fault begins before: a lost disk is made up for
	linkCut   bool          // a single link is cut
	truth     truth
	steps     int
	failure   error
}

// lookEvery is how often the world holds the routers against the truth, apart from their own steps.
const lookEvery = 25 * time.Millisecond

// NewWorld starts all processes of the setup within 0.3 s of each other.
func NewWorld(setup Setup) *World {
	w := &World{
		Setup:     setup,
		Scheduler: simnet.NewScheduler(time.Second),
		random:    rand.New(rand.NewPCG(setup.Seed, 39)),
	}
	w.network = newNetwork(w)
	w.truth = newTruth()
	for n := range setup.Instances {
		w.instances = append(w.instances, newInstance(w, n))
	}
	for n := range setup.Routers {
		w.routers = append(w.routers, newRouter(w, n))
	}
	for _, i := range w.instances {
		w.After(w.between(0, 300*time.Millisecond), func() { i.start(true) })
	}
	for _, r := range w.routers {
		w.After(w.between(0, 300*time.Millisecond), r.start)
	}
	for range setup.Endpoints {
		w.addEndpoint()
	}
	for n := range setup.Operators {
		w.addOperator(n)
	}
	w.look()
	return w
}

// Run plays for that long or until a rule is broken.
func (w *World) Run(length time.Duration) error {
	w.RunUntil(w.Now()+length, func() bool { return w.failure != nil })
	return w.failure
}

func (w *World) look() {
	w.checkRouters()
	w.After(lookEvery, w.look)
}

func (w *World) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// oneIn is true once in so many times.
func (w *World) oneIn(times int) bool { return w.random.IntN(times) == 0 }

// tracef tells a step of the history.
func (w *World) tracef(format string, values ...any) {
	if w.Trace != nil {
		w.Trace(fmt.Sprintf("%9.3f  ", w.Now().Seconds()) + fmt.Sprintf(format, values...))
	}
}

// fail notes the first broken rule.
func (w *World) fail(rule, format string, values ...any) {
	if w.failure == nil && (w.Rules == nil || slices.Contains(w.Rules, rule)) {
		w.failure = &Broken{Rule: rule, Seed: w.Seed, At: w.Now(), What: fmt.Sprintf(format, values...)}
		w.tracef("BROKEN %v", w.failure)
	}
}

// Broken is a rule that a history broke.
type Broken struct {
	Rule string
	Seed uint64
	At   time.Duration
	What string
}

func (b *Broken) Error() string {
	return fmt.Sprintf("seed %d at %.3f s: %s: %s", b.Seed, b.At.Seconds(), b.Rule, b.What)
}
