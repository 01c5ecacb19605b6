package registry

import (
	"fmt"
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

func TestHintsAreBounded(t *testing.T) {
	x := newTestRegistry(t)
	x.step(Peers{Reachable: []string{"other"}})
	x.step(Peers{})
	for n := range maxHints + 10 {
		x.heartbeat(report(fmt.Sprint("e", n), 1, protocol.Ready))
	}
	if hints := len(x.peers["other"].hints); hints > maxHints {
		t.Errorf("hints: got %d, want %d at most", hints, maxHints)
	}
	out := x.step(Peers{Reachable: []string{"other"}})
	for _, send := range out.Send {
		if _, isSummary := send.Message.(*protocol.RegistrySummary); isSummary {
			return
		}
	}
	t.Errorf("messages to the peer: got %+v, want a summary that opens a full exchange", out.Send)
}

// TestUnknownEndpointIsAcceptedOnlyIfItsHeartbeatIsRecent: a peer that was partitioned may still have an endpoint whose
// end was announced to instances that have restarted since.
func TestUnknownEndpointIsAcceptedOnlyIfItsHeartbeatIsRecent(t *testing.T) {
	x := newTestRegistry(t)
	receive := func(id string, heartbeatAge time.Duration) {
		t.Helper()
		x.step(PeerMessage{Content: &protocol.RegistryDelta{
			Origin:  protocol.Origin{Address: "other", Incarnation: 1},
			Records: []protocol.Record{{Endpoint: report(id, 1, protocol.Ready), HeartbeatAge: heartbeatAge}},
		}})
	}
	receive("unresponsive", x.unresponsiveTimeout()+time.Millisecond)
	x.wantState("unresponsive", protocol.Departed)
	receive("alive", x.unresponsiveTimeout()-time.Second)
	x.wantState("alive", protocol.Ready)
	x.complete = false // after a start, what the peers have kept is all there is
	receive("kept", x.unresponsiveTimeout()+time.Millisecond)
	x.wantState("kept", protocol.Ready)
}
