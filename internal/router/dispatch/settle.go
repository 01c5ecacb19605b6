package dispatch

import "time"

const (
	maxDeferrals               = 2    // times that a request is put off at the end of its patience
	shortQueueFraction         = 0.25 // of an endpoint's places, that wait there
	explorationInterval        = 500 * time.Millisecond
	overloadBackoffCalls       = 4   // mean durations of a call, until places can be hoped for again
	minOverloadBackoffFraction = 0.8 // of that time is told at least, the rest is drawn
)

// onQueueDeadline decides on a request that was held as long as it may be: elsewhere, late, or not at all. What is
// refused for the first time usually comes back when it is told to, and then counts by its new try; what
// comes back, or was out already, rather goes late than not at all.
func (d *Decider) onQueueDeadline(r *request) {
	if r.awaitingQuota {
		d.onQuotaDeadline(r)
		return
	}
	h, how := d.choose(r)
	if how == noCandidate && d.assumeLoaded(r) {
		h, how = d.choose(r)
	}
	switch {
	case how == noCandidate:
		d.onUnassignedDeadline(r)
	case how == unavailable && h.awaitsVerification(r.Adapter) && d.now+recheckInterval < d.capQueueDeadline(r.fullValueDeadline()):
		r.queueDeadline = d.now + recheckInterval
		d.timers.add(r.queueDeadline, r)
	case r.deferrals >= maxDeferrals || d.schedule.Busy >= d.schedule.Slots:
		d.reject(r, TargetUnreachable, d.overloadRetryAfter(r, h))
	case how == availableNow:
		d.requeue(r, h)
	case how == availablePastTarget && d.shouldExplore(h):
		r.exploratory = true
		d.requeue(r, h)
	case how == availablePastTarget && d.worthSendingPastTarget(h, r):
		r.pastTarget = true
		d.requeue(r, h)
	default:
		d.reject(r, TargetUnreachable, d.overloadRetryAfter(r, h))
	}
}

// shouldExplore says whether a request is sent against the estimates, which might be wrong and could not be put
// right otherwise: where places seem to be free and nothing was sent
// for a while.
func (d *Decider) shouldExplore(h *residency) bool {
	g := h.group
	taken, waiting := d.load(h.endpoint)
	return taken+waiting+1 <= h.endpoint.capacity(g.meanKVTokens) && d.now-g.lastOnTargetSendAt >= explorationInterval
}

// requeue moves the request to where it goes now: it leaves in this step if its turn comes.
func (d *Decider) requeue(r *request, h *residency) {
	d.dequeue(r)
	d.enqueue(r, h.endpoint)
	r.deferrals++
	r.queueDeadline = d.now + minQueueTime
	d.timers.add(r.queueDeadline, r)
}

// worthSendingPastTarget says whether a request that can't be in time is to be sent all the same.
func (d *Decider) worthSendingPastTarget(h *residency, r *request) bool {
	ms, _ := d.predict(h, r)
	answer := d.now + time.Duration(ms*float64(time.Millisecond))
	if answer > r.usefulDeadline() {
		return r.ClientRetry && d.hasShortQueue(h.endpoint)
	}
	return r.ClientRetry || r.deliveries > 0 || r.group.service.fairness.starved(r) || !r.canRetryInTime(d.now)
}

// shortQueue: so few wait at the endpoint that one more may have its turn, whatever was estimated.
func (d *Decider) hasShortQueue(e *endpoint) bool {
	_, waiting := d.load(e)
	return waiting < shortQueueFraction*float64(e.slotCount())
}

// fullValueDeadline is until when an answer has its full worth, and a client that waits for it.
func (r *request) fullValueDeadline() time.Duration { return min(r.latencyTarget, r.deadline) }

// usefulDeadline is until when an answer may begin: clients give up a stream after a silence.
func (r *request) usefulDeadline() time.Duration {
	span := r.latencyTarget - r.arrived
	end := r.arrived + max(minClientIdleTimeout, clientIdleTimeoutFactor*span)
	end = min(end, r.deadline)
	return r.arrived + time.Duration(usefulFraction*float64(end-r.arrived))
}

// mayComeBack: a third of the time left is enough for another try in time.
func (r *request) canRetryInTime(now time.Duration) bool {
	return r.deadline-now > 2*(r.latencyTarget-r.arrived)
}

// onUnassignedDeadline decides on a request whose model no endpoint holds.
func (d *Decider) onUnassignedDeadline(r *request) {
	at, known := r.group.nextLoadReadyAt(r.Adapter, d.now)
	limit := r.fullValueDeadline()
	if r.ClientRetry || r.deliveries > 0 {
		limit = r.usefulDeadline()
	}
	limit = d.capQueueDeadline(limit)
	if !known && r.ClientRetry { // refused again it would be lost
		r.queueDeadline = max(r.queueDeadline, min(limit, r.arrived+(r.deadline-r.arrived)*2/5))
	}
	switch {
	case known && at < limit:
		r.queueDeadline = max(min(at, limit), d.now+minQueueTime)
	case d.now < r.queueDeadline: // looked at before its time
	default:
		if !known {
			at = d.now + d.loadTimeOf(r)
		}
		d.reject(r, NoEndpoint, d.retryAfter(r, at-d.now))
		return
	}
	d.timers.add(r.queueDeadline, r)
}

// loadTimeOf is how long it takes until a model that nobody holds can be had.
func (d *Decider) loadTimeOf(r *request) time.Duration {
	if r.Adapter != "" && len(r.group.residencies) > 0 {
		return defaultAdapterLoadTime
	}
	if r.group.loadTime > 0 {
		return r.group.loadTime + loadOrderDelay
	}
	return defaultModelLoadTime
}

// overloadRetryAfter is when to come back to a model whose endpoints have no time: the longer that lasts, the later.
func (d *Decider) overloadRetryAfter(r *request, h *residency) time.Duration {
	g := r.group
	if d.now-g.overloadedAt > time.Second {
		g.overloadedSince = d.now
	}
	g.overloadedAt = d.now
	wait := d.overloadBackoff(r, g)
	if h != nil {
		ms, _ := d.predict(h, r)
		wait = max(wait, time.Duration(ms*float64(time.Millisecond))-(r.latencyTarget-r.arrived)/2)
		wait = max(wait, h.endpoint.health.notBefore-d.now)
	}
	return d.retryAfter(r, wait)
}

// retryAfter makes a wait one that is told: a little spread, and nothing where coming back is useless.
func (d *Decider) retryAfter(r *request, wait time.Duration) time.Duration {
	left := r.deadline - d.now
	if left < retryAfterDivisor*minRetryAfter {
		return 0
	}
	wait = max(wait, minRetryAfter)
	wait += time.Duration(float64(wait) * d.random.Float64() / 4)
	return min(wait, left/retryAfterDivisor)
}

// overloadBackoff is when places can be hoped for again: not before several calls' time, since those that are out
// hold their places so long, and the later the longer the lack has lasted.
func (d *Decider) overloadBackoff(r *request, g *modelGroup) time.Duration {
	calls := time.Duration(overloadBackoffCalls * g.service.meanDuration() * float64(time.Millisecond))
	wait := calls + 2*(d.now-g.overloadedSince)
	wait = min(wait, (r.deadline-d.now)/retryAfterDivisor)
	return time.Duration(float64(wait) * (minOverloadBackoffFraction + (1-minOverloadBackoffFraction)*d.random.Float64()))
}
