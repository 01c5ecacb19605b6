package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/net/connlimit"
)

const (
	idleTimeoutMargin = 2 * time.Second // beyond the configured limit, at which a client may still send a request
	headTimeoutMargin = time.Second     // beyond the configured limit; also between the accept and the first request
	headBytesMargin   = 4 << 10         // beyond the configured limit: the Handler rejects a complete head exactly
)

// A client that sends too large a head is still sending when it is answered. Closing over what it sends would reset the
// connection and might take the answer away, so some of it is read.
const (
	discardTimeout  = 500 * time.Millisecond
	maxDiscardBytes = 1 << 20
)

// Limits before the first configuration.
const (
	initialMaxHeaderBytes = 16 << 10
	initialHeaderTimeout  = 3 * time.Second
	initialIdleTimeout    = 15 * time.Second
)

// clientConnection is a client's connection. It bounds the size and the time of each request's head, and the time
// between requests, by the limits of the configuration in force. The limits of an http.Server would be those in force
// when the connection was accepted, as they can't be changed.
//
// A request counts on the limits in force at the first byte of its head. A longer idle limit applies to connections that are
// idle already, a shorter one from the next request on.
//
// Its methods are called from the connection's goroutine of net/http only.
type clientConnection struct {
	*connlimit.Conn
	handler *Handler

	awaitsHead   bool // from the accept or the end of an answer until net/http has read the next request's head
	firstRequest bool
	awaitedSince time.Time
	head         headScanner
	headBeganAt  time.Time // zero before the first byte
	view         *View     // in force at that byte, nil for none
}

// newClientConnection returns a connection on which no request has been read.
func newClientConnection(conn *connlimit.Conn, handler *Handler) *clientConnection {
	c := &clientConnection{Conn: conn, handler: handler, firstRequest: true}
	c.expectHead()
	return c
}

// expectHead prepares for the head of the next request.
func (c *clientConnection) expectHead() {
	c.head.reset()
	c.awaitsHead, c.awaitedSince, c.headBeganAt, c.view = true, time.Now(), time.Time{}, nil
}

// endHead ends the limits of the head: net/http has read it.
func (c *clientConnection) endHead() {
	c.awaitsHead, c.firstRequest = false, false
	_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
}

// Read reads from the socket, what belongs to a head within the limits.
func (c *clientConnection) Read(b []byte) (int, error) {
	if !c.awaitsHead || c.head.complete {
		return c.Conn.Read(b)
	}
	n, err := c.readBeforeDeadline(b)
	if n == 0 {
		return n, err
	}
	if c.headBeganAt.IsZero() {
		c.headBeganAt, c.view = time.Now(), c.handler.view.Load()
	}
	c.head.scan(b[:n])
	if !c.head.complete && c.head.size > limitsOf(c.view).MaxHeaderBytes+headBytesMargin {
		c.rejectHead()
		return 0, io.EOF
	}
	return n, err
}

// readBeforeDeadline reads until the deadline of the head or of the idle time, which a new configuration may extend.
func (c *clientConnection) readBeforeDeadline(b []byte) (int, error) {
	for {
		deadline := c.deadline()
		if err := c.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.deadline().After(deadline) {
			return n, err
		}
	}
}

// deadline returns until when the next byte of a head must come.
func (c *clientConnection) deadline() time.Time {
	if !c.headBeganAt.IsZero() {
		return c.headBeganAt.Add(headTimeout(limitsOf(c.view)))
	}
	limits := limitsOf(c.handler.view.Load())
	if c.firstRequest {
		return c.awaitedSince.Add(headTimeout(limits))
	}
	return c.awaitedSince.Add(time.Duration(limits.IdleTimeoutMS)*time.Millisecond + idleTimeoutMargin)
}

func headTimeout(limits configuration.Limits) time.Duration {
	return time.Duration(limits.HeaderTimeoutMS)*time.Millisecond + headTimeoutMargin
}

// limitsOf returns the limits of a view, or those before the first one.
func limitsOf(view *View) configuration.Limits {
	if view == nil {
		return configuration.Limits{
			MaxHeaderBytes:  initialMaxHeaderBytes,
			HeaderTimeoutMS: initialHeaderTimeout.Milliseconds(),
			IdleTimeoutMS:   initialIdleTimeout.Milliseconds(),
		}
	}
	return view.Limits
}

// rejectHead answers a request whose head is too large before it is complete, and ends the connection. Without a fresh
// configuration it is not known whether the head is too large.
func (c *clientConnection) rejectHead() {
	reason := reasonHeadTooLarge
	if c.view == nil {
		reason = reasonNoConfiguration
	}
	answer := rejectionAnswers[unlessFresh(reason, c.handler.fresh(time.Now()))]
	text := fmt.Sprintf("%d %s", answer.status, http.StatusText(answer.status))
	retryAfter := ""
	if answer.retryAfter > 0 {
		retryAfter = "Retry-After: " + formatSeconds(answer.retryAfter) + "\r\n"
	}
	if err := c.SetDeadline(time.Now().Add(discardTimeout)); err != nil {
		return
	}
	_, err := fmt.Fprintf(c.TCPConn, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sConnection: close\r\n\r\n%s", text, retryAfter, text)
	if err != nil || c.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.TCPConn, maxDiscardBytes) // until the client closes, or the deadline
}

// hadContentLength reports whether the head of the current request had a Content-Length. It is asked for requests with a
// Transfer-Encoding; net/http shows the length of all others.
func (c *clientConnection) hadContentLength() bool { return c != nil && c.head.contentLengthSeen }

// headUnscanned reports that the head of the current request was read together with the request before it (pipelining),
// and was not scanned.
func (c *clientConnection) headUnscanned() bool { return c == nil || !c.head.complete }

// requestLimits returns the limits that the current request may count on, given the view in force now.
func (c *clientConnection) requestLimits(current *View) configuration.Limits {
	if c.headUnscanned() || c.view == nil {
		return current.Limits
	}
	return c.view.Limits
}

type clientConnectionKey struct{}

// withClientConnection is the ConnContext of the http.Server: a request's context then leads to its connection.
func withClientConnection(ctx context.Context, conn net.Conn) context.Context {
	c, ok := conn.(*clientConnection)
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, clientConnectionKey{}, c)
}

// connectionOf returns the connection of a request, nil if a Server of this package did not accept it.
func connectionOf(r *http.Request) *clientConnection {
	c, _ := r.Context().Value(clientConnectionKey{}).(*clientConnection)
	return c
}
