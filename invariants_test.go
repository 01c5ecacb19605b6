package raventrestle_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	. "raventrestle"
)

// simulation plays random events to a policy and checks the invariants on every action.
type simulation struct {
	t           *testing.T
	set         Settings
	rng         *rand.Rand
	p           *Policy
	now         time.Duration
	messages    map[MessageID]*message
	calls       []*attempt
	unavailable map[TargetID]bool
	waitUntil   map[string]time.Duration // retry-after times by route
	trace       [][]Action
	wakeAt      time.Duration
}

type message struct {
	id         MessageID
	class      int
	deadline   time.Duration
	inFlight   bool
	mayHaveRun bool
	runAt      time.Duration
	runZone    int
	closed     bool
}

type attempt struct {
	message   *message
	target    TargetID
	startedAt time.Duration
	due       time.Duration
	status    Status
}

var fleet = []Entry{
	entry("a1", 1, 0, 0), entry("a2", 1, 0, 1), entry("b1", 2, 1, 0), entry("b2", 2, 1, 1),
	entry("c1", 3, 2, 0), entry("c2", 3, 2, 1),
}

func entryOf(id TargetID) Entry {
	for _, e := range fleet {
		if e.Target == id {
			return e
		}
	}
	return Entry{Dest: -1}
}

func routeOf(id TargetID) string {
	if e := entryOf(id); e.Kind != 1 {
		return fmt.Sprint("dest ", e.Dest)
	}
	return string(id)
}

func (h *simulation) step(evs ...Event) {
	acts := h.p.Step(h.now, evs)
	h.trace = append(h.trace, acts)
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			h.send(a)
		case Refuse:
			m := h.messages[a.ID]
			c := h.set.Classes[m.class]
			if m.mayHaveRun && (c.Idempotency == NonIdempotent || c.Idempotency == Keyed && c.DedupScope != DedupDestination) {
				h.t.Fatalf("%v: %s refused although it may have run", h.now, a.ID)
			}
			h.close(m)
		case Fail:
			h.close(h.messages[a.ID])
		case WakeAt:
			if h.wakeAt <= h.now || a.At < h.wakeAt {
				h.wakeAt = a.At
			}
		}
	}
}

func (h *simulation) close(m *message) {
	if m.closed || m.inFlight {
		h.t.Fatalf("%v: %s was answered twice or with a call in flight", h.now, m.id)
	}
	if h.now > m.deadline+20*ms {
		h.t.Fatalf("%v: %s answered %v after its deadline", h.now, m.id, h.now-m.deadline)
	}
	m.closed = true
}

func (h *simulation) send(s Send) {
	m, e := h.messages[s.ID], entryOf(s.Target)
	c := h.set.Classes[m.class]
	fail := func(what string) { h.t.Fatalf("%v: send %v: %s", h.now, s, what) }
	switch {
	case m.closed:
		fail("after the final answer")
	case m.inFlight:
		fail("two attempts at once")
	case h.unavailable[s.Target]:
		fail("to a target that is draining or removed")
	case h.waitUntil[routeOf(s.Target)] > h.now:
		fail("before the retry-after time")
	case m.mayHaveRun && c.Idempotency == NonIdempotent:
		fail("non-idempotent and may have run")
	case m.mayHaveRun && c.Idempotency == Keyed && (h.now > m.runAt+c.DedupWindow || e.Zone != m.runZone):
		fail("outside its deduplication window or scope")
	}
	m.inFlight = true
	took := time.Duration(10+h.rng.IntN(300)) * ms
	status := OK
	switch x := h.rng.IntN(20); {
	case x < 2:
		status = Rejected
	case x < 4:
		status = []Status{Error, ConnectFailed, Reset, TimedOut, Canceled, NotSent}[h.rng.IntN(6)]
	case x < 5 || h.now/(5*sec)%3 == 1 && e.Dest != 1: // at times, two destinations hang
		status, took = TimedOut, s.Timeout
	}
	h.calls = append(h.calls, &attempt{m, s.Target, h.now, h.now + min(took, s.Timeout), status})
}

func (h *simulation) run(duration time.Duration) {
	lastID := 0
	for h.now < duration || len(h.calls) > 0 || h.hasOpenMessages() {
		h.now += 5 * ms
		if h.now > duration+time.Minute {
			h.t.Fatal("messages without a final answer")
		}
		var evs []Event
		if h.wakeAt > 0 && h.wakeAt <= h.now {
			h.wakeAt = 0
			evs = append(evs, Wake{})
		}
		var running []*attempt
		for _, c := range h.calls {
			if c.due > h.now {
				running = append(running, c)
				continue
			}
			evs = append(evs, h.outcome(c))
		}
		h.calls = running
		if h.now < duration && h.rng.IntN(8) == 0 {
			for range 1 + h.rng.IntN(3) {
				lastID++
				class := h.rng.IntN(3)
				m := &message{
					id: MessageID(fmt.Sprint(lastID)), class: class,
					deadline: h.now + h.set.Classes[class].Deadline/time.Duration(1+h.rng.IntN(4)),
				}
				h.messages[m.id] = m
				evs = append(evs, Arrival{
					ID: m.id, Class: class, Dest: DestID(1 + h.rng.IntN(4)),
					Budget: m.deadline - h.now,
				})
			}
		}
		if h.rng.IntN(400) == 0 {
			e := fleet[h.rng.IntN(len(fleet))]
			if e.State = Readiness(h.rng.IntN(3)); e.State == Ready {
				delete(h.unavailable, e.Target)
			} else {
				h.unavailable[e.Target] = true
			}
			evs = append(evs, ListUpdate{Kind: ListChanges, Entries: []Entry{e}})
		}
		if len(evs) > 0 {
			h.step(evs...)
		}
	}
}

func (h *simulation) hasOpenMessages() bool {
	for _, m := range h.messages {
		if !m.closed {
			return true
		}
	}
	return false
}

func (h *simulation) outcome(c *attempt) Event {
	m := c.message
	m.inFlight = false
	o := Outcome{ID: m.id, Target: c.target, Status: c.status, Duration: h.now - c.startedAt}
	switch c.status {
	case OK:
		o.Final, m.closed = true, true
	case Rejected:
		o.RetryAfter = time.Duration(h.rng.IntN(3)) * 300 * ms
		h.waitUntil[routeOf(c.target)] = max(h.waitUntil[routeOf(c.target)], h.now+o.RetryAfter)
	case TimedOut, Reset, Canceled, Error:
		if !m.mayHaveRun {
			m.mayHaveRun, m.runAt, m.runZone = true, c.startedAt, entryOf(c.target).Zone
		}
	}
	return o
}

// Random event histories keep the invariants, and the same history causes the same actions.
func TestRandomHistoriesKeepInvariants(t *testing.T) {
	for seed := range uint64(12) {
		var traces [2][][]Action
		for i := range traces {
			p, err := New(settings(), seed)
			if err != nil {
				t.Fatal(err)
			}
			h := &simulation{
				t: t, set: settings(), rng: rand.New(rand.NewPCG(seed, 7)), p: p,
				messages:    map[MessageID]*message{},
				unavailable: map[TargetID]bool{}, waitUntil: map[string]time.Duration{},
			}
			h.step(ListUpdate{Kind: ListCached, Entries: fleet})
			h.run(40 * sec)
			traces[i] = h.trace
		}
		if !reflect.DeepEqual(traces[0], traces[1]) {
			t.Fatalf("seed %d: the same events caused different actions", seed)
		}
	}
}
