package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// receivedRequest is a request as an endpoint got it.
type receivedRequest struct {
	*http.Request
	text       string // the body
	connection int    // number of the connection at the endpoint, from 0
}

// endpoint is a fake model server. Its script answers a request on the connection, and reports whether the connection
// stays open.
type endpoint struct {
	t       *testing.T
	address string
	script  func(c net.Conn, r *receivedRequest) bool

	mutex       sync.Mutex
	got         []*receivedRequest
	connections int
	open        []net.Conn
	closed      chan int // numbers of the connections that the router closed
}

func newEndpoint(t *testing.T, script func(c net.Conn, r *receivedRequest) bool) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{t: t, address: listener.Addr().String(), script: script, closed: make(chan int, 100)}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			e.mutex.Lock()
			n := e.connections
			e.connections++
			e.open = append(e.open, c)
			e.mutex.Unlock()
			go e.serve(c, n)
		}
	}()
	return e
}

func (e *endpoint) serve(c net.Conn, n int) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			e.closed <- n
			return
		}
		text, err := io.ReadAll(r.Body)
		if err != nil {
			e.closed <- n
			return
		}
		got := &receivedRequest{Request: r, text: string(text), connection: n}
		e.mutex.Lock()
		e.got = append(e.got, got)
		e.mutex.Unlock()
		if !e.script(c, got) {
			return
		}
	}
}

func (e *endpoint) requests() []*receivedRequest {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]*receivedRequest(nil), e.got...)
}

// reset closes a connection so that its peer gets an error instead of the end.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// success answers 200 with a signature and a body.
func success(c net.Conn, r *receivedRequest, body string, more ...string) bool {
	more = append(more, "X-Response-Signature: sig."+r.Header.Get("X-Request-Id"))
	return reply(c, r, "200 OK", body, more...)
}

func reply(c net.Conn, r *receivedRequest, status, body string, more ...string) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\n"+
		"Content-Length: %d\r\n", status, r.Header.Get("X-Request-Id"), len(body))
	for _, line := range more {
		b.WriteString(line + "\r\n")
	}
	b.WriteString("\r\n" + body)
	_, err := io.WriteString(c, b.String())
	return err == nil
}

func echo(c net.Conn, r *receivedRequest) bool { return success(c, r, "done "+r.text) }
