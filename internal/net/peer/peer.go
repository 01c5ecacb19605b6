// Package peer speaks to one endpoint: an actor that keeps its connections and makes the
// calls. One try is one call, written once on one connection; an answer that comes too
// late never meets a later try, since its connection is closed by then.
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

// Try is one attempt at a message.
type Try struct {
	ID, Key string
	N       int // index of the attempt, from 0
	Body    []byte
	Wait    time.Duration // how long the courier waits for it
	Until   time.Time     // when the message's time is up
	Before  time.Time     // it is written by then or not at all; zero where nothing binds it
}

// Config is what a peer needs to know.
type Config struct {
	Name, Addr    string
	ConnectWithin time.Duration // a connection takes at most this long
	IdleClose     time.Duration // the endpoint closes a connection that has been idle so long
	Mailbox       int
	Log           *slog.Logger
	Counts        *Counts
	Tell          func(raventrestle.Event)                                          // hands an event to the courier
	Wrote         func(messages int)                                                // hears of a call that is written in full; nil for nobody
	Dial          func(ctx context.Context, network, addr string) (net.Conn, error) // nil for the usual
}

// Counts are what all peers do together.
type Counts struct {
	Dials, Calls, Bulks, Tries, Answers, Failures atomic.Int64
}

// margin is how much sooner than the endpoint a peer closes idle connections: a call on its
// way takes that long, and one that meets the endpoint's close ends as a reset.
const margin = 250 * time.Millisecond

// rest is how long a connection stays unused after an answer: the endpoint's close, or bytes beyond
// the answer, may be on their way, and would end the next call or be taken for its answer.
const rest = 25 * time.Millisecond

// Peer is the actor of one endpoint.
type Peer struct {
	Config
	quit  context.CancelFunc
	idle  []*conn      // the one used last is last
	until atomic.Int64 // nothing is written before that time, in Unix nanoseconds: see Hold
	mu    sync.Mutex
	ended bool // nobody reads the mailbox any more
	mail  chan any
}

type conn struct {
	net.Conn
	r     *bufio.Reader
	since time.Time       // idle since
	left  int             // bytes that may still come in answer to this call
	ctx   context.Context // of this call
}

// Read gives no more than an answer may hold.
func (c *conn) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, errTooLong
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
}

// within bounds what is left to read of the call, whose own end may come sooner.
func (c *conn) within(d time.Duration) {
	c.SetReadDeadline(time.Now().Add(d))
	if c.ctx.Err() != nil { // it came between
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

type (
	callMsg   struct{ tries []Try }
	cancelMsg struct{ id string }
	idleMsg   struct{ c *conn }
	closeMsg  struct{}
	doneMsg   struct{ cl *call }
)

// call is one call that is out.
type call struct {
	tries  []Try
	cancel context.CancelCauseFunc
}

var (
	errCancelled = errors.New("called off")
	errHeld      = errors.New("held: the route waits, the peer drains, a repeat comes too late or a mate is over")
)

// New starts a peer; it ends with the context, once its calls are done.
func New(ctx context.Context, c Config) *Peer {
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: c.ConnectWithin, KeepAlive: -1}).DialContext
	}
	if c.Wrote == nil {
		c.Wrote = func(int) {}
	}
	ctx, quit := context.WithCancel(ctx)
	p := &Peer{Config: c, mail: make(chan any, c.Mailbox), quit: quit}
	go p.run(ctx)
	return p
}

// Call makes one call of the tries. It reports whether the mailbox took it. The message with the most time left stands
// first in the call: a call goes on while some of its messages run out of time, and the platform was seen to count none
// of the others as delivered where the first one had.
func (p *Peer) Call(tries []Try) bool {
	tries = slices.Clone(tries)
	slices.SortStableFunc(tries, func(a, b Try) int { return b.Until.Compare(a.Until) })
	return p.post(callMsg{tries})
}

// Cancel closes the connection of the call with the message; its mates end with it.
func (p *Peer) Cancel(id string) bool { return p.post(cancelMsg{id}) }

// CloseIdle closes the connections that carry no call.
func (p *Peer) CloseIdle() bool { return p.post(closeMsg{}) }

