package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"raventrestle/internal/router/dispatch"
)

// At the shutdown, idle connections are closed; a request that is complete, or arriving, is answered first.
func TestShutdownAnswersRequestsAndClosesIdleConnections(t *testing.T) {
	inWork, goOn := make(chan struct{}), make(chan struct{})
	e := newEndpoint(t, func(c net.Conn, r *receivedRequest) bool {
		if r.URL.Path == "/once/slow" {
			close(inWork)
			<-goOn
		}
		return echo(c, r)
	})
	w := newTestRouter(t, e)
	idle, slow, half, halfBody := w.client(), w.client(), w.client(), w.client()
	for _, c := range []*client{idle, half, halfBody} {
		c.send(request("POST", "/once/x", "r1", "b"))
		c.receive()
	}
	text := request("POST", "/once/x", "r2", "body")
	half.send(text[:20])
	halfBody.send(text[:len(text)-1])
	slow.send(request("POST", "/once/slow", "r3", "b"))
	<-inWork
	w.handler.Drain()
	ended := make(chan error, 1)
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
	go func() { ended <- w.server.Shutdown(ctx) }()
	idle.expectClosed()
	half.send(text[20:])
	halfBody.send(text[len(text)-1:])
	for name, c := range map[string]*client{"half": half, "half a body": halfBody} {
		if got := c.receive(); got.text != "done body" || !got.Close {
			t.Errorf("%s: got %v %q, want its answer and close", name, got.Response, got.text)
		}
		c.expectClosed()
	}
	select {
	case err := <-ended:
		t.Fatalf("got the end (%v) with a request in flight, want it answered first", err)
	default:
	}
	close(goOn)
	if got := slow.receive(); got.text != "done b" || !got.Close {
		t.Errorf("got %v %q, want its answer and close", got.Response, got.text)
	}
	if err := <-ended; err != nil {
		t.Errorf("got error %v, want none", err)
	}
}

// The shutdown ends in time: pending requests are rejected with Retry-After, those at an endpoint are answered 502, and a stream
// that has begun breaks off.
func TestShutdownRejectsPendingAndInterruptsAttempts(t *testing.T) {
	reached := make(chan struct{}, 2)
	e := newEndpoint(t, nil)
	watching(e, func(c net.Conn, r *receivedRequest) {
		if strings.HasPrefix(r.URL.Path, "/resumable/") {
			streamHead(c, r, "s")
			chunk(c, event(1))
		}
	}, reached)
	w := newTestRouter(t, e)
	out, flow, pending := w.client(), w.client(), w.client()
	out.send(request("POST", "/again/x", "r1", "b"))
	flow.send(request("POST", "/resumable/x", "r2", "b"))
	<-reached
	<-reached
	w.decider.waitUntil(t, "the first event", func() bool {
		return slices.ContainsFunc(w.decider.inputs, func(i dispatch.Input) bool {
			_, ok := i.(dispatch.FirstByteReceived)
			return ok
		})
	})
	w.decider.mutex.Lock()
	w.decider.keepPending = true
	w.decider.mutex.Unlock()
	pending.send(request("POST", "/once/x", "r3", "b"))
	w.decider.waitUntil(t, "the third request", func() bool { return len(w.decider.requests) == 3 })
	w.handler.Drain()
	w.handler.RejectPending()
	if got := pending.receive(); got.StatusCode != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" || !got.Close {
		t.Errorf("pending: got %v, want 503 with Retry-After and close", got.Response)
	}
	if got := w.ask(request("POST", "/once/x", "r4", "b")); got.StatusCode != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" {
		t.Errorf("new: got %v, want 503 with Retry-After", got.Response)
	}
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer stop()
	if err := w.server.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got error %v, want that the time is over", err)
	}
	w.handler.InterruptAttempts()
	if got := out.receive(); got.StatusCode != http.StatusBadGateway || !got.Close {
		t.Errorf("at an endpoint: got %v, want 502 and close", got.Response)
	}
	if got := flow.receive(); got.text != event(1) || got.err == nil {
		t.Errorf("stream: got %q %v, want one event and an error", got.text, got.err)
	}
	if err := w.server.Shutdown(context.Background()); err != nil {
		t.Errorf("got error %v, want none", err)
	}
	if have := w.decider.results(t, 2); have[0] != dispatch.Canceled || have[1] != dispatch.Canceled {
		t.Errorf("got results %v, want canceled twice", have)
	}
}

// Large bodies share a memory budget, and release what they used.
func TestLargeBodiesShareAMemoryBudget(t *testing.T) {
	memory := &memoryBudget{maxBytes: 100 << 10}
	text := strings.Repeat("x", 80<<10)
	first, err := readAll(strings.NewReader(text), int64(len(text)), 1<<20, memory)
	if err != nil || string(first) != text {
		t.Fatalf("got %d bytes, %v, want all %d", len(first), err, len(text))
	}
	if _, err := readAll(strings.NewReader(text), -1, 1<<20, memory); !errors.Is(err, errNoBodyMemory) {
		t.Errorf("second body: got error %v, want that the budget is used up", err)
	}
	if small, err := readAll(strings.NewReader("small"), 5, 1<<20, memory); err != nil || string(small) != "small" {
		t.Errorf("small body: got %q %v, want it outside the budget", small, err)
	}
	if _, err := readAll(io.MultiReader(strings.NewReader(text[:70<<10]), broken{}), -1, 1<<20, memory); err == nil {
		t.Error("broken body: got no error, want one")
	}
	memory.release(first)
	if taken := memory.used.Load(); taken != 0 {
		t.Errorf("got %d bytes that are still charged, want 0", taken)
	}
	e := newEndpoint(t, echo)
	w := newTestRouter(t, e)
	for i := range 3 {
		w.ask(request("POST", fmt.Sprintf("/%s/x", []string{"once", "nowhere", "again"}[i]), "r", text))
	}
	for deadline := time.Now().Add(testTimeout); w.handler.bodyMemory.used.Load() != 0; runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatalf("got %d bytes that are still charged, want 0", w.handler.bodyMemory.used.Load())
		}
	}
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
