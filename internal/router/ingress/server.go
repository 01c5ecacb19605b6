// Package ingress takes the clients' requests: it bounds and checks them, hands them to the dispatcher, makes the calls
// that the dispatcher decides, and brings the answers back.
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
	"raventrestle/internal/net/gate"
)

const (
	unansweredBytes   = 5 * time.Second // written and not acknowledged by the client's machine for so long: it is gone
	quietBeforeRoom   = 2 * time.Second // a connection that rests for so long makes room for a new one
	idleMargin        = 2 * time.Second // connections live so much longer than the limit on idle ones
	startHeaderBytes  = 16 << 10
	startHeaderTime   = 3 * time.Second
	startIdleTime     = 15 * time.Second
	acceptPause       = 10 * time.Millisecond
	busyBeforeRoom    = 3 * time.Second // a request that has not come whole by then makes room for another
	headerMargin      = time.Second     // a connection may come some time before its first request
	mostPendingOpened = 0               // connections wait in the kernel, not between the gate and a server
)

// Server serves the clients of one address.
type Server struct {
	handler  *Handler
	gate     *gate.Gate
	current  *serving
	errorLog *log.Logger
	closed   atomic.Bool
}

// serving is an http.Server with the limits that it was made for. When limits change, another one takes the new
// connections, and this one goes on with its own.
type serving struct {
	limits configuration.Limits
	feed   *feed
}

// Listen opens the clients' address for at most so many connections at a time. Lines of the HTTP server go to errors.
func Listen(address string, most int, handler *Handler, errors io.Writer) (*Server, error) {
	config := net.ListenConfig{Control: setUserTimeout, KeepAlive: -1}
	listener, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	limits := gate.Limits{Quiet: quietBeforeRoom, Busy: busyBeforeRoom}
	return &Server{
		handler:  handler,
		gate:     gate.New(listener, most, limits),
		errorLog: log.New(errors, "", 0),
	}, nil
}

// setUserTimeout sets it on the listening socket: the accepted ones inherit it.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unansweredBytes.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Address is where the server listens.
func (s *Server) Address() net.Addr { return s.gate.Addr() }

// Run accepts connections until End.
func (s *Server) Run() error {
	for {
		conn, err := s.gate.Accept()
		switch {
		case err == nil:
			s.hand(conn)
		case s.closed.Load() || errors.Is(err, net.ErrClosed):
			return nil
		default: // out of descriptors or memory for a moment
			time.Sleep(acceptPause)
		}
	}
}

// hand gives a connection to the server with the limits in force.
func (s *Server) hand(conn net.Conn) {
	accepted, ok := conn.(*gate.Conn)
	if !ok {
		conn.Close()
		return
	}
	limits := s.limits()
	if s.current == nil || s.current.limits != limits {
		s.serve(limits)
	}
	c := &connection{Conn: accepted}
	c.begin()
	s.current.feed.conns <- c
}

func (s *Server) limits() configuration.Limits {
	limits := configuration.Limits{
		MaxHeaderBytes:  startHeaderBytes,
		HeaderTimeoutMS: startHeaderTime.Milliseconds(),
		IdleTimeoutMS:   startIdleTime.Milliseconds(),
	}
	if view := s.handler.view.Load(); view != nil {
		limits = view.Limits
	}
	limits.MaxBodyBytes = 0 // looked up for each request
	return limits
}

// serve starts a server with these limits in the place of the one before.
func (s *Server) serve(limits configuration.Limits) {
	server := &http.Server{
		Handler:                      s.handler,
		DisableGeneralOptionsHandler: true,
		ReadHeaderTimeout:            time.Duration(limits.HeaderTimeoutMS)*time.Millisecond + headerMargin,
		IdleTimeout:                  time.Duration(limits.IdleTimeoutMS)*time.Millisecond + idleMargin,
		MaxHeaderBytes:               int(limits.MaxHeaderBytes),
		BaseContext:                  func(net.Listener) context.Context { return s.handler.base },
		ConnContext:                  withConnection,
		ConnState:                    s.setState,
		ErrorLog:                     s.errorLog,
	}
	if s.current != nil {
		close(s.current.feed.conns)
	}
	s.current = &serving{
		limits: limits,
		feed:   &feed{conns: make(chan net.Conn, mostPendingOpened), address: s.gate.Addr()},
	}
	go server.Serve(s.current.feed) // ends with the feed
}

// setState hears of a connection from its server.
func (s *Server) setState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	if state == http.StateIdle {
		c.begin()
	}
	s.gate.SetState(c.Conn, state)
}

// Empty closes connections between requests and waits for the others, until none is left or the context ends. New ones
// are accepted all the while.
func (s *Server) Empty(ctx context.Context) error { return s.gate.Empty(ctx) }

// End accepts no more connections, closes those between requests and waits for the others until the context ends.
func (s *Server) End(ctx context.Context) error {
	s.closed.Store(true)
	err := s.gate.End(ctx)
	if ctx.Err() == nil && errors.Is(err, net.ErrClosed) { // an earlier End has closed the listener
		return nil
	}
	return err
}

// feed is a listener whose connections another one has accepted.
type feed struct {
	conns   chan net.Conn
	address net.Addr
}

func (f *feed) Accept() (net.Conn, error) {
	conn, ok := <-f.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (f *feed) Close() error { return nil }

func (f *feed) Addr() net.Addr { return f.address }
