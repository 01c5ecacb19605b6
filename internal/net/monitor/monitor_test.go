package monitor

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"raventrestle/internal/net/instance"
	"raventrestle/internal/net/nettest"
	"raventrestle/internal/stats"
)

func startServer(t *testing.T, report func() instance.Report) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	metrics := &stats.Stats{}
	metrics.Class("c").Completed.Store(812)
	s, err := Serve(addr, report, metrics, nettest.Log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return addr
}

func request(t *testing.T, addr, method, path string) (code int, body string, took time.Duration) {
	t.Helper()
	start := time.Now()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(start.Add(nettest.Timeout))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: x\r\n\r\n", method, path)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(res.Body)
	if err != nil || !res.Close {
		t.Fatalf("reading the answer: error %v, close %v", err, res.Close)
	}
	return res.StatusCode, string(text), time.Since(start)
}

// Each connection gets one answer. Readiness is as reported by the instance, and other requests get their error status.
func TestAnswers(t *testing.T) {
	ready := instance.Report{State: "ready", Ready: true}
	addr := startServer(t, func() instance.Report { return ready })
	for _, c := range []struct {
		method, path string
		code         int
		says         string
	}{
		{"GET", "/ready", 200, "ready"},
		{"GET", "/metrics", 200, "app.downstream_requests.c.completed=812\n"},
		{"GET", "/", 404, ""},
		{"GET", "/metrics/x", 404, ""},
		{"POST", "/ready", 405, ""},
		{"DELETE", "/metrics", 405, ""},
	} {
		if code, text, _ := request(t, addr, c.method, c.path); code != c.code || !strings.Contains(text, c.says) {
			t.Errorf("%s %s: %d %q", c.method, c.path, code, text)
		}
	}
	ready = instance.Report{State: "draining", Reasons: []string{"the process ends"}}
	if code, text, _ := request(t, addr, "GET", "/ready"); code != 503 || !strings.Contains(text, "the process ends") {
		t.Errorf("%d %q", code, text)
	}
}

// 200 callers that stay connected and send nothing, half a header or too much do not delay another caller's answer beyond
// 1 s, and keep no more connections than the limit.
func TestStalledCallersDoNotBlockOthers(t *testing.T) {
	addr := startServer(t, func() instance.Report { return instance.Report{Ready: true} })
	var stalled []net.Conn
	for i := range 200 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, []string{"", "GET /metr", "GET /metrics HTTP/1.1\r\nX: " + strings.Repeat("x", 16<<10)}[i%3])
		stalled = append(stalled, c)
		if i%20 == 0 {
			if code, _, took := request(t, addr, "GET", "/metrics"); code != 200 || took > time.Second {
				t.Errorf("after %d stalled callers: %d in %v", i, code, took)
			}
		}
	}
	for range 20 {
		if code, _, took := request(t, addr, "GET", "/ready"); code != 200 || took > time.Second {
			t.Errorf("%d in %v", code, took)
		}
	}
	open := 0
	for _, c := range stalled {
		c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := io.Copy(io.Discard, c); err != nil && err.(net.Error).Timeout() {
			open++
		}
	}
	if open > MaxCallers {
		t.Errorf("%d stalled callers are still connected", open)
	}
}
