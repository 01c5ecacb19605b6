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

var quiet = slog.New(slog.DiscardHandler)

func open(t *testing.T, dir string, limit int64) (*Store, []Kept) {
	t.Helper()
	s, kept, err := Open(dir, Options{Limit: limit}, quiet)
	if err != nil {
		t.Fatal(err)
	}
	return s, kept
}

func message(id string, size int) *Message {
	return &Message{
		ID: id, Key: "k" + id, Class: "c", Tenant: "t", Dest: -7, Until: 1 << 60,
		Body: bytes.Repeat([]byte{0xa7, '\r', '\n', 0}, size/4),
	}
}

// What a life wrote is what the next one finds. No Close comes before: a process that is
// killed does not close its journal.
func TestNextLifeFindsWhatIsOwed(t *testing.T) {
	m := message("a", 64)
	first, second := Try{"p1", "z1", 11}, Try{"p2", "z2", 22}
	for name, c := range map[string]struct {
		records []Record
		want    []Kept
	}{
		"taken":             {nil, []Kept{{Message: m}}},
		"a try is out":      {[]Record{Begun("a", first)}, []Kept{{m, Progress{Tries: 1, Out: &first}}}},
		"the try never ran": {[]Record{Begun("a", first), NeverRan("a", "")}, []Kept{{m, Progress{Tries: 1}}}},
		"the try may have run, the next did not": {[]Record{
			Begun("a", first), MayHaveRun("a", ""), Begun("a", second),
			NeverRan("a", ""),
		}, []Kept{{m, Progress{Tries: 2, Ran: &first}}}},
		"one may have run and one is out": {
			[]Record{Begun("a", first), MayHaveRun("a", ""), Begun("a", second)},
			[]Kept{{m, Progress{Tries: 2, Ran: &first, Out: &second}}},
		},
		"a notice is owed": {
			[]Record{Ended("a", End{true, 500})},
			[]Kept{{m, Progress{Owed: &End{true, 500}}}},
		},
		"over": {[]Record{Ended("a", End{}), Over("a")}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s, _ := open(t, dir, 1<<20)
			heard := make(chan error, 1)
			if err := s.Append(append([]Record{Taken(m)}, c.records...), func(err error) { heard <- err }); err != nil {
				t.Fatal(err)
			}
			if err := <-heard; err != nil {
				t.Fatal(err)
			}
			for life := range 3 { // a file made anew says the same
				_, kept := open(t, dir, 1<<20)
				if diff := cmp.Diff(c.want, kept); diff != "" {
					t.Fatalf("life %d: %s", life, diff)
				}
			}
		})
	}
}

// A torn last record and a spoilt one in the middle cost themselves only.
func TestSpoiltRecordsArePassedOver(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir, 1<<20)
	for i := range 4 {
		if err := s.Take(message(fmt.Sprint(i), 40)); err != nil {
			t.Fatal(err)
		}
	}
	path := filepath.Join(dir, fileName)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	one := len(text) / 4
	text[one+one/2] ^= 0x40              // in the second
	text = text[:len(text)-3]            // the last is torn
	copy(text[2*one-3:], "\xff\xff\xff") // and the second ends in nonsense
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	_, kept := open(t, dir, 1<<20)
	var ids []string
	for _, k := range kept {
		ids = append(ids, k.ID)
	}
	if diff := cmp.Diff([]string{"0", "2"}, ids); diff != "" {
		t.Fatal(diff)
	}
}

// The file and the one that takes its place stay under the limit together, however long
// messages come and go; where the limit leaves no room a message is refused, and the
// others are kept.
func TestDiskLimit(t *testing.T) {
	const limit = 400 << 10
	dir := t.TempDir()
	s, _ := open(t, dir, limit)
	refused := 0
	for i := range 401 {
		switch err := s.Take(message(fmt.Sprint(i), 60<<10)); {
		case errors.Is(err, ErrFull):
			refused++
			if err := s.Append([]Record{
				Over(fmt.Sprint(i - i%3 - 1)), Over(fmt.Sprint(i - i%3 - 2)),
				Over(fmt.Sprint(i - i%3 - 3)),
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
			t.Fatalf("a file of %d bytes leaves no room for the next under %d", info.Size(), limit)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	held := len(s.held)
	_, kept := open(t, dir, limit)
	if refused == 0 || held == 0 || len(kept) != held {
		t.Fatalf("%d refused, %d held, %d kept", refused, held, len(kept))
	}
	if err := s.Take(message("late", 4)); !errors.Is(err, ErrClosed) {
		t.Fatalf("a closed journal: %v", err)
	}
}

// A journal that can't be read, and a folder where a file was to be, stop no start: they are set aside
// and the life begins with an empty one.
func TestUnreadableJournalIsSetAside(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{fileName + "/x", nextName + "/x", fileName + asideName + "/x"} {
		if err := os.MkdirAll(filepath.Join(dir, name), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	s, kept, err := Open(dir, Options{Limit: 1e6}, slog.New(slog.DiscardHandler))
	if err != nil || len(kept) > 0 || s.Sound() {
		t.Fatalf("%d kept, %v", len(kept), err)
	}
	if err := s.Take(&Message{ID: "a", Until: 1 << 60}); err != nil {
		t.Error(err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(filepath.Join(dir, fileName+asideName, "x")); err != nil {
		t.Errorf("what was set aside is gone: %v", err)
	}
}

// What an earlier life set aside shares the folder's limit, and makes way where it would take half of it.
func TestSetAsideSharesTheLimit(t *testing.T) {
	for size, want := range map[int]int64{1000: 99_000, 50_000: 50_000, 50_001: 100_000} {
		dir := t.TempDir()
		aside := filepath.Join(dir, fileName+asideName)
		if err := os.WriteFile(aside, make([]byte, size), 0o600); err != nil {
			t.Fatal(err)
		}
		s, _, err := Open(dir, Options{Limit: 100_000}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := os.Stat(aside); s.Limit != want || (err == nil) != (want < 100_000) {
			t.Errorf("%d bytes aside: limit %d, want %d; %v", size, s.Limit, want, err)
		}
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	}
}
