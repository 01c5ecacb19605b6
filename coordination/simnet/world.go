package simnet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"raventrestle/coordination/engine"
	"raventrestle/coordination/internal/mutation"
)

// Setup describes a world.
type Setup struct {
	Seed     uint64
	Machines int // that exist from the start; the first Seeds of them found the group
	Seeds    int
	Faults   int
	Mutation mutation.Set
	Loss     float64       // share of the messages that are lost on healthy links
	Delay    time.Duration // one way, at least
	Sync     time.Duration // of a disk
	Rate     int           // bytes a second from one machine to another; 0: without bound
	Sizes    Sizes         // of the log; the zero value means small ones, so that short histories compact often
	Trace    func(line string)
	// Replicated makes the machine that a process replicates, where it is not the tests' own.
	Replicated func() engine.Machine
}

// Sizes are those of engine.Options.
type Sizes struct {
	Compact int64
	Keep    int
	Segment int64
}

// World is one simulated history.
type World struct {
	Setup
	*Timeline
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
func NewWorld(setup Setup) *World {
	if setup.Delay == 0 {
		setup.Delay = 500 * time.Microsecond
	}
	if setup.Sync == 0 {
		setup.Sync = 5 * time.Millisecond
	}
	if setup.Sizes == (Sizes{}) {
		setup.Sizes = Sizes{Compact: 3000, Keep: 500, Segment: 2000}
	}
	w := &World{Setup: setup, random: rand.New(rand.NewPCG(setup.Seed, 77)), Timeline: NewTimeline(time.Second)}
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
