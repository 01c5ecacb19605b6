package store

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"raventrestle/internal/fleet/facts"
)

const sec = time.Second

// lockOrder checks the lock order of each goroutine.
type lockOrder struct {
	mu   sync.Mutex
	held map[string][]int
	fail func(string)
}

func newLockOrder(fail func(string)) *lockOrder {
	return &lockOrder{held: map[string][]int{}, fail: fail}
}

func goroutineID() string {
	var buf [64]byte
	return strings.Fields(string(buf[:runtime.Stack(buf[:], false)]))[1]
}

func (o *lockOrder) Locking(rank int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	id := goroutineID()
	if h := o.held[id]; len(h) > 0 && h[len(h)-1] >= rank {
		o.fail(fmt.Sprintf("lock %d is taken while holding %v", rank, h))
	}
	o.held[id] = append(o.held[id], rank)
}

func (o *lockOrder) Unlocked(int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	id := goroutineID()
	o.held[id] = o.held[id][:len(o.held[id])-1]
}

func startStore(t testing.TB, change func(*Config)) *Store {
	s := newTestStore(t, change)
	run(t, s)
	return s
}

func run(t testing.TB, s *Store) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func newTestStore(t testing.TB, change func(*Config)) *Store {
	cfg := DefaultConfig("me", 100)
	if change != nil {
		change(&cfg)
	}
	var checker lockChecker = newLockOrder(func(s string) { t.Error(s) })
	if _, ok := t.(*testing.B); ok {
		checker = nil
	}
	s, err := newStore(cfg, checker)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func waitIdle(t testing.TB, s *Store) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*sec)
	defer cancel()
	if err := s.WaitIdle(ctx); err != nil {
		t.Fatal(err)
	}
}

func receive(t testing.TB, s *Store, batch ...facts.Fact) {
	s.Receive(0, batch)
	waitIdle(t, s)
}

func testSubject(i int) facts.Subject {
	return facts.Subject{Dest: int64(i % 6), Endpoint: "endpoint-" + strconv.Itoa(i)}
}

func newFact(origin string, i int, seq uint64) facts.Fact {
	return facts.Fact{
		Subject: testSubject(i), Kind: facts.Limit, Value: facts.Value{Number: 250, For: sec}, Origin: origin, Epoch: 1, Seq: seq,
		Age: sec, TTL: time.Minute,
	}
}

func TestLockOrder(t *testing.T) {
	var wrong []string
	o := newLockOrder(func(s string) { wrong = append(wrong, s) })
	a, b := mutex{rank: 0, checker: o}, mutex{rank: 1, checker: o}
	lockBoth := func(first, second *mutex) {
		first.Lock()
		defer first.Unlock()
		second.Lock()
		defer second.Unlock()
	}
	lockBoth(&a, &b)
	if len(wrong) != 0 {
		t.Fatal(wrong)
	}
	lockBoth(&b, &a)
	if len(wrong) != 1 {
		t.Fatalf("a wrong order was not detected: %v", wrong)
	}
}

func TestLearnReceiveRead(t *testing.T) {
	s := startStore(t, nil)
	for i := range 60 {
		if err := s.Learn(10*sec, testSubject(i), facts.Wait, facts.Value{For: 5 * sec}, time.Minute); err != nil {
			t.Fatal(err)
		}
		s.Receive(10*sec, []facts.Fact{newFact("b", i, 1), newFact("c", i, 1)})
	}
	waitIdle(t, s)
	for i := range 60 {
		ev, ok := s.Read(12*sec, testSubject(i), facts.Wait)
		if !ok || ev.Remaining != 3*sec || ev.Age != 2*sec || ev.Origin != "me" || ev.Epoch != 100 || ev.Seq != uint64(i+1) {
			t.Fatalf("wait of %d: %+v %v", i, ev, ok)
		}
		if ev, ok := s.Read(12*sec, testSubject(i), facts.Limit); !ok || ev.Number != 250 || ev.Age != 3*sec || ev.Origin != "b" {
			t.Fatalf("limit of %d: %+v %v", i, ev, ok)
		}
	}
	if _, ok := s.Read(15*sec, testSubject(0), facts.Wait); ok {
		t.Error("a wait that has ended was read")
	}
	if err := s.Learn(0, testSubject(0), facts.Wait, facts.Value{For: -1}, time.Minute); err == nil {
		t.Error("an invalid fact was accepted")
	}
	s.RemoveEndpoint(12*sec, testSubject(3).Endpoint)
	waitIdle(t, s)
	s.Receive(12*sec, []facts.Fact{newFact("b", 3, 2), {Origin: "x"}})
	waitIdle(t, s)
	if _, ok := s.Read(12*sec, testSubject(3), facts.Limit); ok {
		t.Error("read a fact about a removed endpoint")
	}
	st := s.Stats()
	if st.Facts != 177 || st.EndpointRemoved != 1 || st.Invalid != 2 || st.Learned != 60 || st.Received != 122 || st.Changed != 180 {
		t.Errorf("%+v", st)
	}
	s.Sweep(2 * time.Hour)
	waitIdle(t, s)
	s.Sweep(9 * time.Hour)
	waitIdle(t, s)
	originBytes := int64(len(s.shards)) * (160 + 2)
	if st := s.Stats(); st.Facts != 0 || st.Bytes != originBytes || st.Swept != 177 || len(*s.shards[0].view.Load()) != 0 {
		t.Errorf("after everything expired: %+v", st)
	}
}

