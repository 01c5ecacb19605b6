package fleet

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"raventrestle/internal/fleet/facts"
	"raventrestle/internal/fleet/store"
	"raventrestle/internal/settings"
)

const patience = 10 * time.Second

var (
	dest = facts.Subject{Dest: 7}
	wait = facts.Value{For: 20 * time.Second}
)

type life struct {
	*Host
	stop func()
}

// hosts counts the hosts of these tests: each has a seed of its own, as two of one name must not draw alike.
var hosts atomic.Uint64

func config(t testing.TB, name, folder string, seeds ...string) Config {
	t.Helper()
	began := time.Now()
	return Config{
		Settings: settings.Fleet{
			Bind: "127.0.0.1:0", Seeds: seeds, Site: "here", MaxMembers: 16, MaxFacts: 512, MaxBytes: 1 << 16,
			GossipInterval: 0.02, ProbeInterval: 0.1, SeedsInterval: 0.2,
		}, Name: name, Folder: folder, Room: Room(3e6), Memory: 12 * time.Second,
		Clock: func() time.Duration { return time.Since(began) }, Wall: time.Now, Chance: rand.New(rand.NewPCG(hosts.Add(1), 7)),
		Log: slog.New(slog.DiscardHandler),
	}
}

func live(t testing.TB, c Config) *life {
	t.Helper()
	h, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); h.Run(ctx) }()
	l := &life{h, func() { cancel(); <-done }}
	t.Cleanup(l.stop)
	return l
}

func (l *life) addr(t testing.TB) string {
	t.Helper()
	until(t, "host up", func() bool { return l.facts.Load() != nil })
	select {
	case <-l.group.Load().Ready():
	case <-time.After(patience):
		t.Fatal("no address")
	}
	for _, m := range l.Status().Members {
		if m.Name == l.cfg.Name && m.Addr.Port() != 0 {
			return m.Addr.String()
		}
	}
	t.Fatal("not in its own list")
	return ""
}

// until waits for what has no event: gossip's arrival.
func until(t testing.TB, what string, ok func() bool) {
	t.Helper()
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for end := time.After(patience); !ok(); {
		select {
		case <-tick.C:
		case <-end:
			t.Fatalf("not within %v: %s", patience, what)
		}
	}
}

func (l *life) knows(s facts.Subject, k facts.Kind, dead bool) func() bool {
	return func() bool { e, ok := l.Read(s, k); return ok && e.Retired == dead }
}

// What one is told the other reads, by gossip and by the table on joining; the next life of a name has a larger epoch,
// with its folder and without, and what the life before told is dead.
func TestTwoLives(t *testing.T) {
	folder := t.TempDir()
	a := live(t, config(t, "a", folder))
	seed := a.addr(t)
	a.Learn(dest, facts.Wait, wait)
	b := live(t, config(t, "b", "", seed))
	b.addr(t)
	until(t, "the wait by the table", b.knows(dest, facts.Wait, false))
	a.Learn(dest, facts.Limit, facts.Value{Number: 9, For: time.Second})
	until(t, "the limit by gossip", b.knows(dest, facts.Limit, false))
	a.Learn(dest, facts.Limit, facts.Value{Number: 9, For: time.Second})
	if a.Counters.Repeats.Load() != 1 {
		t.Error("told again what all know")
	}
	for _, lost := range []bool{false, true} {
		old := a.Status().Epoch
		a.stop()
		if lost {
			if err := os.Remove(filepath.Join(folder, "facts.snapshot")); err != nil {
				t.Fatal(err)
			}
		}
		a = live(t, config(t, "a", folder, b.addr(t)))
		a.addr(t)
		if now := a.Status().Epoch; now <= old {
			t.Fatalf("epoch %d after %d", now, old)
		}
		until(t, "the earlier life's wait dead", b.knows(dest, facts.Wait, true))
		a.Learn(dest, facts.Wait, wait)
		until(t, "its new life's wait", b.knows(dest, facts.Wait, false))
	}
}

