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

func start(t *testing.T, addr string) (*Peer, chan raventrestle.Outcome) {
	out := make(chan raventrestle.Outcome, 64)
	p := New(t.Context(), Config{
		Name: "p", Addr: addr, ConnectWithin: time.Second, IdleClose: 5 * time.Second,
		Mailbox: 64, Log: nettest.Log, Counts: &Counts{}, Tell: func(e raventrestle.Event) { out <- e.(raventrestle.Outcome) },
	})
	return p, out
}

func try(id string, wait time.Duration) Try {
	return Try{ID: id, Key: "key" + id, N: 2, Body: []byte("body " + id), Wait: wait, Until: time.Now().Add(time.Hour)}
}

var ignoreTook = cmpopts.IgnoreFields(raventrestle.Outcome{}, "Duration")

// Each way in which a call can end has its outcome, and none is made twice. A call whose last
// byte was written may have run; what could not be written never ran.
func TestOutcomes(t *testing.T) {
	const soon, long = 100 * time.Millisecond, nettest.Timeout
	reset := func(c net.Conn, _ nettest.Call) bool { c.(*net.TCPConn).SetLinger(0); return false }
	hang := func(net.Conn, nettest.Call) bool { return true }
	for name, c := range map[string]struct {
		script nettest.Handler
		wait   time.Duration
		want   raventrestle.Outcome
	}{
		"delivered": {
			nettest.Answer(nettest.Plain(200, "X-Pressure: {\"x9\":[1],\"x0\":0.4,\"x1\":25}\r\n", "any")), long,
			raventrestle.Outcome{Status: raventrestle.OK, Final: true, Report: raventrestle.LimitReport{Remaining: 0.4, Limit: 25}},
		},
		"error": {nettest.Answer(nettest.Plain(500, "", "")), long, raventrestle.Outcome{Status: raventrestle.Error}},
		"told to wait": {
			nettest.Answer(nettest.Plain(429, "X-Come-Back-Ms: 340\r\n", "")), long,
			raventrestle.Outcome{Status: raventrestle.Rejected, RetryAfter: 340 * time.Millisecond},
		},
		"turned away":               {nettest.Answer(nettest.Plain(503, "", "")), long, raventrestle.Outcome{Status: raventrestle.Rejected}},
		"no slot":                   {nettest.Answer(nettest.Plain(503, "X-Line-Busy: 1\r\n", "")), long, raventrestle.Outcome{Status: raventrestle.NotSent}},
		"used up":                   {nettest.Answer(nettest.Plain(504, "", "")), long, raventrestle.Outcome{Status: raventrestle.NotSent}},
		"over":                      {nettest.Answer(nettest.Plain(410, "", "")), long, raventrestle.Outcome{Status: raventrestle.NotSent, Final: true}},
		"reset":                     {reset, long, raventrestle.Outcome{Status: raventrestle.Reset}},
		"half a first line":         {nettest.Handler(func(c net.Conn, _ nettest.Call) bool { io.WriteString(c, "HTTP/1.1 20"); return false }), long, raventrestle.Outcome{Status: raventrestle.Error}},
		"broken after a first line": {nettest.Handler(func(c net.Conn, _ nettest.Call) bool { io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Pre"); return false }), long, raventrestle.Outcome{Status: raventrestle.OK, Final: true}},
		"nothing":                   {hang, soon, raventrestle.Outcome{Status: raventrestle.TimedOut}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			end := nettest.NewPeer(t, c.script)
			p, out := start(t, end.Addr())
			p.Call([]Try{try("a", c.wait)})
			c.want.ID, c.want.Target, c.want.Attempt = "a", "p", 2
			if diff := cmp.Diff(c.want, nettest.Wait(t, "outcome", out), ignoreTook); diff != "" {
				t.Fatal(diff)
			}
			call := nettest.Wait(t, "call", end.Calls)
			if call.Path != "/inbox" || call.Body != "body a" || call.Header.Get("X-Txn") != "a" ||
				call.Header.Get("Idempotency-Key") != "keya" || len(end.Calls) > 0 {
				t.Fatalf("call %+v, and %d more", call, len(end.Calls))
			}
		})
	}
	t.Run("refused connection", func(t *testing.T) {
		end := nettest.NewPeer(t, nil)
		end.Close()
		p, out := start(t, end.Addr())
		p.Call([]Try{try("a", long)})
		if o := nettest.Wait(t, "outcome", out); o.Status != raventrestle.ConnectFailed {
			t.Fatalf("%+v", o)
		}
	})
}

// http.Transport would send the request again by itself when an idle connection turns out to be
// dead. Here the end of an idle connection is seen before it is used, and one try is one call.
func TestOneTryIsOneCall(t *testing.T) {
	end := nettest.NewPeer(t, func(c net.Conn, _ nettest.Call) bool {
		io.WriteString(c, nettest.Plain(200, "", ""))
		return false // closed without a word
	})
	p, out := start(t, end.Addr())
	for range 5 {
		p.Call([]Try{try("a", nettest.Timeout)})
		if o := nettest.Wait(t, "outcome", out); o.Status != raventrestle.OK && o.Status != raventrestle.Reset {
			t.Fatalf("%+v", o)
		}
		nettest.Wait(t, "call", end.Calls)
	}
	if len(end.Calls) > 0 || p.Counts.Calls.Load() != 5 {
		t.Fatalf("%d more calls came than the %d that were made", len(end.Calls), p.Counts.Calls.Load())
	}
}

// An answer that comes after its try was given up must not be taken for the next try's: the
// connection is closed before the outcome is told.
func TestLateAnswerMeetsNoLaterTry(t *testing.T) {
	answerNow := make(chan bool)
	end := nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
		if call.Header.Get("X-Txn") == "slow" {
			<-answerNow
			io.WriteString(c, nettest.Plain(200, "", ""))
		} else {
			close(answerNow)
			io.WriteString(c, nettest.Plain(500, "", ""))
		}
		return true
	})
	p, out := start(t, end.Addr())
	p.Call([]Try{try("slow", 50*time.Millisecond)})
	if o := nettest.Wait(t, "outcome", out); o.Status != raventrestle.TimedOut {
		t.Fatalf("%+v", o)
	}
	p.Call([]Try{try("next", nettest.Timeout)})
	if o := nettest.Wait(t, "outcome", out); o.ID != "next" || o.Status != raventrestle.Error {
		t.Fatalf("%+v", o)
	}
}

