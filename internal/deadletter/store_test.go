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
	discardLogger = slog.New(slog.DiscardHandler)
	largeOptions  = Options{MaxBytes: 1 << 30, MaxMessages: 1 << 20}
	epoch         = time.Unix(1_800_000_000, 0)
)

func openStore(t *testing.T, dir string, o Options) *Store {
	t.Helper()
	s, err := Open(dir, o, discardLogger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func newTestMessage(id string, dest int64, value float32, failedAfter int) *Message {
	return &Message{
		ID: id, Key: "k-" + id, Class: "c", Tenant: "t", Dest: dest, Value: value,
		FailedAt: epoch.Add(time.Duration(failedAfter) * time.Second).UnixNano(), Deadline: int64(time.Second),
		Attempts: []Attempt{{Peer: "p1", Zone: "a", At: 5, Outcome: "full"}}, Body: []byte("body of " + id),
	}
}

// Random operations on the store and on a map give the same contents, also after the store is closed and
// reopened, and the index in memory agrees with the file.
func TestStoreAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "letters")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		o := Options{MaxBytes: 1 << 30, MaxMessages: rapid.IntRange(3, 12).Draw(t, "max messages")}
		s, err := Open(dir, o, discardLogger)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { s.Close() }()
		model := map[string]*Message{}
		id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n"})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"put", "put", "put", "change", "delete", "reopen", "expire"}).Draw(t, "what") {
			case "put":
				var batch []*Message
				for range rapid.IntRange(1, 3).Draw(t, "n") {
					msg := newTestMessage(id.Draw(t, "id"), int64(rapid.IntRange(1, 2).Draw(t, "dest")),
						float32(rapid.IntRange(1, 3).Draw(t, "value")), rapid.IntRange(0, 9).Draw(t, "failed"))
					if old := model[msg.ID]; old != nil {
						msg.Dest = old.Dest
					}
					if !slices.ContainsFunc(batch, func(x *Message) bool { return x.ID == msg.ID }) {
						batch = append(batch, msg)
					}
				}
				evicted, err := s.Put(batch...)
				if err != nil {
					t.Fatal(err)
				}
				for _, msg := range evicted {
					if model[msg.ID] == nil {
						t.Fatalf("%s was evicted but was not in the store", msg.ID)
					}
					if model[msg.ID].State == rule.Resending {
						t.Fatalf("%s was evicted while being resent", msg.ID)
					}
					delete(model, msg.ID)
				}
				first := newTestMessage("", 0, 99, 99).evictionRank()
				for _, msg := range model {
					if msg.State != rule.Resending && msg.evictionRank().Compare(first) < 0 {
						first = msg.evictionRank()
					}
				}
				for _, msg := range evicted {
					if msg.evictionRank().Compare(first) > 0 {
						t.Fatalf("%+v was evicted before %+v", msg.evictionRank(), first)
					}
				}
				for _, msg := range batch {
					model[msg.ID] = msg
				}
			case "change":
				target, state := id.Draw(t, "id"), rule.State(rapid.IntRange(0, 4).Draw(t, "state"))
				err := s.Change([]string{target}, func(msg *Message) error { msg.State = state; return nil })
				if msg := model[target]; msg != nil && err == nil {
					msg.State = state
				} else if (msg == nil) != errors.Is(err, ErrMissing) {
					t.Fatal(err)
				}
			case "delete":
				target := id.Draw(t, "id")
				if err := s.Delete(target); err != nil {
					t.Fatal(err)
				}
				delete(model, target)
			case "expire":
				at := rapid.IntRange(0, 15).Draw(t, "at")
				expired, err := s.Expire(epoch.Add(time.Duration(at)*time.Second), 5*time.Second, 5*time.Second, 100)
				if err != nil {
					t.Fatal(err)
				}
				for _, msg := range expired {
					if msg.State == rule.Resending {
						t.Fatal("expired while being resent")
					}
					delete(model, msg.ID)
				}
				for _, msg := range model {
					if msg.State == rule.Held && msg.FailedAt < epoch.Add(time.Duration(at-5)*time.Second).UnixNano() {
						t.Fatalf("%s has not expired", msg.ID)
					}
				}
			case "reopen":
				if err := s.Close(); err != nil {
					t.Fatal(err)
				}
				if s, err = Open(dir, o, discardLogger); err != nil {
					t.Fatal(err)
				}
			}
			got := map[string]*Message{}
			if err := s.Each(func(msg *Message) bool { got[msg.ID] = msg; return true }); err != nil {
				t.Fatal(err)
			}
			var bytes int64
			n := 0
			for _, index := range s.indexes {
				n += len(index.entries)
				for _, e := range index.entries {
					bytes += int64(e.size)
				}
			}
			if n != len(model) || s.Count != n || s.Bytes != bytes {
				t.Fatalf("the index has %d dead letters (%d counted) of %d bytes (%d counted), the model has %d", n, s.Count, bytes, s.Bytes, len(model))
			}
			for id, want := range model {
				if msg, err := s.Get(id); err != nil || string(msg.Body) != "body of "+id {
					t.Fatalf("%s: %v", id, err)
				}
				w := *want
				w.Body = nil
				if diff := cmp.Diff(&w, got[id]); diff != "" {
					t.Fatal(diff)
				}
			}
			if len(got) != len(model) {
				t.Fatalf("%d dead letters, want %d", len(got), len(model))
			}
		}
	})
}