// Two lives of one name at once: the one with the larger epoch goes on, the other is told so and tells nothing more.
func TestSuperseded(t *testing.T) {
	old := live(t, config(t, "a", ""))
	b := live(t, config(t, "b", "", old.addr(t)))
	next := live(t, config(t, "a", "", b.addr(t)))
	next.addr(t)
	until(t, "superseded", func() bool { return old.Status().Superseded || next.Status().Superseded })
	first, second := old, next
	if next.Status().Superseded {
		first, second = next, old
	}
	first.Learn(dest, facts.Wait, wait)
	if first.Counters.Silenced.Load() != 1 {
		t.Error("it tells on")
	}
	second.Learn(dest, facts.Limit, facts.Value{Number: 3, For: time.Second})
	until(t, "the other's word", b.knows(dest, facts.Limit, false))
	if b.knows(dest, facts.Wait, false)() {
		t.Error("a superseded life was heard")
	}
}

// An epoch of its own name that only a fact tells of is outgrown.
func TestOutgrown(t *testing.T) {
	a := live(t, config(t, "a", ""))
	a.addr(t)
	known := a.facts.Load()
	ahead := known.Epoch() + 1000
	known.Receive(a.cfg.Clock(), []facts.Fact{{Subject: dest, Kind: facts.Wait, Value: wait, Origin: "a", Epoch: ahead, Seq: 1, TTL: time.Minute}})
	if err := known.WaitIdle(t.Context()); err != nil {
		t.Fatal(err)
	}
	a.outgrown(facts.MaxEpoch) // none can be larger: not believed
	a.outgrown(ahead)
	if got := known.Epoch(); got <= ahead || got > ahead+1e6 {
		t.Errorf("epoch %d after %d was heard", got, ahead)
	}
}

