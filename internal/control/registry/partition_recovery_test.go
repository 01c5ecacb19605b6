package registry

import (
	"slices"
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

// apart lets the instance be without contact for a while; endpoints that are named go on calling it.
func (x *table) apart(span time.Duration, calling ...string) {
	x.parted = x.now
	for end := x.now.Add(span); x.now.Before(end); {
		x.wait(time.Second)
		for _, id := range calling {
			x.beat(beat(id, x.ticket, protocol.Ready))
		}
	}
}

func (x *table) shows(id string) bool {
	return slices.ContainsFunc(x.EndpointsAndTombstones(x.now), func(e protocol.Endpoint) bool {
		return e.ID == id && e.State != protocol.Departed
	})
}

// tells says whether another instance that knows nothing would be told of an endpoint.
func (x *table) tells(id string) bool {
	out := x.step(PeerMessage{Content: &protocol.RegistrySummary{
		Origin: protocol.Origin{Address: "other", Incarnation: 1}, IsReply: true,
	}})
	for _, sent := range out.Send {
		delta, isDelta := sent.Message.(*protocol.RegistryDelta)
		if isDelta && slices.ContainsFunc(delta.Records, func(r protocol.Record) bool { return r.Endpoint.ID == id }) {
			return true
		}
	}
	return false
}

// TestReunitedInstanceGivesUpWhoIsNotHeard: endpoints may have said elsewhere that they end.
func TestReunitedInstanceGivesUpWhoIsNotHeard(t *testing.T) {
	x := newTable(t)
	x.beat(beat("left", 1, protocol.Ready))
	x.beat(beat("lives", 2, protocol.Ready))
	x.apart(6*time.Second, "lives")
	if x.shows("left") || x.tells("left") {
		t.Error("told of, without contact and unheard")
	}
	if !x.shows("lives") || !x.tells("lives") {
		t.Error("not told of, though it calls")
	}
	x.parted = time.Time{}
	x.step()
	if x.shows("left") || x.tells("left") || x.complete {
		t.Error("the table is not taken for stale with the first contact")
	}
	x.wait(x.syncWindow() / 2)
	x.beat(beat("lives", x.ticket, protocol.Ready))
	x.wait(x.syncWindow() / 2)
	x.want("left", protocol.Departed)
	x.want("lives", protocol.Ready)
	if !x.complete || x.possiblyStale(x.now) {
		t.Error("it is still taken for stale")
	}
	x.beat(beat("left", x.ticket, protocol.Ready))
	x.want("left", protocol.Ready)
}

// TestEndpointHeardElsewhereOutlivesTheStaleTable: the others tell who has called them.
func TestEndpointHeardElsewhereOutlivesTheStaleTable(t *testing.T) {
	x := newTable(t)
	x.step(Peers{Reachable: []string{"other"}})
	x.beat(beat("e", 1, protocol.Ready))
	x.apart(6 * time.Second)
	x.parted = time.Time{}
	x.step(PeerMessage{Content: &protocol.RegistryDigest{
		Origin: protocol.Origin{Address: "other", Incarnation: 1}, AliveHashes: []uint32{NameHash("e")},
	}})
	if !x.shows("e") {
		t.Error("still kept back")
	}
	x.wait(x.syncWindow())
	x.want("e", protocol.Ready)
}

// TestSilentEndpointIsKeptWithContact: one that can't reach the control plane serves on.
func TestSilentEndpointIsKeptWithContact(t *testing.T) {
	x := newTable(t)
	x.beat(beat("e", 1, protocol.Ready))
	x.wait(x.unresponsiveTimeout() + x.syncWindow() + time.Second)
	x.want("e", protocol.Unresponsive)
	if !x.shows("e") || !x.tells("e") {
		t.Error("withheld though the table is fresh")
	}
}

// TestNewEpochIsNoLossOfContact: there is no proof in it yet.
func TestNewEpochIsNoLossOfContact(t *testing.T) {
	x := newTable(t)
	out := x.Step(x.now, QuorumContact{}, Heartbeat{RequestID: 77, Endpoint: beat("e", 1, protocol.Ready)})
	if !acknowledged(out) {
		t.Errorf("%+v", out)
	}
}

// TestTableIsWholeInTime: routers wait for it, so it does not wait for the next tick.
func TestTableIsWholeInTime(t *testing.T) {
	settings := Config{Origin: protocol.Origin{Address: "self", Incarnation: 1}, Heartbeat: heartbeatEvery}
	x := &table{t: t, Registry: New(settings, begin), now: begin}
	x.step()
	for !x.complete {
		x.now = x.wakeAt()
		x.step()
	}
	if took := x.now.Sub(begin); took != x.syncWindow() {
		t.Errorf("whole after %v, want %v", took, x.syncWindow())
	}
}

// TestSilenceWhileStaleIsNoNews: a router that has dropped the endpoint would take it for one that is there; that it is
// given up is news all the same.
func TestSilenceWhileStaleIsNoNews(t *testing.T) {
	x := newTable(t)
	x.beat(beat("e", 1, protocol.Ready))
	x.parted = x.now
	var told []protocol.EndpointState
	for end := x.now.Add(evictionTimeout + 3*time.Second); x.now.Before(end); {
		x.now = x.wakeAt()
		for _, changed := range x.step().Changed {
			told = append(told, changed.State)
		}
	}
	if !slices.Equal(told, []protocol.EndpointState{protocol.Departed}) {
		t.Errorf("routers are told the states %v", told)
	}
}

// TestHintsOfSilentEndpointsAreKeptBack: what it heard while the others were out of reach is old by now.
func TestHintsOfSilentEndpointsAreKeptBack(t *testing.T) {
	x := newTable(t)
	x.step(Peers{Reachable: []string{"other"}})
	x.step(Peers{})
	x.beat(beat("e", 1, protocol.Ready))
	x.apart(6 * time.Second)
	x.parted = time.Time{}
	x.step(Peers{Reachable: []string{"other"}})
	for _, sent := range x.out.Send {
		if delta, isDelta := sent.Message.(*protocol.RegistryDelta); isDelta && len(delta.Records) > 0 {
			t.Errorf("tells of %+v", delta.Records)
		}
	}
}

// TestReunitedInstanceTellsOthersOfThoseItHearsOnly: after a short time without contact nobody is silent yet, but the
// others may have restarted, and would keep an endpoint that has left for as long as a silent one.
func TestReunitedInstanceTellsOthersOfThoseItHearsOnly(t *testing.T) {
	x := newTable(t)
	x.beat(beat("left", 1, protocol.Ready))
	x.beat(beat("lives", 2, protocol.Ready))
	x.apart(2 * time.Second)
	x.parted = time.Time{}
	x.step()
	if x.tells("left") || x.tellsWhole() {
		t.Error("the others are told of one that nobody has heard since, or that nobody is missing")
	}
	if !x.shows("left") {
		t.Error("routers lose one that may live")
	}
	x.beat(beat("lives", x.ticket, protocol.Ready))
	if !x.tells("lives") {
		t.Error("the others are not told of one that has called since")
	}
	x.wait(x.rejoinWindow())
	x.want("left", protocol.Departed)
	x.want("lives", protocol.Ready)
	if !x.tellsWhole() {
		t.Error("the table is not told to be whole once it is fresh")
	}
}

func (x *table) tellsWhole() bool {
	out := x.step(PeerMessage{Content: &protocol.RegistrySummary{Origin: protocol.Origin{Address: "other", Incarnation: 1}}})
	return slices.ContainsFunc(out.Send, func(sent Send) bool {
		delta, isDelta := sent.Message.(*protocol.RegistryDelta)
		return isDelta && delta.FromCompleteTable
	})
}

// TestEndpointThatRoutersReachIsToldOnceTheTableIsFresh: it is silent, but there.
func TestEndpointThatRoutersReachIsToldOnceTheTableIsFresh(t *testing.T) {
	x := newTable(t)
	x.beat(beat("e", 1, protocol.Ready))
	x.apart(6 * time.Second)
	x.parted = time.Time{}
	x.step()
	x.wait(time.Second)
	x.step(RouterReport{Reached: []string{"e"}})
	published := false
	for x.possiblyStale(x.now) {
		x.now = x.wakeAt()
		published = slices.ContainsFunc(x.step().Changed, func(e protocol.Endpoint) bool { return e.State == protocol.Unresponsive })
	}
	if !published || !x.shows("e") {
		t.Errorf("published: %v, shown: %v", published, x.shows("e"))
	}
}

// TestFirstContactThatComesLateLeavesAStaleTableToo: a process may start while it is cut off, and hear endpoints.
func TestFirstContactThatComesLateLeavesAStaleTableToo(t *testing.T) {
	settings := Config{Origin: protocol.Origin{Address: "self", Incarnation: 1}, Heartbeat: heartbeatEvery}
	x := &table{t: t, Registry: New(settings, begin), now: begin}
	step := func(inputs ...Input) { x.Step(x.now, append([]Input{QuorumContact{}}, inputs...)...) }
	step(Heartbeat{RequestID: 1, Endpoint: beat("e", 1, protocol.Ready)})
	for range 6 {
		x.now = x.now.Add(time.Second)
		step()
	}
	x.step()
	if x.shows("e") || x.complete {
		t.Error("the table is not taken for stale with the first contact")
	}
	x.wait(x.rejoinWindow())
	x.want("e", protocol.Departed)
}

// TestInstanceWithoutContactTellsOthersOfThoseItHearsOnly: an instance that restarts may be the first to be reached, before
// there is a majority again, and has forgotten whose end it was told.
func TestInstanceWithoutContactTellsOthersOfThoseItHearsOnly(t *testing.T) {
	x := newTable(t)
	x.beat(beat("left", 1, protocol.Ready))
	x.beat(beat("lives", 2, protocol.Ready))
	x.apart(3*time.Second, "lives")
	if !x.quorumLost(x.now) {
		t.Fatal("it has contact")
	}
	if x.tells("left") {
		t.Error("the others are told of one that was not heard for longer than a heartbeat")
	}
	if !x.tells("lives") {
		t.Error("the others are not told of one that calls")
	}
}
