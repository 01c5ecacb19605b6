package systemsim

import "time"

// PartitionShape says which directions a partition of one instance blocks.
type PartitionShape string

// Shapes of partitions. Those with one direction lost are asymmetric.
const (
	Symmetric      PartitionShape = "symmetric"        // between it and the other instances
	OutboundLost   PartitionShape = "outbound lost"    // from it to the other instances
	InboundLost    PartitionShape = "inbound lost"     // from the other instances to it
	FromOtherZones PartitionShape = "from other zones" // between it and the instances, and all machines of other zones
	FromRoutersToo PartitionShape = "from routers too" // between it and the instances, and all routers
	Total          PartitionShape = "total"            // between it and everything
)

// partitionShapes are drawn from, the symmetric one more often.
var partitionShapes = []PartitionShape{
	Symmetric, Symmetric, Symmetric, OutboundLost, InboundLost, FromOtherZones, FromRoutersToo, Total,
}

// partition partitions an instance and returns what heals the partition.
func (w *World) partition(x *instance, shape PartitionShape) (heal func()) {
	w.tracef("%s is partitioned: %s", x.address, shape)
	var directions []direction
	add := func(other *process, there, back bool) {
		if there {
			directions = append(directions, direction{&x.process, other})
		}
		if back {
			directions = append(directions, direction{other, &x.process})
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
	return w.block(directions)
}

// block blocks directions and returns what unblocks them; that may be called more than once.
func (w *World) block(directions []direction) (heal func()) {
	for _, p := range directions {
		w.network.block(p.from, p.to)
	}
	w.network.topologyChanged()
	healed := false
	heal = func() {
		if healed {
			return
		}
		healed = true
		w.tracef("%d directions are unblocked", len(directions))
		for _, p := range directions {
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

// drawPartitionLength draws how long a partition lasts.
func (w *World) drawPartitionLength() time.Duration {
	if w.oneIn(2) {
		return w.between(6*time.Second, 15*time.Second)
	}
	return w.between(100*time.Millisecond, 4*time.Second)
}

func (w *World) partitionOne() {
	w.After(w.drawPartitionLength(), w.partition(w.headOrAny(), w.drawPartitionShape()))
}

// partitionAndRestart restarts the other instances, or the partitioned one and then the others, during a partition.
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

// partitionPreferred partitions an instance that clients prefer.
func (w *World) partitionPreferred() {
	x := w.headOrAny()
	w.preferInstance(x)
	w.After(w.drawPartitionLength(), w.partition(x, w.drawPartitionShape()))
}

// preferInstance has endpoints and a third of the operators call an instance at their first attempts.
func (w *World) preferInstance(x *instance) {
	w.tracef("clients prefer %s", x.address)
	for n, c := range w.clients {
		if c.isOperator && n%3 > 0 {
			continue
		}
		c.preferred = x
	}
}

// partitionLink blocks one link between two instances, in one direction or both, unless one is blocked. With more at a
// time the head may hear a minority that hears a majority; then it is not replaced: see docs/results/hardening.md.
func (w *World) partitionLink() {
	a, b := w.randomInstance(), w.randomInstance()
	if a == b || w.linkPartitioned {
		return
	}
	directions := []direction{{&a.process, &b.process}}
	if w.oneIn(2) {
		directions = append(directions, direction{&b.process, &a.process})
	}
	w.linkPartitioned = true
	heal := w.block(directions)
	w.After(w.drawPartitionLength(), func() {
		heal()
		w.linkPartitioned = false
	})
}

// partitionRouter blocks links of a router to some instances, or all.
func (w *World) partitionRouter() {
	r := w.randomRouter()
	var directions []direction
	for _, i := range w.instances {
		switch w.random.IntN(4) {
		case 0:
			directions = append(directions, direction{&r.process, &i.process})
		case 1:
			directions = append(directions, direction{&i.process, &r.process})
		case 2:
			directions = append(directions, direction{&r.process, &i.process}, direction{&i.process, &r.process})
		}
	}
	w.After(w.drawPartitionLength(), w.block(directions))
}

// degradeLinks makes all links slow and lossy for a while.
func (w *World) degradeLinks() {
	w.network.degrade(w.between(0, 40*time.Millisecond), w.random.Float64()*0.1)
	w.After(w.between(100*time.Millisecond, 3*time.Second), func() { w.network.degrade(0, 0) })
}
