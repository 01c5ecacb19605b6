package pool

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

func TestRestFor(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"":                     restUnstated,
		"timeout=5":            4 * time.Second,
		"max=100, Timeout=30":  29 * time.Second,
		"timeout=1":            500 * time.Millisecond,
		"timeout=0":            0,
		"timeout=x":            restUnstated,
		"timeout=-1":           restUnstated,
		"timeout=999999999999": restUnstated,
	} {
		if have := RestFor(header); have != want {
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

// rest lets a new connection to the endpoint rest.
func (w *world) rest(id string, rest time.Duration, most int, now time.Time) *Connection {
	w.t.Helper()
	if c := w.Take(id, now); c != nil {
		w.t.Fatal("a connection rests already")
	}
	c := w.dial(id)
	w.Done(id, c, rest, most, now)
	return c
}

func (w *world) dial(id string) *Connection {
	w.t.Helper()
	c, err := w.dialer.Dial(id, w.listener.Addr().String(), time.Now().Add(10*time.Second))
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { c.Conn.Close() })
	return c
}

func closed(c *Connection) bool {
	return errors.Is(c.Conn.SetDeadline(time.Time{}), net.ErrClosed)
}

func TestLastUsedGoesFirst(t *testing.T) {
	w := newWorld(t)
	now := time.Now()
	w.Take("e", now)
	w.Take("e", now)
	first, second := w.dial("e"), w.dial("e")
	w.Done("e", first, time.Minute, 4, now)
	w.Done("e", second, time.Minute, 4, now)
	if w.Take("e", now) != second || w.Take("e", now) != first || w.Take("e", now) != nil {
		t.Error("another order")
	}
}

func TestRestEnds(t *testing.T) {
	w := newWorld(t)
	now := time.Now()
	c := w.rest("e", time.Second, 4, now)
	if w.Take("e", now.Add(time.Second)) != nil || !closed(c) {
		t.Error("rests for longer than it may")
	}
	w.Done("e", nil, 0, 4, now)
	c = w.rest("e", 3*time.Second/2, 4, now)
	w.Sweep(now.Add(sweepInterval))
	if closed(c) {
		t.Error("swept too early")
	}
	w.Sweep(now.Add(2 * sweepInterval))
	if !closed(c) || !w.NextSweep().IsZero() || w.Resting() != 0 || len(w.endpoints) != 0 {
		t.Error("not swept")
	}
}

func TestNoMoreThanAllowed(t *testing.T) {
	w := newWorld(t)
	now := time.Now()
	for range 3 {
		w.Take("e", now)
	}
	c := w.dial("e")
	w.Done("e", c, time.Minute, 2, now) // two others are out
	if !closed(c) {
		t.Error("more connections than allowed")
	}
	c = w.dial("e")
	w.Done("e", c, time.Minute, 2, now)
	if closed(c) {
		t.Error("fewer connections than allowed")
	}
}

func TestDrop(t *testing.T) {
	w := newWorld(t)
	now := time.Now()
	gone, kept := w.rest("gone", time.Minute, 4, now), w.rest("kept", time.Minute, 4, now)
	w.Take("out", now)
	w.Retain(func(id string) bool { return id == "kept" })
	if !closed(gone) || closed(kept) {
		t.Error("the wrong one")
	}
	late := w.dial("out")
	w.Done("out", late, time.Minute, 4, now)
	w.Drop("kept")
	if !closed(kept) {
		t.Error("not dropped")
	}
}

func TestQuiet(t *testing.T) {
	w := newWorld(t)
	c := w.dial("e")
	peer, err := w.listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	if !c.Quiet() {
		t.Error("a new connection is not quiet")
	}
	if _, err := io.WriteString(peer, "x"); err != nil {
		t.Fatal(err)
	}
	if c.Quiet() {
		t.Error("an unasked byte goes unseen")
	}
}
