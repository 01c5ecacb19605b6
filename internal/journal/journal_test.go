package journal

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var discardLogger = slog.New(slog.DiscardHandler)

func openJournal(t *testing.T, dir string, maxBytes int64) (*Store, []MessageState) {
	t.Helper()
	s, messages, err := Open(dir, Options{MaxBytes: maxBytes}, discardLogger)
	if err != nil {
		t.Fatal(err)
	}
	return s, messages
}

func newTestMessage(id string, size int) *Message {
	return &Message{
		ID: id, Key: "k" + id, Class: "c", Tenant: "t", Dest: -7, ExpiresAt: 1 << 60,
		Body: bytes.Repeat([]byte{0xa7, '\r', '\n', 0}, size/4),
	}
}

// A process finds the unfinished messages that the previous one recorded. The journal is not closed before it is
// reopened, because a process that is killed does not close it.
func TestReopenedJournalHasUnfinishedMessages(t *testing.T) {
	m := newTestMessage("a", 64)
	first, second := Attempt{"p1", "z1", 11}, Attempt{"p2", "z2", 22}
	for name, c := range map[string]struct {
		records []Record
		want    []MessageState
	}{
		"accepted":                {nil, []MessageState{{Message: m}}},
		"an attempt is in flight": {[]Record{AttemptBegun("a", first)}, []MessageState{{m, Progress{AttemptCount: 1, InFlight: &first}}}},
		"the attempt never ran":   {[]Record{AttemptBegun("a", first), NeverRan("a", "")}, []MessageState{{m, Progress{AttemptCount: 1}}}},
		"the first attempt may have run, the second did not": {[]Record{
			AttemptBegun("a", first), MayHaveRun("a", ""), AttemptBegun("a", second),
			NeverRan("a", ""),
		}, []MessageState{{m, Progress{AttemptCount: 2, FirstRun: &first}}}},
		"one attempt may have run, one is in flight": {
			[]Record{AttemptBegun("a", first), MayHaveRun("a", ""), AttemptBegun("a", second)},
			[]MessageState{{m, Progress{AttemptCount: 2, FirstRun: &first, InFlight: &second}}},
		},
		"a notice is pending": {
			[]Record{Ended("a", End{true, 500})},
			[]MessageState{{m, Progress{PendingNotice: &End{true, 500}}}},
		},
		"finished": {[]Record{Ended("a", End{}), Done("a")}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s, _ := openJournal(t, dir, 1<<20)
			written := make(chan error, 1)
			if err := s.Append(append([]Record{Accepted(m)}, c.records...), func(err error) { written <- err }); err != nil {
				t.Fatal(err)
			}
			if err := <-written; err != nil {
				t.Fatal(err)
			}
			for reopened := range 3 { // a rewritten file has the same contents
				_, messages := openJournal(t, dir, 1<<20)
				if diff := cmp.Diff(c.want, messages); diff != "" {
					t.Fatalf("reopened %d: %s", reopened, diff)
				}
			}
		})
	}
}

// A truncated last record and a corrupt one in the middle do not affect the other records.
func TestCorruptRecordsAreSkipped(t *testing.T) {
	dir := t.TempDir()
	s, _ := openJournal(t, dir, 1<<20)
	for i := range 4 {
		if err := s.AddMessage(newTestMessage(fmt.Sprint(i), 40)); err != nil {
			t.Fatal(err)
		}
	}
	path := filepath.Join(dir, fileName)
	contents, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	recordSize := len(contents) / 4
	contents[recordSize+recordSize/2] ^= 0x40       // corrupt the second record
	contents = contents[:len(contents)-3]           // truncate the last one
	copy(contents[2*recordSize-3:], "\xff\xff\xff") // overwrite the end of the second one
	if err := os.WriteFile(path, contents, 0o600); err != nil {
		t.Fatal(err)
	}
	_, messages := openJournal(t, dir, 1<<20)
	var ids []string
	for _, m := range messages {
		ids = append(ids, m.ID)
	}
	if diff := cmp.Diff([]string{"0", "2"}, ids); diff != "" {
		t.Fatal(diff)
	}
}

// The file and its rewritten successor together stay within the limit, however many messages are accepted and
// finished. A message that does not fit is rejected and the others remain.
func TestDiskLimitBoundsFileSizes(t *testing.T) {
	const limit = 400 << 10
	dir := t.TempDir()
	s, _ := openJournal(t, dir, limit)
	rejected := 0
	for i := range 401 {
		switch err := s.AddMessage(newTestMessage(fmt.Sprint(i), 60<<10)); {
		case errors.Is(err, ErrFull):
			rejected++
			if err := s.Append([]Record{
				Done(fmt.Sprint(i - i%3 - 1)), Done(fmt.Sprint(i - i%3 - 2)),
				Done(fmt.Sprint(i - i%3 - 3)),
			}, nil); err != nil {
				t.Fatal(err)
			}
		case err != nil:
			t.Fatal(err)
		}
		info, err := os.Stat(filepath.Join(dir, fileName))
		if err != nil {
			t.Fatal(err)
		}
		if info.Size() > limit/2 {
			t.Fatalf("a file of %d bytes and its successor do not fit within %d bytes", info.Size(), limit)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	remaining := len(s.messages)
	_, messages := openJournal(t, dir, limit)
	if rejected == 0 || remaining == 0 || len(messages) != remaining {
		t.Fatalf("%d rejected, %d unfinished, %d after reopening", rejected, remaining, len(messages))
	}
	if err := s.AddMessage(newTestMessage("late", 4)); !errors.Is(err, ErrClosed) {
		t.Fatalf("append to a closed journal: %v", err)
	}
}

// An unreadable journal, here directories in the place of its files, does not prevent the start. It is
// quarantined and replaced by an empty journal.
func TestUnreadableJournalIsQuarantined(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{fileName + "/x", nextName + "/x", fileName + quarantineSuffix + "/x"} {
		if err := os.MkdirAll(filepath.Join(dir, name), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	s, messages, err := Open(dir, Options{MaxBytes: 1e6}, slog.New(slog.DiscardHandler))
	if err != nil || len(messages) > 0 || s.Intact() {
		t.Fatalf("%d messages, %v", len(messages), err)
	}
	if err := s.AddMessage(&Message{ID: "a", ExpiresAt: 1 << 60}); err != nil {
		t.Error(err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(filepath.Join(dir, fileName+quarantineSuffix, "x")); err != nil {
		t.Errorf("the quarantined journal is missing: %v", err)
	}
}

// A journal quarantined by an earlier process reduces the size limit. It is deleted if it takes more than half of
// the limit.
func TestQuarantinedJournalCountsAgainstLimit(t *testing.T) {
	for size, want := range map[int]int64{1000: 99_000, 50_000: 50_000, 50_001: 100_000} {
		dir := t.TempDir()
		quarantined := filepath.Join(dir, fileName+quarantineSuffix)
		if err := os.WriteFile(quarantined, make([]byte, size), 0o600); err != nil {
			t.Fatal(err)
		}
		s, _, err := Open(dir, Options{MaxBytes: 100_000}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := os.Stat(quarantined); s.MaxBytes != want || (err == nil) != (want < 100_000) {
			t.Errorf("%d bytes quarantined: limit %d, want %d; %v", size, s.MaxBytes, want, err)
		}
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	}
}
