package dispatch

import (
	"raventrestle/internal/protocol"
)

// End of an attempt: what it says of the request and of the endpoint, and whether the request is retried.

// maxRejections is how many endpoints may reject a request before it is rejected itself.
const maxRejections = 2

// onFirstByte notes that an endpoint began to answer.
func (d *Decider) onFirstByte(input FirstByteReceived) {
	r := d.requests[input.ID]
	if r == nil || r.stage != stageInFlight || r.endpoint.id != input.Endpoint || r.firstByteSeen {
		return
	}
	e := r.endpoint
	r.firstByteSeen = true
	r.answerStarted = true
	if r.firstByteAt == 0 {
		r.firstByteAt = d.now
	}
	e.removeBacklog(r)
	d.endVerification(r)
	d.confirmResidency(r, e)
	d.recordAdvertisedLoad(e, input.Load)
	d.learnFirstByte(r, e)
	d.recordSuccess(e, r)
	e.capacityChanged()
}

// onProgress notes that an endpoint's stream goes on.
func (d *Decider) onProgress(input StreamProgress) {
	r := d.requests[input.ID]
	if r != nil && r.stage == stageInFlight && r.endpoint.id == input.Endpoint {
		r.endpoint.health.lastContactAt = d.now
	}
}

// onAttemptFinished processes the end of an attempt.
func (d *Decider) onAttemptFinished(input AttemptFinished) {
	r := d.requests[input.ID]
	if r == nil || r.stage != stageInFlight || r.endpoint.id != input.Endpoint {
		return
	}
	e := r.endpoint
	d.releaseAttempt(r)
	d.recordAdvertisedLoad(e, input.Load)
	d.evaluateResult(r, e, input)
	e.capacityChanged()
	if e.state == protocol.Departed && len(e.inFlight) == 0 {
		delete(d.endpoints, e.id)
	}
	if !input.NeedsRetry || r.canceled {
		r.group.service.fairness.record(r, input.Result == Succeeded)
		d.recordEnd(r, input)
		d.remove(r)
		return
	}
	d.retry(r)
}

// releaseAttempt frees the slot of an attempt.
func (d *Decider) releaseAttempt(r *request) {
	e := r.endpoint
	e.inFlight = remove(e.inFlight, r)
	if !r.firstByteSeen {
		e.removeBacklog(r)
	}
	d.endVerification(r)
	if r.probe {
		e.health.probes--
		r.probe = false
	}
	e.service.inFlight--
	e.lastUsedAt = d.now
	d.schedule.EndCall(e, (d.now - r.sentAt).Seconds(), d.now)
	r.target.inFlight--
	d.noteDemandChanged()
	r.endpoint = nil
	r.stage = stageQueued
}

// endVerification notes that the request's attempt, if it verified a residency, is answered or over.
func (d *Decider) endVerification(r *request) {
	if r.verifying != nil {
		r.verifying.verifications--
		r.verifying.group.version++
		r.verifying = nil
	}
}

// evaluateResult updates the request's and the endpoint's state by the result of an attempt.
func (d *Decider) evaluateResult(r *request, e *endpoint, input AttemptFinished) {
	r.attempted = append(r.attempted, e)
	switch input.Result {
	case Succeeded:
		r.noteExecution()
		d.learnDuration(r)
		if !r.firstByteSeen {
			d.learnFirstByte(r, e)
			d.confirmResidency(r, e)
		}
		d.recordSuccess(e, r)
	case Failed:
		r.noteExecution()
		d.recordFailure(e, r, failureWeight)
	case ConnectionLost:
		r.noteExecution()
		d.recordFailure(e, r, connectionLossWeight)
	case Canceled:
		r.noteExecution()
		d.recordCancellation(e, r)
	case NotSent:
		r.deliveries--
		d.refundRetry(r)
		r.rejections++
		d.recordFailure(e, r, unreachableWeight)
	case Rejected:
		if !d.loadNotFinished(r, e) {
			r.rejections++
			d.recordRejection(e, r, input.Load)
		}
	case Misdirected:
		if !d.loadNotFinished(r, e) {
			r.rejections++
			d.recordMisdirection(e, r)
		}
	}
}

// loadNotFinished reports whether the endpoint was only assumed to have the model by now. Then the request may be sent there again.
func (d *Decider) loadNotFinished(r *request, e *endpoint) bool {
	if !d.refuteResidency(r, e) {
		return false
	}
	r.attempted = remove(r.attempted, e)
	e.health.lastContactAt = d.now
	return true
}

// retry finds another endpoint for a request whose attempt ended without an answer, if that is allowed.
func (d *Decider) retry(r *request) {
	switch {
	case r.mayHaveExecuted && !r.Retryable, r.possibleExecutions >= max(r.MaxEndpoints, 1):
		d.reject(r, AttemptsExhausted, 0)
	case r.rejections > maxRejections:
		d.reject(r, AttemptsExhausted, d.retryAfter(r, 0))
	case !d.mayRetry(r):
		d.reject(r, RetryBudgetExhausted, d.retryAfter(r, 0))
	case d.now >= r.deadline:
		d.reject(r, TargetUnreachable, 0)
	case !r.answerStarted && !d.finishesBeforeShutdown(r):
		d.reject(r, ShuttingDown, d.retryAfter(r, 0))
	default:
		r.pastTarget = false
		r.queueDeadline = d.retryQueueDeadline(r)
		d.timers.add(r.queueDeadline, r)
		d.assign(r)
	}
}
