package placer

import "time"

const (
	// loadRateSlack is the constant number of loads that the operators' rule CEILING allows in a window in addition to
	// the rate.
	loadRateSlack = 3
	// reservedLoads is the part of a window's loads that only a leader in its first window may use. Such a leader does not
	// know all loads of the previous leader, which may have started all the other loads just before, at endpoints that
	// are no longer registered.
	reservedLoads = 2
	// loadWindowMargin lengthens the window to allow for clock differences and for the time that the caller takes.
	loadWindowMargin = 300 * time.Millisecond
	// maxReportAge is the maximum age of an endpoint's report: some hundred milliseconds, plus the transmission time.
	maxReportAge = 500 * time.Millisecond
)

// loadRateLimiter limits the loads from the weight store so that no window, wherever it starts, has more loads than
// CEILING allows, over all leaders.
//
// A load starts at some time between its order and the order's answer. Before a load is ordered, the limiter counts all
// earlier loads that may have started within the last window. No window then has too many loads, whatever their actual
// start times are.
type loadRateLimiter struct {
	window             time.Duration
	limit              int // maximum number of loads in a window
	ownLoads           []ownLoad
	inheritedUntil     time.Time            // when the loads of earlier leaders have left every window
	lastInheritedStart time.Time            // latest time at which a load of an earlier leader may have started
	inheritedLoads     map[string]time.Time // the same for each endpoint that may have had such a load, by endpoint ID
}

// ownLoad is a load that this placer ordered.
type ownLoad struct {
	order       uint64    // ID of the order
	latestStart time.Time // latest time at which it may have started; zero: no answer yet
}

// newLoadRateLimiter returns a limiter for a leader that starts now. No other leader has sent an order within the gap
// before now.
func newLoadRateLimiter(now time.Time, window, gap time.Duration) *loadRateLimiter {
	return &loadRateLimiter{
		window:             window + loadWindowMargin,
		inheritedUntil:     now.Add(window + loadWindowMargin - gap),
		lastInheritedStart: now.Add(-gap),
		inheritedLoads:     map[string]time.Time{},
	}
}

// setRate sets the limit: the store's loads per second times the window and the factor, plus the slack.
func (l *loadRateLimiter) setRate(perSecond, factor float64, window time.Duration) {
	l.limit = int(perSecond*window.Seconds()*factor + loadRateSlack)
}

// allows reports whether one more load may start now. An endpoint carries out one order at a time, so each endpoint may
// have had one load of an earlier leader in the window, unless the endpoint's own report shows that it had none.
func (l *loadRateLimiter) allows(now time.Time) bool {
	l.expire(now)
	ownCount := len(l.ownLoads)
	if ownCount+len(l.inheritedLoads) < l.limit-reservedLoads {
		return true
	}
	return now.Before(l.inheritedUntil) && ownCount < min(reservedLoads, l.limit)
}

// addInherited records an endpoint at which an earlier leader may have started a load.
func (l *loadRateLimiter) addInherited(now time.Time, endpoint string) {
	if now.Before(l.inheritedUntil) {
		l.inheritedLoads[endpoint] = l.lastInheritedStart
	}
}

// observeIdle records that the endpoint is not carrying out an order. If it has finished a load, the load took at least
// minLoadTime and therefore started at least that long ago.
func (l *loadRateLimiter) observeIdle(now time.Time, endpoint string, minLoadTime time.Duration) {
	if !now.Add(-maxReportAge).After(l.lastInheritedStart) {
		return // the report may be older than the last order of an earlier leader
	}
	latest, mayHaveLoaded := l.inheritedLoads[endpoint]
	if start := now.Add(-minLoadTime); mayHaveLoaded && start.Before(latest) {
		l.inheritedLoads[endpoint] = start
	}
}

// expire removes the loads that have left the window.
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

// addOrdered counts a load that is being ordered.
func (l *loadRateLimiter) addOrdered(order uint64) {
	l.ownLoads = append(l.ownLoads, ownLoad{order: order})
}

// resolve records that the ordered load started before now, or that it will never start.
func (l *loadRateLimiter) resolve(order uint64, now time.Time, mayHaveStarted bool) {
	for i := range l.ownLoads {
		if l.ownLoads[i].order != order {
			continue
		}
		if mayHaveStarted {
			l.ownLoads[i].latestStart = now
			return
		}
		l.ownLoads = append(l.ownLoads[:i], l.ownLoads[i+1:]...)
		return
	}
}
