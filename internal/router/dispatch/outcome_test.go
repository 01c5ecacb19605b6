package dispatch

import (
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

// Each way in which a served stream can be late is counted under its cause. The latency target is 500 ms, the target
// for gaps between events 300 ms.
func TestLateStreamsAreCountedByCause(t *testing.T) {
	const inTime = -1
	cases := []struct {
		name         string
		firstEventMS int
		longestGapMS int
		failFirst    bool // its first attempt was rejected
		loadedAtMS   int  // no endpoint has the model earlier; 0: both have it
		want         int  // LateCause, or inTime
	}{
		{"in time", 100, 299, false, 0, inTime},
		{"slow endpoint", 600, 0, false, 0, int(LateByEndpoint)},
		{"slow endpoint and long gap", 600, 400, false, 0, int(LateByEndpoint)},
		{"long gap between events", 100, 301, false, 0, int(LateByGap)},
		{"earlier attempt rejected", 600, 0, true, 0, int(LateByRetry)},
		{"model loaded first", 560, 0, false, 480, int(LateByLoad)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScript(t, modelEndpoint("a", 1, "m"), modelEndpoint("b", 1, "m"))
			if c.loadedAtMS > 0 {
				loads := modelEndpoint("c", 1)
				loads.Loading = []protocol.ModelLoad{{Model: "rare", Remaining: time.Duration(c.loadedAtMS-20) * time.Millisecond}}
				s = newScript(t, loads)
			}
			r := s.request("m")
			if c.loadedAtMS > 0 {
				r = s.request("rare")
			}
			r.EventGapTarget = 300 * time.Millisecond
			out := s.step(0, RequestArrived{r})
			if c.loadedAtMS > 0 {
				out = s.step(c.loadedAtMS, ViewChanged{Endpoints: []protocol.Endpoint{modelEndpoint("c", 2, "rare")}})
			}
			send := s.oneSend(out)
			if c.failFirst {
				send = s.oneSend(s.step(50, AttemptFinished{ID: r.ID, Endpoint: send.Endpoint, Result: Rejected, NeedsRetry: true}))
			}
			s.step(c.firstEventMS, FirstByteReceived{ID: r.ID, Endpoint: send.Endpoint})
			gap := time.Duration(c.longestGapMS) * time.Millisecond
			s.step(9000, AttemptFinished{ID: r.ID, Endpoint: send.Endpoint, LongestGap: gap})
			want := Outcomes{Served: 1}
			if c.want != inTime {
				want.Late[c.want] = 1
			}
			if got := s.d.outcomes.counted; got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

// A summary is emitted only if some request was not served in time, at most every 10 s, and without scheduling a
// step.
func TestSummariesAreRateLimitedAndOnlyOfLosses(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	serve := func(at int, gap time.Duration) (summaries []Summary) {
		s.step(at)
		r := s.request("m")
		r.EventGapTarget = 300 * time.Millisecond
		send := s.oneSend(s.step(at, RequestArrived{r}))
		s.step(at+10, FirstByteReceived{ID: r.ID, Endpoint: send.Endpoint})
		finished := AttemptFinished{ID: r.ID, Endpoint: send.Endpoint, LongestGap: gap}
		for _, output := range s.step(at+20, finished) {
			if summary, ok := output.(Summary); ok {
				summaries = append(summaries, summary)
			}
		}
		return summaries
	}
	if got := serve(11000, 0); len(got) > 0 {
		t.Errorf("got %v after a request in time, want none", got)
	}
	got := serve(12000, time.Second)
	if len(got) != 1 || got[0].Outcomes.Served != 2 || got[0].Outcomes.Late[LateByGap] != 1 {
		t.Errorf("got %+v after a late request, want one summary of two served requests, one of them late by a gap", got)
	}
	if got := serve(13000, time.Second); len(got) > 0 {
		t.Errorf("got %v a second later, want none", got)
	}
	if at := s.d.NextWake(); !at.IsZero() && at.Sub(s.startTime) > 20*time.Second {
		t.Errorf("the decider wakes at %v for a summary, want no wake-up", at.Sub(s.startTime))
	}
}

func TestEachLateCauseHasAName(t *testing.T) {
	seen := map[string]bool{}
	for cause := range LateCause(lateCauseCount) {
		name := cause.String()
		if name == LateCause(lateCauseCount).String() || seen[name] {
			t.Errorf("cause %d is named %q, want a name of its own", cause, name)
		}
		seen[name] = true
	}
}

// The summary counts rejections of each reason, including requests that never reached a queue.
func TestSummaryCountsEachRejection(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	s.step(11000, ShutdownStarted{
		QueueDeadline: s.time(11000), SelectiveAdmissionFrom: s.time(11000), ShutdownDeadline: s.time(11001),
	})
	unknown := s.request("unknown")
	late := s.request("m")
	late.ArrivedAt, late.LatencyTarget, late.Deadline = s.time(11000), s.time(11500), s.time(26000)
	var got *Summary
	for _, output := range s.step(11001, RequestArrived{unknown}, RequestArrived{late}) {
		if summary, ok := output.(Summary); ok {
			got = &summary
		}
	}
	if got == nil || got.Outcomes.Rejected[NoEndpoint] != 1 || got.Outcomes.Rejected[ShuttingDown] != 1 {
		t.Errorf("got %+v, want one rejection for an unknown model and one for the shutdown", got)
	}
}
