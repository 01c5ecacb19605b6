package stream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// run is one run of a stream, as a test wants it: its reads, then its end.
type run struct {
	reads []string
	end   error
}

func (r *run) Read(b []byte) (int, error) {
	if len(r.reads) == 0 {
		return 0, r.end
	}
	n := copy(b, r.reads[0])
	if r.reads[0] = r.reads[0][n:]; r.reads[0] == "" {
		r.reads = r.reads[1:]
	}
	return n, nil
}

func (r *run) SetReadDeadline(time.Time) error { return nil }

func (r *run) OnReadTimeout(func() time.Time) {}

func (r *run) Framed() bool { return true }

// sink is a client that keeps what it was sent.
type sink struct {
	bytes.Buffer
	begun   int
	flushed int
	failing bool
	stalls  int // pauses that are waited for
}

func (s *sink) Begin() { s.begun++ }

func (s *sink) Write(b []byte) error {
	if s.failing {
		return io.ErrClosedPipe
	}
	s.Buffer.Write(b)
	return nil
}

func (s *sink) Flush() error { s.flushed = s.Len(); return nil }

func (s *sink) Progress(int) {}

func (s *sink) KeepWaiting() bool { s.stalls--; return s.stalls >= 0 }

var errBroken = errors.New("broken")

func events(ids ...int) string {
	var b strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", id, id)
	}
	return b.String()
}

func TestRunsJoinIntoOneAnswer(t *testing.T) {
	partial := "id: 99\ndata: tok"
	for name, c := range map[string]struct {
		runs   []run
		stride int
		want   string
		err    error
	}{
		"complete":        {runs: []run{{[]string{events(1, 2), events(3)}, io.EOF}}, want: events(1, 2, 3)},
		"without ids":     {runs: []run{{[]string{"data: a\n\n", "data: b\n\n"}, io.EOF}}, want: "data: a\n\ndata: b\n\n"},
		"rest at the end": {runs: []run{{[]string{events(1) + "data: [DONE]"}, io.EOF}}, want: events(1) + "data: [DONE]"},
		"broken off within an event": {
			runs: []run{{[]string{events(1, 2) + partial}, errBroken}},
			want: events(1, 2), err: errBroken,
		},
		"resumed": {
			runs: []run{{[]string{events(1, 2) + partial}, errBroken}, {[]string{events(3, 4)}, io.EOF}},
			want: events(1, 2, 3, 4),
		},
		"resumed twice": {
			runs: []run{
				{[]string{events(1)}, errBroken}, {[]string{events(2) + partial}, errBroken}, {[]string{events(3)}, io.EOF},
			},
			want: events(1, 2, 3),
		},
		"from the beginning": {
			runs: []run{{[]string{events(1, 2)}, errBroken}, {[]string{events(1, 2, 3)}, io.EOF}},
			want: events(1, 2, 3),
		},
		"nothing was passed": {
			runs: []run{{[]string{partial}, errBroken}, {[]string{events(5, 6)}, io.EOF}},
			want: events(5, 6),
		},
		"only the end": {runs: []run{{[]string{events(1, 2)}, errBroken}, {nil, io.EOF}}, want: events(1, 2)},
		"a gap": {
			runs: []run{{[]string{events(1, 2)}, errBroken}, {[]string{events(4)}, io.EOF}},
			want: events(1, 2), err: ErrGap,
		},
		"its stride": {
			runs: []run{{[]string{events(3, 6)}, errBroken}, {[]string{events(9)}, io.EOF}},
			want: events(3, 6, 9),
		},
		"the configured stride": {
			runs:   []run{{[]string{events(3)}, errBroken}, {[]string{events(6)}, io.EOF}},
			stride: 3, want: events(3, 6),
		},
		"beyond the stride": {
			runs:   []run{{[]string{events(3, 6)}, errBroken}, {[]string{events(10)}, io.EOF}},
			stride: 3, want: events(3, 6), err: ErrGap,
		},
		"skipped, then a gap": {
			runs: []run{{[]string{events(1, 2)}, errBroken}, {[]string{events(1, 5)}, io.EOF}}, want: events(1, 2), err: ErrGap,
		},
		"ids that are no numbers": {
			runs: []run{{[]string{"id: a\n\n"}, errBroken}, {[]string{"id: b\n\n"}, io.EOF}}, want: "id: a\n\n", err: ErrGap,
		},
		"a comment first": {
			runs: []run{{[]string{events(1)}, errBroken}, {[]string{": hello\n\n" + events(2)}, io.EOF}}, want: events(1, 2),
		},
	} {
		t.Run(name, func(t *testing.T) {
			client := &sink{}
			relay := NewRelay(client, c.stride)
			var err error
			for i := range c.runs {
				if err = relay.Run(&c.runs[i], Limits{Deadline: time.Now().Add(time.Hour)}); err == nil || errors.Is(err, ErrGap) {
					break
				}
			}
			if client.String() != c.want || !errors.Is(err, c.err) {
				t.Errorf("%q with %v, want %q with %v", client.String(), err, c.want, c.err)
			}
			if err != nil && client.flushed != client.Len() {
				t.Error("what was passed on has not been flushed")
			}
		})
	}
}

