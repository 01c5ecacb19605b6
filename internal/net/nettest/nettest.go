// Package nettest provides what tests over loopback sockets share, mainly scripted HTTP endpoints.
package nettest

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// Timeout is how long a test waits for an event before it fails.
const Timeout = 10 * time.Second

// Log discards its records.
var Log = slog.New(slog.DiscardHandler)

// Call is a request that an endpoint received.
type Call struct {
	N      int // number of the request, from 1
	At     time.Time
	Path   string
	Query  string
	Header http.Header
	Body   string
}

// Handler answers a call on the connection c; it returns false to close the connection.
type Handler func(c net.Conn, call Call) bool

// Answer returns a handler that writes the text.
func Answer(text string) Handler {
	return func(c net.Conn, _ Call) bool { _, err := io.WriteString(c, text); return err == nil }
}

// Plain returns an HTTP answer with a code, further header lines and a body.
func Plain(code int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", code, header, len(body), body)
}

// Peer is an endpoint that answers with a Handler. It sends each complete call to Calls.
type Peer struct {
	net.Listener
	Calls       chan Call
	ConnsClosed chan struct{} // receives a value for each connection that the courier closed
	count       atomic.Int64
}

// NewPeer starts an endpoint that runs until the test ends.
func NewPeer(t *testing.T, handler Handler) *Peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Peer{Listener: l, Calls: make(chan Call, 1024), ConnsClosed: make(chan struct{}, 1024)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c, handler)
		}
	}()
	return p
}

func (p *Peer) serve(c net.Conn, handler Handler) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			p.ConnsClosed <- struct{}{}
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		call := Call{int(p.count.Add(1)), time.Now(), req.URL.Path, req.URL.RawQuery, req.Header, string(body)}
		p.Calls <- call
		if !handler(c, call) {
			return
		}
	}
}

// Addr returns the endpoint's address.
func (p *Peer) Addr() string { return p.Listener.Addr().String() }

// Wait returns the next value from the channel. It fails the test if none arrives within Timeout.
func Wait[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Timeout):
		t.Fatalf("no %s within %v", what, Timeout)
		panic("not reached")
	}
}
