package raventrestle_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "raventrestle"
)

// simulateRecovery simulates an outage of a destination and its warm-up after it, with a fleet of n forwarders that
// have all detected the outage. It returns the calls of the busiest window as a share of the allowed calls, the number
// of messages delivered after the outage, and the number of messages that arrived after it.
func simulateRecovery(t *testing.T, n int, capacity float64, mode string) (maxShare float64, delivered, total int) {
	const load, outage, seed = 0.7, 8 * sec, 1
	rng := rand.New(rand.NewPCG(seed, 9))
	set := settings()
	set.MinBatchInterval, set.IdleTimeout, set.ListOnRequest, set.AdviseRetryAfter = ms, 5*sec, false, false
	set.CallSlots, set.MaxMessages, set.ValueDecay, set.Forwarders = 5, 90, DecayHalving, n
	if n < 36 {
		set.CallSlots, set.MaxMessages = 60, 2000
	}
	set.OverloadDuration, set.WarmupDuration, set.InitialCapacityShare, set.OverloadFactor = 2*sec, 12*sec, 0.15, 2.5
	set.Classes = []Class{
		{Name: "r", SoftDeadline: sec, Deadline: 8 * sec, Value: 2, LateValueShare: 0.1, Idempotency: Idempotent},
		{Name: "b", SoftDeadline: 2 * sec, Deadline: 12 * sec, Value: 1, LateValueShare: 0.4, Idempotency: Keyed, DedupScope: DedupZone, DedupWindow: 4800 * ms},
	}
	type pendingOutcome struct {
		due     time.Duration
		outcome Outcome
	}
	type forwarder struct {
		policy  *Policy
		wakeAt  time.Duration
		events  []Event
		pending []pendingOutcome
	}
	hosts := make([]*forwarder, n)
	const start, step = 100 * sec, 20 * ms
	outageStart, outageEnd := 15*sec, 15*sec+outage
	capacityAt := func(at time.Duration) float64 {
		return capacity * (set.InitialCapacityShare + (1-set.InitialCapacityShare)*min(1, max(0, (at-outageEnd).Seconds()/set.WarmupDuration.Seconds())))
	}
	var calls []time.Duration
	tokens := capacity
	id := 0
	at := time.Duration(0)
	call := func(s Send) Outcome {
		o := Outcome{ID: s.ID, Target: s.Target, Status: OK, Final: true, Duration: time.Duration((0.06 + 0.08*rng.Float64()) * float64(sec))}
		o.Report = LimitReport{Remaining: min(1, max(0, tokens/capacity)), Limit: capacity}
		switch {
		case at >= outageStart && at < outageEnd:
			switch mode {
			case "hang":
				o = Outcome{ID: s.ID, Target: s.Target, Status: TimedOut, Duration: s.Timeout}
			case "wait":
				o.Status, o.Final, o.Duration, o.RetryAfter = Rejected, false, 30*ms, outageEnd-at
			case "errors":
				o.Status, o.Final = Error, false
			default:
				o.Status, o.Final, o.Duration = Rejected, false, 30*ms
			}
		default:
			if at >= outageEnd && at < outageEnd+set.WarmupDuration {
				calls = append(calls, at)
			}
			if tokens--; tokens < 0 {
				o.Status, o.Final, o.Duration = Rejected, false, 30*ms
				tokens = max(tokens, -capacity/2)
			} else if at >= outageEnd {
				delivered++
			}
		}
		return o
	}
	handle := func(x *forwarder, evs []Event) {
		for _, a := range x.policy.Step(start+at, evs) {
			switch a := a.(type) {
			case Send:
				o := call(a)
				x.pending = append(x.pending, pendingOutcome{start + at + o.Duration, o})
			case WakeAt:
				x.wakeAt = a.At
			}
		}
	}
	for i := range hosts {
		p, err := New(set, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		hosts[i] = &forwarder{policy: p}
		handle(hosts[i], []Event{ListUpdate{Kind: ListCached, Entries: []Entry{entry("t1", 1, 0, 0), entry("t2", 1, 0, 1)}}})
	}
	for at = step; at <= outageEnd+20*sec; at += step {
		if at >= outageStart && at < outageEnd {
			tokens = capacity * set.InitialCapacityShare
		} else {
			tokens = min(tokens+capacityAt(at)*step.Seconds(), capacityAt(at))
		}
		expected := load * capacity * step.Seconds()
		for ; rng.Float64() < expected; expected-- {
			id++
			c := rng.IntN(2)
			x := hosts[rng.IntN(n)]
			x.events = append(x.events, Arrival{ID: MessageID(strconv.Itoa(id)), Class: c, Dest: 1, Budget: set.Classes[c].Deadline})
			if at >= outageEnd {
				total++
			}
		}
		for _, x := range hosts {
			for i := 0; i < len(x.pending); {
				if x.pending[i].due <= start+at {
					x.events = append(x.events, x.pending[i].outcome)
					x.pending = append(x.pending[:i], x.pending[i+1:]...)
				} else {
					i++
				}
			}
			if x.wakeAt > 0 && x.wakeAt <= start+at {
				x.wakeAt = 0
				x.events = append(x.events, Wake{})
			}
			if len(x.events) > 0 {
				evs := x.events
				x.events = nil
				handle(x, evs)
			}
		}
	}
	j := 0
	for i := range calls {
		for calls[i]-calls[j] > set.OverloadDuration {
			j++
		}
		allowed := set.OverloadFactor * capacityAt(max(calls[i]-set.OverloadDuration/2, outageEnd)) * set.OverloadDuration.Seconds()
		maxShare = max(maxShare, float64(i-j+1)/(allowed+3*math.Sqrt(allowed)+3))
	}
	return maxShare, delivered, total
}

// A fleet of 2 to 300 forwarders that all know of an outage does not overload the destination when it recovers,
// regardless of how the outage appeared: no window has more calls than N + 3·√N + 3, where N is what the settings allow
// at that time.
func TestFleetDoesNotOverloadRecoveringDestination(t *testing.T) {
	for _, mode := range []string{"hang", "wait", "errors", "rejections"} {
		for _, c := range []struct {
			n        int
			capacity float64
		}{{2, 80}, {8, 20}, {48, 80}, {300, 20}, {300, 80}} {
			maxShare, delivered, total := simulateRecovery(t, c.n, c.capacity, mode)
			if maxShare > 1 {
				t.Errorf("%s: %d forwarders sent %.2f of the allowed calls", mode, c.n, maxShare)
			}
			if minShare := 0.25; float64(delivered) < minShare*float64(total) { // without a minimum, a fleet that sends nothing would pass
				t.Errorf("%s: %d forwarders: %d of %d messages served, want %.2f", mode, c.n, delivered, total, minShare)
			}
		}
	}
}
