package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// The checker finds every kind of broken rule, and none where all is well.
func TestCheckerFinds(t *testing.T) {
	single := func() *Message {
		return &Message{Key: "k", Class: "deposit-charge", Dest: 7, Allowed: OnceOverall, Born: at(0), Until: at(10)}
	}
	taken := func(l *Ledger, m *Message) {
		l.Ready(0, at(-1))
		l.Submit(m, "t1", 0, at(0))
		l.Answered("t1", 202, at(0.1))
	}
	send := func(l *Ledger, code int, s float64) {
		call, _, _ := l.Begin("t1", 7, "s-7", "a", 0, at(s))
		l.End("t1", call, code, at(s+0.1))
	}
	for name, c := range map[string]struct {
		play func(*Ledger, *Message)
		want string
	}{
		"all well": {func(l *Ledger, m *Message) {
			taken(l, m)
			send(l, 503, 0.2)
			l.Effect("t1", "s-7", "a", false, at(1))
			send(l, 200, 1)
		}, ""},
		"failed, told, kept and delivered late": {func(l *Ledger, m *Message) {
			taken(l, m)
			l.Notice("t1", "undeliverable", 0, at(9))
			l.Effect("t1", "s-7", "a", false, at(30))
			send(l, 200, 30)
		}, ""},
		"no end":       {func(l *Ledger, m *Message) { taken(l, m) }, "one final answer"},
		"end too late": {func(l *Ledger, m *Message) { taken(l, m); l.Notice("t1", "deferred", 0, at(10.5)) }, "on time"},
		"late, but it was down": {func(l *Ledger, m *Message) {
			taken(l, m)
			l.Ended(0, at(9))
			l.Ready(0, at(11))
			l.Notice("t1", "undeliverable", 0, at(12))
		}, ""},
		"late, and it was down long before": {func(l *Ledger, m *Message) {
			taken(l, m)
			l.Ended(0, at(3))
			l.Ready(0, at(4))
			l.Notice("t1", "undeliverable", 0, at(12))
		}, "on time"},
		"two ends": {func(l *Ledger, m *Message) {
			taken(l, m)
			l.Notice("t1", "deferred", 0, at(1))
			l.Notice("t1", "undeliverable", 0, at(2))
		}, "one final answer"},
		"an answer that was not heard": {func(l *Ledger, m *Message) {
			taken(l, m)
			send(l, 200, 1)
			l.Notice("t1", "undeliverable", 0, at(2))
		}, ""},
		"told twice in one life": {func(l *Ledger, m *Message) {
			taken(l, m)
			l.Notice("t1", "undeliverable", 0, at(2))
			l.Notice("t1", "undeliverable", 0, at(3))
		}, "one final answer"},
		"told again after a restart": {func(l *Ledger, m *Message) {
			taken(l, m)
			l.Notice("t1", "undeliverable", 0, at(2))
			l.Ended(0, at(2.1))
			l.Ready(0, at(2.5))
			l.Notice("t1", "undeliverable", 0, at(3))
		}, ""},
		"two effects": {func(l *Ledger, m *Message) {
			taken(l, m)
			l.Effect("t1", "s-7", "a", false, at(1))
			l.Effect("t1", "s-8", "b", false, at(2))
			send(l, 200, 3)
		}, "allowance"},
		"a repeat that is dropped": {func(l *Ledger, m *Message) {
			taken(l, m)
			l.Effect("t1", "s-7", "a", false, at(1))
			l.Effect("t1", "s-7", "a", true, at(2))
			send(l, 200, 3)
		}, ""},
		"never submitted": {func(l *Ledger, m *Message) {
			taken(l, m)
			send(l, 200, 1)
			l.Begin("t9", 7, "s-7", "a", 0, at(2))
		}, "unknown message"},
		"another channel": {func(l *Ledger, m *Message) {
			taken(l, m)
			call, _, _ := l.Begin("t1", 8, "s-8", "a", 0, at(1))
			l.End("t1", call, 503, at(1.1))
			send(l, 200, 2)
		}, "own channel"},
		"another courier": {func(l *Ledger, m *Message) {
			taken(l, m)
			call, _, _ := l.Begin("t1", 7, "s-7", "a", 1, at(1))
			l.End("t1", call, 200, at(1.1))
		}, "own messages"},
		"second copy": {func(l *Ledger, m *Message) {
			taken(l, m)
			var due []func() // what the ledger looks at once wordOfEnd has passed
			l.Later = func(_ time.Duration, look func()) { due = append(due, look) }
			first, _, _ := l.Begin("t1", 7, "s-7", "a", 0, at(1))
			second, _, _ := l.Begin("t1", 7, "s-8", "a", 0, at(2))
			for _, look := range due {
				look()
			}
			l.End("t1", first, 0, at(3))
			l.End("t1", second, 200, at(3))
		}, "no second copy"},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(start)
			c.play(l, single())
			got := l.Check(at(60))
			var rules []string
			for _, v := range got {
				rules = append(rules, v.Rule)
			}
			if want := strings.Fields(c.want); (len(want) == 0) != (len(rules) == 0) || len(rules) > 0 && rules[0] != c.want {
				t.Fatalf("want %q, got %v", c.want, got)
			}
		})
	}
}