// A truncated or overwritten store file, or one with flipped bits, never prevents the start of the courier. The
// store opens, is quarantined or loses only the affected dead letters; what can be read is what was written.
func TestCorruptStoreDoesNotStopCourier(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir, largeOptions)
	for i := range 200 {
		if _, err := s.Put(newTestMessage(fmt.Sprint("m", i), int64(i%3), 1, i)); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	intact, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	corruptions := map[string]func([]byte) []byte{
		"empty":      func([]byte) []byte { return nil },
		"one byte":   func([]byte) []byte { return []byte{1} },
		"noise":      func(b []byte) []byte { return make([]byte, len(b)) },
		"cut a page": func(b []byte) []byte { return b[:len(b)-4096] },
	}
	for _, n := range []int{100, 4096, 5000, 8192, 20000} {
		corruptions[fmt.Sprint("cut at ", n)] = func(b []byte) []byte { return b[:n] }
	}
	for at := 1; at < len(intact); at += len(intact) / 150 {
		corruptions[fmt.Sprint("bit at ", at)] = func(b []byte) []byte { b[at] ^= 0x10; return b }
	}
	quarantined, unharmed := 0, 0
	for name, corrupt := range corruptions {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, fileName), corrupt(slices.Clone(intact)), 0o600); err != nil {
			t.Fatal(err)
		}
		mgr, _, _, err := Start(Config{Dir: dir, Options: largeOptions, Log: discardLogger, LookupClass: noClass}, nil, true)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		read := 0
		err = mgr.store.Each(func(msg *Message) bool {
			read++
			x, err := mgr.store.Get(msg.ID)
			if err == nil && string(x.Body) != "body of "+x.ID {
				t.Errorf("%s: the body of %s is %q", name, x.ID, x.Body)
			}
			return true
		})
		if err != nil && !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s: %v", name, err)
		}
		if err == nil {
			if _, err := mgr.store.Put(newTestMessage("new", 1, 1, 1)); err != nil && !errors.Is(err, ErrCorrupt) {
				t.Errorf("%s: %v", name, err)
			}
		}
		mgr.store.Close()
		if bad, _ := filepath.Glob(filepath.Join(dir, "*.bad-*")); len(bad) > 0 {
			quarantined++
		} else if read == 200 {
			unharmed++
		}
	}
	t.Logf("%d corrupt files: %d quarantined, %d unharmed", len(corruptions), quarantined, unharmed)
	if quarantined == 0 || unharmed == len(corruptions) {
		t.Fatal("no corruption had an effect")
	}
}

func noClass(string) (raventrestle.Class, bool) { return raventrestle.Class{}, false }

