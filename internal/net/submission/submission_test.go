package submission

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
	"raventrestle/internal/net/connlimit"
	"raventrestle/internal/net/nettest"
	"raventrestle/internal/stats"
)

// fakeCourier accepts messages as the take function says.
type fakeCourier struct {
	take      func(*journal.Message) error
	admitted  chan *journal.Message
	withdrawn chan *journal.Message
}

func (s *fakeCourier) Take(m *journal.Message) error                        { return s.take(m) }
func (s *fakeCourier) Admit(m *journal.Message, resubmitted, orphaned bool) { s.admitted <- m }
func (s *fakeCourier) Withdraw(m *journal.Message)                          { s.withdrawn <- m }

func startServer(t *testing.T, take func(*journal.Message) error) (*fakeCourier, *Handler, string) {
	c, h, s := newServer(t, take)
	s.Start()
	return c, h, s.Listener.Addr().String()
}

func newServer(t *testing.T, take func(*journal.Message) error) (*fakeCourier, *Handler, *httptest.Server) {
	courier := &fakeCourier{take, make(chan *journal.Message, 16), make(chan *journal.Message, 16)}
	h := New(courier, &config.Names{
		Classes: map[string]int{"notice": 0, "free": 1}, Tenants: map[string]int{"acme": 0},
		Keyed: map[string]bool{"notice": true},
	}, &stats.Stats{}, nettest.Log)
	s := httptest.NewUnstartedServer(h)
	s.Config.ErrorLog, s.Config.ConnContext = h.proxy.ErrorLog, connlimit.ConnContext
	limiter := connlimit.New(s.Listener, 4, ConnTimeouts)
	s.Listener, s.Config.ConnState = limiter, limiter.SetState
	t.Cleanup(s.Close)
	return courier, h, s
}

func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(nettest.Timeout))
	return c, bufio.NewReader(c)
}

func readAnswer(t *testing.T, r *bufio.Reader) *http.Response {
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

const validHeaders = "X-Txn: 9b1f\r\nX-Org: acme\r\nX-Remaining: 20.48\r\nIdempotency-Key: 5c0f\r\nX-Consignee: dest=7\r\n"

func request(class, headers, body string) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", class, headers, len(body), body)
}

