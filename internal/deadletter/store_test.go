package deadletter

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"raventrestle"
	"raventrestle/internal/deadletter/rule"
)

var (
	quiet = slog.New(slog.DiscardHandler)
	large = Options{MaxBytes: 1 << 30, MaxLetters: 1 << 20}
	epoch = time.Unix(1_800_000_000, 0)
)

func open(t *testing.T, dir string, o Options) *Store {
	t.Helper()
	s, err := Open(dir, o, quiet)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func letter(id string, dest int64, worth float32, failed int) *Letter {
	return &Letter{
		ID: id, Key: "k-" + id, Class: "c", Tenant: "t", Dest: dest, Worth: worth,
		Failed: epoch.Add(time.Duration(failed) * time.Second).UnixNano(), Deadline: int64(time.Second),
		Tries: []Try{{Peer: "p1", Floor: "a", At: 5, Outcome: "full"}}, Body: []byte("body of " + id),
	}
}

// The store against a plain model: what is put, changed, deleted and expired is there, whole, after
// any number of closings; the index in memory says the same as the file.
func TestStoreAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "letters")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		o := Options{MaxBytes: 1 << 30, MaxLetters: rapid.IntRange(3, 12).Draw(t, "most")}
		s, err := Open(dir, o, quiet)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { s.Close() }()
		model := map[string]*Letter{}
		id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n"})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"put", "put", "put", "change", "delete", "reopen", "expire"}).Draw(t, "what") {
			case "put":
				var batch []*Letter
				for range rapid.IntRange(1, 3).Draw(t, "n") {
					l := letter(id.Draw(t, "id"), int64(rapid.IntRange(1, 2).Draw(t, "dest")),
						float32(rapid.IntRange(1, 3).Draw(t, "worth")), rapid.IntRange(0, 9).Draw(t, "failed"))
					if old := model[l.ID]; old != nil {
						l.Dest = old.Dest
					}
					if !slices.ContainsFunc(batch, func(x *Letter) bool { return x.ID == l.ID }) {
						batch = append(batch, l)
					}
				}
				gave, err := s.Put(batch...)
				if err != nil {
					t.Fatal(err)
				}
				for _, g := range gave {
					if model[g.ID] == nil {
						t.Fatalf("%s gave way and was not there", g.ID)
					}
					if model[g.ID].State == rule.Resending {
						t.Fatalf("%s gave way while out", g.ID)
					}
					delete(model, g.ID)
				}
				worst := letter("", 0, 99, 99).weight()
				for _, l := range model {
					if l.State != rule.Resending && l.weight().Compare(worst) < 0 {
						worst = l.weight()
					}
				}
				for _, g := range gave {
					if g.weight().Compare(worst) > 0 {
						t.Fatalf("%+v gave way before %+v", g.weight(), worst)
					}
				}
				for _, l := range batch {
					model[l.ID] = l
				}
			case "change":
				which, state := id.Draw(t, "id"), rule.State(rapid.IntRange(0, 4).Draw(t, "state"))
				err := s.Change([]string{which}, func(l *Letter) error { l.State = state; return nil })
				if l := model[which]; l != nil && err == nil {
					l.State = state
				} else if (l == nil) != errors.Is(err, ErrMissing) {
					t.Fatal(err)
				}
			case "delete":
				which := id.Draw(t, "id")
				if err := s.Delete(which); err != nil {
					t.Fatal(err)
				}
				delete(model, which)
			case "expire":
				at := rapid.IntRange(0, 15).Draw(t, "at")
				gone, err := s.Expire(epoch.Add(time.Duration(at)*time.Second), 5*time.Second, 5*time.Second, 100)
				if err != nil {
					t.Fatal(err)
				}
				for _, g := range gone {
					if g.State == rule.Resending {
						t.Fatal("expired while out")
					}
					delete(model, g.ID)
				}
				for _, l := range model {
					if l.State == rule.Held && l.Failed < epoch.Add(time.Duration(at-5)*time.Second).UnixNano() {
						t.Fatalf("%s outlived its time", l.ID)
					}
				}
			case "reopen":
				if err := s.Close(); err != nil {
					t.Fatal(err)
				}
				if s, err = Open(dir, o, quiet); err != nil {
					t.Fatal(err)
				}
			}
			got := map[string]*Letter{}
			if err := s.Each(func(l *Letter) bool { got[l.ID] = l; return true }); err != nil {
				t.Fatal(err)
			}
			var bytes int64
			n := 0
			for _, sh := range s.shelves {
				n += len(sh.entries)
				for _, e := range sh.entries {
					bytes += int64(e.size)
				}
			}
			if n != len(model) || s.Letters != n || s.Bytes != bytes {
				t.Fatalf("the index has %d letters (%d counted) of %d bytes (%d counted), the model %d", n, s.Letters, bytes, s.Bytes, len(model))
			}
			for id, want := range model {
				if l, err := s.Get(id); err != nil || string(l.Body) != "body of "+id {
					t.Fatalf("%s: %v", id, err)
				}
				w := *want
				w.Body = nil
				if diff := cmp.Diff(&w, got[id]); diff != "" {
					t.Fatal(diff)
				}
			}
			if len(got) != len(model) {
				t.Fatalf("%d letters, want %d", len(got), len(model))
			}
		}
	})
}

