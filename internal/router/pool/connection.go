// Package pool keeps the connections to endpoints: it opens them, bounds what is read of an answer's head, and keeps
// idle ones between calls.
//
// A Connection is used by one call at a time, a Dialer by any number of goroutines. An Idle table has no lock: its owner
// is the dispatcher's goroutine.
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
	userTimeout       = 3 * time.Second // TCP_USER_TIMEOUT: bytes unacknowledged for so long end the connection
	keepAliveIdle     = 4 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	readerBytes       = 4 << 10
	maxHeadBytes      = 64 << 10 // of one answer
)

// ErrHeadTooLarge says that an endpoint sent more than the head of an answer may have.
var ErrHeadTooLarge = errors.New("head of the answer is too large")

// Connection is a connection to one endpoint. One call at a time uses it.
type Connection struct {
	net.Conn
	Reader   *bufio.Reader
	Endpoint string
	Reused   bool // an earlier call was answered on it

	// OnReadTimeout is called when a read's deadline has passed. The read goes on until the time that it returns; it fails
	// if that is zero, or if OnReadTimeout is nil.
	OnReadTimeout func() time.Time

	sent          sentRequests
	expiresAt     time.Time
	headBytesLeft int // of the answer being read; negative: no limit now
}

// Dialer opens connections to endpoints.
type Dialer struct {
	dialer  net.Dialer
	readers sync.Pool
}

// NewDialer returns a dialer whose connections fail soon when the endpoint's machine is lost.
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
	c := &Connection{Conn: conn, Endpoint: endpoint, headBytesLeft: -1}
	if reader, ok := d.readers.Get().(*bufio.Reader); ok {
		reader.Reset(c)
		c.Reader = reader
	} else {
		c.Reader = bufio.NewReaderSize(c, readerBytes)
	}
	return c, nil
}

// Discard closes a connection and reuses its buffer. No one else may use the connection any more.
func (d *Dialer) Discard(c *Connection) {
	c.Close()
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
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Read reads from the socket; between BeginHead and EndHead, no more than the head of an answer may have.
func (c *Connection) Read(b []byte) (int, error) {
	if c.headBytesLeft == 0 {
		return 0, ErrHeadTooLarge
	}
	if c.headBytesLeft > 0 && len(b) > c.headBytesLeft {
		b = b[:c.headBytesLeft]
	}
	n, err := c.Conn.Read(b)
	for n == 0 && err != nil && c.extendDeadline(err) {
		n, err = c.Conn.Read(b)
	}
	if c.headBytesLeft > 0 {
		c.headBytesLeft -= n
	}
	return n, err
}

// extendDeadline reports whether a read that failed by its deadline goes on, and sets its new deadline.
func (c *Connection) extendDeadline(err error) bool {
	if c.OnReadTimeout == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	until := c.OnReadTimeout()
	return !until.IsZero() && c.SetReadDeadline(until) == nil
}

// BeginHead bounds what Read returns until EndHead, so that an endpoint can't exhaust memory.
func (c *Connection) BeginHead() { c.headBytesLeft = maxHeadBytes }

// EndHead lifts the bound of BeginHead.
func (c *Connection) EndHead() { c.headBytesLeft = -1 }

// Reusable reports whether the endpoint keeps the connection open and has sent nothing unsolicited on it.
func (c *Connection) Reusable() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	open, quiet := sock.Peek(c.Conn)
	return open && quiet
}

// RecordRequest records that a request is being sent on the connection.
func (c *Connection) RecordRequest(requestID string) { c.sent.add(requestID) }

// HasSent reports whether the request was sent on the connection before. It must not be sent on it again: a surplus copy
// of the earlier answer, which may arrive late, has the same id as the answer to come.
func (c *Connection) HasSent(requestID string) bool { return c.sent.contains(requestID) }

// ExpiresAt returns until when an idle connection may be used again.
func (c *Connection) ExpiresAt() time.Time { return c.expiresAt }
