package placer

import "time"

const (
	// loadRateSlack is the constant that the operators' rule CEILING adds to what a window allows.
	loadRateSlack = 3
	// reservedLoads is how many of a window's loads only a leader in its first window may begin. Another leader,
	// whose loads it does not know, may have begun all the others just before, at endpoints that nobody knows any
	// more.
	reservedLoads = 2
	// loadWindowMargin lengthens the window, for clocks that differ and for the time that the caller takes.
	loadWindowMargin = 300 * time.Millisecond
	// maxReportAge is how old an endpoint's report may be: some hundred milliseconds, and the time on its way.
	maxReportAge = 500 * time.Millisecond
)

// loadRateLimiter bounds the loads from the weight store so that no window, wherever it begins, has more than CEILING
// allows, over all leaders.
//
// A load begins somewhere between its order and the order's answer. When one is ordered, all earlier ones that may
// have begun within a window before now are counted; whatever their true moments, no window then has more.
type loadRateLimiter struct {
	window             time.Duration
	limit              int // loads in a window
	ownLoads           []ownLoad
	inheritedUntil     time.Time            // when the loads of earlier leaders have left every window
	lastInheritedStart time.Time            // latest moment at which a load of an earlier leader may have begun
	inheritedLoads     map[string]time.Time // the same for each endpoint that may have had such a load, by ID
}

// ownLoad is a load that this placer ordered.
type ownLoad struct {
	order       uint64    // ID of the order
	latestStart time.Time // latest moment at which it may have begun; zero: no answer yet
}

// newLoadRateLimiter returns a limiter for a leader that begins now, where no other leader has sent an order for the
// gap.
func newLoadRateLimiter(now time.Time, window, gap time.Duration) *loadRateLimiter {
	return &loadRateLimiter{
		window:             window + loadWindowMargin,
		inheritedUntil:     now.Add(window + loadWindowMargin - gap),
		lastInheritedStart: now.Add(-gap),
		inheritedLoads:     map[string]time.Time{},
	}
}

// setRate sets the limit from the loads a second that the store allows, times the factor, and the slack.
func (l *loadRateLimiter) setRate(perSecond, factor float64, window time.Duration) {
	l.limit = int(perSecond*window.Seconds()*factor + loadRateSlack)
}

// allows reports whether one more load may begin now. An endpoint carries out one order at a time, so that each
// endpoint can have had one load of an earlier leader in the window, unless its own report shows that it had none.
func (l *loadRateLimiter) allows(now time.Time) bool {
	l.expire(now)
	own := len(l.ownLoads)
	if own+len(l.inheritedLoads) < l.limit-reservedLoads {
		return true
	}
	return now.Before(l.inheritedUntil) && own < min(reservedLoads, l.limit)
}

// addInherited notes an endpoint at which an earlier leader may have begun a load.
func (l *loadRateLimiter) addInherited(now time.Time, endpoint string) {
	if now.Before(l.inheritedUntil) {
		l.inheritedLoads[endpoint] = l.lastInheritedStart
	}
}

// observeIdle notes that the endpoint carries out no order, and that no load that it may have finished lasted less
// than shortest: any such load began that much earlier.
func (l *loadRateLimiter) observeIdle(now time.Time, endpoint string, shortest time.Duration) {
	if !now.Add(-maxReportAge).After(l.lastInheritedStart) {
		return // the report may be older than the last order
	}
	latest, mayHaveLoaded := l.inheritedLoads[endpoint]
	if start := now.Add(-shortest); mayHaveLoaded && start.Before(latest) {
		l.inheritedLoads[endpoint] = start
	}
}

// expire forgets the loads that have left the window.
func (l *loadRateLimiter) expire(now time.Time) {
	kept := l.ownLoads[:0]
	for _, load := range l.ownLoads {
		if load.latestStart.IsZero() || load.latestStart.Add(l.window).After(now) {
			kept = append(kept, load)
		}
	}
	l.ownLoads = kept
	for endpoint, latest := range l.inheritedLoads {
		if !latest.Add(l.window).After(now) {
			delete(l.inheritedLoads, endpoint)
		}
	}
}

// addOrdered counts a load that is ordered now.
func (l *loadRateLimiter) addOrdered(order uint64) {
	l.ownLoads = append(l.ownLoads, ownLoad{order: order})
}

// resolve notes that the ordered load began before now, or that it never will.
func (l *loadRateLimiter) resolve(order uint64, now time.Time, mayHaveBegun bool) {
	for i := range l.ownLoads {
		if l.ownLoads[i].order != order {
			continue
		}
		if mayHaveBegun {
			l.ownLoads[i].latestStart = now
			return
		}
		l.ownLoads = append(l.ownLoads[:i], l.ownLoads[i+1:]...)
		return
	}
}
