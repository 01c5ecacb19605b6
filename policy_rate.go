package raventrestle

// Rates: how fast this forwarder may send over a route. Expected latency, limits, trials and slow start.

import (
	"cmp"
	"math"
	"time"
)

// expectedLatency returns the mean and deviation of the route's latency. While the route has few answers,
// those of all routes are included, since a forwarder may call a destination only once a minute.
func (p *Policy) expectedLatency(r *route) (mean, deviation time.Duration) {
	if p.latency.count == 0 {
		return p.flows.MonitorPeriod / 4, p.flows.MonitorPeriod / 4
	}
	ownWeight, allWeight := time.Duration(min(r.latency.count, 64)), time.Duration(4)
	return (ownWeight*r.latency.mean + allWeight*p.latency.mean) / (ownWeight + allWeight),
		(ownWeight*r.latency.deviation + allWeight*p.latency.deviation) / (ownWeight + allWeight)
}

// rateStep returns the increase of the rate per answer while it is below the threshold: one call per two
// monitor periods. With many forwarders it is limited to a tenth of the even share, so that ten answers at
// each forwarder double the rate.
func (p *Policy) rateStep(r *route) float64 {
	maxStep := 0.5 / p.flows.MonitorPeriod.Seconds()
	return min(maxStep, cmp.Or(p.evenShare(r)/10, maxStep))
}

// evenShare returns the limit divided by the number of forwarders, 0 if the limit is unknown.
func (p *Policy) evenShare(r *route) float64 { return r.limit / float64(p.settings.Forwarders) }

// rateWindow returns the seconds over which the send rate is averaged: the time of two calls at the even
// share, at least one second.
func (p *Policy) rateWindow(r *route) float64 {
	return min(max(2/cmp.Or(p.evenShare(r), 2), 1), p.failureMemory.Seconds())
}

// setLimit applies a listed or reported limit. The rate starts at half of the limit, or at one and a half
// times the even share if that is more. Later it changes in proportion to the limit.
func (p *Policy) setLimit(r *route, limit float64) {
	if r.rate == 0 || r.limit == 0 {
		r.rate = limit * max(1.5/float64(p.settings.Forwarders), 0.5)
	} else {
		r.rate *= limit / r.limit
	}
	r.limit = limit
}

// followReport adjusts the rate to the remaining limit that a report states. Below half, the rate falls to
// twice the even share: if rejected calls count against the limit, a destination serves nothing while the
// forwarders send more than the limit. It is twice the share because traffic is uneven and forwarders with
// less traffic leave part of their share unused. With many forwarders, an answer with over three quarters
// remaining raises the rate by up to half, because the forwarders' rates together leave much of the limit
// unused.
func (p *Policy) followReport(r *route, o Outcome) {
	if o.Report.Remaining < 0.5 {
		r.rate = min(r.rate, 2*p.evenShare(r))
	} else if o.Status == OK && p.settings.Forwarders > p.settings.CallSlots {
		r.rate *= max(1, 2*o.Report.Remaining-0.5)
	}
}

// scheduleTrial postpones the route's next trial. All forwarders that have messages for the route return
// independently, and none knows how many they are; their number is about that of the messages that arrived
// during the outage. Each forwarder draws a random position among them, in seconds of normal traffic, and
// waits until a recovering destination has had the capacity for the calls before it. After a retry-after time
// the destination warms up from the end of that time; without one it may return at any time. A forwarder with
// frequent calls to the route waits at most about the normal interval between them.
func (p *Policy) scheduleTrial(r *route) {
	s := &p.settings
	if r.outageAt == 0 { // the outage may have begun at any time since the last answer here
		r.outageAt = max(p.now-s.WarmupDuration, r.lastAnsweredAt)
	}
	if s.OverloadDuration <= 0 || s.WarmupDuration <= 0 || s.InitialCapacityShare <= 0 {
		return
	}
	start := max(r.waitUntil, p.now)
	spread := max(start-r.outageAt, s.OverloadDuration).Seconds()
	if rate := p.expectedRate(r); rate > 0 {
		spread = min(spread, 1/rate)
	}
	spread /= p.warmupLoadFactor()
	position := p.rng.Float64() * spread
	// The position is drawn again for each trial, so the mean delay matters.
	delay := (position + spread/2) / s.InitialCapacityShare
	if r.waitUntil > p.now {
		// Solves initial*x + (1-initial)*x*x/(2*warmup) = position for x.
		initial, warmup := s.InitialCapacityShare, s.WarmupDuration.Seconds()
		delay = min(delay,
			warmup*(math.Sqrt(initial*initial+2*(1-initial)*position/warmup)-initial)/max(1-initial, 0.01))
	}
	r.nextCallAt = max(r.nextCallAt, start+time.Duration(delay*float64(time.Second)))
}

// warmupLoadFactor returns the load that all forwarders together send to a recovering destination, as a
// multiple of its current capacity. It uses half of the margin up to OverloadFactor. The other half is
// reserved for random variation and for forwarders that have not detected the outage.
func (p *Policy) warmupLoadFactor() float64 { return (1 + p.settings.OverloadFactor) / 2 }

// expectedRate returns the calls per second that this forwarder normally sends over the route. After a
// restart it has sent little, so the restored messages, which arrived within the longest deadline, give an
// estimate.
func (p *Policy) expectedRate(r *route) float64 {
	rate := 0.0
	for _, t := range r.targets {
		if rate += t.sendRate(p); p.now < t.dest.restoredUntil {
			restoredRate := t.dest.restoredMessages / p.maxDeadline.Seconds() / float64(t.dest.kind.MaxBatch)
			rate = max(rate, restoredRate*float64(len(r.targets))/float64(len(t.dest.targets)))
		}
	}
	return max(rate, r.limit/float64(p.settings.Forwarders))
}

// slowStartRate returns this forwarder's share of the capacity of a route's targets that are in slow start.
func (p *Policy) slowStartRate(r *route) float64 {
	s := &p.settings
	capacity := 0.0
	for _, t := range r.targets {
		if t.health == slowStart {
			capacity += s.InitialCapacityShare +
				(1-s.InitialCapacityShare)*min(1, float64(p.now-t.slowStartAt)/float64(p.failureMemory))
		}
	}
	return max(p.warmupLoadFactor()*capacity/float64(max(len(r.targets), 1))*p.expectedRate(r),
		2/s.OverloadDuration.Seconds())
}