// Hold keeps calls from being written before that time, those included whose connection is still
// coming up: that takes up to ConnectTimeout, in which the route may be told to wait or the list may
// name the peer as draining. They end as NotSent. The zero time lets calls through again.
func (p *Peer) Hold(until time.Time) {
	if until.IsZero() {
		p.until.Store(0)
		return
	}
	for old := p.until.Load(); old < until.UnixNano() && !p.until.CompareAndSwap(old, until.UnixNano()); {
		old = p.until.Load()
	}
}

// Never is a Hold without end.
var Never = time.Unix(0, math.MaxInt64)

// Stop ends the actor; its idle connections are closed, and calls that are written run on.
func (p *Peer) Stop() {
	p.Hold(Never)
	p.quit()
}

// post puts mail in the box, if there is room and somebody reads it.
func (p *Peer) post(m any) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return false
	}
	select {
	case p.mail <- m:
		return true
	default:
		return false
	}
}

// end closes the mailbox. Calls in it are not made, and are told as such: a peer may be stopped
// between the module's decision and its call.
func (p *Peer) end() {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.closeIdle(0)
	for range len(p.mail) {
		switch m := (<-p.mail).(type) {
		case callMsg:
			(&teller{p: p, began: time.Now(), tries: m.tries, open: open(m.tries)}).all(raventrestle.NotSent)
		case idleMsg:
			m.c.Close()
		}
	}
}

func (p *Peer) run(ctx context.Context) {
	out := map[*call]bool{}
	sweep := time.NewTicker(max(margin/2, 10*time.Millisecond))
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			p.end()
			return
		case <-sweep.C:
			p.closeIdle(p.IdleClose - 2*margin)
		case m := <-p.mail:
			switch m := m.(type) {
			case callMsg:
				cl := &call{tries: m.tries}
				var callCtx context.Context
				callCtx, cl.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
				out[cl] = true
				c := p.take()
				go func() {
					defer p.post(doneMsg{cl})
					p.call(callCtx, cl, c)
				}()
			case cancelMsg:
				for cl := range out {
					if slices.ContainsFunc(cl.tries, func(t Try) bool { return t.ID == m.id }) {
						cl.cancel(errCancelled)
					}
				}
			case idleMsg:
				m.c.since = time.Now()
				p.idle = append(p.idle, m.c)
			case closeMsg:
				p.closeIdle(0)
			case doneMsg:
				m.cl.cancel(nil)
				delete(out, m.cl)
			}
		}
	}
}

// fit says whether an idle connection is open and silent: what has come on it unasked, or its
// end, makes it unfit for another call.
func fit(c *conn) bool {
	_, quiet := sock.Look(c.Conn)
	return quiet && c.r.Buffered() == 0
}

// take is an idle connection that is still fit, or nil: the one used last of those that have rested.
func (p *Peer) take() *conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		age := time.Since(c.since)
		if age < rest {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if age < p.IdleClose-margin && fit(c) {
			return c
		}
		c.Close()
	}
	return nil
}

// closeIdle closes connections idle for so long, and those that the endpoint has closed.
func (p *Peer) closeIdle(after time.Duration) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if after > 0 && time.Since(c.since) < after && fit(c) {
			kept = append(kept, c)
		} else {
			c.Close()
		}
	}
	p.idle = kept
}

// call makes the call and tells the courier how each try of it ended.
func (p *Peer) call(ctx context.Context, cl *call, c *conn) {
	began := time.Now()
	wait := time.Duration(0)
	for _, t := range cl.tries {
		wait = max(wait, t.Wait)
	}
	ctx, stop := context.WithDeadline(ctx, began.Add(wait))
	defer stop()
	told := &teller{p: p, began: began, tries: cl.tries, open: open(cl.tries)}
	if len(cl.tries) > 1 {
		defer told.watch(ctx, began.Add(wait))()
	}
	defer func() {
		if e := recover(); e != nil { // the fault stays with this call
			p.Log.Error("peer: call broke", "peer", p.Name, "panic", fmt.Sprint(e))
			told.all(raventrestle.Reset)
		}
	}()
	p.Counts.Calls.Add(1)
	p.Counts.Tries.Add(int64(len(cl.tries)))
	if len(cl.tries) > 1 {
		p.Counts.Bulks.Add(1)
	}
	a, c, err := p.exchange(ctx, cl, c, wait, told)
	var failed *TryError
	held := errors.As(err, &failed) && failed.Reach == Held
	if err == nil && a.reuse || held {
		if !p.post(idleMsg{c}) {
			c.Close()
		}
	} else if c != nil {
		c.Close()
	}
	switch {
	case err == nil:
		p.Counts.Answers.Add(1)
		for _, o := range a.outcomes(cl.tries) {
			o.Duration = a.at.Sub(began)
			told.one(o)
		}
	case held:
		told.all(raventrestle.NotSent)
	case failed != nil:
		p.Counts.Failures.Add(1)
		p.Log.Debug("peer: try failed", "peer", p.Name, "id", cl.tries[0].ID, "n", len(cl.tries), "err", err,
			"took", time.Since(began))
		status := failed.Status()
		if status == raventrestle.TimedOut && errors.Is(context.Cause(ctx), errCancelled) {
			status = raventrestle.Canceled
		}
		told.all(status)
	}
}

