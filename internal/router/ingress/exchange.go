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
	"raventrestle/internal/router/stream"
)

const (
	leastSilence      = 1500 * time.Millisecond // of an endpoint, before a resumable stream is taken up elsewhere
	silenceGapFactor  = 3                       // of the route's gap aim
	elsewherePause    = 50 * time.Millisecond   // told to clients while this process ends: others take them
	refusedDrainBytes = 4 << 10                 // of a refusal's body, so that its connection may be used again
	refusedDrainTime  = 50 * time.Millisecond   // for that body: the request goes on elsewhere
)

// exchange is one client's request on its way. Its goroutine is the one that serves the request.
type exchange struct {
	*admitted
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	message *call.Message
	ticket  *dispatcher.Ticket

	out        *dispatch.Send // the call at hand, until it is finished
	mayHaveRun bool
	kept       *whole        // an endpoint's own failure, for want of anything better
	relay      *stream.Relay // of a stream that has begun
	events     *eventClient  // of the relay
	headSent   bool
}

// run carries out verdicts until the client has its answer.
func (x *exchange) run() {
	defer x.settle()
	for {
		verdict, ok := x.ticket.Wait(x.r.Context(), x.handler.refusing)
		switch {
		case !ok:
			x.leave()
			return
		case verdict.Reject != nil:
			x.refused(verdict.Reject)
			return
		}
		if x.try(verdict) {
			return
		}
	}
}

// leave ends an exchange that goes no further: its client is gone, or this process ends.
func (x *exchange) leave() {
	if x.ended() {
		x.end()
		return
	}
	abort()
}

// ended says whether this process, and not the client, has ended the exchange.
func (x *exchange) ended() bool {
	if x.handler.base.Err() != nil {
		return true
	}
	return x.handler.refusesAll() && x.r.Context().Err() == nil
}

// abort ends the client's connection without the rest of an answer.
func abort() { panic(http.ErrAbortHandler) }

// settle frees the dispatcher's slot where the exchange ended in a panic.
func (x *exchange) settle() {
	if x.out != nil {
		x.finish(dispatcher.Outcome{Result: dispatch.Canceled})
	}
}

// finish tells the dispatcher that the call at hand has ended.
func (x *exchange) finish(e dispatcher.Outcome) {
	e.Send = x.out
	x.out = nil
	x.ticket.FinishAttempt(e)
}

// refused answers for the dispatcher.
func (x *exchange) refused(why *dispatch.Reject) {
	switch {
	case x.headSent:
		abort()
	case x.kept != nil:
		x.kept.write(x)
	case x.mayHaveRun:
		x.failed()
	case why.Reason == dispatch.QuotaExceeded:
		x.handler.refuse(x.w, refusal{status: http.StatusTooManyRequests, retryAfter: why.RetryAfter})
	default:
		x.handler.refuse(x.w, refusal{status: http.StatusServiceUnavailable, retryAfter: why.RetryAfter})
	}
}

// failed answers a request that may have run and has no answer.
func (x *exchange) failed() {
	status := http.StatusBadGateway
	if x.late() {
		status = http.StatusGatewayTimeout
	}
	x.handler.refuse(x.w, refusal{status: status})
}

func (x *exchange) late() bool { return !time.Now().Before(x.deadline) }

// try makes one call. It is true where the client has had its answer, false where the dispatcher decides next.
func (x *exchange) try(verdict dispatcher.Decision) bool {
	x.out = verdict.Send
	if c := verdict.Connection; c != nil {
		if c.Reusable() {
			return x.call(c)
		}
		x.handler.dialer.Discard(c)
	}
	return x.callAnew()
}

// callAnew makes the call on a new connection.
func (x *exchange) callAnew() bool {
	c, err := x.dial()
	if err != nil {
		return x.lost(err)
	}
	return x.call(c)
}

func (x *exchange) dial() (*pool.Connection, error) {
	c, err := x.handler.dialer.Dial(x.out.Endpoint, x.out.Address, x.deadline)
	if err != nil {
		return nil, &call.Error{Step: call.Dialling, Peer: x.out.Endpoint, Err: err}
	}
	return c, nil
}

// call sends the request on the connection and passes the answer on.
func (x *exchange) call(c *pool.Connection) bool {
	l := x.lease(c)
	defer l.end() // for panics; it has ended otherwise
	answer, err := x.ask(c)
	switch {
	case err != nil && c.Reused && !call.MayHaveRun(err) && !errors.Is(err, call.ErrAbandoned) && !x.late():
		l.end() // the endpoint had closed it
		return x.callAnew()
	case err != nil:
		l.end()
		return x.lost(err)
	case answer.Rejected():
		return x.turnedAway(l, answer)
	case x.isStream(answer):
		return x.passStream(l, answer)
	}
	return x.passWhole(l, answer)
}

