package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/pool"
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Decision is what dispatch decided about a waiting request: Send or Refuse is set.
type Decision struct {
	Send       *dispatch.Send
	Connection *pool.Connection // with Send: one that rested, nil where one must be dialled
	Reject     *dispatch.Reject
}

// Ticket is a request's place with the dispatcher. Its methods are called from the request's goroutine.
type Ticket struct {
	id       dispatch.RequestID
	actor    *Actor
	verdicts chan Decision

	calling   atomic.Pointer[pool.Connection]
	abandoned atomic.Bool
}

// Wait returns the next verdict. It is false once the context is done, or the channel is closed: then the request is
// withdrawn, and the ticket is of no more use.
func (t *Ticket) Wait(ctx context.Context, ending <-chan struct{}) (Decision, bool) {
	select {
	case v := <-t.verdicts:
		return v, true
	case <-ctx.Done():
	case <-ending:
	}
	t.actor.post(command{kind: withdraw, id: t.id})
	return Decision{}, false
}

// AttachConnection names the connection of the call at hand, so that the dispatcher can abandon the call. It is false where
// that has happened already. The connection's deadline must have been set before.
func (t *Ticket) AttachConnection(c *pool.Connection) bool {
	t.calling.Store(c)
	return !t.abandoned.Load()
}

// abandon makes reads of the call at hand fail. It is called from the actor's goroutine, which hands a connection to
// its next call only after the end of this one: no later call is hit.
func (t *Ticket) abandon() {
	t.abandoned.Store(true)
	if c := t.calling.Load(); c != nil {
		_ = c.Conn.SetReadDeadline(longAgo) // fails where the call has just ended
	}
}

// ReportFirstByte tells that the endpoint began to answer.
func (t *Ticket) ReportFirstByte(endpoint string, load *dispatch.AdvertisedLoad) {
	t.actor.post(command{kind: tell, input: dispatch.FirstByteReceived{ID: t.id, Endpoint: endpoint, Load: load}})
}

// ReportProgress tells of events that came since the last call.
func (t *Ticket) ReportProgress(endpoint string, events int) {
	t.actor.post(command{kind: tell, input: dispatch.StreamProgress{ID: t.id, Endpoint: endpoint, Events: events}})
}

// ReportStalled tells that the endpoint has paused for long in a stream that may go on elsewhere. It is false where the call
// has been abandoned already.
func (t *Ticket) ReportStalled(endpoint string) bool {
	if t.abandoned.Load() {
		return false
	}
	t.actor.post(command{kind: tell, input: dispatch.StreamStalled{ID: t.id, Endpoint: endpoint}})
	return true
}

// Outcome is how a call ended.
type Outcome struct {
	Send                *dispatch.Send
	Result              dispatch.Result
	NeedsRetry          bool // the request asks for another endpoint; Wait gives the answer
	FirstByteUnreported bool // the answer's first byte has not been told by FirstByte, and has come
	Load                *dispatch.AdvertisedLoad
	Connection          *pool.Connection // one that may serve another call, nil for none
	IdleTimeout         time.Duration    // how long it may rest
}

// FinishAttempt ends the call that the last verdict asked for.
func (t *Ticket) FinishAttempt(e Outcome) {
	t.calling.Store(nil)
	t.abandoned.Store(false)
	t.actor.post(command{kind: finish, id: t.id, ending: &e})
}