// exchange writes the call and reads its answer; errors are of type *TryError.
func (p *Peer) exchange(ctx context.Context, cl *call, c *conn, wait time.Duration, told *teller) (answer, *conn, error) {
	if c == nil {
		p.Counts.Dials.Add(1)
		raw, err := p.Dial(ctx, "tcp", p.Addr)
		if err != nil {
			return answer{}, nil, &TryError{NotConnected, ctx.Err() != nil, err}
		}
		c = &conn{Conn: raw}
		c.r = bufio.NewReaderSize(c, 4<<10)
	}
	if now := time.Now(); now.UnixNano() < p.until.Load() || slices.ContainsFunc(cl.tries, func(t Try) bool {
		return !t.Before.IsZero() && now.After(t.Before)
	}) || told.any() {
		return answer{}, c, &TryError{Held, false, errHeld}
	}
	c.ctx, c.left = ctx, mostHead+mostBody
	// Closing the connection is how a call is given up, whether time ran out or it was called off.
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	text := request(p.Addr, cl.tries, wait)
	if n, err := c.Write(text); err != nil {
		reach := NotWritten
		if n == len(text) {
			reach = Written
		}
		return answer{}, c, &TryError{reach, ctx.Err() != nil, err}
	}
	p.Wrote(len(cl.tries))
	a, err := read(c, len(cl.tries) == 1)
	var failed *TryError
	if errors.As(err, &failed) {
		failed.Timeout = ctx.Err() != nil
	}
	c.SetReadDeadline(time.Time{})
	if !stop() { // the deadline above may have fallen into the reading
		a.reuse = false
	}
	return a, c, err
}

// teller tells each try's outcome once.
type teller struct {
	p     *Peer
	began time.Time
	tries []Try
	mu    sync.Mutex
	open  map[string]bool
}

func open(tries []Try) map[string]bool {
	ids := map[string]bool{}
	for _, t := range tries {
		ids[t.ID] = true
	}
	return ids
}

func (t *teller) one(o raventrestle.Outcome) {
	t.mu.Lock()
	first := t.open[string(o.ID)]
	delete(t.open, string(o.ID))
	t.mu.Unlock()
	if first {
		o.Target = raventrestle.TargetID(t.p.Name)
		o.Duration = cmp.Or(o.Duration, time.Since(t.began))
		t.p.Tell(o)
	}
}

// any says whether a try has been told of: its message may have had its final answer since.
func (t *teller) any() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open) < len(t.tries)
}

func (t *teller) all(s raventrestle.Status) {
	for _, try := range t.tries {
		t.one(raventrestle.Outcome{ID: raventrestle.MessageID(try.ID), Attempt: try.N, Status: s})
	}
}

// watch ends the tries whose message's time is up while the call goes on for its mates. Others
// stay out until the call ends: another try beside it would be a second copy.
func (t *teller) watch(ctx context.Context, end time.Time) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	for _, try := range t.tries {
		if try.Until.Before(end) {
			timer := time.AfterFunc(time.Until(try.Until), func() {
				if ctx.Err() == nil {
					t.one(raventrestle.Outcome{
						ID: raventrestle.MessageID(try.ID), Attempt: try.N,
						Status: raventrestle.TimedOut,
					})
				}
			})
			context.AfterFunc(ctx, func() { timer.Stop() })
		}
	}
	return cancel
}
