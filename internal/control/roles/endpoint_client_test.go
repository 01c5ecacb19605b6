package roles

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"raventrestle/internal/control/placer"
)

func leaseAlwaysHeld(uint64) bool { return true }

func serverAddress(s *httptest.Server) string { return s.Listener.Addr().String() }

func TestOrderRequestHasTheDocumentedFields(t *testing.T) {
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
	outcome, err := NewEndpointClient("node-7", lease, leaseAlwaysHeld).SendOrder(t.Context(), 41, placer.Order{
		Endpoint: "i-1", Address: serverAddress(endpoint), Model: "m", Adapter: "a3", Revision: &revision,
	})
	if err != nil || outcome != placer.Accepted {
		t.Fatalf("outcome %v, error %v, want it accepted", outcome, err)
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
		t.Errorf("X-Expected-Instance is %q, want i-1", expected)
	}
}

func TestResponseStatusDeterminesTheOutcome(t *testing.T) {
	cases := []struct {
		status      int
		notExecuted bool
		want        placer.Outcome
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
		t.Run(fmt.Sprintf("%d, not executed %t", c.status, c.notExecuted), func(t *testing.T) {
			var calls atomic.Int32
			endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				if c.notExecuted {
					w.Header().Set("X-Not-Executed", "1")
				}
				w.Header().Set("Location", "/-/order")
				w.WriteHeader(c.status)
			}))
			defer endpoint.Close()
			client := NewEndpointClient("n", lease, leaseAlwaysHeld)
			got, err := client.SendOrder(t.Context(), 1, placer.Order{Address: serverAddress(endpoint)})
			if err != nil || got != c.want || calls.Load() != 1 {
				t.Errorf("outcome %v, error %v after %d calls, want %v after one", got, err, calls.Load(), c.want)
			}
		})
	}
}

// TestNoOrderIsSentAfterTheLeaseExpired has the lease expire while the connection is being established.
func TestNoOrderIsSentAfterTheLeaseExpired(t *testing.T) {
	var calls atomic.Int32
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer endpoint.Close()
	client := NewEndpointClient("n", lease, func(epoch uint64) bool { return epoch == 2 })
	outcome, err := client.SendOrder(t.Context(), 1, placer.Order{Address: serverAddress(endpoint)})
	if !errors.Is(err, ErrLeaseExpired) || outcome != placer.Unknown || calls.Load() != 0 {
		t.Errorf("outcome %v, error %v, %d calls, want %v, %v and none", outcome, err, calls.Load(), placer.Unknown, ErrLeaseExpired)
	}
	if outcome, err := client.SendOrder(t.Context(), 2, placer.Order{Address: serverAddress(endpoint)}); err != nil ||
		outcome != placer.AlreadyApplied {
		t.Errorf("in the epoch of the lease: outcome %v, error %v, want %v", outcome, err, placer.AlreadyApplied)
	}
}

// closingConn ends the connection as soon as a write has failed, as net/http may do before it reports the write's error.
type closingConn struct{ *leaseGuardedConn }

func (c closingConn) Write(b []byte) (int, error) {
	n, err := c.leaseGuardedConn.Write(b)
	if err != nil {
		_ = c.Close()
		time.Sleep(10 * time.Millisecond) // until the reader of the connection has seen it
	}
	return n, err
}

// A refused write is told as such also where net/http reports the closed connection instead.
func TestExpiredLeaseIsToldWhenTheConnectionClosesFirst(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer endpoint.Close()
	client := NewEndpointClient("n", lease, func(uint64) bool { return false })
	transport := client.client.Transport.(*http.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return closingConn{connection.(*leaseGuardedConn)}, nil
	}
	if _, err := client.SendOrder(t.Context(), 1, placer.Order{Address: serverAddress(endpoint)}); !errors.Is(err, ErrLeaseExpired) {
		t.Errorf("order: got %v, want %v", err, ErrLeaseExpired)
	}
	if _, err := client.Inspect(t.Context(), 1, "e", serverAddress(endpoint)); !errors.Is(err, ErrLeaseExpired) {
		t.Errorf("inspection: got %v, want %v", err, ErrLeaseExpired)
	}
}

func TestOrderWithoutResponseHasUnknownOutcome(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	client := NewEndpointClient("n", lease, leaseAlwaysHeld)
	outcome, err := client.SendOrder(ctx, 1, placer.Order{Address: listener.Addr().String()})
	if err == nil || outcome != placer.Unknown {
		t.Errorf("outcome %v, error %v, want %v with an error", outcome, err, placer.Unknown)
	}
}

// TestOrderTimeoutIsShorterThanTheHandoverDelay checks that an order that is sent right before the lease expires ends
// before the next leader may act.
func TestOrderTimeoutIsShorterThanTheHandoverDelay(t *testing.T) {
	for _, lease := range []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second, time.Minute} {
		got, handover := orderTimeout(lease), lease/handoverDivisor
		if got <= 0 || got >= handover || got > maxOrderTimeout {
			t.Errorf("lease %v: order timeout is %v, want less than %v and at most %v", lease, got, handover, maxOrderTimeout)
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	const short = 300 * time.Millisecond
	began := time.Now()
	client := NewEndpointClient("n", short, leaseAlwaysHeld)
	outcome, err := client.SendOrder(t.Context(), 1, placer.Order{Address: listener.Addr().String()})
	if took := time.Since(began); err == nil || outcome != placer.Unknown || took > short {
		t.Errorf("outcome %v, error %v after %v, want %v with an error after at most %v", outcome, err, took, placer.Unknown, short)
	}
}

// TestKernelDropsUnacknowledgedOrders checks the socket option that makes the kernel drop bytes that were written but not
// acknowledged, even while the process is suspended.
func TestKernelDropsUnacknowledgedOrders(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	transport := newHTTPClient(700*time.Millisecond, leaseAlwaysHeld).Transport.(*http.Transport)
	connection, err := transport.DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	raw, err := connection.(*leaseGuardedConn).Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	timeout := 0
	if err := raw.Control(func(descriptor uintptr) {
		timeout, err = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); err != nil {
		t.Fatal(err)
	}
	if err != nil || timeout != 700 {
		t.Errorf("TCP_USER_TIMEOUT is %d ms, error %v, want 700 ms", timeout, err)
	}
}

func TestInspectionReadsTheReport(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/-/report" {
			t.Errorf("path is %s, want /-/report", r.URL.Path)
		}
		_, _ = w.Write([]byte(`{"stage":"both","models":[{"name":"m","generation":1,"adapters":["a1"]}],` +
			`"busy":true,"seq":2,"queued":1,"running":12,"kv_used":41000,"kv_total":90000,"handles":0}`))
	}))
	defer endpoint.Close()
	inspection, err := NewEndpointClient("n", lease, leaseAlwaysHeld).Inspect(t.Context(), 1, "i-1", serverAddress(endpoint))
	if err != nil || inspection.Failed || !inspection.Busy || inspection.Revision != 2 || len(inspection.Models) != 1 ||
		inspection.Models[0].Adapters[0] != "a1" {
		t.Errorf("inspection is %+v, error %v, want it busy at revision 2 with model m and adapter a1", inspection, err)
	}
}
