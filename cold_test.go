package raventrestle_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "raventrestle"
)

// coldReturn plays an outage of a destination and its return, cold, to a fleet of n that was told. Worst is the largest
// share of what is allowed that the calls of a window made up; ok of all messages from then on were delivered.
func coldReturn(t *testing.T, n int, capacity float64, mode string) (worst float64, ok, all int) {
	const load, outage, seed = 0.7, 8 * sec, 1
	rng := rand.New(rand.NewPCG(seed, 9))
	set := settings()
	set.MinBatchInterval, set.IdleTimeout, set.ListOnRequest, set.AdviseRetryAfter = ms, 5*sec, false, false
	set.CallSlots, set.MaxMessages, set.ValueDecay, set.Forwarders = 5, 90, DecayHalving, n
	if n < 36 {
		set.CallSlots, set.MaxMessages = 60, 2000
	}
	set.OverloadDuration, set.WarmupDuration, set.ColdCapacityShare, set.OverloadFactor = 2*sec, 12*sec, 0.15, 2.5
	set.Classes = []Class{
		{Name: "r", SoftDeadline: sec, Deadline: 8 * sec, Value: 2, LateValueShare: 0.1, Idempotency: Idempotent},
		{Name: "b", SoftDeadline: 2 * sec, Deadline: 12 * sec, Value: 1, LateValueShare: 0.4, Idempotency: Keyed, DedupScope: DedupZone, DedupWindow: 4800 * ms},
	}
	type fl struct {
		done time.Duration
		o    Outcome
	}
	type h struct {
		p    *Policy
		wake time.Duration
		evs  []Event
		fl   []fl
	}
	hosts := make([]*h, n)
	const start, step = 100 * sec, 20 * ms
	down, up := 15*sec, 15*sec+outage
	present := func(at time.Duration) float64 {
		return capacity * (set.ColdCapacityShare + (1-set.ColdCapacityShare)*min(1, max(0, (at-up).Seconds()/set.WarmupDuration.Seconds())))
	}
	var calls []time.Duration
	room := capacity
	id := 0
	at := time.Duration(0)
	call := func(s Send) Outcome {
		o := Outcome{ID: s.ID, Target: s.Target, Status: OK, Final: true, Duration: time.Duration((0.06 + 0.08*rng.Float64()) * float64(sec))}
		o.Report = LimitReport{Remaining: min(1, max(0, room/capacity)), Limit: capacity}
		switch {
		case at >= down && at < up:
			switch mode {
			case "hang":
				o = Outcome{ID: s.ID, Target: s.Target, Status: TimedOut, Duration: s.Timeout}
			case "wait":
				o.Status, o.Final, o.Duration, o.RetryAfter = Rejected, false, 30*ms, up-at
			case "errors":
				o.Status, o.Final = Error, false
			default:
				o.Status, o.Final, o.Duration = Rejected, false, 30*ms
			}
		default:
			if at >= up && at < up+set.WarmupDuration {
				calls = append(calls, at)
			}
			if room--; room < 0 {
				o.Status, o.Final, o.Duration = Rejected, false, 30*ms
				room = max(room, -capacity/2)
			} else if at >= up {
				ok++
			}
		}
		return o
	}
	handle := func(x *h, evs []Event) {
		for _, a := range x.p.Step(start+at, evs) {
			switch a := a.(type) {
			case Send:
				o := call(a)
				x.fl = append(x.fl, fl{start + at + o.Duration, o})
			case WakeAt:
				x.wake = a.At
			}
		}
	}
	for i := range hosts {
		p, err := New(set, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		hosts[i] = &h{p: p}
		handle(hosts[i], []Event{ListUpdate{Kind: ListCached, Entries: []Entry{entry("t1", 1, 0, 0), entry("t2", 1, 0, 1)}}})
	}
	for at = step; at <= up+20*sec; at += step {
		if at >= down && at < up {
			room = capacity * set.ColdCapacityShare
		} else {
			room = min(room+present(at)*step.Seconds(), present(at))
		}
		k := load * capacity * step.Seconds()
		for ; rng.Float64() < k; k-- {
			id++
			c := rng.IntN(2)
			x := hosts[rng.IntN(n)]
			x.evs = append(x.evs, Arrival{ID: MessageID(strconv.Itoa(id)), Class: c, Dest: 1, Budget: set.Classes[c].Deadline})
			if at >= up {
				all++
			}
		}
		for _, x := range hosts {
			for i := 0; i < len(x.fl); {
				if x.fl[i].done <= start+at {
					x.evs = append(x.evs, x.fl[i].o)
					x.fl = append(x.fl[:i], x.fl[i+1:]...)
				} else {
					i++
				}
			}
			if x.wake > 0 && x.wake <= start+at {
				x.wake = 0
				x.evs = append(x.evs, Wake{})
			}
			if len(x.evs) > 0 {
				evs := x.evs
				x.evs = nil
				handle(x, evs)
			}
		}
	}
	j := 0
	for i := range calls {
		for calls[i]-calls[j] > set.OverloadDuration {
			j++
		}
		allowed := set.OverloadFactor * present(max(calls[i]-set.OverloadDuration/2, up)) * set.OverloadDuration.Seconds()
		worst = max(worst, float64(i-j+1)/(allowed+3*math.Sqrt(allowed)+3))
	}
	return worst, ok, all
}

// Couriers that were all told of an outage do not push the destination over as it comes back, from two to three hundred
// of them, however the outage looked: no window has more calls than N + 3·√N + 3, N being what the settings allow then.
func TestAColdEndpointIsNotPushedOverByAnyFleet(t *testing.T) {
	for _, mode := range []string{"hang", "wait", "errors", "shut"} {
		for _, c := range []struct {
			n        int
			capacity float64
		}{{2, 80}, {8, 20}, {48, 80}, {300, 20}, {300, 80}} {
			worst, ok, all := coldReturn(t, c.n, c.capacity, mode)
			if worst > 1 {
				t.Errorf("%s: %d couriers sent %.2f of what is allowed", mode, c.n, worst)
			}
			if least := 0.25; float64(ok) < least*float64(all) { // who sends nothing keeps the rule as well
				t.Errorf("%s: %d couriers had %d of %d served, want %.2f", mode, c.n, ok, all, least)
			}
		}
	}
}
