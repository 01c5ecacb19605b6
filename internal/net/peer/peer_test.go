package peer

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"raventrestle"
	"raventrestle/internal/net/nettest"
)

func newTestPeer(t *testing.T, addr string) (*Peer, chan raventrestle.Outcome) {
	outcomes := make(chan raventrestle.Outcome, 64)
	p := New(t.Context(), Config{
		Name: "p", Addr: addr, ConnectTimeout: time.Second, IdleTimeout: 5 * time.Second,
		MailboxSize: 64, Log: nettest.Log, Counts: &Counts{}, OnOutcome: func(e raventrestle.Event) { outcomes <- e.(raventrestle.Outcome) },
	})
	return p, outcomes
}

func newAttempt(id string, timeout time.Duration) Attempt {
	return Attempt{ID: id, Key: "key" + id, Index: 2, Body: []byte("body " + id), Timeout: timeout, Deadline: time.Now().Add(time.Hour)}
}

var ignoreDuration = cmpopts.IgnoreFields(raventrestle.Outcome{}, "Duration")

// Each way in which a call can end has its outcome, and no call is made twice. A call whose last byte was written may have
// run; one that could not be written completely never ran.
func TestCallOutcomes(t *testing.T) {
	const short, long = 100 * time.Millisecond, nettest.Timeout
	reset := func(c net.Conn, _ nettest.Call) bool { c.(*net.TCPConn).SetLinger(0); return false }
	noAnswer := func(net.Conn, nettest.Call) bool { return true }
	for name, c := range map[string]struct {
		handler nettest.Handler
		timeout time.Duration
		want    raventrestle.Outcome
	}{
		"delivered": {
			nettest.Answer(nettest.Plain(200, "X-Pressure: {\"x9\":[1],\"x0\":0.4,\"x1\":25}\r\n", "any")), long,
			raventrestle.Outcome{Status: raventrestle.OK, Final: true, Report: raventrestle.LimitReport{Remaining: 0.4, Limit: 25}},
		},
		"error": {nettest.Answer(nettest.Plain(500, "", "")), long, raventrestle.Outcome{Status: raventrestle.Error}},
		"Retry-After wait": {
			nettest.Answer(nettest.Plain(429, "X-Come-Back-Ms: 340\r\n", "")), long,
			raventrestle.Outcome{Status: raventrestle.Rejected, RetryAfter: 340 * time.Millisecond},
		},
		"rejected":                     {nettest.Answer(nettest.Plain(503, "", "")), long, raventrestle.Outcome{Status: raventrestle.Rejected}},
		"no free slot":                 {nettest.Answer(nettest.Plain(503, "X-Line-Busy: 1\r\n", "")), long, raventrestle.Outcome{Status: raventrestle.NotSent}},
		"expired":                      {nettest.Answer(nettest.Plain(504, "", "")), long, raventrestle.Outcome{Status: raventrestle.NotSent}},
		"message ended":                {nettest.Answer(nettest.Plain(410, "", "")), long, raventrestle.Outcome{Status: raventrestle.NotSent, Final: true}},
		"reset":                        {reset, long, raventrestle.Outcome{Status: raventrestle.Reset}},
		"half a status line":           {nettest.Handler(func(c net.Conn, _ nettest.Call) bool { io.WriteString(c, "HTTP/1.1 20"); return false }), long, raventrestle.Outcome{Status: raventrestle.Error}},
		"broken after the status line": {nettest.Handler(func(c net.Conn, _ nettest.Call) bool { io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Pre"); return false }), long, raventrestle.Outcome{Status: raventrestle.OK, Final: true}},
		"no answer":                    {noAnswer, short, raventrestle.Outcome{Status: raventrestle.TimedOut}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoint := nettest.NewPeer(t, c.handler)
			p, outcomes := newTestPeer(t, endpoint.Addr())
			p.Call([]Attempt{newAttempt("a", c.timeout)})
			c.want.ID, c.want.Target, c.want.Attempt = "a", "p", 2
			if diff := cmp.Diff(c.want, nettest.Wait(t, "outcome", outcomes), ignoreDuration); diff != "" {
				t.Fatal(diff)
			}
			call := nettest.Wait(t, "call", endpoint.Calls)
			if call.Path != "/inbox" || call.Body != "body a" || call.Header.Get("X-Txn") != "a" ||
				call.Header.Get("Idempotency-Key") != "keya" || len(endpoint.Calls) > 0 {
				t.Fatalf("call %+v, and %d more", call, len(endpoint.Calls))
			}
		})
	}
	t.Run("refused connection", func(t *testing.T) {
		endpoint := nettest.NewPeer(t, nil)
		endpoint.Close()
		p, outcomes := newTestPeer(t, endpoint.Addr())
		p.Call([]Attempt{newAttempt("a", long)})
		if o := nettest.Wait(t, "outcome", outcomes); o.Status != raventrestle.ConnectFailed {
			t.Fatalf("%+v", o)
		}
	})
}

// http.Transport repeats a request by itself if an idle connection turns out to be closed. The peer detects a closed
// connection before it uses it, and makes one call per attempt.
func TestAttemptIsSentOnce(t *testing.T) {
	endpoint := nettest.NewPeer(t, func(c net.Conn, _ nettest.Call) bool {
		io.WriteString(c, nettest.Plain(200, "", ""))
		return false // closes without announcing it
	})
	p, outcomes := newTestPeer(t, endpoint.Addr())
	for range 5 {
		p.Call([]Attempt{newAttempt("a", nettest.Timeout)})
		if o := nettest.Wait(t, "outcome", outcomes); o.Status != raventrestle.OK && o.Status != raventrestle.Reset {
			t.Fatalf("%+v", o)
		}
		nettest.Wait(t, "call", endpoint.Calls)
	}
	if len(endpoint.Calls) > 0 || p.Counts.Calls.Load() != 5 {
		t.Fatalf("endpoint received %d more calls than the %d that were made", len(endpoint.Calls), p.Counts.Calls.Load())
	}
}

// An answer to an attempt that was given up must not be taken for the next attempt's answer. The connection is closed
// before the outcome is reported.
func TestLateAnswerIsNotTakenForNextCall(t *testing.T) {
	answerNow := make(chan bool)
	endpoint := nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
		if call.Header.Get("X-Txn") == "slow" {
			<-answerNow
			io.WriteString(c, nettest.Plain(200, "", ""))
		} else {
			close(answerNow)
			io.WriteString(c, nettest.Plain(500, "", ""))
		}
		return true
	})
	p, outcomes := newTestPeer(t, endpoint.Addr())
	p.Call([]Attempt{newAttempt("slow", 50*time.Millisecond)})
	if o := nettest.Wait(t, "outcome", outcomes); o.Status != raventrestle.TimedOut {
		t.Fatalf("%+v", o)
	}
	p.Call([]Attempt{newAttempt("next", nettest.Timeout)})
	if o := nettest.Wait(t, "outcome", outcomes); o.ID != "next" || o.Status != raventrestle.Error {
		t.Fatalf("%+v", o)
	}
}

