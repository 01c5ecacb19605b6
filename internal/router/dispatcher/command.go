package dispatcher

import (
	"time"

	"raventrestle/internal/protocol"
	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/pool"
)

// commandKind is what a command requests.
type commandKind uint8

const (
	submitRequest commandKind = iota // a new request
	cancelRequest                    // the request's goroutine no longer waits for a decision
	passInput                        // an input that is passed to the decider unchanged
	finishAttempt                    // the end of an attempt
	applyView                        // an update from the control plane
)

// command is one entry of the actor's queue. Which fields are set depends on its kind.
type command struct {
	kind    commandKind
	id      dispatch.RequestID
	input   dispatch.Input        // of submitRequest and passInput
	ticket  *Ticket               // of submitRequest
	outcome *Outcome              // of finishAttempt
	view    *dispatch.ViewChanged // of applyView
	done    chan<- struct{}       // of applyView: closed after the decider's step
}

// post appends a command to the queue.
func (a *Actor) post(c command) {
	a.mutex.Lock()
	a.queue = append(a.queue, c)
	a.mutex.Unlock()
	a.notify()
}

// notify wakes the actor's goroutine.
func (a *Actor) notify() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// takeCommands empties the queue and returns its commands.
func (a *Actor) takeCommands() []command {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	commands := a.queue
	a.queue = a.spareQueue
	a.spareQueue = nil
	return commands
}

// process converts a command into inputs of the decider.
func (a *Actor) process(c *command, now time.Time) {
	switch c.kind {
	case submitRequest:
		a.requests[c.id] = &pendingRequest{ticket: c.ticket}
		a.inputs = append(a.inputs, c.input)
	case passInput:
		a.inputs = append(a.inputs, c.input)
	case cancelRequest:
		a.cancel(c.id, now)
	case finishAttempt:
		a.finish(c.id, c.outcome, now)
	case applyView:
		a.inputs = append(a.inputs, *c.view)
		a.dropDepartedConnections(c.view)
	}
}

// complete finishes a command after the decider's step.
func (a *Actor) complete(c *command) {
	switch c.kind {
	case cancelRequest:
		if p := a.requests[c.id]; p != nil && p.inFlight == nil {
			delete(a.requests, c.id)
		}
	case applyView:
		close(c.done)
	}
}

// cancel cancels a request whose goroutine no longer waits. If its next attempt was already decided, but the decision
// was not read, the attempt ends here.
func (a *Actor) cancel(id dispatch.RequestID, now time.Time) {
	p := a.requests[id]
	if p == nil { // it has been rejected in the meantime
		return
	}
	if !p.canceled {
		p.canceled = true
		a.inputs = append(a.inputs, dispatch.RequestCanceled{ID: id})
	}
	if p.inFlight != nil {
		a.finishUndelivered(p, now)
	}
}

// finishUndelivered ends an attempt whose decision nobody will read, and keeps its connection for another attempt.
func (a *Actor) finishUndelivered(p *pendingRequest, now time.Time) {
	var connection *pool.Connection
	select {
	case decision := <-p.ticket.decisions:
		connection = decision.Connection
	default:
	}
	outcome := &Outcome{Send: p.inFlight, Result: dispatch.Canceled, Connection: connection}
	if connection != nil {
		outcome.IdleTimeout = connection.ExpiresAt().Sub(now)
	}
	a.finish(p.ticket.id, outcome, now)
}

// finish ends an attempt: its connection becomes idle and the decider gets the result.
func (a *Actor) finish(id dispatch.RequestID, o *Outcome, now time.Time) {
	p := a.requests[id]
	if p == nil {
		return
	}
	a.idle.Return(o.Send.Endpoint, o.Connection, o.IdleTimeout, o.Send.MaxConnections, now)
	if o.FirstByteUnreported {
		a.inputs = append(a.inputs, dispatch.FirstByteReceived{ID: id, Endpoint: o.Send.Endpoint, Load: o.Load})
	}
	a.inputs = append(a.inputs, dispatch.AttemptFinished{
		ID:         id,
		Endpoint:   o.Send.Endpoint,
		Result:     o.Result,
		NeedsRetry: o.NeedsRetry,
		Load:       o.Load,
		LongestGap: o.LongestGap,
	})
	p.inFlight = nil
	if !o.NeedsRetry {
		delete(a.requests, id)
	}
}

// dropDepartedConnections closes idle connections to endpoints that have departed.
func (a *Actor) dropDepartedConnections(view *dispatch.ViewChanged) {
	if view.Full {
		known := make(map[string]bool, len(view.Endpoints))
		for i := range view.Endpoints {
			known[view.Endpoints[i].ID] = true
		}
		a.idle.Retain(func(id string) bool { return known[id] })
	}
	for i := range view.Endpoints {
		if view.Endpoints[i].State == protocol.Departed {
			a.idle.Drop(view.Endpoints[i].ID)
		}
	}
}
