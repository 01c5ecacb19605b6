package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"raventrestle/internal/router/dispatch"
)

// At the end, connections between requests are closed; a request that is read, or half read, has its answer first.
func TestEnd(t *testing.T) {
	inWork, goOn := make(chan struct{}), make(chan struct{})
	e := newEndpoint(t, func(c net.Conn, r *received) bool {
		if r.URL.Path == "/once/slow" {
			close(inWork)
			<-goOn
		}
		return echo(c, r)
	})
	w := newWorld(t, e)
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
	ctx, stop := context.WithTimeout(context.Background(), patience)
	defer stop()
	go func() { ended <- w.server.Shutdown(ctx) }()
	idle.ended()
	half.send(text[20:])
	halfBody.send(text[len(text)-1:])
	for name, c := range map[string]*client{"half": half, "half a body": halfBody} {
		if got := c.receive(); got.text != "done body" || !got.Close {
			t.Errorf("%s: %v %q", name, got.Response, got.text)
		}
		c.ended()
	}
	select {
	case err := <-ended:
		t.Fatalf("ended with a request in work: %v", err)
	default:
	}
	close(goOn)
	if got := slow.receive(); got.text != "done b" || !got.Close {
		t.Errorf("%v %q", got.Response, got.text)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// The end does not wait for longer than it may: what is held is refused with a promise, what is out is answered without
// one, a stream that has begun breaks off.
func TestEndInTime(t *testing.T) {
	reached := make(chan struct{}, 2)
	e := newEndpoint(t, nil)
	watching(e, func(c net.Conn, r *received) {
		if strings.HasPrefix(r.URL.Path, "/resumable/") {
			streamHead(c, r, "s")
			chunk(c, event(1))
		}
	}, reached)
	w := newWorld(t, e)
	out, flow, held := w.client(), w.client(), w.client()
	out.send(request("POST", "/again/x", "r1", "b"))
	flow.send(request("POST", "/resumable/x", "r2", "b"))
	<-reached
	<-reached
	w.double.until(t, "the first event", func() bool {
		return slices.ContainsFunc(w.double.seen, func(i dispatch.Input) bool {
			_, ok := i.(dispatch.FirstByteReceived)
			return ok
		})
	})
	w.double.mutex.Lock()
	w.double.hold = true
	w.double.mutex.Unlock()
	held.send(request("POST", "/once/x", "r3", "b"))
	w.double.until(t, "the held request", func() bool { return len(w.double.requests) == 3 })
	w.handler.Drain()
	w.handler.RejectPending()
	if got := held.receive(); got.StatusCode != 503 || got.Header.Get("Retry-After") == "" || !got.Close {
		t.Errorf("held: %v", got.Response)
	}
	if got := w.ask(request("POST", "/once/x", "r4", "b")); got.StatusCode != 503 || got.Header.Get("Retry-After") == "" {
		t.Errorf("new: %v", got.Response)
	}
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer stop()
	if err := w.server.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Error(err)
	}
	w.handler.InterruptAttempts()
	if got := out.receive(); got.StatusCode != 502 || !got.Close {
		t.Errorf("out: %v", got.Response)
	}
	if got := flow.receive(); got.text != event(1) || got.err == nil {
		t.Errorf("stream: %q %v", got.text, got.err)
	}
	if err := w.server.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
	if have := w.double.results(t, 2); have[0] != dispatch.Canceled || have[1] != dispatch.Canceled {
		t.Errorf("results %v", have)
	}
}

// Large bodies share a bounded memory, and give it back.
func TestRoomForBodies(t *testing.T) {
	memory := &memoryBudget{maxBytes: 100 << 10}
	text := strings.Repeat("x", 80<<10)
	first, err := readAll(strings.NewReader(text), int64(len(text)), 1<<20, memory)
	if err != nil || string(first) != text {
		t.Fatal(err)
	}
	if _, err := readAll(strings.NewReader(text), -1, 1<<20, memory); !errors.Is(err, errNoBodyMemory) {
		t.Errorf("a second body: %v", err)
	}
	if small, err := readAll(strings.NewReader("small"), 5, 1<<20, memory); err != nil || string(small) != "small" {
		t.Errorf("a small body: %q %v", small, err)
	}
	if _, err := readAll(io.MultiReader(strings.NewReader(text[:70<<10]), broken{}), -1, 1<<20, memory); err == nil {
		t.Error("a broken body was read")
	}
	memory.release(first)
	if taken := memory.used.Load(); taken != 0 {
		t.Errorf("%d bytes are not given back", taken)
	}
	e := newEndpoint(t, echo)
	w := newWorld(t, e)
	for i := range 3 {
		w.ask(request("POST", fmt.Sprintf("/%s/x", []string{"once", "nowhere", "again"}[i]), "r", text))
	}
	for deadline := time.Now().Add(patience); w.handler.bodyMemory.used.Load() != 0; runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are not given back", w.handler.bodyMemory.used.Load())
		}
	}
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
