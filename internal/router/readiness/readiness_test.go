package readiness

import (
	"io"
	"log"
	"net/http"
	"sync/atomic"
	"testing"
)

func TestProbe(t *testing.T) {
	var ready atomic.Bool
	s, err := Listen("127.0.0.1:0", ready.Load, log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Run() }()
	ask := func(path string) int {
		response, err := http.Get("http://" + s.Address().String() + path)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		return response.StatusCode
	}
	if status := ask(Path); status != http.StatusServiceUnavailable {
		t.Errorf("not ready: %d", status)
	}
	ready.Store(true)
	if status := ask(Path); status != http.StatusOK {
		t.Errorf("ready: %d", status)
	}
	if status := ask("/else"); status != http.StatusNotFound {
		t.Errorf("another path: %d", status)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
