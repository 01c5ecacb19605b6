package api

import (
	"net"
	"net/http"
	"time"
)

// Bounds of what a caller may send and how long it may take.
const (
	maxHeaderBytes     = 16 << 10
	headerTimeout      = 3 * time.Second
	requestReadTimeout = 20 * time.Second // header and body
	writeTimeout       = 30 * time.Second
	idleTimeout        = 10 * time.Second // several heartbeats: an endpoint that moved on leaves its connection open
)

// Server answers requests on a listener. The embedded server's Shutdown and Close end it.
type Server struct {
	*http.Server
	limiter *connectionLimiter
}

// Server returns a server that keeps at most maxConnections connections open.
func (a *API) Server(maxConnections int) *Server {
	limiter := &connectionLimiter{max: int64(maxConnections)}
	server := &http.Server{
		Handler:           a.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestReadTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         limiter.connectionState,
	}
	limiter.server = server
	return &Server{Server: server, limiter: limiter}
}

// Serve answers on the listener until the server is shut down or closed. It always returns an error.
func (s *Server) Serve(listener net.Listener) error {
	return s.Server.Serve(limitedListener{Listener: listener, limiter: s.limiter})
}
