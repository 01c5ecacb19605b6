package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/pool"
)

// pastDeadline is a read deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// Decision is what dispatch decided about a request: either Send or Reject is set.
type Decision struct {
	Send       *dispatch.Send
	Connection *pool.Connection // with Send: an idle one, nil if one must be dialed
	Reject     *dispatch.Reject
}

// Ticket is the handle of a submitted request. Its methods are called from the request's goroutine.
type Ticket struct {
	id        dispatch.RequestID
	actor     *Actor
	decisions chan Decision // has room for one

	connection atomic.Pointer[pool.Connection] // of the current attempt
	abandoned  atomic.Bool                     // the current attempt
}

// Wait returns the next decision. It returns false once the context is done or the channel stop is closed: then the request is canceled, and
// the ticket must not be used any more.
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

// AttachConnection names the connection of the current attempt, so that the actor can abandon the attempt. It returns false if that has
// happened already. The connection's deadline must have been set before.
func (t *Ticket) AttachConnection(c *pool.Connection) bool {
	t.connection.Store(c)
	return !t.abandoned.Load()
}

// abandon makes reads of the current attempt fail. It is called from the actor's goroutine, which hands a connection to its next attempt only
// after the end of this one: no later attempt is affected.
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

// ReportProgress reports events of a stream that came since the last report.
func (t *Ticket) ReportProgress(endpoint string, events int) {
	t.actor.post(command{kind: passInput, input: dispatch.StreamProgress{ID: t.id, Endpoint: endpoint, Events: events}})
}

// ReportStalled reports that a resumable stream has brought no event for long. It returns false if the attempt has been abandoned already.
func (t *Ticket) ReportStalled(endpoint string) bool {
	if t.abandoned.Load() {
		return false
	}
	t.actor.post(command{kind: passInput, input: dispatch.StreamStalled{ID: t.id, Endpoint: endpoint}})
	return true
}

// Outcome is how an attempt ended.
type Outcome struct {
	Send                *dispatch.Send
	Result              dispatch.Result
	NeedsRetry          bool // the request asks for another endpoint; Wait returns the decision
	FirstByteUnreported bool // the first byte has come, and ReportFirstByte was not called
	Load                *dispatch.AdvertisedLoad
	LongestGap          time.Duration    // between two events of a complete stream
	Connection          *pool.Connection // one that may serve another attempt, nil for none
	IdleTimeout         time.Duration    // how long it may stay idle
}

// FinishAttempt ends the attempt that the last decision asked for.
func (t *Ticket) FinishAttempt(o Outcome) {
	t.connection.Store(nil)
	t.abandoned.Store(false)
	t.actor.post(command{kind: finishAttempt, id: t.id, outcome: &o})
}
