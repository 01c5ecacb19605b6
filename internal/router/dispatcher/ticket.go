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

// Verdict is what dispatch decided about a waiting request: Send or Refuse is set.
type Verdict struct {
	Send       *dispatch.Send
	Connection *pool.Connection // with Send: one that rested, nil where one must be dialled
	Refuse     *dispatch.Refuse
}

// Ticket is a request's place with the dispatcher. Its methods are called from the request's goroutine.
type Ticket struct {
	id       dispatch.RequestID
	actor    *Actor
	verdicts chan Verdict

	calling   atomic.Pointer[pool.Connection]
	abandoned atomic.Bool
}

// Wait returns the next verdict. It is false once the context is done, or the channel is closed: then the request is
// withdrawn, and the ticket is of no more use.
func (t *Ticket) Wait(ctx context.Context, ending <-chan struct{}) (Verdict, bool) {
	select {
	case v := <-t.verdicts:
		return v, true
	case <-ctx.Done():
	case <-ending:
	}
	t.actor.post(command{kind: withdraw, id: t.id})
	return Verdict{}, false
}

// Calling names the connection of the call at hand, so that the dispatcher can abandon the call. It is false where
// that has happened already. The connection's deadline must have been set before.
func (t *Ticket) Calling(c *pool.Connection) bool {
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

// FirstByte tells that the endpoint began to answer.
func (t *Ticket) FirstByte(endpoint string, load *dispatch.ToldLoad) {
	t.actor.post(command{kind: tell, input: dispatch.FirstByte{ID: t.id, Endpoint: endpoint, Load: load}})
}

// Progress tells of events that came since the last call.
func (t *Ticket) Progress(endpoint string, events int) {
	t.actor.post(command{kind: tell, input: dispatch.Progress{ID: t.id, Endpoint: endpoint, Events: events}})
}

// Stalled tells that the endpoint has paused for long in a stream that may go on elsewhere. It is false where the call
// has been abandoned already.
func (t *Ticket) Stalled(endpoint string) bool {
	if t.abandoned.Load() {
		return false
	}
	t.actor.post(command{kind: tell, input: dispatch.Stalled{ID: t.id, Endpoint: endpoint}})
	return true
}

// Ending is how a call ended.
type Ending struct {
	Send       *dispatch.Send
	Result     dispatch.Result
	More       bool // the request asks for another endpoint; Wait gives the answer
	Answered   bool // the answer's first byte has not been told by FirstByte, and has come
	Load       *dispatch.ToldLoad
	Connection *pool.Connection // one that may serve another call, nil for none
	Rest       time.Duration    // how long it may rest
}

// Finish ends the call that the last verdict asked for.
func (t *Ticket) Finish(e Ending) {
	t.calling.Store(nil)
	t.abandoned.Store(false)
	t.actor.post(command{kind: finish, id: t.id, ending: &e})
}
