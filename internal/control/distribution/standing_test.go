package distribution

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"raventrestle/internal/protocol"
)

const epoch = 3

func contactAt(at time.Time) Contact { return Contact{Epoch: epoch, ConfirmedAt: at} }

// standingsTo returns what all messages to a connection state.
func standingsTo(out Output, connection ConnectionID) []protocol.FreshnessProof {
	var standings []protocol.FreshnessProof
	for _, message := range out.Send {
		if message.Connection == connection {
			standings = append(standings, standingOf(message.Message))
		}
	}
	return standings
}

func standingOf(message any) protocol.FreshnessProof {
	switch message := message.(type) {
	case *protocol.Update:
		return message.Freshness
	case *protocol.Beacon:
		return message.Freshness
	case *protocol.ProbeReply:
		return message.Freshness
	}
	panic("a message without standing")
}

// oneGone is a table in which an endpoint that is gone shows only where that was asked for.
func oneGone(withGone bool) []protocol.Endpoint {
	table := oneEndpoint(withGone)
	if withGone {
		table = append(table, protocol.Endpoint{ID: "e1", State: protocol.Departed})
	}
	return table
}

func isFull(update *protocol.Update) bool { return update.Snapshot }

func TestEveryMessageStatesTheAgeOfTheContact(t *testing.T) {
	h := New(begin)
	at := begin.Add(2 * time.Second)
	out := h.Step(at, noTable, contactAt(at.Add(-30*time.Millisecond)), subscribed(1, "r1", 0))
	want := protocol.FreshnessProof{Epoch: epoch, HasMajorityContact: true, MajorityContactAge: 30 * time.Millisecond, SentAt: 2 * time.Second}
	if got := standingsTo(out, 1); len(got) != 1 || got[0] != want {
		t.Errorf("first update states %+v, want %+v", got, want)
	}
	out = h.Step(at.Add(BeaconEvery), noTable)
	want.MajorityContactAge, want.SentAt = 30*time.Millisecond+BeaconEvery, at.Add(BeaconEvery).Sub(begin)
	if got := standingsTo(out, 1); beaconsTo(out, 1) != 1 || got[0] != want {
		t.Errorf("beacon states %+v, want %+v", got, want)
	}
	out = h.Step(at.Add(BeaconEvery), noTable, Probed{Connection: 2, Mark: 9})
	want.EchoedSequence = 9
	if got := standingsTo(out, 2); len(got) != 1 || got[0] != want {
		t.Errorf("answer to a probe states %+v, want %+v", got, want)
	}
}

func TestWithoutContactTheStandingSaysSo(t *testing.T) {
	h := New(begin)
	out := h.Step(begin.Add(time.Second), noTable, Contact{Epoch: epoch}, subscribed(1, "r1", 0))
	want := protocol.FreshnessProof{Epoch: epoch, SentAt: time.Second}
	if got := standingsTo(out, 1); len(got) != 1 || got[0] != want {
		t.Errorf("states %+v, want %+v", got, want)
	}
}

func TestContactAfterTheStepIsNotOlderThanTheMessage(t *testing.T) {
	h := New(begin)
	out := h.Step(begin, noTable, contactAt(begin.Add(time.Millisecond)), subscribed(1, "r1", 0))
	if got := standingsTo(out, 1); !got[0].HasMajorityContact || got[0].MajorityContactAge != 0 {
		t.Errorf("states %+v", got)
	}
}

func TestProbeIsAnsweredWithoutSubscription(t *testing.T) {
	h := New(begin)
	h.Step(begin, noTable, Configuration{Generation: 4, Document: []byte("four")})
	out := h.Step(begin, noTable, Probed{Connection: 1, Mark: 5})
	if len(out.Send) != 1 {
		t.Fatalf("%d messages", len(out.Send))
	}
	answer, isAnswer := out.Send[0].Message.(*protocol.ProbeReply)
	if !isAnswer || answer.Generation != 4 || answer.Freshness.EchoedSequence != 5 {
		t.Errorf("answer %+v", out.Send[0].Message)
	}
	if len(h.Connected()) != 0 || len(out.Joined) != 0 || out.Barrier != 0 {
		t.Error("a probe was taken for a subscription")
	}
}

