package placer

import "time"

// ceilingSlack is the constant that the rule adds to what a window allows.
const loadRateSlack = 3

// spareLoads is how much of a window's loads only a holder in its first window may use: another holder, whose
// loads it does not know, may have used all the others just before.
const reservedLoads = 2

// ceilingMargin lengthens the window for clocks that differ and for time that the host takes.
const loadWindowMargin = 300 * time.Millisecond

// reportAge is how old an endpoint's report may be: some hundred ms, and the way.
const maxReportAge = 500 * time.Millisecond

// loadRateLimiter counts the loads from the weight store so that no window holds more than the rule allows.
//
// A load begins somewhere between its order and the order's answer. When one is ordered, all earlier ones that may
// have begun within a window before are counted; whatever their true moments, no window then holds more.
type loadRateLimiter struct {
	window             time.Duration
	limit              int
	ownLoads           []ownLoad
	inheritedUntil     time.Time            // when the loads of earlier holders have left every window
	lastInheritedStart time.Time            // the latest moment at which an earlier holder's load may have begun
	inheritedLoads     map[string]time.Time // the same for each endpoint that may have had one, by ID
}

type ownLoad struct {
	order       uint64
	latestStart time.Time // the latest moment at which it may have begun; zero: not answered yet
}

func newLoadRateLimiter(now time.Time, window, quiet time.Duration) *loadRateLimiter {
	return &loadRateLimiter{
		window: window + loadWindowMargin, inheritedUntil: now.Add(window + loadWindowMargin - quiet), lastInheritedStart: now.Add(-quiet),
		inheritedLoads: map[string]time.Time{},
	}
}

// setRate takes what the store allows a second.
func (l *loadRateLimiter) setRate(perSecond, over float64, window time.Duration) {
	l.limit = int(perSecond*window.Seconds()*over + loadRateSlack)
}

// allows tells whether one more load may begin now. An endpoint carries out one order at a time, so that each can have
// had one load of an earlier holder, unless its own report tells that it had none; spareLoads are for endpoints that
// nobody knows any more.
func (l *loadRateLimiter) allows(now time.Time) bool {
	l.expire(now)
	own := len(l.ownLoads)
	if own+len(l.inheritedLoads) < l.limit-reservedLoads {
		return true
	}
	return now.Before(l.inheritedUntil) && own < min(reservedLoads, l.limit)
}

// addInherited notes an endpoint at which an earlier holder may have begun a load.
func (l *loadRateLimiter) addInherited(now time.Time, endpoint string) {
	if now.Before(l.inheritedUntil) {
		l.inheritedLoads[endpoint] = l.lastInheritedStart
	}
}

// observeIdle notes that the endpoint carries out no order, and that no load that it may have done lasts less than shortest.
func (l *loadRateLimiter) observeIdle(now time.Time, endpoint string, shortest time.Duration) {
	if !now.Add(-maxReportAge).After(l.lastInheritedStart) {
		return // the report may be older than the last order
	}
	latest, may := l.inheritedLoads[endpoint]
	if at := now.Add(-shortest); may && at.Before(latest) {
		l.inheritedLoads[endpoint] = at
	}
}

func (l *loadRateLimiter) expire(now time.Time) {
	kept := l.ownLoads[:0]
	for _, entry := range l.ownLoads {
		if entry.latestStart.IsZero() || entry.latestStart.Add(l.window).After(now) {
			kept = append(kept, entry)
		}
	}
	l.ownLoads = kept
	for endpoint, latest := range l.inheritedLoads {
		if !latest.Add(l.window).After(now) {
			delete(l.inheritedLoads, endpoint)
		}
	}
}

func (l *loadRateLimiter) addOrdered(order uint64) {
	l.ownLoads = append(l.ownLoads, ownLoad{order: order})
}

// resolve says that the load began before now, or never.
func (l *loadRateLimiter) resolve(order uint64, now time.Time, began bool) {
	for i := range l.ownLoads {
		if l.ownLoads[i].order != order {
			continue
		}
		if began {
			l.ownLoads[i].latestStart = now
			return
		}
		l.ownLoads = append(l.ownLoads[:i], l.ownLoads[i+1:]...)
		return
	}
}
