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
	Seed            uint64
	Machines        int // that exist from the start; the first Seeds of them found the group
	Seeds           int
	FaultTolerance  int
	Mutation        mutation.Set
	LossProbability float64       // share of the messages that are lost on healthy links
	MinLinkDelay    time.Duration // one way, at least
	SyncDuration    time.Duration // of a disk
	LinkRate        int           // bytes a second from one machine to another; 0: without bound
	LogSizes        LogSizes      // of the log; the zero value means small ones, so that short histories compact often
	Trace           func(line string)
	// Replicated makes the machine that a process replicates, where it is not the tests' own.
	NewStateMachine func() engine.StateMachine
}

// LogSizes are those of engine.Options.
type LogSizes struct {
	CompactBytes int64
	KeepBytes    int
	SegmentBytes int64
}

// World is one simulated history.
type World struct {
	Config
	*Scheduler
	random    *rand.Rand
	machines  []*machine
	links     links
	ledger    ledger
	steps     int
	questions int  // sent by members that lack entries
	commands  int  // proposed by clients
	finishing bool // clients have stopped
	failure   error

	exploration exploration
}

// NewWorld starts all machines of the setup within 0.3 s of each other.
func NewWorld(setup Config) *World {
	if setup.MinLinkDelay == 0 {
		setup.MinLinkDelay = 500 * time.Microsecond
	}
	if setup.SyncDuration == 0 {
		setup.SyncDuration = 5 * time.Millisecond
	}
	if setup.LogSizes == (LogSizes{}) {
		setup.LogSizes = LogSizes{CompactBytes: 3000, KeepBytes: 500, SegmentBytes: 2000}
	}
	w := &World{Config: setup, random: rand.New(rand.NewPCG(setup.Seed, 77)), Scheduler: NewScheduler(time.Second)}
	w.links = links{cut: map[pair]bool{}, free: map[pair]time.Duration{}}
	w.ledger = newLedger()
	for i := range setup.Machines {
		w.addMachine(i, true)
	}
	for _, m := range w.machines {
		w.after(w.between(0, 300*time.Millisecond), func() { m.start(true) })
	}
	return w
}

func (w *World) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// tracef tells a step of the history.
func (w *World) tracef(format string, values ...any) {
	if w.Trace != nil {
		w.Trace(fmt.Sprintf("%9.3f  ", w.now.Seconds()) + fmt.Sprintf(format, values...))
	}
}

// fail notes the first broken rule.
func (w *World) fail(format string, values ...any) {
	if w.failure == nil {
		w.failure = fmt.Errorf("seed %d at %.3f s: %s", w.Seed, w.now.Seconds(), fmt.Sprintf(format, values...))
		w.tracef("FAILED %v", w.failure)
	}
}

// Run plays for that long or until a rule is broken.
func (w *World) Run(length time.Duration) error {
	w.RunUntil(w.now+length, func() bool { return w.failure != nil })
	return w.failure
}

func (w *World) after(delay time.Duration, run func()) { w.After(delay, run) }
