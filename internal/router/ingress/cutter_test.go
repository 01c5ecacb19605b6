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

// Each place in a call at which an endpoint may leave it: after each byte of the request, and after each byte of its
// answer, by a reset, a close or silence, on a new connection and on one that served another call.

// leaving are the ways in which an endpoint leaves a call.
var leaving = map[string]func(c net.Conn){
	"reset":   reset,
	"close":   func(c net.Conn) { c.Close() },
	"silence": func(c net.Conn) { io.Copy(io.Discard, c); c.Close() }, // until the router hangs up
}

// kinds are the types of routes, and whether what was sent may be sent again.
var kinds = map[string]struct {
	path       string
	repeatable bool
}{
	"non_idempotent":   {"/once/x", false},
	"idempotent":       {"/again/x", true},
	"streaming":        {"/stream/x", false},
	"resumable stream": {"/resumable/x", true},
}

const (
	atOnce       = 10                     // clients
	silentStep   = 3                      // bytes between places at which an endpoint falls silent
	silentWithin = 200 * time.Millisecond // what clients of a silent endpoint wait
	ample        = 8 * time.Second        // what the others wait
	goodEvents   = 3
)

// cutter is an endpoint that leaves each connection at a place of its own.
type cutter struct {
	address string
	mutex   sync.Mutex
	next    int
	reached int // calls that were left
	places  int
	serve   func(c net.Conn, reader *bufio.Reader, place int)
	warm    bool // it serves one call of each connection before
}

func newCutter(t *testing.T, places int, warm bool, serve func(net.Conn, *bufio.Reader, int)) *cutter {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	e := &cutter{address: listener.Addr().String(), places: places, serve: serve, warm: warm}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go e.meet(c)
		}
	}()
	return e
}

func (e *cutter) meet(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	if e.warm {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		text, _ := io.ReadAll(r.Body)
		echo(c, &received{Request: r, text: string(text)})
	}
	e.mutex.Lock()
	place := e.next % e.places
	e.next++
	e.mutex.Unlock()
	e.serve(c, reader, place)
}

// left notes that a call has reached the endpoint, before it is left.
func (e *cutter) left() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.reached++
}

// outcome is what a client saw of its request.
type outcome struct {
	id       string
	status   int // 0: no whole head
	text     string
	signed   string
	complete bool
	sends    int // to the good endpoint
}

// look sends a request and takes whatever comes.
func (w *world) look(path, id string, within time.Duration) outcome {
	got := outcome{id: id}
	conn, err := net.Dial("tcp4", w.address)
	if err != nil {
		w.t.Error(err)
		return got
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nApi-Key: %s\r\nX-Deadline-Ms: %d\r\n"+
		"Content-Length: 4\r\n\r\nbody", path, testHost, id, testKey, within.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return got
	}
	text, err := io.ReadAll(response.Body)
	got.status, got.text, got.complete = response.StatusCode, string(text), err == nil
	got.signed = response.Header.Get("X-Response-Signature")
	return got
}

// cuts plays one request for each place of the cutter, many at once, and hands each outcome to check.
func cuts(t *testing.T, e *cutter, path string, within time.Duration, check func(o outcome)) {
	t.Helper()
	good := newEndpoint(t, func(c net.Conn, r *received) bool {
		if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/resumable/") {
			return streaming(goodEvents, "good", nil)(c, r)
		}
		return reply(c, r, "200 OK", "done body", "X-Response-Signature: good")
	})
	w := newWorld(t, &endpoint{address: e.address}, good)
	outcomes := make([]outcome, e.places)
	turns := make(chan int)
	var clients sync.WaitGroup
	many := atOnce
	if e.warm {
		many = 1 // else its call may go on a connection without an earlier one
	}
	for range many {
		clients.Go(func() {
			for i := range turns {
				if e.warm {
					w.look("/once/warm", "warm", patience)
				}
				outcomes[i] = w.look(path, clientID(i), within)
			}
		})
	}
	for i := range e.places {
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
		if o.promised() { // on a busy machine no call came about in time
			promises++
			continue
		}
		check(o)
	}
	if reached := e.calls(); reached+promises > e.places {
		t.Errorf("%d of %d calls reached the endpoint, %d clients were told that theirs did not", reached, e.places, promises)
	}
}

func (e *cutter) calls() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.reached
}

// served: the good endpoint's answer, whole, and nothing else.
func (o outcome) served() bool {
	return o.status == 200 && o.complete && o.signed == "good" && o.sends == 1 &&
		(o.text == "done body" || o.text == eventsTo(1, goodEvents))
}

// failed: this side's answer that promises nothing.
func (o outcome) failed() bool {
	return (o.status == 502 || o.status == 504) && o.complete && o.text == "" && o.signed == "" && o.sends == 0
}

// promised: this side's word that nothing has run.
func (o outcome) promised() bool {
	return o.status == 503 && o.complete && o.signed == "" && o.sends == 0
}