// An invalid answer is an error of a call that has run, and its connection is not reused. An exception is a status 200 for
// a single message, which counts whatever follows. A valid answer may follow interim answers, and excess bytes during or
// just after it do not affect a later call.
func TestInvalidAndOversizedAnswers(t *testing.T) {
	okAnswer := nettest.Plain(200, "", "")
	const ok, er, full = raventrestle.OK, raventrestle.Error, raventrestle.Rejected
	for name, c := range map[string]struct {
		answer, trailing string
		want             raventrestle.Status
		reused           bool
	}{
		"random bytes":            {"\x00\xff\x17 no answer", "", er, false},
		"line too long":           {strings.Repeat("x", 100<<10), "", er, false},
		"malformed status code":   {"HTTP/1.1 +20 OK\r\n\r\n", "", er, false},
		"malformed header":        {"HTTP/1.1 429 x\r\nno colon\r\n\r\n", "", er, false},
		"header too long":         {"HTTP/1.1 503 x\r\nA: " + strings.Repeat("a", 100<<10), "", er, false},
		"body too short":          {"HTTP/1.1 503 x\r\nContent-Length: 9\r\n\r\nfour", "", er, false},
		"negative length":         {"HTTP/1.1 429 x\r\nContent-Length: -9\r\n\r\n", "", er, false},
		"200, malformed header":   {"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "", ok, false},
		"200, body too short":     {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfour", "", ok, false},
		"200, of 3 GB":            {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<20), "", ok, false},
		"interim answers":         {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\nA: b\r\n\r\n" + okAnswer, "", ok, true},
		"interim, then 429":       {"HTTP/1.1 102 x\r\n\r\n" + nettest.Plain(429, "", ""), "", full, true},
		"truncated report":        {nettest.Plain(200, "X-Pressure: {\"x0\":0.4,\"x1\":2\r\n", ""), "", ok, true},
		"answer sent twice":       {okAnswer + okAnswer, "", ok, false},
		"random bytes just after": {okAnswer, "\x00noise", ok, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoint := nettest.NewPeer(t, func(conn net.Conn, call nettest.Call) bool {
				if call.Header.Get("X-Txn") != "a" {
					return nettest.Answer(nettest.Plain(500, "", ""))(conn, call)
				}
				if io.WriteString(conn, c.answer); c.trailing != "" {
					time.Sleep(reuseDelay / 5)
					io.WriteString(conn, c.trailing)
				}
				return true
			})
			p, outcomes := newTestPeer(t, endpoint.Addr())
			p.Call([]Attempt{newAttempt("a", nettest.Timeout)})
			o := nettest.Wait(t, "outcome", outcomes)
			if o.Status != c.want || o.Final != (c.want == ok) || o.Duration > time.Second || o.Report.Limit != 0 {
				t.Fatalf("%+v", o)
			}
			if c.reused {
				time.Sleep(2 * reuseDelay)
			}
			p.Call([]Attempt{newAttempt("b", nettest.Timeout)}) // its answer is an error
			if o := nettest.Wait(t, "outcome", outcomes); o.ID != "b" || o.Status != er {
				t.Fatalf("the next call: %+v", o)
			}
			if n := p.Counts.Dials.Load(); (n == 1) != c.reused {
				t.Fatalf("%d connections", n)
			}
		})
	}
}

// Connections are reused for later calls, and closed by CloseIdle and Cancel.
func TestConnectionReuseAndClose(t *testing.T) {
	endpoint := nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
		return call.Header.Get("X-Txn") == "hang" || nettest.Answer(nettest.Plain(200, "", ""))(c, call)
	})
	p, outcomes := newTestPeer(t, endpoint.Addr())
	for range 3 {
		p.Call([]Attempt{newAttempt("a", nettest.Timeout)})
		nettest.Wait(t, "outcome", outcomes)
		nettest.Wait(t, "call", endpoint.Calls)
		time.Sleep(2 * reuseDelay)
	}
	if n := p.Counts.Dials.Load(); n != 1 {
		t.Fatalf("%d connections for three consecutive calls", n)
	}
	p.CloseIdle()
	nettest.Wait(t, "end of the idle connection", endpoint.ConnsClosed)
	p.Call([]Attempt{newAttempt("hang", nettest.Timeout)})
	nettest.Wait(t, "call", endpoint.Calls)
	p.Cancel("hang")
	if o := nettest.Wait(t, "outcome", outcomes); o.Status != raventrestle.Canceled {
		t.Fatalf("%+v", o)
	}
	nettest.Wait(t, "end of the cancelled call", endpoint.ConnsClosed)
}