// A store that is cut off, overwritten or has bits flipped never stops the courier: it opens, is set
// aside, or loses the dead letters that were hit, and what can still be read is what was written.
func TestSpoiltStore(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, large)
	for i := range 200 {
		if _, err := s.Put(letter(fmt.Sprint("m", i), int64(i%3), 1, i)); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	good, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	spoils := map[string]func([]byte) []byte{
		"empty":      func([]byte) []byte { return nil },
		"one byte":   func([]byte) []byte { return []byte{1} },
		"noise":      func(b []byte) []byte { return make([]byte, len(b)) },
		"cut a page": func(b []byte) []byte { return b[:len(b)-4096] },
	}
	for _, n := range []int{100, 4096, 5000, 8192, 20000} {
		spoils[fmt.Sprint("cut at ", n)] = func(b []byte) []byte { return b[:n] }
	}
	for at := 1; at < len(good); at += len(good) / 150 {
		spoils[fmt.Sprint("bit at ", at)] = func(b []byte) []byte { b[at] ^= 0x10; return b }
	}
	aside, whole := 0, 0
	for name, spoil := range spoils {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, fileName), spoil(slices.Clone(good)), 0o600); err != nil {
			t.Fatal(err)
		}
		k, _, _, err := Start(Config{Folder: dir, Options: large, Log: quiet, Class: noClass}, nil, true)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		read := 0
		err = k.store.Each(func(l *Letter) bool {
			read++
			x, err := k.store.Get(l.ID)
			if err == nil && string(x.Body) != "body of "+x.ID {
				t.Errorf("%s: the body of %s is %q", name, x.ID, x.Body)
			}
			return true
		})
		if err != nil && !errors.Is(err, ErrSpoilt) {
			t.Errorf("%s: %v", name, err)
		}
		if err == nil {
			if _, err := k.store.Put(letter("new", 1, 1, 1)); err != nil && !errors.Is(err, ErrSpoilt) {
				t.Errorf("%s: %v", name, err)
			}
		}
		k.store.Close()
		if bad, _ := filepath.Glob(filepath.Join(dir, "*.bad-*")); len(bad) > 0 {
			aside++
		} else if read == 200 {
			whole++
		}
	}
	t.Logf("%d spoilt files: %d set aside, %d unharmed", len(spoils), aside, whole)
	if aside == 0 || whole == len(spoils) {
		t.Fatal("nothing was spoilt")
	}
}

func noClass(string) (raventrestle.Class, bool) { return raventrestle.Class{}, false }

// Two couriers at one folder: the second goes without and sets nothing aside. A command that would
// write is held off in the same way.
func TestSecondOwner(t *testing.T) {
	dir := t.TempDir()
	open(t, dir, large)
	for _, readOnly := range []bool{false, true} {
		o := large
		o.ReadOnly = readOnly
		if _, err := Open(dir, o, quiet); !errors.Is(err, ErrLocked) {
			t.Fatal(err)
		}
	}
	if _, _, _, err := Start(Config{Folder: dir, Options: large, Log: quiet}, nil, true); !errors.Is(err, ErrLocked) {
		t.Fatal(err)
	}
	if bad, _ := filepath.Glob(filepath.Join(dir, "*.bad-*")); len(bad) > 0 {
		t.Fatal("set aside", bad)
	}
}

// A full disk loses the dead letter that came then and nothing else; when there is room again, the next
// one is kept.
func TestFullDisk(t *testing.T) {
	full := false
	o := large
	o.Before = func() error {
		if full {
			return errors.New("no space left on device")
		}
		return nil
	}
	k, _, _, err := Start(Config{Folder: t.TempDir(), Options: o, Log: quiet, Class: noClass}, nil, true)
	if err != nil {
		t.Fatal(err)
	}
	run(t, k)
	keep := func(id string) error {
		heard := make(chan error, 1)
		k.Keep(letter(id, 1, 1, 1), false, func(err error) { heard <- err })
		return <-heard
	}
	if err := keep("a"); err != nil {
		t.Fatal(err)
	}
	if err := k.look(t.Context(), func() { full = true }); err != nil {
		t.Fatal(err)
	}
	if err := keep("b"); err == nil {
		t.Fatal("kept on a full disk")
	}
	if err := k.look(t.Context(), func() { full = false }); err != nil {
		t.Fatal(err)
	}
	if err := keep("c"); err != nil {
		t.Fatal(err)
	}
	items, err := k.List(t.Context(), Filter{})
	if err != nil || len(items) != 2 || k.Counts.Lost.Load() != 1 {
		t.Fatal(items, err, k.Counts.Lost.Load())
	}
}

