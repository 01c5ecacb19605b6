package ingress

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"testing"
)

// surplusAnswers are answers of which an endpoint may send a second copy, late: when the next request comes on the
// connection.
var surplusAnswers = map[string]struct {
	status  string
	headers []string
}{
	"loading": {"503 Service Unavailable", []string{"X-Not-Executed: 1"}},
	"full":    {"429 Too Many Requests", []string{"X-Not-Executed: 1"}},
	"absent":  {"421 Misdirected Request", nil},
	"invalid": {"400 Bad Request", []string{"X-Not-Executed: 1"}},
	"failed":  {"500 Internal Server Error", nil},
	"served":  {"200 OK", []string{"X-Response-Signature: first"}},
}

// recordingConn keeps what is written.
type recordingConn struct {
	net.Conn
	written bytes.Buffer
}

func (c *recordingConn) Write(b []byte) (int, error) {
	c.written.Write(b)
	return c.Conn.Write(b)
}

// surplusBefore serves like the given function, and sends a copy of its last answer on a connection before each next one.
func surplusBefore(serve func(c net.Conn, r *receivedRequest) bool) func(c net.Conn, r *receivedRequest) bool {
	var mutex sync.Mutex
	previous := map[net.Conn][]byte{}
	return func(c net.Conn, r *receivedRequest) bool {
		mutex.Lock()
		defer mutex.Unlock()
		if _, err := c.Write(previous[c]); err != nil {
			return false
		}
		answer := &recordingConn{Conn: c}
		ok := serve(answer, r)
		previous[c] = answer.written.Bytes()
		return ok
	}
}

// surplusEndpoint answers a request's first arrival as told, and any further one with 200. On each connection, an answer
// is followed by a second copy of itself when the next request arrives.
type surplusEndpoint struct {
	status  string
	headers []string

	mutex    sync.Mutex
	arrivals map[string]int // by request id
}

func (s *surplusEndpoint) serve(c net.Conn, r *receivedRequest) bool {
	id := r.Header.Get("X-Request-Id")
	s.mutex.Lock()
	s.arrivals[id]++
	first := s.arrivals[id] == 1
	s.mutex.Unlock()
	if first {
		return reply(c, r, s.status, "first", s.headers...)
	}
	return success(c, r, "second")
}

func newSurplusEndpoint(t *testing.T, status string, headers []string) (*surplusEndpoint, *endpoint) {
	t.Helper()
	s := &surplusEndpoint{status: status, headers: headers, arrivals: map[string]int{}}
	return s, newEndpoint(t, surplusBefore(s.serve))
}

// Guards against review/1: the router sent a request that was turned away again on the same connection, and took a late
// copy of the first answer for the answer to the second attempt, as both have the request's id. The request ran twice.
func TestSurplusAnswerIsNotTakenForThatOfTheNextAttempt(t *testing.T) {
	for name, a := range surplusAnswers {
		if name == "failed" || name == "served" {
			continue // not sent again
		}
		t.Run(name, func(t *testing.T) {
			s, e := newSurplusEndpoint(t, a.status, a.headers)
			w := newTestRouter(t, e, e, e)
			if got := w.ask(request("POST", "/once/x", "r1", "b")); got.text != "second" {
				t.Errorf("got %v %q, want the answer to the second attempt", got.Status, got.text)
			}
			s.mutex.Lock()
			defer s.mutex.Unlock()
			if s.arrivals["r1"] != 2 {
				t.Errorf("the request arrived %d times, want 2: once turned away, once run", s.arrivals["r1"])
			}
		})
	}
}

// The same with a client that sends its request again, under the same id and on a connection of its own.
func TestSurplusAnswerIsNotTakenForThatOfTheClientsNextTry(t *testing.T) {
	for name, a := range surplusAnswers {
		t.Run(name, func(t *testing.T) {
			_, e := newSurplusEndpoint(t, a.status, a.headers)
			w := newTestRouter(t, e)
			w.ask(request("POST", "/once/x", "r1", "b"))
			if got := w.ask(request("POST", "/once/x", "r1", "b")); got.text != "second" {
				t.Errorf("got %v %q, want the answer to the second try", got.Status, got.text)
			}
		})
	}
}

// A stream broke off at another endpoint, and goes on at one that has turned its request away before: a copy of that answer
// is not taken for the rest of the stream.
func TestSurplusAnswerIsNotTakenForTheRestOfAStream(t *testing.T) {
	for name, a := range surplusAnswers {
		if name == "failed" || name == "served" {
			continue // not sent again
		}
		t.Run(name, func(t *testing.T) {
			breaking := newEndpoint(t, streaming(3, "s0", reset))
			resuming := newEndpoint(t, surplusBefore(func(c net.Conn, r *receivedRequest) bool {
				if r.Header.Get("Last-Event-Id") == "" {
					return reply(c, r, a.status, "first", a.headers...)
				}
				return streaming(5, "s1", nil)(c, r)
			}))
			w := newTestRouter(t, resuming, breaking, resuming)
			got := w.ask(request("POST", "/resumable/x", "r1", "b"))
			if got.err != nil || got.text != eventsTo(1, 5) || got.Header.Get("X-Response-Signature") != "s0" {
				t.Errorf("got %v %q %v, want events 1 to 5 with the first signature", got.Response, got.text, got.err)
			}
			if arrived := len(resuming.requests()); arrived != 2 {
				t.Errorf("the second endpoint got %d requests, want 2: one turned away, one resumed", arrived)
			}
		})
	}
}

// The client takes up a stream under the same id: the copy of the whole stream that it got before is not taken for the rest.
func TestSurplusStreamIsNotTakenForTheRest(t *testing.T) {
	for _, path := range []string{"/resumable/x", "/stream/x"} {
		e := newEndpoint(t, surplusBefore(streaming(5, "s0", nil)))
		w := newTestRouter(t, e)
		if got := w.ask(request("POST", path, "r1", "b")); got.text != eventsTo(1, 5) {
			t.Fatalf("%s: got %q, want events 1 to 5", path, got.text)
		}
		if got := w.ask(request("POST", path, "r1", "b", "Last-Event-Id: 2")); got.err != nil || got.text != eventsTo(3, 5) {
			t.Errorf("%s: got %q %v, want events 3 to 5", path, got.text, got.err)
		}
	}
}

// Only a request that is sent again needs another connection: others share one.
func TestRequestsOfOtherClientsReuseTheConnection(t *testing.T) {
	e := newEndpoint(t, echo)
	w := newTestRouter(t, e)
	for i := range 40 {
		if got := w.ask(request("POST", "/once/x", fmt.Sprint("r", i), "b")); got.text != "done b" {
			t.Fatalf("request %d: got %v, want it served", i, got.Response)
		}
	}
	if last := e.requests()[39]; last.connection != 0 {
		t.Errorf("the last of 40 requests came on connection %d, want the first one", last.connection)
	}
}
