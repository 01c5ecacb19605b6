package dispatch

import (
	"time"
)

// Admission: an arriving request is checked for an unknown model, a coming shutdown and its tenant's quota. A request
// that passes is put into the queue of an endpoint.

// onArrival handles a new request: it admits the request, queues it until its tenant's quota covers it, or rejects
// it. A request whose ID is already known is ignored.
func (d *Decider) onArrival(incoming *Request) {
	if d.requests[incoming.ID] != nil {
		return
	}
	d.counters.Arrived++
	if d.namesUnknownModel(incoming) {
		d.counters.Rejected[NoEndpoint]++
		d.outputs = append(d.outputs, Reject{ID: incoming.ID, Reason: NoEndpoint, RetryAfter: unknownModelRetryAfter})
		return
	}
	r := &request{Request: *incoming}
	r.arrived = d.now
	if !incoming.ArrivedAt.IsZero() {
		r.arrived = min(incoming.ArrivedAt.Sub(d.startTime), d.now)
	}
	r.latencyTarget = incoming.LatencyTarget.Sub(d.startTime)
	r.deadline = incoming.Deadline.Sub(d.startTime)
	r.rank = rank(incoming)
	r.group = d.ensureService(incoming.Service).ensureGroup(incoming.Model)
	if !d.finishesBeforeShutdown(r) {
		d.rejectForShutdown(r)
		return
	}
	d.requests[r.ID] = r
	switch {
	case d.chargeNewRequest(r):
		d.admit(r)
	case !d.queueForQuota(r):
		d.rejectForQuota(r)
	}
}

// admit counts a request whose quota has been charged and assigns it to an endpoint.
func (d *Decider) admit(r *request) {
	if !d.finishesBeforeShutdown(r) { // it may have waited for quota since the first check
		d.rejectForShutdown(r)
		d.remove(r)
		return
	}
	d.countRequest(r.group.service)
	d.countDemand(r)
	r.group.service.promptSizes.add(r.uncachedTokens(0))
	r.queueDeadline = r.initialQueueDeadline()
	d.timers.add(r.queueDeadline, r)
	d.assign(r)
}

// cancel handles the cancellation of a request. A queued request is removed at once, a request in flight by
// AttemptFinished.
func (d *Decider) cancel(id RequestID) {
	r := d.requests[id]
	if r == nil {
		return
	}
	r.canceled = true
	if r.stage == stageQueued {
		d.dequeue(r)
		d.remove(r)
	}
}

// remove deletes a request that has ended and refunds its quota if it certainly did not execute.
func (d *Decider) remove(r *request) {
	r.stage = stageDone
	if r.awaitingQuota {
		d.removeFromQuotaQueue(r)
	}
	d.refundQuota(r)
	delete(d.requests, r.ID)
}

// reject ends a queued request with a rejection.
func (d *Decider) reject(r *request, reason Reason, retryAfter time.Duration) {
	d.dequeue(r)
	if reason == NoEndpoint || reason == TargetUnreachable {
		d.countUnserved(r)
	}
	d.counters.Rejected[reason]++
	d.outputs = append(d.outputs, Reject{ID: r.ID, Reason: reason, RetryAfter: retryAfter})
	if reason != QuotaExceeded && reason != NoEndpoint {
		r.group.service.fairness.record(r, false)
	}
	d.remove(r)
}