// A call with several messages is framed exactly, and each message has its own outcome. A message that the answer does not
// name may have run. A rejected call has run no message.
func TestBatchOutcomes(t *testing.T) {
	attempts := []Attempt{{ID: "a", Key: "k", Body: []byte("x\r\ny")}, {ID: "b"}, {ID: "c", Body: []byte("z")}, {ID: "d"}, {ID: "e"}, {ID: "f"}}
	status := func(s ...raventrestle.Status) []raventrestle.Status { return s }
	const ok, er, full, notSent, reset = raventrestle.OK, raventrestle.Error, raventrestle.Rejected, raventrestle.NotSent, raventrestle.Reset
	for name, c := range map[string]struct {
		answer string
		want   []raventrestle.Status
		final  string
	}{
		"an outcome for each": {
			nettest.Plain(200, "X-Come-Back-Ms: 70\r\n", "a done\r\nc failed\r\nb busy\r\nd void\r\ne used_up\r\n"),
			status(ok, full, er, notSent, notSent, reset), "ad",
		},
		"truncated":      {"HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\na done\r\nb do", status(er, er, er, er, er, er), ""},
		"error for all":  {nettest.Plain(500, "", ""), status(er, er, er, er, er, er), ""},
		"call too large": {nettest.Plain(413, "", ""), status(notSent, notSent, notSent, notSent, notSent, notSent), ""},
		"call malformed": {nettest.Plain(400, "", ""), status(notSent, notSent, notSent, notSent, notSent, notSent), ""},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := nettest.NewPeer(t, func(conn net.Conn, _ nettest.Call) bool { io.WriteString(conn, c.answer); return false })
			p, outcomes := newTestPeer(t, endpoint.Addr())
			sent, deadline := make([]Attempt, len(attempts)), time.Now().Add(time.Hour)
			for i, x := range attempts {
				x.Timeout, x.Deadline = nettest.Timeout, deadline
				sent[i] = x
			}
			p.Call(sent)
			got, final := make([]raventrestle.Status, len(attempts)), ""
			for range attempts {
				o := nettest.Wait(t, "outcome", outcomes)
				got[o.ID[0]-'a'] = o.Status
				if o.Final {
					final += string(o.ID)
				}
				if strings.Contains(c.answer, "Come-Back") && o.RetryAfter != 70*time.Millisecond {
					t.Errorf("%s has a retry-after of %v", o.ID, o.RetryAfter)
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" || final != c.final {
				t.Fatalf("closed %q: %s", final, diff)
			}
			call := nettest.Wait(t, "call", endpoint.Calls)
			want := "a k 4\r\nx\r\ny\r\nb - 0\r\n\r\nc - 1\r\nz\r\nd - 0\r\n\r\ne - 0\r\n\r\nf - 0\r\n\r\n"
			if call.Path != "/inbox/bulk" || call.Body != want {
				t.Fatalf("%s %q", call.Path, call.Body)
			}
		})
	}
}

