package stream

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// However the bytes arrive, the events are the same, and together they are the stream.
func TestSplitterKeepsAllBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOf(rapid.SampledFrom([]string{
			"id: 7", "id:8", "data: x", "data: " + strings.Repeat("long", 700), "", "", ": ping", "versions: 3", "event: e",
		})).Draw(t, "lines")
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "end")
		text := strings.Join(lines, end)
		var source io.Reader = strings.NewReader(text)
		switch rapid.IntRange(0, 2).Draw(t, "how") {
		case 0:
			source = iotest.OneByteReader(source)
		case 1:
			source = iotest.HalfReader(source)
		}
		var s Splitter
		var joined strings.Builder
		for err := error(nil); !errors.Is(err, io.EOF); {
			err = s.Fill(source)
			for e, ok := s.Next(); ok; e, ok = s.Next() {
				checkEvent(t, e, end)
				joined.Write(e.Bytes)
			}
		}
		if e, ok := s.Remainder(); ok {
			joined.Write(e.Bytes)
		}
		if joined.String() != text {
			t.Fatalf("%q came out as %q", text, joined.String())
		}
	})
}

func checkEvent(t *rapid.T, e Event, end string) {
	text := string(e.Bytes)
	if !strings.HasSuffix(text, end) || strings.Contains(strings.TrimSuffix(text, end), end+end) {
		t.Fatalf("%q is not one event", text)
	}
	want := ""
	for line := range strings.SplitSeq(text, end) {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			want = strings.TrimPrefix(value, " ")
		}
	}
	if string(e.ID) != want {
		t.Fatalf("id of %q is %q", text, e.ID)
	}
}

func TestSplitterBoundsAnEvent(t *testing.T) {
	var s Splitter
	source := strings.NewReader(strings.Repeat("x", 2*maxEventBytes))
	for {
		if err := s.Fill(source); errors.Is(err, ErrEventTooLong) {
			return
		} else if err != nil {
			t.Fatal(err)
		}
		if _, ok := s.Next(); ok {
			t.Fatal("an event without an end")
		}
	}
}
