package registry

import (
	"fmt"
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

const heartbeatEvery = 1200 * time.Millisecond

var begin = time.Unix(1000, 0)

// table is a registry with a clock of its own.
type table struct {
	t *testing.T
	*Registry
	now    time.Time
	ticket uint64
	out    Output
	parted time.Time // its newest contact with a majority; zero: now
}

// newTable returns a registry that is old enough to judge, without other instances or routers.
func newTable(t *testing.T) *table {
	t.Helper()
	settings := Config{Origin: protocol.Origin{Address: "self", Incarnation: 1}, Heartbeat: heartbeatEvery}
	made := &table{t: t, Registry: New(settings, begin), now: begin}
	made.wait(5 * time.Second)
	return made
}

// wait lets time pass with a step whenever one is due.
func (x *table) wait(span time.Duration) {
	for end := x.now.Add(span); x.now.Before(end); {
		next := x.wakeAt()
		if !next.After(x.now) || next.After(end) {
			next = end
		}
		x.now = next
		x.step()
	}
}

func (x *table) step(inputs ...Input) Output {
	x.out = x.Step(x.now, append([]Input{QuorumContact{ConfirmedAt: x.contactAt()}}, inputs...)...)
	return x.out
}

// contactAt is of the newest contact with a majority.
func (x *table) contactAt() time.Time {
	if x.parted.IsZero() {
		return x.now
	}
	return x.parted
}

func beat(id string, sequence uint64, state protocol.EndpointState) protocol.Endpoint {
	return protocol.Endpoint{ID: id, Service: "s", Address: id + ":1", State: state, Sequence: sequence}
}

func (x *table) beat(endpoint protocol.Endpoint) Output {
	x.ticket++
	return x.step(Heartbeat{RequestID: x.ticket, Endpoint: endpoint})
}

func (x *table) leave(id string) Output {
	x.ticket++
	return x.step(Deregister{RequestID: x.ticket, ID: id})
}

func (x *table) want(id string, state protocol.EndpointState) {
	x.t.Helper()
	for _, e := range x.Endpoints(x.now) {
		if e.ID == id {
			if e.State != state {
				x.t.Errorf("%s is %d, want %d", id, e.State, state)
			}
			return
		}
	}
	if state != protocol.Departed {
		x.t.Errorf("%s is not there, want %d", id, state)
	}
}

func acknowledged(out Output) bool { return len(out.Replies) == 1 && out.Replies[0].InForce }

func TestLateHeartbeatChangesNothing(t *testing.T) {
	x := newTable(t)
	x.beat(beat("e", 5, protocol.Draining))
	if out := x.beat(beat("e", 4, protocol.Ready)); !acknowledged(out) || len(out.Changed) != 0 {
		t.Errorf("%+v", out)
	}
	x.want("e", protocol.Draining)
	x.leave("e")
	x.beat(beat("e", 6, protocol.Ready))
	x.want("e", protocol.Departed)
}

func TestUnchangedHeartbeatIsNoNews(t *testing.T) {
	x := newTable(t)
	x.beat(beat("e", 1, protocol.Ready))
	if out := x.beat(beat("e", 2, protocol.Ready)); len(out.Changed) != 0 || len(out.Send) != 0 {
		t.Errorf("%+v", out)
	}
	cold := beat("e", 3, protocol.Ready)
	cold.WarmUpRemaining = 3 * time.Second
	if out := x.beat(cold); len(out.Changed) != 1 {
		t.Errorf("news of a cold endpoint: %+v", out)
	}
	x.wait(time.Second)
	cold.Sequence, cold.WarmUpRemaining = 4, 2*time.Second
	if out := x.beat(cold); len(out.Changed) != 0 {
		t.Errorf("it grows warm as expected: %+v", out)
	}
}

func TestSilenceThenEnd(t *testing.T) {
	x := newTable(t)
	x.beat(beat("e", 1, protocol.Ready))
	x.wait(3 * heartbeatEvery)
	x.want("e", protocol.Ready)
	x.wait(2 * time.Second)
	x.want("e", protocol.Unresponsive)
	x.beat(beat("e", 2, protocol.Ready))
	x.want("e", protocol.Ready)
	x.wait(evictionTimeout + 2*time.Second)
	x.want("e", protocol.Departed)
	x.beat(beat("e", 3, protocol.Ready))
	x.want("e", protocol.Ready)
}

func TestSilentDrainingEndpointIsNotOffered(t *testing.T) {
	x := newTable(t)
	x.beat(beat("e", 1, protocol.Draining))
	x.wait(6 * time.Second)
	x.want("e", protocol.Draining)
}

func TestRoutersJudgeSilentEndpoints(t *testing.T) {
	x := newTable(t)
	for _, id := range []string{"reached", "unreachable", "alive"} {
		x.beat(beat(id, 1, protocol.Ready))
	}
	for range 5 {
		x.wait(heartbeatEvery)
		x.beat(beat("alive", 9, protocol.Ready))
	}
	report := RouterReport{Unreachable: []string{"unreachable", "alive"}, Reached: []string{"reached"}}
	x.step(report)
	x.want("unreachable", protocol.Departed)
	x.want("alive", protocol.Ready)
	x.step(RouterReport{Unreachable: []string{"reached"}})
	x.want("reached", protocol.Unresponsive)
	for range 8 {
		x.wait(3 * time.Second)
		x.step(RouterReport{Reached: []string{"reached"}})
	}
	x.want("reached", protocol.Unresponsive)
}

func TestNewEndpointAtAnOldAddress(t *testing.T) {
	x := newTable(t)
	x.beat(beat("old", 1, protocol.Ready))
	x.wait(time.Second)
	next := beat("new", 1, protocol.Ready)
	next.Address = "old:1"
	x.beat(next)
	x.want("old", protocol.Departed)
	x.want("new", protocol.Ready)
	x.beat(beat("old", 1, protocol.Ready)) // late
	x.want("old", protocol.Departed)
	x.want("new", protocol.Ready)
}

func TestFarewellWaitsForRoutersAndInstances(t *testing.T) {
	x := newTable(t)
	x.beat(beat("e", 1, protocol.Ready))
	x.step(Peers{Reachable: []string{"other"}}, RoutersConfirmed{Revision: x.updates.revision})
	out := x.beat(beat("e", 2, protocol.Draining))
	if len(out.Replies) != 0 {
		t.Fatal("acknowledged at once")
	}
	var delta *protocol.RegistryDelta
	for _, message := range out.Send {
		if sent, isDelta := message.Message.(*protocol.RegistryDelta); isDelta {
			delta = sent
		}
	}
	if delta == nil || !delta.InForceAckRequested || len(delta.Records) != 1 {
		t.Fatalf("sent %+v", out.Send)
	}
	if out = x.step(RoutersConfirmed{Revision: out.Revision}); len(out.Replies) != 0 {
		t.Fatal("acknowledged without the other instance")
	}
	confirm := &protocol.RegistryAck{
		Origin: protocol.Origin{Address: "other", Incarnation: 2}, SenderIncarnation: 1,
		InForce: []uint64{delta.Sequence},
	}
	if out = x.step(PeerMessage{Content: confirm}); !acknowledged(out) {
		t.Fatalf("%+v", out)
	}
	if out = x.beat(beat("e", 3, protocol.Draining)); !acknowledged(out) {
		t.Errorf("it waits again: %+v", out)
	}
}

func TestFarewellDoesNotWaitForEver(t *testing.T) {
	x := newTable(t)
	x.step(Peers{Reachable: []string{"slow"}})
	start := x.now
	x.beat(beat("e", 1, protocol.Draining))
	x.step(PeerMessage{Content: &protocol.RegistryAck{ // it has the record, its routers don't
		Origin: protocol.Origin{Address: "slow", Incarnation: 2}, SenderIncarnation: 1, Received: []uint64{x.peers["slow"].deltaSequence}}})
	for len(x.out.Replies) == 0 {
		x.wait(10 * time.Millisecond)
	}
	if took := x.now.Sub(start); took < DrainAckTimeout || took > DrainAckTimeout+20*time.Millisecond {
		t.Errorf("acknowledged after %v", took)
	}
	if x.out.Replies[0].InForce {
		t.Error("settled without the other instance")
	}
}

// TestFarewellThatNobodyElseHasIsRefused: an instance that the others don't hear may hear from them.
func TestFarewellThatNobodyElseHasIsRefused(t *testing.T) {
	for name, say := range farewells {
		x := newTable(t)
		x.step(Peers{Reachable: []string{"other", "third"}})
		say(x, 1)
		took := x.untilAnswered(2 * time.Second)
		if took != QuorumConfirmTimeout || !x.out.Replies[0].Rejected {
			t.Errorf("%s: %+v after %v", name, x.out.Replies, took)
		}
	}
}

func TestIsolatedOrYoungInstanceRefusesFarewells(t *testing.T) {
	x := newTable(t)
	x.parted = x.now.Add(-QuorumContactTTL - time.Millisecond)
	for _, out := range []Output{
		x.beat(beat("e", 1, protocol.Ready)), x.beat(beat("e", 2, protocol.Draining)),
		x.leave("e"),
	} {
		if len(out.Replies) != 1 || !out.Replies[0].Rejected {
			t.Errorf("%+v", out)
		}
	}
	x.want("e", protocol.Departed) // noted all the same
	young := &table{t: t, Registry: New(x.config, begin), now: begin.Add(10 * time.Millisecond)}
	if out := young.beat(beat("e", 1, protocol.Ready)); !acknowledged(out) {
		t.Errorf("ready at a young instance: %+v", out)
	}
	if out := young.beat(beat("e", 2, protocol.Draining)); !out.Replies[0].Rejected {
		t.Errorf("draining at a young instance: %+v", out)
	}
}

func TestThawedInstanceBlamesNobody(t *testing.T) {
	x := newTable(t)
	x.beat(beat("e", 1, protocol.Ready))
	x.now = x.now.Add(30 * time.Second)
	x.step()
	x.want("e", protocol.Ready)
}

func TestHintsAreBounded(t *testing.T) {
	x := newTable(t)
	x.step(Peers{Reachable: []string{"other"}})
	x.step(Peers{})
	for n := range maxHints + 10 {
		x.beat(beat(fmt.Sprint("e", n), 1, protocol.Ready))
	}
	if hints := len(x.peers["other"].hints); hints > maxHints {
		t.Errorf("%d hints", hints)
	}
	out := x.step(Peers{Reachable: []string{"other"}})
	for _, message := range out.Send {
		if _, isSummary := message.Message.(*protocol.RegistrySummary); isSummary {
			return
		}
	}
	t.Error("no full exchange")
}

func TestTombstonesAreForgotten(t *testing.T) {
	x := newTable(t)
	x.beat(beat("e", 1, protocol.Ready))
	x.leave("e")
	x.wait(deregisteredTombstoneTTL + 3*time.Second)
	if len(x.table.byID) != 0 || len(x.table.byHash) != 0 || len(x.table.byAddress) != 0 {
		t.Errorf("%d entries, %d hashes, %d addresses", len(x.table.byID), len(x.table.byHash), len(x.table.byAddress))
	}
}

func TestLoadingOfTheNewestHolderIsShown(t *testing.T) {
	x := newTable(t)
	x.beat(beat("e", 1, protocol.Ready))
	table := func(epoch, sequence uint64, models ...string) *protocol.LoadingTable {
		made := &protocol.LoadingTable{
			Origin: protocol.Origin{Address: "other", Incarnation: 2}, Epoch: epoch,
			Sequence: sequence,
		}
		for _, model := range models {
			made.Loading = append(made.Loading, protocol.EndpointLoading{
				Endpoint: "e",
				Loads:    []protocol.ModelLoad{{Model: model, Remaining: 5 * time.Second}},
			})
		}
		return made
	}
	x.step(PeerMessage{Content: table(3, 1, "m")})
	x.now = x.now.Add(2 * time.Second)
	shown := x.Endpoints(x.now)[0].Loading
	if len(shown) != 1 || shown[0].Model != "m" || shown[0].Remaining != 3*time.Second {
		t.Errorf("%+v", shown)
	}
	x.step(PeerMessage{Content: table(2, 9, "old")})
	if shown := x.Endpoints(x.now)[0].Loading; shown[0].Model != "m" {
		t.Errorf("an earlier holder's: %+v", shown)
	}
	if out := x.step(PeerMessage{Content: table(3, 2)}); len(out.Changed) != 1 || len(out.Changed[0].Loading) != 0 {
		t.Errorf("when it is done: %+v", out.Changed)
	}
}

// TestLeavingCountsAboveNewerHeartbeatsElsewhere: a router drops news whose sequence is below one that it knows, and
// may have that from an instance that the endpoint called later.
func TestLeavingCountsAboveNewerHeartbeatsElsewhere(t *testing.T) {
	x := newTable(t)
	x.beat(beat("e", 2, protocol.Ready))
	const heardElsewhere = 1 << 40
	out := x.leave("e")
	if len(out.Changed) != 1 || out.Changed[0].State != protocol.Departed || out.Changed[0].Sequence <= heardElsewhere {
		t.Errorf("routers are told %+v", out.Changed)
	}
	for _, shown := range x.EndpointsAndTombstones(x.now) {
		if shown.ID == "e" && shown.Sequence <= heardElsewhere {
			t.Errorf("a router that subscribes is told %+v", shown)
		}
	}
}

// TestEndpointThatIsUnknownHereAndSilentThereStaysAway: an instance that was cut off tells of an endpoint whose end was
// told to the others before they restarted.
func TestEndpointThatIsUnknownHereAndSilentThereStaysAway(t *testing.T) {
	x := newTable(t)
	tell := func(id string, age time.Duration) {
		x.step(PeerMessage{Content: &protocol.RegistryDelta{
			Origin:  protocol.Origin{Address: "other", Incarnation: 1},
			Records: []protocol.Record{{Endpoint: beat(id, 1, protocol.Ready), HeartbeatAge: age}},
		}})
	}
	tell("silent", x.unresponsiveTimeout()+time.Millisecond)
	x.want("silent", protocol.Departed)
	tell("heard", x.unresponsiveTimeout()-time.Second)
	x.want("heard", protocol.Ready)
	x.complete = false // after a start, what others have kept is all there is
	tell("kept", x.unresponsiveTimeout()+time.Millisecond)
	x.want("kept", protocol.Ready)
}