// A store that another process has open returns ErrLocked, both to a second courier and to a read-only command,
// and is not quarantined.
func TestStoreOfAnotherProcessIsLocked(t *testing.T) {
	dir := t.TempDir()
	openStore(t, dir, largeOptions)
	for _, readOnly := range []bool{false, true} {
		o := largeOptions
		o.ReadOnly = readOnly
		if _, err := Open(dir, o, discardLogger); !errors.Is(err, ErrLocked) {
			t.Fatal(err)
		}
	}
	if _, _, _, err := Start(Config{Dir: dir, Options: largeOptions, Log: discardLogger}, nil, true); !errors.Is(err, ErrLocked) {
		t.Fatal(err)
	}
	if bad, _ := filepath.Glob(filepath.Join(dir, "*.bad-*")); len(bad) > 0 {
		t.Fatal("quarantined", bad)
	}
}

// A full disk loses only the dead letters added while it is full. Once there is space again, the next one is
// stored.
func TestFullDiskLosesOnlyMessagesAddedMeanwhile(t *testing.T) {
	full := false
	o := largeOptions
	o.BeforeWrite = func() error {
		if full {
			return errors.New("no space left on device")
		}
		return nil
	}
	mgr, _, _, err := Start(Config{Dir: t.TempDir(), Options: o, Log: discardLogger, LookupClass: noClass}, nil, true)
	if err != nil {
		t.Fatal(err)
	}
	runManager(t, mgr)
	add := func(id string) error {
		added := make(chan error, 1)
		mgr.Add(newTestMessage(id, 1, 1, 1), false, func(err error) { added <- err })
		return <-added
	}
	if err := add("a"); err != nil {
		t.Fatal(err)
	}
	if err := mgr.exec(t.Context(), func() { full = true }); err != nil {
		t.Fatal(err)
	}
	if err := add("b"); err == nil {
		t.Fatal("stored on a full disk")
	}
	if err := mgr.exec(t.Context(), func() { full = false }); err != nil {
		t.Fatal(err)
	}
	if err := add("c"); err != nil {
		t.Fatal(err)
	}
	items, err := mgr.List(t.Context(), Filter{})
	if err != nil || len(items) != 2 || mgr.Counts.Lost.Load() != 1 {
		t.Fatal(items, err, mgr.Counts.Lost.Load())
	}
}

// A disk that blocks does not delay the notice to the client. A dead letter that is stored late remains if the
// client was told that the message failed, and is deleted if the client was told to submit it again.
func TestSlowDiskDoesNotDelayNotices(t *testing.T) {
	for _, deferOnError := range []bool{false, true} {
		diskResponds := make(chan struct{})
		o := largeOptions
		started := false
		o.BeforeWrite = func() error {
			if started {
				<-diskResponds
			}
			return nil
		}
		mgr, _, _, err := Start(Config{Dir: t.TempDir(), Options: o, Log: discardLogger, LookupClass: noClass}, nil, true)
		if err != nil {
			t.Fatal(err)
		}
		started = true
		runManager(t, mgr)
		added := make(chan error, 4)
		mgr.Add(newTestMessage("a", 1, 1, 1), deferOnError, func(err error) { added <- err }) // blocked by the disk
		mgr.Add(newTestMessage("b", 1, 1, 1), deferOnError, func(err error) { added <- err }) // queued behind the first one
		for range 2 {
			if err := <-added; !errors.Is(err, ErrUnavailable) {
				t.Fatal(err)
			}
		}
		close(diskResponds)
		items, err := mgr.List(t.Context(), Filter{})
		if err != nil || len(items) != map[bool]int{false: 2, true: 0}[deferOnError] || len(added) > 0 {
			t.Fatal(items, err, len(added))
		}
	}
}

func runManager(t *testing.T, mgr *Manager) {
	ctx, stop := context.WithCancel(context.Background())
	go mgr.Run(ctx)
	t.Cleanup(func() { stop(); mgr.Wait() })
}

