package systemsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"raventrestle/coordination/simnet"
)

// Setup describes a simulated system.
type Setup struct {
	Seed      uint64
	Instances int // the first three are the seeds
	Routers   int
	Endpoints int
	Operators int
	Mutant    Mutant
	Rules     []string          // that are checked; nil: all
	Trace     func(line string) // takes each line of the trace; nil: none is made
}

// Bounds of the deployment, with their keys in the settings, and its fault tolerance.
const (
	configBound       = 2 * time.Second // config_ms
	drainBound        = 2 * time.Second // drain_ms
	livenessBound     = 3 * time.Second // liveness_ms
	partitionBound    = 5 * time.Second // partition_ms
	lease             = 3 * time.Second // lease_ms
	heartbeatInterval = 1200 * time.Millisecond
	faultTolerance    = 1 // disks that may be lost at once
	seedInstances     = 3
)

// World is one simulated system with its history.
type World struct {
	Setup
	*simnet.Scheduler
	random          *rand.Rand
	network         *network
	instances       []*instance
	routers         []*router
	endpoints       []*endpoint
	clients         []*client       // operators and endpoints
	finishing       bool            // clients begin nothing new
	healPartitions  []func()        // one for each partition so far
	observeDrain    func(*endpoint) // called when an endpoint's end is acknowledged to it; nil: by nobody
	observeVersion  func(*change)   // called when a version's acknowledgement leaves an instance; nil: by nobody
	noFaultBefore   time.Duration   // no fault begins before: a lost disk is being replaced
	linkPartitioned bool            // see partitionLink
	model           model
	steps           int
	failure         error
}

// checkInterval is the time between checks of the routers, beside those at their own steps.
const checkInterval = 25 * time.Millisecond

// NewWorld starts all processes of the setup within 0.3 s of each other.
func NewWorld(setup Setup) *World {
	w := &World{
		Setup:     setup,
		Scheduler: simnet.NewScheduler(time.Second),
		random:    rand.New(rand.NewPCG(setup.Seed, 39)),
	}
	w.network = newNetwork(w)
	w.model = newModel()
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
	w.checkPeriodically()
	return w
}

// Run simulates for that long or until a rule is broken, and returns the violation.
func (w *World) Run(length time.Duration) error {
	w.RunUntil(w.Now()+length, func() bool { return w.failure != nil })
	return w.failure
}

func (w *World) checkPeriodically() {
	w.checkRouters()
	w.After(checkInterval, w.checkPeriodically)
}

// between draws a time between two, both included.
func (w *World) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// oneIn draws true once in so many times.
func (w *World) oneIn(times int) bool { return w.random.IntN(times) == 0 }

// tracef traces a line of the history.
func (w *World) tracef(format string, values ...any) {
	if w.Trace != nil {
		w.Trace(fmt.Sprintf("%9.3f  ", w.Now().Seconds()) + fmt.Sprintf(format, values...))
	}
}

// fail keeps the first violation of a rule that is checked.
func (w *World) fail(rule, format string, values ...any) {
	if w.failure == nil && (w.Rules == nil || slices.Contains(w.Rules, rule)) {
		w.failure = &Violation{Rule: rule, Seed: w.Seed, At: w.Now(), Detail: fmt.Sprintf(format, values...)}
		w.tracef("VIOLATION %v", w.failure)
	}
}

// Violation is the error of a history that broke a rule.
type Violation struct {
	Rule   string
	Seed   uint64
	At     time.Duration // virtual time
	Detail string
}

func (v *Violation) Error() string {
	return fmt.Sprintf("seed %d at %.3f s: %s: %s", v.Seed, v.At.Seconds(), v.Rule, v.Detail)
}
