package registry

import (
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

func TestLateHeartbeatChangesNothing(t *testing.T) {
	x := newTestRegistry(t)
	x.heartbeat(report("e", 5, protocol.Draining))
	if out := x.heartbeat(report("e", 4, protocol.Ready)); !acknowledged(out) || len(out.Changed) != 0 {
		t.Errorf("got %+v, want an acknowledgement and no change", out)
	}
	x.wantState("e", protocol.Draining)
	x.deregister("e")
	x.heartbeat(report("e", 6, protocol.Ready))
	x.wantState("e", protocol.Departed)
}

func TestUnchangedHeartbeatIsNotPropagated(t *testing.T) {
	x := newTestRegistry(t)
	x.heartbeat(report("e", 1, protocol.Ready))
	if out := x.heartbeat(report("e", 2, protocol.Ready)); len(out.Changed) != 0 || len(out.Send) != 0 {
		t.Errorf("unchanged: got %+v, want no change and no message", out)
	}
	warmingUp := report("e", 3, protocol.Ready)
	warmingUp.WarmUpRemaining = 3 * time.Second
	if out := x.heartbeat(warmingUp); len(out.Changed) != 1 {
		t.Errorf("begin of a warm-up: got %+v, want one change", out)
	}
	x.advance(time.Second)
	warmingUp.Sequence, warmingUp.WarmUpRemaining = 4, 2*time.Second
	if out := x.heartbeat(warmingUp); len(out.Changed) != 0 {
		t.Errorf("warm-up as expected: got %+v, want no change", out)
	}
}

func TestNewEndpointAtAnOldAddressEvictsTheFormer(t *testing.T) {
	x := newTestRegistry(t)
	x.heartbeat(report("old", 1, protocol.Ready))
	x.advance(time.Second)
	next := report("new", 1, protocol.Ready)
	next.Address = "old:1"
	x.heartbeat(next)
	x.wantState("old", protocol.Departed)
	x.wantState("new", protocol.Ready)
	x.heartbeat(report("old", 1, protocol.Ready)) // late
	x.wantState("old", protocol.Departed)
	x.wantState("new", protocol.Ready)
}
