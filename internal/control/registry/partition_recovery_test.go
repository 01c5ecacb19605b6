package registry

import (
	"slices"
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

// TestRejoinedInstanceEvictsWhoIsNotHeardOf: endpoints may have announced their end elsewhere.
func TestRejoinedInstanceEvictsWhoIsNotHeardOf(t *testing.T) {
	x := newTestRegistry(t)
	x.heartbeat(report("departed", 1, protocol.Ready))
	x.heartbeat(report("alive", 2, protocol.Ready))
	x.loseContactFor(6*time.Second, "alive")
	if x.routersSee("departed") || x.peerWouldLearn("departed") {
		t.Error("without contact: got an unheard endpoint shown, want it hidden and withheld")
	}
	if !x.routersSee("alive") || !x.peerWouldLearn("alive") {
		t.Error("without contact: got an endpoint that sends heartbeats hidden, want it shown")
	}
	x.regainContact()
	if x.routersSee("departed") || x.peerWouldLearn("departed") || x.complete {
		t.Error("at the first contact: got a table that counts as fresh, want it possibly stale")
	}
	x.advance(x.syncWindow() / 2)
	x.heartbeat(report("alive", x.requestID, protocol.Ready))
	x.advance(x.syncWindow() / 2)
	x.wantState("departed", protocol.Departed)
	x.wantState("alive", protocol.Ready)
	if !x.complete || x.possiblyStale(x.now) {
		t.Errorf("after the window: got complete %v, stale %v, want true, false", x.complete, x.possiblyStale(x.now))
	}
	x.heartbeat(report("departed", x.requestID, protocol.Ready))
	x.wantState("departed", protocol.Ready)
}

func TestEndpointHeardByAPeerSurvivesTheRejoin(t *testing.T) {
	x := newTestRegistry(t)
	x.step(Peers{Reachable: []string{"other"}})
	x.heartbeat(report("e", 1, protocol.Ready))
	x.loseContactFor(6 * time.Second)
	x.lastContact = time.Time{}
	x.step(PeerMessage{Content: &protocol.RegistryDigest{
		Origin: protocol.Origin{Address: "other", Incarnation: 1}, AliveHashes: []uint32{NameHash("e")},
	}})
	if !x.routersSee("e") {
		t.Error("after a peer's digest: got the endpoint hidden, want it shown")
	}
	x.advance(x.syncWindow())
	x.wantState("e", protocol.Ready)
}

// TestUnresponsiveEndpointIsShownWhileTheTableIsFresh: one that can't reach the control plane may still serve.
func TestUnresponsiveEndpointIsShownWhileTheTableIsFresh(t *testing.T) {
	x := newTestRegistry(t)
	x.heartbeat(report("e", 1, protocol.Ready))
	x.advance(x.unresponsiveTimeout() + x.syncWindow() + time.Second)
	x.wantState("e", protocol.Unresponsive)
	if !x.routersSee("e") || !x.peerWouldLearn("e") {
		t.Error("fresh table: got an unresponsive endpoint hidden or withheld, want it shown")
	}
}

// TestNewEpochIsNoLossOfContact: there is no proof in it yet, and the former one still counts.
func TestNewEpochIsNoLossOfContact(t *testing.T) {
	x := newTestRegistry(t)
	out := x.Step(x.now, QuorumContact{}, Heartbeat{RequestID: 77, Endpoint: report("e", 1, protocol.Ready)})
	if !acknowledged(out) {
		t.Errorf("got %+v, want an acknowledgement", out)
	}
}

// TestTableIsCompleteInTime: routers wait for it, so it does not wait for the next tick.
func TestTableIsCompleteInTime(t *testing.T) {
	x := newStartingRegistry(t, epochStart)
	x.step()
	for !x.complete {
		x.now = x.wakeAt()
		x.step()
	}
	if took := x.now.Sub(epochStart); took != x.syncWindow() {
		t.Errorf("complete: got after %v, want after %v", took, x.syncWindow())
	}
}

// TestUnresponsivenessIsNotPublishedWhileStale: a router that has dropped the endpoint would take the update for an
// endpoint that exists. Its eviction is published all the same.
func TestUnresponsivenessIsNotPublishedWhileStale(t *testing.T) {
	x := newTestRegistry(t)
	x.heartbeat(report("e", 1, protocol.Ready))
	x.lastContact = x.now
	var published []protocol.EndpointState
	for end := x.now.Add(evictionTimeout + 3*time.Second); x.now.Before(end); {
		x.now = x.wakeAt()
		for _, changed := range x.step().Changed {
			published = append(published, changed.State)
		}
	}
	if want := []protocol.EndpointState{protocol.Departed}; !slices.Equal(published, want) {
		t.Errorf("published states: got %v, want %v", published, want)
	}
}

// TestHintsOfUnresponsiveEndpointsAreWithheld: what was heard while the peers were out of reach is outdated by now.
func TestHintsOfUnresponsiveEndpointsAreWithheld(t *testing.T) {
	x := newTestRegistry(t)
	x.step(Peers{Reachable: []string{"other"}})
	x.step(Peers{})
	x.heartbeat(report("e", 1, protocol.Ready))
	x.loseContactFor(6 * time.Second)
	x.lastContact = time.Time{}
	x.step(Peers{Reachable: []string{"other"}})
	for _, delta := range deltas(x.out) {
		if len(delta.Records) > 0 {
			t.Errorf("sent: got %+v, want no record", delta.Records)
		}
	}
}

// TestRejoinedInstanceSendsPeersOnlyWhoIsHeardOf: after a short time without contact nobody is unresponsive yet, but the
// peers may have restarted, and would keep a departed endpoint for as long as an unresponsive one.
func TestRejoinedInstanceSendsPeersOnlyWhoIsHeardOf(t *testing.T) {
	x := newTestRegistry(t)
	x.heartbeat(report("departed", 1, protocol.Ready))
	x.heartbeat(report("alive", 2, protocol.Ready))
	x.loseContactFor(2 * time.Second)
	x.regainContact()
	if x.peerWouldLearn("departed") || x.claimsCompleteTable() {
		t.Error("peers: got an endpoint unheard since, or a claim to be complete, want neither")
	}
	if !x.routersSee("departed") {
		t.Error("routers: got an endpoint hidden that may be alive, want it shown")
	}
	x.heartbeat(report("alive", x.requestID, protocol.Ready))
	if !x.peerWouldLearn("alive") {
		t.Error("peers: got an endpoint withheld that was heard since, want it sent")
	}
	x.advance(x.rejoinWindow())
	x.wantState("departed", protocol.Departed)
	x.wantState("alive", protocol.Ready)
	if !x.claimsCompleteTable() {
		t.Error("fresh table: got no claim to be complete, want one")
	}
}

// TestEndpointThatRoutersReachIsPublishedOnceTheTableIsFresh: it is unresponsive, but exists.
func TestEndpointThatRoutersReachIsPublishedOnceTheTableIsFresh(t *testing.T) {
	x := newTestRegistry(t)
	x.heartbeat(report("e", 1, protocol.Ready))
	x.loseContactFor(6 * time.Second)
	x.regainContact()
	x.advance(time.Second)
	x.step(RouterReport{Reached: []string{"e"}})
	published := false
	for x.possiblyStale(x.now) {
		x.now = x.wakeAt()
		published = slices.ContainsFunc(x.step().Changed, func(e protocol.Endpoint) bool {
			return e.State == protocol.Unresponsive
		})
	}
	if !published || !x.routersSee("e") {
		t.Errorf("got published %v, shown %v, want true, true", published, x.routersSee("e"))
	}
}

// TestLateFirstContactLeavesAStaleTable: a process may start while it is partitioned, and receive heartbeats.
func TestLateFirstContactLeavesAStaleTable(t *testing.T) {
	x := newStartingRegistry(t, epochStart)
	x.Step(x.now, QuorumContact{}, Heartbeat{RequestID: 1, Endpoint: report("e", 1, protocol.Ready)})
	for range 6 {
		x.now = x.now.Add(time.Second)
		x.Step(x.now, QuorumContact{})
	}
	x.step()
	if x.routersSee("e") || x.complete {
		t.Errorf("at the first contact: got shown %v, complete %v, want false, false", x.routersSee("e"), x.complete)
	}
	x.advance(x.rejoinWindow())
	x.wantState("e", protocol.Departed)
}

// TestInstanceWithoutQuorumSendsPeersOnlyWhoIsHeardOf: a peer that restarts may reach this instance first, before there
// is a majority again, and has lost which deregistrations it received.
func TestInstanceWithoutQuorumSendsPeersOnlyWhoIsHeardOf(t *testing.T) {
	x := newTestRegistry(t)
	x.heartbeat(report("departed", 1, protocol.Ready))
	x.heartbeat(report("alive", 2, protocol.Ready))
	x.loseContactFor(3*time.Second, "alive")
	if !x.quorumLost(x.now) {
		t.Fatal("quorum: got contact, want it lost")
	}
	if x.peerWouldLearn("departed") {
		t.Error("peers: got an endpoint that has missed a heartbeat, want it withheld")
	}
	if !x.peerWouldLearn("alive") {
		t.Error("peers: got an endpoint withheld that sends heartbeats, want it sent")
	}
}
