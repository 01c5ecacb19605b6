// Package readiness answers the platform's readiness probe over HTTP.
package readiness

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"time"
)

// Path is where the platform probes.
const Path = "/-/readyz"

const (
	headerTimeout  = 2 * time.Second
	idleTimeout    = 10 * time.Second
	maxHeaderBytes = 4 << 10
)

// Server answers the probe: 200 if the process is ready, 503 if it is not, 404 on any other path.
type Server struct {
	listener net.Listener
	server   http.Server
}

// Listen opens the address of the probe. Ready is called at each probe, by several goroutines; errorLog takes the errors of
// single connections.
func Listen(address string, ready func() bool, errorLog *log.Logger) (*Server, error) {
	config := net.ListenConfig{KeepAlive: -1}
	listener, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("readiness: listen at %s: %w", address, err)
	}
	s := &Server{listener: listener}
	s.server = http.Server{
		Handler:           handler(ready),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          errorLog,
	}
	return s, nil
}

// Address is where the server listens.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

// Run answers probes until Close. It returns nil after Close.
func (s *Server) Run() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("readiness: %w", err)
	}
	return nil
}

// Close ends the server and its connections at once.
func (s *Server) Close() error { return s.server.Close() }

func handler(ready func() bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != Path:
			w.WriteHeader(http.StatusNotFound)
		case ready():
			w.WriteHeader(http.StatusOK)
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
}
