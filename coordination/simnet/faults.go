package simnet

import (
	"time"

	"raventrestle/coordination/wal/modeldisk"
)

// faults has troubles begin and end at random until the given time.
func (w *World) faults(until time.Duration) {
	kinds := []func(until time.Duration){
		w.killOne, w.killOne, w.killSome, w.freezeOne, w.cutOne, w.cutGroups, w.cutOneWay, w.slowLinks,
		w.powerOne, w.powerInMidst, w.powerAll, w.killAll, w.stallDisk, w.fillDisk, w.failSync, w.leaveOne,
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

func (w *World) pick() *machine { return w.machines[w.random.IntN(len(w.machines))] }

// back starts the machine again within a second or so.
func (w *World) back(m *machine) {
	w.after(w.between(20*time.Millisecond, 1500*time.Millisecond), func() { m.start(false) })
}

func (w *World) killOne(time.Duration) {
	m := w.pick()
	m.kill()
	w.back(m)
}

func (w *World) killSome(time.Duration) {
	for _, m := range w.machines {
		if w.random.IntN(2) == 0 {
			m.kill()
			w.back(m)
		}
	}
}

func (w *World) killAll(time.Duration) {
	for _, m := range w.machines {
		m.kill()
		w.back(m)
	}
}

func (w *World) powerOne(time.Duration) {
	m := w.pick()
	if m.engine != nil {
		m.losePower()
	}
	w.back(m)
}

// powerInMidst lets the power fail between two writes of one of the next steps.
func (w *World) powerInMidst(time.Duration) {
	m := w.pick()
	if m.engine != nil {
		m.disk.PowerLossAt = m.disk.Operations + 1 + w.random.IntN(8)
	}
	w.after(300*time.Millisecond, func() {
		if m.engine != nil && m.disk.PowerLossAt > 0 {
			m.disk.PowerLossAt = 0
		}
		w.back(m)
	})
}

func (w *World) powerAll(time.Duration) {
	for _, m := range w.machines {
		if m.engine != nil {
			m.losePower()
		}
		w.back(m)
	}
}

func (w *World) freezeOne(time.Duration) {
	m := w.pick()
	m.freeze()
	w.after(w.between(100*time.Millisecond, 3*time.Second), m.thaw)
}

func (w *World) cutOne(time.Duration) {
	w.cutOff([]*machine{w.pick()}, w.machines, true, true)
	w.after(w.between(100*time.Millisecond, 3*time.Second), w.joinAll)
}

func (w *World) cutOneWay(time.Duration) {
	w.cutOff([]*machine{w.pick()}, []*machine{w.pick(), w.pick()}, true, false)
	w.after(w.between(100*time.Millisecond, 3*time.Second), w.joinAll)
}

func (w *World) cutGroups(time.Duration) {
	var left, right []*machine
	for _, m := range w.machines {
		if w.random.IntN(2) == 0 {
			left = append(left, m)
		} else {
			right = append(right, m)
		}
	}
	w.cutOff(left, right, true, w.random.IntN(3) > 0)
	w.after(w.between(100*time.Millisecond, 3*time.Second), w.joinAll)
}

func (w *World) slowLinks(time.Duration) {
	w.links.slow, w.links.loss = w.between(0, 60*time.Millisecond), w.random.Float64()*0.2
	w.after(w.between(100*time.Millisecond, 2*time.Second), func() { w.links.slow, w.links.loss = 0, 0 })
}

func (w *World) stallDisk(time.Duration) {
	m := w.pick()
	m.stall = w.between(10*time.Millisecond, 2*time.Second)
	w.after(w.between(100*time.Millisecond, 2*time.Second), func() { m.stall = 0 })
}

func (w *World) fillDisk(time.Duration) {
	m := w.pick()
	w.tracef("%s: disk full", m.address)
	m.disk.FailWrites = true
	w.after(w.between(100*time.Millisecond, 3*time.Second), func() { m.disk.FailWrites = false })
}

func (w *World) failSync(time.Duration) { w.pick().disk.FailSyncs = 1 + w.random.IntN(3) }

// leaveOne stops a machine in the planned way and starts it again.
func (w *World) leaveOne(time.Duration) {
	m := w.pick()
	w.leave(m, func() { w.back(m) })
}

// leave has the machine leave, and ends its process once it has left or a second has passed.
func (w *World) leave(m *machine, then func()) {
	if m.engine == nil {
		return
	}
	w.tracef("%s leaves", m.address)
	life, asked := m.life, w.now
	m.put(leaveInput())
	var wait func()
	wait = func() {
		switch {
		case m.life != life || m.engine == nil:
			then()
		case m.engine.SafeToLeave() && m.busy <= w.now || w.now-asked > time.Second:
			m.kill()
			then()
		default:
			w.after(10*time.Millisecond, wait)
		}
	}
	w.after(10*time.Millisecond, wait)
}

// calm tells whether every machine has been up, connected and with a good disk long enough to count.
func (w *World) calm() bool {
	if len(w.links.cut) > 0 || w.links.slow > 0 || w.links.loss > 0 {
		return false
	}
	for _, m := range w.machines {
		if m.removed {
			continue
		}
		up := m.engine != nil && !m.frozen && w.now-m.startedAt >= catchUp/2
		good := !m.disk.FailWrites && m.disk.FailSyncs == 0 && m.disk.PowerLossAt == 0 && m.stall == 0
		if !up || !good || m.last.DiskFailing() {
			return false
		}
	}
	return true
}

// whenCalm calms the world, waits until everybody counts, and then acts.
func (w *World) whenCalm(until time.Duration, act func()) {
	if w.now+catchUp >= until || w.ledger.waiting {
		return
	}
	w.ledger.waiting = true
	var wait func(since time.Duration)
	wait = func(since time.Duration) {
		if w.now >= until {
			return
		}
		if !w.calm() {
			w.heal()
			since = w.now
		}
		if w.now-since >= catchUp {
			w.ledger.waiting = false
			if err := w.bears(w.FaultTolerance); err != nil {
				w.fail("calm for %v: the loss of %d disks is not borne: %v", catchUp, w.FaultTolerance, err)
				return
			}
			act()
			return
		}
		w.after(50*time.Millisecond, func() { wait(since) })
	}
	wait(w.now)
}

// loseDisks takes as many disks as must be borne at once, right after an acknowledgement or not, at times in the
// moment in which all others lose power.
func (w *World) loseDisks(until time.Duration) {
	w.whenCalm(until, func() {
		order := w.random.Perm(len(w.machines))
		lost := 0
		powerToo := w.random.IntN(2) == 0
		for _, i := range order {
			m := w.machines[i]
			switch {
			case m.removed:
			case lost < w.FaultTolerance:
				lost++
				m.wipe()
				w.back(m)
			case powerToo:
				m.losePower()
				w.back(m)
			}
		}
	})
}

// replaceOne removes a machine for good and adds an empty one at another address.
func (w *World) replaceOne(until time.Duration) {
	if w.FaultTolerance == 0 {
		return // no disk may be lost
	}
	w.whenCalm(until, func() {
		m := w.pick()
		if m.removed {
			return
		}
		gone := func() {
			w.tracef("%s is removed", m.address)
			m.removed = true
			m.disk = modeldisk.New()
			next := w.addMachine(len(w.machines), false)
			w.after(w.between(0, time.Second), func() { next.start(false) })
		}
		if w.random.IntN(2) == 0 {
			w.leave(m, gone)
			return
		}
		m.wipe()
		gone()
	})
}
