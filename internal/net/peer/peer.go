// Package peer makes the calls to one endpoint: an actor that keeps its connections. A call carries one or more attempts
// and is written once, on one connection. A call that is given up closes its connection, so a late answer can't be taken
// for the answer to a later call.
package peer

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"raventrestle"
	"raventrestle/internal/net/sock"
)

// Attempt is one attempt to deliver a message.
type Attempt struct {
	ID, Key  string
	Index    int // number of the attempt at this message, from 0
	Body     []byte
	Timeout  time.Duration // how long the courier waits for its answer
	Deadline time.Time     // the message's deadline
	SendBy   time.Time     // the call must not be written later; zero for no limit
}

// Config configures a peer.
type Config struct {
	Name, Addr     string
	ConnectTimeout time.Duration // maximum time to establish a connection
	IdleTimeout    time.Duration // the endpoint closes connections that have been idle this long
	MailboxSize    int
	Log            *slog.Logger
	Counts         *Counts
	OnOutcome      func(raventrestle.Event)                                          // called with each attempt's outcome
	OnCallWritten  func(messages int)                                                // called after a call has been written in full; may be nil
	Dial           func(ctx context.Context, network, addr string) (net.Conn, error) // nil for a net.Dialer
}

// Counts are counters that all peers share.
type Counts struct {
	Dials, Calls, BatchCalls, Attempts, Answers, Failures atomic.Int64
}

// idleCloseMargin is how much earlier than the endpoint a peer closes idle connections. A call in transit takes up to that
// long, and a call that arrives when the endpoint closes the connection ends as a reset.
const idleCloseMargin = 250 * time.Millisecond

// reuseDelay is how long a connection is not reused after an answer. The endpoint's close or excess bytes may still be in
// transit, and would fail the next call or be taken for its answer.
const reuseDelay = 25 * time.Millisecond

// Peer is the actor of one endpoint.
type Peer struct {
	Config
	cancel       context.CancelFunc
	idle         []*conn      // in the order of their last use
	blockedUntil atomic.Int64 // no call is written before this time, in Unix nanoseconds: see BlockUntil
	mu           sync.Mutex
	closed       bool // the mailbox is not read any more
	mailbox      chan any
}

type conn struct {
	net.Conn
	r         *bufio.Reader
	idleSince time.Time
	remaining int             // maximum number of bytes still to be read in answer to this call
	ctx       context.Context // of this call
}

// Read returns an error once the answer exceeds its maximum size.
func (c *conn) Read(b []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errTooLong
	}
	n, err := c.Conn.Read(b[:min(len(b), c.remaining)])
	c.remaining -= n
	return n, err
}

// limitRead sets a deadline for reading the rest of the answer, unless the call has ended before.
func (c *conn) limitRead(d time.Duration) {
	c.SetReadDeadline(time.Now().Add(d))
	if c.ctx.Err() != nil { // the call ended while the deadline was set
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

type (
	callMsg      struct{ attempts []Attempt }
	cancelMsg    struct{ id string }
	idleMsg      struct{ c *conn }
	closeIdleMsg struct{}
	doneMsg      struct{ cl *call }
)

// call is a call in flight.
type call struct {
	attempts []Attempt
	cancel   context.CancelCauseFunc
}

var (
	errCancelled = errors.New("call canceled")
	errWithheld  = errors.New("call withheld: route waits after a Retry-After, peer draining, retry past its send deadline, or another attempt expired")
)

// New starts a peer. It stops when the context ends; calls in flight still finish.
func New(ctx context.Context, c Config) *Peer {
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: c.ConnectTimeout, KeepAlive: -1}).DialContext
	}
	if c.OnCallWritten == nil {
		c.OnCallWritten = func(int) {}
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &Peer{Config: c, mailbox: make(chan any, c.MailboxSize), cancel: cancel}
	go p.run(ctx)
	return p
}

// Call makes one call with the attempts; it returns false if the mailbox is full or closed. The attempt with the latest
// deadline goes first. A call continues while some of its messages expire, and the platform was seen not to count the
// other messages as delivered if the first one had expired.
func (p *Peer) Call(attempts []Attempt) bool {
	attempts = slices.Clone(attempts)
	slices.SortStableFunc(attempts, func(a, b Attempt) int { return b.Deadline.Compare(a.Deadline) })
	return p.post(callMsg{attempts})
}

// Cancel closes the connection of the call with the message, which ends all attempts of that call.
func (p *Peer) Cancel(id string) bool { return p.post(cancelMsg{id}) }

// CloseIdle closes the connections without a call.
func (p *Peer) CloseIdle() bool { return p.post(closeIdleMsg{}) }

