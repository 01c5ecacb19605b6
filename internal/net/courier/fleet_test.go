package courier

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"raventrestle"
	"raventrestle/internal/fleet/facts"
	"raventrestle/internal/net/discovery"
)

// fakeFleet returns the given facts and records what it learns.
type fakeFleet struct {
	facts     map[facts.Key]facts.Evidence
	learned   []facts.Key
	forgotten []string
}

func (s *fakeFleet) Learn(x facts.Subject, k facts.Kind, _ facts.Value) {
	s.learned = append(s.learned, facts.Key{Subject: x, Kind: k})
}
func (s *fakeFleet) Forget(e string) { s.forgotten = append(s.forgotten, e) }
func (s *fakeFleet) Read(x facts.Subject, k facts.Kind) (facts.Evidence, bool) {
	e, ok := s.facts[facts.Key{Subject: x, Kind: k}]
	return e, ok
}

func (s *fakeFleet) takeLearned() []facts.Key { all := s.learned; s.learned = nil; return all }

// What the courier observes is shared once, for the route or the endpoint. Facts of other couriers are applied, except
// those of ended processes and its own.
func TestFleetFactsAreExchanged(t *testing.T) {
	c := newTestCourier(t, "")
	c.conf.Name = "me"
	if c.exchangeTimer() != nil {
		t.Fatal("exchange timer without a fleet")
	}
	f := &fakeFleet{facts: map[facts.Key]facts.Evidence{}}
	c.UseFleet(f)
	<-c.exchangeTimer()
	applyList := func(index int64, names ...string) {
		u := discovery.Update{Kind: raventrestle.ListSnapshot, Index: index}
		for _, n := range names {
			u.Entries = append(u.Entries, discovery.Entry{Addr: "127.0.0.1:1", Entry: raventrestle.Entry{Target: raventrestle.TargetID(n), Dest: 7, Zone: -1}})
		}
		c.policy.Step(now(), []raventrestle.Event{c.applyList(t.Context(), u)})
	}
	key := func(endpoint string, k facts.Kind) facts.Key {
		return facts.Key{Subject: facts.Subject{Dest: 7, Endpoint: endpoint}, Kind: k}
	}
	want := func(what string, keys ...facts.Key) {
		t.Helper()
		if diff := cmp.Diff(keys, f.takeLearned()); diff != "" {
			t.Errorf("%s: %s", what, diff)
		}
	}
	applyList(3, "a", "b")
	c.exchangeFacts()
	c.exchangeFacts()
	want("the list", facts.Key{Kind: facts.ListVersion})
	c.shareOutcome(raventrestle.Outcome{Target: "a", RetryAfter: time.Second, Report: raventrestle.LimitReport{Limit: 5, Remaining: 1}})
	c.shareOutcome(raventrestle.Outcome{Target: "gone", RetryAfter: time.Second})
	want("an outcome", key("", facts.Wait), key("", facts.Limit))

	endAttempts := func(status raventrestle.Status, n int) {
		for i := range n {
			id := raventrestle.MessageID([]string{"m", "n"}[i])
			for _, a := range c.policy.Step(now(), []raventrestle.Event{raventrestle.Arrival{ID: id, Tenant: -1, Dest: 7, Budget: 9 * time.Second}}) {
				if s, ok := a.(raventrestle.Send); ok {
					c.policy.Step(now(), []raventrestle.Event{raventrestle.Outcome{ID: id, Target: s.Target, Status: status, Duration: s.Timeout, Final: true}})
				}
			}
		}
	}
	applyList(3, "a")
	c.exchangeFacts()
	if diff := cmp.Diff([]string{"b"}, f.forgotten); diff != "" {
		t.Error(diff)
	}
	f.takeLearned()
	endAttempts(raventrestle.TimedOut, 1) // a timeout makes the target half-open at once
	c.exchangeFacts()
	want("an outage", key("a", facts.Outage))
	endAttempts(raventrestle.OK, 1)
	c.exchangeFacts()
	want("end of the outage", key("a", facts.OutageEnd))

	remainingWait := func() time.Duration { return c.policy.View()[0].WaitRemaining }
	for _, e := range []facts.Evidence{{Remaining: time.Minute, Origin: "other", Retired: true}, {Remaining: time.Minute, Origin: "me"}, {Remaining: -1, Origin: "other"}} {
		f.facts[key("", facts.Wait)] = e
		if c.exchangeFacts(); remainingWait() > 0 {
			t.Errorf("%+v was applied", e)
		}
	}
	f.facts[key("", facts.Wait)] = facts.Evidence{Remaining: time.Minute, Origin: "other"}
	if c.exchangeFacts(); remainingWait() < 50*time.Second {
		t.Errorf("remaining wait is %v", remainingWait())
	}
	c.fleet = panickingFleet{}
	c.exchangeFacts()
	if c.Counts.Panics.Load() != 1 {
		t.Error("panic in the fleet code is not counted")
	}
}

// panickingFleet panics in each method.
type panickingFleet struct{}

func (panickingFleet) Learn(facts.Subject, facts.Kind, facts.Value) { panic("broken") }
func (panickingFleet) Forget(string)                                { panic("broken") }
func (panickingFleet) Read(facts.Subject, facts.Kind) (facts.Evidence, bool) {
	panic("broken")
}
