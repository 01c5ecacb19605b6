package simnet

import (
	"fmt"
	"time"

	"raventrestle/coordination/internal/mutation"
)

// deliveryFault is one fault of an explored history, injected at the delivery of a message.
type deliveryFault struct {
	message int // number of the message, from 1
	kind    deliveryFaultKind
}

type deliveryFaultKind int

const (
	dropMessage deliveryFaultKind = iota
	delayMessage
	duplicateMessage
	killSender
	killReceiver
	powerOffSender
	powerOffReceiver
	wipeSender
	wipeReceiver
	freezeReceiver
	deliveryFaultKinds
)

var deliveryFaultNames = [deliveryFaultKinds]string{
	"drop", "delay", "duplicate", "kill sender", "kill receiver", "power off sender", "power off receiver",
	"wipe sender", "wipe receiver", "freeze receiver",
}

// String implements fmt.Stringer.
func (f deliveryFault) String() string {
	return fmt.Sprintf("%s at message %d", deliveryFaultNames[f.kind], f.message)
}

// losesDisk reports whether the fault loses a disk.
func (f deliveryFault) losesDisk() bool { return f.kind == wipeSender || f.kind == wipeReceiver }

// exploration is the fault plan of one explored history.
type exploration struct {
	active   bool
	messages int // delivered since the exploration became active
	faults   []deliveryFault
}

const (
	explorationDelay    = 900 * time.Millisecond  // of a message that arrives after its sender is suspected
	explorationDowntime = 300 * time.Millisecond  // until a machine that went down is started again
	explorationRecovery = 2500 * time.Millisecond // until the history is finished
)

// injectAtDelivery injects the faults planned for the delivery of a message. It reports whether the message is still to
// be delivered.
func (w *World) injectAtDelivery(from string, to *machine, deliver func()) bool {
	x := &w.exploration
	if !x.active {
		return true
	}
	x.messages++
	delivered := true
	for _, fault := range x.faults {
		if fault.message == x.messages {
			delivered = w.injectDeliveryFault(fault, w.machineAt(from), to, deliver) && delivered
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

// injectDeliveryFault injects one fault. It reports whether the message is still to be delivered.
func (w *World) injectDeliveryFault(fault deliveryFault, from, to *machine, deliver func()) (delivered bool) {
	restartAfter := func(m *machine, end func(m *machine)) {
		if m.engine == nil {
			return
		}
		end(m)
		w.after(explorationDowntime, func() { m.start(false) })
	}
	switch fault.kind {
	case dropMessage:
		return false
	case delayMessage:
		w.after(explorationDelay, deliver)
		return false
	case duplicateMessage:
		w.after(explorationDelay, deliver)
	case killSender:
		restartAfter(from, (*machine).kill)
	case killReceiver:
		restartAfter(to, (*machine).kill)
	case powerOffSender:
		restartAfter(from, (*machine).losePower)
	case powerOffReceiver:
		restartAfter(to, (*machine).losePower)
	case wipeSender:
		restartAfter(from, (*machine).wipe)
	case wipeReceiver:
		restartAfter(to, (*machine).wipe)
	case freezeReceiver:
		to.freeze()
		w.after(explorationDelay, to.thaw)
	}
	return true
}

// explore plays two commands and a barrier on three healthy machines with the faults, heals everything and checks what
// the members have. It returns how many messages were delivered in the first 0.3 s.
func explore(mutant mutation.Set, faults ...deliveryFault) (messages int, err error) {
	w := NewWorld(Config{Seed: 1, Machines: 3, Seeds: 3, FaultTolerance: 1, Mutation: mutant})
	if err := w.Run(startupDuration); err != nil {
		return 0, err
	}
	w.exploration = exploration{active: true, faults: faults}
	w.propose(w.machines[0], "first")
	w.propose(w.machines[2], "second")
	w.barrier(w.machines[1], func() {})
	if err := w.Run(300 * time.Millisecond); err != nil {
		return 0, err
	}
	messages = w.exploration.messages
	if err := w.Run(explorationRecovery); err != nil {
		return 0, err
	}
	w.exploration.active = false
	return messages, w.Finish()
}
