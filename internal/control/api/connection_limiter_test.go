package api

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second // for what must happen

// startServer serves an API that answers no request but with 404, and returns its address and the result of Serve.
func startServer(t *testing.T, maxConnections int) (server *Server, address string, served <-chan error) {
	t.Helper()
	server = New(nil, nil, nil, nil).Server(maxConnections)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: got %v, want no error", err)
	}
	result := make(chan error, 1)
	go func() { result <- server.Serve(listener) }()
	return server, listener.Addr().String(), result
}

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatalf("dial: got %v, want no error", err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// request opens a connection, sends a request and returns the error of sending it or of receiving the answer.
func request(t *testing.T, address string) error {
	t.Helper()
	connection := dial(t, address)
	if err := connection.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatalf("deadline: got %v, want no error", err)
	}
	if _, err := connection.Write([]byte("GET /-/nothing HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		return err
	}
	_, err := connection.Read(make([]byte, 64))
	return err
}

func TestIdleConnectionsAreClosedBeforeTheMaximum(t *testing.T) {
	const maxConnections = 8
	server, address, served := startServer(t, maxConnections)
	for range 5 * maxConnections { // each is idle after its answer, until there are too many
		if err := request(t, address); err != nil {
			t.Fatalf("request: got %v, want an answer", err)
		}
		if open := server.limiter.open.Load(); open > maxConnections {
			t.Fatalf("connections: got %d, want %d at most", open, maxConnections)
		}
	}
	if err := server.Shutdown(context.Background()); err != nil {
		t.Errorf("shutdown: got %v, want no error", err)
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("serve: got %v, want %v", err, http.ErrServerClosed)
	}
}

func TestConnectionsBeyondTheMaximumAreClosed(t *testing.T) {
	const maxConnections = 4
	server, address, served := startServer(t, maxConnections)
	for range maxConnections { // busy ones: their requests are incomplete
		if _, err := dial(t, address).Write([]byte("PUT /-/config HTTP/1.1\r\n")); err != nil {
			t.Fatalf("begin of a request: got %v, want no error", err)
		}
	}
	if err := request(t, address); err == nil {
		t.Error("one more: got an answer, want a closed connection")
	}
	if err := server.Close(); err != nil {
		t.Errorf("close: got %v, want no error", err)
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("serve: got %v, want %v", err, http.ErrServerClosed)
	}
}