func TestEpochAppliesToAllShards(t *testing.T) {
	s := startStore(t, nil)
	for i := range 30 {
		receive(t, s, newFact("b", i, 1))
	}
	next := newFact("b", 99, 1)
	next.Epoch = 2
	receive(t, s, next)
	for i := range 30 {
		if ev, ok := s.Read(0, testSubject(i), facts.Limit); !ok || !ev.Retired {
			t.Fatalf("fact %d of a retired epoch is read as %+v", i, ev)
		}
	}
	if got := s.FullState(0); len(got) != 1 || got[0] != next || s.KnownEpoch("b") != 2 {
		t.Errorf("live facts or known epoch of b are wrong: %v", got)
	}
	ownFact := newFact("me", 1, 7)
	receive(t, s, ownFact) // of an earlier incarnation, as in a snapshot
	if ev, ok := s.Read(0, ownFact.Subject, facts.Limit); !ok || !ev.Retired || len(s.FullState(0)) != 1 {
		t.Errorf("fact of an earlier own incarnation: %+v", ev)
	}
	ownFact.Epoch = 300
	receive(t, s, ownFact)
	if st := s.Stats(); st.OwnNameEpoch != 300 || s.Epoch() != 100 {
		t.Errorf("the epoch of the own name was not recorded: %+v", st)
	}
	s.RaiseEpoch(0, "me", 301)
	_ = s.Learn(0, testSubject(1), facts.Limit, facts.Value{Number: 9}, time.Minute)
	waitIdle(t, s)
	if ev, _ := s.Read(0, testSubject(1), facts.Limit); ev.Epoch != 301 || ev.Retired {
		t.Errorf("after raising the own epoch: %+v", ev)
	}
}

func TestReadTakesNoLock(t *testing.T) {
	s := startStore(t, nil)
	receive(t, s, newFact("b", 1, 1))
	for i := range s.shards {
		s.shards[i].mu.mu.Lock()
		defer s.shards[i].mu.mu.Unlock()
	}
	s.gossipMu.mu.Lock()
	defer s.gossipMu.mu.Unlock()
	for range 3 * s.cfg.MaxJobs { // the workers are blocked, posts are not
		_ = s.Learn(0, testSubject(1), facts.WarmUp, facts.Value{}, sec)
	}
	if _, ok := s.Read(0, testSubject(1), facts.Limit); !ok {
		t.Error("nothing read")
	}
}

func TestFullQueueDropsOldestJobs(t *testing.T) {
	s := newTestStore(t, func(c *Config) { c.MaxJobs = 4 })
	for i := range 10 {
		s.Receive(0, []facts.Fact{newFact("b", i, 1)})
	}
	s.RemoveEndpoint(0, "x") // has a separate queue
	if got := s.Stats().JobsDropped; got != 6 {
		t.Errorf("dropped %d, want 6", got)
	}
	run(t, s)
	waitIdle(t, s)
	for i := range 10 {
		if _, ok := s.Read(0, testSubject(i), facts.Limit); ok != (i >= 6) {
			t.Errorf("fact %d was read: %v; the oldest jobs must be dropped", i, ok)
		}
	}
}

