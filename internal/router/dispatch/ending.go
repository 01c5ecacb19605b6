package dispatch

import (
	"slices"

	"raventrestle/internal/protocol"
)

// finished takes in the end of a call.
func (d *Decider) finished(input AttemptFinished) {
	r := d.requests[input.ID]
	if r == nil || r.stage != sent || r.at.id != input.Endpoint {
		return
	}
	e := r.at
	d.hangUp(r)
	d.heard(e, input.Load)
	d.judge(r, e, input)
	e.changed()
	if e.state == protocol.Departed && len(e.calls) == 0 {
		delete(d.endpoints, e.id)
	}
	if !input.NeedsRetry || r.withdrawn {
		r.group.service.fairness.count(r, input.Result == Succeeded)
		d.forget(r)
		return
	}
	d.again(r)
}

// hangUp frees the slot of a call.
func (d *Decider) hangUp(r *request) {
	e := r.at
	e.calls = without(e.calls, r)
	if !r.heard {
		e.unqueue(r)
	}
	d.tried(r)
	if r.trial {
		e.evidence.trials--
		r.trial = false
	}
	e.service.out--
	e.usedAt = d.now
	d.schedule.Ended(e, (d.now - r.sentAt).Seconds(), d.now)
	r.target.running--
	d.changed()
	r.at = nil
	r.stage = waiting
}

// tried: the call that tried what is presumed is answered or over.
func (d *Decider) tried(r *request) {
	if r.proves != nil {
		r.proves.trying--
		r.proves.group.changes++
		r.proves = nil
	}
}

// judge draws from the end of a call what it says of the request and of the endpoint.
func (d *Decider) judge(r *request, e *endpoint, input AttemptFinished) {
	r.tried = append(r.tried, e)
	switch input.Result {
	case Succeeded:
		r.ran()
		d.ended(r)
		if !r.heard {
			d.answered(r, e)
			d.prove(r, e)
		}
		d.good(e, r)
	case Failed:
		r.ran()
		d.failed(e, r, failureWeight)
	case ConnectionLost:
		r.ran()
		d.failed(e, r, lossWeight)
	case Canceled:
		r.ran()
		d.gaveUp(e, r)
	case NotSent:
		r.arrivals--
		d.unspend(r)
		r.rejections++
		d.failed(e, r, deadWeight)
	case Rejected:
		r.rejections++
		if !d.tooEarly(r, e) {
			d.turnedAway(e, r, input.Load)
		}
	case Misdirected:
		r.rejections++
		if !d.tooEarly(r, e) {
			d.misdirected(e, r)
		}
	}
}

// tooEarly: the endpoint was only presumed to have the model by now. The request may go there again later.
func (d *Decider) tooEarly(r *request, e *endpoint) bool {
	if !d.disprove(r, e) {
		return false
	}
	r.tried = without(r.tried, e)
	e.evidence.heardAt = d.now
	return true
}

// ran: from now on it may have run on one endpoint more.
func (r *request) ran() {
	r.runs++
	r.mayHaveRun = true
}

// again finds another endpoint for a request whose call ended without an answer, if that is allowed.
func (d *Decider) again(r *request) {
	switch {
	case r.mayHaveRun && !r.Retryable, r.runs >= max(r.MaxEndpoints, 1):
		d.refuse(r, AttemptsExhausted, 0)
	case r.rejections > mostRejections:
		d.refuse(r, AttemptsExhausted, d.retryAfter(r, 0))
	case !d.mayGoAgain(r):
		d.refuse(r, RetryBudgetExhausted, d.retryAfter(r, 0))
	case d.now >= r.deadline:
		d.refuse(r, TargetUnreachable, 0)
	case !r.answering && !d.endsInTime(r):
		d.refuse(r, ShuttingDown, d.retryAfter(r, 0))
	default:
		r.late = false
		r.holdUntil = d.patienceAgain(r)
		d.timers.add(r.holdUntil, r)
		d.place(r)
	}
}

func (r *request) hasTried(e *endpoint) bool { return slices.Contains(r.tried, e) }
