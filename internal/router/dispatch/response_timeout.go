package dispatch

import (
	"time"
)

// Unresponsive endpoints: calls without a first byte for too long, and streams without events, are moved to another
// endpoint if possible.

// responseTimeout returns how long the endpoint of the call may send nothing before it counts as unresponsive: a
// multiple of the prediction, but not much more than the request's latency target.
func (r *request) responseTimeout() time.Duration {
	predicted := time.Duration(r.predictedMS * float64(time.Millisecond))
	limit := max(r.latencyTarget-r.arrived, 2*predicted)
	return max(minResponseTimeout, min(responseTimeoutFactor*predicted, limit))
}

// unresponsiveFrom returns the time from which the endpoint counts as unresponsive if it sends nothing, judged by
// this call.
func (e *endpoint) unresponsiveFrom(r *request) time.Duration {
	return max(e.health.lastContactAt, r.sentAt) + r.responseTimeout()
}

// unresponsive reports whether the endpoint seems not to answer at all, judged by its oldest call without a first
// byte.
func (d *Decider) unresponsive(e *endpoint) bool {
	return len(e.awaitingFirstByte) > 0 && d.now >= e.unresponsiveFrom(e.awaitingFirstByte[0])
}

// checkResponse handles a call that has no first byte after its response timeout. The first timeout may be due to a
// queue at the endpoint that this router can't see. The endpoint then gets no new calls until it sends something,
// which is sufficient. At the second timeout, at the latency target, or if the endpoint is recovering from an
// ejection, the call is moved to another endpoint if possible.
func (d *Decider) checkResponse(r *request) {
	e := r.endpoint
	if r.firstByteSeen || r.abandoned {
		return
	}
	if from := e.unresponsiveFrom(r); from > d.now {
		d.timers.add(from, r)
		return
	}
	e.Degraded = true
	if r.responseTimeouts++; r.responseTimeouts > 1 {
		d.recordFailure(e, r, unreachableWeight)
	}
	if r.responseTimeouts > 1 || d.now >= r.latencyTarget || e.health.maxProbes > 0 {
		d.abandonUnanswered(r)
	}
	if r.abandoned {
		return
	}
	next := d.now + r.responseTimeout()
	if r.responseTimeouts == 1 && r.latencyTarget > d.now {
		next = min(next, r.latencyTarget)
	}
	d.timers.add(next, r)
}

// abandonUnanswered moves the call to another endpoint if possible, unless an answer has begun.
func (d *Decider) abandonUnanswered(r *request) {
	if r.answerStarted {
		return
	}
	d.moveAttempt(r)
}

// onStall moves a stalled stream to another endpoint if possible. Otherwise it continues: a stall alone is no reason
// to end an answer.
func (d *Decider) onStall(input StreamStalled) {
	r := d.requests[input.ID]
	if r == nil || r.stage != stageInFlight || r.abandoned || r.endpoint.id != input.Endpoint {
		return
	}
	d.moveAttempt(r)
}

// moveAttempt abandons the attempt if its request may be retried and another endpoint is available now.
func (d *Decider) moveAttempt(r *request) {
	e := r.endpoint
	if !r.Retryable || r.canceled {
		return
	}
	if r.possibleExecutions+1 >= max(r.MaxEndpoints, 1) || !d.hasRetryBudget(r) {
		return
	}
	res, status := d.choose(r)
	if res == nil || res.endpoint == e || status != availableNow {
		return
	}
	r.abandoned = true
	d.counters.Abandoned++
	d.outputs = append(d.outputs, Abandon{ID: r.ID, Endpoint: e.id})
}
