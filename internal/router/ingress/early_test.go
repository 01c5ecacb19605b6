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

// longBody is more than the buffers of a connection hold.
const longBody = 12 << 20

// mostWait is how long a request may take that waits for no body.
const mostWait = 2 * time.Second

// hasty is an endpoint that answers the first request on each connection once it has read the head, and reads on when it
// is told to. What it gets then goes to rest.
type hasty struct {
	address string
	goOn    chan struct{}
	rest    chan []byte // what came of the body, and behind it
}

func newHasty(t *testing.T, answer func(c net.Conn, id string), leaves bool) *hasty {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	e := &hasty{address: listener.Addr().String(), goOn: make(chan struct{}), rest: make(chan []byte, 10)}
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

func newLongWorld(t *testing.T, endpoints ...*endpoint) *world {
	t.Helper()
	w := newWorld(t, endpoints...)
	view := testView()
	view.Limits.MaxBodyBytes = 2 * longBody
	w.view.Store(view)
	w.handler.bodyMemory.maxBytes = 8 * longBody
	return w
}

// An endpoint may answer before it has read a long body, and read on later: what it gets is the rest of that body or the
// end of the connection, never another request. Its answer counts at once.
func TestEndpointAnswersBeforeItHasReadTheBody(t *testing.T) {
	body := strings.Repeat("x", longBody)
	for name, c := range map[string]struct {
		answer func(c net.Conn, id string)
		status int
		text   string
		result dispatch.Result
	}{
		"success": {func(c net.Conn, id string) {
			io.WriteString(c, answerText("200 OK", id, "early", signedLine, "Content-Length: 5"))
		}, 200, "early", dispatch.Succeeded},
		"failure": {func(c net.Conn, id string) {
			io.WriteString(c, answerText("413 Too Large", id, "", signedLine, "Content-Length: 0"))
		}, 413, "", dispatch.Succeeded},
		"refusal": {func(c net.Conn, id string) {
			io.WriteString(c, answerText("503 Full", id, "", "X-Not-Executed: 1", "Content-Length: 0"))
		}, 200, "done", dispatch.Rejected},
	} {
		t.Run(name, func(t *testing.T) {
			early := newHasty(t, c.answer, false)
			second := newEndpoint(t, func(c net.Conn, r *received) bool {
				if r.text != body && r.text != "another" {
					t.Errorf("%d bytes at the second endpoint", len(r.text))
				}
				return success(c, r, "done")
			})
			w := newLongWorld(t, &endpoint{address: early.address}, second)
			client := w.client()
			began := time.Now()
			client.send(request("POST", "/once/x", "r1", body))
			if got := client.receive(); got.StatusCode != c.status || got.text != c.text {
				t.Errorf("%v %q", got.Response, got.text)
			}
			if after := time.Since(began); after > mostWait {
				t.Errorf("after %v", after)
			}
			if have := w.double.results(t, 1); have[0] != c.result {
				t.Errorf("results %v", have)
			}
			began = time.Now()
			if got := w.ask(request("POST", "/once/x", "r2", "another")); got.StatusCode != c.status || got.text != c.text {
				t.Errorf("the next one: %v %q", got.Response, got.text)
			}
			if after := time.Since(began); after > mostWait {
				t.Errorf("the next one after %v: behind the long body", after)
			}
			close(early.goOn)
			if rest := <-early.rest; len(bytes.TrimLeft(rest, "x")) > 0 { // of the connection that has ended
				t.Errorf("where the rest of the body is due, %.60q came", bytes.TrimLeft(rest, "x"))
			}
		})
	}
}

// One that resets the connection behind its early answer: that answer, or none that promises anything.
func TestEndpointResetsBehindAnEarlyAnswer(t *testing.T) {
	body := strings.Repeat("x", longBody)
	e := newHasty(t, func(c net.Conn, id string) {
		io.WriteString(c, answerText("500 Failed", id, "why", signedLine, "Content-Length: 3"))
	}, true)
	w := newLongWorld(t, &endpoint{address: e.address}, newEndpoint(t, echo))
	for i := range 5 {
		got := w.ask(request("POST", "/once/x", fmt.Sprint("r", i), body))
		if got.StatusCode != 502 && (got.StatusCode != 500 || got.text != "why") {
			t.Errorf("%v %q", got.Response, got.text)
		}
	}
}

// A client that leaves while a long body is on its way ends the call, and nobody else is asked.
func TestClientLeavesWhileItsBodyIsWritten(t *testing.T) {
	body := strings.Repeat("x", longBody)
	reached := make(chan struct{})
	e := newHasty(t, func(net.Conn, string) { close(reached) }, false)
	second := newEndpoint(t, echo)
	w := newLongWorld(t, &endpoint{address: e.address}, second)
	client := w.client()
	client.send(request("POST", "/again/x", "r1", body))
	<-reached
	client.Close()
	left := time.Now()
	if have := w.double.results(t, 1); time.Since(left) > mostWait || have[0] != dispatch.Canceled || len(second.requests()) > 0 {
		t.Errorf("results %v after %v, %d further requests", have, time.Since(left), len(second.requests()))
	}
	close(e.goOn)
	if rest := <-e.rest; len(rest) >= longBody {
		t.Error("all of it came")
	}
}
