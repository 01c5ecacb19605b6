package front

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"raventrestle/internal/config"
	"raventrestle/internal/journal"
	"raventrestle/internal/net/gate"
	"raventrestle/internal/net/nettest"
	"raventrestle/internal/stats"
)

// scripted is a courier that takes messages on as the story says.
type scripted struct {
	take      func(*journal.Message) error
	admitted  chan *journal.Message
	withdrawn chan *journal.Message
}

func (s *scripted) Take(m *journal.Message) error                { return s.take(m) }
func (s *scripted) Admit(m *journal.Message, again, orphan bool) { s.admitted <- m }
func (s *scripted) Withdraw(m *journal.Message)                  { s.withdrawn <- m }

func serve(t *testing.T, take func(*journal.Message) error) (*scripted, *Front, string) {
	c, f, s := unstarted(t, take)
	s.Start()
	return c, f, s.Listener.Addr().String()
}

func unstarted(t *testing.T, take func(*journal.Message) error) (*scripted, *Front, *httptest.Server) {
	c := &scripted{take, make(chan *journal.Message, 16), make(chan *journal.Message, 16)}
	f := New(c, &config.Names{
		Classes: map[string]int{"notice": 0, "free": 1}, Tenants: map[string]int{"acme": 0},
		Keyed: map[string]bool{"notice": true},
	}, &stats.Stats{}, nettest.Log)
	s := httptest.NewUnstartedServer(f)
	s.Config.ErrorLog, s.Config.ConnContext = f.proxy.ErrorLog, gate.ConnContext
	g := gate.New(s.Listener, 4, Room)
	s.Listener, s.Config.ConnState = g, g.SetState
	t.Cleanup(s.Close)
	return c, f, s
}

func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(nettest.Patience))
	return c, bufio.NewReader(c)
}

func status(t *testing.T, r *bufio.Reader) *http.Response {
	t.Helper()
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
	return res
}

const good = "X-Txn: 9b1f\r\nX-Org: acme\r\nX-Remaining: 20.48\r\nIdempotency-Key: 5c0f\r\nX-Consignee: dest=7\r\n"

func request(class, head, body string) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", class, head, len(body), body)
}

