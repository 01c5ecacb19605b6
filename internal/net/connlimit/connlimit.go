// Package connlimit bounds the number of open connections of a listener. It evicts idle connections in favor of new ones,
// so that clients that send nothing can't lock out others.
package connlimit

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"raventrestle/internal/net/sock"
)

// Limiter is a listener that bounds its open connections. When a connection beyond the bound arrives, the limiter closes
// another one: the connection that has been idle for longest, or else one whose request has been incomplete for longer
// than its caller waits. A connection whose request has been read is never closed.
type Limiter struct {
	net.Listener
	Timeouts
	// Unanswered counts the connections that the limiter closed without ever having answered a request on them.
	Unanswered atomic.Int64
	maxConns   int
	mu         sync.Mutex
	idle       *list.List // connections between requests, longest idle first
	active     *list.List // connections with a started request, earliest start first
	freed      chan struct{}
	closed     context.Context
	close      context.CancelFunc
}

const retryInterval = 10 * time.Millisecond // between two attempts to free a slot

// Timeouts say how long a connection is kept when another needs its slot.
type Timeouts struct {
	Idle    time.Duration // without a byte since it was accepted or last answered
	Request time.Duration // with an incomplete request: its caller does not wait any longer
}

// New returns a limiter for the listener. The server that uses it must have SetState as its ConnState.
func New(l net.Listener, maxConns int, timeouts Timeouts) *Limiter {
	limiter := &Limiter{Listener: l, Timeouts: timeouts, maxConns: maxConns, idle: list.New(), active: list.New(), freed: make(chan struct{}, 1)}
	limiter.closed, limiter.close = context.WithCancel(context.Background())
	return limiter
}

// Close stops accepting connections. Open connections stay open.
func (l *Limiter) Close() error {
	l.close()
	return l.Listener.Close()
}

// Conn is a connection that the limiter accepted. The limiter's lock protects its state.
type Conn struct {
	*net.TCPConn
	limiter     *Limiter
	group       *list.List // the limiter's idle or active list; nil once closed
	element     *list.Element
	since       time.Time // when it was put into that list
	requestRead bool      // the request has been read completely
	nextStarted bool      // part of the next request has been read as well
	answered    bool      // an earlier request was answered
	closed      bool
}

// Accept returns the next connection once there is a slot for it.
func (l *Limiter) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, err
	}
	for !l.hasSlot() {
		select {
		case <-l.freed:
			continue
		case <-time.After(retryInterval):
			continue
		case <-l.closed.Done(): // accepted anyway: it may already carry a request
		}
		break
	}
	cc := &Conn{TCPConn: tcp, limiter: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	cc.moveTo(l.idle)
	return cc, nil
}

// hasSlot reports whether another connection may be accepted, after closing one for it if necessary.
func (l *Limiter) hasSlot() bool {
	c, ok := l.freeSlot()
	if c != nil {
		c.TCPConn.Close()
	}
	return ok
}

func (l *Limiter) freeSlot() (evicted *Conn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.idle.Len()+l.active.Len() < l.maxConns {
		return nil, true
	}
	for e := l.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		if time.Since(c.since) < l.Idle {
			break // the connections after it have been idle for less time
		}
		if _, idle := sock.Peek(c.TCPConn); idle {
			c.evict()
			return c, true
		}
	}
	for e := l.active.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); !c.requestRead && time.Since(c.since) > l.Request {
			c.evict()
			return c, true
		}
	}
	return nil, false
}

// CloseIdle closes the connections that are between requests, and returns how many connections are left. A connection on
// which no request has arrived is kept for the grace period after it was accepted: if it were closed earlier, its client
// would count a request without an answer. A connection with unread bytes is kept until its request has been answered.
func (l *Limiter) CloseIdle(grace time.Duration) (open int) {
	evicted, open := l.evictIdle(grace)
	for _, c := range evicted {
		c.TCPConn.Close()
	}
	return open
}