// A spoilt answer is an error that has run, and its connection carries no further call; only a single
// message's 200 is true whatever follows. A good answer counts with interim ones before it, and what
// comes beyond it or just after it meets no later call.
func TestSpoiltAndOverfullAnswers(t *testing.T) {
	good := nettest.Plain(200, "", "")
	const ok, er, full = raventrestle.OK, raventrestle.Error, raventrestle.Rejected
	for name, c := range map[string]struct {
		answer, later string
		want          raventrestle.Status
		keep          bool
	}{
		"noise":             {"\x00\xff\x17 no answer", "", er, false},
		"an endless line":   {strings.Repeat("x", 100<<10), "", er, false},
		"no number":         {"HTTP/1.1 +20 OK\r\n\r\n", "", er, false},
		"head unreadable":   {"HTTP/1.1 429 x\r\nno colon\r\n\r\n", "", er, false},
		"head without end":  {"HTTP/1.1 503 x\r\nA: " + strings.Repeat("a", 100<<10), "", er, false},
		"body too short":    {"HTTP/1.1 503 x\r\nContent-Length: 9\r\n\r\nfour", "", er, false},
		"bad length":        {"HTTP/1.1 429 x\r\nContent-Length: -9\r\n\r\n", "", er, false},
		"200, unreadable":   {"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "", ok, false},
		"200, body short":   {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfour", "", ok, false},
		"200, of 3 GB":      {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<20), "", ok, false},
		"interim answers":   {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\nA: b\r\n\r\n" + good, "", ok, true},
		"interim, then 429": {"HTTP/1.1 102 x\r\n\r\n" + nettest.Plain(429, "", ""), "", full, true},
		"report cut off":    {nettest.Plain(200, "X-Pressure: {\"x0\":0.4,\"x1\":2\r\n", ""), "", ok, true},
		"a second copy":     {good + good, "", ok, false},
		"noise just after":  {good, "\x00noise", ok, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			end := nettest.NewPeer(t, func(conn net.Conn, call nettest.Call) bool {
				if call.Header.Get("X-Txn") != "a" {
					return nettest.Answer(nettest.Plain(500, "", ""))(conn, call)
				}
				if io.WriteString(conn, c.answer); c.later != "" {
					time.Sleep(rest / 5)
					io.WriteString(conn, c.later)
				}
				return true
			})
			p, out := start(t, end.Addr())
			p.Call([]Try{try("a", nettest.Timeout)})
			o := nettest.Wait(t, "outcome", out)
			if o.Status != c.want || o.Final != (c.want == ok) || o.Duration > time.Second || o.Report.Limit != 0 {
				t.Fatalf("%+v", o)
			}
			if c.keep {
				time.Sleep(2 * rest)
			}
			p.Call([]Try{try("b", nettest.Timeout)}) // its own answer is an error
			if o := nettest.Wait(t, "outcome", out); o.ID != "b" || o.Status != er {
				t.Fatalf("the next call: %+v", o)
			}
			if n := p.Counts.Dials.Load(); (n == 1) != c.keep {
				t.Fatalf("%d connections", n)
			}
		})
	}
}

// Connections are kept for the next call, and shut on CloseIdle and on Cancel.
func TestConnections(t *testing.T) {
	end := nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
		return call.Header.Get("X-Txn") == "hang" || nettest.Answer(nettest.Plain(200, "", ""))(c, call)
	})
	p, out := start(t, end.Addr())
	for range 3 {
		p.Call([]Try{try("a", nettest.Timeout)})
		nettest.Wait(t, "outcome", out)
		nettest.Wait(t, "call", end.Calls)
		time.Sleep(2 * rest)
	}
	if n := p.Counts.Dials.Load(); n != 1 {
		t.Fatalf("%d connections for three calls in turn", n)
	}
	p.CloseIdle()
	nettest.Wait(t, "end of the idle connection", end.ConnsClosed)
	p.Call([]Try{try("hang", nettest.Timeout)})
	nettest.Wait(t, "call", end.Calls)
	p.Cancel("hang")
	if o := nettest.Wait(t, "outcome", out); o.Status != raventrestle.Canceled {
		t.Fatalf("%+v", o)
	}
	nettest.Wait(t, "end of the cancelled call", end.ConnsClosed)
}

