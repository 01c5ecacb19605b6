package simnet

import "time"

// injectFaults begins and ends random faults until the given time.
func (w *World) injectFaults(until time.Duration) {
	kinds := []func(until time.Duration){
		w.killOne, w.killOne, w.killSome, w.freezeOne, w.partitionOne, w.partitionGroups, w.partitionOneWay, w.slowLinks,
		w.powerLossOfOne, w.powerLossDuringStep, w.powerLossOfAll, w.killAll, w.slowDisk, w.fillDisk, w.failSync, w.leaveOne,
		w.loseDisks, w.loseDisks, w.replaceOne,
	}
	var next func()
	next = func() {
		if w.now >= until {
			return
		}
		kinds[w.random.IntN(len(kinds))](until)
		w.after(w.between(50*time.Millisecond, 2500*time.Millisecond), next)
	}
	next()
}

// randomMachine draws one of all machines, removed ones included.
func (w *World) randomMachine() *machine { return w.machines[w.random.IntN(len(w.machines))] }

// restartSoon starts the machine again within 1.5 s.
func (w *World) restartSoon(m *machine) {
	w.after(w.between(20*time.Millisecond, 1500*time.Millisecond), func() { m.start(false) })
}

// Each of the faults below picks its machines at random and ends by itself. Its argument is the time until which the
// history has faults; only the faults that first wait for a healthy world need it (disk_loss.go).

func (w *World) killOne(time.Duration) {
	m := w.randomMachine()
	m.kill()
	w.restartSoon(m)
}

func (w *World) killSome(time.Duration) {
	for _, m := range w.machines {
		if w.random.IntN(2) == 0 {
			m.kill()
			w.restartSoon(m)
		}
	}
}

func (w *World) killAll(time.Duration) {
	for _, m := range w.machines {
		m.kill()
		w.restartSoon(m)
	}
}

func (w *World) powerLossOfOne(time.Duration) {
	m := w.randomMachine()
	if m.engine != nil {
		m.losePower()
	}
	w.restartSoon(m)
}

// powerLossDuringStep lets the power of a machine fail between two disk operations of one of its next steps.
func (w *World) powerLossDuringStep(time.Duration) {
	m := w.randomMachine()
	if m.engine != nil {
		m.disk.PowerLossAt = m.disk.Operations + 1 + w.random.IntN(8)
	}
	w.after(300*time.Millisecond, func() {
		if m.engine != nil && m.disk.PowerLossAt > 0 {
			m.disk.PowerLossAt = 0
		}
		w.restartSoon(m)
	})
}

func (w *World) powerLossOfAll(time.Duration) {
	for _, m := range w.machines {
		if m.engine != nil {
			m.losePower()
		}
		w.restartSoon(m)
	}
}

func (w *World) freezeOne(time.Duration) {
	m := w.randomMachine()
	m.freeze()
	w.after(w.between(100*time.Millisecond, 3*time.Second), m.thaw)
}

func (w *World) partitionOne(time.Duration) {
	w.partition([]*machine{w.randomMachine()}, w.machines, true, true)
	w.after(w.between(100*time.Millisecond, 3*time.Second), w.healLinks)
}

func (w *World) partitionOneWay(time.Duration) {
	w.partition([]*machine{w.randomMachine()}, []*machine{w.randomMachine(), w.randomMachine()}, true, false)
	w.after(w.between(100*time.Millisecond, 3*time.Second), w.healLinks)
}

func (w *World) partitionGroups(time.Duration) {
	var left, right []*machine
	for _, m := range w.machines {
		if w.random.IntN(2) == 0 {
			left = append(left, m)
		} else {
			right = append(right, m)
		}
	}
	w.partition(left, right, true, w.random.IntN(3) > 0)
	w.after(w.between(100*time.Millisecond, 3*time.Second), w.healLinks)
}

func (w *World) slowLinks(time.Duration) {
	w.links.extraDelay, w.links.lossProbability = w.between(0, 60*time.Millisecond), w.random.Float64()*0.2
	w.after(w.between(100*time.Millisecond, 2*time.Second), func() { w.links.extraDelay, w.links.lossProbability = 0, 0 })
}

func (w *World) slowDisk(time.Duration) {
	m := w.randomMachine()
	m.syncDelay = w.between(10*time.Millisecond, 2*time.Second)
	w.after(w.between(100*time.Millisecond, 2*time.Second), func() { m.syncDelay = 0 })
}

func (w *World) fillDisk(time.Duration) {
	m := w.randomMachine()
	w.tracef("%s: disk full", m.address)
	m.disk.FailWrites = true
	w.after(w.between(100*time.Millisecond, 3*time.Second), func() { m.disk.FailWrites = false })
}

func (w *World) failSync(time.Duration) { w.randomMachine().disk.FailSyncs = 1 + w.random.IntN(3) }

// leaveOne has a machine leave the group in the planned way and starts it again.
func (w *World) leaveOne(time.Duration) {
	m := w.randomMachine()
	w.leave(m, func() { w.restartSoon(m) })
}

// leave has the machine leave the group. It ends the process once that may end or a second has passed, and then calls
// then; it never does if the process is not running.
func (w *World) leave(m *machine, then func()) {
	if m.engine == nil {
		return
	}
	w.tracef("%s leaves", m.address)
	incarnation, askedAt := m.incarnation, w.now
	m.enqueue(leaveInput())
	var wait func()
	wait = func() {
		switch {
		case m.incarnation != incarnation || m.engine == nil:
			then()
		case m.engine.SafeToLeave() && m.busyUntil <= w.now || w.now-askedAt > time.Second:
			m.kill()
			then()
		default:
			w.after(10*time.Millisecond, wait)
		}
	}
	w.after(10*time.Millisecond, wait)
}
