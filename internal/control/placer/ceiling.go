package placer

import "time"

// ceilingSlack is the constant that the rule adds to what a window allows.
const ceilingSlack = 3

// spareLoads is how much of a window's loads only a holder in its first window may use: another holder, whose
// loads it does not know, may have used all the others just before.
const spareLoads = 2

// ceilingMargin lengthens the window for clocks that differ and for time that the host takes.
const ceilingMargin = 300 * time.Millisecond

// reportAge is how old an endpoint's report may be: some hundred ms, and the way.
const reportAge = 500 * time.Millisecond

// ledger counts the loads from the weight store so that no window holds more than the rule allows.
//
// A load begins somewhere between its order and the order's answer. When one is ordered, all earlier ones that may
// have begun within a window before are counted; whatever their true moments, no window then holds more.
type ledger struct {
	window  time.Duration
	limit   int
	entries []begun
	until   time.Time            // when the loads of earlier holders have left every window
	before  time.Time            // the latest moment at which an earlier holder's load may have begun
	others  map[string]time.Time // the same for each endpoint that may have had one, by ID
}

type begun struct {
	order  uint64
	latest time.Time // the latest moment at which it may have begun; zero: not answered yet
}

func newLedger(now time.Time, window, quiet time.Duration) *ledger {
	return &ledger{
		window: window + ceilingMargin, until: now.Add(window + ceilingMargin - quiet), before: now.Add(-quiet),
		others: map[string]time.Time{},
	}
}

// setRate takes what the store allows a second.
func (l *ledger) setRate(perSecond, over float64, window time.Duration) {
	l.limit = int(perSecond*window.Seconds()*over + ceilingSlack)
}

// allows tells whether one more load may begin now. An endpoint carries out one order at a time, so that each can have
// had one load of an earlier holder, unless its own report tells that it had none; spareLoads are for endpoints that
// nobody knows any more.
func (l *ledger) allows(now time.Time) bool {
	l.expire(now)
	own := len(l.entries)
	if own+len(l.others) < l.limit-spareLoads {
		return true
	}
	return now.Before(l.until) && own < min(spareLoads, l.limit)
}

// met notes an endpoint at which an earlier holder may have begun a load.
func (l *ledger) met(now time.Time, endpoint string) {
	if now.Before(l.until) {
		l.others[endpoint] = l.before
	}
}

// idle notes that the endpoint carries out no order, and that no load that it may have done lasts less than shortest.
func (l *ledger) idle(now time.Time, endpoint string, shortest time.Duration) {
	if !now.Add(-reportAge).After(l.before) {
		return // the report may be older than the last order
	}
	latest, may := l.others[endpoint]
	if at := now.Add(-shortest); may && at.Before(latest) {
		l.others[endpoint] = at
	}
}

func (l *ledger) expire(now time.Time) {
	kept := l.entries[:0]
	for _, entry := range l.entries {
		if entry.latest.IsZero() || entry.latest.Add(l.window).After(now) {
			kept = append(kept, entry)
		}
	}
	l.entries = kept
	for endpoint, latest := range l.others {
		if !latest.Add(l.window).After(now) {
			delete(l.others, endpoint)
		}
	}
}

func (l *ledger) ordered(order uint64) {
	l.entries = append(l.entries, begun{order: order})
}

// answered says that the load began before now, or never.
func (l *ledger) answered(order uint64, now time.Time, began bool) {
	for i := range l.entries {
		if l.entries[i].order != order {
			continue
		}
		if began {
			l.entries[i].latest = now
			return
		}
		l.entries = append(l.entries[:i], l.entries[i+1:]...)
		return
	}
}
