package dispatch

import (
	"raventrestle/internal/protocol"
)

// Progress and end of attempts: how they update the request, the endpoint and the estimates, and whether the request
// is retried.

// maxRejections is the number of attempts of a request that may end without execution (rejected, misdirected or not
// sent). After one more the request itself is rejected.
const maxRejections = 2

// onFirstByte handles the first byte of an endpoint's answer.
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
	e.recordCapacityChange()
}

// onProgress records that the endpoint of a stream still sends events.
func (d *Decider) onProgress(input StreamProgress) {
	r := d.requests[input.ID]
	if r != nil && r.stage == stageInFlight && r.endpoint.id == input.Endpoint {
		r.endpoint.health.lastContactAt = d.now
	}
}

// onAttemptFinished handles the end of an attempt: it records the result and then removes or retries the request.
func (d *Decider) onAttemptFinished(input AttemptFinished) {
	r := d.requests[input.ID]
	if r == nil || r.stage != stageInFlight || r.endpoint.id != input.Endpoint {
		return
	}
	e := r.endpoint
	d.releaseAttempt(r)
	d.recordAdvertisedLoad(e, input.Load)
	d.evaluateResult(r, e, input)
	e.recordCapacityChange()
	if e.state == protocol.Departed && len(e.inFlight) == 0 {
		delete(d.endpoints, e.id)
	}
	if !input.NeedsRetry || r.canceled {
		r.group.service.fairness.record(r, input.Result == Succeeded)
		d.recordOutcome(r, input)
		d.remove(r)
		return
	}
	d.retry(r)
}

// releaseAttempt releases the slot of the request's attempt.
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
	d.recordDemandChange()
	r.endpoint = nil
	r.stage = stageQueued
}

// endVerification ends the verification of an assumed residency (expected_load.go) if the request's attempt is one.
// It is called when the attempt gets its first byte or ends.
func (d *Decider) endVerification(r *request) {
	if r.verifying != nil {
		r.verifying.verifications--
		r.verifying.group.version++
		r.verifying = nil
	}
}

// evaluateResult updates the request, the endpoint's health and the estimates with the result of an attempt.
func (d *Decider) evaluateResult(r *request, e *endpoint, input AttemptFinished) {
	r.attempted = append(r.attempted, e)
	switch input.Result {
	case Succeeded:
		r.recordPossibleExecution()
		d.learnDuration(r)
		if !r.firstByteSeen {
			d.learnFirstByte(r, e)
			d.confirmResidency(r, e)
		}
		d.recordSuccess(e, r)
	case Failed:
		r.recordPossibleExecution()
		d.recordFailure(e, r, failureWeight)
	case ConnectionLost:
		r.recordPossibleExecution()
		d.recordFailure(e, r, connectionLossWeight)
	case Canceled:
		r.recordPossibleExecution()
		d.recordCancellation(e, r)
	case NotSent:
		r.deliveries--
		d.refundRetry(r)
		r.rejections++
		d.recordFailure(e, r, unreachableWeight)
	case Rejected:
		if !d.retractAssumedLoad(r, e) {
			r.rejections++
			d.recordRejection(e, r, input.Load)
		}
	case Misdirected:
		if !d.retractAssumedLoad(r, e) {
			r.rejections++
			d.recordMisdirection(e, r)
		}
	}
}

// retractAssumedLoad handles a rejection by an endpoint whose model or adapter was only assumed to be loaded by now.
// It reports whether that is the case; the request may then be sent to the endpoint again.
func (d *Decider) retractAssumedLoad(r *request, e *endpoint) bool {
	if !d.refuteResidency(r, e) {
		return false
	}
	r.attempted = remove(r.attempted, e)
	e.health.lastContactAt = d.now
	return true
}

// retry assigns a request whose attempt ended without a complete answer to an endpoint again, or rejects it if no
// further attempt is allowed.
func (d *Decider) retry(r *request) {
	switch {
	case r.mayHaveExecuted && !r.Retryable, r.possibleExecutions >= max(r.MaxEndpoints, 1):
		d.reject(r, AttemptsExhausted, 0)
	case r.rejections > maxRejections:
		d.reject(r, AttemptsExhausted, d.retryAfter(r, 0))
	case !d.hasRetryBudget(r):
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
