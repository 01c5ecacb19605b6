package courier

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"raventrestle"
	"raventrestle/internal/fleet/facts"
	"raventrestle/internal/net/upstream"
)

// scripted is a fleet that says what it is told to, and notes what it hears.
type scripted struct {
	says  map[facts.Key]facts.Evidence
	heard []facts.Key
	gone  []string
}

func (s *scripted) Learn(x facts.Subject, k facts.Kind, _ facts.Value) {
	s.heard = append(s.heard, facts.Key{Subject: x, Kind: k})
}
func (s *scripted) Forget(e string) { s.gone = append(s.gone, e) }
func (s *scripted) Read(x facts.Subject, k facts.Kind) (facts.Evidence, bool) {
	e, ok := s.says[facts.Key{Subject: x, Kind: k}]
	return e, ok
}

func (s *scripted) told() []facts.Key { all := s.heard; s.heard = nil; return all }

// What the actor is told and sees goes out once, about the route or the endpoint; what the others told comes in, but for
// the words of lives that are over and its own.
func TestSharing(t *testing.T) {
	c := open(t, "")
	c.conf.Name = "me"
	if c.looks() != nil {
		t.Fatal("it looks with no fleet")
	}
	f := &scripted{says: map[facts.Key]facts.Evidence{}}
	c.Share(f)
	<-c.looks()
	list := func(index int64, names ...string) {
		u := upstream.Update{How: raventrestle.ListSnapshot, Index: index}
		for _, n := range names {
			u.Entries = append(u.Entries, upstream.Entry{Addr: "127.0.0.1:1", Entry: raventrestle.Entry{Target: raventrestle.TargetID(n), Dest: 7, Zone: -1}})
		}
		c.policy.Step(now(), []raventrestle.Event{c.update(t.Context(), u)})
	}
	key := func(endpoint string, k facts.Kind) facts.Key {
		return facts.Key{Subject: facts.Subject{Dest: 7, Endpoint: endpoint}, Kind: k}
	}
	want := func(what string, keys ...facts.Key) {
		t.Helper()
		if diff := cmp.Diff(keys, f.told()); diff != "" {
			t.Errorf("%s: %s", what, diff)
		}
	}
	list(3, "a", "b")
	c.share()
	c.share()
	want("the list", facts.Key{Kind: facts.ListVersion})
	c.told(raventrestle.Outcome{Target: "a", RetryAfter: time.Second, Report: raventrestle.LimitReport{Limit: 5, Remaining: 1}})
	c.told(raventrestle.Outcome{Target: "gone", RetryAfter: time.Second})
	want("an outcome", key("", facts.Wait), key("", facts.Limit))

	lose := func(status raventrestle.Status, n int) {
		for i := range n {
			id := raventrestle.MessageID([]string{"m", "n"}[i])
			for _, a := range c.policy.Step(now(), []raventrestle.Event{raventrestle.Arrival{ID: id, Tenant: -1, Dest: 7, Budget: 9 * time.Second}}) {
				if s, ok := a.(raventrestle.Send); ok {
					c.policy.Step(now(), []raventrestle.Event{raventrestle.Outcome{ID: id, Target: s.Target, Status: status, Duration: s.Timeout, Final: true}})
				}
			}
		}
	}
	list(3, "a")
	c.share()
	if diff := cmp.Diff([]string{"b"}, f.gone); diff != "" {
		t.Error(diff)
	}
	f.told()
	lose(raventrestle.TimedOut, 1) // silent: held off at once
	c.share()
	want("an outage", key("a", facts.Outage))
	lose(raventrestle.OK, 1)
	c.share()
	want("its end", key("a", facts.OutageEnd))

	waits := func() time.Duration { return c.policy.View()[0].WaitRemaining }
	for _, e := range []facts.Evidence{{Remaining: time.Minute, Origin: "other", Retired: true}, {Remaining: time.Minute, Origin: "me"}, {Remaining: -1, Origin: "other"}} {
		f.says[key("", facts.Wait)] = e
		if c.share(); waits() > 0 {
			t.Errorf("%+v is heeded", e)
		}
	}
	f.says[key("", facts.Wait)] = facts.Evidence{Remaining: time.Minute, Origin: "other"}
	if c.share(); waits() < 50*time.Second {
		t.Errorf("it waits %v", waits())
	}
	c.fleet = broken{}
	c.share()
	if c.Counts.Panics.Load() != 1 {
		t.Error("a fault of the fleet's is not counted")
	}
}

// broken is a fleet with a fault.
type broken struct{}

func (broken) Learn(facts.Subject, facts.Kind, facts.Value) { panic("broken") }
func (broken) Forget(string)                                { panic("broken") }
func (broken) Read(facts.Subject, facts.Kind) (facts.Evidence, bool) {
	panic("broken")
}