// BlockUntil prevents calls from being written before the given time, including calls that are waiting for a connection.
// Connecting takes up to ConnectTimeout, and meanwhile the route may receive a Retry-After wait or the list may name the
// endpoint as draining. Blocked calls end as NotSent. The zero time lifts the block.
func (p *Peer) BlockUntil(until time.Time) {
	if until.IsZero() {
		p.blockedUntil.Store(0)
		return
	}
	for old := p.blockedUntil.Load(); old < until.UnixNano() && !p.blockedUntil.CompareAndSwap(old, until.UnixNano()); {
		old = p.blockedUntil.Load()
	}
}

// Never blocks calls for good when it is passed to BlockUntil.
var Never = time.Unix(0, math.MaxInt64)

// Stop ends the actor. It closes idle connections; calls that have been written still finish.
func (p *Peer) Stop() {
	p.BlockUntil(Never)
	p.cancel()
}

// post puts a message into the mailbox; it returns false if the mailbox is full or closed.
func (p *Peer) post(m any) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	select {
	case p.mailbox <- m:
		return true
	default:
		return false
	}
}

// closeMailbox closes the mailbox. The calls in it are reported as not sent: a peer may be stopped between the policy's
// decision and the call.
func (p *Peer) closeMailbox() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle(0)
	for range len(p.mailbox) {
		switch m := (<-p.mailbox).(type) {
		case callMsg:
			(&outcomeReporter{peer: p, start: time.Now(), attempts: m.attempts, unreported: attemptIDs(m.attempts)}).reportAll(raventrestle.NotSent)
		case idleMsg:
			m.c.Close()
		}
	}
}

func (p *Peer) run(ctx context.Context) {
	inFlight := map[*call]bool{}
	ticker := time.NewTicker(max(idleCloseMargin/2, 10*time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeMailbox()
			return
		case <-ticker.C:
			p.closeIdle(p.IdleTimeout - 2*idleCloseMargin)
		case m := <-p.mailbox:
			switch m := m.(type) {
			case callMsg:
				cl := &call{attempts: m.attempts}
				var callCtx context.Context
				callCtx, cl.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
				inFlight[cl] = true
				c := p.takeIdle()
				go func() {
					defer p.post(doneMsg{cl})
					p.makeCall(callCtx, cl, c)
				}()
			case cancelMsg:
				for cl := range inFlight {
					if slices.ContainsFunc(cl.attempts, func(a Attempt) bool { return a.ID == m.id }) {
						cl.cancel(errCancelled)
					}
				}
			case idleMsg:
				m.c.idleSince = time.Now()
				p.idle = append(p.idle, m.c)
			case closeIdleMsg:
				p.closeIdle(0)
			case doneMsg:
				m.cl.cancel(nil)
				delete(inFlight, m.cl)
			}
		}
	}
}

// reusable reports whether an idle connection is open and has no unread bytes. Unexpected bytes or a close make it unusable
// for another call.
func reusable(c *conn) bool {
	_, idle := sock.Peek(c.Conn)
	return idle && c.r.Buffered() == 0
}

// takeIdle returns a reusable idle connection or nil. It takes the most recently used one that has been idle for at least
// reuseDelay.
func (p *Peer) takeIdle() *conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		age := time.Since(c.idleSince)
		if age < reuseDelay {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if age < p.IdleTimeout-idleCloseMargin && reusable(c) {
			return c
		}
		c.Close()
	}
	return nil
}

// closeIdle closes connections that have been idle for maxIdle, and those that are not reusable.
func (p *Peer) closeIdle(maxIdle time.Duration) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if maxIdle > 0 && time.Since(c.idleSince) < maxIdle && reusable(c) {
			kept = append(kept, c)
		} else {
			c.Close()
		}
	}
	p.idle = kept
}

// makeCall makes the call and reports the outcome of each of its attempts.
func (p *Peer) makeCall(ctx context.Context, cl *call, c *conn) {
	start := time.Now()
	timeout := time.Duration(0)
	for _, a := range cl.attempts {
		timeout = max(timeout, a.Timeout)
	}
	ctx, stop := context.WithDeadline(ctx, start.Add(timeout))
	defer stop()
	reporter := &outcomeReporter{peer: p, start: start, attempts: cl.attempts, unreported: attemptIDs(cl.attempts)}
	if len(cl.attempts) > 1 {
		defer reporter.reportExpired(ctx, start.Add(timeout))()
	}
	defer func() {
		if e := recover(); e != nil { // a panic fails this call only
			p.Log.Error("peer: panic in a call", "peer", p.Name, "panic", fmt.Sprint(e))
			reporter.reportAll(raventrestle.Reset)
		}
	}()
	p.Counts.Calls.Add(1)
	p.Counts.Attempts.Add(int64(len(cl.attempts)))
	if len(cl.attempts) > 1 {
		p.Counts.BatchCalls.Add(1)
	}
	a, c, err := p.exchange(ctx, cl, c, timeout, reporter)
	var attemptErr *AttemptError
	withheld := errors.As(err, &attemptErr) && attemptErr.Reach == Withheld
	if err == nil && a.keepAlive || withheld {
		if !p.post(idleMsg{c}) {
			c.Close()
		}
	} else if c != nil {
		c.Close()
	}
	switch {
	case err == nil:
		p.Counts.Answers.Add(1)
		for _, o := range a.outcomes(cl.attempts) {
			o.Duration = a.at.Sub(start)
			reporter.report(o)
		}
	case withheld:
		reporter.reportAll(raventrestle.NotSent)
	case attemptErr != nil:
		p.Counts.Failures.Add(1)
		p.Log.Debug("peer: call failed", "peer", p.Name, "id", cl.attempts[0].ID, "n", len(cl.attempts), "err", err,
			"took", time.Since(start))
		status := attemptErr.Status()
		if status == raventrestle.TimedOut && errors.Is(context.Cause(ctx), errCancelled) {
			status = raventrestle.Canceled
		}
		reporter.reportAll(status)
	}
}

