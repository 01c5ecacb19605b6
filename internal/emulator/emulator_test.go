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

var startTime = time.Unix(1_800_000_000, 0)

func atSecond(s float64) time.Time { return startTime.Add(time.Duration(s * float64(time.Second))) }

// Check finds every kind of violation, and none where no rule is broken.
func TestCheckFindsViolations(t *testing.T) {
	newMessage := func() *Message {
		return &Message{Key: "k", Class: "deposit-charge", Dest: 7, EffectLimit: OnceOverall, CreatedAt: atSecond(0), Deadline: atSecond(10)}
	}
	accept := func(r *Recorder, m *Message) {
		r.CourierReady(0, atSecond(-1))
		r.Submit(m, "t1", 0, atSecond(0))
		r.ClientAnswered("t1", 202, atSecond(0.1))
	}
	completeCall := func(r *Recorder, code int, s float64) {
		call, _, _ := r.BeginCall("t1", 7, "s-7", "a", 0, atSecond(s))
		r.EndCall("t1", call, code, atSecond(s+0.1))
	}
	for name, c := range map[string]struct {
		record func(*Recorder, *Message)
		want   string
	}{
		"no violation": {func(r *Recorder, m *Message) {
			accept(r, m)
			completeCall(r, 503, 0.2)
			r.RecordEffect("t1", "s-7", "a", false, atSecond(1))
			completeCall(r, 200, 1)
		}, ""},
		"undeliverable, kept and delivered later": {func(r *Recorder, m *Message) {
			accept(r, m)
			r.RecordNotice("t1", "undeliverable", 0, atSecond(9))
			r.RecordEffect("t1", "s-7", "a", false, atSecond(30))
			completeCall(r, 200, 30)
		}, ""},
		"no final result":       {func(r *Recorder, m *Message) { accept(r, m) }, "one final answer"},
		"final result too late": {func(r *Recorder, m *Message) { accept(r, m); r.RecordNotice("t1", "deferred", 0, atSecond(10.5)) }, "on time"},
		"late, but the courier was down": {func(r *Recorder, m *Message) {
			accept(r, m)
			r.CourierEnded(0, atSecond(9))
			r.CourierReady(0, atSecond(11))
			r.RecordNotice("t1", "undeliverable", 0, atSecond(12))
		}, ""},
		"late, and the courier was down long before": {func(r *Recorder, m *Message) {
			accept(r, m)
			r.CourierEnded(0, atSecond(3))
			r.CourierReady(0, atSecond(4))
			r.RecordNotice("t1", "undeliverable", 0, atSecond(12))
		}, "on time"},
		"two different notices": {func(r *Recorder, m *Message) {
			accept(r, m)
			r.RecordNotice("t1", "deferred", 0, atSecond(1))
			r.RecordNotice("t1", "undeliverable", 0, atSecond(2))
		}, "one final answer"},
		"notice after an unread response": {func(r *Recorder, m *Message) {
			accept(r, m)
			completeCall(r, 200, 1)
			r.RecordNotice("t1", "undeliverable", 0, atSecond(2))
		}, ""},
		"notice sent twice without a restart": {func(r *Recorder, m *Message) {
			accept(r, m)
			r.RecordNotice("t1", "undeliverable", 0, atSecond(2))
			r.RecordNotice("t1", "undeliverable", 0, atSecond(3))
		}, "one final answer"},
		"notice sent again after a restart": {func(r *Recorder, m *Message) {
			accept(r, m)
			r.RecordNotice("t1", "undeliverable", 0, atSecond(2))
			r.CourierEnded(0, atSecond(2.1))
			r.CourierReady(0, atSecond(2.5))
			r.RecordNotice("t1", "undeliverable", 0, atSecond(3))
		}, ""},
		"two effects": {func(r *Recorder, m *Message) {
			accept(r, m)
			r.RecordEffect("t1", "s-7", "a", false, atSecond(1))
			r.RecordEffect("t1", "s-8", "b", false, atSecond(2))
			completeCall(r, 200, 3)
		}, "allowance"},
		"a dropped duplicate": {func(r *Recorder, m *Message) {
			accept(r, m)
			r.RecordEffect("t1", "s-7", "a", false, atSecond(1))
			r.RecordEffect("t1", "s-7", "a", true, atSecond(2))
			completeCall(r, 200, 3)
		}, ""},
		"never submitted": {func(r *Recorder, m *Message) {
			accept(r, m)
			completeCall(r, 200, 1)
			r.BeginCall("t9", 7, "s-7", "a", 0, atSecond(2))
		}, "unknown message"},
		"sent to another channel": {func(r *Recorder, m *Message) {
			accept(r, m)
			call, _, _ := r.BeginCall("t1", 8, "s-8", "a", 0, atSecond(1))
			r.EndCall("t1", call, 503, atSecond(1.1))
			completeCall(r, 200, 2)
		}, "own channel"},
		"sent by another courier": {func(r *Recorder, m *Message) {
			accept(r, m)
			call, _, _ := r.BeginCall("t1", 7, "s-7", "a", 1, atSecond(1))
			r.EndCall("t1", call, 200, atSecond(1.1))
		}, "own messages"},
		"two calls in flight": {func(r *Recorder, m *Message) {
			accept(r, m)
			var due []func() // checks that the recorder makes after callEndTolerance
			r.AfterFunc = func(_ time.Duration, check func()) { due = append(due, check) }
			first, _, _ := r.BeginCall("t1", 7, "s-7", "a", 0, atSecond(1))
			second, _, _ := r.BeginCall("t1", 7, "s-8", "a", 0, atSecond(2))
			for _, check := range due {
				check()
			}
			r.EndCall("t1", first, 0, atSecond(3))
			r.EndCall("t1", second, 200, atSecond(3))
		}, "no second copy"},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRecorder(startTime)
			c.record(r, newMessage())
			got := r.Check(atSecond(60))
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

// Each mode has the documented response and number of effects.
func TestEndpointModes(t *testing.T) {
	for _, c := range []struct {
		mode                   Mode
		answer                 string // "" for no response and a broken connection
		minEffects, maxEffects int    // effects of 20 calls
	}{
		{ModeHealthy, "200", 20, 20}, {ModeUnavailable, "503", 0, 0}, {ModeResetAfterCall, "", 3, 17}, {ModeResetDuringCall, "", 0, 0}, {ModeMalformed, "HTTP/x.1", 20, 20},
	} {
		t.Run(string(c.mode), func(t *testing.T) {
			recorder := NewRecorder(time.Now())
			ch, err := NewChannel(ChannelSpec{Dest: 7, Floors: []string{"a"}, Capacity: 4, Service: map[string][2]time.Duration{"c": {1, 2}}}, 1, recorder, 1,
				func(string) (string, EffectLimit) { return "c", Unlimited })
			if err != nil {
				t.Fatal(err)
			}
			defer ch.Close()
			ch.SetMode(c.mode, time.Now())
			m := &Message{Key: "k", Dest: 7, Deadline: time.Now().Add(time.Hour)}
			recorder.Submit(m, "t1", 0, time.Now())
			recorder.ClientAnswered("t1", 202, time.Now())
			for range 20 {
				line := call(t, ch.Endpoints[0].Addr(0), "t1")
				if c.answer == "" && line != "" || !strings.Contains(line, c.answer) {
					t.Fatalf("got response %q", line)
				}
			}
			recorder.Messages(func(m Message) {
				if m.Effects < c.minEffects || m.Effects > c.maxEffects {
					t.Errorf("%d effects, not in the expected range", m.Effects)
				}
			})
		})
	}
}

// A duplicate on the same floor is dropped within the window, even if the first call takes longer than the window. On
// another floor, or later, it takes effect.
func TestDuplicateMessages(t *testing.T) {
	for name, c := range map[string]struct {
		second  int // endpoint
		delay   time.Duration
		effects int
	}{"same floor": {0, 0, 1}, "other floor": {1, 0, 2}, "after the window": {0, 500 * time.Millisecond, 2}} {
		t.Run(name, func(t *testing.T) {
			recorder := NewRecorder(time.Now())
			ch, err := NewChannel(ChannelSpec{
				Dest: 7, Floors: []string{"a", "b"}, Capacity: 4, Window: 400 * time.Millisecond,
				Service: map[string][2]time.Duration{"c": {time.Second, time.Second + 1}},
			}, 1, recorder, 1,
				func(string) (string, EffectLimit) { return "c", OncePerFloor })
			if err != nil {
				t.Fatal(err)
			}
			defer ch.Close()
			m := &Message{Key: "k", Dest: 7, Deadline: time.Now().Add(time.Hour), EffectLimit: OncePerFloor}
			recorder.Submit(m, "t1", 0, time.Now())
			recorder.ClientAnswered("t1", 202, time.Now())
			var calls sync.WaitGroup
			calls.Go(func() { call(t, ch.Endpoints[0].Addr(0), "t1") })
			for began := time.Now(); recorder.Counts().Calls == 0; time.Sleep(time.Millisecond) {
				if time.Since(began) > 10*time.Second {
					t.Fatal("no call arrived")
				}
			}
			time.Sleep(c.delay)
			calls.Go(func() { call(t, ch.Endpoints[c.second].Addr(0), "t1") })
			calls.Wait()
			if got := recorder.Counts().Effects; got != c.effects {
				t.Fatalf("%d effects, want %d", got, c.effects)
			}
		})
	}
}

// call makes one call and returns the first line of the response.
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

// Bodies of bulk calls are parsed and validated according to the protocol.
func TestParseMessages(t *testing.T) {
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
		all, code := parseMessages(req, []byte(c.body), 2)
		if len(all) != c.n || code != c.code {
			t.Errorf("%q: %d messages, code %d", c.body, len(all), code)
		}
	}
}

// fetch sends a request to discovery and returns the status code of the response.
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