// In a call with several messages, one whose deadline passes is reported at once. The others end with the call, since a
// further attempt before that could deliver a second copy.
func TestBatchTimeout(t *testing.T) {
	endpoint := nettest.NewPeer(t, func(net.Conn, nettest.Call) bool { return true })
	p, outcomes := newTestPeer(t, endpoint.Addr())
	late, other := newAttempt("late", 50*time.Millisecond), newAttempt("mate", 50*time.Millisecond)
	late.Deadline = time.Now().Add(50 * time.Millisecond)
	longest := newAttempt("longest", time.Second)
	p.Call([]Attempt{late, other, longest})
	if o := nettest.Wait(t, "outcome", outcomes); o.ID != "late" || o.Status != raventrestle.TimedOut || len(endpoint.ConnsClosed) > 0 {
		t.Fatalf("%+v, %d connections closed", o, len(endpoint.ConnsClosed))
	}
	for _, id := range []raventrestle.MessageID{"longest", "mate"} {
		if o := nettest.Wait(t, "outcome", outcomes); o.ID != id || o.Duration < time.Second {
			t.Fatalf("%+v", o)
		}
	}
	nettest.Wait(t, "end of the call", endpoint.ConnsClosed)
}

// An attempt that expires during its call must not be the first of the call. In nine runs of the test day "brink", the
// platform lost the other messages of 11 such calls although the answers said done, and none in the 27 calls in which only
// a later message had expired.
func TestLatestDeadlineIsFirstInCall(t *testing.T) {
	expired := make(chan struct{})
	endpoint := nettest.NewPeer(t, func(c net.Conn, _ nettest.Call) bool {
		<-expired
		_, err := io.WriteString(c, nettest.Plain(200, "", "late done\r\nmate done\r\nlast done\r\n"))
		return err == nil
	})
	p, outcomes := newTestPeer(t, endpoint.Addr())
	late, middle, last := newAttempt("late", nettest.Timeout), newAttempt("mate", nettest.Timeout), newAttempt("last", nettest.Timeout)
	late.Deadline, last.Deadline = time.Now().Add(20*time.Millisecond), middle.Deadline.Add(time.Second)
	p.Call([]Attempt{late, middle, last})
	if o := nettest.Wait(t, "outcome", outcomes); o.ID != "late" || o.Status != raventrestle.TimedOut {
		t.Fatalf("%+v", o)
	}
	close(expired)
	for range 2 {
		if o := nettest.Wait(t, "outcome", outcomes); o.Status != raventrestle.OK || !o.Final {
			t.Fatalf("%+v", o)
		}
	}
	const want = "last keylast 9\r\nbody last\r\nmate keymate 9\r\nbody mate\r\nlate keylate 9\r\nbody late\r\n"
	if call := nettest.Wait(t, "call", endpoint.Calls); call.Body != want {
		t.Fatalf("%q", call.Body)
	}
}

