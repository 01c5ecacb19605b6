package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"raventrestle/internal/router/call"
	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/dispatcher"
	"raventrestle/internal/router/pool"
)

// A rejecting endpoint's body is read only so far, so that its connection can serve another attempt.
const (
	maxRejectionBytes    = 4 << 10
	rejectionBodyTimeout = 50 * time.Millisecond
)

// attempt sends the request to the endpoint of a decision. Like all methods that handle an attempt, it returns true if
// the client has its answer, and false if the dispatcher decides next.
func (p *proxiedRequest) attempt(decision dispatcher.Decision) (answered bool) {
	p.send = decision.Send
	if c := decision.Connection; c != nil {
		if c.Reusable() && !c.HasSent(p.message.RequestID) {
			return p.attemptOn(c)
		}
		p.handler.dialer.Discard(c)
	}
	return p.attemptOnNewConnection()
}

func (p *proxiedRequest) attemptOnNewConnection() (answered bool) {
	c, err := p.dial()
	if err != nil {
		return p.attemptFailed(err)
	}
	return p.attemptOn(c)
}

func (p *proxiedRequest) dial() (*pool.Connection, error) {
	c, err := p.handler.dialer.Dial(p.send.Endpoint, p.send.Address, p.deadline)
	if err != nil {
		return nil, &call.Error{Step: call.Dialling, Peer: p.send.Endpoint, Err: err}
	}
	return c, nil
}

// attemptOn sends the request on a connection and forwards the answer. If the endpoint closed a reused connection before
// it took a byte, a new connection is made: the request surely has not run.
func (p *proxiedRequest) attemptOn(c *pool.Connection) (answered bool) {
	connection := p.use(c)
	defer connection.close() // for panics; it is closed or released otherwise
	answer, err := p.roundTrip(c)
	switch {
	case err != nil && p.endpointClosedIdle(c, err):
		connection.close()
		return p.attemptOnNewConnection()
	case err != nil:
		connection.close()
		return p.attemptFailed(err)
	case answer.Rejected():
		return p.rejectedByEndpoint(connection, answer)
	case p.isEventStream(answer):
		return p.forwardStream(connection, answer)
	}
	return p.forwardAnswer(connection, answer)
}

// endpointClosedIdle reports whether an attempt failed only because the endpoint had closed an idle connection.
func (p *proxiedRequest) endpointClosedIdle(c *pool.Connection, err error) bool {
	return c.Reused && !call.MayHaveRun(err) && !errors.Is(err, call.ErrAbandoned) && !p.deadlinePassed()
}

// roundTrip sends the request and reads the head of the answer.
func (p *proxiedRequest) roundTrip(c *pool.Connection) (*call.Answer, error) {
	now := time.Now()
	if err := c.SetDeadline(p.deadline); err != nil {
		return nil, &call.Error{Step: call.Writing, Peer: c.Endpoint, Err: err}
	}
	if !p.ticket.AttachConnection(c) {
		return nil, &call.Error{Step: call.Writing, Peer: c.Endpoint, Err: call.ErrAbandoned}
	}
	if err := p.r.Context().Err(); err != nil { // the client left while the connection was made
		return nil, &call.Error{Step: call.Writing, Peer: c.Endpoint, Err: err}
	}
	attempt := call.Attempt{Endpoint: p.send.Endpoint, Priority: p.send.Priority, Deadline: p.deadline}
	if p.relay != nil {
		attempt.LastEvent = p.relay.LastID()
	}
	return p.message.RoundTrip(c, attempt, now)
}

// attemptFailed handles an attempt that brought no complete answer. Its connection is closed already.
func (p *proxiedRequest) attemptFailed(err error) (answered bool) {
	mayHaveRun := call.MayHaveRun(err)
	p.mayHaveRun = p.mayHaveRun || mayHaveRun
	switch {
	case p.r.Context().Err() != nil:
		p.finishAttempt(dispatcher.Outcome{Result: dispatch.Canceled})
		p.stopWaiting()
		return true
	case p.deadlinePassed() || errors.Is(err, call.ErrNoTime):
		p.finishAttempt(dispatcher.Outcome{Result: dispatch.Canceled})
		p.answerWithoutRetry()
		return true
	case !mayHaveRun:
		p.finishAttempt(dispatcher.Outcome{Result: dispatch.NotSent, NeedsRetry: true})
		return false
	}
	p.handler.events.AnswerLost(p.send.Endpoint, err)
	if p.retryable() && (p.resumable() || !p.headSent) {
		p.finishAttempt(dispatcher.Outcome{Result: dispatch.ConnectionLost, NeedsRetry: true})
		return false
	}
	p.finishAttempt(dispatcher.Outcome{Result: dispatch.ConnectionLost})
	p.answerWithoutRetry()
	return true
}

// rejectedByEndpoint handles an answer that says that the endpoint has not run the request.
func (p *proxiedRequest) rejectedByEndpoint(connection *attemptConnection, answer *call.Answer) (answered bool) {
	result := dispatch.Rejected
	if answer.StatusCode == http.StatusMisdirectedRequest {
		result = dispatch.Misdirected
	}
	if until := time.Now().Add(rejectionBodyTimeout); until.Before(p.deadline) {
		_ = connection.pooled.SetReadDeadline(until) // if it fails, so does reading
	}
	_, _ = readUpTo(answer, maxRejectionBytes) // a failure shows in IdleTTL: the connection is not reused
	outcome := connection.release(answer, result)
	outcome.NeedsRetry = !p.deadlinePassed()
	p.finishAttempt(outcome)
	if outcome.NeedsRetry {
		return false
	}
	p.answerWithoutRetry()
	return true
}

// attemptConnection is a connection to an endpoint while one attempt uses it. It is closed when the client leaves, so
// that the endpoint stops working on the request.
type attemptConnection struct {
	pooled       *pool.Connection // nil once closed or released
	dialer       *pool.Dialer
	stopWatching func() bool // false: the client has left
}

// use begins the use of a connection.
func (p *proxiedRequest) use(c *pool.Connection) *attemptConnection {
	conn := c.Conn
	return &attemptConnection{
		pooled:       c,
		dialer:       p.handler.dialer,
		stopWatching: context.AfterFunc(p.r.Context(), func() { _ = conn.Close() }),
	}
}

// close closes the connection unless it was released.
func (a *attemptConnection) close() {
	if a.pooled == nil {
		return
	}
	a.stopWatching()
	a.dialer.Discard(a.pooled)
	a.pooled = nil
}

// release ends the use of the connection after a complete answer. The outcome has the connection if it can serve
// another attempt; it is closed otherwise.
func (a *attemptConnection) release(answer *call.Answer, result dispatch.Result) dispatcher.Outcome {
	outcome := dispatcher.Outcome{Result: result, Load: answer.Load(), IdleTimeout: answer.IdleTTL()}
	if outcome.IdleTimeout == 0 || !a.stopWatching() {
		a.close()
		return outcome
	}
	outcome.Connection = a.pooled
	a.pooled = nil
	return outcome
}
