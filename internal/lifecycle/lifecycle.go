// Package lifecycle is the life of an instance as a state machine: what has come about so far, what is
// wrong, and what was asked of it decide whether it is ready, takes messages, and how it is called. It is
// pure; whoever does I/O tells it what happened and asks it.
//
// The invariant: an instance that takes messages has its journal, knows where they can go, has a way to
// tell their ends and was not asked to leave. See TestEveryLife.
package lifecycle

import (
	"errors"
	"fmt"
)

// State is the name of what an instance is at.
type State uint8

const (
	Starting   State = iota // the journal is not recovered yet
	Recovering              // it is, but something that readiness needs is missing
	Ready                   // all there is to have, nothing wrong
	Degraded                // at work, with something wrong
	Draining                // asked to leave: nothing new is taken
	Stopped                 // gone
)

var states = [...]string{"starting", "recovering", "ready", "degraded", "draining", "stopped"}

func (s State) String() string { return states[s] }

// Step is something that has come about once, and that readiness needs.
type Step uint8

const (
	Journal   Step = iota // what earlier lives left is recovered
	List                  // a list of endpoints is known
	Notices               // the ends owed to the platform are under way
	Listening             // client connections are accepted
	stepCount
)

var steps = [...]string{
	"the journal is not recovered yet", "no list of endpoints is known yet", "owed notices are not under way yet",
	"client connections are not accepted yet",
}

// Trouble is something wrong that comes and goes.
type Trouble uint8

const (
	JournalFails    Trouble = iota // it can't be written: nothing can be taken on
	ListStale                      // discovery does not answer; the last list holds
	DeadLettersFail                // undeliverable messages can't be kept
	troubleCount
)

var troubles = [...]string{"the journal can't be written", "discovery does not answer: the last list holds", "undeliverable messages can't be kept"}

func (t Trouble) String() string { return troubles[t] }

// blocks says whether nothing can be taken on while it lasts.
func (t Trouble) blocks() bool { return t == JournalFails }

// Event is something that happens to an instance: one of Done, Began, Ended, Drain, Undrain, End and Gone.
type Event interface{ event() }

type (
	// Done says that a step has come about.
	Done struct{ Step Step }
	// Began and Ended say so of a trouble.
	Began struct{ Trouble Trouble }
	Ended struct{ Trouble Trouble }
	// Drain is an operator's wish that the instance take nothing new, Undrain that it do so again.
	Drain   struct{}
	Undrain struct{}
	// End is the supervisor's word that the process ends. It can't be taken back.
	End struct{}
	// Gone says that all is written and the process ends now.
	Gone struct{}
)

func (Done) event()    {}
func (Began) event()   {}
func (Ended) event()   {}
func (Drain) event()   {}
func (Undrain) event() {}
func (End) event()     {}
func (Gone) event()    {}

// Errors of events that can't be.
var (
	ErrStopped = errors.New("lifecycle: the instance has stopped")
	ErrEnding  = errors.New("lifecycle: the instance ends, which can't be taken back")
	ErrEarly   = errors.New("lifecycle: the instance was not asked to end")
)

// Life is an instance's life so far. The zero value is one that begins. It is comparable.
type Life struct {
	steps    uint8 // bits by Step
	troubles uint8 // bits by Trouble
	drain    bool
	ending   bool
	gone     bool
}

// On returns the life after the event. An event that says what is so already changes nothing.
func (l Life) On(e Event) (Life, error) {
	if l.gone {
		return l, ErrStopped
	}
	switch e := e.(type) {
	case Done:
		l.steps |= 1 << e.Step
	case Began:
		l.troubles |= 1 << e.Trouble
	case Ended:
		l.troubles &^= 1 << e.Trouble
	case Drain:
		l.drain = true
	case Undrain:
		if l.ending {
			return l, ErrEnding
		}
		l.drain = false
	case End:
		l.ending = true
	case Gone:
		if !l.ending {
			return l, ErrEarly
		}
		l.gone = true
	default:
		return l, fmt.Errorf("lifecycle: unknown event %T", e)
	}
	return l, nil
}

// State is what the instance is at.
func (l Life) State() State {
	switch {
	case l.gone:
		return Stopped
	case l.ending || l.drain:
		return Draining
	case l.steps&(1<<Journal) == 0:
		return Starting
	case l.steps != 1<<stepCount-1:
		return Recovering
	case l.troubles != 0:
		return Degraded
	}
	return Ready
}

// Live says that the process should not be killed: it does what it is at.
func (l Life) Live() bool { return !l.gone }

// Takes says whether messages may be taken on.
func (l Life) Takes() bool {
	if s := l.State(); s != Ready && s != Degraded {
		return false
	}
	for t := range troubleCount {
		if t.blocks() && l.Has(t) {
			return false
		}
	}
	return true
}

// Has says whether the trouble lasts.
func (l Life) Has(t Trouble) bool { return l.troubles&(1<<t) != 0 }

// Ready says whether the front layer should send clients here, and if not, why not. A trouble that
// nobody else would have less of does not make an instance unready: all would leave the front layer
// at once.
func (l Life) Ready() (ready bool, why []string) {
	switch {
	case l.gone:
		why = append(why, "the process has ended")
	case l.ending:
		why = append(why, "the process ends")
	case l.drain:
		why = append(why, "it was asked to drain")
	}
	for s := range stepCount {
		if l.steps&(1<<s) == 0 {
			why = append(why, steps[s])
		}
	}
	for t := range troubleCount {
		if l.Has(t) && t.blocks() {
			why = append(why, t.String())
		}
	}
	return len(why) == 0, why
}

// Troubles are those that last, in words.
func (l Life) Troubles() (all []string) {
	for t := range troubleCount {
		if l.Has(t) {
			all = append(all, t.String())
		}
	}
	return all
}
