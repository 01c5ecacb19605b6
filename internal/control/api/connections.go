package api

import (
	"net"
	"net/http"
	"sync/atomic"
)

// Parts of the most connections at which idle ones are closed, and kept again.
const (
	closeIdlePart = 0.75
	keepIdlePart  = 0.5
)

// valve bounds the connections of a server: beyond a part of the most it keeps none that rests, beyond the most
// it turns new ones away at once, so that their callers ask another instance instead of waiting here.
type valve struct {
	most   int64
	open   atomic.Int64
	tight  atomic.Bool
	server *http.Server
}

// watch counts a connection's beginning and end; it is the server's ConnState.
func (v *valve) watch(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		v.adjust(v.open.Add(1))
	case http.StateClosed, http.StateHijacked:
		v.adjust(v.open.Add(-1))
	}
}

func (v *valve) adjust(open int64) {
	switch {
	case open > int64(float64(v.most)*closeIdlePart):
		if v.tight.CompareAndSwap(false, true) {
			v.server.SetKeepAlivesEnabled(false)
		}
	case open < int64(float64(v.most)*keepIdlePart):
		if v.tight.CompareAndSwap(true, false) {
			v.server.SetKeepAlivesEnabled(true)
		}
	}
}

// bounded turns connections beyond the most away.
type bounded struct {
	net.Listener
	valve *valve
}

func (b bounded) Accept() (net.Conn, error) {
	for {
		connection, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if b.valve.open.Load() < b.valve.most {
			return connection, nil
		}
		_ = connection.Close() // its caller learns of it by that alone
	}
}

// Server answers calls on a listener, with bounds for what a caller may send and how long it may take.
type Server struct {
	*http.Server
	valve *valve
}

// Server returns a server with so many connections at most.
func (a *API) Server(mostConnections int) *Server {
	v := &valve{most: int64(mostConnections)}
	server := &http.Server{
		Handler:           a.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maximumHeaderBytes,
		ConnState:         v.watch,
	}
	v.server = server
	return &Server{Server: server, valve: v}
}

// Serve answers on the listener until the server is closed.
func (s *Server) Serve(listener net.Listener) error {
	return s.Server.Serve(bounded{Listener: listener, valve: s.valve})
}
