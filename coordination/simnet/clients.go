package simnet

import (
	"fmt"
	"time"

	"raventrestle/coordination/engine"
)

// startClients proposes commands and asks for barriers at random machines until the given time, at random intervals between
// the bounds.
func (w *World) startClients(until time.Duration, minInterval, maxInterval time.Duration) {
	var next func()
	next = func() {
		if w.now >= until || w.finishing {
			return
		}
		m := w.machines[w.random.IntN(len(w.machines))]
		w.proposals++
		if w.random.IntN(4) == 0 {
			w.barrier(m, func() {})
		} else {
			w.propose(m, fmt.Sprintf("c%d", w.proposals))
		}
		w.after(w.between(minInterval, maxInterval), next)
	}
	next()
}

// maxPaddingBytes bounds the padding of some commands, which has the logs compacted at different indexes.
const maxPaddingBytes = 400

// propose has the machine propose the command, padded at random, and notes its acknowledgement.
func (w *World) propose(m *machine, command string) {
	if w.random.IntN(3) == 0 {
		command += fmt.Sprintf("%*s", w.random.IntN(maxPaddingBytes), "")
	}
	m.call(engine.Input{Command: []byte(command)}, func(result engine.Result) {
		if result.Err == nil {
			w.model.acknowledge(w, command, result.Index)
		}
	})
}

// barrier asks the machine for a barrier, and checks that it covers everything that was acknowledged before and that the
// machine has applied it.
func (w *World) barrier(m *machine, done func()) {
	acknowledged := w.model.newestAcknowledged
	m.call(engine.Input{Barrier: true}, func(result engine.Result) {
		done()
		if result.Index < acknowledged || m.stateMachine.lastApplied < acknowledged {
			w.fail("a barrier at %s returns %d (applied %d) after %d was acknowledged",
				m.address, result.Index, m.stateMachine.lastApplied, acknowledged)
		}
	})
}

// leaveInput has a member prepare to leave the group.
func leaveInput() engine.Input { return engine.Input{Leave: true} }
