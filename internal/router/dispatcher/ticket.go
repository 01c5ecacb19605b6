package dispatcher

import (
	"context"
	"time"

	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/pool"
)

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
}

// Wait returns the next verdict. It is false once the context is done: then the request is withdrawn, and the ticket
// is of no more use.
func (t *Ticket) Wait(ctx context.Context) (Verdict, bool) {
	select {
	case v := <-t.verdicts:
		return v, true
	case <-ctx.Done():
		t.actor.post(command{kind: withdraw, id: t.id})
		return Verdict{}, false
	}
}

// FirstByte tells that the endpoint began to answer.
func (t *Ticket) FirstByte(endpoint string) {
	t.actor.post(command{kind: tell, input: dispatch.FirstByte{ID: t.id, Endpoint: endpoint}})
}

// Progress tells of events that came since the last call.
func (t *Ticket) Progress(endpoint string, events int) {
	t.actor.post(command{kind: tell, input: dispatch.Progress{ID: t.id, Endpoint: endpoint, Events: events}})
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
	t.actor.post(command{kind: finish, id: t.id, ending: &e})
}
