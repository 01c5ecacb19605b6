package raventrestle

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The settings change while messages are queued and in flight. A class that becomes stricter or is removed stays
// unchanged for messages that already have it, new kinds and classes keep the indices of what is known of targets, and
// an attempt beyond a lower MaxAttempts is not made.
func TestReconfigure(t *testing.T) {
	idempotent := Class{Name: "free", SoftDeadline: time.Second, Deadline: 10 * time.Second, Value: 1}
	set := Settings{
		Forwarders: 1, CallSlots: 4, MaxMessages: 50, MaxAttempts: 3, Classes: []Class{idempotent}, Kinds: []DestinationKind{{MaxBatch: 1}},
		ConnectTimeout: time.Second, IdleTimeout: 5 * time.Second,
	}
	p, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Duration(0)
	step := func(events ...Event) (sent, ended []MessageID) {
		now += 10 * time.Millisecond
		for _, a := range p.Step(now, events) {
			switch a := a.(type) {
			case Send:
				sent = append(sent, a.ID)
			case Refuse:
				ended = append(ended, a.ID)
			case Fail:
				ended = append(ended, a.ID)
			}
		}
		return sent, ended
	}
	step(ListUpdate{Kind: ListSnapshot, Entries: []Entry{{Target: "a", Dest: 7, Kind: 0, Zone: -1}, {Target: "b", Dest: 8, Kind: -1, Zone: -1}}})
	out, _ := step(Arrival{ID: "under way", Dest: 7, Budget: 10 * time.Second}, Arrival{ID: "twice", Dest: 8, Budget: 10 * time.Second})
	if len(out) != 2 {
		t.Fatal(out)
	}
	updated := set
	nonIdempotent := idempotent
	nonIdempotent.Idempotency = NonIdempotent
	updated.Classes, updated.Kinds, updated.MaxAttempts = []Class{idempotent, nonIdempotent}, []DestinationKind{{MaxBatch: 1}, {MaxBatch: 9}}, 1
	if err := p.Reconfigure(updated); err != nil {
		t.Fatal(err)
	}
	if n := len(p.targets["a"].counts); n != 3 || p.destinations[8].kindIndex != 2 || len(p.connectionsLimited) != 3 {
		t.Errorf("%d counts, unknown kind %d, %d connection flags", n, p.destinations[8].kindIndex, len(p.connectionsLimited))
	}
	// A message that may have run may be repeated according to its own class, and the new MaxAttempts ends it.
	_, ended := step(Outcome{ID: "under way", Target: "a", Status: Reset})
	if diff := cmp.Diff([]MessageID{"under way"}, ended); diff != "" {
		t.Error(diff)
	}
	updated.MaxAttempts = 5
	if err := p.Reconfigure(updated); err != nil {
		t.Fatal(err)
	}
	step(Arrival{ID: "strict", Class: 1, Dest: 7, Budget: 10 * time.Second})
	if m := p.messages["strict"]; m == nil || m.class.Idempotency != NonIdempotent || p.messages["twice"].class.Idempotency != Idempotent {
		t.Fatal("a message has the class of another message")
	}
	broken := updated
	broken.Classes = nil
	if err := p.Reconfigure(broken); err == nil || len(p.settings.Classes) != 2 {
		t.Errorf("invalid settings: %v", err)
	}
	if step(Outcome{ID: "twice", Target: "b", Status: Rejected, RetryAfter: time.Second}); len(p.destinations[8].queue) != 1 {
		t.Fatal("not queued")
	}
	updated.MaxAttempts = 1
	if err := p.Reconfigure(updated); err != nil {
		t.Fatal(err)
	}
	if _, ended := step(); len(ended) != 1 {
		t.Errorf("queued after its last attempt: %v", ended)
	}
}