// The deadline of one message passes while the call waits for its connection. That message has had its final answer, so the
// call is not written and the other message never ran. Writing it made the platform report a lost message, "sent on after
// its final answer", in the test day with a mass network split.
func TestCallIsNotWrittenAfterAnAttemptExpired(t *testing.T) {
	endpoint := nettest.NewPeer(t, nettest.Answer(nettest.Plain(500, "", "")))
	outcomes, connect := make(chan raventrestle.Outcome, 64), make(chan struct{})
	p := New(t.Context(), Config{
		Name: "p", Addr: endpoint.Addr(), IdleTimeout: 5 * time.Second, MailboxSize: 64, Log: nettest.Log,
		Counts: &Counts{}, OnOutcome: func(e raventrestle.Event) { outcomes <- e.(raventrestle.Outcome) },
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			<-connect
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		},
	})
	late, other := newAttempt("late", nettest.Timeout), newAttempt("mate", nettest.Timeout)
	late.Deadline = time.Now().Add(20 * time.Millisecond)
	p.Call([]Attempt{other, late})
	if o := nettest.Wait(t, "outcome", outcomes); o.ID != "late" || o.Status != raventrestle.TimedOut {
		t.Fatalf("%+v", o)
	}
	close(connect)
	if o := nettest.Wait(t, "outcome", outcomes); o.ID != "mate" || o.Status != raventrestle.NotSent || len(endpoint.Calls) > 0 {
		t.Fatalf("%+v, %d calls", o, len(endpoint.Calls))
	}
}

// A peer that is stopped between the policy's decision and the call, for example because the list moved it, still reports
// each attempt. Otherwise the message would stay in flight for ever.
func TestStoppedPeerReportsItsAttempts(t *testing.T) {
	endpoint := nettest.NewPeer(t, nettest.Answer(nettest.Plain(200, "", "")))
	p, outcomes := newTestPeer(t, endpoint.Addr())
	p.Stop()
	for i := range 20 {
		if p.Call([]Attempt{newAttempt("a", nettest.Timeout)}) {
			if o := nettest.Wait(t, "outcome", outcomes); o.Status != raventrestle.NotSent && o.Status != raventrestle.OK {
				t.Fatalf("%+v", o)
			}
		} else if i == 0 {
			t.Log("the mailbox was closed at once")
		}
	}
}

