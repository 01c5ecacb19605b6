package dispatch

import (
	"time"
)

// Admission of arriving requests: unknown models, shutdown and quota are checked here, and what passes is assigned to an endpoint.

// onArrival takes in a new request.
func (d *Decider) onArrival(asked *Request) {
	if d.requests[asked.ID] != nil {
		return
	}
	d.counters.Arrived++
	if d.namesUnknownModel(asked) {
		d.counters.Rejected[NoEndpoint]++
		d.outputs = append(d.outputs, Reject{ID: asked.ID, Reason: NoEndpoint, RetryAfter: unknownModelRetryAfter})
		return
	}
	r := &request{Request: *asked}
	r.arrived = d.now
	if !asked.ArrivedAt.IsZero() {
		r.arrived = min(asked.ArrivedAt.Sub(d.startTime), d.now)
	}
	r.latencyTarget = asked.LatencyTarget.Sub(d.startTime)
	r.deadline = asked.Deadline.Sub(d.startTime)
	r.rank = rank(asked)
	r.group = d.ensureService(asked.Service).ensureGroup(asked.Model)
	if !d.finishesBeforeShutdown(r) {
		d.rejectForShutdown(r)
		return
	}
	d.requests[r.ID] = r
	switch {
	case d.pay(r):
		d.admit(r)
	case !d.queueForQuota(r):
		d.rejectForQuota(r)
	}
}

// admit assigns a request whose quota is paid to an endpoint.
func (d *Decider) admit(r *request) {
	if !d.finishesBeforeShutdown(r) { // time has passed while it waited for quota
		d.rejectForShutdown(r)
		d.remove(r)
		return
	}
	d.countRequest(r.group.service)
	d.countDemand(r)
	r.group.service.promptSizes.add(r.prefillBeyond(0))
	r.queueDeadline = r.initialQueueDeadline()
	d.timers.add(r.queueDeadline, r)
	d.assign(r)
}

// cancel removes a queued request. One in flight remains until AttemptFinished.
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

// remove deletes a request that has ended and refunds its quota if it surely did not execute.
func (d *Decider) remove(r *request) {
	r.stage = stageDone
	if r.awaitingQuota {
		d.removeFromQuotaQueue(r)
	}
	d.refundQuota(r)
	delete(d.requests, r.ID)
}

// reject ends a queued request with a rejection.
func (d *Decider) reject(r *request, reason Reason, after time.Duration) {
	d.dequeue(r)
	if reason == NoEndpoint || reason == TargetUnreachable {
		d.countUnserved(r)
	}
	d.counters.Rejected[reason]++
	d.outputs = append(d.outputs, Reject{ID: r.ID, Reason: reason, RetryAfter: after})
	if reason != QuotaExceeded && reason != NoEndpoint {
		r.group.service.fairness.record(r, false)
	}
	d.remove(r)
}
