package simnet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"raventrestle/coordination/engine"
	"raventrestle/coordination/internal/mutation"
)

// Config describes a world.
type Config struct {
	Seed           uint64 // of all random choices
	Machines       int    // that exist from the start; the first Seeds of them found the group
	Seeds          int    // how many machines found the group, and how many seeds a later machine is given
	FaultTolerance int    // how many disks may be lost at once
	Mutation       mutation.Set

	LossProbability float64       // of a message on a healthy link
	MinLinkDelay    time.Duration // one way; messages take up to twice as long; 0 means 0.5 ms
	LinkRate        int           // bytes a second from one machine to another; 0 means unlimited
	SyncDuration    time.Duration // of one sync of a disk; 0 means 5 ms
	LogSizes        LogSizes      // the zero value means small ones, so that short histories compact often

	// Trace takes one line for each event of the history; nil means none.
	Trace func(line string)
	// NewStateMachine makes the state machine that a process replicates; nil means the one of the checks.
	NewStateMachine func() engine.StateMachine
}

// LogSizes are the sizes of engine.Config.
type LogSizes struct {
	CompactBytes int64
	KeepBytes    int
	SegmentBytes int64
}

// World is one simulated history of a group. It is used by one goroutine.
type World struct {
	Config
	*Scheduler
	random      *rand.Rand
	machines    []*machine
	links       links
	model       model
	exploration exploration
	steps       int   // made by all machines
	fetches     int   // sent by members that lack entries
	proposals   int   // made by clients
	finishing   bool  // clients have stopped
	failure     error // the first invariant that was violated
}

// NewWorld returns a world whose machines start within the first 0.3 s.
func NewWorld(config Config) *World {
	if config.MinLinkDelay == 0 {
		config.MinLinkDelay = 500 * time.Microsecond
	}
	if config.SyncDuration == 0 {
		config.SyncDuration = 5 * time.Millisecond
	}
	if config.LogSizes == (LogSizes{}) {
		config.LogSizes = LogSizes{CompactBytes: 3000, KeepBytes: 500, SegmentBytes: 2000}
	}
	w := &World{Config: config, random: rand.New(rand.NewPCG(config.Seed, 77)), Scheduler: NewScheduler(time.Second)}
	w.links = links{blocked: map[link]bool{}, busyUntil: map[link]time.Duration{}}
	w.model = newModel()
	for i := range config.Machines {
		w.addMachine(i, true)
	}
	for _, m := range w.machines {
		w.after(w.between(0, 300*time.Millisecond), func() { m.start(true) })
	}
	return w
}

// between draws a duration between the bounds, both included.
func (w *World) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// tracef traces an event of the history.
func (w *World) tracef(format string, values ...any) {
	if w.Trace != nil {
		w.Trace(fmt.Sprintf("%9.3f  ", w.now.Seconds()) + fmt.Sprintf(format, values...))
	}
}

// fail records the first violation of an invariant; it ends the history.
func (w *World) fail(format string, values ...any) {
	if w.failure == nil {
		w.failure = fmt.Errorf("seed %d at %.3f s: %s", w.Seed, w.now.Seconds(), fmt.Sprintf(format, values...))
		w.tracef("FAILED: %v", w.failure)
	}
}

// Run simulates that much time, or until an invariant is violated, and returns the violation.
func (w *World) Run(length time.Duration) error {
	w.RunUntil(w.now+length, func() bool { return w.failure != nil })
	return w.failure
}

func (w *World) after(delay time.Duration, run func()) { w.After(delay, run) }

// Steps returns how many steps all machines have made.
func (w *World) Steps() int { return w.steps }
