package gate

import (
	"fmt"
	"net"
	"net/http"
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
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			g := New(l, 8, Limits{})
			defer g.Close()
			client, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			conn, err := g.Accept()
			if err != nil {
				t.Fatal(err)
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
