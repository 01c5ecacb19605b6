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

// endingDocument has a service whose endpoints say nothing and one without any, with objectives beyond all patience.
const endingDocument = `{"generation":1,"routes":[
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

// Whatever is held, or out without a first byte, when a router ends has its answer before the process is gone: a closed
// connection would leave the client without the word that it may come back, or that its request may have run.
func TestEveryRequestIsAnsweredBeforeTheExit(t *testing.T) {
	const grace = 1600 * time.Millisecond
	reached := make(chan struct{}, 2)
	release := make(chan struct{})
	defer close(release)
	e := model(t, func(c net.Conn, r *http.Request) { reached <- struct{}{}; <-release })
	e.Service = "silent"
	ctl := newControl(t, protocol.Update{
		Sequence: 1, Generation: 1, Document: []byte(endingDocument), Snapshot: true,
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
	held := receive(t, clients["/held/x"])
	if held.StatusCode != http.StatusServiceUnavailable || held.Header.Get("Retry-After") == "" {
		t.Errorf("held: %v", held)
	}
	if after := time.Since(began); after > grace/2 {
		t.Errorf("held for %v", after)
	}
	for _, path := range []string{"/once/x", "/flow/x"} {
		if got := receive(t, clients[path]); got.StatusCode != http.StatusBadGateway {
			t.Errorf("%s: %v", path, got)
		}
	}
	if err := <-r.ended; err != nil {
		t.Error(err)
	}
}

// Where too few routers of a zone are left, the platform sends clients to those that end as well. They are let in for a
// while after the drain, as long as the process lives, and each has its answer.
func TestNewConnectionsAreServedAfterTheDrain(t *testing.T) {
	inWork, goOn := make(chan struct{}), make(chan struct{})
	e := model(t, func(c net.Conn, r *http.Request) {
		if r.URL.Path == "/once/slow" {
			close(inWork)
			<-goOn
		}
		answers(c, r)
	})
	ctl := newControl(t, protocol.Update{
		Sequence: 1, Generation: 1, Document: document(1), Snapshot: true, GenerationConfirmed: true,
		RouterCount: 1, Endpoints: []protocol.Endpoint{e},
	})
	r := newRouter(t, ctl)
	<-ctl.confirmed
	idle, slow := r.dial(), r.dial()
	ask(t, idle, "/once/x")
	fmt.Fprint(slow, "POST /once/slow HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r\r\nApi-Key: k1\r\n"+
		"Content-Length: 0\r\n\r\n")
	<-inWork
	r.signals <- syscall.SIGTERM
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) { // the drain
		t.Fatal(err)
	}
	if got := ask(t, r.dial(), "/once/x"); got.StatusCode != http.StatusOK || !got.Close {
		t.Errorf("after the drain: %v", got)
	}
	close(goOn)
	if got := receive(t, slow); got.StatusCode != http.StatusOK {
		t.Errorf("in work: %v", got)
	}
	if err := <-r.ended; err != nil {
		t.Error(err)
	}
	if c, err := net.Dial("tcp4", r.server.Address().String()); err == nil {
		c.Close()
		t.Error("the address is open after the end")
	}
}

// A stream that comes long after SIGTERM would be cut: it is refused at once, reaches no endpoint, and its client's next
// try goes elsewhere.
func TestStreamThatWouldBeInterruptedIsRejectedAtOnce(t *testing.T) {
	const grace = 1600 * time.Millisecond
	e := model(t, func(c net.Conn, r *http.Request) { t.Errorf("%s reached the endpoint", r.URL.Path) })
	e.Service = "silent"
	ctl := newControl(t, protocol.Update{
		Sequence: 1, Generation: 1, Document: []byte(endingDocument), Snapshot: true,
		GenerationConfirmed: true, RouterCount: 1, Endpoints: []protocol.Endpoint{e},
	})
	r := newRouter(t, ctl)
	r.config.Bounds.GracePeriod = grace
	<-ctl.confirmed
	client := r.dial()
	began := time.Now()
	r.signals <- syscall.SIGTERM
	schedule := newShutdownSchedule(grace, r.drainDelay)
	waitUntil(t, "the choice", func() bool { return time.Since(began) > schedule.selectiveAdmit+schedule.selectiveAdmit/50 })
	asked := time.Now()
	got := ask(t, client, "/flow/x")
	if got.StatusCode != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" || !got.Close {
		t.Errorf("%v", got)
	}
	if after := time.Since(asked); after > (schedule.interrupt-schedule.selectiveAdmit)/2 {
		t.Errorf("refused after %v", after)
	}
	if err := <-r.ended; err != nil {
		t.Error(err)
	}
}

// Refusals come after the drain and before the cut, that before the end, and the end before the kill, however short the
// grace is.
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