// Garbled, foreign and oversized input is refused and counted by its reason, and changes no fact.
func TestGarbledInput(t *testing.T) {
	a := live(t, config(t, "a", ""))
	a.addr(t)
	a.Learn(dest, facts.Wait, wait)
	x := a.exchange()
	if err := a.facts.Load().WaitIdle(t.Context()); err != nil {
		t.Fatal(err)
	}
	whole := x.FullState()
	other := append([]byte(nil), whole...)
	other[1] = 9 // the version
	c := &a.Counters
	for _, in := range []struct {
		b    []byte
		grew func() uint64
	}{
		{nil, c.Garbled.Load},
		{[]byte("no facts"), c.Garbled.Load},
		{whole[:len(whole)-1], c.Garbled.Load},
		{append(whole[:len(whole):len(whole)], 0), c.Garbled.Load},
		{other, c.OtherVersion.Load},
		{make([]byte, 1<<17), c.TooLarge.Load},
	} {
		before := in.grew()
		if x.ReceiveUpdate("b", in.b) == nil || x.ReceiveFullState(in.b) == nil || in.grew() != before+2 {
			t.Errorf("%d bytes: taken, or not counted", len(in.b))
		}
	}
	// A fact that can't be true is refused by itself.
	b, err := x.codec.Encode([]facts.Fact{
		{Subject: dest, Kind: 99, Origin: "b", Epoch: 1, Seq: 1, TTL: time.Second},
		{Subject: facts.Subject{Dest: 9}, Kind: facts.Wait, Value: wait, Origin: "b", Epoch: 1, Seq: 2, TTL: time.Minute},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := x.ReceiveUpdate("b", b); err != nil {
		t.Fatal(err)
	}
	until(t, "the good fact", a.knows(facts.Subject{Dest: 9}, facts.Wait, false))
	if s := a.facts.Load().Stats(); s.Facts != 2 || s.Invalid != 1 {
		t.Errorf("%d facts, %d absurd", s.Facts, s.Invalid)
	}
	for limit := 60; limit < 400; limit += 17 { // what goes out is never longer than allowed
		a.Learn(facts.Subject{Dest: int64(limit)}, facts.Limit, facts.Value{Number: 1.1, For: time.Second})
		for _, p := range x.Updates(limit, 2) {
			if len(p)+2 > limit {
				t.Errorf("%d bytes of %d", len(p)+2, limit)
			}
		}
	}
}

func (l *life) exchange() *exchange {
	codec, err := facts.NewCodec(l.limits.Facts, int(l.limits.Bytes))
	if err != nil {
		panic(err)
	}
	return &exchange{l.Host, l.facts.Load(), codec}
}

// A folder of another courier's name: its facts are evidence, its epoch is not ours, though one that it heard of us is.
func TestSnapshotOfAnother(t *testing.T) {
	folder, now := t.TempDir(), time.Now()
	far, heard := uint64(now.UnixMilli())*3, uint64(now.UnixMilli())*2
	if _, err := store.Save(folder, Room(3e6)/2, now.Add(-2*time.Second), store.Snapshot{Name: "b", Epoch: far, Facts: []facts.Fact{
		{Subject: dest, Kind: facts.Wait, Value: wait, Origin: "b", Epoch: far, Seq: 1, TTL: wait.For},
		{Subject: dest, Kind: facts.Limit, Value: facts.Value{Number: 4, For: time.Second}, Origin: "a", Epoch: heard, Seq: 1, TTL: time.Minute},
	}}); err != nil {
		t.Fatal(err)
	}
	a := live(t, config(t, "a", folder))
	until(t, "the other's wait", a.knows(dest, facts.Wait, false))
	if e, _ := a.Read(dest, facts.Wait); e.Age < 2*time.Second || e.Origin != "b" {
		t.Errorf("%+v", e)
	}
	until(t, "our own limit of an earlier life dead", a.knows(dest, facts.Limit, true))
	if got := a.Status().Epoch; got != heard+1 {
		t.Errorf("epoch %d, heard %d, the other's %d", got, heard, far)
	}
	a.stop()
	if loaded, err := store.Load(folder, Room(3e6)/2, time.Now()); err != nil || loaded.Name != "a" || loaded.Epoch != heard+1 {
		t.Errorf("%v %+v", err, loaded.Snapshot)
	}
}

// Faults of the surroundings are counted, and the host runs and ends.
func TestNothingStopsIt(t *testing.T) {
	for name, spoil := range map[string]func(t *testing.T, c *Config){
		"garbled snapshot": func(t *testing.T, c *Config) {
			if err := os.WriteFile(filepath.Join(c.Folder, "facts.snapshot"), []byte("garbled"), 0o600); err != nil {
				t.Fatal(err)
			}
		},
		"no folder":     func(_ *testing.T, c *Config) { c.Folder = filepath.Join(c.Folder, "none") },
		"name too long": func(_ *testing.T, c *Config) { c.Name = string(make([]byte, 300)) },
	} {
		t.Run(name, func(t *testing.T) {
			c := config(t, "a", t.TempDir())
			spoil(t, &c)
			a := live(t, c)
			until(t, "the fault counted", func() bool { return a.Counters.Faults.Load() > 0 })
			a.Learn(dest, facts.Wait, wait)
			a.stop()
		})
	}
	taken := live(t, config(t, "a", ""))
	c := config(t, "b", "")
	c.Settings.Bind = taken.addr(t)
	b := live(t, c)
	until(t, "the address found taken", func() bool { g := b.group.Load(); return g != nil && g.Counters.OpenFailed.Load() > 0 })
	b.Learn(dest, facts.Wait, wait)
	until(t, "its own word", b.knows(dest, facts.Wait, false))
	for field, spoil := range map[string]func(*settings.Fleet){
		"bind": func(s *settings.Fleet) { s.Bind = "here" }, "seeds": func(s *settings.Fleet) { s.Seeds = []string{"there:1"} },
		"key_file": func(s *settings.Fleet) { s.KeyFile = "/nowhere/at/all" }, "advertise": func(s *settings.Fleet) { s.Advertise = "x" },
	} {
		c := config(t, "c", "")
		if spoil(&c.Settings); true {
			if _, err := New(c); err == nil || field == "key_file" && !errors.Is(err, fs.ErrNotExist) {
				t.Errorf("%s: %v", field, err)
			}
		}
	}
}

// Before it is up and after it has ended the actor's calls do nothing harmful, and a life that ended has saved its facts.
func TestBeforeAndAfter(t *testing.T) {
	folder := t.TempDir()
	h, err := New(config(t, "a", folder))
	if err != nil {
		t.Fatal(err)
	}
	h.Learn(dest, facts.Wait, wait)
	h.Forget("e")
	if _, ok := h.Read(dest, facts.Wait); ok || len(h.Status().Members) != 0 || h.Group() != nil {
		t.Error("known before it was up")
	}
	a := live(t, config(t, "a", folder))
	a.addr(t)
	a.Learn(dest, facts.Wait, wait)
	until(t, "its own word", a.knows(dest, facts.Wait, false))
	a.stop()
	for i := range 1000 {
		a.Learn(facts.Subject{Dest: int64(i)}, facts.Wait, wait)
	}
	if !a.knows(dest, facts.Wait, false)() {
		t.Error("forgotten at the end")
	}
	loaded, err := store.Load(folder, Room(3e6)/2, time.Now())
	if err != nil || len(loaded.Facts) != 1 {
		t.Errorf("%v %+v", err, loaded)
	}
}
