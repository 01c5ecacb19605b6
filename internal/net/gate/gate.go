// Package gate keeps the connections of a listener to a number, so that none of those who say nothing
// shuts out others.
package gate

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

// Gate keeps the connections that are open to a number. Where one too many comes, another makes room
// for it: the one between requests that has said nothing for longest, else one whose request has been
// on its way for longer than its caller waits. None with a request that is read gives way.
type Gate struct {
	net.Listener
	Limits
	// Unanswered counts the connections that the gate closed with no request on them ever answered.
	Unanswered atomic.Int64
	most       int
	mu         sync.Mutex
	quiet      *list.List // connections between requests, the longest silent first
	busy       *list.List // those that have begun a request, in that order
	change     chan struct{}
	closed     context.Context
	close      context.CancelFunc
}

const fullPause = 10 * time.Millisecond // before another look for room

// Limits say how long a connection is left alone where another wants its room.
type Limits struct {
	Quiet time.Duration // with nothing said since it came, or since its last answer
	Busy  time.Duration // with a request that has not come whole: its caller waits no longer
}

// New returns the gate of a listener. Its SetState is the server's ConnState.
func New(l net.Listener, most int, limits Limits) *Gate {
	g := &Gate{Listener: l, Limits: limits, most: most, quiet: list.New(), busy: list.New(), change: make(chan struct{}, 1)}
	g.closed, g.close = context.WithCancel(context.Background())
	return g
}

// Close lets in no more.
func (g *Gate) Close() error {
	g.close()
	return g.Listener.Close()
}

// Conn is a connection that has come through the gate; the gate's lock holds its state.
type Conn struct {
	*net.TCPConn
	gate   *Gate
	in     *list.List // of the gate, nil once closed
	at     *list.Element
	since  time.Time // in that list
	read   bool      // the request has come whole
	ahead  bool      // and some of the next one after it
	served bool      // an earlier request had its answer
	closed bool
}

// Accept lets in the next connection, once there is room.
func (g *Gate) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, err
	}
	for !g.room() {
		select {
		case <-g.change:
			continue
		case <-time.After(fullPause):
			continue
		case <-g.closed.Done(): // it is let in all the same: its request may be on it
		}
		break
	}
	cc := &Conn{TCPConn: tcp, gate: g}
	g.mu.Lock()
	defer g.mu.Unlock()
	cc.move(g.quiet)
	return cc, nil
}

// room says whether another connection may be let in, and closes one for it if need be.
func (g *Gate) room() bool {
	c, ok := g.makeRoom()
	if c != nil {
		c.TCPConn.Close()
	}
	return ok
}

func (g *Gate) makeRoom() (gone *Conn, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.quiet.Len()+g.busy.Len() < g.most {
		return nil, true
	}
	for e := g.quiet.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		if time.Since(c.since) < g.Quiet {
			break // as those after it
		}
		if _, quiet := sock.Look(c.TCPConn); quiet {
			c.shut()
			return c, true
		}
	}
	for e := g.busy.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); !c.read && time.Since(c.since) > g.Busy {
			c.shut()
			return c, true
		}
	}
	return nil, false
}

// Dismiss closes the connections that are between requests, and says how many are left. One on which no request has
// come yet is given so long from its beginning: closed before, it would count as a request without an answer. One that
// has bytes to be read is left: its request gets its answer, and the connection goes behind that.
func (g *Gate) Dismiss(fresh time.Duration) (left int) {
	gone, left := g.dismiss(fresh)
	for _, c := range gone {
		c.TCPConn.Close()
	}
	return left
}

func (g *Gate) dismiss(fresh time.Duration) (gone []*Conn, left int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for e := g.quiet.Front(); e != nil; {
		c := e.Value.(*Conn)
		e = e.Next()
		if !c.served && time.Since(c.since) < fresh {
			continue
		}
		if _, quiet := sock.Look(c.TCPConn); quiet {
			c.shut()
			gone = append(gone, c)
		}
	}
	return gone, g.quiet.Len() + g.busy.Len()
}

// End lets in no more and closes what is between requests until nothing is left, or the context's error says that its time
// is up; new ones have the time of a request that has not come whole. It stands in place of the server's Shutdown, which closes as idle what has half a head of a request read off it.
func (g *Gate) End(ctx context.Context) error {
	return errors.Join(g.Close(), g.Empty(ctx))
}

// Empty closes what is between requests until nothing is left, or the context's error says that its time is up. New ones
// are let in all the while.
func (g *Gate) Empty(ctx context.Context) error {
	look := time.NewTicker(fullPause)
	defer look.Stop()
	for g.Dismiss(g.Busy) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-look.C:
		}
	}
	return nil
}

// SetState hears from the server when a connection is between requests again, or is not.
func (g *Gate) SetState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case s == http.StateIdle:
		c.served = true
		if c.ahead {
			c.move(g.busy)
			return
		}
		c.move(g.quiet)
	case s == http.StateActive && c.in == g.quiet: // its bytes came along with the request before
		c.move(g.busy)
	}
}

// move puts the connection into a list of the gate, nil for none, under its lock.
func (c *Conn) move(to *list.List) {
	if c.closed {
		return
	}
	if c.in != nil {
		c.in.Remove(c.at)
	}
	if c.in, c.since, c.read, c.ahead = to, time.Now(), false, false; to != nil {
		c.at = to.PushBack(c)
		return
	}
	c.closed = true
	select {
	case c.gate.change <- struct{}{}:
	default:
	}
}

// shut ends the connection for its reader, under the gate's lock. Its socket is closed without the lock: closing waits for
// a reader, and that one for the lock.
func (c *Conn) shut() {
	if !c.served {
		c.gate.Unanswered.Add(1)
	}
	c.move(nil)
}

// Read takes what has come off the socket under the gate's lock, as the gate looks and closes under it: a connection
// is closed with nothing read off it since its last answer, or its request is answered.
func (c *Conn) Read(b []byte) (n int, err error) {
	if len(b) == 0 {
		return 0, nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	if failed := raw.Read(func(fd uintptr) (done bool) {
		n, err = c.take(int(fd), b)
		return err != syscall.EAGAIN
	}); failed != nil { // of waiting: closed, or its deadline
		return 0, failed
	}
	switch {
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// take is one read that does not wait.
func (c *Conn) take(fd int, b []byte) (n int, err error) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	for err = error(syscall.EINTR); err == syscall.EINTR; {
		n, err = syscall.Read(fd, b)
	}
	switch {
	case err != nil:
		return 0, err
	case n > 0 && c.in == c.gate.quiet:
		c.move(c.gate.busy)
	case n > 0 && c.read: // the server looks for the client's end while the request before is answered
		c.ahead = true
	}
	return n, nil
}

// Whole marks that the request has come whole: from now on it gets its answer.
func (c *Conn) Whole() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.read = true
}

func (c *Conn) Close() error {
	c.gate.mu.Lock()
	c.move(nil)
	c.gate.mu.Unlock()
	return c.TCPConn.Close()
}

type connKey struct{}

// ConnContext is for the http.Server: requests then know their connection, see Of.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Of is the connection that a request came on, nil if it came through no gate.
func Of(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
