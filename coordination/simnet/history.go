package simnet

import (
	"time"

	"raventrestle/coordination/internal/mutation"
)

// Times of a history.
const (
	settling   = 3 * time.Second  // at the start
	troubled   = 20 * time.Second // with faults and clients
	recovering = 3 * time.Second  // after all has healed, until a command must be committed
	catchUp    = 4 * time.Second  // between losses of disks
)

// PlayHistory plays the history of a seed and returns the world and what was broken first.
func PlayHistory(seed uint64, planted mutation.Set, trace func(string)) (*World, error) {
	setup := setupOf(seed)
	setup.Mutation, setup.Trace = planted, trace
	w := NewWorld(setup)
	if err := w.Run(settling); err != nil {
		return w, err
	}
	w.clients(w.now+troubled, 5*time.Millisecond, 200*time.Millisecond)
	w.faults(w.now + troubled)
	if err := w.Run(troubled); err != nil {
		return w, err
	}
	return w, w.Finish()
}

// setupOf returns the sizes of the history of a seed.
func setupOf(seed uint64) Config {
	setup := Config{Seed: seed, Machines: 3, Seeds: 3, FaultTolerance: 1}
	switch seed % 6 {
	case 1:
		setup.Machines = 4
	case 2:
		setup.Machines = 5
	case 3:
		setup.Machines, setup.FaultTolerance = 6, 2
	case 4:
		setup.Machines = 7
	case 5:
		setup.Machines, setup.FaultTolerance = 4, 0
	}
	if seed%5 == 0 {
		setup.LossProbability = 0.01
	}
	return setup
}

// Finish heals everything and checks that the group goes on and that nothing is lost.
func (w *World) Finish() error {
	w.finishing = true
	w.heal()
	if err := w.Run(recovering); err != nil {
		return err
	}
	w.after(0, func() { w.propose(w.anyUp(), "last") })
	if err := w.Run(500 * time.Millisecond); err != nil {
		return err
	}
	if w.ledger.ackedAt < w.now-500*time.Millisecond {
		w.fail("nothing is committed %v after all has healed", recovering)
		return w.failure
	}
	for _, m := range w.machines {
		w.readBack(m)
	}
	return w.Run(time.Second)
}

// readBack checks that the machine comes to hold all that was ever acknowledged.
func (w *World) readBack(m *machine) {
	if m.removed {
		return
	}
	answered := false
	w.barrier(m, func() { answered = true })
	w.after(900*time.Millisecond, func() {
		if !answered {
			w.fail("%s does not answer a barrier", m.address)
			return
		}
		if m.state.last < w.ledger.newest {
			w.fail("%s has applied %d, acknowledged is %d", m.address, m.state.last, w.ledger.newest)
		}
		for command, index := range w.ledger.acked {
			if m.state.embedded == nil && m.state.index[command] != index {
				w.fail("%q, acknowledged at %d, is at %d on %s", command, index, m.state.index[command], m.address)
			}
		}
	})
}

func (w *World) anyUp() *machine {
	up := w.machines[:0:0]
	for _, m := range w.machines {
		if m.engine != nil {
			up = append(up, m)
		}
	}
	if len(up) == 0 {
		w.fail("no machine is up")
		return w.machines[0]
	}
	return up[w.random.IntN(len(up))]
}

// heal ends all troubles.
func (w *World) heal() {
	w.tracef("all heals")
	w.joinAll()
	w.LossProbability = 0
	for _, m := range w.machines {
		m.disk.PowerLossAt, m.disk.FailWrites, m.disk.FailSyncs, m.stall = 0, false, 0, 0
		m.thaw()
		m.start(false)
	}
}