// Each trouble does to a call what it says, and takes effect where it says so.
func TestModes(t *testing.T) {
	for _, c := range []struct {
		mode       Mode
		answer     string // "" for none, the connection broken
		least, top int    // effects of 20 calls
	}{
		{ModeHealthy, "200", 20, 20}, {ModeUnavailable, "503", 0, 0}, {ModeResetAfterCall, "", 3, 17}, {ModeResetDuringCall, "", 0, 0}, {ModeMalformed, "HTTP/x.1", 20, 20},
	} {
		t.Run(string(c.mode), func(t *testing.T) {
			ledger := NewLedger(time.Now())
			ch, err := NewChannel(ChannelSpec{Dest: 7, Floors: []string{"a"}, Capacity: 4, Service: map[string][2]time.Duration{"c": {1, 2}}}, 1, ledger, 1,
				func(string) (string, EffectLimit) { return "c", Unlimited })
			if err != nil {
				t.Fatal(err)
			}
			defer ch.Close()
			ch.Set(c.mode, time.Now())
			m := &Message{Key: "k", Dest: 7, Until: time.Now().Add(time.Hour)}
			ledger.Submit(m, "t1", 0, time.Now())
			ledger.Answered("t1", 202, time.Now())
			for range 20 {
				line := call(t, ch.Endpoints[0].Addr(0), "t1")
				if c.answer == "" && line != "" || !strings.Contains(line, c.answer) {
					t.Fatalf("answered %q", line)
				}
			}
			ledger.Messages(func(m Message) {
				if m.Effects < c.least || m.Effects > c.top {
					t.Errorf("%d effects", m.Effects)
				}
			})
		})
	}
}

// A repeat on the floor of the first call is dropped within the window, also where the first one takes
// longer than that to run; on another floor, or later, it runs.
func TestRepeats(t *testing.T) {
	for name, c := range map[string]struct {
		second  int // endpoint
		pause   time.Duration
		effects int
	}{"same floor": {0, 0, 1}, "other floor": {1, 0, 2}, "after the window": {0, 500 * time.Millisecond, 2}} {
		t.Run(name, func(t *testing.T) {
			ledger := NewLedger(time.Now())
			ch, err := NewChannel(ChannelSpec{
				Dest: 7, Floors: []string{"a", "b"}, Capacity: 4, Window: 400 * time.Millisecond,
				Service: map[string][2]time.Duration{"c": {time.Second, time.Second + 1}},
			}, 1, ledger, 1,
				func(string) (string, EffectLimit) { return "c", OncePerFloor })
			if err != nil {
				t.Fatal(err)
			}
			defer ch.Close()
			m := &Message{Key: "k", Dest: 7, Until: time.Now().Add(time.Hour), Allowed: OncePerFloor}
			ledger.Submit(m, "t1", 0, time.Now())
			ledger.Answered("t1", 202, time.Now())
			var both sync.WaitGroup
			both.Go(func() { call(t, ch.Endpoints[0].Addr(0), "t1") })
			for began := time.Now(); ledger.Counts().Calls == 0; time.Sleep(time.Millisecond) {
				if time.Since(began) > 10*time.Second {
					t.Fatal("no call came")
				}
			}
			time.Sleep(c.pause)
			both.Go(func() { call(t, ch.Endpoints[c.second].Addr(0), "t1") })
			both.Wait()
			if got := ledger.Counts().Effects; got != c.effects {
				t.Fatalf("%d effects, want %d", got, c.effects)
			}
		})
	}
}

// call makes one call and returns the first line of what comes back.
func call(t *testing.T, addr, id string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprintf(c, "POST /inbox HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nContent-Length: 2\r\n\r\nhi", id); err != nil {
		return ""
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return ""
	}
	return line
}

// Bulk bodies are read as the protocol has them.
func TestParts(t *testing.T) {
	for _, c := range []struct {
		body string
		n    int
		code int
	}{
		{"a - 2\r\nhi\r\nb k 0\r\n\r\n", 2, 0},
		{"", 0, 400},
		{"a - 2\r\nhi", 0, 400},
		{"a - 2\r\nhi\r\na - 2\r\nhi\r\n", 0, 400},
		{"a - 1\r\nx\r\nb - 1\r\nx\r\nc - 1\r\nx\r\n", 0, 413},
		{"a -1 -1\r\n\r\n", 0, 400},
	} {
		req, err := http.NewRequest(http.MethodPost, "http://x/inbox/bulk", nil)
		if err != nil {
			t.Fatal(err)
		}
		all, code := parts(req, []byte(c.body), 2)
		if len(all) != c.n || code != c.code {
			t.Errorf("%q: %d parts, code %d", c.body, len(all), code)
		}
	}
}

// fetch asks discovery, and returns the answer's code.
func fetch(t *testing.T, addr, query string) int {
	t.Helper()
	res, err := http.Get("http://" + addr + "/v1/servers" + query)
	if err != nil {
		t.Error(err)
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}
