package ingress

import (
	"net/http"
	"time"

	"raventrestle/internal/router/call"
	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/dispatcher"
	"raventrestle/internal/router/stream"
)

// proxiedRequest is one client's request while it is forwarded. The goroutine of net/http that serves the request owns
// it.
//
// Three things decide what the client may still be answered:
//   - headSent: part of an answer is out; the only way to say that it failed is to close the connection;
//   - mayHaveRun: an attempt took bytes of the request; no status may promise that it has not run;
//   - keptFailure: an endpoint's own 5xx answer, passed on if no other endpoint does better.
type proxiedRequest struct {
	*acceptedRequest
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	message *call.Message
	ticket  *dispatcher.Ticket

	send        *dispatch.Send // the decision that the current attempt carries out, nil between attempts
	mayHaveRun  bool
	keptFailure *completeAnswer
	headSent    bool

	relay  *stream.Relay // of an event stream that has begun, nil for none
	client *streamClient // of the relay
}

// forward carries out the dispatcher's decisions until the client has its answer.
func (p *proxiedRequest) forward() {
	defer p.finishOpenAttempt()
	for {
		decision, ok := p.ticket.Wait(p.r.Context(), p.handler.rejecting)
		switch {
		case !ok:
			p.stopWaiting()
			return
		case decision.Reject != nil:
			p.rejectedByDispatcher(decision.Reject)
			return
		}
		if p.attempt(decision) {
			return
		}
	}
}

// stopWaiting answers a request whose wait for an endpoint ended: its client has left, or this process ends.
func (p *proxiedRequest) stopWaiting() {
	if p.processEnds() {
		p.answerWithoutRetry()
		return
	}
	abortConnection()
}

// processEnds reports whether it is this process, and not the client, that ends the request.
func (p *proxiedRequest) processEnds() bool {
	if p.handler.base.Err() != nil {
		return true
	}
	return p.handler.rejectsAll() && p.r.Context().Err() == nil
}

// abortConnection closes the client's connection without the rest of an answer: an answer that is not complete must not
// look complete.
func abortConnection() { panic(http.ErrAbortHandler) }

// finishOpenAttempt frees the dispatcher's slot if a panic, such as abortConnection's, ended an attempt.
func (p *proxiedRequest) finishOpenAttempt() {
	if p.send != nil {
		p.finishAttempt(dispatcher.Outcome{Result: dispatch.Canceled})
	}
}

// finishAttempt reports the outcome of the current attempt to the dispatcher.
func (p *proxiedRequest) finishAttempt(outcome dispatcher.Outcome) {
	outcome.Send = p.send
	p.send = nil
	p.ticket.FinishAttempt(outcome)
}

// rejectedByDispatcher answers a request that the dispatcher sends to no (further) endpoint.
func (p *proxiedRequest) rejectedByDispatcher(rejected *dispatch.Reject) {
	reason := reasonNotDispatched
	if rejected.Reason == dispatch.QuotaExceeded {
		reason = reasonQuotaExceeded
	}
	p.answerFinally(rejection{reason: reason, retryAfter: rejected.RetryAfter})
}

// answerWithoutRetry answers a request that is not sent to another endpoint although the dispatcher has not rejected it.
func (p *proxiedRequest) answerWithoutRetry() {
	reason := reasonNotRun
	if p.processEnds() {
		reason = reasonShutdown
	}
	p.answerFinally(rejection{reason: reason})
}

// answerFinally gives the client the best answer that is left; notRun is the answer if the request surely has not run.
func (p *proxiedRequest) answerFinally(notRun rejection) {
	switch {
	case p.headSent:
		abortConnection()
	case p.keptFailure != nil:
		p.keptFailure.writeTo(p)
	case p.mayHaveRun && p.deadlinePassed():
		p.handler.reject(p.w, rejection{reason: reasonDeadlinePassed})
	case p.mayHaveRun:
		p.handler.reject(p.w, rejection{reason: reasonOutcomeUnknown})
	default:
		p.handler.reject(p.w, notRun)
	}
}

func (p *proxiedRequest) deadlinePassed() bool { return !time.Now().Before(p.deadline) }
