// Package lifecycle is the state machine of a courier process, called an instance. Completed startup steps, current
// faults and requests to drain or terminate determine the instance's state, and whether it is ready and accepts messages.
// The package does no I/O; callers report events to it.
//
// Invariant: an instance that accepts messages has recovered its journal, has an endpoint list, can notify the platform
// of outcomes, and was not asked to drain or terminate. See TestInvariantsHoldInEveryReachableState.
package lifecycle

import (
	"errors"
	"fmt"
)

// State is the state of an instance as operators see it.
type State uint8

const (
	Starting   State = iota // the journal is not recovered yet
	Recovering              // the journal is recovered, but another startup step is missing
	Ready                   // all startup steps are done and there is no fault
	Degraded                // all startup steps are done and there is a fault
	Draining                // asked to drain or terminate: no new messages are accepted
	Stopped                 // the process exits
)

var stateNames = [...]string{"starting", "recovering", "ready", "degraded", "draining", "stopped"}

func (s State) String() string { return stateNames[s] }

// Step is a startup step that must be done before the instance is ready.
type Step uint8

const (
	Journal   Step = iota // the messages of earlier processes are recovered
	List                  // the endpoint list is known
	Notices               // outcomes not yet reported to the platform are being sent
	Listening             // client connections are accepted
	stepCount
)

var missingStepTexts = [...]string{
	"the journal is not recovered yet", "no list of endpoints is known yet", "owed notices are not under way yet",
	"client connections are not accepted yet",
}

// Fault is a temporary problem of an instance.
type Fault uint8

const (
	JournalUnwritable     Fault = iota // the journal can't be written: no message can be accepted
	ListStale                          // discovery does not answer; the last list stays in use
	DeadLettersUnwritable              // dead letters can't be stored
	faultCount
)

var faultTexts = [...]string{"the journal can't be written", "discovery does not answer: the last list holds", "undeliverable messages can't be kept"}

func (t Fault) String() string { return faultTexts[t] }

// blocksMessages reports whether no message can be accepted during the fault.
func (t Fault) blocksMessages() bool { return t == JournalUnwritable }

// Event is an input of the state machine: one of StepDone, FaultBegan, FaultEnded, Drain, Undrain, Terminate and Exited.
type Event interface{ event() }

type (
	// StepDone reports that a startup step is done.
	StepDone struct{ Step Step }
	// FaultBegan and FaultEnded report the begin and the end of a fault.
	FaultBegan struct{ Fault Fault }
	FaultEnded struct{ Fault Fault }
	// Drain is an operator's request to accept no new messages. Undrain revokes it.
	Drain   struct{}
	Undrain struct{}
	// Terminate is the supervisor's request to end the process. It can't be revoked.
	Terminate struct{}
	// Exited reports that everything is written and the process exits now.
	Exited struct{}
)

func (StepDone) event()   {}
func (FaultBegan) event() {}
func (FaultEnded) event() {}
func (Drain) event()      {}
func (Undrain) event()    {}
func (Terminate) event()  {}
func (Exited) event()     {}

// Errors of events that are invalid in the current state.
var (
	ErrStopped        = errors.New("lifecycle: the instance has stopped")
	ErrTerminating    = errors.New("lifecycle: the instance is terminating, which can't be revoked")
	ErrNotTerminating = errors.New("lifecycle: the instance was not asked to terminate")
)

// Instance is what the state machine knows of an instance. The zero value is one that has just started. It is comparable.
type Instance struct {
	doneSteps   uint8 // bits by Step
	faults      uint8 // bits by Fault
	draining    bool
	terminating bool
	exited      bool
}

// Apply returns the instance after the event. An event that has already happened changes nothing.
func (i Instance) Apply(e Event) (Instance, error) {
	if i.exited {
		return i, ErrStopped
	}
	switch e := e.(type) {
	case StepDone:
		i.doneSteps |= 1 << e.Step
	case FaultBegan:
		i.faults |= 1 << e.Fault
	case FaultEnded:
		i.faults &^= 1 << e.Fault
	case Drain:
		i.draining = true
	case Undrain:
		if i.terminating {
			return i, ErrTerminating
		}
		i.draining = false
	case Terminate:
		i.terminating = true
	case Exited:
		if !i.terminating {
			return i, ErrNotTerminating
		}
		i.exited = true
	default:
		return i, fmt.Errorf("lifecycle: unknown event %T", e)
	}
	return i, nil
}

// State returns the current state.
func (i Instance) State() State {
	switch {
	case i.exited:
		return Stopped
	case i.terminating || i.draining:
		return Draining
	case i.doneSteps&(1<<Journal) == 0:
		return Starting
	case i.doneSteps != 1<<stepCount-1:
		return Recovering
	case i.faults != 0:
		return Degraded
	}
	return Ready
}

// Alive is the liveness check: it reports false only for a process that has stopped.
func (i Instance) Alive() bool { return !i.exited }

// AcceptsMessages reports whether new messages may be accepted.
func (i Instance) AcceptsMessages() bool {
	if s := i.State(); s != Ready && s != Degraded {
		return false
	}
	for t := range faultCount {
		if t.blocksMessages() && i.HasFault(t) {
			return false
		}
	}
	return true
}

// HasFault reports whether the fault is present.
func (i Instance) HasFault(t Fault) bool { return i.faults&(1<<t) != 0 }

// Ready reports whether the front layer should send clients here and, if not, the reasons. A fault that all instances
// have at the same time, such as a stale list, does not make an instance unready, because the front layer would then
// have no instance left.
func (i Instance) Ready() (ready bool, why []string) {
	switch {
	case i.exited:
		why = append(why, "the process has ended")
	case i.terminating:
		why = append(why, "the process ends")
	case i.draining:
		why = append(why, "it was asked to drain")
	}
	for s := range stepCount {
		if i.doneSteps&(1<<s) == 0 {
			why = append(why, missingStepTexts[s])
		}
	}
	for t := range faultCount {
		if i.HasFault(t) && t.blocksMessages() {
			why = append(why, t.String())
		}
	}
	return len(why) == 0, why
}

// Faults returns the texts of the current faults.
func (i Instance) Faults() (all []string) {
	for t := range faultCount {
		if i.HasFault(t) {
			all = append(all, t.String())
		}
	}
	return all
}
