package controller

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"raventrestle/internal/protocol"
)

// randomEvent is one event of a random history.
type randomEvent struct {
	kind string
	a, b int
	wait int // milliseconds until the next
}

func drawEvents(t *rapid.T, kinds []string) []randomEvent {
	one := rapid.Custom(func(t *rapid.T) randomEvent {
		return randomEvent{
			kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
			a:    rapid.IntRange(0, 11).Draw(t, "a"),
			b:    rapid.IntRange(0, 11).Draw(t, "b"),
			wait: rapid.IntRange(0, 1500).Draw(t, "wait"),
		}
	})
	return rapid.SliceOfN(one, 1, 20).Draw(t, "events")
}

// apply lets an event happen and then lets time pass.
func (w *world) apply(a randomEvent) {
	e := w.endpoints[a.a%len(w.endpoints)]
	pair := [2]int{min(a.a%len(w.instances), a.b%len(w.instances)), max(a.a%len(w.instances), a.b%len(w.instances))}
	switch a.kind {
	case "drain":
		w.drain(e)
	case "leave":
		w.leave(e)
	case "crash":
		e.crashed = true
	case "replace":
		if e.crashed || e.left {
			return // its address may have been taken already
		}
		e.crashed = true
		w.addEndpoint(e.address)
	case "load":
		e.load++
	case "partition":
		w.partitioned[pair] = true
	case "heal":
		delete(w.partitioned, pair)
	case "restart":
		w.restart(a.a % len(w.instances))
	case "move":
		w.move(a.a)
	case "lose":
		w.loss = 0.3
	case "calm":
		w.loss = 0
	}
	w.run(time.Duration(a.wait) * time.Millisecond)
}

var allKinds = []string{
	"drain", "drain", "leave", "crash", "replace", "load", "partition", "heal", "restart", "move",
	"lose", "calm",
}

// TestAcknowledgedIsInForceEverywhere plays random histories with message loss, partitions and restarts.
func TestAcknowledgedIsInForceEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 3, 4, 6)
		w.run(6 * time.Second)
		for _, a := range drawEvents(t, allKinds) {
			w.apply(a)
		}
		w.loss, w.calm = 0, true
		clear(w.partitioned)
		w.run(25 * time.Second)
		w.agree()
		for _, fault := range w.faults {
			t.Error(fault)
		}
	})
}

// TestDrainWithoutFaultsIsInForceFast: without faults, a drain or deregistration is in force everywhere well before the
// acknowledgement timeout.
func TestDrainWithoutFaultsIsInForceFast(t *testing.T) {
	w := newWorld(1, 3, 6, 6)
	w.run(6 * time.Second)
	w.drain(w.endpoints[2])
	w.run(3200 * time.Millisecond) // the longest time that a call may take
	w.leave(w.endpoints[2])
	w.run(300 * time.Millisecond)
	w.agree()
	if w.inForce < 2 || w.notInForce > 0 || len(w.faults) > 0 {
		t.Fatalf("in force %d, not in force %d, faults %v; want 2 at least, 0, none", w.inForce, w.notInForce, w.faults)
	}
}

// TestCrashedEndpointIsUnresponsiveThenRemoved follows an endpoint that stops calling.
func TestCrashedEndpointIsUnresponsiveThenRemoved(t *testing.T) {
	w := newWorld(2, 3, 2, 3)
	w.run(6 * time.Second)
	w.endpoints[0].crashed = true
	w.run(9 * time.Second)
	for _, r := range w.routers {
		if r.table["e0"].State != protocol.Unresponsive || r.table["e1"].State != protocol.Ready {
			t.Fatalf("router %d: e0 is %d, e1 is %d; want %d, %d", r.number, r.table["e0"].State, r.table["e1"].State,
				protocol.Unresponsive, protocol.Ready)
		}
	}
	w.run(11 * time.Second)
	w.agree()
	if len(w.faults) > 0 {
		t.Fatalf("faults %v, want none", w.faults)
	}
}
