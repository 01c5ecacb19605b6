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

const testTimeout = 10 * time.Second

var (
	destination = facts.Subject{Dest: 7}
	waitValue   = facts.Value{For: 20 * time.Second}
)

type runningHost struct {
	*Host
	stop func()
}

// hostCount provides a different random seed for each host, as two hosts of one name must not choose alike.
var hostCount atomic.Uint64

func testConfig(t testing.TB, name, dir string, seeds ...string) Config {
	t.Helper()
	start := time.Now()
	return Config{
		Settings: settings.Fleet{
			BindAddress: "127.0.0.1:0", Seeds: seeds, Site: "here", MaxMembers: 16, MaxFacts: 512, MaxBytes: 1 << 16,
			GossipInterval: 0.02, ProbeInterval: 0.1, SeedsInterval: 0.2,
		}, Name: name, StateDir: dir, SnapshotSpace: SnapshotSpace(3e6), FactTTL: 12 * time.Second,
		Clock: func() time.Duration { return time.Since(start) }, WallClock: time.Now, Rand: rand.New(rand.NewPCG(hostCount.Add(1), 7)),
		Log: slog.New(slog.DiscardHandler),
	}
}

func startHost(t testing.TB, c Config) *runningHost {
	t.Helper()
	h, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); h.Run(ctx) }()
	l := &runningHost{h, func() { cancel(); <-done }}
	t.Cleanup(l.stop)
	return l
}

func (l *runningHost) addr(t testing.TB) string {
	t.Helper()
	waitFor(t, "running host", func() bool { return l.store.Load() != nil })
	select {
	case <-l.group.Load().Ready():
	case <-time.After(testTimeout):
		t.Fatal("the address was not opened")
	}
	for _, m := range l.Status().Members {
		if m.Name == l.cfg.Name && m.Addr.Port() != 0 {
			return m.Addr.String()
		}
	}
	t.Fatal("the host is not in its own list")
	return ""
}