func TestLimitCoversAllShards(t *testing.T) {
	s := startStore(t, func(c *Config) { c.Limits.Facts, c.MaxJobs = 64, 1024 })
	for i := range 500 {
		f := newFact("b", i, 1)
		f.TTL = time.Duration(600-i) * sec // the first ones live longest
		s.Receive(0, []facts.Fact{f})
	}
	waitIdle(t, s)
	if st := s.Stats(); st.Facts > 64 || st.Facts < 50 || st.Evicted != uint64(500-st.Facts) {
		t.Errorf("%+v", st)
	}
	if _, ok := s.Read(0, testSubject(0), facts.Limit); !ok {
		t.Error("the fact with the longest time to live was evicted")
	}
}

func TestUpdatesOrderAndLimits(t *testing.T) {
	s := startStore(t, func(c *Config) { c.MaxSends, c.MaxGossip = 3, 8 })
	for i := range 4 {
		receive(t, s, newFact("b", i, 1))
	}
	size := 2 * (71 + len("endpoint-0") + 1)
	count := map[int64]int{}
	returned := 0
	for range 3 {
		got := s.Updates(sec, size)
		for _, f := range got {
			count[f.Dest]++
			if f.Age != 2*sec {
				t.Errorf("age %v", f.Age)
			}
		}
		if returned += len(got); len(got) != 2 {
			t.Fatalf("got %d facts, want the 2 that fit", len(got))
		}
	}
	if len(count) != 4 {
		t.Errorf("facts were repeated before others were sent once: %v", count)
	}
	s.Receive(0, []facts.Fact{newFact("b", 0, 2)}) // changed: first again, for three sends
	s.RemoveEndpoint(0, testSubject(1).Endpoint)
	waitIdle(t, s)
	if got := s.Updates(sec, size/2); len(got) != 1 || got[0].Seq != 2 {
		t.Errorf("the changed fact is not first: %v", got)
	}
	all := map[string]int{}
	for got := s.Updates(sec, 1<<20); len(got) > 0; got = s.Updates(sec, 1<<20) {
		for _, f := range got {
			all[f.Endpoint]++
		}
	}
	if all["endpoint-0"] != 2 || all["endpoint-1"] != 0 || s.Stats().Queued != 0 {
		t.Errorf("sent %v, queued %d", all, s.Stats().Queued)
	}
	older := newFact("b", 0, 2) // a copy over another path: if it counted as a change, copies would circulate forever
	older.Age += sec
	if receive(t, s, older); s.Stats().Queued != 0 || s.Stats().AgeCorrected != 1 {
		t.Errorf("an older copy is sent again: %+v", s.Stats())
	}
	for i := range 20 {
		receive(t, s, newFact("c", i, 1))
	}
	if st := s.Stats(); st.Queued != 8 || st.GossipDropped != 11 {
		t.Errorf("the gossip queue's limit: %+v", st)
	}
}

// Concurrent use of all methods, for the race detector and the lock order check.
func TestConcurrentUse(t *testing.T) {
	s := startStore(t, func(c *Config) { c.Workers, c.Limits.Facts, c.MaxJobs = 4, 100, 4096 })
	var wg sync.WaitGroup
	for w := range 4 {
		wg.Go(func() {
			for i := range 300 {
				s.Receive(time.Duration(i), []facts.Fact{newFact("o"+strconv.Itoa(w), i%50, uint64(i+1))})
				_ = s.Learn(time.Duration(i), testSubject(i%7), facts.Throughput, facts.Value{Number: 1}, time.Minute)
				if ev, ok := s.Read(time.Duration(i), testSubject(i%50), facts.Limit); ok && ev.Number != 250 {
					t.Errorf("read %+v", ev)
				}
				if i%50 == 1 {
					s.RemoveEndpoint(time.Duration(i), "endpoint-49")
					s.Sweep(time.Duration(i))
					s.Updates(time.Duration(i), 4096)
					s.FullState(time.Duration(i))
					s.RaiseEpoch(time.Duration(i), "o"+strconv.Itoa(w), 1)
				}
			}
		})
	}
	wg.Wait()
	waitIdle(t, s)
	if st := s.Stats(); st.Facts > 100 || st.Facts == 0 || st.JobsDropped != 0 || int(st.Facts) != len(s.FullState(300)) {
		t.Errorf("%+v", st)
	}
}