// A disk that does not answer keeps no notice back. The dead letter that comes late stays where the client
// was told that the message failed, and is taken back where it was told to come again.
func TestSlowDisk(t *testing.T) {
	for _, refused := range []bool{false, true} {
		slow := make(chan struct{})
		o := large
		started := false
		o.Before = func() error {
			if started {
				<-slow
			}
			return nil
		}
		k, _, _, err := Start(Config{Folder: t.TempDir(), Options: o, Log: quiet, Class: noClass}, nil, true)
		if err != nil {
			t.Fatal(err)
		}
		started = true
		run(t, k)
		heard := make(chan error, 4)
		k.Keep(letter("a", 1, 1, 1), refused, func(err error) { heard <- err }) // meets the disk
		k.Keep(letter("b", 1, 1, 1), refused, func(err error) { heard <- err }) // waits behind it
		for range 2 {
			if err := <-heard; !errors.Is(err, ErrOff) {
				t.Fatal(err)
			}
		}
		close(slow)
		items, err := k.List(t.Context(), Filter{})
		if err != nil || len(items) != map[bool]int{false: 2, true: 0}[refused] || len(heard) > 0 {
			t.Fatal(items, err, len(heard))
		}
	}
}

func run(t *testing.T, k *Keeper) {
	ctx, stop := context.WithCancel(context.Background())
	go k.Run(ctx)
	t.Cleanup(func() { stop(); k.Wait() })
}

// Discard and resend at one dead letter, over and over: whichever comes first holds, and a dead letter that is
// out can't be discarded.
func TestDiscardAgainstResend(t *testing.T) {
	begun := make(chan Again, 64)
	limits := rule.Limits{
		MaxResends: 9, MaxAge: 1 << 62, InitialRate: 1000, MaxRate: 1000, Backoff: time.Millisecond,
		MaxBackoff: time.Millisecond, SlotsShare: 0.5, HeldShare: 0.5,
	}
	k, _, _, err := Start(Config{
		Folder: t.TempDir(), Options: large, Log: quiet, Limits: limits, MaxAge: 1 << 62,
		Settled: time.Hour, Class: func(string) (raventrestle.Class, bool) {
			return raventrestle.Class{Deadline: time.Second, Idempotency: raventrestle.NonIdempotent}, true
		}, Append: appends, Begin: func(a Again) bool { begun <- a; return true },
	}, nil, true)
	if err != nil {
		t.Fatal(err)
	}
	k.Tell(&View{Load: rule.Load{Slots: 100, MaxHeld: 100}, Places: map[int64][]rule.Endpoint{1: {{Peer: "p"}}}})
	run(t, k)
	sent, discarded := 0, 0
	for i := range 30 {
		id := fmt.Sprint("m", i)
		heard := make(chan error, 1)
		k.Keep(letter(id, 1, 1, 1), false, func(err error) { heard <- err })
		if err := <-heard; err != nil {
			t.Fatal(err)
		}
		answers := make(chan Answer, 2)
		f := Filter{IDs: []string{id}}
		go func() { a, _ := k.Resend(context.Background(), f, false); answers <- a[0] }()
		go func() {
			if i%2 > 0 {
				time.Sleep(beat)
			}
			a, _ := k.Discard(context.Background(), f, false)
			answers <- a[0]
		}()
		<-answers
		<-answers
		it, err := k.Show(t.Context(), id)
		if err != nil {
			t.Fatal(err)
		}
		if it.State == rule.Held { // asked for: it goes at the next beat
			a := <-begun
			if a.ID != id {
				t.Fatalf("%s was sent, not %s", a.ID, id)
			}
		} else if it.State == rule.Resending {
			if a := <-begun; a.ID != id {
				t.Fatalf("%s was sent, not %s", a.ID, id)
			}
		}
		if it.State == rule.Discarded {
			discarded++
			time.Sleep(2 * beat) // room for what must not come
			if len(begun) > 0 {
				t.Fatalf("%s was discarded and sent", id)
			}
			continue
		}
		sent++
		if a, err := k.Discard(t.Context(), f, false); err != nil || a[0].Done || a[0].Reason != rule.BeingSent {
			t.Fatalf("discarded while out: %+v %v", a, err)
		}
		done := make(chan error, 1)
		k.Finish(Result{ID: id, Dest: 1, What: "delivered", List: []Try{{Outcome: "ok"}}}, func(err error) { done <- err })
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%d sent, %d discarded", sent, discarded)
	if sent == 0 || discarded == 0 {
		t.Fatal("only one of them ever came first")
	}
}

// What dead letters at rest take in memory: under 200 bytes each. `raventrestle-lab cost` measures 100,000 in a courier.
func TestMemoryAtRest(t *testing.T) {
	if testing.Short() {
		t.Skip("writes 20,000 letters")
	}
	dir := t.TempDir()
	s := open(t, dir, large)
	const n = 20_000
	var batch []*Letter
	for i := range n {
		if batch = append(batch, letter(fmt.Sprintf("%016x", i), int64(i%50), 1, i)); len(batch) == 500 {
			if _, err := s.Put(batch...); err != nil {
				t.Fatal(err)
			}
			batch = nil
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	s = open(t, dir, large)
	each := float64(heap()-before) / n
	t.Logf("%.0f bytes of heap for each of %d letters", each, s.Letters)
	if s.Letters != n || each > 200 {
		t.Fatalf("%d letters, %.0f bytes each", s.Letters, each)
	}
}
