package simnet

import (
	"fmt"
	"time"

	"raventrestle/coordination/internal/mutation"
)

// deviation is one thing that goes wrong in an explored history, at the delivery of its message number at.
type deviation struct {
	at   int
	kind deviationKind
}

type deviationKind int

// The kinds of deviation.
const (
	dropMessage deviationKind = iota
	delayMessage
	doubleMessage
	killSender
	killReceiver
	powerSender
	powerReceiver
	wipeSender
	wipeReceiver
	freezeReceiver
	deviationKinds
)

var deviationNames = [deviationKinds]string{
	"drop", "delay", "double", "kill sender", "kill receiver", "power off sender", "power off receiver",
	"wipe sender", "wipe receiver", "freeze receiver",
}

func (d deviation) String() string { return fmt.Sprintf("%s at %d", deviationNames[d.kind], d.at) }

// loses tells whether the deviation takes a disk.
func (d deviation) loses() bool { return d.kind == wipeSender || d.kind == wipeReceiver }

// exploration is the plan of one explored history.
type exploration struct {
	counting   bool
	messages   int // delivered since counting began
	deviations []deviation
}

// Times of an explored history.
const (
	exploredDelay = 900 * time.Millisecond // of a message that comes late, after suspicion
	exploredDown  = 300 * time.Millisecond // before a machine that went down is started again
	exploredRest  = 2500 * time.Millisecond
)

// deviate plays what goes wrong at the delivery of a message. It tells whether the message is still delivered.
func (w *World) deviate(from string, to *machine, deliver func()) bool {
	x := &w.exploration
	if !x.counting {
		return true
	}
	x.messages++
	delivered := true
	for _, d := range x.deviations {
		if d.at == x.messages {
			delivered = w.play(d, w.machineAt(from), to, deliver) && delivered
		}
	}
	return delivered
}

func (w *World) machineAt(address string) *machine {
	for _, m := range w.machines {
		if m.address == address {
			return m
		}
	}
	return nil
}

func (w *World) play(d deviation, from, to *machine, deliver func()) (delivered bool) {
	down := func(m *machine, how func(m *machine)) {
		if m.engine == nil {
			return
		}
		how(m)
		w.after(exploredDown, func() { m.start(false) })
	}
	switch d.kind {
	case dropMessage:
		return false
	case delayMessage:
		w.after(exploredDelay, deliver)
		return false
	case doubleMessage:
		w.after(exploredDelay, deliver)
	case killSender:
		down(from, (*machine).kill)
	case killReceiver:
		down(to, (*machine).kill)
	case powerSender:
		down(from, (*machine).losePower)
	case powerReceiver:
		down(to, (*machine).losePower)
	case wipeSender:
		down(from, (*machine).wipe)
	case wipeReceiver:
		down(to, (*machine).wipe)
	case freezeReceiver:
		to.freeze()
		w.after(exploredDelay, to.thaw)
	}
	return true
}

// explore plays two commands and a barrier on three calm machines with the deviations, heals and reads back. It
// returns how many messages were delivered until all was answered or a second had passed.
func explore(planted mutation.Set, deviations ...deviation) (messages int, err error) {
	w := NewWorld(Config{Seed: 1, Machines: 3, Seeds: 3, FaultTolerance: 1, Mutation: planted})
	if err := w.Run(settling); err != nil {
		return 0, err
	}
	w.exploration = exploration{counting: true, deviations: deviations}
	w.propose(w.machines[0], "first")
	w.propose(w.machines[2], "second")
	w.barrier(w.machines[1], func() {})
	if err := w.Run(300 * time.Millisecond); err != nil {
		return 0, err
	}
	messages = w.exploration.messages
	if err := w.Run(exploredRest); err != nil {
		return 0, err
	}
	w.exploration.counting = false
	return messages, w.Finish()
}
