package ingress

import (
	"bytes"
	"context"
	"net"
	"net/http"

	"raventrestle/internal/net/gate"
)

// connection is a client's connection. It watches the heads of requests go by: the server's parser drops a
// Content-Length beside a Transfer-Encoding, and whoever sends both may mean to smuggle a request in.
type connection struct {
	*gate.Conn
	length bool   // the head read last had a Content-Length
	inHead bool   // its end has not come by
	line   []byte // of a head, as far as it has come; of it what tells its name
}

const nameBytes = len("content-length:")

var lengthName = []byte("content-length:")

// Read passes on what comes, after a look at it.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.inHead && n > 0 {
		c.watch(b[:n])
	}
	return n, err
}

// begin expects the head of a request next.
func (c *connection) begin() {
	c.length = false
	c.line = c.line[:0]
	c.inHead = true
}

// watch looks at the names of a head's lines until a blank line ends it.
func (c *connection) watch(b []byte) {
	for len(b) > 0 {
		end := bytes.IndexByte(b, '\n')
		part := b
		if end >= 0 {
			part = b[:end]
		}
		if room := nameBytes - len(c.line); room > 0 {
			c.line = append(c.line, part[:min(room, len(part))]...)
		}
		if end < 0 {
			return
		}
		if len(c.line) == 0 || len(c.line) == 1 && c.line[0] == '\r' {
			c.inHead = false
			return
		}
		if bytes.EqualFold(c.line, lengthName) {
			c.length = true
		}
		c.line = c.line[:0]
		b = b[end+1:]
	}
}

// hadLength says whether the head of the request at hand had a Content-Length. It is for requests in chunks.
func (c *connection) hadLength() bool { return c != nil && c.length }

// unseen says that the head of the request at hand came together with the request before it, and was not watched.
func (c *connection) unseen() bool { return c == nil || c.inHead }

type connectionKey struct{}

// withConnection is for the http.Server: requests then know their connection, and the gate does.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	c, ok := conn.(*connection)
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, connectionKey{}, c)
}

// connectionOf is the connection that a request came on, nil for none of ours.
func connectionOf(r *http.Request) *connection {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	return c
}
