package registry

import (
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

// drainRequest sends one of the requests by which an endpoint announces its end.
type drainRequest = func(x *testRegistry, sequence uint64) Output

// drainRequests are the two of them.
var drainRequests = map[string]drainRequest{
	"draining": func(x *testRegistry, sequence uint64) Output {
		x.t.Helper()
		return x.heartbeat(report("e", sequence, protocol.Draining))
	},
	"delete": func(x *testRegistry, _ uint64) Output {
		x.t.Helper()
		return x.deregister("e")
	},
}

func TestDrainWaitsForAQuorumContactSinceTheRequest(t *testing.T) {
	for name, drain := range drainRequests {
		t.Run(name, func(t *testing.T) {
			x := newTestRegistry(t)
			x.heartbeat(report("e", 1, protocol.Ready))
			x.lastContact = x.now.Add(-time.Nanosecond)
			asked := x.now
			if out := drain(x, 2); len(out.Replies) != 0 {
				t.Fatalf("replies with a contact from before the request: got %+v, want none", out.Replies)
			}
			if wait := x.out.WakeAt.Sub(x.now); wait > quorumPollInterval || tickIsNext(x.out) {
				t.Errorf("next look for contact: got after %v (deferrable: %v), want %v at most (false)",
					wait, tickIsNext(x.out), quorumPollInterval)
			}
			x.advance(200 * time.Millisecond)
			if len(x.pendingDrains) != 1 {
				t.Fatalf("pending without contact: got %d (%+v), want 1", len(x.pendingDrains), x.out)
			}
			x.lastContact = asked
			if out := x.step(); !acknowledged(out) {
				t.Errorf("with a contact as old as the request: got %+v, want an acknowledgement", out)
			}
			if x.out.WakeAt.Before(x.nextTick) {
				t.Errorf("next step with nothing pending: got %v, want the tick at %v", x.out.WakeAt, x.nextTick)
			}
		})
	}
}

func TestDrainWithoutQuorumContactIsRejectedInTime(t *testing.T) {
	for name, drain := range drainRequests {
		t.Run(name, func(t *testing.T) {
			x := newTestRegistry(t)
			x.lastContact = x.now.Add(-time.Millisecond)
			drain(x, 2)
			took := x.untilReplied(2 * time.Second)
			if !rejected(x.out) || took != QuorumConfirmTimeout {
				t.Errorf("got %+v after %v, want a rejection after %v", x.out.Replies, took, QuorumConfirmTimeout)
			}
			x.lastContact = time.Time{}
			if x.step(); len(x.out.Replies) != 0 {
				t.Errorf("second reply: got %+v, want none", x.out.Replies)
			}
		})
	}
}

// TestUnconfirmedDrainNeedsQuorumContactToo checks that the end of the wait for routers is no reason to acknowledge.
func TestUnconfirmedDrainNeedsQuorumContactToo(t *testing.T) {
	x := newTestRegistry(t)
	x.step(Peers{Reachable: []string{"mute"}})
	x.lastContact = x.now.Add(-time.Millisecond)
	x.deregister("e")
	if took := x.untilReplied(2 * time.Second); took != QuorumConfirmTimeout || !x.out.Replies[0].Rejected {
		t.Errorf("got %+v after %v, want a rejection after %v", x.out.Replies, took, QuorumConfirmTimeout)
	}
}

// TestQuorumContactDoesNotReplaceRouters checks that a drain that is not in force waits for DrainAckTimeout, with contact
// or without.
func TestQuorumContactDoesNotReplaceRouters(t *testing.T) {
	x := newTestRegistry(t)
	x.routersConfirmAll()
	x.lastContact = x.now.Add(-time.Millisecond)
	x.deregister("e")
	x.advance(100 * time.Millisecond)
	x.lastContact = time.Time{}
	const minWait = DrainAckTimeout - 100*time.Millisecond
	if took := x.untilReplied(time.Second); took < minWait || x.out.Replies[0].InForce {
		t.Errorf("got %+v after %v, want a reply that is not in force after %v at least", x.out.Replies, took, minWait)
	}
}

func TestInstanceWithoutQuorumRejectsAtOnceAndRecords(t *testing.T) {
	x := newTestRegistry(t)
	x.lastContact = x.now.Add(-QuorumContactTTL - time.Nanosecond)
	for _, state := range []protocol.EndpointState{protocol.Ready, protocol.Draining} {
		if out := x.heartbeat(report("e", 1+uint64(state), state)); !rejected(out) {
			t.Errorf("heartbeat in state %d: got %+v, want a rejection", state, out)
		}
	}
	x.wantState("e", protocol.Draining)
	x.lastContact = x.now.Add(-QuorumContactTTL)
	if out := x.heartbeat(report("f", 1, protocol.Ready)); !acknowledged(out) {
		t.Errorf("with a contact that still counts: got %+v, want an acknowledgement", out)
	}
	never := New(testConfig(), epochStart)
	out := never.Step(epochStart.Add(time.Minute), Heartbeat{RequestID: 1, Endpoint: report("e", 1, protocol.Ready)})
	if !out.Replies[0].Rejected {
		t.Errorf("without any contact ever: got %+v, want a rejection", out)
	}
}

// TestPendingDrainIsRejectedWhenTheQuorumIsLost checks that the endpoint need not wait for the timeout.
func TestPendingDrainIsRejectedWhenTheQuorumIsLost(t *testing.T) {
	x := newTestRegistry(t)
	x.lastContact = x.now.Add(-QuorumContactTTL + 100*time.Millisecond)
	x.deregister("e")
	const maxWait = 150 * time.Millisecond
	if took := x.untilReplied(2 * time.Second); took > maxWait || !x.out.Replies[0].Rejected {
		t.Errorf("got %+v after %v, want a rejection after %v at most", x.out.Replies, took, maxWait)
	}
}

func TestDrainWaitsForRoutersAndPeers(t *testing.T) {
	x := newTestRegistry(t)
	x.heartbeat(report("e", 1, protocol.Ready))
	x.step(Peers{Reachable: []string{"other"}}, RoutersConfirmed{Revision: x.updates.revision})
	out := x.heartbeat(report("e", 2, protocol.Draining))
	if len(out.Replies) != 0 {
		t.Fatalf("at once: got %+v, want no reply", out.Replies)
	}
	sent := deltas(out)
	if len(sent) == 0 {
		t.Fatalf("sent: got %+v, want a delta", out.Send)
	}
	delta := sent[len(sent)-1]
	if !delta.InForceAckRequested || len(delta.Records) != 1 {
		t.Fatalf("delta: got %+v, want one record and an acknowledgement requested", delta)
	}
	if out = x.step(RoutersConfirmed{Revision: out.Revision}); len(out.Replies) != 0 {
		t.Fatalf("before the peer confirms: got %+v, want no reply", out.Replies)
	}
	ack := &protocol.RegistryAck{
		Origin: protocol.Origin{Address: "other", Incarnation: 2}, SenderIncarnation: 1, InForce: []uint64{delta.Sequence},
	}
	if out = x.step(PeerMessage{Content: ack}); !acknowledged(out) {
		t.Fatalf("after both confirmed: got %+v, want an acknowledgement", out)
	}
	if out = x.heartbeat(report("e", 3, protocol.Draining)); !acknowledged(out) {
		t.Errorf("the same drain again: got %+v, want an acknowledgement at once", out)
	}
}

func TestDrainDoesNotWaitForASlowPeerBeyondItsTimeout(t *testing.T) {
	x := newTestRegistry(t)
	x.step(Peers{Reachable: []string{"slow"}})
	start := x.now
	x.heartbeat(report("e", 1, protocol.Draining))
	x.step(PeerMessage{Content: &protocol.RegistryAck{ // it has the record, its routers don't
		Origin: protocol.Origin{Address: "slow", Incarnation: 2}, SenderIncarnation: 1,
		Received: []uint64{x.peers["slow"].deltaSequence},
	}})
	for len(x.out.Replies) == 0 {
		x.advance(10 * time.Millisecond)
	}
	const maxWait = DrainAckTimeout + 20*time.Millisecond
	if took := x.now.Sub(start); took < DrainAckTimeout || took > maxWait {
		t.Errorf("replied: got after %v, want after %v to %v", took, DrainAckTimeout, maxWait)
	}
	if x.out.Replies[0].InForce {
		t.Errorf("reply: got %+v, want one that is not in force", x.out.Replies[0])
	}
}

// TestDrainThatNoPeerReceivedIsRejected checks that contact with a majority is not enough: an instance whose messages are
// lost may still receive those of its peers.
func TestDrainThatNoPeerReceivedIsRejected(t *testing.T) {
	for name, drain := range drainRequests {
		t.Run(name, func(t *testing.T) {
			x := newTestRegistry(t)
			x.step(Peers{Reachable: []string{"other", "third"}})
			drain(x, 1)
			took := x.untilReplied(2 * time.Second)
			if took != QuorumConfirmTimeout || !x.out.Replies[0].Rejected {
				t.Errorf("got %+v after %v, want a rejection after %v", x.out.Replies, took, QuorumConfirmTimeout)
			}
		})
	}
}

func TestInstanceWithoutQuorumRejectsEachRequest(t *testing.T) {
	x := newTestRegistry(t)
	x.lastContact = x.now.Add(-QuorumContactTTL - time.Millisecond)
	for _, out := range []Output{
		x.heartbeat(report("e", 1, protocol.Ready)), x.heartbeat(report("e", 2, protocol.Draining)), x.deregister("e"),
	} {
		if len(out.Replies) != 1 || !out.Replies[0].Rejected {
			t.Errorf("got %+v, want a rejection", out)
		}
	}
	x.wantState("e", protocol.Departed) // recorded all the same
}

func TestStartingInstanceRejectsDrainsOnly(t *testing.T) {
	x := newStartingRegistry(t, epochStart.Add(10*time.Millisecond))
	if out := x.heartbeat(report("e", 1, protocol.Ready)); !acknowledged(out) {
		t.Errorf("ready: got %+v, want an acknowledgement", out)
	}
	if out := x.heartbeat(report("e", 2, protocol.Draining)); !out.Replies[0].Rejected {
		t.Errorf("draining: got %+v, want a rejection", out)
	}
}

// TestRepeatedDeleteWaitsAgain checks that a drain is not taken to be in force for having been requested before.
func TestRepeatedDeleteWaitsAgain(t *testing.T) {
	x := newTestRegistry(t)
	x.heartbeat(report("e", 1, protocol.Ready))
	x.routersConfirmAll()
	x.deregister("e")
	for _, out := range []Output{x.deregister("e"), x.heartbeat(report("e", 2, protocol.Draining))} {
		if len(out.Replies) != 0 {
			t.Fatalf("before routers confirm: got %+v, want no reply", out)
		}
	}
	out := x.routersConfirmAll()
	if len(out.Replies) != 3 || !out.Replies[2].InForce {
		t.Errorf("after routers confirm: got %+v, want three replies in force", out.Replies)
	}
	x.wantState("e", protocol.Departed)
}

// TestAcknowledgedDrainNeedsQuorumContactAgain checks that what was in force everywhere need not be now: an instance may
// have restarted.
func TestAcknowledgedDrainNeedsQuorumContactAgain(t *testing.T) {
	for name, drain := range drainRequests {
		t.Run(name, func(t *testing.T) {
			x := newTestRegistry(t)
			if !acknowledged(drain(x, 2)) {
				t.Fatalf("first: got %+v, want an acknowledgement", x.out)
			}
			x.lastContact = x.now.Add(-time.Millisecond)
			if out := drain(x, 3); len(out.Replies) != 0 {
				t.Errorf("again, without contact: got %+v, want no reply yet", out)
			}
		})
	}
}
