package roles

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"raventrestle/internal/control/placer"
)

func always(uint64) bool { return true }

func serverAddress(s *httptest.Server) string { return s.Listener.Addr().String() }

func TestOrderOnTheWire(t *testing.T) {
	var body map[string]any
	var expected string
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		expected = r.Header.Get("X-Expected-Instance")
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			t.Error(err)
		}
		w.WriteHeader(http.StatusAccepted)
	}))
	defer endpoint.Close()
	revision := uint64(2)
	outcome, err := NewEndpointClient("node-7", lease, always).SendOrder(t.Context(), 41, placer.Order{
		Endpoint: "i-1", Address: serverAddress(endpoint), Model: "m", Adapter: "a3", Revision: &revision,
	})
	if err != nil || outcome != placer.Accepted {
		t.Fatalf("%v, %v", outcome, err)
	}
	want := map[string]any{
		"operation": "model_load", "model": "m", "adapter": "a3", "if_revision": 2.0,
		"holder": "node-7", "fence_token": 41.0,
	}
	for key, value := range want {
		if body[key] != value {
			t.Errorf("%s is %v, want %v", key, body[key], value)
		}
	}
	if expected != "i-1" {
		t.Errorf("expected instance %q", expected)
	}
}

func TestOutcomes(t *testing.T) {
	cases := []struct {
		status  int
		notRun  bool
		outcome placer.Outcome
	}{
		{http.StatusAccepted, false, placer.Accepted},
		{http.StatusOK, false, placer.AlreadyApplied},
		{http.StatusConflict, false, placer.Busy},
		{http.StatusServiceUnavailable, true, placer.Busy},
		{http.StatusServiceUnavailable, false, placer.Unknown},
		{http.StatusMisdirectedRequest, false, placer.Invalid},
		{http.StatusPreconditionFailed, false, placer.Invalid},
		{http.StatusTemporaryRedirect, false, placer.Unknown},
	}
	for _, c := range cases {
		var calls atomic.Int32
		endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls.Add(1)
			if c.notRun {
				w.Header().Set("X-Not-Executed", "1")
			}
			w.Header().Set("Location", "/-/order")
			w.WriteHeader(c.status)
		}))
		outcome, err := NewEndpointClient("n", lease, always).SendOrder(t.Context(), 1, placer.Order{Address: serverAddress(endpoint)})
		endpoint.Close()
		if err != nil || outcome != c.outcome || calls.Load() != 1 {
			t.Errorf("%d: %v, %v, %d calls", c.status, outcome, err, calls.Load())
		}
	}
}

// TestNoOrderLeavesAfterTheLease has the lease end while the connection is made.
func TestNoOrderLeavesAfterTheLease(t *testing.T) {
	var calls atomic.Int32
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer endpoint.Close()
	sender := NewEndpointClient("n", lease, func(epoch uint64) bool { return epoch == 2 })
	outcome, err := sender.SendOrder(t.Context(), 1, placer.Order{Address: serverAddress(endpoint)})
	if !errors.Is(err, ErrLeaseExpired) || outcome != placer.Unknown || calls.Load() != 0 {
		t.Errorf("%v, %v, %d calls", outcome, err, calls.Load())
	}
	if outcome, err := sender.SendOrder(t.Context(), 2, placer.Order{Address: serverAddress(endpoint)}); err != nil ||
		outcome != placer.AlreadyApplied {
		t.Errorf("in the epoch of the lease: %v, %v", outcome, err)
	}
}

func TestOrderWithoutAnswerIsUnknown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	outcome, err := NewEndpointClient("n", lease, always).SendOrder(ctx, 1, placer.Order{Address: listener.Addr().String()})
	if err == nil || outcome != placer.Unknown {
		t.Errorf("%v, %v", outcome, err)
	}
}

// An order that began right before the lease ended is over before the next holder may act.
func TestOrderEndsWithinThePause(t *testing.T) {
	for _, lease := range []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second, time.Minute} {
		if within := orderTime(lease); within <= 0 || within >= lease/handoverPart || within > mostOrderTime {
			t.Errorf("lease %v: an order may take %v", lease, within)
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	const short = 300 * time.Millisecond
	began := time.Now()
	outcome, err := NewEndpointClient("n", short, always).SendOrder(t.Context(), 1, placer.Order{Address: listener.Addr().String()})
	if took := time.Since(began); err == nil || outcome != placer.Unknown || took > short {
		t.Errorf("%v, %v after %v", outcome, err, took)
	}
}

// What was written and is not acknowledged is given up by the kernel, also while the process stands still.
func TestUnansweredOrderIsGivenUpByTheKernel(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	transport := newClient(700*time.Millisecond, always).Transport.(*http.Transport)
	connection, err := transport.DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	raw, err := connection.(*guarded).Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	within := 0
	if err := raw.Control(func(descriptor uintptr) {
		within, err = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); err != nil {
		t.Fatal(err)
	}
	if err != nil || within != 700 {
		t.Errorf("%d ms, %v", within, err)
	}
}

func TestLook(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/-/report" {
			t.Errorf("path %s", r.URL.Path)
		}
		_, _ = w.Write([]byte(`{"stage":"both","models":[{"name":"m","generation":1,"adapters":["a1"]}],` +
			`"busy":true,"seq":2,"queued":1,"running":12,"kv_used":41000,"kv_total":90000,"handles":0}`))
	}))
	defer endpoint.Close()
	look, err := NewEndpointClient("n", lease, always).Inspect(t.Context(), 1, "i-1", serverAddress(endpoint))
	if err != nil || look.Failed || !look.Busy || look.Revision != 2 || len(look.Models) != 1 ||
		look.Models[0].Adapters[0] != "a1" {
		t.Errorf("%+v, %v", look, err)
	}
}
