package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"raventrestle/internal/router/dispatch"
)

// longBody is larger than the buffers of a connection.
const longBody = 12 << 20

// maxWait bounds the time of a request that does not have to wait for a long body.
const maxWait = 2 * time.Second

// earlyEndpoint answers the first request on each connection once it has read the head. It reads on when goOn is closed,
// and sends what it reads to rest.
type earlyEndpoint struct {
	address string
	goOn    chan struct{}
	rest    chan []byte // what came of the body and behind it
}

func newEarlyEndpoint(t *testing.T, answer func(c net.Conn, id string), leaves bool) *earlyEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	e := &earlyEndpoint{address: listener.Addr().String(), goOn: make(chan struct{}), rest: make(chan []byte, 10)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				answer(c, r.Header.Get("X-Request-Id"))
				if leaves {
					reset(c)
					return
				}
				<-e.goOn
				rest, _ := io.ReadAll(reader)
				e.rest <- rest
			}()
		}
	}()
	return e
}

func newLongBodyRouter(t *testing.T, endpoints ...*endpoint) *testRouter {
	t.Helper()
	w := newTestRouter(t, endpoints...)
	view := testView()
	view.Limits.MaxBodyBytes = 2 * longBody
	w.view.Store(view)
	w.handler.bodyMemory.maxBytes = 8 * longBody
	return w
}

// An endpoint may answer before it has read a long body, and read on later: it gets the rest of that body or the end of the
// connection, never another request. The answer counts at once.
func TestEndpointAnswersBeforeItHasReadTheBody(t *testing.T) {
	body := strings.Repeat("x", longBody)
	for name, c := range map[string]struct {
		answer func(c net.Conn, id string)
		status int
		text   string
		result dispatch.Result
	}{
		"success": {func(c net.Conn, id string) {
			_, _ = io.WriteString(c, answerText("200 OK", id, "early", signedLine, "Content-Length: 5"))
		}, 200, "early", dispatch.Succeeded},
		"failure": {func(c net.Conn, id string) {
			_, _ = io.WriteString(c, answerText("413 Too Large", id, "", signedLine, "Content-Length: 0"))
		}, 413, "", dispatch.Succeeded},
		"rejection": {func(c net.Conn, id string) {
			_, _ = io.WriteString(c, answerText("503 Full", id, "", "X-Not-Executed: 1", "Content-Length: 0"))
		}, 200, "done", dispatch.Rejected},
	} {
		t.Run(name, func(t *testing.T) {
			early := newEarlyEndpoint(t, c.answer, false)
			second := newEndpoint(t, func(c net.Conn, r *receivedRequest) bool {
				if r.text != body && r.text != "another" {
					t.Errorf("got %d bytes at the second endpoint, want the client's body", len(r.text))
				}
				return success(c, r, "done")
			})
			w := newLongBodyRouter(t, &endpoint{address: early.address}, second)
			client := w.client()
			began := time.Now()
			client.send(request("POST", "/once/x", "r1", body))
			if got := client.receive(); got.StatusCode != c.status || got.text != c.text {
				t.Errorf("got %v %q, want %d %q", got.Response, got.text, c.status, c.text)
			}
			if after := time.Since(began); after > maxWait {
				t.Errorf("got the answer after %v, want it before %v", after, maxWait)
			}
			if have := w.decider.results(t, 1); have[0] != c.result {
				t.Errorf("got results %v, want %v first", have, c.result)
			}
			began = time.Now()
			if got := w.ask(request("POST", "/once/x", "r2", "another")); got.StatusCode != c.status || got.text != c.text {
				t.Errorf("next request: got %v %q, want %d %q", got.Response, got.text, c.status, c.text)
			}
			if after := time.Since(began); after > maxWait {
				t.Errorf("next request: got the answer after %v, want it before %v: it must not wait for the long body", after, maxWait)
			}
			close(early.goOn)
			if rest := <-early.rest; len(bytes.TrimLeft(rest, "x")) > 0 { // the body, on a connection that has ended
				t.Errorf("got %.60q behind the body, want nothing", bytes.TrimLeft(rest, "x"))
			}
		})
	}
}

// An endpoint that resets the connection behind its early answer: the client gets that answer or a 502.
func TestEndpointResetsConnectionAfterAnEarlyAnswer(t *testing.T) {
	body := strings.Repeat("x", longBody)
	e := newEarlyEndpoint(t, func(c net.Conn, id string) {
		_, _ = io.WriteString(c, answerText("500 Failed", id, "why", signedLine, "Content-Length: 3"))
	}, true)
	w := newLongBodyRouter(t, &endpoint{address: e.address}, newEndpoint(t, echo))
	for i := range 5 {
		got := w.ask(request("POST", "/once/x", fmt.Sprint("r", i), body))
		if got.StatusCode != http.StatusBadGateway && (got.StatusCode != http.StatusInternalServerError || got.text != "why") {
			t.Errorf("got %v %q, want 502 or the endpoint's 500", got.Response, got.text)
		}
	}
}

// A client that leaves while a long body is being sent ends the attempt, and no other endpoint is tried.
func TestClientLeavesWhileItsBodyIsSentToTheEndpoint(t *testing.T) {
	body := strings.Repeat("x", longBody)
	reached := make(chan struct{})
	e := newEarlyEndpoint(t, func(net.Conn, string) { close(reached) }, false)
	second := newEndpoint(t, echo)
	w := newLongBodyRouter(t, &endpoint{address: e.address}, second)
	client := w.client()
	client.send(request("POST", "/again/x", "r1", body))
	<-reached
	client.Close()
	left := time.Now()
	if have := w.decider.results(t, 1); time.Since(left) > maxWait || have[0] != dispatch.Canceled || len(second.requests()) > 0 {
		t.Errorf("got results %v after %v and %d further attempts, want canceled before %v and none", have, time.Since(left), len(second.requests()), maxWait)
	}
	close(e.goOn)
	if rest := <-e.rest; len(rest) >= longBody {
		t.Errorf("got %d bytes at the endpoint, want less than the body", len(rest))
	}
}
