package ingress

import (
	"context"
	"errors"
	"io"
	"log"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"raventrestle/internal/net/connlimit"
)

const (
	clientUserTimeout = 5 * time.Second       // bytes that a client's machine has not acknowledged for so long fail its connection
	acceptBackoff     = 10 * time.Millisecond // after a failed accept
)

// At the bound on connections, one that was idle, or whose request was not complete, for so long is closed to accept
// another.
const (
	evictIdleAfter       = 2 * time.Second
	evictIncompleteAfter = 3 * time.Second
)

// Server accepts the connections of one address and serves them with a Handler. Each clientConnection keeps to the limits
// of the configuration in force.
type Server struct {
	handler  *Handler
	gate     *connlimit.Limiter
	errorLog *log.Logger
	closed   atomic.Bool
}

// Listen opens the clients' address for at most maxConnections at a time. The log lines of net/http go to errorLog.
func Listen(address string, maxConnections int, handler *Handler, errorLog io.Writer) (*Server, error) {
	config := net.ListenConfig{Control: setUserTimeout, KeepAlive: -1}
	listener, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	limits := connlimit.Timeouts{Idle: evictIdleAfter, Request: evictIncompleteAfter}
	return &Server{
		handler:  handler,
		gate:     connlimit.New(listener, maxConnections, limits),
		errorLog: log.New(errorLog, "", 0),
	}, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT (RFC 5482) on the listening socket; accepted connections inherit it.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(clientUserTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Address returns the address that the server listens on.
func (s *Server) Address() net.Addr { return s.gate.Addr() }

// Run accepts connections until Shutdown.
func (s *Server) Run() error {
	server := &http.Server{
		Handler:                      s.handler,
		DisableGeneralOptionsHandler: true,
		MaxHeaderBytes:               math.MaxInt32, // clientConnection bounds the heads
		BaseContext:                  func(net.Listener) context.Context { return s.handler.base },
		ConnContext:                  withClientConnection,
		ConnState:                    connectionStateChanged(s.gate),
		ErrorLog:                     s.errorLog,
	}
	err := server.Serve(&clientListener{server: s})
	if s.closed.Load() || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// connectionStateChanged returns the ConnState hook of the http.Server.
func connectionStateChanged(gate *connlimit.Limiter) func(net.Conn, http.ConnState) {
	return func(conn net.Conn, state http.ConnState) {
		c, ok := conn.(*clientConnection)
		if !ok {
			return
		}
		switch state {
		case http.StateIdle:
			c.expectHead()
		case http.StateActive:
			c.endHead()
		}
		gate.SetState(c.Conn, state)
	}
}

// DrainConnections closes idle connections and waits for the others, until none is left or the context ends. New ones are
// accepted all the while.
func (s *Server) DrainConnections(ctx context.Context) error { return s.gate.Drain(ctx) }

// Shutdown accepts no more connections, closes idle ones and waits for the others until the context ends. It may be
// called again to wait longer.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closed.Store(true)
	err := s.gate.Shutdown(ctx)
	if ctx.Err() == nil && errors.Is(err, net.ErrClosed) { // an earlier Shutdown has closed the listener
		return nil
	}
	return err
}

// clientListener is the listener of the http.Server.
type clientListener struct{ server *Server }

// Accept returns the next client's connection, net.ErrClosed after Shutdown.
func (l *clientListener) Accept() (net.Conn, error) {
	s := l.server
	for {
		conn, err := s.gate.Accept()
		switch {
		case err == nil:
			if accepted, ok := conn.(*connlimit.Conn); ok {
				return newClientConnection(accepted, s.handler), nil
			}
			_ = conn.Close() // it carries no request
		case s.closed.Load() || errors.Is(err, net.ErrClosed):
			return nil, net.ErrClosed
		default: // no descriptors or memory; connections that end free some
			time.Sleep(acceptBackoff)
		}
	}
}

// Close does nothing: Shutdown closes the gate.
func (l *clientListener) Close() error { return nil }

// Addr returns the address that the server listens on.
func (l *clientListener) Addr() net.Addr { return l.server.gate.Addr() }
