// Package pool holds the connections to endpoints: how one is opened, what is known of it, and the table of those
// that rest between calls. The table has no lock; its owner is the dispatcher's goroutine.
package pool

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"raventrestle/internal/net/sock"
)

const (
	dialTimeout       = 400 * time.Millisecond
	unansweredBytes   = 3 * time.Second // written and not acknowledged by the endpoint's machine for so long: it is gone
	keepAliveIdle     = 4 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	readerBytes       = 4 << 10
	mostHeadBytes     = 64 << 10 // of one answer
)

// ErrHeadTooLarge says that an endpoint sent more than the head of an answer may have.
var ErrHeadTooLarge = errors.New("head of the answer is too large")

// Connection is one connection to an endpoint. One call at a time uses it.
type Connection struct {
	net.Conn
	Reader   *bufio.Reader
	Endpoint string
	Reused   bool // an earlier call was answered on it

	// OnSilence is asked when the deadline of a read has passed, for another one; the read goes on. Where it is nil or
	// returns the zero time, the read fails.
	OnSilence func() time.Time

	restUntil time.Time
	headLeft  int // bytes that the head of the answer may still take, negative: no limit now
}

// Dialer opens connections to endpoints.
type Dialer struct {
	dialer  net.Dialer
	readers sync.Pool
}

// NewDialer returns a dialer.
func NewDialer() *Dialer {
	return &Dialer{
		dialer: net.Dialer{
			Timeout: dialTimeout,
			Control: setUserTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     keepAliveIdle,
				Interval: keepAliveInterval,
				Count:    keepAliveCount,
			},
		},
	}
}

// Dial opens a connection to an endpoint, before the deadline and within the dial timeout.
func (d *Dialer) Dial(endpoint, address string, deadline time.Time) (*Connection, error) {
	dialer := d.dialer
	dialer.Deadline = deadline
	conn, err := dialer.Dial("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("dial endpoint %s at %s: %w", endpoint, address, err)
	}
	c := &Connection{Conn: conn, Endpoint: endpoint, headLeft: -1}
	if reader, ok := d.readers.Get().(*bufio.Reader); ok {
		reader.Reset(c)
		c.Reader = reader
	} else {
		c.Reader = bufio.NewReaderSize(c, readerBytes)
	}
	return c, nil
}

// Release closes a connection for good and takes its buffer back. The caller is the only one that still uses it.
func (d *Dialer) Release(c *Connection) {
	c.Conn.Close()
	if c.Reader == nil {
		return
	}
	c.Reader.Reset(nil)
	d.readers.Put(c.Reader)
	c.Reader = nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unansweredBytes.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Read reads from the socket; while the head of an answer is read, only as much as a head may have.
func (c *Connection) Read(b []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, ErrHeadTooLarge
	}
	if c.headLeft > 0 && len(b) > c.headLeft {
		b = b[:c.headLeft]
	}
	n, err := c.Conn.Read(b)
	for n == 0 && err != nil && c.waitsOn(err) {
		n, err = c.Conn.Read(b)
	}
	if c.headLeft > 0 {
		c.headLeft -= n
	}
	return n, err
}

// waitsOn says whether a read whose deadline has passed is to go on, and sets its new deadline.
func (c *Connection) waitsOn(err error) bool {
	if c.OnSilence == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	until := c.OnSilence()
	return !until.IsZero() && c.Conn.SetReadDeadline(until) == nil
}

// BeginHead bounds what is read until EndHead.
func (c *Connection) BeginHead() { c.headLeft = mostHeadBytes }

// EndHead lifts the bound of BeginHead.
func (c *Connection) EndHead() { c.headLeft = -1 }

// Quiet says whether the endpoint keeps the connection open and nothing unasked has come on it.
func (c *Connection) Quiet() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	open, quiet := sock.Look(c.Conn)
	return open && quiet
}

// RestUntil is until when a connection that rests may be used again.
func (c *Connection) RestUntil() time.Time { return c.restUntil }
