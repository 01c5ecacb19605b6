package distribution

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"raventrestle/internal/protocol"
)

const epoch = 3

func contactAt(at time.Time) QuorumContact { return QuorumContact{Epoch: epoch, ConfirmedAt: at} }

// proofsTo returns what all messages to a connection state.
func proofsTo(out Output, connection ConnectionID) []protocol.FreshnessProof {
	var proofs []protocol.FreshnessProof
	for _, message := range out.Messages {
		if message.Connection == connection {
			proofs = append(proofs, proofOf(message.Content))
		}
	}
	return proofs
}

func proofOf(message any) protocol.FreshnessProof {
	switch message := message.(type) {
	case *protocol.Update:
		return message.Freshness
	case *protocol.Beacon:
		return message.Freshness
	case *protocol.ProbeReply:
		return message.Freshness
	}
	panic("a message without proof")
}

// oneTombstone is a table of an endpoint and, where tombstones are asked for, that of another.
func oneTombstone(includeTombstones bool) []protocol.Endpoint {
	table := oneEndpoint(includeTombstones)
	if includeTombstones {
		table = append(table, protocol.Endpoint{ID: "e1", State: protocol.Departed})
	}
	return table
}

func isFull(update *protocol.Update) bool { return update.Snapshot }

func TestEveryMessageStatesTheAgeOfTheContact(t *testing.T) {
	h := New(begin)
	at := begin.Add(2 * time.Second)
	out := h.Step(at, noTable, contactAt(at.Add(-30*time.Millisecond)), subscribed(1, "r1", 0))
	want := protocol.FreshnessProof{
		Epoch: epoch, HasMajorityContact: true, MajorityContactAge: 30 * time.Millisecond, SentAt: 2 * time.Second,
	}
	if got := proofsTo(out, 1); len(got) != 1 || got[0] != want {
		t.Errorf("first update states %+v, want %+v", got, want)
	}
	out = h.Step(at.Add(BeaconInterval), noTable)
	want.MajorityContactAge, want.SentAt = 30*time.Millisecond+BeaconInterval, at.Add(BeaconInterval).Sub(begin)
	if got := proofsTo(out, 1); beaconsTo(out, 1) != 1 || got[0] != want {
		t.Errorf("beacon states %+v, want %+v", got, want)
	}
	out = h.Step(at.Add(BeaconInterval), noTable, Probed{Connection: 2, Echo: 9})
	want.EchoedSequence = 9
	if got := proofsTo(out, 2); len(got) != 1 || got[0] != want {
		t.Errorf("answer to a probe states %+v, want %+v", got, want)
	}
}

func TestWithoutContactTheProofSaysSo(t *testing.T) {
	h := New(begin)
	out := h.Step(begin.Add(time.Second), noTable, QuorumContact{Epoch: epoch}, subscribed(1, "r1", 0))
	want := protocol.FreshnessProof{Epoch: epoch, SentAt: time.Second}
	if got := proofsTo(out, 1); len(got) != 1 || got[0] != want {
		t.Errorf("the update states %+v, want %+v", got, want)
	}
}

func TestContactAfterTheStepIsNotOlderThanTheMessage(t *testing.T) {
	h := New(begin)
	out := h.Step(begin, noTable, contactAt(begin.Add(time.Millisecond)), subscribed(1, "r1", 0))
	if got := proofsTo(out, 1); !got[0].HasMajorityContact || got[0].MajorityContactAge != 0 {
		t.Errorf("the update states %+v, want a known age of 0", got)
	}
}

func TestProbeIsAnsweredWithoutSubscription(t *testing.T) {
	h := New(begin)
	h.Step(begin, noTable, Configuration{Generation: 4, Document: []byte("four")})
	out := h.Step(begin, noTable, Probed{Connection: 1, Echo: 5})
	if len(out.Messages) != 1 {
		t.Fatalf("%d messages, want 1", len(out.Messages))
	}
	answer, isAnswer := out.Messages[0].Content.(*protocol.ProbeReply)
	if !isAnswer || answer.Generation != 4 || answer.Freshness.EchoedSequence != 5 {
		t.Errorf("answer %+v, want version 4 and number 5", out.Messages[0].Content)
	}
	if len(h.Connected()) != 0 || len(out.Subscribed) != 0 || out.StartBarrier != 0 {
		t.Errorf("routers %v, subscribed %v, barrier %d after a probe; want none", h.Connected(), out.Subscribed, out.StartBarrier)
	}
}

