package front

import (
	"context"
	"net"
	"sync"
)

// Limit caps the client connections that are open at once. Unlike netutil's LimitListener it
// leaves them TCP connections, which sock.Look can look at.
func Limit(l net.Listener, most int) net.Listener {
	return &limited{Listener: l, slots: make(chan struct{}, most)}
}

type limited struct {
	net.Listener
	slots chan struct{}
}

func (l *limited) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		return &clientConn{TCPConn: tcp, free: sync.OnceFunc(func() { <-l.slots })}, nil
	}
	<-l.slots
	return c, err
}

type clientConn struct {
	*net.TCPConn
	free func()
}

func (c *clientConn) Close() error {
	defer c.free()
	return c.TCPConn.Close()
}

type connKey struct{}

// ConnContext is for the http.Server: requests then know their client connection.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
