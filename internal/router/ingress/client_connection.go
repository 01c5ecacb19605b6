package ingress

import (
	"bytes"
	"context"
	"net"
	"net/http"

	"raventrestle/internal/net/connlimit"
)

// clientConnection is a client's connection. It scans the heads of requests while net/http reads them, for one thing:
// whether a head has a Content-Length. net/http drops a Content-Length beside a Transfer-Encoding, though whoever sends
// both may try to smuggle a request past the router (RFC 9112, section 6.1).
//
// Its methods are called from the connection's goroutine of net/http only.
type clientConnection struct {
	*connlimit.Conn
	contentLengthSeen bool   // in the head that was read last
	inHead            bool   // the blank line that ends the head has not been read
	line              []byte // the head's current line, up to nameBytes of it
}

const nameBytes = len("content-length:")

var contentLengthName = []byte("content-length:")

// Read reads from the socket and scans what it reads of a head.
func (c *clientConnection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.inHead && n > 0 {
		c.scan(b[:n])
	}
	return n, err
}

// expectHead prepares for the head of the next request.
func (c *clientConnection) expectHead() {
	c.contentLengthSeen = false
	c.line = c.line[:0]
	c.inHead = true
}

// scan compares the names of a head's lines until the blank line.
func (c *clientConnection) scan(b []byte) {
	for len(b) > 0 {
		end := bytes.IndexByte(b, '\n')
		piece := b
		if end >= 0 {
			piece = b[:end]
		}
		if missing := nameBytes - len(c.line); missing > 0 {
			c.line = append(c.line, piece[:min(missing, len(piece))]...)
		}
		if end < 0 {
			return
		}
		if len(c.line) == 0 || len(c.line) == 1 && c.line[0] == '\r' {
			c.inHead = false
			return
		}
		if bytes.EqualFold(c.line, contentLengthName) {
			c.contentLengthSeen = true
		}
		c.line = c.line[:0]
		b = b[end+1:]
	}
}

// hadContentLength reports whether the head of the current request had a Content-Length. It is asked for requests with a
// Transfer-Encoding; net/http shows the length of all others.
func (c *clientConnection) hadContentLength() bool { return c != nil && c.contentLengthSeen }

// headUnscanned reports that the head of the current request was read together with the request before it (pipelining),
// and was not scanned.
func (c *clientConnection) headUnscanned() bool { return c == nil || c.inHead }

type clientConnectionKey struct{}

// withClientConnection is the ConnContext of an http.Server: a request's context then leads to its connection.
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