func (l *Limiter) evictIdle(grace time.Duration) (evicted []*Conn, open int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.idle.Front(); e != nil; {
		c := e.Value.(*Conn)
		e = e.Next()
		if !c.answered && time.Since(c.since) < grace {
			continue
		}
		if _, idle := sock.Peek(c.TCPConn); idle {
			c.evict()
			evicted = append(evicted, c)
		}
	}
	return evicted, l.idle.Len() + l.active.Len()
}

// Shutdown stops accepting connections and closes connections that are between requests, until none is left or the
// context ends, whose error it then returns. A new connection has the Request timeout to send its request. Shutdown
// replaces http.Server.Shutdown, which treats a connection as idle when half of a request header has been read from it.
func (l *Limiter) Shutdown(ctx context.Context) error {
	return errors.Join(l.Close(), l.Drain(ctx))
}

// Drain closes connections that are between requests until none is left or the context ends, whose error it then returns.
// New connections are still accepted.
func (l *Limiter) Drain(ctx context.Context) error {
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for l.CloseIdle(l.Request) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// SetState receives the server's connection state changes; use it as the server's ConnState.
func (l *Limiter) SetState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case s == http.StateIdle:
		c.answered = true
		if c.nextStarted {
			c.moveTo(l.active)
			return
		}
		c.moveTo(l.idle)
	case s == http.StateActive && c.group == l.idle: // its bytes were read together with the previous request
		c.moveTo(l.active)
	}
}

// moveTo moves the connection to a list of the limiter, nil to remove it. The caller has the limiter's lock.
func (c *Conn) moveTo(group *list.List) {
	if c.closed {
		return
	}
	if c.group != nil {
		c.group.Remove(c.element)
	}
	if c.group, c.since, c.requestRead, c.nextStarted = group, time.Now(), false, false; group != nil {
		c.element = group.PushBack(c)
		return
	}
	c.closed = true
	select {
	case c.limiter.freed <- struct{}{}:
	default:
	}
}

// evict marks the connection as closed for its reader. The caller has the limiter's lock, and closes the socket without
// it: closing waits for a reader, which may wait for the lock.
func (c *Conn) evict() {
	if !c.answered {
		c.limiter.Unanswered.Add(1)
	}
	c.moveTo(nil)
}

// Read reads from the socket under the limiter's lock, as the limiter checks and evicts connections under it. So a
// connection is only evicted if nothing was read from it since its last answer; otherwise its request is answered.
func (c *Conn) Read(b []byte) (n int, err error) {
	if len(b) == 0 {
		return 0, nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	if waitErr := raw.Read(func(fd uintptr) (done bool) {
		n, err = c.readNow(int(fd), b)
		return err != syscall.EAGAIN
	}); waitErr != nil { // the wait failed: the connection was closed or its deadline passed
		return 0, waitErr
	}
	switch {
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// readNow reads once without blocking.
func (c *Conn) readNow(fd int, b []byte) (n int, err error) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	for err = error(syscall.EINTR); err == syscall.EINTR; {
		n, err = syscall.Read(fd, b)
	}
	switch {
	case err != nil:
		return 0, err
	case n > 0 && c.group == c.limiter.idle:
		c.moveTo(c.limiter.active)
	case n > 0 && c.requestRead: // while it answers, the server reads to notice when the client closes
		c.nextStarted = true
	}
	return n, nil
}

// RequestRead marks that the request has been read completely; from now on it will be answered.
func (c *Conn) RequestRead() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.requestRead = true
}

// Close closes the connection and frees its slot.
func (c *Conn) Close() error {
	c.limiter.mu.Lock()
	c.moveTo(nil)
	c.limiter.mu.Unlock()
	return c.TCPConn.Close()
}

type connKey struct{}

// ConnContext stores the connection in its requests' context, for FromContext. Use it as the server's ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// FromContext returns the connection of a request, nil if no limiter accepted it.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
