package placer

import "time"

// ceilingSlack is the constant that the rule adds to what a window allows.
const ceilingSlack = 3

// spareLoads is how much of a window's loads only a holder in its first window may use: another holder, whose
// loads it does not know, may have used all the others just before.
const spareLoads = 2

// ceilingMargin lengthens the window for clocks that differ and for time that the host takes.
const ceilingMargin = 300 * time.Millisecond

// ledger counts the loads from the weight store so that no window holds more than the rule allows.
//
// A load begins somewhere between its order and the order's answer. When one is ordered, all earlier ones that may
// have begun within a window before are counted; whatever their true moments, no window then holds more.
type ledger struct {
	window  time.Duration
	limit   int
	entries []begun
	until   time.Time // when these have left every window
}

type begun struct {
	order  uint64
	latest time.Time // the latest moment at which it may have begun; zero: not answered yet
}

func newLedger(now time.Time, window, quiet time.Duration) *ledger {
	return &ledger{window: window + ceilingMargin, until: now.Add(window + ceilingMargin - quiet)}
}

// setRate takes what the store allows a second.
func (l *ledger) setRate(perSecond, over float64, window time.Duration) {
	l.limit = int(perSecond*window.Seconds()*over + ceilingSlack)
}

// allows tells whether one more load may begin now.
func (l *ledger) allows(now time.Time) bool {
	l.expire(now)
	used := len(l.entries)
	if now.Before(l.until) {
		return used < min(spareLoads, l.limit)
	}
	return used < l.limit-spareLoads
}

func (l *ledger) expire(now time.Time) {
	kept := l.entries[:0]
	for _, entry := range l.entries {
		if entry.latest.IsZero() || entry.latest.Add(l.window).After(now) {
			kept = append(kept, entry)
		}
	}
	l.entries = kept
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
