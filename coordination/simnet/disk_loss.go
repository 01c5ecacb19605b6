package simnet

import (
	"time"

	"raventrestle/coordination/wal/modeldisk"
)

// A disk is lost only after the group has had repairTimeout to repair the loss before: until then the loss of further
// disks need not be tolerated.

// isHealthy reports whether all machines in service have been running, connected and with a good disk for long enough to
// be full members.
func (w *World) isHealthy() bool {
	if len(w.links.blocked) > 0 || w.links.extraDelay > 0 || w.links.lossProbability > 0 {
		return false
	}
	for _, m := range w.machines {
		if m.removed {
			continue
		}
		running := m.engine != nil && !m.frozen && w.now-m.startedAt >= repairTimeout/2
		goodDisk := !m.disk.FailWrites && m.disk.FailSyncs == 0 && m.disk.PowerLossAt == 0 && m.syncDelay == 0
		if !running || !goodDisk || m.node.DiskFailing() {
			return false
		}
	}
	return true
}

// whenHealthy heals everything, waits until the world has been healthy for repairTimeout, checks that the loss of
// FaultTolerance disks is tolerated then, and calls act.
func (w *World) whenHealthy(until time.Duration, act func()) {
	if w.now+repairTimeout >= until || w.model.awaitingHealthy {
		return
	}
	w.model.awaitingHealthy = true
	var wait func(since time.Duration)
	wait = func(since time.Duration) {
		if w.now >= until {
			return
		}
		if !w.isHealthy() {
			w.heal()
			since = w.now
		}
		if w.now-since >= repairTimeout {
			w.model.awaitingHealthy = false
			if err := w.toleratesLosses(w.FaultTolerance); err != nil {
				w.fail("healthy for %v: the loss of %d disks is not tolerated: %v", repairTimeout, w.FaultTolerance, err)
				return
			}
			act()
			return
		}
		w.after(50*time.Millisecond, func() { wait(since) })
	}
	wait(w.now)
}

// loseDisks loses as many disks at once as must be tolerated, half of the times while all other machines lose power.
func (w *World) loseDisks(until time.Duration) {
	w.whenHealthy(until, func() {
		order := w.random.Perm(len(w.machines))
		lost := 0
		powerLoss := w.random.IntN(2) == 0
		for _, i := range order {
			m := w.machines[i]
			switch {
			case m.removed:
			case lost < w.FaultTolerance:
				lost++
				m.wipe()
				w.restartSoon(m)
			case powerLoss:
				m.losePower()
				w.restartSoon(m)
			}
		}
	})
}

// replaceOne removes a machine for good, after it has left or with the loss of its disk, and adds one with an empty disk at
// another address.
func (w *World) replaceOne(until time.Duration) {
	if w.FaultTolerance == 0 {
		return // no disk may be lost
	}
	w.whenHealthy(until, func() {
		m := w.randomMachine()
		if m.removed {
			return
		}
		replace := func() {
			w.tracef("%s is removed", m.address)
			m.removed = true
			m.disk = modeldisk.New()
			next := w.addMachine(len(w.machines), false)
			w.after(w.between(0, time.Second), func() { next.start(false) })
		}
		if w.random.IntN(2) == 0 {
			w.leave(m, replace)
			return
		}
		m.wipe()
		replace()
	})
}
