package readiness

import (
	"io"
	"log"
	"net/http"
	"sync/atomic"
	"testing"
)

func TestProbeIsAnsweredByReadiness(t *testing.T) {
	var ready atomic.Bool
	s, err := Listen("127.0.0.1:0", ready.Load, log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Run() }()
	for _, c := range []struct {
		name  string
		ready bool
		path  string
		want  int
	}{
		{"not ready", false, Path, http.StatusServiceUnavailable},
		{"ready", true, Path, http.StatusOK},
		{"another path", true, "/else", http.StatusNotFound},
	} {
		t.Run(c.name, func(t *testing.T) {
			ready.Store(c.ready)
			response, err := http.Get("http://" + s.Address().String() + c.path)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if err != nil {
				t.Fatal(err)
			}
			if len(body) > 0 {
				t.Errorf("body: got %q, want none", body)
			}
			if response.StatusCode != c.want {
				t.Errorf("status: got %d, want %d", response.StatusCode, c.want)
			}
		})
	}
	if err := s.Close(); err != nil {
		t.Errorf("close: got %v, want no error", err)
	}
	if err := <-ended; err != nil {
		t.Errorf("run, after close: got %v, want no error", err)
	}
}
