package dispatcher

import (
	"time"

	"raventrestle/internal/router/dispatch"
)

// perform carries out one output of the decider.
func (a *Actor) perform(output dispatch.Output, now time.Time) {
	switch o := output.(type) {
	case dispatch.Send:
		a.send(o, now)
	case dispatch.Reject:
		a.reject(o)
	case dispatch.Abandon:
		if p := a.requests[o.ID]; p != nil && p.inFlight != nil {
			p.ticket.abandon()
		}
	case dispatch.Report:
		a.reports.Demand(o.Report)
	case dispatch.RequestCredit:
		a.reports.Credit(o.Request)
	case dispatch.Summary:
		a.reports.Outcomes(o)
	}
}

// send passes the decision to call an endpoint to the request's goroutine, with an idle connection if there is one.
func (a *Actor) send(o dispatch.Send, now time.Time) {
	p := a.requests[o.ID]
	if p == nil {
		return
	}
	p.inFlight = &o
	connection := a.idle.Take(o.Endpoint, now)
	p.ticket.decisions <- Decision{Send: &o, Connection: connection}
	if p.canceled { // canceled in the step that sent it: the next step ends the attempt
		a.post(command{kind: cancelRequest, id: o.ID})
	}
}

// reject passes a rejection to the request's goroutine.
func (a *Actor) reject(o dispatch.Reject) {
	p := a.requests[o.ID]
	if p == nil {
		return
	}
	delete(a.requests, o.ID)
	p.ticket.decisions <- Decision{Reject: &o}
}