// Every request gets an answer, on one connection, and only a message that is written down and
// whose client heard of it is let in.
func TestSubmission(t *testing.T) {
	full := errors.New("full")
	plain := func(line, rest string) string { return line + "\r\nHost: x\r\n" + good + rest }
	without := func(line string) string { return strings.Replace(good, line, "", 1) }
	for name, c := range map[string]struct {
		request string
		take    error
		want    int
	}{
		"taken on":      {request("notice", good, "\r\n\x00any"), nil, 202},
		"empty body":    {request("notice", good, ""), nil, 202}, // the proxy hands on no body at all
		"full":          {request("notice", good, "b"), full, 503},
		"no id":         {request("notice", without("X-Txn: 9b1f\r\n"), "b"), nil, 400},
		"id of two":     {request("notice", strings.Replace(good, "9b1f", "9b 1f", 1), "b"), nil, 400},
		"no time":       {request("notice", without("X-Remaining: 20.48\r\n"), "b"), nil, 400},
		"no number":     {request("notice", strings.Replace(good, "20.48", "NaN", 1), "b"), nil, 400},
		"time is up":    {request("notice", strings.Replace(good, "20.48", "-0.1", 1), "b"), nil, 503},
		"no dest":       {request("notice", without("X-Consignee: dest=7\r\n"), "b"), nil, 400},
		"no dest there": {request("notice", good, "b"), ErrNoDest, 503},
		"no key":        {request("notice", without("Idempotency-Key: 5c0f\r\n"), "b"), nil, 400},
		"no tenant":     {request("notice", strings.Replace(good, "acme", "nobody", 1), "b"), nil, 400},
		"two lengths":   {plain("POST /notice HTTP/1.1", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /hidden"), nil, 411},
		"two, by 1.0":   {plain("POST /notice HTTP/1.0", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), nil, 505},
		"huge":          {plain("POST /notice HTTP/1.1", "Content-Length: 60000000\r\n\r\n"), nil, 413},
		"negative":      {plain("POST /notice HTTP/1.1", "Content-Length: -1\r\n\r\n"), nil, 400},
		"no such class": {request("other", good, "b"), nil, 400},
		"largest body":  {request("notice", good, strings.Repeat("x", 64<<10)), nil, 202},
		"too large":     {request("notice", good, strings.Repeat("x", 64<<10+1)), nil, 413},
	} {
		t.Run(name, func(t *testing.T) {
			s, _, addr := serve(t, func(*journal.Message) error { return c.take })
			conn, r := dial(t, addr)
			if _, err := io.WriteString(conn, c.request); err != nil {
				t.Fatal(err)
			}
			if got := status(t, r).StatusCode; got != c.want {
				t.Fatalf("answered %d, want %d", got, c.want)
			}
			if c.want != 202 {
				if len(s.admitted)+len(s.withdrawn) > 0 {
					t.Fatal("let in")
				}
				return
			}
			m := nettest.Wait(t, "message", s.admitted)
			_, body, _ := strings.Cut(c.request, "\r\n\r\n")
			if left := time.Until(time.Unix(0, m.Until)); left <= 0 || left > 20480*time.Millisecond {
				t.Errorf("%v left", left)
			}
			m.Until, m.Since = 0, 0
			if diff := cmp.Diff(&journal.Message{
				ID: "9b1f", Key: "5c0f", Class: "notice", Tenant: "acme", Dest: 7,
				Body: []byte(body),
			}, m, cmpopts.EquateEmpty()); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// A client that has left before its 202 hands the message in again: the first one must not be
// sent as well. Neither must one whose connection broke by a fault of ours.
func TestNotHeardIsWithdrawn(t *testing.T) {
	taking, left := make(chan bool), make(chan bool)
	s, _, addr := serve(t, func(m *journal.Message) error {
		taking <- true
		<-left
		return nil
	})
	conn, _ := dial(t, addr)
	io.WriteString(conn, request("notice", good, "b"))
	nettest.Wait(t, "submission", taking)
	conn.Close()
	time.AfterFunc(patience+50*time.Millisecond, func() { close(left) })
	nettest.Wait(t, "withdrawal", s.withdrawn)
	if len(s.admitted) > 0 {
		t.Fatal("let in")
	}
}

// After a stall requests are read whose clients have left, and submitted again elsewhere: the
// server's own word of their leaving comes too late.
func TestLeftDuringAStall(t *testing.T) {
	s, _, server := unstarted(t, func(*journal.Message) error { return nil })
	for range 8 {
		conn, _ := dial(t, server.Listener.Addr().String())
		io.WriteString(conn, request("notice", good, "b"))
		conn.Close()
	}
	server.Start()
	for range 8 {
		nettest.Wait(t, "withdrawal", s.withdrawn)
	}
	if len(s.admitted) > 0 {
		t.Fatal("let in")
	}
}

// The time that a message has left counts from its coming, also where the courier stood still and
// read it late.
func TestTimeCountsFromTheSocket(t *testing.T) {
	s, _, server := unstarted(t, func(*journal.Message) error { return nil })
	sent := time.Now()
	conn, _ := dial(t, server.Listener.Addr().String())
	io.WriteString(conn, request("notice", good, "b"))
	time.Sleep(patience / 2)
	server.Start()
	m := nettest.Wait(t, "message", s.admitted)
	if late := time.Unix(0, m.Until).Sub(sent) - 20480*time.Millisecond; late > patience/4 {
		t.Fatalf("the message may end %v late", late)
	}
}

// Connections that say nothing, or no whole request, are no reason to keep others waiting: the
// one silent for longest makes room, and one with a request that is read never does.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	hold, taking := make(chan bool), make(chan bool, 1)
	_, _, addr := serve(t, func(m *journal.Message) error {
		if m.ID == "held" {
			taking <- true
			<-hold
		}
		return nil
	})
	held, heldAnswer := dial(t, addr)
	io.WriteString(held, request("notice", strings.Replace(good, "9b1f", "held", 1), "b"))
	nettest.Wait(t, "submission", taking)
	for _, text := range []string{"", "POST /notice HTTP/1.1\r\nX-A: ", "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"} {
		for range 8 { // twice as many as are let in
			conn, r := dial(t, addr)
			io.WriteString(conn, text)
			if strings.HasSuffix(text, "\r\n\r\n") {
				status(t, r) // and kept open
			}
		}
	}
	for i := range 8 {
		conn, r := dial(t, addr)
		io.WriteString(conn, request("notice", strings.Replace(good, "9b1f", fmt.Sprint("m", i), 1), "b"))
		if got := status(t, r).StatusCode; got != 202 {
			t.Fatalf("answered %d", got)
		}
	}
	close(hold)
	status(t, heldAnswer) // whichever: its client may have left by now
}

// A fault in one request stays with it: it is answered, since a connection that ends without
// an answer loses the message.
func TestPanicStaysWithItsRequest(t *testing.T) {
	first := true
	s, _, addr := serve(t, func(m *journal.Message) error {
		if first {
			first = false
			panic("a fault")
		}
		return nil
	})
	conn, r := dial(t, addr)
	for _, want := range []int{503, 202} {
		io.WriteString(conn, request("notice", good, "b"))
		if got := status(t, r).StatusCode; got != want {
			t.Fatalf("answered %d, want %d", got, want)
		}
	}
	nettest.Wait(t, "message", s.admitted)
}

// Before its end the courier refuses, in words, and closes the connection behind the answer.
func TestDrain(t *testing.T) {
	s, f, addr := serve(t, func(*journal.Message) error { return nil })
	f.Drain(true)
	for _, text := range []string{request("notice", good, "b"), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"} {
		conn, r := dial(t, addr)
		io.WriteString(conn, text)
		if res := status(t, r); res.StatusCode != 503 || !res.Close {
			t.Fatalf("%d, close %v", res.StatusCode, res.Close)
		}
	}
	if len(s.admitted) > 0 {
		t.Fatal("let in")
	}
}
