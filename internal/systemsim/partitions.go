package systemsim

import (
	"time"
)

// PartitionShape says what a cut of one instance takes away.
type PartitionShape string

// The shapes of cuts.
const (
	Symmetric      PartitionShape = "both ways"  // between it and the other instances
	OutboundLost   PartitionShape = "not heard"  // what it sends to the others
	InboundLost    PartitionShape = "deaf"       // what the others send to it
	FromOtherZones PartitionShape = "near"       // also between it and all machines of other zones
	FromRoutersToo PartitionShape = "from all"   // also between it and all routers
	Total          PartitionShape = "from world" // between it and everything
)

var partitionShapes = []PartitionShape{Symmetric, Symmetric, Symmetric, OutboundLost, InboundLost, FromOtherZones, FromRoutersToo, Total}

// partition cuts an instance off and returns what heals it.
func (w *World) partition(x *instance, shape PartitionShape) (heal func()) {
	w.tracef("%s is cut off: %s", x.address, shape)
	var cut []direction
	add := func(other *process, there, back bool) {
		if there {
			cut = append(cut, direction{&x.process, other})
		}
		if back {
			cut = append(cut, direction{other, &x.process})
		}
	}
	for _, other := range w.instances {
		if other != x {
			add(&other.process, shape != InboundLost, shape != OutboundLost)
		}
	}
	for _, r := range w.routers {
		if shape == FromRoutersToo || shape == Total || shape == FromOtherZones && r.zone != x.zone {
			add(&r.process, true, true)
		}
	}
	for _, c := range w.clients {
		if shape == Total || shape == FromOtherZones && c.zone != x.zone {
			add(&c.process, true, true)
		}
	}
	return w.block(cut)
}

// block cuts the directions and returns what gives them back.
func (w *World) block(cut []direction) (heal func()) {
	for _, p := range cut {
		w.network.block(p.from, p.to)
	}
	w.network.topologyChanged()
	healed := false
	heal = func() {
		if healed {
			return
		}
		healed = true
		w.tracef("%d directions are healed", len(cut))
		for _, p := range cut {
			w.network.unblock(p.from, p.to)
		}
		w.network.topologyChanged()
	}
	w.healPartitions = append(w.healPartitions, heal)
	return heal
}

func (w *World) drawPartitionShape() PartitionShape {
	return partitionShapes[w.random.IntN(len(partitionShapes))]
}

// drawPartitionLength is the length of a cut.
func (w *World) drawPartitionLength() time.Duration {
	if w.oneIn(2) {
		return w.between(6*time.Second, 15*time.Second)
	}
	return w.between(100*time.Millisecond, 4*time.Second)
}

func (w *World) partitionOne() {
	w.After(w.drawPartitionLength(), w.partition(w.headOrAny(), w.drawPartitionShape()))
}

// partitionAndRestart restarts the others, or the cut-off one and then the others, while one is cut off.
func (w *World) partitionAndRestart() {
	x := w.headOrAny()
	length := w.between(5*time.Second, 15*time.Second)
	w.After(length, w.partition(x, w.drawPartitionShape()))
	at := w.between(500*time.Millisecond, length*2/3)
	if w.oneIn(2) {
		w.After(at, func() { x.crash(); x.restartSoon() })
		at += w.between(0, 2*time.Second)
	}
	w.After(at, func() { w.restartOthers(x) })
}

func (w *World) partitionPreferred() {
	x := w.headOrAny()
	w.preferInstance(x)
	w.After(w.drawPartitionLength(), w.partition(x, w.drawPartitionShape()))
}

// preferInstance has endpoints and a third of the operators ask an instance first.
func (w *World) preferInstance(x *instance) {
	w.tracef("callers ask %s first", x.address)
	for n, c := range w.clients {
		if c.isOperator && n%3 > 0 {
			continue
		}
		c.preferred = x
	}
}

// partitionLink cuts one link between two instances, in one direction or both. With more links cut at a time the head may hear
// a minority that hears a majority; then it is not replaced, see docs/results/hardening.md.
func (w *World) partitionLink() {
	a, b := w.randomInstance(), w.randomInstance()
	if a == b || w.linkPartitioned {
		return
	}
	cut := []direction{{&a.process, &b.process}}
	if w.oneIn(2) {
		cut = append(cut, direction{&b.process, &a.process})
	}
	w.linkPartitioned = true
	heal := w.block(cut)
	w.After(w.drawPartitionLength(), func() {
		heal()
		w.linkPartitioned = false
	})
}

// partitionRouter cuts a router from some instances, or all.
func (w *World) partitionRouter() {
	r := w.randomRouter()
	var cut []direction
	for _, i := range w.instances {
		switch w.random.IntN(4) {
		case 0:
			cut = append(cut, direction{&r.process, &i.process})
		case 1:
			cut = append(cut, direction{&i.process, &r.process})
		case 2:
			cut = append(cut, direction{&r.process, &i.process}, direction{&i.process, &r.process})
		}
	}
	w.After(w.drawPartitionLength(), w.block(cut))
}

func (w *World) degradeLinks() {
	w.network.degrade(w.between(0, 40*time.Millisecond), w.random.Float64()*0.1)
	w.After(w.between(100*time.Millisecond, 3*time.Second), func() { w.network.degrade(0, 0) })
}
