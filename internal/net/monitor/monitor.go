// Package monitor is the second address: whether this process takes clients, and its figures, for the
// platform and its staff. It waits for no actor, so that it answers at any load. It decides nothing.
package monitor

import (
	"bytes"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"raventrestle/internal/net/gate"
	"raventrestle/internal/net/instance"
	"raventrestle/internal/stats"
)

// MostCallers is how many connections are open at once: they count for the courier's descriptors.
const MostCallers = 16

const (
	within = time.Second // for a call, from its connection to its answer
	head   = 4 << 10
)

// room: whoever comes while all places are taken gets that of the one that has said nothing whole for
// longest. A caller that speaks at once keeps its place.
var room = gate.Limits{Quiet: 20 * time.Millisecond, Busy: 20 * time.Millisecond}

// Serve answers at the address until the server is closed. Life is asked at each call.
func Serve(addr string, life func() instance.Report, counters *stats.Stats, log *slog.Logger) (*http.Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	callers := gate.New(l, MostCallers, room)
	s := &http.Server{
		Handler: handler(life, counters), ReadHeaderTimeout: within, ReadTimeout: within, WriteTimeout: within,
		MaxHeaderBytes: head, ConnContext: gate.ConnContext, ConnState: callers.SetState, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	s.SetKeepAlivesEnabled(false) // one call for each connection
	go func() {
		if err := s.Serve(callers); !errors.Is(err, http.ErrServerClosed) {
			log.Error("monitor: listener", "err", err)
		}
	}()
	return s, nil
}

func handler(life func() instance.Report, counters *stats.Stats) http.Handler {
	mux := http.NewServeMux()
	get := func(path string, answer func(w *bytes.Buffer) int) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
			if c := gate.Of(r.Context()); c != nil {
				c.Whole()
			}
			var text bytes.Buffer
			code := answer(&text)
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			w.WriteHeader(code)
			w.Write(text.Bytes()) // a caller that has left misses it
		})
	}
	get("/ready", func(text *bytes.Buffer) int {
		r := life()
		text.WriteString(r.State + "\n")
		if r.Ready {
			return http.StatusOK
		}
		text.WriteString(strings.Join(r.Why, "\n") + "\n")
		return http.StatusServiceUnavailable
	})
	get("/metrics", func(text *bytes.Buffer) int {
		counters.WriteTo(text) // into memory
		return http.StatusOK
	})
	return mux
}
