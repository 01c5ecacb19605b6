// Package nettest has what the stories over loopback sockets share: scripted peers.
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

// Patience is how long a story waits for an event before it fails.
const Patience = 10 * time.Second

// Log drops what is logged.
var Log = slog.New(slog.DiscardHandler)

// Call is one request as it came.
type Call struct {
	N      int // counted from 1
	At     time.Time
	Path   string
	Query  string
	Header http.Header
	Body   string
}

// Script answers a call on the connection itself; false closes it.
type Script func(c net.Conn, call Call) bool

// Answer is a script that writes the text.
func Answer(text string) Script {
	return func(c net.Conn, _ Call) bool { _, err := io.WriteString(c, text); return err == nil }
}

// Plain is an answer with a code, further header lines and a body.
func Plain(code int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", code, header, len(body), body)
}

// Peer is a scripted endpoint; it hands every call that came whole to Calls.
type Peer struct {
	net.Listener
	Calls chan Call
	Ends  chan struct{} // one for each connection that the courier ended
	n     atomic.Int64
}

// NewPeer serves the script until the test ends.
func NewPeer(t *testing.T, script Script) *Peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Peer{Listener: l, Calls: make(chan Call, 1024), Ends: make(chan struct{}, 1024)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c, script)
		}
	}()
	return p
}

func (p *Peer) serve(c net.Conn, script Script) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			p.Ends <- struct{}{}
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		call := Call{int(p.n.Add(1)), time.Now(), req.URL.Path, req.URL.RawQuery, req.Header, string(body)}
		p.Calls <- call
		if !script(c, call) {
			return
		}
	}
}

// Addr is where the peer listens.
func (p *Peer) Addr() string { return p.Listener.Addr().String() }

// Wait is the next thing on the channel.
func Wait[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Patience):
		t.Fatalf("no %s within %v", what, Patience)
		panic("not reached")
	}
}
