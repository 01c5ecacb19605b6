package raventrestle_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "raventrestle"
)

// simulateRestart sends 1.2 times the limit of a destination with a fleet of n. Seven of ten forwarders restart at the
// same time with all their messages, and with their learned state if inheriting is set. It returns the calls of the
// busiest second after the restart as a share of the limit, and the rejected calls in the five seconds after it as a
// share of the sent ones.
func simulateRestart(t *testing.T, n int, inheriting bool) (maxRate, rejectedShare float64) {
	const limit, load, step = 60.0, 1.2, 10 * ms
	rng := rand.New(rand.NewPCG(5, uint64(n)))
	set := settings()
	set.MinBatchInterval, set.IdleTimeout, set.ListOnRequest, set.AdviseRetryAfter, set.Forwarders = ms, 5*sec, false, false, n
	set.CallSlots, set.MaxMessages, set.ValueDecay = max(5, 120/n), max(90, 1000/n), DecayHalving
	set.Classes = []Class{{Name: "r", SoftDeadline: sec, Deadline: 8 * sec, Value: 2, LateValueShare: 0.1, Idempotency: Idempotent}}
	type pendingOutcome struct {
		due     time.Duration
		outcome Outcome
	}
	type instance struct {
		policy    *Policy
		wakeAt    time.Duration
		deadlines map[MessageID]time.Duration // by message
		attempts  map[MessageID]int
		pending   []pendingOutcome
	}
	now, tokens := 100*sec, limit
	var sentAt []time.Duration
	sent, rejected := 0, 0
	restartAt := 15 * sec // relative to the start
	start := func(i, generation int) *instance {
		p, err := New(set, uint64(i+generation*1000))
		if err != nil {
			t.Fatal(err)
		}
		return &instance{policy: p, deadlines: map[MessageID]time.Duration{}, attempts: map[MessageID]int{}}
	}
	runStep := func(l *instance, events ...Event) {
		for _, a := range l.policy.Step(now, events) {
			switch a := a.(type) {
			case Send:
				o := Outcome{ID: a.ID, Target: a.Target, Duration: 80 * ms, Status: OK, Final: true, Report: LimitReport{Remaining: max(0, min(1, tokens/limit)), Limit: limit}}
				if tokens--; tokens < 0 {
					o.Status, o.Final, o.Report.Remaining = Rejected, false, 0
				}
				l.attempts[a.ID]++
				if since := now - 100*sec - restartAt; since >= 0 && since < 5*sec {
					sentAt = append(sentAt, now)
					if sent++; o.Status == Rejected {
						rejected++
					}
				}
				l.pending = append(l.pending, pendingOutcome{now + o.Duration, o})
			case Refuse:
				delete(l.deadlines, a.ID)
			case WakeAt:
				l.wakeAt = a.At
			}
		}
	}
	list := ListUpdate{Kind: ListCached, Entries: []Entry{entry("t1", 1, 0, 0), entry("t2", 1, 0, 1)}}
	fleet := make([]*instance, n)
	for i := range fleet {
		fleet[i] = start(i, 0)
		runStep(fleet[i], list)
	}
	lastID := 0
	for now < 100*sec+restartAt+5*sec {
		if now += step; now == 100*sec+restartAt {
			for i, old := range fleet[:max(1, n*7/10)] {
				l := start(i, 1)
				fleet[i] = l
				runStep(l, list)
				if inheriting {
					l.policy.Inherit(old.policy.Learned())
				}
				for _, id := range sortedIDs(old.deadlines) {
					l.deadlines[id], l.attempts[id] = old.deadlines[id], old.attempts[id]
					runStep(l, Restored{Arrival: Arrival{ID: id, Dest: 1, Budget: old.deadlines[id] - now}, Attempts: old.attempts[id]})
				}
			}
		}
		tokens = min(tokens+limit*step.Seconds(), limit/2)
		for expected := load * limit * step.Seconds(); rng.Float64() < expected; expected-- {
			lastID++
			id, l := MessageID(fmt.Sprint("m", lastID)), fleet[rng.IntN(n)]
			l.deadlines[id] = now + 8*sec
			runStep(l, Arrival{ID: id, Dest: 1, Budget: 8 * sec})
		}
		for _, l := range fleet {
			var events []Event
			for i := 0; i < len(l.pending); {
				if c := l.pending[i]; c.due > now {
					i++
				} else {
					if c.outcome.Status == OK {
						delete(l.deadlines, c.outcome.ID)
					}
					events, l.pending = append(events, c.outcome), append(l.pending[:i], l.pending[i+1:]...)
				}
			}
			if l.wakeAt > 0 && l.wakeAt <= now {
				l.wakeAt, events = 0, append(events, Wake{})
			}
			if len(events) > 0 {
				runStep(l, events...)
			}
		}
	}
	j := 0
	for i := range sentAt {
		for sentAt[i]-sentAt[j] >= sec {
			j++
		}
		maxRate = max(maxRate, float64(i-j+1)/limit)
	}
	return maxRate, float64(rejected) / float64(max(sent, 1))
}

func sortedIDs(deadlines map[MessageID]time.Duration) (all []MessageID) {
	for i := 0; len(all) < len(deadlines); i++ { // in order of arrival
		if id := MessageID(fmt.Sprint("m", i)); deadlines[id] > 0 {
			all = append(all, id)
		}
	}
	return all
}

// If seven of ten forwarders restart at the same time, inheriting the learned state at least halves the calls that are
// rejected because of a limit, and no second has more than one and a half times the limit, with 2 to 300 forwarders.
func TestInheritedStateReducesRejectionsAfterRestart(t *testing.T) {
	for _, n := range []int{2, 8, 48, 300} {
		maxRate, rejected := simulateRestart(t, n, false)
		inheritedMaxRate, inheritedRejected := simulateRestart(t, n, true)
		t.Logf("%3d forwarders: busiest second %.2f of the limit, %.2f rejected; with the learned state %.2f, %.2f", n, maxRate, rejected, inheritedMaxRate, inheritedRejected)
		if inheritedMaxRate > 1.5 || inheritedRejected*2 > rejected {
			t.Errorf("%d forwarders: %.2f of the limit in a second and %.2f rejected, %.2f and %.2f without the learned state", n, inheritedMaxRate, inheritedRejected, maxRate, rejected)
		}
	}
}
