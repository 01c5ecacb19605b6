package raventrestle

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Other settings come while messages wait and are out: a class that gets stricter, or goes, stays what it was
// for those under way, new kinds and classes leave what is known of targets where it was, and an attempt
// beyond a lower cap is not made.
func TestRetune(t *testing.T) {
	free := Class{Name: "free", SoftDeadline: time.Second, Deadline: 10 * time.Second, Value: 1}
	set := Settings{
		Forwarders: 1, CallSlots: 4, MaxMessages: 50, MaxAttempts: 3, Classes: []Class{free}, Kinds: []DestinationKind{{MaxBatch: 1}},
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
	next := set
	strict := free
	strict.Idempotency = NonIdempotent
	next.Classes, next.Kinds, next.MaxAttempts = []Class{free, strict}, []DestinationKind{{MaxBatch: 1}, {MaxBatch: 9}}, 1
	if err := p.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
	if n := len(p.targets["a"].odds); n != 3 || p.dests[8].ki != 2 || len(p.connLimited) != 3 {
		t.Errorf("%d odds, unknown kind %d, %d marks", n, p.dests[8].ki, len(p.connLimited))
	}
	// One that may have run is free to repeat by its own class, and the cap of now ends it.
	_, ended := step(Outcome{ID: "under way", Target: "a", Status: Reset})
	if diff := cmp.Diff([]MessageID{"under way"}, ended); diff != "" {
		t.Error(diff)
	}
	next.MaxAttempts = 5
	if err := p.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
	step(Arrival{ID: "strict", Class: 1, Dest: 7, Budget: 10 * time.Second})
	if m := p.msgs["strict"]; m == nil || m.class.Idempotency != NonIdempotent || p.msgs["twice"].class.Idempotency != Idempotent {
		t.Fatal("a message has another's class")
	}
	broken := next
	broken.Classes = nil
	if err := p.Reconfigure(broken); err == nil || len(p.set.Classes) != 2 {
		t.Errorf("broken settings: %v", err)
	}
	if step(Outcome{ID: "twice", Target: "b", Status: Rejected, RetryAfter: time.Second}); len(p.dests[8].held) != 1 {
		t.Fatal("not held")
	}
	next.MaxAttempts = 1
	if err := p.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
	if _, ended := step(); len(ended) != 1 {
		t.Errorf("held beyond its last attempt: %v", ended)
	}
}
