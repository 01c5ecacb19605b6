package raventrestle

// What the outcome of a call changes at its target and route, and when a target becomes half-open.

import (
	"cmp"
	"slices"

	"raventrestle/asfq"
)

// recordOutcome updates the target and its route with the outcome of a call. A call lost on an idle
// connection may be due to the connection alone: it only makes the next call a trial on a new connection.
func (p *Policy) recordOutcome(c *call, o Outcome, class int) {
	t, r := c.target, c.target.route
	if c.trial {
		t.trialsInFlight--
	}
	// The target has answered no call since this one was sent.
	unresponsive := o.Status == TimedOut && t.lastAnsweredAt < c.startedAt
	if (unresponsive || o.Status == Reset) && c.idleTime > max(p.answeredIdle[0], p.answeredIdle[1]) {
		t.staleIdleTime, t.failuresInRow = c.idleTime, max(t.failuresInRow, 1)
		return
	}
	if o.Status == OK && t.staleIdleTime > 0 && c.idleTime == 0 {
		p.maxIdleTime = min(p.maxIdleTime, t.staleIdleTime)
		p.logf("idle connections appear to be dropped after %v: closing them earlier", t.staleIdleTime)
	}
	if o.Status != Rejected && o.Status != NotSent {
		t.staleIdleTime = 0
		for _, x := range []*decayingCounts{&t.counts[class], &t.counts[len(p.settings.Classes)]} {
			x.decay(p)
			if x.calls++; o.Status != OK {
				x.failures++
			}
		}
	}
	if o.Status == Rejected && c.idleTime == 0 && o.RetryAfter == 0 && o.Report == (LimitReport{}) &&
		p.limitsReported && p.settings.Forwarders > p.settings.CallSlots {
		// If overload were the cause, the rejection would come with a report.
		p.connectionsLimited[t.dest.kindIndex] = true
	}
	if o.Report.Limit > 0 {
		r.limitReported, p.limitsReported = true, true
		p.setLimit(r, o.Report.Limit)
		p.followReport(r, o)
	}
	// Otherwise the call was lost, or the host was delayed; neither says how slow the target is.
	if (o.Status == OK || unresponsive) && !p.wokeLate {
		r.latency.add(o.Duration)
		p.latency.add(o.Duration)
		t.meanLatency = asfq.EWMA(t.meanLatency, o.Duration, 8)
	}
	switch o.Status {
	case OK:
		p.answeredIdle[0], t.lastAnsweredSentAt =
			max(p.answeredIdle[0], c.idleTime), max(t.lastAnsweredSentAt, c.startedAt)
		p.recordAnswer(t)
	case Rejected:
		p.recordRejection(c, o)
	case Error:
		p.recordFailure(t, "errors")
	case ConnectFailed:
		p.connectionsScarceUntil = p.now + 2*p.failureMemory
		p.recordFailure(t, "no connection")
	case TimedOut, Reset:
		if unresponsive { // a single one makes the target half-open
			t.failuresInRow++
		}
		p.recordFailure(t, "calls lost")
	}
}

// recordFailure counts a failure. A single failure only makes the next call a trial. A second one in a row at
// the target or on its route, or an unresponsive target, makes the target half-open.
func (p *Policy) recordFailure(t *target, reason string) {
	t.failuresInRow++
	t.route.failuresInRow++
	if max(t.failuresInRow, t.route.failuresInRow) > 1 || t.health == halfOpen {
		p.trip(t, reason)
	}
}

// recordAnswer raises the rate and ends the target's outage, if it had one.
func (p *Policy) recordAnswer(t *target) {
	r := t.route
	r.lastAnsweredAt = p.now
	t.lastAnsweredAt, t.dest.rejectionsInRow, r.failuresInRow = p.now, 0, 0
	if r.rate > 0 {
		if r.rate += p.rateStep(r) / 4; r.rate < r.threshold { // faster below the rate at which calls were rejected
			r.rate += p.rateStep(r) * 3 / 4
		}
	}
	if t.health == halfOpen && t.failuresInRow == 0 {
		t.health = healthy
	} else if t.health == halfOpen {
		allHalfOpen := !slices.ContainsFunc(r.targets, func(x *target) bool { return x.health != halfOpen })
		for _, x := range r.targets {
			if x == t || r.allSuspended && x.health == halfOpen {
				x.health, x.slowStartAt, x.failuresInRow = slowStart, p.now, 0
			} else if allHalfOpen { // the outage of all targets is over, but each is confirmed by one call first
				x.health, x.slowStartAt, x.failuresInRow = slowStart, p.now, 1
			}
		}
		r.outageAt, r.allSuspended = 0, false
		r.nextCallAt = p.now + interval(p.slowStartRate(r))
		p.logf("target %s answers again: starting slowly", t.id)
	}
	t.failuresInRow = 0
}

// recordRejection handles a call rejected because a limit was exceeded or because the destination takes no
// calls. The latter is assumed if the retry-after time is long, or after three rejections in a row at a
// destination, on any of its routes, or two with most of the limit remaining. Otherwise the rate is reduced.
func (p *Policy) recordRejection(c *call, o Outcome) {
	t, r := c.target, c.target.route
	limitExhausted := o.Report.Limit > 0 && o.Report.Remaining < 0.5 // then the limit is the cause
	// Spreads the retries of many forwarders whose calls were rejected together.
	r.tokens = min(r.tokens, -p.rng.Float64())
	// Of the calls sent together, only the first rejection counts.
	if c.startedAt > r.rateReducedAt || r.rateReducedAt == 0 {
		r.rateReducedAt = p.now
		t.dest.rejectionsInRow++
		if limitExhausted {
			t.dest.rejectionsInRow = 0
		} else if o.Report.Limit > 0 { // most of the limit remains: counts twice
			t.dest.rejectionsInRow++
		}
		r.rate = min(cmp.Or(r.rate, r.sentRate), r.sentRate) // a rate that was not used gives no information
		r.threshold = 0.9 * r.rate
		// With more forwarders, a smaller share of the rejections is seen here.
		forwarders := float64(p.settings.Forwarders)
		if r.rate = max((0.5+0.5/forwarders)*r.rate, r.limit/forwarders/2); r.limit == 0 {
			r.rate = max(r.rate, 1/p.maxDeadline.Seconds())
		}
	}
	// All targets that share the limit are suspended together.
	if t.dest.rejectionsInRow >= 3 || o.RetryAfter > p.settings.OverloadDuration {
		r.allSuspended = true
		for _, x := range r.targets {
			x.failuresInRow = max(x.failuresInRow, 2)
			p.trip(x, "calls rejected")
		}
	}
}

// trip makes a target half-open: it gets one trial call at a time, at intervals set by scheduleTrial.
func (p *Policy) trip(t *target, reason string) {
	if t.health == healthy {
		t.normalRate = t.sendRate(p)
		p.logf("target %s suspended: %s", t.id, reason)
	}
	t.health = halfOpen
	p.scheduleTrial(t.route)
}