func TestEchoesAreKeptByConnection(t *testing.T) {
	h := New(begin)
	h.Step(begin, noTable, Probed{Connection: 1, Echo: 5}, Probed{Connection: 2, Echo: 50})
	out := h.Step(begin, noTable, subscribed(1, "r1", 0))
	if got := proofsTo(out, 1); got[0].EchoedSequence != 5 {
		t.Errorf("the update states %+v, want echo 5 of the probe", got)
	}
	h.Step(begin, noTable, UpdateConfirmed{Connection: 1, Sequence: 1, Echo: 7}, Probed{Connection: 1, Echo: 6})
	h.Step(begin, noTable, UpdateConfirmed{Connection: 1, Sequence: 1})
	if got := proofsTo(h.Step(begin.Add(BeaconInterval), noTable), 1); got[0].EchoedSequence != 7 {
		t.Errorf("the beacon states %+v, want echo 7: echoes only rise", got)
	}
	router := subscribed(3, "r3", 0)
	router.Router.EchoSequence = 11
	if got := proofsTo(h.Step(begin, noTable, router), 3); got[0].EchoedSequence != 11 {
		t.Errorf("the update states %+v, want echo 11 of the subscription", got)
	}
	h.Step(begin, noTable, ConnectionClosed{Connection: 1}, ConnectionClosed{Connection: 2}, ConnectionClosed{Connection: 3})
	if len(h.echoes) != 0 {
		t.Errorf("echoes of closed connections are kept: %v", h.echoes)
	}
}

func TestClosingForgetsTheEcho(t *testing.T) {
	h := New(begin)
	first := subscribed(1, "r1", 0)
	first.Router.EchoSequence = 1
	h.Step(begin, noTable, first)
	h.Step(begin, noTable, subscribed(2, "r1", 0)) // closes the first, of which no Closed comes
	if _, kept := h.echoes[1]; kept {
		t.Error("the echo of a connection that was closed here is kept")
	}
}

// TestRouterIsSubscribedWithAndWithoutContact: no connection is closed or subscription rejected for the age of the
// contact, however old.
func TestRouterIsSubscribedWithAndWithoutContact(t *testing.T) {
	for _, contact := range []QuorumContact{{}, {Epoch: epoch}, contactAt(begin), contactAt(begin.Add(-time.Hour))} {
		h := New(begin)
		out := h.Step(begin, noTable, contact, subscribed(1, "r1", 0))
		if len(out.Close) != 0 || len(updatesTo(out, 1)) != 1 {
			t.Fatalf("%+v: closed %v, %d updates; want none closed, 1 update", contact, out.Close, len(updatesTo(out, 1)))
		}
		for now := begin; now.Before(begin.Add(time.Minute)); now = out.WakeAt {
			out = h.Step(now, noTable, UpdateConfirmed{Connection: 1, Sequence: 1 << 40})
			if len(out.Close) != 0 {
				t.Fatalf("%+v: closed as %s after %v, want never", contact, out.Close[0].Reason, now.Sub(begin))
			}
		}
	}
}

// TestSnapshotIsSentOnlyWithAFreshContact: an instance that is isolated has routers merge its table, and sends a
// snapshot later.
func TestSnapshotIsSentOnlyWithAFreshContact(t *testing.T) {
	h := New(begin)
	h.Step(begin, oneTombstone, contactAt(begin), Endpoints{Revision: 3, RouterCount: 2, Complete: true})
	at := begin.Add(QuorumContactTTL + time.Millisecond)
	first := updatesTo(h.Step(at, oneTombstone, subscribed(1, "r1", 0)), 1)[0]
	if first.Snapshot || len(first.Endpoints) != 2 {
		t.Fatalf("%d endpoints, snapshot: %v without a fresh contact; want 2, false", len(first.Endpoints), first.Snapshot)
	}
	at = at.Add(time.Millisecond)
	change := Endpoints{Changed: oneEndpoint(false), Revision: 4, RouterCount: 2, Complete: true, Urgent: true}
	stale := h.Step(at, oneTombstone, change)
	if slices.ContainsFunc(updatesTo(stale, 1), isFull) {
		t.Fatal("a snapshot without a fresh contact")
	}
	at = at.Add(time.Millisecond)
	fresh := updatesTo(h.Step(at, oneTombstone, contactAt(at)), 1)
	if len(fresh) != 1 || !fresh[0].Snapshot || len(fresh[0].Endpoints) != 1 {
		t.Fatalf("with a fresh contact again: %+v, want a snapshot of 1 endpoint", fresh)
	}
	again := h.Step(at.Add(time.Millisecond), oneTombstone, contactAt(at))
	if len(again.Messages) != 0 {
		t.Errorf("sent again: %+v, want nothing", again.Messages)
	}
}

func TestSnapshotFollowsOnceTheTableIsComplete(t *testing.T) {
	h := New(begin)
	first := updatesTo(h.Step(begin, oneTombstone, contactAt(begin), subscribed(1, "r1", 0)), 1)[0]
	if first.Snapshot || len(first.Endpoints) != 2 {
		t.Fatalf("first: %+v, want 2 endpoints to be merged", first)
	}
	complete := updatesTo(h.Step(begin, oneTombstone, Endpoints{Revision: 1, Complete: true}), 1)
	if len(complete) != 1 || !complete[0].Snapshot {
		t.Errorf("once complete: %+v, want one snapshot", complete)
	}
}

