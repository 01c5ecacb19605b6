package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/pool"
)

// pastDeadline is a time in the past. As a read deadline it makes reads fail at once.
var pastDeadline = time.Unix(1, 0)

// Decision is the decider's decision about a request: either Send or Reject is set.
type Decision struct {
	Send       *dispatch.Send
	Connection *pool.Connection // with Send: an idle connection, nil if one must be dialed
	Reject     *dispatch.Reject
}

// Ticket is the handle of a submitted request. The request's goroutine calls its exported methods.
type Ticket struct {
	id        dispatch.RequestID
	actor     *Actor
	decisions chan Decision // has a buffer for one decision

	connection atomic.Pointer[pool.Connection] // of the current attempt
	abandoned  atomic.Bool                     // whether the current attempt is abandoned
}

// Wait returns the next decision. It returns false when the context is done or stop is closed; the request is then
// canceled, and the ticket must not be used any more.
func (t *Ticket) Wait(ctx context.Context, stop <-chan struct{}) (Decision, bool) {
	select {
	case decision := <-t.decisions:
		return decision, true
	case <-ctx.Done():
	case <-stop:
	}
	t.actor.post(command{kind: cancelRequest, id: t.id})
	return Decision{}, false
}

// AttachConnection sets the connection of the current attempt, so that the actor can abandon the attempt. It returns
// false if the attempt has already been abandoned. The connection's deadline must be set before the call.
func (t *Ticket) AttachConnection(c *pool.Connection) bool {
	t.connection.Store(c)
	return !t.abandoned.Load()
}

// abandon makes reads of the current attempt fail. It is called from the actor's goroutine, which passes a connection
// to its next attempt only after the current one has ended, so that no later attempt is affected.
func (t *Ticket) abandon() {
	t.abandoned.Store(true)
	if c := t.connection.Load(); c != nil {
		_ = c.SetReadDeadline(pastDeadline) // fails only if the attempt has just closed it
	}
}

// ReportFirstByte reports that the endpoint began to answer.
func (t *Ticket) ReportFirstByte(endpoint string, load *dispatch.AdvertisedLoad) {
	t.actor.post(command{kind: passInput, input: dispatch.FirstByteReceived{ID: t.id, Endpoint: endpoint, Load: load}})
}

// ReportProgress reports the number of events of a stream since the last report.
func (t *Ticket) ReportProgress(endpoint string, events int) {
	t.actor.post(command{kind: passInput, input: dispatch.StreamProgress{ID: t.id, Endpoint: endpoint, Events: events}})
}

// ReportStalled reports that a resumable stream has not delivered an event for a long time. It returns false if the
// attempt has already been abandoned.
func (t *Ticket) ReportStalled(endpoint string) bool {
	if t.abandoned.Load() {
		return false
	}
	t.actor.post(command{kind: passInput, input: dispatch.StreamStalled{ID: t.id, Endpoint: endpoint}})
	return true
}

// Outcome describes how an attempt ended.
type Outcome struct {
	Send                *dispatch.Send
	Result              dispatch.Result
	NeedsRetry          bool // the request needs another endpoint; Wait returns the decision
	FirstByteUnreported bool // the first byte has arrived, but ReportFirstByte was not called
	Load                *dispatch.AdvertisedLoad
	LongestGap          time.Duration    // between two events of a complete stream
	Connection          *pool.Connection // may serve another attempt; nil: there is none
	IdleTimeout         time.Duration    // how long Connection may stay idle
}

// FinishAttempt reports the end of the attempt that the last decision requested.
func (t *Ticket) FinishAttempt(o Outcome) {
	t.connection.Store(nil)
	t.abandoned.Store(false)
	t.actor.post(command{kind: finishAttempt, id: t.id, outcome: &o})
}