func TestMarksAreKeptByConnection(t *testing.T) {
	h := New(begin)
	h.Step(begin, noTable, Probed{Connection: 1, Mark: 5}, Probed{Connection: 2, Mark: 50})
	out := h.Step(begin, noTable, subscribed(1, "r1", 0))
	if got := standingsTo(out, 1); got[0].EchoedSequence != 5 {
		t.Errorf("the mark of the probe is forgotten: %+v", got)
	}
	h.Step(begin, noTable, Confirmed{Connection: 1, Sequence: 1, Mark: 7}, Probed{Connection: 1, Mark: 6})
	h.Step(begin, noTable, Confirmed{Connection: 1, Sequence: 1})
	if got := standingsTo(h.Step(begin.Add(BeaconEvery), noTable), 1); got[0].EchoedSequence != 7 {
		t.Errorf("a mark fell: %+v", got)
	}
	router := subscribed(3, "r3", 0)
	router.Router.EchoSequence = 11
	if got := standingsTo(h.Step(begin, noTable, router), 3); got[0].EchoedSequence != 11 {
		t.Errorf("the mark of the subscription does not come back: %+v", got)
	}
	h.Step(begin, noTable, Closed{Connection: 1}, Closed{Connection: 2}, Closed{Connection: 3})
	if len(h.marks) != 0 {
		t.Errorf("marks of closed connections are kept: %v", h.marks)
	}
}

func TestClosingForgetsTheMark(t *testing.T) {
	h := New(begin)
	first := subscribed(1, "r1", 0)
	first.Router.EchoSequence = 1
	h.Step(begin, noTable, first)
	h.Step(begin, noTable, subscribed(2, "r1", 0)) // closes the first, of which no Closed comes
	if _, kept := h.marks[1]; kept {
		t.Error("the mark of a connection that was closed here is kept")
	}
}

// TestRouterIsTakenWithAndWithoutContact: nobody is sent away or refused for the age of the contact, however old.
func TestRouterIsTakenWithAndWithoutContact(t *testing.T) {
	for _, contact := range []Contact{{}, {Epoch: epoch}, contactAt(begin), contactAt(begin.Add(-time.Hour))} {
		h := New(begin)
		out := h.Step(begin, noTable, contact, subscribed(1, "r1", 0))
		if len(out.Close) != 0 || len(updatesTo(out, 1)) != 1 {
			t.Fatalf("%+v: not taken at its first try", contact)
		}
		for now := begin; now.Before(begin.Add(time.Minute)); now = out.WakeAt {
			out = h.Step(now, noTable, Confirmed{Connection: 1, Sequence: 1 << 40})
			if len(out.Close) != 0 {
				t.Fatalf("%+v: sent away as %s after %v", contact, out.Close[0].Reason, now.Sub(begin))
			}
		}
	}
}

// TestTableReplacesOnlyWithAFreshContact: an instance that was cut off lets routers merge, and makes up for it.
func TestTableReplacesOnlyWithAFreshContact(t *testing.T) {
	h := New(begin)
	h.Step(begin, oneGone, contactAt(begin), Endpoints{Revision: 3, Routers: 2, Whole: true})
	at := begin.Add(FreshFor + time.Millisecond)
	first := updatesTo(h.Step(at, oneGone, subscribed(1, "r1", 0)), 1)[0]
	if first.Snapshot || len(first.Endpoints) != 2 {
		t.Fatalf("a table of %d that replaces (%v) without a fresh contact", len(first.Endpoints), first.Snapshot)
	}
	at = at.Add(time.Millisecond)
	stale := h.Step(at, oneGone, Endpoints{Changed: oneEndpoint(false), Revision: 4, Routers: 2, Whole: true, Urgent: true})
	if slices.ContainsFunc(updatesTo(stale, 1), isFull) {
		t.Fatal("replaced without a fresh contact")
	}
	at = at.Add(time.Millisecond)
	fresh := updatesTo(h.Step(at, oneGone, contactAt(at)), 1)
	if len(fresh) != 1 || !fresh[0].Snapshot || len(fresh[0].Endpoints) != 1 {
		t.Fatalf("with a fresh contact again: %+v", fresh)
	}
	again := h.Step(at.Add(time.Millisecond), oneGone, contactAt(at))
	if len(again.Send) != 0 {
		t.Errorf("sent twice: %+v", again.Send)
	}
}

func TestTableOfAYoungInstanceReplacesOnceItIsWhole(t *testing.T) {
	h := New(begin)
	first := updatesTo(h.Step(begin, oneGone, contactAt(begin), subscribed(1, "r1", 0)), 1)[0]
	if first.Snapshot || len(first.Endpoints) != 2 {
		t.Fatalf("first: %+v", first)
	}
	whole := updatesTo(h.Step(begin, oneGone, Endpoints{Revision: 1, Whole: true}), 1)
	if len(whole) != 1 || !whole[0].Snapshot {
		t.Errorf("whole: %+v", whole)
	}
}

