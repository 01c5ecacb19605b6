package model

import (
	"testing"
	"time"
)

var startTime = time.Unix(1_800_000_000, 0)

func atSecond(s float64) time.Time { return startTime.Add(time.Duration(s * float64(time.Second))) }

func testSpec() ChannelSpec {
	return ChannelSpec{
		Dest: 7, Floors: []string{"a", "b"}, Capacity: 1, Queue: 100, RecoveryTime: time.Minute, StartShare: 0.15,
		Service: map[string][2]time.Duration{"c": {100 * time.Millisecond, 101 * time.Millisecond}},
	}
}

// A recovering endpoint has reduced capacity and fails again under too many calls. That breaks the rule if the
// callers had seen it fail, even if they have restarted since.
func TestOverloadOfRecoveringEndpoint(t *testing.T) {
	for name, c := range map[string]struct {
		failedBefore, restarted bool
		violated                bool
	}{"saw it fail": {true, false, true}, "saw it fail before a restart": {true, true, true}, "did not see it fail": {false, false, false}} {
		ch := New(testSpec(), 1)
		e := ch.Endpoints[0]
		e.SetMode(ModeUnavailable, atSecond(0))
		if c.failedBefore {
			e.Call(0, []Message{{Class: "c"}}, atSecond(1), atSecond(1))
		}
		if c.restarted {
			e.ClearWaits(0)
		}
		e.SetMode(ModeHealthy, atSecond(2))
		var violations []Violation
		for i := range 200 {
			_, b := e.Call(0, []Message{{Class: "c"}}, atSecond(4+0.02*float64(i)), atSecond(4+0.02*float64(i)))
			violations = append(violations, b...)
		}
		if !e.Overloaded() {
			t.Fatal("50 calls a second did not overload an endpoint that can serve 2")
		}
		if got := len(violations) > 0; got != c.violated {
			t.Errorf("%s: violations %v", name, violations)
		}
	}
}

// Calls are served in order of arrival, as many at once as the endpoint has slots.
func TestCallsAreServedInOrder(t *testing.T) {
	s := testSpec()
	s.Capacity, s.Queue, s.Service["c"] = 2, 1, [2]time.Duration{time.Second, time.Second}
	e := New(s, 1).Endpoints[0]
	for i, want := range []float64{1, 1.1, 2, 0, 2.1} {
		now := atSecond(0.1 * float64(i))
		if i == 4 { // one has ended
			now = atSecond(1.05)
		}
		f, _ := e.Call(0, []Message{{Class: "c"}}, now, now)
		if want == 0 && f.RejectCode != 503 || want > 0 && !f.EndsAt.Equal(atSecond(want)) {
			t.Errorf("call %d: %+v, want its end at %v", i, f, want)
		}
	}
}

// A wait applies to the courier that was told, at all endpoints that share the limit, until it restarts. A drain
// applies from one second after the courier was told.
func TestWaitsAndDrainsAreChecked(t *testing.T) {
	s := testSpec()
	s.RetryAfterShare, s.RetryAfter, s.Capacity = 1, 10*time.Second, 100
	call := func(e *Endpoint, courier int, s float64) int {
		_, b := e.Call(courier, []Message{{Class: "c"}}, atSecond(s), atSecond(s))
		return len(b)
	}
	for _, apart := range []bool{false, true} {
		s.RoutePerEndpoint = apart
		c := New(s, 1)
		one, two := c.Endpoints[0], c.Endpoints[1]
		one.SetMode(ModeUnavailable, atSecond(0))
		for i, x := range []struct {
			e        *Endpoint
			courier  int
			at       float64
			violated bool
		}{{one, 0, 1, false}, {one, 0, 1.05, false}, {one, 1, 2, false}, {two, 0, 2, !apart}, {one, 0, 3, true}, {two, 0, 20, false}} {
			if got := call(x.e, x.courier, x.at) > 0; got != x.violated {
				t.Errorf("apart %v, call %d: violated %v", apart, i, got)
			}
		}
		one.ClearWaits(0)
		if call(one, 0, 4) > 0 {
			t.Error("a wait still applies after the restart")
		}
		two.NoteDraining(0, atSecond(30))
		if call(two, 0, 30.9) > 0 || call(two, 0, 31.2) == 0 || call(two, 1, 31.2) > 0 {
			t.Error("a drain does not apply from one second after the courier was told")
		}
		if two.NoteServing(0); call(two, 0, 32) > 0 {
			t.Error("a drain still applies after the endpoint serves again")
		}
	}
}

// Responses report the limit and its unused share. Without a limit they report nothing.
func TestLimitReports(t *testing.T) {
	s := testSpec()
	s.Reports, s.Limit, s.Capacity = true, 10, 100
	e := New(s, 1).Endpoints[0]
	last := 1.1
	for i := range 12 {
		f, _ := e.Call(0, []Message{{Class: "c"}}, atSecond(0.001*float64(i)), atSecond(0.001*float64(i)))
		if f.Report.Limit != 10 || f.Report.UnusedShare < 0 || f.Report.UnusedShare > 1 || f.Report.UnusedShare >= last && last > 0.01 {
			t.Fatalf("call %d: %+v after %v", i, f.Report, last)
		}
		if last = f.Report.UnusedShare; (i >= 10) != (f.RejectCode == 429) {
			t.Fatalf("call %d: code %d", i, f.RejectCode)
		}
	}
	s.Limit = 0
	if f, _ := New(s, 1).Endpoints[0].Call(0, []Message{{Class: "c"}}, atSecond(0), atSecond(0)); f.Report != (LimitReport{}) {
		t.Errorf("%+v", f.Report)
	}
}
