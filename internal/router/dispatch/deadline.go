package dispatch

import (
	"time"
)

// The end of a request's time in a queue.

const (
	maxDeferrals        = 2    // times that a request is queued again at its queue deadline
	shortQueueFraction  = 0.25 // of an endpoint's slots, that wait there
	explorationInterval = 500 * time.Millisecond

	minClientIdleTimeout    = 2 * time.Second // clients give up a stream without events after at least so long
	clientIdleTimeoutFactor = 4               // or after so many times its latency target
	usefulFraction          = 0.8             // of that time, in which an answer may begin
)

// onQueueDeadline decides on a request that was queued as long as it may be: it is sent elsewhere, past its target, or rejected. What is
// rejected for the first time usually comes back after Retry-After and then counts by its retry; a retry, or what was sent before,
// is rather sent past its target than rejected.
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

// shouldExplore reports whether a request is sent against the estimates, which might be wrong and could not be corrected otherwise: if
// slots seem to be free and nothing was sent for a while.
func (d *Decider) shouldExplore(res *residency) bool {
	if !d.uses(Exploration) {
		return false
	}
	g := res.group
	used, waiting := d.load(res.endpoint)
	return used+waiting+1 <= res.endpoint.capacity(g.meanKVTokens) && d.now-g.lastOnTargetSendAt >= explorationInterval
}

// requeue moves the request to the queue of an endpoint that is available now: it leaves in this step if its turn comes.
func (d *Decider) requeue(r *request, res *residency) {
	d.dequeue(r)
	d.enqueue(r, res.endpoint)
	r.deferrals++
	r.queueDeadline = d.now + minQueueTime
	d.timers.add(r.queueDeadline, r)
}

// shouldSendPastTarget reports whether a request that can't meet its target is sent all the same.
func (d *Decider) shouldSendPastTarget(res *residency, r *request) bool {
	ms, _ := d.predict(res, r)
	answer := d.now + time.Duration(ms*float64(time.Millisecond))
	if answer > r.usefulDeadline() {
		return r.ClientRetry && d.hasShortQueue(res.endpoint)
	}
	return r.ClientRetry || r.deliveries > 0 || r.group.service.fairness.starved(r) || !r.canRetryInTime(d.now)
}

// hasShortQueue reports whether so few requests wait at the endpoint that one more may get its turn, whatever was predicted.
func (d *Decider) hasShortQueue(e *endpoint) bool {
	_, waiting := d.load(e)
	return waiting < shortQueueFraction*float64(e.slotCount())
}

// fullValueDeadline returns until when an answer has its full value and a client that waits for it.
func (r *request) fullValueDeadline() time.Duration { return min(r.latencyTarget, r.deadline) }

// usefulDeadline returns until when an answer may begin: clients give up a stream without events.
func (r *request) usefulDeadline() time.Duration {
	return r.arrived + time.Duration(usefulFraction*float64(r.patience()))
}

// patience returns how long the client waits for an answer to begin.
func (r *request) patience() time.Duration {
	target := r.latencyTarget - r.arrived
	return min(max(minClientIdleTimeout, clientIdleTimeoutFactor*target), r.deadline-r.arrived)
}

// canRetryInTime reports whether the client may retry in time: a third of the time left is enough.
func (r *request) canRetryInTime(now time.Duration) bool {
	return r.deadline-now > 2*(r.latencyTarget-r.arrived)
}

// onUnassignedDeadline decides on a request whose model no endpoint has.
func (d *Decider) onUnassignedDeadline(r *request) {
	at, known := r.group.nextLoadReadyAt(r.Adapter, d.now)
	limit := r.fullValueDeadline()
	if r.ClientRetry || r.deliveries > 0 {
		limit = r.usefulDeadline()
	}
	limit = d.capQueueDeadline(limit)
	if !known && r.ClientRetry { // another rejection would be final
		r.queueDeadline = max(r.queueDeadline, min(limit, r.arrived+(r.deadline-r.arrived)*2/5))
	}
	switch {
	case known && at < limit:
		r.queueDeadline = max(min(at, limit), d.now+minQueueTime)
	case d.now < r.queueDeadline: // its timer was set for an expected load
	default:
		if !known {
			at = d.now + d.loadTimeOf(r)
		}
		d.reject(r, NoEndpoint, d.retryAfter(r, at-d.now))
		return
	}
	d.timers.add(r.queueDeadline, r)
}