// waitFor waits for a condition without an event, such as the arrival of gossip.
func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for end := time.After(testTimeout); !ok(); {
		select {
		case <-tick.C:
		case <-end:
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
}

func (l *runningHost) reads(s facts.Subject, k facts.Kind, retired bool) func() bool {
	return func() bool { e, ok := l.Read(s, k); return ok && e.Retired == retired }
}

// Another member reads what one member learned, by gossip and by the full state on joining. The next incarnation of a
// name has a larger epoch, with and without its state directory, and the facts of the previous one are retired.
func TestRestartRaisesEpoch(t *testing.T) {
	dir := t.TempDir()
	a := startHost(t, testConfig(t, "a", dir))
	seed := a.addr(t)
	a.Learn(destination, facts.Wait, waitValue)
	b := startHost(t, testConfig(t, "b", "", seed))
	b.addr(t)
	waitFor(t, "the wait by full state", b.reads(destination, facts.Wait, false))
	a.Learn(destination, facts.Limit, facts.Value{Number: 9, For: time.Second})
	waitFor(t, "the limit by gossip", b.reads(destination, facts.Limit, false))
	a.Learn(destination, facts.Limit, facts.Value{Number: 9, For: time.Second})
	if a.Counters.Repeats.Load() != 1 {
		t.Error("an observation that all members know was not counted as a repeat")
	}
	for _, lost := range []bool{false, true} {
		old := a.Status().Epoch
		a.stop()
		if lost {
			if err := os.Remove(filepath.Join(dir, "facts.snapshot")); err != nil {
				t.Fatal(err)
			}
		}
		a = startHost(t, testConfig(t, "a", dir, b.addr(t)))
		a.addr(t)
		if now := a.Status().Epoch; now <= old {
			t.Fatalf("epoch %d after %d", now, old)
		}
		waitFor(t, "the retired wait of the previous incarnation", b.reads(destination, facts.Wait, true))
		a.Learn(destination, facts.Wait, waitValue)
		waitFor(t, "the wait of the new incarnation", b.reads(destination, facts.Wait, false))
	}
}

// Of two running incarnations with the same name, the one with the larger epoch continues, and the other stops sending.
func TestSuperseded(t *testing.T) {
	old := startHost(t, testConfig(t, "a", ""))
	b := startHost(t, testConfig(t, "b", "", old.addr(t)))
	next := startHost(t, testConfig(t, "a", "", b.addr(t)))
	next.addr(t)
	waitFor(t, "superseded", func() bool { return old.Status().Superseded || next.Status().Superseded })
	first, second := old, next
	if next.Status().Superseded {
		first, second = next, old
	}
	first.Learn(destination, facts.Wait, waitValue)
	if first.Counters.Silenced.Load() != 1 {
		t.Error("the superseded host still sends")
	}
	second.Learn(destination, facts.Limit, facts.Value{Number: 3, For: time.Second})
	waitFor(t, "the limit of the remaining incarnation", b.reads(destination, facts.Limit, false))
	if b.reads(destination, facts.Wait, false)() {
		t.Error("a fact of the superseded incarnation was accepted")
	}
}

// A host that receives a larger epoch of its own name only in a fact chooses a larger one.
func TestUnknownOwnEpochIsExceeded(t *testing.T) {
	a := startHost(t, testConfig(t, "a", ""))
	a.addr(t)
	factStore := a.store.Load()
	heardEpoch := factStore.Epoch() + 1000
	factStore.Receive(a.cfg.Clock(), []facts.Fact{{Subject: destination, Kind: facts.Wait, Value: waitValue, Origin: "a", Epoch: heardEpoch, Seq: 1, TTL: time.Minute}})
	if err := factStore.WaitIdle(t.Context()); err != nil {
		t.Fatal(err)
	}
	a.raiseEpoch(facts.MaxEpoch) // has no valid successor and is ignored
	a.raiseEpoch(heardEpoch)
	if got := factStore.Epoch(); got <= heardEpoch || got > heardEpoch+1e6 {
		t.Errorf("epoch %d after %d was heard", got, heardEpoch)
	}
}

// Malformed input, another format version and oversized input are refused, counted by reason, and change no fact.
func TestMalformedInputIsRejected(t *testing.T) {
	a := startHost(t, testConfig(t, "a", ""))
	a.addr(t)
	a.Learn(destination, facts.Wait, waitValue)
	x := a.exchange()
	if err := a.store.Load().WaitIdle(t.Context()); err != nil {
		t.Fatal(err)
	}
	state := x.FullState()
	other := append([]byte(nil), state...)
	other[1] = 9 // the version
	c := &a.Counters
	for _, in := range []struct {
		b       []byte
		counter func() uint64
	}{
		{nil, c.Garbled.Load},
		{[]byte("no facts"), c.Garbled.Load},
		{state[:len(state)-1], c.Garbled.Load},
		{append(state[:len(state):len(state)], 0), c.Garbled.Load},
		{other, c.OtherVersion.Load},
		{make([]byte, 1<<17), c.TooLarge.Load},
	} {
		before := in.counter()
		if x.ReceiveUpdate("b", in.b) == nil || x.ReceiveFullState(in.b) == nil || in.counter() != before+2 {
			t.Errorf("input of %d bytes was accepted or not counted", len(in.b))
		}
	}
	// A fact with an invalid field is refused without the other facts of its batch.
	b, err := x.codec.Encode([]facts.Fact{
		{Subject: destination, Kind: 99, Origin: "b", Epoch: 1, Seq: 1, TTL: time.Second},
		{Subject: facts.Subject{Dest: 9}, Kind: facts.Wait, Value: waitValue, Origin: "b", Epoch: 1, Seq: 2, TTL: time.Minute},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := x.ReceiveUpdate("b", b); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the valid fact", a.reads(facts.Subject{Dest: 9}, facts.Wait, false))
	if s := a.store.Load().Stats(); s.Facts != 2 || s.Invalid != 1 {
		t.Errorf("%d facts, %d invalid", s.Facts, s.Invalid)
	}
	for limit := 60; limit < 400; limit += 17 { // updates never exceed the limit
		a.Learn(facts.Subject{Dest: int64(limit)}, facts.Limit, facts.Value{Number: 1.1, For: time.Second})
		for _, p := range x.Updates(limit, 2) {
			if len(p)+2 > limit {
				t.Errorf("%d bytes, limit %d", len(p)+2, limit)
			}
		}
	}
}

func (l *runningHost) exchange() *exchange {
	codec, err := facts.NewCodec(l.limits.Facts, int(l.limits.Bytes))
	if err != nil {
		panic(err)
	}
	return &exchange{l.Host, l.store.Load(), codec}
}

// From a snapshot of another member's name, the facts are used as evidence. Its epoch is not used as the own one, but an
// epoch in its facts about the own name is.
func TestSnapshotOfAnotherMember(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	otherEpoch, heard := uint64(now.UnixMilli())*3, uint64(now.UnixMilli())*2
	if _, err := store.Save(dir, SnapshotSpace(3e6)/2, now.Add(-2*time.Second), store.Snapshot{Name: "b", Epoch: otherEpoch, Facts: []facts.Fact{
		{Subject: destination, Kind: facts.Wait, Value: waitValue, Origin: "b", Epoch: otherEpoch, Seq: 1, TTL: waitValue.For},
		{Subject: destination, Kind: facts.Limit, Value: facts.Value{Number: 4, For: time.Second}, Origin: "a", Epoch: heard, Seq: 1, TTL: time.Minute},
	}}); err != nil {
		t.Fatal(err)
	}
	a := startHost(t, testConfig(t, "a", dir))
	waitFor(t, "the other member's wait", a.reads(destination, facts.Wait, false))
	if e, _ := a.Read(destination, facts.Wait); e.Age < 2*time.Second || e.Origin != "b" {
		t.Errorf("%+v", e)
	}
	waitFor(t, "the retired limit of an earlier own incarnation", a.reads(destination, facts.Limit, true))
	if got := a.Status().Epoch; got != heard+1 {
		t.Errorf("epoch %d, heard %d, the other member's %d", got, heard, otherEpoch)
	}
	a.stop()
	if loaded, err := store.Load(dir, SnapshotSpace(3e6)/2, time.Now()); err != nil || loaded.Name != "a" || loaded.Epoch != heard+1 {
		t.Errorf("%v %+v", err, loaded.Snapshot)
	}
}

// Faults of the environment are counted, and the host still runs and stops.
func TestFaultsDoNotStopHost(t *testing.T) {
	for name, injectFault := range map[string]func(t *testing.T, c *Config){
		"corrupt snapshot": func(t *testing.T, c *Config) {
			if err := os.WriteFile(filepath.Join(c.StateDir, "facts.snapshot"), []byte("garbled"), 0o600); err != nil {
				t.Fatal(err)
			}
		},
		"no directory":  func(_ *testing.T, c *Config) { c.StateDir = filepath.Join(c.StateDir, "none") },
		"name too long": func(_ *testing.T, c *Config) { c.Name = string(make([]byte, 300)) },
	} {
		t.Run(name, func(t *testing.T) {
			c := testConfig(t, "a", t.TempDir())
			injectFault(t, &c)
			a := startHost(t, c)
			waitFor(t, "a counted fault", func() bool { return a.Counters.Faults.Load() > 0 })
			a.Learn(destination, facts.Wait, waitValue)
			a.stop()
		})
	}
	occupant := startHost(t, testConfig(t, "a", ""))
	c := testConfig(t, "b", "")
	c.Settings.BindAddress = occupant.addr(t)
	b := startHost(t, c)
	waitFor(t, "the failure to open the occupied address", func() bool { g := b.group.Load(); return g != nil && g.Counters.OpenFailed.Load() > 0 })
	b.Learn(destination, facts.Wait, waitValue)
	waitFor(t, "its own observation", b.reads(destination, facts.Wait, false))
	for field, corrupt := range map[string]func(*settings.Fleet){
		"bind": func(s *settings.Fleet) { s.BindAddress = "here" }, "seeds": func(s *settings.Fleet) { s.Seeds = []string{"there:1"} },
		"key_file": func(s *settings.Fleet) { s.KeyFile = "/nowhere/at/all" }, "advertise": func(s *settings.Fleet) { s.AdvertiseAddress = "x" },
	} {
		c := testConfig(t, "c", "")
		if corrupt(&c.Settings); true {
			if _, err := New(c); err == nil || field == "key_file" && !errors.Is(err, fs.ErrNotExist) {
				t.Errorf("%s: %v", field, err)
			}
		}
	}
}

// Before the start and after the end the methods for the request path do no harm, and a host saves its facts at its end.
func TestCallsBeforeStartAndAfterEnd(t *testing.T) {
	dir := t.TempDir()
	h, err := New(testConfig(t, "a", dir))
	if err != nil {
		t.Fatal(err)
	}
	h.Learn(destination, facts.Wait, waitValue)
	h.Forget("e")
	if _, ok := h.Read(destination, facts.Wait); ok || len(h.Status().Members) != 0 || h.Group() != nil {
		t.Error("the host returned data before its start")
	}
	a := startHost(t, testConfig(t, "a", dir))
	a.addr(t)
	a.Learn(destination, facts.Wait, waitValue)
	waitFor(t, "its own observation", a.reads(destination, facts.Wait, false))
	a.stop()
	for i := range 1000 {
		a.Learn(facts.Subject{Dest: int64(i)}, facts.Wait, waitValue)
	}
	if !a.reads(destination, facts.Wait, false)() {
		t.Error("the fact is unreadable after the end")
	}
	loaded, err := store.Load(dir, SnapshotSpace(3e6)/2, time.Now())
	if err != nil || len(loaded.Facts) != 1 {
		t.Errorf("%v %+v", err, loaded)
	}
}
