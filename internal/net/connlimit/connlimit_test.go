package connlimit

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"raventrestle/internal/net/nettest"
	"raventrestle/internal/net/sock"
)

// CloseIdle closes connections between requests and no others: neither a connection with an unread request, which would be
// closed without an answer, nor a new one whose client has not had the time to send.
func TestCloseIdleKeepsConnectionsWithRequests(t *testing.T) {
	for name, c := range map[string]struct {
		answered, sent bool
		nextStarted    bool // the next request's first byte was read before the answer was written
		grace          time.Duration
		closed         bool
		unanswered     int64
	}{
		"between requests":                  {answered: true, grace: time.Hour, closed: true},
		"unread request":                    {answered: true, sent: true},
		"new":                               {grace: time.Hour},
		"new, unread request":               {sent: true},
		"new, silent for the grace period":  {closed: true, unanswered: 1},
		"between requests, no grace period": {answered: true, closed: true},
		"next request started":              {answered: true, nextStarted: true},
	} {
		t.Run(name, func(t *testing.T) {
			l, client, conn := acceptOne(t)
			if c.nextStarted {
				fmt.Fprint(client, "AB") // the end of one request and the start of the next
				for range 2 {
					if _, err := conn.Read(make([]byte, 1)); err != nil {
						t.Fatal(err)
					}
					conn.(*Conn).RequestRead()
				}
			}
			if c.answered { // as the server does after an answer
				l.SetState(conn, http.StateIdle)
			}
			if c.sent {
				fmt.Fprint(client, "POST /free HTTP/1.1\r\nHost: x\r\n\r\n")
				for deadline := time.Now().Add(nettest.Timeout); ; time.Sleep(time.Millisecond) {
					if _, idle := sock.Peek(conn.(*Conn).TCPConn); !idle {
						break
					} else if time.Now().After(deadline) {
						t.Fatal("the request does not come")
					}
				}
			}
			open := l.CloseIdle(c.grace)
			if closed := open == 0; closed != c.closed {
				t.Errorf("closed %v, want %v", closed, c.closed)
			}
			if n := l.Unanswered.Load(); n != c.unanswered {
				t.Errorf("%d counted as unanswered, want %d", n, c.unanswered)
			}
		})
	}
}

// Nothing is read from a socket while the limiter checks its connections. A byte that is read between the check and the
// close would be a request without an answer.
func TestNothingIsReadWhileIdleConnectionsClose(t *testing.T) {
	l, client, conn := acceptOne(t)
	l.SetState(conn, http.StateIdle)
	fmt.Fprint(client, "POST /free HTTP/1.1\r\nHost: x\r\n\r\n")
	idle := func() bool { _, idle := sock.Peek(conn.(*Conn).TCPConn); return idle }
	for deadline := time.Now().Add(nettest.Timeout); idle(); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatal("the request does not come")
		}
	}
	l.mu.Lock() // as in CloseIdle
	bytesRead := make(chan int)
	go func() {
		n, _ := conn.Read(make([]byte, 1))
		bytesRead <- n
	}()
	for until := time.Now().Add(50 * time.Millisecond); time.Now().Before(until); runtime.Gosched() {
		if b, err := peek(conn.(*Conn).TCPConn); err != nil || b != 'P' {
			t.Errorf("next byte is %q, so the request was read: %v", b, err)
			break
		}
	}
	l.mu.Unlock()
	if n := nettest.Wait(t, "read", bytesRead); n != 1 {
		t.Errorf("read %d bytes, want 1", n)
	}
	if open := l.CloseIdle(0); open != 1 {
		t.Error("connection with a started request was closed")
	}
}

// acceptOne returns a limiter with one accepted connection, and the client's end of it.
func acceptOne(t *testing.T) (limiter *Limiter, client, conn net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limiter = New(l, 8, Timeouts{})
	t.Cleanup(func() { limiter.Close() })
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	if conn, err = limiter.Accept(); err != nil {
		t.Fatal(err)
	}
	return limiter, client, conn
}

// peek returns the next byte without reading it.
func peek(c *net.TCPConn) (byte, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var b [1]byte
	controlErr := raw.Control(func(fd uintptr) { _, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) })
	return b[0], errors.Join(controlErr, err)
}

// A request whose header is half read on a connection that was between requests is answered during Shutdown.
func TestShutdownAnswersHalfReadRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limiter := New(l, 8, Timeouts{})
	requests := 0
	server := &http.Server{ConnState: limiter.SetState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests++; requests > 1 {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	defer server.Close()
	go server.Serve(limiter)
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	client.SetDeadline(time.Now().Add(nettest.Timeout))
	answers := bufio.NewReader(client)
	readStatus := func() int {
		t.Helper()
		res, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		return res.StatusCode
	}
	fmt.Fprint(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	if code := readStatus(); code != http.StatusOK {
		t.Fatal(code)
	}
	fmt.Fprint(client, "GET / HTTP/1.1\r\nHo")
	for deadline := time.Now().Add(nettest.Timeout); ; runtime.Gosched() { // until it is read
		limiter.mu.Lock()
		n := limiter.active.Len()
		limiter.mu.Unlock()
		if n == 1 {
			break
		} else if time.Now().After(deadline) {
			t.Fatal("the half header is not read")
		}
	}
	closing, stop := context.WithTimeout(t.Context(), nettest.Timeout)
	defer stop()
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- limiter.Shutdown(closing) }()
	<-limiter.closed.Done()
	fmt.Fprint(client, "st: x\r\n\r\n")
	if code := readStatus(); code != http.StatusServiceUnavailable {
		t.Fatal(code)
	}
	if err := nettest.Wait(t, "end", shutdownErr); err != nil {
		t.Fatal(err)
	}
}