func snapshot() Snapshot {
	return Snapshot{Name: "me", Epoch: 100, Facts: []facts.Fact{newFact("b", 1, 1), newFact("c", 2, 5)}}
}

func TestSnapshot(t *testing.T) {
	dir, wall := t.TempDir(), time.UnixMilli(1_700_000_000_000)
	if _, err := Load(dir, 1<<16, wall); !errors.Is(err, ErrNoSnapshot) {
		t.Fatalf("an empty directory: %v", err)
	}
	for range 2 { // the second replaces the first
		if omitted, err := Save(dir, 1<<16, wall, snapshot()); err != nil || omitted != 0 {
			t.Fatal(omitted, err)
		}
	}
	if names, _ := os.ReadDir(dir); len(names) != 1 {
		t.Errorf("files in the directory: %v", names)
	}
	empty, aged := Snapshot{Name: "me", Epoch: 100}, snapshot()
	for i := range aged.Facts {
		aged.Facts[i].Age += 10*sec + time.Millisecond
	}
	for _, c := range []struct {
		name string
		at   time.Time
		want Loaded
	}{
		{"10 s old", wall.Add(10 * sec), Loaded{Snapshot: aged, Age: 10*sec + time.Millisecond}},
		{"expired", wall.Add(time.Hour), Loaded{Snapshot: empty, Age: time.Hour + time.Millisecond, Expired: 2}},
		{"clock set back", wall.Add(-1), Loaded{Snapshot: empty, ClockSetBack: true, Expired: 2}},
	} {
		got, err := Load(dir, 1<<16, c.at)
		if d := cmp.Diff(c.want, got); err != nil || d != "" {
			t.Errorf("%s: %v\n%s", c.name, err, d)
		}
	}
	if _, err := Load(dir, 60, wall); !errors.Is(err, ErrTooLarge) {
		t.Errorf("over the limit: %v", err)
	}
	longer := snapshot()
	longer.Facts[1].TTL = time.Hour
	omitted, err := Save(dir, 200, wall, longer)
	got, lerr := Load(dir, 200, wall)
	if err != nil || lerr != nil || omitted != 1 || len(got.Facts) != 1 || got.Facts[0].Origin != "c" {
		t.Errorf("space for one fact: omitted %d, %v, %v, %+v", omitted, err, lerr, got)
	}
}

// Every truncation and every flipped bit of the file is an error: never a panic, never another fact.
func TestCorruptSnapshotIsAnError(t *testing.T) {
	dir, wall := t.TempDir(), time.UnixMilli(1_700_000_000_000)
	if _, err := Save(dir, 1<<16, wall, snapshot()); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, fileName)
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range data {
		if err := os.WriteFile(path, data[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := Load(dir, 1<<16, wall); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("truncated to %d of %d bytes: %+v, %v", n, len(data), got, err)
		}
		for bit := range 8 {
			bad := append([]byte(nil), data...)
			bad[n] ^= 1 << bit
			want := ErrCorrupt
			if n == len(magic)-1 {
				want = facts.ErrVersion
			}
			if got, err := parse(bad, 1<<16, wall); !errors.Is(err, want) {
				t.Fatalf("bit %d of byte %d: %+v, %v", bit, n, got, err)
			}
		}
	}
	if got, err := parse(append(data, 0), 1<<16, wall); !errors.Is(err, ErrCorrupt) {
		t.Errorf("one more byte: %+v, %v", got, err)
	}
}

func newFullStore(t testing.TB, members, endpoints int, change func(*Config)) *Store {
	s := startStore(t, change)
	for m := range members {
		batch := make([]facts.Fact, endpoints)
		for e := range batch {
			batch[e] = newFact(fmt.Sprintf("courier-%03d", m), e, 1)
			batch[e].Age, batch[e].Epoch = sec+time.Duration(m)*time.Millisecond, 1_790_000_000_000
		}
		receive(t, s, batch...)
	}
	return s
}

