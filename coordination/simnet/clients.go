package simnet

import (
	"fmt"
	"time"

	"raventrestle/coordination/engine"
)

// clients keep calling random machines until stopped.
func (w *World) clients(until time.Duration, least, most time.Duration) {
	var next func()
	next = func() {
		if w.now >= until || w.finishing {
			return
		}
		m := w.machines[w.random.IntN(len(w.machines))]
		w.commands++
		if w.random.IntN(4) == 0 {
			w.barrier(m, func() {})
		} else {
			w.propose(m, fmt.Sprintf("c%d", w.commands))
		}
		w.after(w.between(least, most), next)
	}
	next()
}

// commandBytes pads some commands so that logs are compacted at different places.
const commandBytes = 400

func (w *World) propose(m *machine, command string) {
	if w.random.IntN(3) == 0 {
		command += fmt.Sprintf("%*s", w.random.IntN(commandBytes), "")
	}
	m.call(engine.Input{Command: []byte(command)}, func(result engine.Result) {
		if result.Err == nil {
			w.ledger.acknowledge(w, command, result.Index)
		}
	})
}

// barrier checks that a barrier covers all that was acknowledged when it was asked for, and that the asker has
// applied it.
func (w *World) barrier(m *machine, done func()) {
	newest := w.ledger.newest
	m.call(engine.Input{Barrier: true}, func(result engine.Result) {
		done()
		if result.Index < newest || m.state.last < newest {
			w.fail("a barrier at %s gives %d (applied %d) after %d was acknowledged",
				m.address, result.Index, m.state.last, newest)
		}
	})
}

func leaveInput() engine.Input { return engine.Input{Leave: true} }