// exchange writes the call and reads its answer. Its errors are of type *AttemptError.
func (p *Peer) exchange(ctx context.Context, cl *call, c *conn, timeout time.Duration, reporter *outcomeReporter) (answer, *conn, error) {
	if c == nil {
		p.Counts.Dials.Add(1)
		netConn, err := p.Dial(ctx, "tcp", p.Addr)
		if err != nil {
			return answer{}, nil, &AttemptError{NotConnected, ctx.Err() != nil, err}
		}
		c = &conn{Conn: netConn}
		c.r = bufio.NewReaderSize(c, 4<<10)
	}
	if now := time.Now(); now.UnixNano() < p.blockedUntil.Load() || slices.ContainsFunc(cl.attempts, func(a Attempt) bool {
		return !a.SendBy.IsZero() && now.After(a.SendBy)
	}) || reporter.anyReported() {
		return answer{}, c, &AttemptError{Withheld, false, errWithheld}
	}
	c.ctx, c.remaining = ctx, maxHeaderBytes+maxBodyBytes
	// A call that times out or is canceled is given up by closing its connection.
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	data := encodeCall(p.Addr, cl.attempts, timeout)
	if n, err := c.Write(data); err != nil {
		reach := NotWritten
		if n == len(data) {
			reach = Written
		}
		return answer{}, c, &AttemptError{reach, ctx.Err() != nil, err}
	}
	p.OnCallWritten(len(cl.attempts))
	a, err := readAnswer(c, len(cl.attempts) == 1)
	var attemptErr *AttemptError
	if errors.As(err, &attemptErr) {
		attemptErr.Timeout = ctx.Err() != nil
	}
	c.SetReadDeadline(time.Time{})
	if !stop() { // the deadline above may have interrupted the read
		a.keepAlive = false
	}
	return a, c, err
}

// outcomeReporter reports each attempt's outcome once.
type outcomeReporter struct {
	peer       *Peer
	start      time.Time
	attempts   []Attempt
	mu         sync.Mutex
	unreported map[string]bool
}

func attemptIDs(attempts []Attempt) map[string]bool {
	ids := map[string]bool{}
	for _, a := range attempts {
		ids[a.ID] = true
	}
	return ids
}

func (r *outcomeReporter) report(o raventrestle.Outcome) {
	r.mu.Lock()
	first := r.unreported[string(o.ID)]
	delete(r.unreported, string(o.ID))
	r.mu.Unlock()
	if first {
		o.Target = raventrestle.TargetID(r.peer.Name)
		o.Duration = cmp.Or(o.Duration, time.Since(r.start))
		r.peer.OnOutcome(o)
	}
}

// anyReported reports whether an attempt has an outcome already: its message may have had its final answer since.
func (r *outcomeReporter) anyReported() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.unreported) < len(r.attempts)
}

func (r *outcomeReporter) reportAll(s raventrestle.Status) {
	for _, attempt := range r.attempts {
		r.report(raventrestle.Outcome{ID: raventrestle.MessageID(attempt.ID), Attempt: attempt.Index, Status: s})
	}
}

// reportExpired reports attempts as timed out when their message's deadline passes during the call. The other attempts end
// with the call: a further attempt before that could deliver a second copy.
func (r *outcomeReporter) reportExpired(ctx context.Context, callEnd time.Time) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	for _, attempt := range r.attempts {
		if attempt.Deadline.Before(callEnd) {
			timer := time.AfterFunc(time.Until(attempt.Deadline), func() {
				if ctx.Err() == nil {
					r.report(raventrestle.Outcome{
						ID: raventrestle.MessageID(attempt.ID), Attempt: attempt.Index,
						Status: raventrestle.TimedOut,
					})
				}
			})
			context.AfterFunc(ctx, func() { timer.Stop() })
		}
	}
	return cancel
}