func TestReadAllocatesNothing(t *testing.T) {
	s := newFullStore(t, 20, 60, nil)
	subject := testSubject(17)
	if n := testing.AllocsPerRun(1000, func() { s.Read(sec, subject, facts.Limit) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func TestMemoryOfAFullFleet(t *testing.T) {
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := heap()
	s := newFullStore(t, 300, 60, nil)
	used, st := heap()-before, s.Stats()
	t.Logf("300 members, 60 endpoints: %d facts, %d bytes of heap, %d counted, %d queued", st.Facts, used, st.Bytes, st.Queued)
	if st.Facts != 18_000 || used > 4<<20 || used > st.Bytes*3/2 {
		t.Errorf("%d facts in %d bytes, counted %d", st.Facts, used, st.Bytes)
	}
	codec, err := newCodec(4 << 20)
	data, err2 := codec.Encode(s.FullState(0))
	if per := len(data) / 18_000; err != nil || err2 != nil || per > 100 {
		t.Errorf("%d bytes a fact encoded, %v, %v", per, err, err2)
	}
	t.Logf("%d bytes encoded", len(data))
}

func BenchmarkRead(b *testing.B) {
	s := newFullStore(b, 300, 60, nil)
	var subjects [64]facts.Subject
	for i := range subjects {
		subjects[i] = testSubject(i % 60)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, ok := s.Read(sec, subjects[i%64], facts.Limit); !ok {
			b.Fatal("nothing read")
		}
	}
}

func BenchmarkTakeBatchOf30(b *testing.B) {
	s := newFullStore(b, 300, 60, nil)
	b.ReportAllocs()
	batch := make([]facts.Fact, 30)
	for seq := uint64(2); b.Loop(); seq++ {
		for i := range batch {
			batch[i] = newFact(fmt.Sprintf("courier-%03d", seq%300), i, seq)
			batch[i].Epoch = 1_790_000_000_000
		}
		s.process(job{now: time.Duration(seq) * time.Microsecond, batch: batch})
	}
}

// Drain does what the workers of Run do, priority jobs first.
func TestDrain(t *testing.T) {
	s := newTestStore(t, nil)
	sub := facts.Subject{Dest: 1, Endpoint: "a"}
	if err := s.Learn(0, sub, facts.Limit, facts.Value{Number: 3, For: sec}, 10*sec); err != nil {
		t.Fatal(err)
	}
	if _, ok := s.Read(0, sub, facts.Limit); ok {
		t.Error("read before the job was processed")
	}
	if n := s.Drain(); n != 1 {
		t.Errorf("processed %d jobs", n)
	}
	if e, ok := s.Read(sec, sub, facts.Limit); !ok || e.Number != 3 || e.Age != sec {
		t.Errorf("read %+v, %t", e, ok)
	}
	if err := s.Learn(sec, sub, facts.Limit, facts.Value{Number: 4, For: sec}, 10*sec); err != nil {
		t.Fatal(err)
	}
	s.RemoveEndpoint(sec, "a")
	if n := s.Drain(); n != 2 || s.Stats().EndpointRemoved != 1 {
		t.Errorf("processed %d jobs, %d facts refused: the removal must precede the fact", n, s.Stats().EndpointRemoved)
	}
	if err := s.WaitIdle(t.Context()); err != nil {
		t.Error(err)
	}
	if n := s.Drain(); n != 0 {
		t.Errorf("processed %d jobs of an empty queue", n)
	}
}

// A larger fleet sends each fact more often, up to the configured limit.
func TestMemberCountSetsMaxSends(t *testing.T) {
	for _, c := range []struct{ members, maxSends, want int }{{1, 14, 6}, {2, 14, 6}, {32, 14, 10}, {100, 14, 11}, {300, 14, 13}, {300, 9, 9}} {
		s := newTestStore(t, func(cfg *Config) { cfg.MaxSends = c.maxSends })
		s.SetMemberCount(c.members)
		if err := s.Learn(0, facts.Subject{Endpoint: "a"}, facts.WarmUp, facts.Value{}, sec); err != nil {
			t.Fatal(err)
		}
		s.Drain()
		n := 0
		for len(s.Updates(0, 1000)) > 0 {
			n++
		}
		if n != c.want || s.Stats().Queued != 0 {
			t.Errorf("%d members, at most %d sends: sent %d times, want %d; %d queued", c.members, c.maxSends, n, c.want, s.Stats().Queued)
		}
	}
}
