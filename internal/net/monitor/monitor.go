// Package monitor serves readiness and metrics of this process at an address of their own, for the platform and its
// operators. It waits for no actor, so that it answers at any load.
package monitor

import (
	"bytes"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"raventrestle/internal/net/connlimit"
	"raventrestle/internal/net/instance"
	"raventrestle/internal/stats"
)

// MaxCallers is the maximum number of open connections. They are taken from the courier's file descriptors.
const MaxCallers = 16

const (
	requestTimeout = time.Second // from the connection to its answer
	maxHeaderBytes = 4 << 10
)

// connTimeouts let a new caller replace the one that has been connected for longest without a complete request, if all
// slots are in use. A caller that sends its request at once keeps its connection.
var connTimeouts = connlimit.Timeouts{Idle: 20 * time.Millisecond, Request: 20 * time.Millisecond}

// Serve answers at the address until the server is closed. It calls report for each readiness request.
func Serve(addr string, report func() instance.Report, metrics *stats.Stats, log *slog.Logger) (*http.Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	callers := connlimit.New(l, MaxCallers, connTimeouts)
	s := &http.Server{
		Handler: handler(report, metrics), ReadHeaderTimeout: requestTimeout, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnContext: connlimit.ConnContext, ConnState: callers.SetState, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	s.SetKeepAlivesEnabled(false) // one request per connection
	go func() {
		if err := s.Serve(callers); !errors.Is(err, http.ErrServerClosed) {
			log.Error("monitor: listener", "err", err)
		}
	}()
	return s, nil
}

func handler(report func() instance.Report, metrics *stats.Stats) http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, answer func(w *bytes.Buffer) int) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
			if c := connlimit.FromContext(r.Context()); c != nil {
				c.RequestRead()
			}
			var text bytes.Buffer
			code := answer(&text)
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			w.WriteHeader(code)
			w.Write(text.Bytes()) // fails only if the caller has disconnected
		})
	}
	handle("/ready", func(text *bytes.Buffer) int {
		r := report()
		text.WriteString(r.State + "\n")
		if r.Ready {
			return http.StatusOK
		}
		text.WriteString(strings.Join(r.Reasons, "\n") + "\n")
		return http.StatusServiceUnavailable
	})
	handle("/metrics", func(text *bytes.Buffer) int {
		metrics.WriteTo(text) // writing to memory does not fail
		return http.StatusOK
	})
	return mux
}
