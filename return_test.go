package raventrestle_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "raventrestle"
)

// restarted plays a fleet of n at 1.2 times the limit of a destination, of which seven in ten are restarted at once with all
// that they hold; inheriting, they take up what they had learned. It gives the most calls in a second after it, as a share
// of the limit, and how many were refused in the five seconds after, as a share of those sent.
func restarted(t *testing.T, n int, inheriting bool) (worst, refused float64) {
	const limit, load, step = 60.0, 1.2, 10 * ms
	rng := rand.New(rand.NewPCG(5, uint64(n)))
	set := settings()
	set.MinBatchInterval, set.IdleTimeout, set.ListOnRequest, set.AdviseRetryAfter, set.Forwarders = ms, 5*sec, false, false, n
	set.CallSlots, set.MaxMessages, set.ValueDecay = max(5, 120/n), max(90, 1000/n), DecayHalving
	set.Classes = []Class{{Name: "r", SoftDeadline: sec, Deadline: 8 * sec, Value: 2, LateValueShare: 0.1, Idempotency: Idempotent}}
	type call struct {
		due time.Duration
		o   Outcome
	}
	type life struct {
		p     *Policy
		wake  time.Duration
		held  map[MessageID]time.Duration // until when
		sends map[MessageID]int
		calls []call
	}
	now, room := 100*sec, limit
	var after []time.Duration
	sent, full := 0, 0
	at := 15 * sec // when they are restarted
	begin := func(i, of int) *life {
		p, err := New(set, uint64(i+of*1000))
		if err != nil {
			t.Fatal(err)
		}
		return &life{p: p, held: map[MessageID]time.Duration{}, sends: map[MessageID]int{}}
	}
	act := func(l *life, events ...Event) {
		for _, a := range l.p.Step(now, events) {
			switch a := a.(type) {
			case Send:
				o := Outcome{ID: a.ID, Target: a.Target, Duration: 80 * ms, Status: OK, Final: true, Report: LimitReport{Remaining: max(0, min(1, room/limit)), Limit: limit}}
				if room--; room < 0 {
					o.Status, o.Final, o.Report.Remaining = Rejected, false, 0
				}
				l.sends[a.ID]++
				if since := now - 100*sec - at; since >= 0 && since < 5*sec {
					after = append(after, now)
					if sent++; o.Status == Rejected {
						full++
					}
				}
				l.calls = append(l.calls, call{now + o.Duration, o})
			case Refuse:
				delete(l.held, a.ID)
			case WakeAt:
				l.wake = a.At
			}
		}
	}
	list := ListUpdate{Kind: ListCached, Entries: []Entry{entry("t1", 1, 0, 0), entry("t2", 1, 0, 1)}}
	fleet := make([]*life, n)
	for i := range fleet {
		fleet[i] = begin(i, 0)
		act(fleet[i], list)
	}
	next := 0
	for now < 100*sec+at+5*sec {
		if now += step; now == 100*sec+at {
			for i, old := range fleet[:max(1, n*7/10)] {
				l := begin(i, 1)
				fleet[i] = l
				act(l, list)
				if inheriting {
					l.p.Inherit(old.p.Learned())
				}
				for _, id := range ids(old.held) {
					l.held[id], l.sends[id] = old.held[id], old.sends[id]
					act(l, Restored{Arrival: Arrival{ID: id, Dest: 1, Budget: old.held[id] - now}, Attempts: old.sends[id]})
				}
			}
		}
		room = min(room+limit*step.Seconds(), limit/2)
		for k := load * limit * step.Seconds(); rng.Float64() < k; k-- {
			next++
			id, l := MessageID(fmt.Sprint("m", next)), fleet[rng.IntN(n)]
			l.held[id] = now + 8*sec
			act(l, Arrival{ID: id, Dest: 1, Budget: 8 * sec})
		}
		for _, l := range fleet {
			var events []Event
			for i := 0; i < len(l.calls); {
				if c := l.calls[i]; c.due > now {
					i++
				} else {
					if c.o.Status == OK {
						delete(l.held, c.o.ID)
					}
					events, l.calls = append(events, c.o), append(l.calls[:i], l.calls[i+1:]...)
				}
			}
			if l.wake > 0 && l.wake <= now {
				l.wake, events = 0, append(events, Wake{})
			}
			if len(events) > 0 {
				act(l, events...)
			}
		}
	}
	j := 0
	for i := range after {
		for after[i]-after[j] >= sec {
			j++
		}
		worst = max(worst, float64(i-j+1)/limit)
	}
	return worst, float64(full) / float64(max(sent, 1))
}

func ids(held map[MessageID]time.Duration) (all []MessageID) {
	for i := 0; len(all) < len(held); i++ { // in the order in which they came
		if id := MessageID(fmt.Sprint("m", i)); held[id] > 0 {
			all = append(all, id)
		}
	}
	return all
}

// What a life learned of limits and is kept for the next one halves, at least, the calls that a limit refuses when seven in
// ten couriers are restarted at once, and no second has over one and a half times the limit, from two couriers to three hundred.
func TestARestartedFleetGoesByTheLimitsThatItKnew(t *testing.T) {
	for _, n := range []int{2, 8, 48, 300} {
		worst, refused := restarted(t, n, false)
		inherited, fewer := restarted(t, n, true)
		t.Logf("%3d couriers: worst second %.2f of the limit, %.2f refused; with what was learned %.2f, %.2f", n, worst, refused, inherited, fewer)
		if inherited > 1.5 || fewer*2 > refused {
			t.Errorf("%d couriers: %.2f of the limit in a second and %.2f refused, %.2f and %.2f without", n, inherited, fewer, worst, refused)
		}
	}
}
