package dispatch

import (
	"time"
)

// Queue deadlines: what happens to a request that has been queued as long as it may be.

const (
	maxDeferrals        = 2                      // how many times a request may be requeued at its queue deadline
	shortQueueFraction  = 0.25                   // fraction of an endpoint's slots; a queue with fewer waiting requests is short
	explorationInterval = 500 * time.Millisecond // a model without an on-target request for so long sends an exploratory one

	minClientIdleTimeout    = 2 * time.Second // clients wait at least this long for an event of a stream before they give up
	clientIdleTimeoutFactor = 4               // or this multiple of the latency target, if that is longer
	usefulTimeoutFraction   = 0.8             // fraction of the client's timeout within which an answer may begin
)

// onQueueDeadline decides about a request at its queue deadline: it is moved to another queue, sent although it will
// miss its latency target, or rejected. A client usually retries after its first rejection and Retry-After, and then
// the result of the retry counts. A client's retry, or a request that was sent before, is therefore sent past its
// target rather than rejected.
func (d *Decider) onQueueDeadline(r *request) {
	if r.awaitingQuota {
		d.onQuotaDeadline(r)
		return
	}
	res, status := d.choose(r)
	if status == noCandidate && d.assumeLoaded(r) {
		res, status = d.choose(r)
	}
	switch {
	case status == noCandidate:
		d.onUnassignedDeadline(r)
	case status == unavailable && res.awaitsVerification(r.Adapter) && d.now+recheckInterval < d.capQueueDeadline(r.fullValueDeadline()):
		r.queueDeadline = d.now + recheckInterval
		d.timers.add(r.queueDeadline, r)
	case r.deferrals >= maxDeferrals || d.schedule.BusySlots >= d.schedule.Slots:
		d.reject(r, TargetUnreachable, d.overloadRetryAfter(r, res))
	case status == availableNow:
		d.requeue(r, res)
	case status == availablePastTarget && d.shouldExplore(res):
		r.exploratory = true
		d.requeue(r, res)
	case status == availablePastTarget && d.shouldSendPastTarget(res, r):
		r.pastTarget = true
		d.requeue(r, res)
	default:
		d.reject(r, TargetUnreachable, d.overloadRetryAfter(r, res))
	}
}

// shouldExplore reports whether a request is sent although it is predicted to miss its target. Without such requests,
// estimates that are wrong and too high could not be corrected. It requires that a slot seems to be free and that no
// request of the model was sent on target for explorationInterval.
func (d *Decider) shouldExplore(res *residency) bool {
	if !d.uses(Exploration) {
		return false
	}
	g := res.group
	used, waiting := d.load(res.endpoint)
	return used+waiting+1 <= res.endpoint.capacity(g.meanKVTokens) && d.now-g.lastOnTargetSendAt >= explorationInterval
}

// requeue moves the request to the endpoint's queue and gives it a new queue deadline after minQueueTime. It is sent
// in this step if its turn comes.
func (d *Decider) requeue(r *request, res *residency) {
	d.dequeue(r)
	d.enqueue(r, res.endpoint)
	r.deferrals++
	r.queueDeadline = d.now + minQueueTime
	d.timers.add(r.queueDeadline, r)
}

// shouldSendPastTarget reports whether a request that can't meet its latency target is sent nevertheless.
func (d *Decider) shouldSendPastTarget(res *residency, r *request) bool {
	ms, _ := d.predict(res, r)
	firstByteAt := d.now + time.Duration(ms*float64(time.Millisecond))
	if firstByteAt > r.usefulDeadline() {
		return r.ClientRetry && d.hasShortQueue(res.endpoint)
	}
	return r.ClientRetry || r.deliveries > 0 || r.group.service.fairness.starved(r) || !r.canRetryInTime(d.now)
}

// hasShortQueue reports whether so few requests wait at the endpoint that one more may be served in time, whatever
// was predicted.
func (d *Decider) hasShortQueue(e *endpoint) bool {
	_, waiting := d.load(e)
	return waiting < shortQueueFraction*float64(e.slotCount())
}

// fullValueDeadline returns the time until which an answer has its full value and the client still waits for it.
func (r *request) fullValueDeadline() time.Duration { return min(r.latencyTarget, r.deadline) }

// usefulDeadline returns the time by which an answer must begin to be useful: clients give up on a stream without
// events.
func (r *request) usefulDeadline() time.Duration {
	return r.arrived + time.Duration(usefulTimeoutFraction*float64(r.clientTimeout()))
}

// clientTimeout returns the estimated time from its arrival for which the client waits for an answer to begin.
func (r *request) clientTimeout() time.Duration {
	target := r.latencyTarget - r.arrived
	return min(max(minClientIdleTimeout, clientIdleTimeoutFactor*target), r.deadline-r.arrived)
}

// canRetryInTime reports whether the client's own retry can still succeed. The time until the deadline must be more
// than twice the time from the arrival to the latency target, since a client may wait for a third of its remaining
// time before it retries (retryAfterDivisor).
func (r *request) canRetryInTime(now time.Duration) bool {
	return r.deadline-now > 2*(r.latencyTarget-r.arrived)
}

// onUnassignedDeadline decides about a request at its queue deadline while no endpoint has its model: it waits for a
// load that finishes in time, or is rejected.
func (d *Decider) onUnassignedDeadline(r *request) {
	readyAt, known := r.group.nextLoadReadyAt(r.Adapter, d.now)
	limit := r.fullValueDeadline()
	if r.ClientRetry || r.deliveries > 0 {
		limit = r.usefulDeadline()
	}
	limit = d.capQueueDeadline(limit)
	if !known && r.ClientRetry { // the client doesn't retry after a second rejection
		r.queueDeadline = max(r.queueDeadline, min(limit, r.arrived+(r.deadline-r.arrived)*2/5))
	}
	switch {
	case known && readyAt < limit:
		r.queueDeadline = max(min(readyAt, limit), d.now+minQueueTime)
	case d.now < r.queueDeadline: // the timer was set for an expected load, not for the queue deadline
	default:
		if !known {
			readyAt = d.now + d.loadTimeOf(r)
		}
		d.reject(r, NoEndpoint, d.retryAfter(r, readyAt-d.now))
		return
	}
	d.timers.add(r.queueDeadline, r)
}