// Every request is answered on its connection. A message is admitted only if it was written to the journal and its client
// was told so.
func TestSubmissionIsAnswered(t *testing.T) {
	full := errors.New("full")
	plain := func(line, rest string) string { return line + "\r\nHost: x\r\n" + validHeaders + rest }
	without := func(line string) string { return strings.Replace(validHeaders, line, "", 1) }
	for name, c := range map[string]struct {
		request string
		take    error
		want    int
	}{
		"accepted":                     {request("notice", validHeaders, "\r\n\x00any"), nil, 202},
		"empty body":                   {request("notice", validHeaders, ""), nil, 202}, // the proxy passes on a nil body
		"full":                         {request("notice", validHeaders, "b"), full, 503},
		"no id":                        {request("notice", without("X-Txn: 9b1f\r\n"), "b"), nil, 400},
		"id with a space":              {request("notice", strings.Replace(validHeaders, "9b1f", "9b 1f", 1), "b"), nil, 400},
		"no remaining time":            {request("notice", without("X-Remaining: 20.48\r\n"), "b"), nil, 400},
		"remaining time is no number":  {request("notice", strings.Replace(validHeaders, "20.48", "NaN", 1), "b"), nil, 400},
		"expired":                      {request("notice", strings.Replace(validHeaders, "20.48", "-0.1", 1), "b"), nil, 503},
		"no destination":               {request("notice", without("X-Consignee: dest=7\r\n"), "b"), nil, 400},
		"unknown destination":          {request("notice", validHeaders, "b"), ErrUnknownDest, 503},
		"no key":                       {request("notice", without("Idempotency-Key: 5c0f\r\n"), "b"), nil, 400},
		"unknown tenant":               {request("notice", strings.Replace(validHeaders, "acme", "nobody", 1), "b"), nil, 400},
		"two length headers":           {plain("POST /notice HTTP/1.1", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /hidden"), nil, 411},
		"two length headers, HTTP/1.0": {plain("POST /notice HTTP/1.0", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), nil, 505},
		"huge":                         {plain("POST /notice HTTP/1.1", "Content-Length: 60000000\r\n\r\n"), nil, 413},
		"negative":                     {plain("POST /notice HTTP/1.1", "Content-Length: -1\r\n\r\n"), nil, 400},
		"unknown class":                {request("other", validHeaders, "b"), nil, 400},
		"largest body":                 {request("notice", validHeaders, strings.Repeat("x", 64<<10)), nil, 202},
		"too large":                    {request("notice", validHeaders, strings.Repeat("x", 64<<10+1)), nil, 413},
	} {
		t.Run(name, func(t *testing.T) {
			s, _, addr := startServer(t, func(*journal.Message) error { return c.take })
			conn, r := dial(t, addr)
			if _, err := io.WriteString(conn, c.request); err != nil {
				t.Fatal(err)
			}
			if got := readAnswer(t, r).StatusCode; got != c.want {
				t.Fatalf("answered %d, want %d", got, c.want)
			}
			if c.want != 202 {
				if len(s.admitted)+len(s.withdrawn) > 0 {
					t.Fatal("rejected message was admitted")
				}
				return
			}
			m := nettest.Wait(t, "message", s.admitted)
			_, body, _ := strings.Cut(c.request, "\r\n\r\n")
			if remaining := time.Until(time.Unix(0, m.ExpiresAt)); remaining <= 0 || remaining > 20480*time.Millisecond {
				t.Errorf("remaining time is %v", remaining)
			}
			m.ExpiresAt, m.AcceptedAt = 0, 0
			if diff := cmp.Diff(&journal.Message{
				ID: "9b1f", Key: "5c0f", Class: "notice", Tenant: "acme", Dest: 7,
				Body: []byte(body),
			}, m, cmpopts.EquateEmpty()); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// A client that left before its 202 submits the message again, so the first submission must not be sent as well. The same
// applies if the connection broke because of a fault of this process.
func TestMessageOfClientThatLeftIsWithdrawn(t *testing.T) {
	taking, clientLeft := make(chan bool), make(chan bool)
	s, _, addr := startServer(t, func(m *journal.Message) error {
		taking <- true
		<-clientLeft
		return nil
	})
	conn, _ := dial(t, addr)
	io.WriteString(conn, request("notice", validHeaders, "b"))
	nettest.Wait(t, "submission", taking)
	conn.Close()
	time.AfterFunc(answerTimeout+50*time.Millisecond, func() { close(clientLeft) })
	nettest.Wait(t, "withdrawal", s.withdrawn)
	if len(s.admitted) > 0 {
		t.Fatal("message of a client that left was admitted")
	}
}

// After a stall, requests are read whose clients have left and submitted the message elsewhere. The server notices that
// they left too late.
func TestMessageOfClientThatLeftDuringStallIsWithdrawn(t *testing.T) {
	s, _, server := newServer(t, func(*journal.Message) error { return nil })
	for range 8 {
		conn, _ := dial(t, server.Listener.Addr().String())
		io.WriteString(conn, request("notice", validHeaders, "b"))
		conn.Close()
	}
	server.Start()
	for range 8 {
		nettest.Wait(t, "withdrawal", s.withdrawn)
	}
	if len(s.admitted) > 0 {
		t.Fatal("message of a client that left was admitted")
	}
}

// A message's remaining time counts from its arrival at the socket, even if the process was stalled and read it late.
func TestDeadlineCountsFromArrivalAtSocket(t *testing.T) {
	s, _, server := newServer(t, func(*journal.Message) error { return nil })
	sent := time.Now()
	conn, _ := dial(t, server.Listener.Addr().String())
	io.WriteString(conn, request("notice", validHeaders, "b"))
	time.Sleep(answerTimeout / 2)
	server.Start()
	m := nettest.Wait(t, "message", s.admitted)
	if late := time.Unix(0, m.ExpiresAt).Sub(sent) - 20480*time.Millisecond; late > answerTimeout/4 {
		t.Fatalf("the message's deadline is %v late", late)
	}
}

// Connections without a complete request don't keep others waiting: the one that has been idle for longest is evicted, and
// one whose request has been read never is.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	release, taking := make(chan bool), make(chan bool, 1)
	_, _, addr := startServer(t, func(m *journal.Message) error {
		if m.ID == "held" {
			taking <- true
			<-release
		}
		return nil
	})
	blocked, blockedReader := dial(t, addr)
	io.WriteString(blocked, request("notice", strings.Replace(validHeaders, "9b1f", "held", 1), "b"))
	nettest.Wait(t, "submission", taking)
	for _, text := range []string{"", "POST /notice HTTP/1.1\r\nX-A: ", "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"} {
		for range 8 { // twice the connection limit
			conn, r := dial(t, addr)
			io.WriteString(conn, text)
			if strings.HasSuffix(text, "\r\n\r\n") {
				readAnswer(t, r) // and stays open
			}
		}
	}
	for i := range 8 {
		conn, r := dial(t, addr)
		io.WriteString(conn, request("notice", strings.Replace(validHeaders, "9b1f", fmt.Sprint("m", i), 1), "b"))
		if got := readAnswer(t, r).StatusCode; got != 202 {
			t.Fatalf("answered %d", got)
		}
	}
	close(release)
	readAnswer(t, blockedReader) // any status: its client may count as gone by now
}

// A panic in one request fails only that request. It is still answered, since a connection that is closed without an
// answer loses the message.
func TestPanicFailsOnlyItsRequest(t *testing.T) {
	first := true
	s, _, addr := startServer(t, func(m *journal.Message) error {
		if first {
			first = false
			panic("test")
		}
		return nil
	})
	conn, r := dial(t, addr)
	for _, want := range []int{503, 202} {
		io.WriteString(conn, request("notice", validHeaders, "b"))
		if got := readAnswer(t, r).StatusCode; got != want {
			t.Fatalf("answered %d, want %d", got, want)
		}
	}
	nettest.Wait(t, "message", s.admitted)
}

// A draining courier rejects with an answer, and closes the connection after it.
func TestDrainRejectsAndClosesConnections(t *testing.T) {
	s, h, addr := startServer(t, func(*journal.Message) error { return nil })
	h.Drain(true)
	for _, text := range []string{request("notice", validHeaders, "b"), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"} {
		conn, r := dial(t, addr)
		io.WriteString(conn, text)
		if res := readAnswer(t, r); res.StatusCode != 503 || !res.Close {
			t.Fatalf("%d, close %v", res.StatusCode, res.Close)
		}
	}
	if len(s.admitted) > 0 {
		t.Fatal("message admitted while draining")
	}
}
