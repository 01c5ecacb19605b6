package distribution

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"raventrestle/internal/protocol"
)

var begin = time.Unix(1000, 0)

func noTable(bool) []protocol.Endpoint { return nil }

func oneEndpoint(bool) []protocol.Endpoint {
	return []protocol.Endpoint{{ID: "e0", Service: "s", Address: "a:1"}}
}

func subscribed(connection ConnectionID, node string, generation int64) Subscribed {
	return Subscribed{Connection: connection, Router: protocol.Subscribe{Node: node, Generation: generation}}
}

func updatesTo(out Output, connection ConnectionID) []*protocol.Update {
	var updates []*protocol.Update
	for _, message := range out.Messages {
		if update, isUpdate := message.Content.(*protocol.Update); isUpdate && message.Connection == connection {
			updates = append(updates, update)
		}
	}
	return updates
}

func beaconsTo(out Output, connection ConnectionID) int {
	count := 0
	for _, message := range out.Messages {
		if _, isBeacon := message.Content.(*protocol.Beacon); isBeacon && message.Connection == connection {
			count++
		}
	}
	return count
}

func TestSubscriptionGetsEverythingAndIsConfirmedByALaterBarrier(t *testing.T) {
	h := New(begin)
	h.Step(begin, noTable, Configuration{Generation: 5, Document: []byte("five")}, contactAt(begin),
		Endpoints{Revision: 3, RouterCount: 2, Complete: true}, Members{Members: []protocol.Member{{Identity: "m"}}})
	out := h.Step(begin, oneEndpoint, subscribed(1, "r1", 4))
	first := updatesTo(out, 1)
	if len(first) != 1 {
		t.Fatalf("%d updates, want 1", len(first))
	}
	got := first[0]
	if got.Sequence != 1 || got.Generation != 5 || string(got.Document) != "five" || !got.Snapshot || got.GenerationConfirmed ||
		len(got.Endpoints) != 1 || len(got.Members) != 1 || got.RouterCount != 2 {
		t.Errorf("first update: %+v, want number 1 with everything, unconfirmed", got)
	}
	if out.StartBarrier != 1 {
		t.Fatalf("barrier %d, want 1", out.StartBarrier)
	}
	second := h.Step(begin.Add(time.Millisecond), oneEndpoint, subscribed(2, "r2", 5))
	if document := updatesTo(second, 2)[0].Document; document != nil {
		t.Errorf("a router that has version 5 got document %q, want none", document)
	}
	out = h.Step(begin.Add(2*time.Millisecond), oneEndpoint, BarrierPassed{Barrier: 1})
	if updates := updatesTo(out, 1); len(updates) != 1 || !updates[0].GenerationConfirmed || updates[0].Document != nil {
		t.Errorf("after its barrier: %+v, want one update, confirmed, without document", updates)
	}
	if updates := updatesTo(out, 2); len(updates) != 0 {
		t.Errorf("after a barrier that began before it subscribed: %+v, want no update", updates)
	}
	if out.StartBarrier != 2 {
		t.Errorf("barrier %d, want one for the second router", out.StartBarrier)
	}
}

func TestConfirmedCarriesTheNewestVersion(t *testing.T) {
	h := New(begin)
	h.Step(begin, noTable, subscribed(1, "r1", 0))
	out := h.Step(begin, noTable, Configuration{Generation: 7, Document: []byte("seven")}, BarrierPassed{Barrier: 1})
	for _, update := range updatesTo(out, 1) {
		if update.GenerationConfirmed && (update.Generation != 7 || string(update.Document) != "seven") {
			t.Errorf("confirmed with %+v, want version 7", update)
		}
	}
}

func TestBeaconsOnlyWhereNothingElseIsSent(t *testing.T) {
	h := New(begin)
	now := begin
	out := h.Step(now, noTable, subscribed(1, "r1", 0), UpdateConfirmed{Connection: 1, Sequence: 1})
	receivedAt := now
	for now.Before(begin.Add(3 * time.Second)) {
		if out.WakeAt.IsZero() {
			t.Fatal("no wake-up is planned while a router is subscribed, want one")
		}
		now = out.WakeAt
		out = h.Step(now, noTable)
		if beaconsTo(out, 1)+len(updatesTo(out, 1)) > 0 {
			receivedAt = now
		}
		if gap := now.Sub(receivedAt); gap > 2*BeaconInterval {
			t.Fatalf("no message for %v, want one after %v at the latest", gap, 2*BeaconInterval)
		}
	}
	changed := Endpoints{Changed: oneEndpoint(false), Revision: 1}
	h.Step(now.Add(BeaconInterval-10*time.Millisecond), noTable, changed)
	out = h.Step(now.Add(BeaconInterval), noTable)
	if beaconsTo(out, 1) != 0 {
		t.Error("a beacon right after an update, want none")
	}
	out = h.Step(now.Add(BeaconInterval), noTable, ConnectionClosed{Connection: 1})
	if !out.WakeAt.IsZero() {
		t.Errorf("a wake-up at %v without a router, want none", out.WakeAt)
	}
}

