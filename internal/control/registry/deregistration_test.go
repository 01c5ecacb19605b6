package registry

import (
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

// TestDeleteOfAnUnknownEndpointReachesRoutersAndPeers: it may have sent its heartbeats elsewhere only.
func TestDeleteOfAnUnknownEndpointReachesRoutersAndPeers(t *testing.T) {
	x := newTestRegistry(t)
	x.step(Peers{Reachable: []string{"other"}}, RoutersConfirmed{Revision: x.updates.revision})
	out := x.deregister("stranger")
	if len(out.Replies) != 0 {
		t.Fatalf("before routers have it: got %+v, want no reply", out.Replies)
	}
	if len(out.Changed) != 1 || out.Changed[0].ID != "stranger" || out.Changed[0].State != protocol.Departed || !out.Urgent {
		t.Fatalf("routers: got %+v (urgent: %v), want stranger as departed (true)", out.Changed, out.Urgent)
	}
	sent := deltas(out)
	if len(sent) == 0 {
		t.Fatalf("peer: got %+v, want a delta", out.Send)
	}
	other := newTestRegistry(t)
	other.heartbeat(report("stranger", 1, protocol.Ready)) // it is known there
	sent[0].Origin = protocol.Origin{Address: "self of the first", Incarnation: 9}
	there := other.step(PeerMessage{Content: sent[0]})
	if len(there.Changed) != 1 || there.Changed[0].State != protocol.Departed {
		t.Errorf("routers of the peer: got %+v, want one departed", there.Changed)
	}
}

// TestRepeatedAndLateRequestsOfADrainingEndpoint: each is acknowledged once the drain is in force, and undoes nothing.
func TestRepeatedAndLateRequestsOfADrainingEndpoint(t *testing.T) {
	x := newTestRegistry(t)
	x.heartbeat(report("e", 3, protocol.Ready))
	x.heartbeat(report("e", 4, protocol.Draining))
	heartbeat := func(sequence uint64, state protocol.EndpointState) func() Output {
		return func() Output { return x.heartbeat(report("e", sequence, state)) }
	}
	deregister := func() Output { return x.deregister("e") }
	requests := []struct {
		name string
		send func() Output
		want protocol.EndpointState
	}{
		{"the same again, its answer was lost", heartbeat(4, protocol.Draining), protocol.Draining},
		{"a late one", heartbeat(2, protocol.Ready), protocol.Draining},
		{"a later one", heartbeat(5, protocol.Draining), protocol.Draining},
		{"a late draining one", heartbeat(4, protocol.Draining), protocol.Draining},
		{"delete", deregister, protocol.Departed},
		{"delete again", deregister, protocol.Departed},
		{"draining after delete", heartbeat(6, protocol.Draining), protocol.Departed},
		{"late ready after delete", heartbeat(1, protocol.Ready), protocol.Departed},
		{"ready after delete", heartbeat(9, protocol.Ready), protocol.Departed},
	}
	for _, request := range requests { // in this order, on one registry
		if out := request.send(); !acknowledged(out) {
			t.Errorf("%s: got %+v, want an acknowledgement", request.name, out)
		}
		x.wantState("e", request.want)
	}
}

// TestDeregistrationOutranksNewerHeartbeatsElsewhere: a router drops updates whose sequence is below one that it has, and
// may have that from an instance that the endpoint called later.
func TestDeregistrationOutranksNewerHeartbeatsElsewhere(t *testing.T) {
	x := newTestRegistry(t)
	x.heartbeat(report("e", 2, protocol.Ready))
	const elsewhere = 1 << 40
	out := x.deregister("e")
	if len(out.Changed) != 1 || out.Changed[0].State != protocol.Departed || out.Changed[0].Sequence <= elsewhere {
		t.Errorf("update: got %+v, want departed with a sequence above %d", out.Changed, uint64(elsewhere))
	}
	for _, shown := range x.EndpointsAndTombstones(x.now) {
		if shown.ID == "e" && shown.Sequence <= elsewhere {
			t.Errorf("full table: got %+v, want a sequence above %d", shown, uint64(elsewhere))
		}
	}
}

func TestTombstonesExpire(t *testing.T) {
	x := newTestRegistry(t)
	x.heartbeat(report("e", 1, protocol.Ready))
	x.deregister("e")
	x.advance(deregisteredTombstoneTTL + 3*time.Second)
	if len(x.table.byID) != 0 || len(x.table.byHash) != 0 || len(x.table.byAddress) != 0 {
		t.Errorf("got %d entries, %d hashes, %d addresses, want none",
			len(x.table.byID), len(x.table.byHash), len(x.table.byAddress))
	}
}
