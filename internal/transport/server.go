package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// acceptBackoff is the wait after a failed accept, as when the process is out of descriptors for a moment.
const acceptBackoff = 50 * time.Millisecond

// Server accepts connections. Its methods may be called by any goroutine.
type Server struct {
	listener net.Listener
	codec    *Codec
	handler  Handler
	config   config
	tasks    sync.WaitGroup // the accepting goroutine, and one for each connection until its Handler.Closed

	mutex       sync.Mutex
	connections map[*Connection]struct{} // nil once closed
	closing     chan struct{}
}

// Listen accepts connections at an address (IP:port) until Close.
func Listen(address string, codec *Codec, handler Handler, options ...Option) (*Server, error) {
	listen := net.ListenConfig{KeepAlive: -1}
	listen.SetMultipathTCP(false) // Go listens with Multipath TCP by default; the machines support plain TCP
	listener, err := listen.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("transport: listen on %s: %w", address, err)
	}
	s := &Server{
		listener:    listener,
		codec:       codec,
		handler:     handler,
		config:      newConfig(options),
		connections: make(map[*Connection]struct{}),
		closing:     make(chan struct{}),
	}
	s.tasks.Add(1)
	go s.accept()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the server and all its connections without waiting for them: see Wait. The error is that of the listener.
func (s *Server) Close() error {
	s.mutex.Lock()
	open := s.connections
	if open != nil {
		s.connections = nil
		close(s.closing)
	}
	s.mutex.Unlock()
	err := s.listener.Close()
	for connection := range open {
		connection.Close()
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("transport: close listener on %s: %w", s.Address(), err)
	}
	return nil
}

// Wait returns once the server has been closed and Handler.Closed has returned for each connection. It must not be called
// by the handler.
func (s *Server) Wait() { s.tasks.Wait() }

// accept is the body of the server's goroutine.
func (s *Server) accept() {
	defer s.tasks.Done()
	for {
		socket, err := s.listener.Accept()
		if err == nil {
			s.serve(socket)
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		select {
		case <-s.closing:
			return
		case <-time.After(acceptBackoff):
		}
	}
}

// serve starts the connection of an accepted socket.
func (s *Server) serve(socket net.Conn) {
	if err := s.configureSocket(socket); err != nil {
		_ = socket.Close() // the peer has closed it already, and will dial again
		return
	}
	c := newConnection(socket, socket.RemoteAddr().String(), s.codec, serverHandler{s}, s.config)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.connections == nil {
		_ = socket.Close() // the server is closed
		return
	}
	s.connections[c] = struct{}{}
	s.tasks.Add(1)
	c.start()
}

// configureSocket sets the options of an accepted socket.
func (s *Server) configureSocket(socket net.Conn) error {
	connection, ok := socket.(*net.TCPConn)
	if !ok {
		return fmt.Errorf("transport: accept: %T is not TCP", socket)
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return fmt.Errorf("transport: accept from %s: %w", socket.RemoteAddr(), err)
	}
	return s.config.setUserTimeout(raw)
}

// serverHandler is the handler of a server's connections: it passes everything on to the server's handler, and removes a
// connection that has ended.
type serverHandler struct{ server *Server }

// Message implements Handler.
func (h serverHandler) Message(c *Connection, message any) { h.server.handler.Message(c, message) }

// Closed implements Handler.
func (h serverHandler) Closed(c *Connection, err error) {
	h.server.mutex.Lock()
	delete(h.server.connections, c)
	h.server.mutex.Unlock()
	h.server.handler.Closed(c, err)
	h.server.tasks.Done()
}
