package learned

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"raventrestle"
	"raventrestle/internal/net/nettest"
)

func exampleSnapshot(at time.Duration) Snapshot {
	return Snapshot{SavedAt: at, Learned: raventrestle.Learned{CallSec: 0.1, N: 3, LimitsReported: true, Dests: []raventrestle.LearnedDest{{
		Dest:    7,
		Targets: []raventrestle.LearnedTarget{{Target: "s-1", Route: &raventrestle.LearnedRoute{Limit: 250, Rate: 0.9, LimitReported: true, WaitUntil: at}}},
	}}}}
}

func TestOnlyFreshSnapshotsAreUsed(t *testing.T) {
	const memory = 12 * time.Second
	for name, c := range map[string]struct {
		age  time.Duration
		want bool
	}{"fresh": {time.Second, true}, "at the bound": {memory, true}, "too old": {memory + 1, false}, "a clock that went back": {-1, false}} {
		b, ok := Fresh(exampleSnapshot(time.Hour), time.Hour+c.age, memory)
		if ok != c.want || ok == (len(b.Dests) == 0) {
			t.Errorf("%s: %v %+v", name, ok, b)
		}
	}
}

// A file that is truncated or changed at any byte is an error: Load neither panics nor returns a wrong snapshot.
func TestTruncatedAndCorruptFilesAreErrors(t *testing.T) {
	validFile, err := encode(exampleSnapshot(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	load := func(b []byte) error {
		if err := os.WriteFile(filepath.Join(dir, fileName), b, 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(dir)
		return err
	}
	for n := range validFile {
		if err := load(validFile[:n]); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("the first %d bytes: %v", n, err)
		}
		corrupt := append([]byte{}, validFile...)
		corrupt[n] ^= 0x20
		if err := load(corrupt); !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrFormat) {
			t.Fatalf("byte %d changed: %v", n, err)
		}
	}
	if err := load(append(validFile, make([]byte, MaxFileBytes)...)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("too large a file: %v", err)
	}
	if err := load(validFile); err != nil {
		t.Errorf("the unchanged file: %v", err)
	}
}

func TestLatestSnapshotIsWritten(t *testing.T) {
	dir := t.TempDir()
	if _, err := Load(dir); !errors.Is(err, os.ErrNotExist) {
		t.Fatalf("none: %v", err)
	}
	k := NewWriter(dir, nettest.Log)
	for i := range 100 {
		k.Save(exampleSnapshot(time.Duration(i)))
	}
	k.Close()
	got, err := Load(dir)
	if diff := cmp.Diff(exampleSnapshot(99), got); err != nil || diff != "" {
		t.Errorf("%v\n%s", err, diff)
	}
	large := exampleSnapshot(1)
	large.Dests[0].Targets[0].Target = raventrestle.TargetID(strings.Repeat("x", MaxFileBytes))
	if err := writeFile(dir, large); !errors.Is(err, ErrTooLarge) {
		t.Errorf("too large a snapshot: %v", err)
	}
	if err := writeFile(filepath.Join(dir, "none"), exampleSnapshot(1)); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no directory: %v", err)
	}
	if got, err := Load(dir); err != nil || got.SavedAt != 99 {
		t.Errorf("a failed write changed the file: %v %v", got.SavedAt, err)
	}
}
