package raventrestle_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "raventrestle"
)

// At 120% of the destinations' capacity, the highest load in the requirements, every class gets at least half of the
// service that an even distribution would give it, and every tenant a third, although the policy prefers messages by
// value. It is tested with one forwarder and with one of three hundred that has its share of the limits. The
// non-idempotent class has a destination of its own, as in production.
func TestMinimumServiceUnderOverload(t *testing.T) {
	for _, n := range []int{1, 300} {
		rng := rand.New(rand.NewPCG(7, uint64(n)))
		set := settings()
		set.Forwarders, set.ListOnRequest, set.AdviseRetryAfter, set.CallSlots, set.MaxMessages, set.ValueDecay = n, false, false, 6, 90, DecayHalving
		set.OverShareFactor = 0.2
		set.Tenants = []Tenant{{Name: "large", Share: 0.6, Quota: 6 * float64(n)}, {Name: "small", Share: 0.4, Quota: 4 * float64(n)}}
		set.Classes = []Class{
			{Name: "safe", SoftDeadline: sec, Deadline: 8 * sec, Value: 2, LateValueShare: 0.1, Idempotency: Idempotent},
			{Name: "keyed", SoftDeadline: 2 * sec, Deadline: 12 * sec, Value: 1, LateValueShare: 0.4, Idempotency: Keyed, DedupScope: DedupZone, DedupWindow: 4800 * ms},
			{Name: "once", SoftDeadline: 2500 * ms, Deadline: 12 * sec, Value: 5, LateValueShare: 0.3, Idempotency: NonIdempotent},
		}
		p, err := New(set, 3)
		if err != nil {
			t.Fatal(err)
		}
		const dests, destinationRate, overload = 4, 2.5, 1.2 // calls per second that a destination accepts from this forwarder
		var entries []Entry
		for d := 1; d <= dests; d++ {
			entries = append(entries, entry(fmt.Sprint("t", d), d, 0, 0))
		}
		type message struct{ class, tenant int }
		type pendingOutcome struct {
			due     time.Duration
			outcome Outcome
		}
		msgs, calls, tokens := map[MessageID]message{}, []pendingOutcome{}, [dests + 1]float64{}
		var arrived, served [2][3]float64 // by tenant and class
		var arrivedByClass, servedByClass [3]float64
		now, wakeAt, lastID := 100*sec, time.Duration(0), 0
		step := func(events ...Event) {
			for _, a := range p.Step(now, events) {
				switch a := a.(type) {
				case Send:
					var d int
					fmt.Sscanf(string(a.Target), "t%d", &d)
					o := Outcome{
						ID: a.ID, Target: a.Target, Duration: 100 * ms, Status: OK, Final: true,
						Report: LimitReport{Remaining: max(0, min(1, tokens[d]/destinationRate)), Limit: destinationRate * float64(n)},
					}
					if tokens[d] < 1 {
						o.Status, o.Final = Rejected, false
					} else {
						tokens[d]--
					}
					calls = append(calls, pendingOutcome{now + o.Duration, o})
				case WakeAt:
					wakeAt = a.At
				}
			}
		}
		step(ListUpdate{Kind: ListCached, Entries: entries})
		for range 6000 {
			now += 10 * ms
			var events []Event
			for d := 1; d <= dests; d++ {
				tokens[d] = min(tokens[d]+destinationRate/100, destinationRate)
			}
			if rng.Float64() < dests*destinationRate*overload/100 {
				lastID++
				d := 1 + rng.IntN(dests)
				m := message{rng.IntN(2), rng.IntN(2)}
				if d == 1 { // only the first destination gets the non-idempotent class
					m.class = 2
				}
				id := MessageID(fmt.Sprint("m", lastID))
				msgs[id] = m
				arrivedByClass[m.class]++
				arrived[m.tenant][m.class]++
				events = append(events, Arrival{ID: id, Class: m.class, Tenant: m.tenant, Dest: DestID(d), Budget: set.Classes[m.class].Deadline})
			}
			for i := 0; i < len(calls); {
				if c := calls[i]; c.due <= now {
					if c.outcome.Status == OK {
						m := msgs[c.outcome.ID]
						servedByClass[m.class]++
						served[m.tenant][m.class]++
					}
					events, calls = append(events, c.outcome), append(calls[:i], calls[i+1:]...)
				} else {
					i++
				}
			}
			if wakeAt > 0 && wakeAt <= now {
				wakeAt, events = 0, append(events, Wake{})
			}
			if len(events) > 0 {
				step(events...)
			}
		}
		evenShare := 1 / overload
		for i, c := range set.Classes {
			if share := servedByClass[i] / arrivedByClass[i]; share < evenShare/2 {
				t.Errorf("%d forwarders: class %s: %.2f served, an even distribution gives %.2f", n, c.Name, share, evenShare)
			}
		}
		for i, x := range set.Tenants {
			all, ok := 0.0, 0.0
			for j := range set.Classes {
				all, ok = all+arrived[i][j], ok+served[i][j]
			}
			if ok/all < evenShare/3 {
				t.Errorf("%d forwarders: tenant %s: %.2f served, an even distribution gives %.2f", n, x.Name, ok/all, evenShare)
			}
		}
		t.Logf("%d forwarders: served by class %.2f of %.0f", n, servedByClass, arrivedByClass)
	}
}
