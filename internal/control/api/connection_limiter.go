package api

import (
	"net"
	"net/http"
	"sync/atomic"
)

// Fractions of the maximum at which idle connections are closed, and kept again. The distance between them keeps the
// server from changing its mind with every connection.
const (
	closeIdleFraction = 0.75
	keepIdleFraction  = 0.5
)

// connectionLimiter bounds the connections of a server. Near the maximum it has the server keep no idle ones; beyond it
// closes new ones at once, so that their callers ask another instance instead of waiting here. It is safe for concurrent
// use.
type connectionLimiter struct {
	max         int64
	open        atomic.Int64
	closingIdle atomic.Bool // the server keeps no idle connections now
	server      *http.Server
}

// connectionState counts connections; it is the server's ConnState.
func (l *connectionLimiter) connectionState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		l.adjust(l.open.Add(1))
	case http.StateClosed, http.StateHijacked:
		l.adjust(l.open.Add(-1))
	}
}

func (l *connectionLimiter) adjust(open int64) {
	switch {
	case open > int64(float64(l.max)*closeIdleFraction):
		if l.closingIdle.CompareAndSwap(false, true) {
			l.server.SetKeepAlivesEnabled(false)
		}
	case open < int64(float64(l.max)*keepIdleFraction):
		if l.closingIdle.CompareAndSwap(true, false) {
			l.server.SetKeepAlivesEnabled(true)
		}
	}
}

// limitedListener closes connections beyond the limiter's maximum instead of returning them.
type limitedListener struct {
	net.Listener
	limiter *connectionLimiter
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.limiter.open.Load() < l.limiter.max {
			return connection, nil
		}
		_ = connection.Close() // nothing was sent or received on it
	}
}