// Discard and Resend run concurrently on one dead letter, many times. Whichever comes first takes effect, and a
// dead letter that is being resent cannot be discarded.
func TestConcurrentDiscardAndResend(t *testing.T) {
	submitted := make(chan ResendRequest, 64)
	limits := rule.Limits{
		MaxResends: 9, MaxAge: 1 << 62, InitialRate: 1000, MaxRate: 1000, Backoff: time.Millisecond,
		MaxBackoff: time.Millisecond, SlotsShare: 0.5, HeldShare: 0.5,
	}
	mgr, _, _, err := Start(Config{
		Dir: t.TempDir(), Options: largeOptions, Log: discardLogger, Limits: limits, MaxAge: 1 << 62,
		MaxFinalAge: time.Hour, LookupClass: func(string) (raventrestle.Class, bool) {
			return raventrestle.Class{Deadline: time.Second, Idempotency: raventrestle.NonIdempotent}, true
		}, AppendJournal: skipJournal, SubmitResend: func(a ResendRequest) bool { submitted <- a; return true },
	}, nil, true)
	if err != nil {
		t.Fatal(err)
	}
	mgr.SetCourierState(&CourierState{Load: rule.Load{Slots: 100, MaxHeld: 100}, Endpoints: map[int64][]rule.Endpoint{1: {{Peer: "p"}}}})
	runManager(t, mgr)
	sent, discarded := 0, 0
	for i := range 30 {
		id := fmt.Sprint("m", i)
		added := make(chan error, 1)
		mgr.Add(newTestMessage(id, 1, 1, 1), false, func(err error) { added <- err })
		if err := <-added; err != nil {
			t.Fatal(err)
		}
		results := make(chan ActionResult, 2)
		f := Filter{IDs: []string{id}}
		go func() { a, _ := mgr.Resend(context.Background(), f, false); results <- a[0] }()
		go func() {
			if i%2 > 0 {
				time.Sleep(tickInterval)
			}
			a, _ := mgr.Discard(context.Background(), f, false)
			results <- a[0]
		}()
		<-results
		<-results
		it, err := mgr.Show(t.Context(), id)
		if err != nil {
			t.Fatal(err)
		}
		if it.State == rule.Held { // requested: it is sent at the next tick
			a := <-submitted
			if a.ID != id {
				t.Fatalf("%s was sent, not %s", a.ID, id)
			}
		} else if it.State == rule.Resending {
			if a := <-submitted; a.ID != id {
				t.Fatalf("%s was sent, not %s", a.ID, id)
			}
		}
		if it.State == rule.Discarded {
			discarded++
			time.Sleep(2 * tickInterval) // time for a resend that must not begin
			if len(submitted) > 0 {
				t.Fatalf("%s was discarded and sent", id)
			}
			continue
		}
		sent++
		if a, err := mgr.Discard(t.Context(), f, false); err != nil || a[0].Done || a[0].Reason != rule.BeingSent {
			t.Fatalf("discarded while being resent: %+v %v", a, err)
		}
		done := make(chan error, 1)
		mgr.Finish(ResendResult{ID: id, Dest: 1, Result: "delivered", Attempts: []Attempt{{Outcome: "ok"}}}, func(err error) { done <- err })
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%d sent, %d discarded", sent, discarded)
	if sent == 0 || discarded == 0 {
		t.Fatal("the same one came first every time")
	}
}

// A stored dead letter takes under 200 bytes of memory. `raventrestle-lab cost` measures 100,000 in a courier.
func TestMemoryPerStoredMessage(t *testing.T) {
	if testing.Short() {
		t.Skip("writes 20,000 dead letters")
	}
	dir := t.TempDir()
	s := openStore(t, dir, largeOptions)
	const n = 20_000
	var batch []*Message
	for i := range n {
		if batch = append(batch, newTestMessage(fmt.Sprintf("%016x", i), int64(i%50), 1, i)); len(batch) == 500 {
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
	s = openStore(t, dir, largeOptions)
	each := float64(heap()-before) / n
	t.Logf("%.0f bytes of heap for each of %d dead letters", each, s.Count)
	if s.Count != n || each > 200 {
		t.Fatalf("%d dead letters, %.0f bytes each", s.Count, each)
	}
}
