package raventrestle_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	. "raventrestle"
)

// history plays random events to a policy and checks the rules on every action.
type history struct {
	t      *testing.T
	set    Settings
	rng    *rand.Rand
	p      *Policy
	now    time.Duration
	msgs   map[MessageID]*message
	calls  []*attempt
	gone   map[TargetID]bool
	until  map[string]time.Duration // waits, by route
	trace  [][]Action
	wakeAt time.Duration
}

type message struct {
	id      MessageID
	class   int
	end     time.Duration
	out     bool
	mayRun  bool
	ranAt   time.Duration
	ranZone int
	closed  bool
}

type attempt struct {
	m      *message
	target TargetID
	at     time.Duration
	due    time.Duration
	status Status
}

var fleet = []Entry{
	entry("a1", 1, 0, 0), entry("a2", 1, 0, 1), entry("b1", 2, 1, 0), entry("b2", 2, 1, 1),
	entry("c1", 3, 2, 0), entry("c2", 3, 2, 1),
}

func lookup(id TargetID) Entry {
	for _, e := range fleet {
		if e.Target == id {
			return e
		}
	}
	return Entry{Dest: -1}
}

func routeOf(id TargetID) string {
	if e := lookup(id); e.Kind != 1 {
		return fmt.Sprint("dest ", e.Dest)
	}
	return string(id)
}

func (h *history) step(evs ...Event) {
	acts := h.p.Step(h.now, evs)
	h.trace = append(h.trace, acts)
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			h.send(a)
		case Refuse:
			m := h.msgs[a.ID]
			c := h.set.Classes[m.class]
			if m.mayRun && (c.Idempotency == NonIdempotent || c.Idempotency == Keyed && c.DedupScope != DedupDestination) {
				h.t.Fatalf("%v: %s refused though it may have run", h.now, a.ID)
			}
			h.close(m)
		case Fail:
			h.close(h.msgs[a.ID])
		case WakeAt:
			if h.wakeAt <= h.now || a.At < h.wakeAt {
				h.wakeAt = a.At
			}
		}
	}
}

func (h *history) close(m *message) {
	if m.closed || m.out {
		h.t.Fatalf("%v: a second answer for %s, or one with a call out", h.now, m.id)
	}
	if h.now > m.end+20*ms {
		h.t.Fatalf("%v: %s answered %v late", h.now, m.id, h.now-m.end)
	}
	m.closed = true
}

func (h *history) send(s Send) {
	m, e := h.msgs[s.ID], lookup(s.Target)
	c := h.set.Classes[m.class]
	fail := func(what string) { h.t.Fatalf("%v: send %v: %s", h.now, s, what) }
	switch {
	case m.closed:
		fail("after its final answer")
	case m.out:
		fail("two attempts at once")
	case h.gone[s.Target]:
		fail("to a target that drains or is gone")
	case h.until[routeOf(s.Target)] > h.now:
		fail("while told to wait")
	case m.mayRun && c.Idempotency == NonIdempotent:
		fail("unsafe, and may have run")
	case m.mayRun && c.Idempotency == Keyed && (h.now > m.ranAt+c.DedupWindow || e.Zone != m.ranZone):
		fail("outside its window or group")
	}
	m.out = true
	took := time.Duration(10+h.rng.IntN(300)) * ms
	status := OK
	switch x := h.rng.IntN(20); {
	case x < 2:
		status = Rejected
	case x < 4:
		status = []Status{Error, ConnectFailed, Reset, TimedOut, Canceled, NotSent}[h.rng.IntN(6)]
	case x < 5 || h.now/(5*sec)%3 == 1 && e.Dest != 1: // now and then two destinations hang
		status, took = TimedOut, s.Timeout
	}
	h.calls = append(h.calls, &attempt{m, s.Target, h.now, h.now + min(took, s.Timeout), status})
}

func (h *history) play(length time.Duration) {
	next := 0
	for h.now < length || len(h.calls) > 0 || h.open() {
		h.now += 5 * ms
		if h.now > length+time.Minute {
			h.t.Fatal("messages never end")
		}
		var evs []Event
		if h.wakeAt > 0 && h.wakeAt <= h.now {
			h.wakeAt = 0
			evs = append(evs, Wake{})
		}
		var left []*attempt
		for _, c := range h.calls {
			if c.due > h.now {
				left = append(left, c)
				continue
			}
			evs = append(evs, h.outcome(c))
		}
		h.calls = left
		if h.now < length && h.rng.IntN(8) == 0 {
			for range 1 + h.rng.IntN(3) {
				next++
				class := h.rng.IntN(3)
				m := &message{
					id: MessageID(fmt.Sprint(next)), class: class,
					end: h.now + h.set.Classes[class].Deadline/time.Duration(1+h.rng.IntN(4)),
				}
				h.msgs[m.id] = m
				evs = append(evs, Arrival{
					ID: m.id, Class: class, Dest: DestID(1 + h.rng.IntN(4)),
					Budget: m.end - h.now,
				})
			}
		}
		if h.rng.IntN(400) == 0 {
			e := fleet[h.rng.IntN(len(fleet))]
			if e.State = Readiness(h.rng.IntN(3)); e.State == Ready {
				delete(h.gone, e.Target)
			} else {
				h.gone[e.Target] = true
			}
			evs = append(evs, ListUpdate{Kind: ListChanges, Entries: []Entry{e}})
		}
		if len(evs) > 0 {
			h.step(evs...)
		}
	}
}

func (h *history) open() bool {
	for _, m := range h.msgs {
		if !m.closed {
			return true
		}
	}
	return false
}

func (h *history) outcome(c *attempt) Event {
	m := c.m
	m.out = false
	o := Outcome{ID: m.id, Target: c.target, Status: c.status, Duration: h.now - c.at}
	switch c.status {
	case OK:
		o.Final, m.closed = true, true
	case Rejected:
		o.RetryAfter = time.Duration(h.rng.IntN(3)) * 300 * ms
		h.until[routeOf(c.target)] = max(h.until[routeOf(c.target)], h.now+o.RetryAfter)
	case TimedOut, Reset, Canceled, Error:
		if !m.mayRun {
			m.mayRun, m.ranAt, m.ranZone = true, c.at, lookup(c.target).Zone
		}
	}
	return o
}

// Random histories keep the rules, and the same history gives the same actions.
func TestRandomHistoriesKeepTheRules(t *testing.T) {
	for seed := range uint64(12) {
		var traces [2][][]Action
		for i := range traces {
			p, err := New(settings(), seed)
			if err != nil {
				t.Fatal(err)
			}
			h := &history{
				t: t, set: settings(), rng: rand.New(rand.NewPCG(seed, 7)), p: p,
				msgs: map[MessageID]*message{},
				gone: map[TargetID]bool{}, until: map[string]time.Duration{},
			}
			h.step(ListUpdate{Kind: ListCached, Entries: fleet})
			h.play(40 * sec)
			traces[i] = h.trace
		}
		if !reflect.DeepEqual(traces[0], traces[1]) {
			t.Fatalf("seed %d: the same events gave other actions", seed)
		}
	}
}
