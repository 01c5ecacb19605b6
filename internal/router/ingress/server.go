package ingress

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"raventrestle/internal/configuration"
	"raventrestle/internal/net/connlimit"
)

const (
	clientUserTimeout = 5 * time.Second       // bytes that a client's machine has not acknowledged for so long fail its connection
	acceptBackoff     = 10 * time.Millisecond // after a failed accept
	idleTimeoutMargin = 2 * time.Second       // beyond the configured limit, at which a client may still send a request
	firstHeaderMargin = time.Second           // between the accept and the first request of a connection
)

// At the bound on connections, one that was idle, or whose request was not complete, for so long is closed to accept
// another.
const (
	evictIdleAfter       = 2 * time.Second
	evictIncompleteAfter = 3 * time.Second
)

// Limits before the first configuration.
const (
	initialMaxHeaderBytes = 16 << 10
	initialHeaderTimeout  = 3 * time.Second
	initialIdleTimeout    = 15 * time.Second
)

// Server accepts the connections of one address and serves them with a Handler.
//
// The limits of an http.Server can't be changed. When the configuration changes them, a new http.Server gets the connections
// that are accepted from then on, and the one before goes on with its own.
type Server struct {
	handler  *Handler
	gate     *connlimit.Limiter
	current  *limitedServer // owned by Run
	errorLog *log.Logger
	closed   atomic.Bool
}

// limitedServer is an http.Server with the limits that it was made for.
type limitedServer struct {
	limits   configuration.Limits
	listener *handoffListener
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
	for {
		conn, err := s.gate.Accept()
		switch {
		case err == nil:
			s.handOver(conn)
		case s.closed.Load() || errors.Is(err, net.ErrClosed):
			return nil
		default: // no descriptors or memory; connections that end free some
			time.Sleep(acceptBackoff)
		}
	}
}

// handOver gives a connection to the http.Server with the limits in force.
func (s *Server) handOver(conn net.Conn) {
	accepted, ok := conn.(*connlimit.Conn)
	if !ok {
		_ = conn.Close() // it carries no request
		return
	}
	limits := s.limits()
	if s.current == nil || s.current.limits != limits {
		s.replaceServer(limits)
	}
	c := &clientConnection{Conn: accepted}
	c.expectHead()
	s.current.listener.conns <- c
}

// limits returns the limits of connections that are accepted now.
func (s *Server) limits() configuration.Limits {
	limits := configuration.Limits{
		MaxHeaderBytes:  initialMaxHeaderBytes,
		HeaderTimeoutMS: initialHeaderTimeout.Milliseconds(),
		IdleTimeoutMS:   initialIdleTimeout.Milliseconds(),
	}
	if view := s.handler.view.Load(); view != nil {
		limits = view.Limits
	}
	limits.MaxBodyBytes = 0 // the handler applies the one in force to each request
	return limits
}

// replaceServer starts an http.Server with these limits. The one before gets no further connections; its goroutine ends
// with its listener.
func (s *Server) replaceServer(limits configuration.Limits) {
	server := &http.Server{
		Handler:                      s.handler,
		DisableGeneralOptionsHandler: true,
		ReadHeaderTimeout:            time.Duration(limits.HeaderTimeoutMS)*time.Millisecond + firstHeaderMargin,
		IdleTimeout:                  time.Duration(limits.IdleTimeoutMS)*time.Millisecond + idleTimeoutMargin,
		MaxHeaderBytes:               int(limits.MaxHeaderBytes),
		BaseContext:                  func(net.Listener) context.Context { return s.handler.base },
		ConnContext:                  withClientConnection,
		ConnState:                    s.connectionStateChanged,
		ErrorLog:                     s.errorLog,
	}
	if s.current != nil {
		close(s.current.listener.conns)
	}
	// The channel is not buffered: connections that are not accepted yet wait in the kernel.
	listener := &handoffListener{conns: make(chan net.Conn), address: s.gate.Addr()}
	s.current = &limitedServer{limits: limits, listener: listener}
	go func() { _ = server.Serve(listener) }() // returns the listener's error only
}

// connectionStateChanged is the ConnState hook of the http.Servers.
func (s *Server) connectionStateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*clientConnection)
	if !ok {
		return
	}
	if state == http.StateIdle {
		c.expectHead()
	}
	s.gate.SetState(c.Conn, state)
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

// handoffListener is the listener of an http.Server whose connections the gate has accepted.
type handoffListener struct {
	conns   chan net.Conn
	address net.Addr
}

// Accept returns the next connection, net.ErrClosed once conns is closed.
func (l *handoffListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close does nothing: Server closes conns.
func (l *handoffListener) Close() error { return nil }

// Addr returns the address of the accepting listener.
func (l *handoffListener) Addr() net.Addr { return l.address }