// ask sends the request and reads the head of the answer.
func (x *exchange) ask(c *pool.Connection) (*call.Answer, error) {
	now := time.Now()
	if err := c.SetDeadline(x.deadline); err != nil {
		return nil, &call.Error{Step: call.Writing, Peer: c.Endpoint, Err: err}
	}
	if !x.ticket.AttachConnection(c) {
		return nil, &call.Error{Step: call.Writing, Peer: c.Endpoint, Err: call.ErrAbandoned}
	}
	if err := x.r.Context().Err(); err != nil { // the client left while a connection was made
		return nil, &call.Error{Step: call.Writing, Peer: c.Endpoint, Err: err}
	}
	try := call.Attempt{Endpoint: x.out.Endpoint, Priority: x.out.Priority, Deadline: x.deadline}
	if x.relay != nil {
		try.LastEvent = x.relay.LastID()
	}
	return x.message.RoundTrip(c, try, now)
}

// silence is how long an endpoint of such a stream may pause between events, 0 for others.
func (x *exchange) silence() time.Duration {
	if !x.resumable() {
		return 0
	}
	return max(x.handler.leastSilence, silenceGapFactor*time.Duration(x.route.EventGapTargetMS)*time.Millisecond)
}

// lost ends a call that brought no answer.
func (x *exchange) lost(err error) bool {
	ran := call.MayHaveRun(err)
	x.mayHaveRun = x.mayHaveRun || ran
	switch {
	case x.r.Context().Err() != nil:
		x.finish(dispatcher.Outcome{Result: dispatch.Canceled})
		x.leave()
		return true
	case x.late() || errors.Is(err, call.ErrNoTime):
		x.finish(dispatcher.Outcome{Result: dispatch.Canceled})
		return x.end()
	case !ran:
		x.finish(dispatcher.Outcome{Result: dispatch.NotSent, NeedsRetry: true})
		return false
	}
	x.handler.losses.Lost(x.out.Endpoint, err)
	switch {
	case x.repeatable() && (x.resumable() || !x.headSent):
		x.finish(dispatcher.Outcome{Result: dispatch.ConnectionLost, NeedsRetry: true})
		return false
	}
	x.finish(dispatcher.Outcome{Result: dispatch.ConnectionLost})
	return x.end()
}

// end answers a request that is not tried again.
func (x *exchange) end() bool {
	switch {
	case x.headSent:
		abort()
	case x.kept != nil:
		x.kept.write(x)
	case x.mayHaveRun:
		x.failed()
	default:
		x.notRun()
	}
	return true
}

// notRun answers a request that surely has not run and will not.
func (x *exchange) notRun() {
	no := refusal{status: http.StatusServiceUnavailable}
	if x.ended() {
		no.retryAfter = elsewherePause
		no.close = true
	}
	x.handler.refuse(x.w, no)
}

// turnedAway ends a call that the endpoint did not run.
func (x *exchange) turnedAway(l *lease, answer *call.Answer) bool {
	result := dispatch.Rejected
	if answer.StatusCode == http.StatusMisdirectedRequest {
		result = dispatch.Misdirected
	}
	if until := time.Now().Add(refusedDrainTime); until.Before(x.deadline) {
		_ = l.connection.SetReadDeadline(until) // where it fails, reading does as well
	}
	readSome(answer, refusedDrainBytes)
	ending := l.ending(answer, result)
	ending.NeedsRetry = !x.late()
	x.finish(ending)
	return !ending.NeedsRetry && x.end()
}

// lease is the use of a connection for one call; it ends early where the client leaves.
type lease struct {
	x          *exchange
	connection *pool.Connection
	stop       func() bool
}

func (x *exchange) lease(c *pool.Connection) *lease {
	conn := c.Conn
	return &lease{
		x:          x,
		connection: c,
		stop:       context.AfterFunc(x.r.Context(), func() { conn.Close() }),
	}
}

// end closes the connection, unless it was kept.
func (l *lease) end() {
	if l.connection == nil {
		return
	}
	l.stop()
	l.x.handler.dialer.Discard(l.connection)
	l.connection = nil
}

// ending ends the lease after a whole answer. The connection goes back where it may serve another call.
func (l *lease) ending(answer *call.Answer, result dispatch.Result) dispatcher.Outcome {
	e := dispatcher.Outcome{Result: result, Load: answer.Load(), IdleTimeout: answer.IdleTTL()}
	if e.IdleTimeout == 0 || !l.stop() {
		l.end()
		return e
	}
	e.Connection = l.connection
	l.connection = nil
	return e
}
