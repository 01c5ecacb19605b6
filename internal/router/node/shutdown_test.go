package node

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

// shutdownDocument has a service whose endpoints never answer and one without endpoints, with latency targets that no client
// waits for.
const shutdownDocument = `{"generation":1,"routes":[
	{"name":"once","hostname":"shop.example","path_prefix":"/once/","type":"non_idempotent","timeout_ms":60000,
	 "target_latency_ms":50000,"priority":0,"backend":"silent","max_retries":2,"public":true},
	{"name":"flow","hostname":"shop.example","path_prefix":"/flow/","type":"streaming","timeout_ms":60000,
	 "target_latency_ms":50000,"priority":0,"backend":"silent","max_retries":2,"public":true,"resumable":true,
	 "gap_aim_ms":300},
	{"name":"held","hostname":"shop.example","path_prefix":"/held/","type":"streaming","timeout_ms":60000,
	 "target_latency_ms":50000,"priority":0,"backend":"absent","max_retries":2,"public":true,"gap_aim_ms":300}],
	"services":[{"name":"silent","health_check":"/healthz","max_connections":1000,"protocol":"h1","tls":false},
	{"name":"absent","health_check":"/healthz","max_connections":1000,"protocol":"h1","tls":false}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// Every request that is pending, or at an endpoint without a first byte, is answered before the process exits: a closed
// connection would not tell the client whether it may retry, or that its request may have run.
func TestEveryRequestIsAnsweredBeforeTheExit(t *testing.T) {
	const grace = 1600 * time.Millisecond
	reached := make(chan struct{}, 2)
	release := make(chan struct{})
	defer close(release)
	e := newEndpoint(t, func(c net.Conn, r *http.Request) { reached <- struct{}{}; <-release })
	e.Service = "silent"
	ctl := newFakeControl(t, protocol.Update{
		Sequence: 1, Generation: 1, Document: []byte(shutdownDocument), Snapshot: true,
		GenerationConfirmed: true, RouterCount: 1, Endpoints: []protocol.Endpoint{e},
	})
	r := newRouter(t, ctl)
	r.config.Bounds.GracePeriod = grace
	<-ctl.confirmed
	clients := map[string]net.Conn{}
	for _, path := range []string{"/once/x", "/flow/x", "/held/x"} {
		clients[path] = r.dial()
		fmt.Fprintf(clients[path], "POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r\r\n"+
			"Content-Length: 0\r\n\r\n", path)
	}
	<-reached
	<-reached
	began := time.Now()
	r.signals <- syscall.SIGTERM
	pending := receive(t, clients["/held/x"])
	if pending.StatusCode != http.StatusServiceUnavailable || pending.Header.Get("Retry-After") == "" {
		t.Errorf("pending: got %v, want 503 with Retry-After", pending)
	}
	if after := time.Since(began); after > grace/2 {
		t.Errorf("pending: got the answer after %v, want it before %v", after, grace/2)
	}
	for _, path := range []string{"/once/x", "/flow/x"} {
		if got := receive(t, clients[path]); got.StatusCode != http.StatusBadGateway {
			t.Errorf("%s: got %v, want 502", path, got)
		}
	}
	if err := <-r.ended; err != nil {
		t.Errorf("got error %v, want none", err)
	}
}

// If too few routers of a zone are left, the platform sends clients to those that shut down as well. Their connections are
// accepted for a time after the drain, and each request is answered.
func TestNewConnectionsAreServedAfterTheDrain(t *testing.T) {
	inFlight, goOn := make(chan struct{}), make(chan struct{})
	e := newEndpoint(t, func(c net.Conn, r *http.Request) {
		if r.URL.Path == "/once/slow" {
			close(inFlight)
			<-goOn
		}
		answerOK(c, r)
	})
	ctl := newFakeControl(t, protocol.Update{
		Sequence: 1, Generation: 1, Document: document(1), Snapshot: true, GenerationConfirmed: true,
		RouterCount: 1, Endpoints: []protocol.Endpoint{e},
	})
	r := newRouter(t, ctl)
	<-ctl.confirmed
	idle, slow := r.dial(), r.dial()
	ask(t, idle, "/once/x")
	fmt.Fprint(slow, "POST /once/slow HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r\r\nApi-Key: k1\r\n"+
		"Content-Length: 0\r\n\r\n")
	<-inFlight
	r.signals <- syscall.SIGTERM
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) { // closed by the drain
		t.Fatalf("idle connection: got %v, want its end", err)
	}
	if got := ask(t, r.dial(), "/once/x"); got.StatusCode != http.StatusOK || !got.Close {
		t.Errorf("after the drain: got %v, want 200 and close", got)
	}
	close(goOn)
	if got := receive(t, slow); got.StatusCode != http.StatusOK {
		t.Errorf("in flight: got %v, want 200", got)
	}
	if err := <-r.ended; err != nil {
		t.Errorf("got error %v, want none", err)
	}
	if c, err := net.Dial("tcp4", r.server.Address().String()); err == nil {
		c.Close()
		t.Error("got a connection after the exit, want a closed address")
	}
}

// A stream that arrives long after SIGTERM would be interrupted: it is rejected at once and reaches no endpoint, so that its
// client can retry elsewhere.
func TestStreamThatWouldBeInterruptedIsRejectedAtOnce(t *testing.T) {
	const grace = 1600 * time.Millisecond
	e := newEndpoint(t, func(c net.Conn, r *http.Request) { t.Errorf("%s reached the endpoint, want none to", r.URL.Path) })
	e.Service = "silent"
	ctl := newFakeControl(t, protocol.Update{
		Sequence: 1, Generation: 1, Document: []byte(shutdownDocument), Snapshot: true,
		GenerationConfirmed: true, RouterCount: 1, Endpoints: []protocol.Endpoint{e},
	})
	r := newRouter(t, ctl)
	r.config.Bounds.GracePeriod = grace
	<-ctl.confirmed
	client := r.dial()
	began := time.Now()
	r.signals <- syscall.SIGTERM
	schedule := newShutdownSchedule(grace, r.drainDelay)
	waitUntil(t, "selective admission", func() bool { return time.Since(began) > schedule.selectiveAdmit+schedule.selectiveAdmit/50 })
	asked := time.Now()
	got := ask(t, client, "/flow/x")
	if got.StatusCode != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" || !got.Close {
		t.Errorf("got %v, want 503 with Retry-After and close", got)
	}
	if after := time.Since(asked); after > (schedule.interrupt-schedule.selectiveAdmit)/2 {
		t.Errorf("got the answer after %v, want it before %v", after, (schedule.interrupt-schedule.selectiveAdmit)/2)
	}
	if err := <-r.ended; err != nil {
		t.Errorf("got error %v, want none", err)
	}
}

// The drain comes first, then the rejection, the interruption, the exit and SIGKILL, however short the
// grace period is.
func TestShutdownStepsAreInOrderForAnyGracePeriod(t *testing.T) {
	for _, ms := range []time.Duration{0, 100, 1000, 3000, 8000, 60000} {
		grace := ms * time.Millisecond
		s := newShutdownSchedule(grace, drainDelay)
		if !slices.IsSorted([]time.Duration{0, s.drain, s.stopAccept, s.reject, s.interrupt, s.exit, grace}) || ms > 0 && s.exit == grace {
			t.Errorf("%v: got schedule %+v, want its steps in order", grace, s)
		}
		if !slices.IsSorted([]time.Duration{s.drain, s.selectiveAdmit, min(s.reject, 3*time.Second)}) {
			t.Errorf("%v: got schedule %+v, want its steps in order", grace, s)
		}
	}
	want := shutdownSchedule{
		drain: drainDelay, selectiveAdmit: 2800 * time.Millisecond, stopAccept: 4340 * time.Millisecond,
		reject: 6500 * time.Millisecond, interrupt: 7400 * time.Millisecond, exit: 7600 * time.Millisecond,
	}
	if got := newShutdownSchedule(8*time.Second, drainDelay); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