// TestFreshContactIsAdvertisedAtOnce: routers don't wait for the next beacon interval.
func TestFreshContactIsAdvertisedAtOnce(t *testing.T) {
	h := New(begin)
	h.Step(begin, noTable, contactAt(begin.Add(-QuorumContactTTL)), subscribed(1, "r1", 0))
	at := begin.Add(10 * time.Millisecond)
	out := h.Step(at, noTable, contactAt(at)) // the router was sent one that is fresh no longer
	if got := proofsTo(out, 1); len(got) != 1 || got[0].MajorityContactAge != 0 {
		t.Fatalf("messages state %+v, want one of age 0", got)
	}
	at = at.Add(time.Millisecond)
	if out = h.Step(at, noTable, contactAt(at)); len(out.Messages) != 0 {
		t.Errorf("sent again: %+v, want nothing", out.Messages)
	}
	out = h.Step(at, noTable, subscribed(2, "r2", 0), QuorumContact{}, subscribed(3, "r3", 0), contactAt(at))
	if got := proofsTo(out, 2); len(got) != 1 {
		t.Errorf("to a router that knows of the contact: %+v, want one message", got)
	}
	if got := proofsTo(out, 3); len(got) != 2 || !got[1].HasMajorityContact {
		t.Errorf("to a router that was sent none in this step: %+v, want a second message that states it", got)
	}
}

// TestContactIsPolledWhileRoutersLackIt: the host reads the contact at each step, so there must be one soon.
func TestContactIsPolledWhileRoutersLackIt(t *testing.T) {
	h := New(begin)
	if out := h.Step(begin, noTable); !out.WakeAt.IsZero() {
		t.Errorf("a wake-up at %v without a router, want none", out.WakeAt)
	}
	out := h.Step(begin, noTable, subscribed(1, "r1", 0))
	if wait := out.WakeAt.Sub(begin); wait > contactPollInterval {
		t.Errorf("steps again after %v, want %v at the latest", wait, contactPollInterval)
	}
	out = h.Step(begin, noTable, contactAt(begin))
	if wait := out.WakeAt.Sub(begin); wait != BeaconInterval {
		t.Errorf("with a fresh contact it steps again after %v, want %v", wait, BeaconInterval)
	}
}

// TestFreshnessProofsAreTrue draws random contacts, echoes and changes: no message states what is not so.
func TestFreshnessProofsAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := New(begin)
		now := begin
		contact := QuorumContact{}
		echo := uint64(0)
		echoes := make(map[ConnectionID]uint64)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "wait")) * time.Millisecond)
			connection := ConnectionID(rapid.IntRange(1, 4).Draw(t, "connection"))
			var in Input
			switch rapid.SampledFrom([]string{"contact", "probe", "subscribe", "confirm", "change", "none"}).Draw(t, "kind") {
			case "contact":
				contact = contactAt(now.Add(-time.Duration(rapid.IntRange(0, 1500).Draw(t, "age")) * time.Millisecond))
				in = contact
			case "probe":
				echo++
				echoes[connection] = echo
				in = Probed{Connection: connection, Echo: echo}
			case "subscribe":
				echo++
				echoes[connection] = echo
				router := protocol.Subscribe{Node: string(rune('a' + connection)), EchoSequence: echo}
				in = Subscribed{Connection: connection, Router: router}
			case "confirm":
				in = UpdateConfirmed{Connection: connection, Sequence: 1}
			case "change":
				in = Endpoints{Changed: oneEndpoint(false), Revision: h.revision + 1, Complete: true}
			}
			var inputs []Input
			if in != nil {
				inputs = append(inputs, in)
			}
			for _, message := range h.Step(now, oneTombstone, inputs...).Messages {
				proof := proofOf(message.Content)
				if proof.SentAt != now.Sub(begin) || proof.EchoedSequence != echoes[message.Connection] {
					t.Fatalf("states %+v, want time %v and echo %d", proof, now.Sub(begin), echoes[message.Connection])
				}
				if proof.HasMajorityContact == contact.ConfirmedAt.IsZero() {
					t.Fatalf("states known: %v, the contact is %+v", proof.HasMajorityContact, contact)
				}
				if proof.HasMajorityContact && now.Add(-proof.MajorityContactAge).After(contact.ConfirmedAt) {
					t.Fatalf("states an age of %v, want %v at least", proof.MajorityContactAge, now.Sub(contact.ConfirmedAt))
				}
				update, isUpdate := message.Content.(*protocol.Update)
				if isUpdate && update.Snapshot && (!proof.HasMajorityContact || proof.MajorityContactAge > QuorumContactTTL) {
					t.Fatalf("a snapshot with a contact of %+v, want a fresh one", proof)
				}
			}
		}
	})
}
