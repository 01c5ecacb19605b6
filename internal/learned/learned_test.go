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

func some(at time.Duration) Saved {
	return Saved{At: at, Learned: raventrestle.Learned{CallSec: 0.1, N: 3, LimitsReported: true, Dests: []raventrestle.LearnedDest{{
		Dest:    7,
		Targets: []raventrestle.LearnedTarget{{Target: "s-1", Route: &raventrestle.LearnedRoute{Limit: 250, Rate: 0.9, LimitReported: true, WaitUntil: at}}},
	}}}}
}

func TestOnlyWhatIsFreshCounts(t *testing.T) {
	const memory = 12 * time.Second
	for name, c := range map[string]struct {
		age  time.Duration
		want bool
	}{"fresh": {time.Second, true}, "at the bound": {memory, true}, "too old": {memory + 1, false}, "a clock that went back": {-1, false}} {
		b, ok := Current(some(time.Hour), time.Hour+c.age, memory)
		if ok != c.want || ok == (len(b.Dests) == 0) {
			t.Errorf("%s: %v %+v", name, ok, b)
		}
	}
}

// Whatever a file lost or got, it is an error: never a crash, and never another state.
func TestTornAndGarbledFiles(t *testing.T) {
	whole, err := encode(some(time.Hour))
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
	for n := range whole {
		if err := load(whole[:n]); !errors.Is(err, ErrTorn) {
			t.Fatalf("the first %d bytes: %v", n, err)
		}
		bad := append([]byte{}, whole...)
		bad[n] ^= 0x20
		if err := load(bad); !errors.Is(err, ErrTorn) && !errors.Is(err, ErrForm) {
			t.Fatalf("byte %d changed: %v", n, err)
		}
	}
	if err := load(append(whole, make([]byte, MostBytes)...)); !errors.Is(err, ErrLarge) {
		t.Errorf("a large one: %v", err)
	}
	if err := load(whole); err != nil {
		t.Errorf("the whole one: %v", err)
	}
}

func TestTheNewestIsWritten(t *testing.T) {
	dir := t.TempDir()
	if _, err := Load(dir); !errors.Is(err, os.ErrNotExist) {
		t.Fatalf("none: %v", err)
	}
	k := Keep(dir, nettest.Log)
	for i := range 100 {
		k.Save(some(time.Duration(i)))
	}
	k.Close()
	got, err := Load(dir)
	if diff := cmp.Diff(some(99), got); err != nil || diff != "" {
		t.Errorf("%v\n%s", err, diff)
	}
	large := some(1)
	large.Dests[0].Targets[0].Target = raventrestle.TargetID(strings.Repeat("x", MostBytes))
	if err := write(dir, large); !errors.Is(err, ErrLarge) {
		t.Errorf("a large one: %v", err)
	}
	if err := write(filepath.Join(dir, "none"), some(1)); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no folder: %v", err)
	}
	if kept, err := Load(dir); err != nil || kept.At != 99 {
		t.Errorf("what failed to be written changed the file: %v %v", kept.At, err)
	}
}
