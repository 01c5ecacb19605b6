package host

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"raventrestle/internal/protocol"
)

// act is one event of a random history.
type act struct {
	kind string
	a, b int
	wait int // milliseconds until the next
}

func drawActs(t *rapid.T, kinds []string) []act {
	one := rapid.Custom(func(t *rapid.T) act {
		return act{
			kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
			a:    rapid.IntRange(0, 11).Draw(t, "a"),
			b:    rapid.IntRange(0, 11).Draw(t, "b"),
			wait: rapid.IntRange(0, 1500).Draw(t, "wait"),
		}
	})
	return rapid.SliceOfN(one, 1, 20).Draw(t, "acts")
}

func (w *world) play(a act) {
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
	case "cut":
		w.cut[pair] = true
	case "heal":
		delete(w.cut, pair)
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

var everyKind = []string{
	"drain", "drain", "leave", "crash", "replace", "load", "cut", "heal", "restart", "move",
	"lose", "calm",
}

// TestAcknowledgedIsInForceEverywhere plays random histories with loss, cuts and restarts.
func TestAcknowledgedIsInForceEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 3, 4, 6)
		w.run(6 * time.Second)
		for _, a := range drawActs(t, everyKind) {
			w.play(a)
		}
		w.loss, w.calm = 0, true
		clear(w.cut)
		w.run(25 * time.Second)
		w.agree()
		for _, fault := range w.faults {
			t.Error(fault)
		}
	})
}

// TestQuietDrainSettlesFast: with nothing wrong, a farewell is settled well before its time is up.
func TestQuietDrainSettlesFast(t *testing.T) {
	w := newWorld(1, 3, 6, 6)
	w.run(6 * time.Second)
	w.drain(w.endpoints[2])
	w.run(3200 * time.Millisecond) // a call may be underway for so long
	w.leave(w.endpoints[2])
	w.run(300 * time.Millisecond)
	w.agree()
	if w.settled < 2 || w.unsettled > 0 || len(w.faults) > 0 {
		t.Fatalf("settled %d, unsettled %d, faults %v", w.settled, w.unsettled, w.faults)
	}
}

// TestCrashedEndpointIsSilentThenGone follows an endpoint that stops calling.
func TestCrashedEndpointIsSilentThenGone(t *testing.T) {
	w := newWorld(2, 3, 2, 3)
	w.run(6 * time.Second)
	w.endpoints[0].crashed = true
	w.run(9 * time.Second)
	for _, r := range w.routers {
		if r.table["e0"].State != protocol.Unresponsive || r.table["e1"].State != protocol.Ready {
			t.Fatalf("router %d: e0 is %d, e1 is %d", r.number, r.table["e0"].State, r.table["e1"].State)
		}
	}
	w.run(11 * time.Second)
	w.agree()
	if len(w.faults) > 0 {
		t.Fatal(w.faults)
	}
}
