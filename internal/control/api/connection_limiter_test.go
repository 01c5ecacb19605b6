package api

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"
)

const patience = 10 * time.Second // of a test for what must come

func dialAndAsk(t *testing.T, address string) (net.Conn, error) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	if err := connection.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	if _, err := connection.Write([]byte("GET /-/nothing HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		return connection, err
	}
	_, err = connection.Read(make([]byte, 64))
	return connection, err
}

func TestConnectionsAreBounded(t *testing.T) {
	const most = 8
	server := New(nil, nil, nil).Server(most)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	address := listener.Addr().String()
	for range 5 * most { // each rests after its answer, until there are too many
		if _, err := dialAndAsk(t, address); err != nil {
			t.Fatal(err)
		}
		if open := server.limiter.open.Load(); open > most {
			t.Fatalf("%d connections", open)
		}
	}
	if err := server.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		t.Error(err)
	}
}

func TestConnectionsBeyondTheMostAreTurnedAway(t *testing.T) {
	const most = 4
	server := New(nil, nil, nil).Server(most)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	for range most { // busy ones: their requests are not whole
		connection, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = connection.Close() })
		if _, err := connection.Write([]byte("PUT /-/config HTTP/1.1\r\n")); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := dialAndAsk(t, listener.Addr().String()); err == nil {
		t.Error("one more was answered")
	}
	if err := server.Close(); err != nil {
		t.Error(err)
	}
	<-served
}
