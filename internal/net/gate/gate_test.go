package gate

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

// Dismiss closes what is between requests and nothing else: neither a connection with a request on it that is not read
// yet, which would get a bare close, nor a new one whose client has not had the time to send.
func TestDismissLeavesWhatIsOwedAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		served, sent bool
		ahead        bool // the next request's first byte was read before the answer was out
		fresh        time.Duration
		closed       bool
		unanswered   int64
	}{
		"between requests":                     {served: true, fresh: time.Hour, closed: true},
		"a request to be read":                 {served: true, sent: true},
		"new":                                  {fresh: time.Hour},
		"new, a request to be read":            {sent: true},
		"new, and has said nothing so long":    {closed: true, unanswered: 1},
		"between requests, no time for guests": {served: true, closed: true},
		"the next request is begun":            {served: true, ahead: true},
	} {
		t.Run(name, func(t *testing.T) {
			g, client, conn := accepted(t)
			if c.ahead {
				fmt.Fprint(client, "AB") // the end of one request, and the next one's beginning
				for range 2 {
					if _, err := conn.Read(make([]byte, 1)); err != nil {
						t.Fatal(err)
					}
					conn.(*Conn).Whole()
				}
			}
			if c.served { // as the server tells of an answer
				g.SetState(conn, http.StateIdle)
			}
			if c.sent {
				fmt.Fprint(client, "POST /free HTTP/1.1\r\nHost: x\r\n\r\n")
				for deadline := time.Now().Add(nettest.Patience); ; time.Sleep(time.Millisecond) {
					if _, quiet := sock.Look(conn.(*Conn).TCPConn); !quiet {
						break
					} else if time.Now().After(deadline) {
						t.Fatal("the request does not come")
					}
				}
			}
			left := g.Dismiss(c.fresh)
			if closed := left == 0; closed != c.closed {
				t.Errorf("closed %v, want %v", closed, c.closed)
			}
			if n := g.Unanswered.Load(); n != c.unanswered {
				t.Errorf("%d counted as unanswered, want %d", n, c.unanswered)
			}
		})
	}
}

// Nothing is taken off a socket while the gate looks at its connections: what was read between the look and the close
// would be a request that came and has no answer.
func TestNothingIsReadWhileTheGateCloses(t *testing.T) {
	g, client, conn := accepted(t)
	g.SetState(conn, http.StateIdle)
	fmt.Fprint(client, "POST /free HTTP/1.1\r\nHost: x\r\n\r\n")
	quiet := func() bool { _, quiet := sock.Look(conn.(*Conn).TCPConn); return quiet }
	for deadline := time.Now().Add(nettest.Patience); quiet(); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatal("the request does not come")
		}
	}
	g.mu.Lock() // as Dismiss has it
	read := make(chan int)
	go func() {
		n, _ := conn.Read(make([]byte, 1))
		read <- n
	}()
	for until := time.Now().Add(50 * time.Millisecond); time.Now().Before(until); runtime.Gosched() {
		if b, err := peek(conn.(*Conn).TCPConn); err != nil || b != 'P' {
			t.Errorf("%q of the request is read: %v", b, err)
			break
		}
	}
	g.mu.Unlock()
	if n := nettest.Wait(t, "read", read); n != 1 {
		t.Errorf("%d bytes", n)
	}
	if left := g.Dismiss(0); left != 1 {
		t.Error("closed with a request begun")
	}
}

// accepted is a gate with one connection through it, and the client's end of that.
func accepted(t *testing.T) (g *Gate, client, conn net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g = New(l, 8, Limits{})
	t.Cleanup(func() { g.Close() })
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	if conn, err = g.Accept(); err != nil {
		t.Fatal(err)
	}
	return g, client, conn
}

// peek is the byte that is read next.
func peek(c *net.TCPConn) (byte, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var b [1]byte
	failed := raw.Control(func(fd uintptr) { _, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) })
	return b[0], errors.Join(failed, err)
}

// A request whose head has come by half on a connection that was between requests is answered while the gate ends.
func TestEndLeavesHalfAHead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := New(l, 8, Limits{})
	requests := 0
	server := &http.Server{ConnState: g.SetState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests++; requests > 1 {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	defer server.Close()
	go server.Serve(g)
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	client.SetDeadline(time.Now().Add(nettest.Patience))
	answers := bufio.NewReader(client)
	answer := func() int {
		t.Helper()
		res, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		return res.StatusCode
	}
	fmt.Fprint(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	if code := answer(); code != http.StatusOK {
		t.Fatal(code)
	}
	fmt.Fprint(client, "GET / HTTP/1.1\r\nHo")
	for deadline := time.Now().Add(nettest.Patience); ; runtime.Gosched() { // it is read
		g.mu.Lock()
		n := g.busy.Len()
		g.mu.Unlock()
		if n == 1 {
			break
		} else if time.Now().After(deadline) {
			t.Fatal("half a head is not read")
		}
	}
	closing, stop := context.WithTimeout(t.Context(), nettest.Patience)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- g.End(closing) }()
	<-g.closed.Done()
	fmt.Fprint(client, "st: x\r\n\r\n")
	if code := answer(); code != http.StatusServiceUnavailable {
		t.Fatal(code)
	}
	if err := nettest.Wait(t, "end", ended); err != nil {
		t.Fatal(err)
	}
}
