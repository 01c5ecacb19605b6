package dispatch

import (
	"time"
)

// Unresponsive endpoints: calls without a first byte for too long, and streams without events, are moved elsewhere where possible.

// responseTimeout returns how long the call may bring nothing before its endpoint counts as unresponsive: a multiple of the prediction, but
// not much more than the request's latency target.
func (r *request) responseTimeout() time.Duration {
	predicted := time.Duration(r.predictedMS * float64(time.Millisecond))
	limit := max(r.latencyTarget-r.arrived, 2*predicted)
	return max(minResponseTimeout, min(responseTimeoutFactor*predicted, limit))
}

// unresponsiveFrom returns from when on the endpoint counts as unresponsive if it gives no sign, judged by this call.
func (e *endpoint) unresponsiveFrom(r *request) time.Duration {
	return max(e.health.lastContactAt, r.sentAt) + r.responseTimeout()
}

// unresponsive reports whether the endpoint seems not to answer at all, judged by the oldest unanswered call.
func (d *Decider) unresponsive(e *endpoint) bool {
	return len(e.awaitingFirstByte) > 0 && d.now >= e.unresponsiveFrom(e.awaitingFirstByte[0])
}

// checkResponse examines a call without a first byte after its response timeout. The first timeout may be due to a queue that this
// router doesn't see: until the endpoint gives a sign it gets nothing new, which is enough. At the second one, or at the latency target, the
// call is moved elsewhere if possible.
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

// abandonUnanswered moves a call to an unresponsive endpoint elsewhere, unless the answer has started.
func (d *Decider) abandonUnanswered(r *request) {
	if r.answerStarted {
		return
	}
	d.moveAttempt(r)
}

// onStall moves a stream that stalled elsewhere if possible; else it continues: a stall alone is no reason to end an answer.
func (d *Decider) onStall(input StreamStalled) {
	r := d.requests[input.ID]
	if r == nil || r.stage != stageInFlight || r.abandoned || r.endpoint.id != input.Endpoint {
		return
	}
	d.moveAttempt(r)
}

// moveAttempt ends an attempt if its request may be retried and another endpoint is available now.
func (d *Decider) moveAttempt(r *request) {
	e := r.endpoint
	if !r.Retryable || r.canceled {
		return
	}
	if r.possibleExecutions+1 >= max(r.MaxEndpoints, 1) || !d.mayRetry(r) {
		return
	}
	res, class := d.choose(r)
	if res == nil || res.endpoint == e || class != availableNow {
		return
	}
	r.abandoned = true
	d.counters.Abandoned++
	d.outputs = append(d.outputs, Abandon{ID: r.ID, Endpoint: e.id})
}