// Several messages in a call: the frames are exact, each has its own end, and one that the
// answer does not name may have run. A refused call has run nothing.
func TestBulk(t *testing.T) {
	tries := []Try{{ID: "a", Key: "k", Body: []byte("x\r\ny")}, {ID: "b"}, {ID: "c", Body: []byte("z")}, {ID: "d"}, {ID: "e"}, {ID: "f"}}
	status := func(s ...raventrestle.Status) []raventrestle.Status { return s }
	const ok, er, full, moot, rst = raventrestle.OK, raventrestle.Error, raventrestle.Rejected, raventrestle.NotSent, raventrestle.Reset
	for name, c := range map[string]struct {
		answer string
		want   []raventrestle.Status
		closed string
	}{
		"each its own": {
			nettest.Plain(200, "X-Come-Back-Ms: 70\r\n", "a done\r\nc failed\r\nb busy\r\nd void\r\ne used_up\r\n"),
			status(ok, full, er, moot, moot, rst), "ad",
		},
		"cut off":    {"HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\na done\r\nb do", status(er, er, er, er, er, er), ""},
		"all error":  {nettest.Plain(500, "", ""), status(er, er, er, er, er, er), ""},
		"too many":   {nettest.Plain(413, "", ""), status(moot, moot, moot, moot, moot, moot), ""},
		"unreadable": {nettest.Plain(400, "", ""), status(moot, moot, moot, moot, moot, moot), ""},
	} {
		t.Run(name, func(t *testing.T) {
			script := nettest.NewPeer(t, func(conn net.Conn, _ nettest.Call) bool { io.WriteString(conn, c.answer); return false })
			p, out := start(t, script.Addr())
			sent, until := make([]Try, len(tries)), time.Now().Add(time.Hour)
			for i, x := range tries {
				x.Wait, x.Until = nettest.Timeout, until
				sent[i] = x
			}
			p.Call(sent)
			got, closed := make([]raventrestle.Status, len(tries)), ""
			for range tries {
				o := nettest.Wait(t, "outcome", out)
				got[o.ID[0]-'a'] = o.Status
				if o.Final {
					closed += string(o.ID)
				}
				if strings.Contains(c.answer, "Come-Back") && o.RetryAfter != 70*time.Millisecond {
					t.Errorf("%s was told to wait %v", o.ID, o.RetryAfter)
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" || closed != c.closed {
				t.Fatalf("closed %q: %s", closed, diff)
			}
			call := nettest.Wait(t, "call", script.Calls)
			want := "a k 4\r\nx\r\ny\r\nb - 0\r\n\r\nc - 1\r\nz\r\nd - 0\r\n\r\ne - 0\r\n\r\nf - 0\r\n\r\n"
			if call.Path != "/inbox/bulk" || call.Body != want {
				t.Fatalf("%s %q", call.Path, call.Body)
			}
		})
	}
}

// In a call of several, the one whose time is up ends by itself; its mate stays out until the
// call ends, since another try beside it would be a second copy.
func TestBulkTimeout(t *testing.T) {
	end := nettest.NewPeer(t, func(net.Conn, nettest.Call) bool { return true })
	p, out := start(t, end.Addr())
	late, mate := try("late", 50*time.Millisecond), try("mate", 50*time.Millisecond)
	late.Until = time.Now().Add(50 * time.Millisecond)
	longest := try("longest", time.Second)
	p.Call([]Try{late, mate, longest})
	if o := nettest.Wait(t, "outcome", out); o.ID != "late" || o.Status != raventrestle.TimedOut || len(end.ConnsClosed) > 0 {
		t.Fatalf("%+v with %d connections ended", o, len(end.ConnsClosed))
	}
	for _, id := range []raventrestle.MessageID{"longest", "mate"} {
		if o := nettest.Wait(t, "outcome", out); o.ID != id || o.Duration < time.Second {
			t.Fatalf("%+v", o)
		}
	}
	nettest.Wait(t, "end of the call", end.ConnsClosed)
}

// The one that runs out of time while its call goes on is never the first of it: nine brink days lost the others of 11
// such calls, whose answers told them done, and none of the 27 calls in which only a later one had run out.
func TestTheMostTimeLeftLeadsItsCall(t *testing.T) {
	over := make(chan struct{})
	end := nettest.NewPeer(t, func(c net.Conn, _ nettest.Call) bool {
		<-over
		_, err := io.WriteString(c, nettest.Plain(200, "", "late done\r\nmate done\r\nlast done\r\n"))
		return err == nil
	})
	p, out := start(t, end.Addr())
	late, mate, last := try("late", nettest.Timeout), try("mate", nettest.Timeout), try("last", nettest.Timeout)
	late.Until, last.Until = time.Now().Add(20*time.Millisecond), mate.Until.Add(time.Second)
	p.Call([]Try{late, mate, last})
	if o := nettest.Wait(t, "outcome", out); o.ID != "late" || o.Status != raventrestle.TimedOut {
		t.Fatalf("%+v", o)
	}
	close(over)
	for range 2 {
		if o := nettest.Wait(t, "outcome", out); o.Status != raventrestle.OK || !o.Final {
			t.Fatalf("%+v", o)
		}
	}
	const want = "last keylast 9\r\nbody last\r\nmate keymate 9\r\nbody mate\r\nlate keylate 9\r\nbody late\r\n"
	if call := nettest.Wait(t, "call", end.Calls); call.Body != want {
		t.Fatalf("%q", call.Body)
	}
}

// The time of one of several messages is up while the call's connection is still coming up: it has had
// its final answer by then, so the call is not written, and its mate never ran (BROKEN: lost, 'sent on
// after its final answer', on the mass split day).
func TestCallIsNotWrittenOnceAMateIsOver(t *testing.T) {
	end := nettest.NewPeer(t, nettest.Answer(nettest.Plain(500, "", "")))
	out, up := make(chan raventrestle.Outcome, 64), make(chan struct{})
	p := New(t.Context(), Config{
		Name: "p", Addr: end.Addr(), IdleClose: 5 * time.Second, Mailbox: 64, Log: nettest.Log,
		Counts: &Counts{}, Tell: func(e raventrestle.Event) { out <- e.(raventrestle.Outcome) },
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			<-up
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		},
	})
	late, mate := try("late", nettest.Timeout), try("mate", nettest.Timeout)
	late.Until = time.Now().Add(20 * time.Millisecond)
	p.Call([]Try{mate, late})
	if o := nettest.Wait(t, "outcome", out); o.ID != "late" || o.Status != raventrestle.TimedOut {
		t.Fatalf("%+v", o)
	}
	close(up)
	if o := nettest.Wait(t, "outcome", out); o.ID != "mate" || o.Status != raventrestle.NotSent || len(end.Calls) > 0 {
		t.Fatalf("%+v, %d calls", o, len(end.Calls))
	}
}

