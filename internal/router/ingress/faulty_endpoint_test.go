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
	"time"
)

// The tests fail an attempt at each position: after each byte of the request and after each byte of the answer, by a reset, by
// a close or by no further byte, on a new connection and on a reused one.

// faults are the ways in which an endpoint fails an attempt.
var faults = map[string]func(c net.Conn){
	"reset":        reset,
	"close":        func(c net.Conn) { c.Close() },
	"unresponsive": func(c net.Conn) { _, _ = io.Copy(io.Discard, c); c.Close() }, // until the router closes the connection
}

// routeTypes are the types of routes, and whether a request that may have run is retried.
var routeTypes = map[string]struct {
	path      string
	retryable bool
}{
	"non_idempotent":   {"/once/x", false},
	"idempotent":       {"/again/x", true},
	"streaming":        {"/stream/x", false},
	"resumable stream": {"/resumable/x", true},
}

const (
	concurrentClients   = 10                     // of one test
	unresponsiveStep    = 3                      // bytes between two positions at which an endpoint becomes unresponsive
	unresponsiveTimeout = 200 * time.Millisecond // timeout of clients whose endpoint becomes unresponsive
	longTimeout         = 8 * time.Second        // timeout of the others
	goodEvents          = 3
)

// faultyEndpoint fails each connection at another position.
type faultyEndpoint struct {
	address   string
	mutex     sync.Mutex
	next      int
	reached   int // attempts that reached the endpoint before they were failed
	positions int
	serve     func(c net.Conn, reader *bufio.Reader, position int)
	reused    bool // each connection serves one request before the fault
}

func newFaultyEndpoint(t *testing.T, positions int, reused bool, serve func(net.Conn, *bufio.Reader, int)) *faultyEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	e := &faultyEndpoint{address: listener.Addr().String(), positions: positions, serve: serve, reused: reused}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serveConnection(c)
		}
	}()
	return e
}

func (e *faultyEndpoint) serveConnection(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	if e.reused {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		text, _ := io.ReadAll(r.Body)
		echo(c, &receivedRequest{Request: r, text: string(text)})
	}
	e.mutex.Lock()
	position := e.next % e.positions
	e.next++
	e.mutex.Unlock()
	e.serve(c, reader, position)
}

// countReached counts an attempt that reaches the endpoint, before it is failed.
func (e *faultyEndpoint) countReached() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.reached++
}

// outcome is what a client saw of its request.
type outcome struct {
	id       string
	status   int // 0: no complete head
	text     string
	signed   string
	complete bool
	sends    int // attempts at the good endpoint
}

// observe sends a request and returns whatever the client gets.
func (w *testRouter) observe(path, id string, timeout time.Duration) outcome {
	got := outcome{id: id}
	conn, err := net.Dial("tcp4", w.address)
	if err != nil {
		w.t.Errorf("dial the router: got %v, want a connection", err)
		return got
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nApi-Key: %s\r\nX-Deadline-Ms: %d\r\n"+
		"Content-Length: 4\r\n\r\nbody", path, testHost, id, testKey, timeout.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return got
	}
	text, err := io.ReadAll(response.Body)
	got.status, got.text, got.complete = response.StatusCode, string(text), err == nil
	got.signed = response.Header.Get("X-Response-Signature")
	return got
}

// runAllPositions sends one request for each position of the endpoint, many at a time, and calls check with each outcome.
func runAllPositions(t *testing.T, e *faultyEndpoint, path string, timeout time.Duration, check func(o outcome)) {
	t.Helper()
	good := newEndpoint(t, func(c net.Conn, r *receivedRequest) bool {
		if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/resumable/") {
			return streaming(goodEvents, "good", nil)(c, r)
		}
		return reply(c, r, "200 OK", "done body", "X-Response-Signature: good")
	})
	w := newTestRouter(t, &endpoint{address: e.address}, good)
	outcomes := make([]outcome, e.positions)
	turns := make(chan int)
	var clients sync.WaitGroup
	clientCount := concurrentClients
	if e.reused {
		clientCount = 1 // else an attempt may use a connection that has served no request
	}
	for range clientCount {
		clients.Go(func() {
			for i := range turns {
				if e.reused {
					w.observe("/once/first", "first", testTimeout)
				}
				outcomes[i] = w.observe(path, clientID(i), timeout)
			}
		})
	}
	for i := range e.positions {
		turns <- i
	}
	close(turns)
	clients.Wait()
	sends := map[string]int{}
	for _, r := range good.requests() {
		sends[r.Header.Get("X-Request-Id")]++
	}
	promises := 0
	for _, o := range outcomes {
		o.sends = sends[o.id]
		if o.rejectedAsNotRun() { // on a busy machine no attempt came about in time
			promises++
			continue
		}
		check(o)
	}
	if reached := e.calls(); reached+promises > e.positions {
		t.Errorf("got %d of %d attempts at the endpoint and %d clients that were answered \"not run\", want each request counted once", reached, e.positions, promises)
	}
}

func (e *faultyEndpoint) calls() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.reached
}

// served reports the complete answer of the good endpoint, and nothing else.
func (o outcome) served() bool {
	return o.status == 200 && o.complete && o.signed == "good" && o.sends == 1 &&
		(o.text == "done body" || o.text == eventsTo(1, goodEvents))
}

// failed reports the router's own answer for a request that may have run.
func (o outcome) failed() bool {
	return (o.status == 502 || o.status == 504) && o.complete && o.text == "" && o.signed == "" && o.sends == 0
}

// rejectedAsNotRun reports the router's own answer for a request that has not run.
func (o outcome) rejectedAsNotRun() bool {
	return o.status == 503 && o.complete && o.signed == "" && o.sends == 0
}