func TestOrdinaryChangesAreBatchedAndUrgentOnesAreNot(t *testing.T) {
	h := New(begin)
	h.Step(begin, noTable, subscribed(1, "r1", 0))
	one := Endpoints{Changed: []protocol.Endpoint{{ID: "e1"}}, Revision: 1}
	two := Endpoints{Changed: []protocol.Endpoint{{ID: "e2"}}, Revision: 2}
	out := h.Step(begin, noTable, one)
	if len(updatesTo(out, 1)) != 0 {
		t.Fatalf("%d updates at once, want none: an ordinary change waits", len(updatesTo(out, 1)))
	}
	h.Step(begin.Add(time.Millisecond), noTable, two)
	out = h.Step(out.WakeAt, noTable)
	if updates := updatesTo(out, 1); len(updates) != 1 || len(updates[0].Endpoints) != 2 {
		t.Fatalf("updates %+v, want one with both changes", updates)
	}
	urgent := Endpoints{Changed: []protocol.Endpoint{{ID: "e1", State: protocol.Draining}}, Revision: 3, Urgent: true}
	out = h.Step(begin.Add(10*time.Millisecond), noTable, urgent)
	if len(updatesTo(out, 1)) != 1 {
		t.Fatalf("%d updates at once, want 1: the change is urgent", len(updatesTo(out, 1)))
	}
	out = h.Step(begin.Add(11*time.Millisecond), noTable, UpdateConfirmed{Connection: 1, Sequence: 2})
	if out.MinConfirmedRevision != 2 {
		t.Errorf("revision %d confirmed by all before the urgent change is, want 2", out.MinConfirmedRevision)
	}
	out = h.Step(begin.Add(11*time.Millisecond), noTable, UpdateConfirmed{Connection: 1, Sequence: 3})
	if out.MinConfirmedRevision != 3 {
		t.Errorf("revision %d confirmed by all after it, want 3", out.MinConfirmedRevision)
	}
}

func TestConnectionOfASlowRouterIsClosed(t *testing.T) {
	h := New(begin)
	out := h.Step(begin, noTable, subscribed(1, "r1", 0))
	for now := begin; now.Before(begin.Add(4 * time.Second)); now = out.WakeAt {
		if out = h.Step(now, noTable); len(out.Close) > 0 {
			if out.Close[0].Reason != ReasonSlow {
				t.Errorf("closed as %s, want %s", out.Close[0].Reason, ReasonSlow)
			}
			if out.MinConfirmedRevision != ^uint64(0) {
				t.Errorf("revision %d confirmed by all, want the largest number: no router is left", out.MinConfirmedRevision)
			}
			return
		}
	}
	t.Error("the connection of a router that confirms nothing stays open for 4 s")
}

func TestNewSubscriptionReplacesTheEarlierOfTheRouter(t *testing.T) {
	h := New(begin)
	h.Step(begin, noTable, subscribed(1, "r1", 0))
	out := h.Step(begin, noTable, subscribed(2, "r1", 0))
	if len(out.Close) != 1 || out.Close[0].Connection != 1 || len(h.Connected()) != 1 {
		t.Errorf("closed %+v, connected %v; want connection 1, one router", out.Close, h.Connected())
	}
}

// TestVersionsOnlyRise draws random inputs and checks each router's sequence and versions.
func TestVersionsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := New(begin)
		now := begin
		next := ConnectionID(0)
		committed := int64(0)
		type seen struct {
			sequence   uint64
			generation int64
			barrier    uint64
		}
		routers := make(map[ConnectionID]*seen)
		subscriptions, running := uint64(0), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond)
			var in Input
			switch rapid.SampledFrom([]string{
				"subscribe", "version", "old", "change", "barrier", "pass", "confirm",
				"none",
			}).Draw(t, "kind") {
			case "subscribe":
				next++
				subscriptions++
				generation := rapid.Int64Range(0, committed).Draw(t, "has")
				routers[next] = &seen{generation: generation, barrier: subscriptions}
				in = subscribed(next, fmt.Sprintf("r%d", rapid.IntRange(0, 3).Draw(t, "node")), generation)
			case "version":
				committed++
				in = Configuration{Generation: committed, Document: fmt.Appendf(nil, "%d", committed)}
			case "old":
				in = Configuration{Generation: committed - 1, Document: []byte("old")}
			case "change":
				in = Endpoints{Changed: oneEndpoint(false), Revision: h.revision + 1, Complete: true}
			case "barrier":
				running = subscriptions
			case "pass":
				in = BarrierPassed{Barrier: running}
			case "confirm":
				if next > 0 {
					in = UpdateConfirmed{Connection: next, Sequence: routers[next].sequence}
				}
			}
			var inputs []Input
			if in != nil {
				inputs = append(inputs, in)
			}
			out := h.Step(now, noTable, inputs...)
			for _, message := range out.Messages {
				update, isUpdate := message.Content.(*protocol.Update)
				if !isUpdate {
					continue
				}
				router := routers[message.Connection]
				router.sequence++
				if update.Sequence != router.sequence {
					t.Fatalf("sequence %d, want %d", update.Sequence, router.sequence)
				}
				if update.Document != nil && update.Generation <= router.generation {
					t.Fatalf("document of version %d after %d, want a later one", update.Generation, router.generation)
				}
				if update.Generation > router.generation && string(update.Document) != fmt.Sprint(update.Generation) {
					t.Fatalf("version %d with document %q, want its own", update.Generation, update.Document)
				}
				router.generation = max(router.generation, update.Generation)
				if update.GenerationConfirmed && (router.barrier > running || router.generation < committed) {
					t.Fatalf("confirmed with %+v, want barrier %d (%d passed) and version %d before",
						update, router.barrier, running, committed)
				}
			}
		}
	})
}
