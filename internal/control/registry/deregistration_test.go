package registry

import (
	"slices"
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

// farewells are the two calls by which an endpoint ends.
var farewells = map[string]func(x *table, sequence uint64) Output{
	"draining": func(x *table, sequence uint64) Output { return x.beat(beat("e", sequence, protocol.Draining)) },
	"delete":   func(x *table, _ uint64) Output { return x.leave("e") },
}

// untilAnswered lets time pass until a call is answered, and says how long that took.
func (x *table) untilAnswered(most time.Duration) time.Duration {
	x.t.Helper()
	start := x.now
	for len(x.out.Replies) == 0 {
		if x.now.Sub(start) > most {
			x.t.Fatalf("not answered after %v", most)
		}
		x.now = x.wakeAt()
		x.step()
	}
	return x.now.Sub(start)
}

func TestFarewellNeedsContactSinceTheCall(t *testing.T) {
	for name, say := range farewells {
		x := newTable(t)
		x.beat(beat("e", 1, protocol.Ready))
		x.parted = x.now.Add(-time.Nanosecond)
		asked := x.now
		if out := say(x, 2); len(out.Replies) != 0 {
			t.Fatalf("%s: acknowledged with a contact from before the call", name)
		}
		if wait := x.out.WakeAt.Sub(x.now); wait > quorumPollInterval || x.out.WakeDeferrable {
			t.Errorf("%s: the contact is looked for after %v", name, wait)
		}
		x.wait(200 * time.Millisecond)
		if len(x.pendingDrains) != 1 {
			t.Fatalf("%s: answered without contact: %+v", name, x.out)
		}
		x.parted = asked
		if out := x.step(); !acknowledged(out) {
			t.Errorf("%s: with a contact as old as the call: %+v", name, out)
		}
		if x.out.WakeAt.Before(x.nextTick) {
			t.Errorf("%s: awake for nobody", name)
		}
	}
}

func TestFarewellWithoutContactIsRefusedInTime(t *testing.T) {
	for name, say := range farewells {
		x := newTable(t)
		x.parted = x.now.Add(-time.Millisecond)
		say(x, 2)
		took := x.untilAnswered(2 * time.Second)
		if !x.out.Replies[0].Rejected || x.out.Replies[0].InForce || took != QuorumConfirmTimeout {
			t.Errorf("%s: %+v after %v", name, x.out.Replies[0], took)
		}
		x.parted = time.Time{}
		if x.step(); len(x.out.Replies) != 0 {
			t.Errorf("%s: answered twice", name)
		}
	}
}

// TestUnsettledFarewellNeedsContactToo: the end of the wait for routers is no reason to acknowledge.
func TestUnsettledFarewellNeedsContactToo(t *testing.T) {
	x := newTable(t)
	x.step(Peers{Reachable: []string{"mute"}})
	x.parted = x.now.Add(-time.Millisecond)
	x.leave("e")
	if took := x.untilAnswered(2 * time.Second); took != QuorumConfirmTimeout || !x.out.Replies[0].Rejected {
		t.Errorf("%+v after %v", x.out.Replies, took)
	}
}

// TestContactDoesNotMakeUpForRouters: what is not in force waits for its time, with contact or without.
func TestContactDoesNotMakeUpForRouters(t *testing.T) {
	x := newTable(t)
	x.step(RoutersConfirmed{Revision: x.updates.revision})
	x.parted = x.now.Add(-time.Millisecond)
	x.leave("e")
	x.wait(100 * time.Millisecond)
	x.parted = time.Time{}
	if took := x.untilAnswered(time.Second); took < DrainAckTimeout-100*time.Millisecond || x.out.Replies[0].InForce {
		t.Errorf("%+v after %v", x.out.Replies, took)
	}
}

func TestInstanceWithoutContactRefusesAtOnceAndNotes(t *testing.T) {
	x := newTable(t)
	x.parted = x.now.Add(-QuorumContactTTL - time.Nanosecond)
	for _, out := range []Output{x.beat(beat("e", 1, protocol.Ready)), x.beat(beat("e", 2, protocol.Draining))} {
		if len(out.Replies) != 1 || !out.Replies[0].Rejected || out.Replies[0].InForce {
			t.Errorf("%+v", out)
		}
	}
	x.want("e", protocol.Draining)
	x.parted = x.now.Add(-QuorumContactTTL)
	if out := x.beat(beat("f", 1, protocol.Ready)); !acknowledged(out) {
		t.Errorf("with a contact of late: %+v", out)
	}
	never := New(x.config, begin)
	out := never.Step(begin.Add(time.Minute), Heartbeat{RequestID: 1, Endpoint: beat("e", 1, protocol.Ready)})
	if !out.Replies[0].Rejected {
		t.Errorf("without any contact ever: %+v", out)
	}
}

// TestWaitEndsWithTheContact: an instance that becomes isolated while a call waits lets it ask elsewhere.
func TestWaitEndsWithTheContact(t *testing.T) {
	x := newTable(t)
	x.parted = x.now.Add(-QuorumContactTTL + 100*time.Millisecond)
	x.leave("e")
	if took := x.untilAnswered(2 * time.Second); took > 150*time.Millisecond || !x.out.Replies[0].Rejected {
		t.Errorf("%+v after %v", x.out.Replies, took)
	}
}

// TestDeleteOfAnUnknownEndpointReachesEverybody: it may never have said anything here.
func TestDeleteOfAnUnknownEndpointReachesEverybody(t *testing.T) {
	x := newTable(t)
	x.step(Peers{Reachable: []string{"other"}}, RoutersConfirmed{Revision: x.updates.revision})
	out := x.leave("stranger")
	if len(out.Replies) != 0 {
		t.Fatal("acknowledged before routers have it")
	}
	if len(out.Changed) != 1 || out.Changed[0].ID != "stranger" || out.Changed[0].State != protocol.Departed || !out.Urgent {
		t.Fatalf("routers are told %+v", out.Changed)
	}
	at := slices.IndexFunc(out.Send, func(sent Send) bool {
		_, isDelta := sent.Message.(*protocol.RegistryDelta)
		return isDelta
	})
	if at < 0 {
		t.Fatalf("the other instance is sent %+v", out.Send)
	}
	delta, _ := out.Send[at].Message.(*protocol.RegistryDelta)
	other := newTable(t)
	other.beat(beat("stranger", 1, protocol.Ready)) // it called there
	delta.Origin = protocol.Origin{Address: "self of the first", Incarnation: 9}
	there := other.step(PeerMessage{Content: delta})
	if len(there.Changed) != 1 || there.Changed[0].State != protocol.Departed {
		t.Errorf("routers of the other instance are told %+v", there.Changed)
	}
}

// TestFarewellsAgain: whatever comes late or once more is acknowledged once settled, and undoes nothing.
func TestFarewellsAgain(t *testing.T) {
	x := newTable(t)
	x.beat(beat("e", 3, protocol.Ready))
	x.beat(beat("e", 4, protocol.Draining))
	repeated := []struct {
		what string
		say  func() Output
		want protocol.EndpointState
	}{
		{"the same again, its answer was lost", func() Output { return x.beat(beat("e", 4, protocol.Draining)) }, protocol.Draining},
		{"a late one", func() Output { return x.beat(beat("e", 2, protocol.Ready)) }, protocol.Draining},
		{"a later one", func() Output { return x.beat(beat("e", 5, protocol.Draining)) }, protocol.Draining},
		{"a late draining one", func() Output { return x.beat(beat("e", 4, protocol.Draining)) }, protocol.Draining},
		{"delete", func() Output { return x.leave("e") }, protocol.Departed},
		{"delete again", func() Output { return x.leave("e") }, protocol.Departed},
		{"draining after delete", func() Output { return x.beat(beat("e", 6, protocol.Draining)) }, protocol.Departed},
		{"late ready after delete", func() Output { return x.beat(beat("e", 1, protocol.Ready)) }, protocol.Departed},
		{"ready after delete", func() Output { return x.beat(beat("e", 9, protocol.Ready)) }, protocol.Departed},
	}
	for _, call := range repeated {
		out := call.say()
		if !acknowledged(out) {
			t.Errorf("%s: %+v", call.what, out)
		}
		x.want("e", call.want)
	}
}

// TestRepeatedDeleteWaitsAgain: what was not settled is not taken as settled for having been asked before.
func TestRepeatedDeleteWaitsAgain(t *testing.T) {
	x := newTable(t)
	x.beat(beat("e", 1, protocol.Ready))
	x.step(RoutersConfirmed{Revision: x.updates.revision})
	x.leave("e")
	for _, out := range []Output{x.leave("e"), x.beat(beat("e", 2, protocol.Draining))} {
		if len(out.Replies) != 0 {
			t.Fatalf("acknowledged before routers have it: %+v", out)
		}
	}
	out := x.step(RoutersConfirmed{Revision: x.updates.revision})
	if len(out.Replies) != 3 || !out.Replies[2].InForce {
		t.Errorf("%+v", out.Replies)
	}
	x.want("e", protocol.Departed)
}

// TestSettledFarewellNeedsContactAgain: what was in force everywhere may not be where the others are by now.
func TestSettledFarewellNeedsContactAgain(t *testing.T) {
	for name, say := range farewells {
		x := newTable(t)
		if !acknowledged(say(x, 2)) {
			t.Fatalf("%s: %+v", name, x.out)
		}
		x.parted = x.now.Add(-time.Millisecond)
		if out := say(x, 3); len(out.Replies) != 0 {
			t.Errorf("%s again, without contact: %+v", name, out)
		}
	}
}
