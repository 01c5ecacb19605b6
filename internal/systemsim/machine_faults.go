package systemsim

import (
	"time"

	"raventrestle/coordination/engine"
)

// restartSoon starts the process again after 1.2 s at most.
func (i *instance) restartSoon() {
	w := i.world
	w.After(w.between(20*time.Millisecond, 1200*time.Millisecond), func() { i.start(false) })
}

// restartOthers restarts all instances but one, in any order, in 0.6 s.
func (w *World) restartOthers(x *instance) {
	for _, other := range w.instances {
		if other == x {
			continue
		}
		w.After(w.between(0, 100*time.Millisecond), func() {
			other.crash()
			w.After(w.between(200*time.Millisecond, 500*time.Millisecond), func() { other.start(false) })
		})
	}
}

func (w *World) crashOne() {
	i := w.headOrAny()
	i.crash()
	i.restartSoon()
}

func (w *World) crashSome() {
	for _, i := range w.instances {
		if w.oneIn(2) {
			i.crash()
			i.restartSoon()
		}
	}
}

func (w *World) crashAll() {
	for _, i := range w.instances {
		i.crash()
		i.restartSoon()
	}
}

func (w *World) losePowerOne() {
	i := w.headOrAny()
	i.losePower()
	i.restartSoon()
}

func (w *World) losePowerAll() {
	for _, i := range w.instances {
		i.losePower()
		i.restartSoon()
	}
}

// endEverything ends all instances and routers within a millisecond and starts them again.
func (w *World) endEverything() {
	power := w.oneIn(2)
	w.endInstances(power)
	w.endRouters()
}

// endInstances has all instances lose power, or kills them, within a millisecond, and starts them again.
func (w *World) endInstances(power bool) {
	for _, i := range w.instances {
		w.After(w.between(0, time.Millisecond), func() {
			if power {
				i.losePower()
			} else {
				i.crash()
			}
			i.restartSoon()
		})
	}
}

// endRouters kills all routers within a millisecond and starts them again.
func (w *World) endRouters() {
	for _, r := range w.routers {
		w.After(w.between(0, time.Millisecond), func() {
			r.crash()
			w.After(w.between(20*time.Millisecond, time.Second), r.start)
		})
	}
}

func (w *World) freezeOne() {
	i := w.headOrAny()
	i.freeze()
	w.After(w.between(100*time.Millisecond, 5*time.Second), i.thaw)
}

func (w *World) crashRouter() {
	r := w.randomRouter()
	r.crash()
	w.After(w.between(20*time.Millisecond, time.Second), r.start)
}

func (w *World) freezeRouter() {
	r := w.randomRouter()
	r.freeze()
	w.After(w.between(100*time.Millisecond, 4*time.Second), r.thaw)
}

// shutDownOne shuts an instance down gracefully, for a second at most, and starts it again.
func (w *World) shutDownOne() {
	i := w.headOrAny()
	if !i.up() {
		return
	}
	w.tracef("%s shuts down", i.address)
	i.faultAt = w.Now()
	i.enqueue(engine.Input{Leave: true})
	begun := w.Now()
	var wait func()
	wait = func() {
		if i.engine.SafeToLeave() && i.busyUntil <= w.Now() || w.Now()-begun > time.Second {
			i.crash()
			i.restartSoon()
			return
		}
		i.after(10*time.Millisecond, wait)
	}
	i.after(10*time.Millisecond, wait)
}

// slowDisk makes an instance's syncs slow for a while.
func (w *World) slowDisk() {
	i := w.randomInstance()
	i.syncDelay = w.between(10*time.Millisecond, time.Second)
	i.faultAt = w.Now()
	w.After(w.between(100*time.Millisecond, 2*time.Second), func() {
		i.syncDelay, i.faultAt = 0, w.Now()
	})
}

// fillDisk makes an instance's writes fail for a while.
func (w *World) fillDisk() {
	i := w.randomInstance()
	w.tracef("%s: disk full", i.address)
	i.disk.FailWrites, i.faultAt = true, w.Now()
	w.After(w.between(100*time.Millisecond, 3*time.Second), func() {
		i.disk.FailWrites, i.faultAt = false, w.Now()
	})
}

// diskLossInterval is the time without faults before and after the loss of a disk: until it is replaced, another loss
// need not be tolerated.
const diskLossInterval = 4 * time.Second

// loseDisk empties one disk, if there was no fault for diskLossInterval; at times the other instances lose power then.
func (w *World) loseDisk() {
	for _, i := range w.instances {
		if !i.up() || i.syncDelay > 0 || i.disk.FailWrites {
			return
		}
	}
	if len(w.network.blocked) > 0 || w.network.degradedAt == never {
		return
	}
	if w.Now()-w.newestInstanceFault() < diskLossInterval {
		return
	}
	i := w.headOrAny()
	w.noFaultBefore = w.Now() + diskLossInterval
	i.wipe()
	i.restartSoon()
	if w.oneIn(2) {
		for _, other := range w.instances {
			if other != i {
				other.losePower()
				other.restartSoon()
			}
		}
	}
}
