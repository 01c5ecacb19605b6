package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// acceptPause follows a failed accept: descriptors may be short for a moment.
const acceptBackoff = 50 * time.Millisecond

// Server accepts connections.
type Server struct {
	listener net.Listener
	codec    *Codec
	handler  Handler
	config   config
	tasks    sync.WaitGroup // the accepting goroutine and the connections

	mutex       sync.Mutex
	connections map[*Connection]struct{} // nil once closed
	closing     chan struct{}
}

// Listen accepts connections at an address until Close.
func Listen(address string, codec *Codec, handler Handler, changes ...Option) (*Server, error) {
	config := net.ListenConfig{KeepAlive: -1}
	config.SetMultipathTCP(false) // Go would take it for listeners; plain TCP is what the machines promise
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("transport: listen at %s: %w", address, err)
	}
	s := &Server{
		listener:    listener,
		codec:       codec,
		handler:     handler,
		config:      newConfig(changes),
		connections: make(map[*Connection]struct{}),
		closing:     make(chan struct{}),
	}
	s.tasks.Add(1)
	go s.accept()
	return s, nil
}

// Address returns the address that the server listens at.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the server and all its connections, and does not wait for them: see Wait.
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
		return fmt.Errorf("transport: close listener at %s: %w", s.Address(), err)
	}
	return nil
}

// Wait returns once the server has been closed and the handler told of each connection's end. It must not
// be called by the handler.
func (s *Server) Wait() { s.tasks.Wait() }

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

func (s *Server) serve(socket net.Conn) {
	if err := s.configureSocket(socket); err != nil {
		_ = socket.Close() // the peer has gone already; it will dial again
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

// serverHandler keeps the server's set of connections.
type serverHandler struct{ server *Server }

func (h serverHandler) Message(c *Connection, message any) { h.server.handler.Message(c, message) }

func (h serverHandler) Closed(c *Connection, err error) {
	h.server.mutex.Lock()
	delete(h.server.connections, c)
	h.server.mutex.Unlock()
	h.server.handler.Closed(c, err)
	h.server.tasks.Done()
}