func TestFailureOfTheClientIsTyped(t *testing.T) {
	client := &sink{failing: true}
	var failed *ClientError
	err := NewRelay(client, 1).Run(&run{[]string{events(1)}, io.EOF}, Limits{})
	if !errors.As(err, &failed) {
		t.Errorf("%v", err)
	}
}

// Over any number of runs that break anywhere, the client has each event once, in order, and none is missing.
func TestEveryEventIsPassedOnOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stride := rapid.IntRange(1, 4).Draw(t, "stride")
		count := rapid.IntRange(1, 30).Draw(t, "events")
		var ids []int
		for i := range count {
			ids = append(ids, (i+1)*stride)
		}
		client := &sink{}
		relay := NewRelay(client, stride)
		for attempts := 0; ; attempts++ {
			from := 0
			if honours := rapid.Bool().Draw(t, "honours Last-Event-Id"); honours && relay.LastID() != "" {
				if _, err := fmt.Sscan(relay.LastID(), &from); err != nil {
					t.Fatalf("last id %q: got error %v, want a number", relay.LastID(), err)
				}
				from /= stride
			}
			text := events(ids[from:]...)
			end := io.EOF
			if attempts < 5 {
				text = text[:rapid.IntRange(0, len(text)).Draw(t, "break at")]
				end = errBroken
			}
			var reads []string
			for len(text) > 0 {
				n := rapid.IntRange(1, len(text)).Draw(t, "read")
				reads = append(reads, text[:n])
				text = text[n:]
			}
			if err := relay.Run(&run{reads, end}, Limits{}); err == nil {
				break
			} else if !errors.Is(err, errBroken) {
				t.Fatal(err)
			}
		}
		if want := events(ids...); client.String() != want {
			t.Fatalf("client has %q, want %q", client.String(), want)
		}
	})
}

// A stalled source is waited for as long as the client allows; then the run ends with its timeout.
func TestStalledSourceIsWaitedForWhileTheClientAllows(t *testing.T) {
	limits := Limits{MaxGap: time.Second, Deadline: time.Now().Add(time.Minute)}
	for stalls, want := range map[int]string{0: events(1), 1: events(1, 2), 2: events(1, 2, 3)} {
		client := &sink{stalls: stalls}
		err := NewRelay(client, 1).Run(&halting{reads: []string{events(1), "", events(2), "", events(3)}}, limits)
		if client.String() != want {
			t.Errorf("%d pauses waited for: got %q, want %q", stalls, client.String(), want)
		}
		if complete := stalls == 2; complete != (err == nil) || !complete && !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%d pauses waited for: got error %v, want none after two and a timeout else", stalls, err)
		}
	}
	late := &sink{stalls: 9}
	if err := NewRelay(late, 1).Run(&halting{reads: []string{events(1), "", events(2)}}, Limits{MaxGap: time.Second}); err == nil {
		t.Error("got no error, want the timeout: the deadline had passed")
	}
}

// halting is a source whose reads time out where a piece is empty.
type halting struct {
	reads  []string
	extend func() time.Time
}

func (h *halting) Read(b []byte) (int, error) {
	for len(h.reads) > 0 {
		piece := h.reads[0]
		h.reads = h.reads[1:]
		if piece != "" {
			return copy(b, piece), nil
		}
		if h.extend().IsZero() {
			return 0, os.ErrDeadlineExceeded
		}
	}
	return 0, io.EOF
}

func (h *halting) SetReadDeadline(time.Time) error { return nil }

func (h *halting) OnReadTimeout(ask func() time.Time) { h.extend = ask }

func (h *halting) Framed() bool { return true }
