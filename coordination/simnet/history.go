package simnet

import (
	"time"

	"raventrestle/coordination/internal/mutation"
)

// The phases of a history.
const (
	startupDuration = 3 * time.Second  // until faults and clients begin
	faultsDuration  = 20 * time.Second // of faults and clients
	recoveryTimeout = 3 * time.Second  // after everything has healed, until a command must be committed
	repairTimeout   = 4 * time.Second  // after which the next loss of disks must be tolerated
)

// PlayHistory plays the history of a seed, with random faults and clients, and returns the world and the first violation of
// an invariant.
func PlayHistory(seed uint64, mutant mutation.Set, trace func(string)) (*World, error) {
	config := configFor(seed)
	config.Mutation, config.Trace = mutant, trace
	w := NewWorld(config)
	if err := w.Run(startupDuration); err != nil {
		return w, err
	}
	w.startClients(w.now+faultsDuration, 5*time.Millisecond, 200*time.Millisecond)
	w.injectFaults(w.now + faultsDuration)
	if err := w.Run(faultsDuration); err != nil {
		return w, err
	}
	return w, w.Finish()
}

// configFor returns the configuration of the history of a seed: groups of three to seven machines.
func configFor(seed uint64) Config {
	config := Config{Seed: seed, Machines: 3, Seeds: 3, FaultTolerance: 1}
	switch seed % 6 {
	case 1:
		config.Machines = 4
	case 2:
		config.Machines = 5
	case 3:
		config.Machines, config.FaultTolerance = 6, 2
	case 4:
		config.Machines = 7
	case 5:
		config.Machines, config.FaultTolerance = 4, 0
	}
	if seed%5 == 0 {
		config.LossProbability = 0.01
	}
	return config
}

// Finish heals everything, and checks that the group commits again and that no member lacks anything acknowledged.
func (w *World) Finish() error {
	w.finishing = true
	w.heal()
	if err := w.Run(recoveryTimeout); err != nil {
		return err
	}
	w.after(0, func() { w.propose(w.randomRunning(), "last") })
	if err := w.Run(500 * time.Millisecond); err != nil {
		return err
	}
	if w.model.acknowledgedAt < w.now-500*time.Millisecond {
		w.fail("nothing is committed %v after everything has healed", recoveryTimeout)
		return w.failure
	}
	for _, m := range w.machines {
		w.checkReadBack(m)
	}
	return w.Run(time.Second)
}

// checkReadBack checks that the machine answers a barrier and has then applied everything that was ever acknowledged.
func (w *World) checkReadBack(m *machine) {
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
		if m.stateMachine.lastApplied < w.model.newestAcknowledged {
			w.fail("%s has applied %d, but %d was acknowledged", m.address, m.stateMachine.lastApplied, w.model.newestAcknowledged)
		}
		for command, index := range w.model.acknowledged {
			if m.stateMachine.embedded == nil && m.stateMachine.index[command] != index {
				w.fail("%q, acknowledged at %d, is at %d on %s", command, index, m.stateMachine.index[command], m.address)
			}
		}
	})
}

// randomRunning draws one of the machines whose process is running.
func (w *World) randomRunning() *machine {
	running := w.machines[:0:0]
	for _, m := range w.machines {
		if m.engine != nil {
			running = append(running, m)
		}
	}
	if len(running) == 0 {
		w.fail("no machine is running")
		return w.machines[0]
	}
	return running[w.random.IntN(len(running))]
}

// heal ends all faults.
func (w *World) heal() {
	w.tracef("everything heals")
	w.healLinks()
	w.LossProbability = 0
	for _, m := range w.machines {
		m.disk.PowerLossAt, m.disk.FailWrites, m.disk.FailSyncs, m.syncDelay = 0, false, 0, 0
		m.thaw()
		m.start(false)
	}
}