// A peer that is stopped, as when the list moves it, between the decision and the call still
// ends each try: the message would else stay out for ever.
func TestStoppedPeerEndsItsTries(t *testing.T) {
	end := nettest.NewPeer(t, nettest.Answer(nettest.Plain(200, "", "")))
	p, out := start(t, end.Addr())
	p.Stop()
	for i := range 20 {
		if p.Call([]Try{try("a", nettest.Timeout)}) {
			if o := nettest.Wait(t, "outcome", out); o.Status != raventrestle.NotSent && o.Status != raventrestle.OK {
				t.Fatalf("%+v", o)
			}
		} else if i == 0 {
			t.Log("the mailbox was closed at once")
		}
	}
}

// A call whose connection comes up within a wait that its route was told meanwhile, or after the
// list named the peer as draining, isn't written: it never ran (BROKEN: wait on the mass zone day).
// The connection stays for the call after the wait.
func TestHeldCallIsNotWritten(t *testing.T) {
	end := nettest.NewPeer(t, nettest.Answer(nettest.Plain(200, "", "")))
	p, out := start(t, end.Addr())
	call := func(id string) raventrestle.Status {
		p.Call([]Try{try(id, nettest.Timeout)})
		return nettest.Wait(t, "outcome", out).Status
	}
	p.BlockUntil(time.Now().Add(time.Hour))
	p.BlockUntil(time.Now().Add(time.Second)) // a shorter one ends no longer one
	if s := call("held"); s != raventrestle.NotSent {
		t.Fatalf("a held call ended as %v", s)
	}
	time.Sleep(2 * rest)
	p.BlockUntil(time.Time{})
	if s := call("later"); s != raventrestle.OK || p.Counts.Dials.Load() != 1 {
		t.Fatalf("the call after it ended as %v, %d connections", s, p.Counts.Dials.Load())
	}
	if c := nettest.Wait(t, "call", end.Calls); c.Header.Get("X-Txn") != "later" || len(end.Calls) > 0 {
		t.Fatalf("%s was written, and %d more", c.Header.Get("X-Txn"), len(end.Calls))
	}
	p.BlockUntil(time.Now().Add(20 * time.Millisecond))
	time.Sleep(2 * rest)
	if s := call("after"); s != raventrestle.OK {
		t.Fatalf("a call after the wait ended as %v", s)
	}
	nettest.Wait(t, "call", end.Calls)
	late, mate := try("late", nettest.Timeout), try("mate", nettest.Timeout)
	late.Before = time.Now().Add(-time.Millisecond) // a repeat whose window has passed, and its mate
	p.Call([]Try{mate, late})
	for range 2 {
		if o := nettest.Wait(t, "outcome", out); o.Status != raventrestle.NotSent || len(end.Calls) > 0 {
			t.Fatalf("%+v, %d calls", o, len(end.Calls))
		}
	}
}

// A call that is called off by one of its messages ends for all of them, and its connection with it: the
// endpoint may have run them, so none of them is told as never run.
func TestSharedCallIsCalledOff(t *testing.T) {
	end := nettest.NewPeer(t, func(net.Conn, nettest.Call) bool { return true })
	out := make(chan raventrestle.Outcome, 4)
	p := New(t.Context(), Config{
		Name: "p", Addr: end.Addr(), ConnectWithin: time.Second, IdleClose: 5 * time.Second, Mailbox: 64, Log: nettest.Log,
		Counts: &Counts{}, Tell: func(e raventrestle.Event) { out <- e.(raventrestle.Outcome) },
	})
	until := time.Now().Add(nettest.Timeout)
	p.Call([]Try{{ID: "a", Wait: nettest.Timeout, Until: until}, {ID: "b", Wait: nettest.Timeout, Until: until}})
	nettest.Wait(t, "call", end.Calls)
	p.Cancel("a")
	for range 2 {
		if o := nettest.Wait(t, "outcome", out); o.Status != raventrestle.Canceled {
			t.Errorf("%+v", o)
		}
	}
	nettest.Wait(t, "end of the connection", end.ConnsClosed)
}
