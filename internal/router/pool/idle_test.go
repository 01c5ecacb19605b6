package pool

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

func TestIdleTTLFollowsTheKeepAliveHeader(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"":                     defaultIdleTTL,
		"timeout=5":            4 * time.Second,
		"max=100, Timeout=30":  29 * time.Second,
		"timeout=1":            500 * time.Millisecond,
		"timeout=0":            0,
		"timeout=x":            defaultIdleTTL,
		"timeout=-1":           defaultIdleTTL,
		"timeout=999999999999": defaultIdleTTL,
	} {
		if have := IdleTTL(header); have != want {
			t.Errorf("%q: %v, want %v", header, have, want)
		}
	}
}

// world is a listener with the dialer of a table.
type world struct {
	t        *testing.T
	listener net.Listener
	dialer   *Dialer
	*Idle
}

func newWorld(t *testing.T) *world {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	dialer := NewDialer()
	return &world{t: t, listener: listener, dialer: dialer, Idle: NewIdle(dialer, 100)}
}

// keepIdle leaves a new connection to the endpoint idle.
func (w *world) keepIdle(id string, ttl time.Duration, maxConnections int, now time.Time) *Connection {
	w.t.Helper()
	if c := w.Take(id, now); c != nil {
		w.t.Fatalf("got idle connection %p, want none yet", c)
	}
	c := w.dial(id)
	w.Return(id, c, ttl, maxConnections, now)
	return c
}

func (w *world) dial(id string) *Connection {
	w.t.Helper()
	c, err := w.dialer.Dial(id, w.listener.Addr().String(), time.Now().Add(10*time.Second))
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { c.Close() })
	return c
}

func closed(c *Connection) bool {
	return errors.Is(c.SetDeadline(time.Time{}), net.ErrClosed)
}

func TestTheConnectionUsedLastIsHandedOutFirst(t *testing.T) {
	w := newWorld(t)
	now := time.Now()
	w.Take("e", now)
	w.Take("e", now)
	first, second := w.dial("e"), w.dial("e")
	w.Return("e", first, time.Minute, 4, now)
	w.Return("e", second, time.Minute, 4, now)
	if w.Take("e", now) != second || w.Take("e", now) != first || w.Take("e", now) != nil {
		t.Error("got another order, want the connection used last first, then the other, then none")
	}
}

func TestIdleConnectionsExpire(t *testing.T) {
	w := newWorld(t)
	now := time.Now()
	c := w.keepIdle("e", time.Second, 4, now)
	if w.Take("e", now.Add(time.Second)) != nil || !closed(c) {
		t.Error("got an expired connection or one left open, want it closed")
	}
	w.Return("e", nil, 0, 4, now)
	c = w.keepIdle("e", 3*time.Second/2, 4, now)
	w.Sweep(now.Add(sweepInterval))
	if closed(c) {
		t.Error("got a connection closed before it expired, want it open")
	}
	w.Sweep(now.Add(2 * sweepInterval))
	if !closed(c) || !w.NextSweep().IsZero() || w.Count() != 0 || len(w.endpoints) != 0 {
		t.Error("got an expired connection left after the sweep, want it closed and the table empty")
	}
}

func TestNoMoreConnectionsAreKeptThanAllowed(t *testing.T) {
	w := newWorld(t)
	now := time.Now()
	for range 3 {
		w.Take("e", now)
	}
	c := w.dial("e")
	w.Return("e", c, time.Minute, 2, now) // two others are in use
	if !closed(c) {
		t.Error("got a third connection kept, want it closed: two are in use")
	}
	c = w.dial("e")
	w.Return("e", c, time.Minute, 2, now)
	if closed(c) {
		t.Error("got the second connection closed, want it kept")
	}
}

func TestConnectionsOfARemovedEndpointAreClosed(t *testing.T) {
	w := newWorld(t)
	now := time.Now()
	removed, kept := w.keepIdle("removed", time.Minute, 4, now), w.keepIdle("kept", time.Minute, 4, now)
	w.Take("out", now)
	w.Retain(func(id string) bool { return id == "kept" })
	if !closed(removed) || closed(kept) {
		t.Errorf("got closed %v and %v for the removed and the kept endpoint, want true and false", closed(removed), closed(kept))
	}
	late := w.dial("out")
	w.Return("out", late, time.Minute, 4, now)
	w.Drop("kept")
	if !closed(kept) {
		t.Error("got a connection of a dropped endpoint left open, want it closed")
	}
}

func TestConnectionWithAnUnsolicitedByteIsNotReusable(t *testing.T) {
	w := newWorld(t)
	c := w.dial("e")
	peer, err := w.listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	if !c.Reusable() {
		t.Error("got a new connection not reusable, want it reusable")
	}
	if _, err := io.WriteString(peer, "x"); err != nil {
		t.Fatal(err)
	}
	if c.Reusable() {
		t.Error("got a connection with an unsolicited byte reusable, want it not")
	}
}