// A call is not written if its connection is established during a wait of its route, or after the list named the endpoint
// as draining. Writing it broke a Retry-After wait in the test day with a mass zone failure. The connection is kept for
// the call after the wait.
func TestBlockedCallIsNotWritten(t *testing.T) {
	endpoint := nettest.NewPeer(t, nettest.Answer(nettest.Plain(200, "", "")))
	p, outcomes := newTestPeer(t, endpoint.Addr())
	call := func(id string) raventrestle.Status {
		p.Call([]Attempt{newAttempt(id, nettest.Timeout)})
		return nettest.Wait(t, "outcome", outcomes).Status
	}
	p.BlockUntil(time.Now().Add(time.Hour))
	p.BlockUntil(time.Now().Add(time.Second)) // a shorter block does not shorten a longer one
	if s := call("held"); s != raventrestle.NotSent {
		t.Fatalf("a blocked call ended as %v", s)
	}
	time.Sleep(2 * reuseDelay)
	p.BlockUntil(time.Time{})
	if s := call("later"); s != raventrestle.OK || p.Counts.Dials.Load() != 1 {
		t.Fatalf("the call after the block ended as %v, %d connections", s, p.Counts.Dials.Load())
	}
	if c := nettest.Wait(t, "call", endpoint.Calls); c.Header.Get("X-Txn") != "later" || len(endpoint.Calls) > 0 {
		t.Fatalf("%s was written, and %d more", c.Header.Get("X-Txn"), len(endpoint.Calls))
	}
	p.BlockUntil(time.Now().Add(20 * time.Millisecond))
	time.Sleep(2 * reuseDelay)
	if s := call("after"); s != raventrestle.OK {
		t.Fatalf("a call after the block expired ended as %v", s)
	}
	nettest.Wait(t, "call", endpoint.Calls)
	late, other := newAttempt("late", nettest.Timeout), newAttempt("mate", nettest.Timeout)
	late.SendBy = time.Now().Add(-time.Millisecond) // a retry past its send deadline, in a call with another message
	p.Call([]Attempt{other, late})
	for range 2 {
		if o := nettest.Wait(t, "outcome", outcomes); o.Status != raventrestle.NotSent || len(endpoint.Calls) > 0 {
			t.Fatalf("%+v, %d calls", o, len(endpoint.Calls))
		}
	}
}

// Canceling one message ends the call for all its messages and closes its connection. The endpoint may have run them, so
// none is reported as never run.
func TestCancelEndsAllAttemptsOfACall(t *testing.T) {
	endpoint := nettest.NewPeer(t, func(net.Conn, nettest.Call) bool { return true })
	outcomes := make(chan raventrestle.Outcome, 4)
	p := New(t.Context(), Config{
		Name: "p", Addr: endpoint.Addr(), ConnectTimeout: time.Second, IdleTimeout: 5 * time.Second, MailboxSize: 64, Log: nettest.Log,
		Counts: &Counts{}, OnOutcome: func(e raventrestle.Event) { outcomes <- e.(raventrestle.Outcome) },
	})
	deadline := time.Now().Add(nettest.Timeout)
	p.Call([]Attempt{{ID: "a", Timeout: nettest.Timeout, Deadline: deadline}, {ID: "b", Timeout: nettest.Timeout, Deadline: deadline}})
	nettest.Wait(t, "call", endpoint.Calls)
	p.Cancel("a")
	for range 2 {
		if o := nettest.Wait(t, "outcome", outcomes); o.Status != raventrestle.Canceled {
			t.Errorf("%+v", o)
		}
	}
	nettest.Wait(t, "end of the connection", endpoint.ConnsClosed)
}