// TestFreshContactIsToldAtOnce: routers don't wait for the next beacon.
func TestFreshContactIsToldAtOnce(t *testing.T) {
	h := New(begin)
	h.Step(begin, noTable, contactAt(begin.Add(-FreshFor)), subscribed(1, "r1", 0))
	at := begin.Add(10 * time.Millisecond)
	out := h.Step(at, noTable, contactAt(at)) // it was told a fresh one that is none any more
	if got := standingsTo(out, 1); len(got) != 1 || got[0].MajorityContactAge != 0 {
		t.Fatalf("told %+v", got)
	}
	at = at.Add(time.Millisecond)
	if out = h.Step(at, noTable, contactAt(at)); len(out.Send) != 0 {
		t.Errorf("told again: %+v", out.Send)
	}
	out = h.Step(at, noTable, subscribed(2, "r2", 0), Contact{}, subscribed(3, "r3", 0), contactAt(at))
	if got := standingsTo(out, 2); len(got) != 1 {
		t.Errorf("a router that knows of the contact is told again: %+v", got)
	}
	if got := standingsTo(out, 3); len(got) != 2 || !got[1].HasMajorityContact {
		t.Errorf("a router that was told of none in this step is left with it: %+v", got)
	}
}

// TestContactIsLookedForWhileRoutersLackIt: the host reads the contact at each step, so there must be one soon.
func TestContactIsLookedForWhileRoutersLackIt(t *testing.T) {
	h := New(begin)
	if out := h.Step(begin, noTable); !out.WakeAt.IsZero() {
		t.Error("awake without a router")
	}
	out := h.Step(begin, noTable, subscribed(1, "r1", 0))
	if wait := out.WakeAt.Sub(begin); wait > contactEvery {
		t.Errorf("looks again after %v", wait)
	}
	out = h.Step(begin, noTable, contactAt(begin))
	if wait := out.WakeAt.Sub(begin); wait != BeaconEvery {
		t.Errorf("with a fresh contact it wakes after %v", wait)
	}
}

// TestStandingsAreTrue plays random contacts, marks and news: no message claims what is not so.
func TestStandingsAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := New(begin)
		now := begin
		contact := Contact{}
		mark := uint64(0)
		marks := make(map[ConnectionID]uint64)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "wait")) * time.Millisecond)
			connection := ConnectionID(rapid.IntRange(1, 4).Draw(t, "connection"))
			var in Input
			switch rapid.SampledFrom([]string{"contact", "probe", "subscribe", "confirm", "change", "none"}).Draw(t, "kind") {
			case "contact":
				contact = contactAt(now.Add(-time.Duration(rapid.IntRange(0, 1500).Draw(t, "age")) * time.Millisecond))
				in = contact
			case "probe":
				mark++
				marks[connection] = mark
				in = Probed{Connection: connection, Mark: mark}
			case "subscribe":
				mark++
				marks[connection] = mark
				router := protocol.Subscribe{Node: string(rune('a' + connection)), EchoSequence: mark}
				in = Subscribed{Connection: connection, Router: router}
			case "confirm":
				in = Confirmed{Connection: connection, Sequence: 1}
			case "change":
				in = Endpoints{Changed: oneEndpoint(false), Revision: h.revision + 1, Whole: true}
			}
			var inputs []Input
			if in != nil {
				inputs = append(inputs, in)
			}
			for _, message := range h.Step(now, oneGone, inputs...).Send {
				standing := standingOf(message.Message)
				if standing.SentAt != now.Sub(begin) || standing.EchoedSequence != marks[message.Connection] {
					t.Fatalf("%+v at %v with mark %d", standing, now.Sub(begin), marks[message.Connection])
				}
				if standing.HasMajorityContact == contact.ConfirmedAt.IsZero() {
					t.Fatalf("known: %v of %+v", standing.HasMajorityContact, contact)
				}
				if standing.HasMajorityContact && now.Add(-standing.MajorityContactAge).After(contact.ConfirmedAt) {
					t.Fatalf("states an age of %v, it is %v", standing.MajorityContactAge, now.Sub(contact.ConfirmedAt))
				}
				update, isUpdate := message.Message.(*protocol.Update)
				if isUpdate && update.Snapshot && (!standing.HasMajorityContact || standing.MajorityContactAge > FreshFor) {
					t.Fatalf("replaces with a contact of %+v", standing)
				}
			}
		}
	})
}
