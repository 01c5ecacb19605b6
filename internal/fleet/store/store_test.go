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

// order checks the lock order by goroutine.
type order struct {
	mu   sync.Mutex
	held map[string][]int
	fail func(string)
}

func newOrder(fail func(string)) *order { return &order{held: map[string][]int{}, fail: fail} }

func goroutine() string {
	var buf [64]byte
	return strings.Fields(string(buf[:runtime.Stack(buf[:], false)]))[1]
}

func (o *order) Locking(rank int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	id := goroutine()
	if h := o.held[id]; len(h) > 0 && h[len(h)-1] >= rank {
		o.fail(fmt.Sprintf("lock %d is taken under %v", rank, h))
	}
	o.held[id] = append(o.held[id], rank)
}

func (o *order) Unlocked(int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	id := goroutine()
	o.held[id] = o.held[id][:len(o.held[id])-1]
}

func started(t testing.TB, change func(*Config)) *Store {
	s := stopped(t, change)
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

func stopped(t testing.TB, change func(*Config)) *Store {
	cfg := DefaultConfig("me", 100)
	if change != nil {
		change(&cfg)
	}
	var watch watcher = newOrder(func(s string) { t.Error(s) })
	if _, ok := t.(*testing.B); ok {
		watch = nil
	}
	s, err := newStore(cfg, watch)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func settle(t testing.TB, s *Store) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*sec)
	defer cancel()
	if err := s.Settle(ctx); err != nil {
		t.Fatal(err)
	}
}

func take(t testing.TB, s *Store, batch ...facts.Fact) {
	s.Take(0, batch)
	settle(t, s)
}

func sub(i int) facts.Subject {
	return facts.Subject{Dest: int64(i % 6), Endpoint: "endpoint-" + strconv.Itoa(i)}
}

func from(origin string, i int, seq uint64) facts.Fact {
	return facts.Fact{
		Subject: sub(i), Kind: facts.Limit, Value: facts.Value{Number: 250, For: sec}, Origin: origin, Epoch: 1, Seq: seq,
		Age: sec, TTL: time.Minute,
	}
}

func TestLockOrder(t *testing.T) {
	var wrong []string
	o := newOrder(func(s string) { wrong = append(wrong, s) })
	a, b := mutex{rank: 0, watch: o}, mutex{rank: 1, watch: o}
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
		t.Fatalf("a wrong order was not seen: %v", wrong)
	}
}

func TestLearnTakeRead(t *testing.T) {
	s := started(t, nil)
	for i := range 60 {
		if err := s.Learn(10*sec, sub(i), facts.Wait, facts.Value{For: 5 * sec}, time.Minute); err != nil {
			t.Fatal(err)
		}
		s.Take(10*sec, []facts.Fact{from("b", i, 1), from("c", i, 1)})
	}
	settle(t, s)
	for i := range 60 {
		ev, ok := s.Read(12*sec, sub(i), facts.Wait)
		if !ok || ev.Remaining != 3*sec || ev.Age != 2*sec || ev.Origin != "me" || ev.Epoch != 100 || ev.Seq != uint64(i+1) {
			t.Fatalf("wait of %d: %+v %v", i, ev, ok)
		}
		if ev, ok := s.Read(12*sec, sub(i), facts.Limit); !ok || ev.Number != 250 || ev.Age != 3*sec || ev.Origin != "b" {
			t.Fatalf("limit of %d: %+v %v", i, ev, ok)
		}
	}
	if _, ok := s.Read(15*sec, sub(0), facts.Wait); ok {
		t.Error("a wait that is over was read")
	}
	if err := s.Learn(0, sub(0), facts.Wait, facts.Value{For: -1}, time.Minute); err == nil {
		t.Error("an absurd fact was learned")
	}
	s.Forget(12*sec, sub(3).Endpoint)
	settle(t, s)
	s.Take(12*sec, []facts.Fact{from("b", 3, 2), {Origin: "x"}})
	settle(t, s)
	if _, ok := s.Read(12*sec, sub(3), facts.Limit); ok {
		t.Error("read about an endpoint that is gone")
	}
	st := s.Stats()
	if st.Facts != 177 || st.Gone != 1 || st.Absurd != 2 || st.Learned != 60 || st.Taken != 122 || st.Changed != 180 {
		t.Errorf("%+v", st)
	}
	s.Sweep(2 * time.Hour)
	settle(t, s)
	s.Sweep(9 * time.Hour)
	settle(t, s)
	ownName := int64(len(s.shards)) * (160 + 2)
	if st := s.Stats(); st.Facts != 0 || st.Bytes != ownName || st.Swept != 177 || len(*s.shards[0].view.Load()) != 0 {
		t.Errorf("after all is over: %+v", st)
	}
}

func TestEpochsInAllShards(t *testing.T) {
	s := started(t, nil)
	for i := range 30 {
		take(t, s, from("b", i, 1))
	}
	next := from("b", 99, 1)
	next.Epoch = 2
	take(t, s, next)
	for i := range 30 {
		if ev, ok := s.Read(0, sub(i), facts.Limit); !ok || !ev.Retired {
			t.Fatalf("%d of a dead epoch is read as %+v", i, ev)
		}
	}
	if got := s.Whole(0); len(got) != 1 || got[0] != next || s.Heard("b") != 2 {
		t.Errorf("told on: %v", got)
	}
	mine := from("me", 1, 7)
	take(t, s, mine) // of a former life, as a snapshot has it
	if ev, ok := s.Read(0, mine.Subject, facts.Limit); !ok || !ev.Retired || len(s.Whole(0)) != 1 {
		t.Errorf("of our own former life: %+v", ev)
	}
	mine.Epoch = 300
	take(t, s, mine)
	if st := s.Stats(); st.Heard != 300 || s.Epoch() != 100 {
		t.Errorf("our own name's epoch was not heard: %+v", st)
	}
	s.Raise(0, "me", 301)
	_ = s.Learn(0, sub(1), facts.Limit, facts.Value{Number: 9}, time.Minute)
	settle(t, s)
	if ev, _ := s.Read(0, sub(1), facts.Limit); ev.Epoch != 301 || ev.Retired {
		t.Errorf("after drawing again: %+v", ev)
	}
}

func TestReadWaitsForNobody(t *testing.T) {
	s := started(t, nil)
	take(t, s, from("b", 1, 1))
	for i := range s.shards {
		s.shards[i].mu.mu.Lock()
		defer s.shards[i].mu.mu.Unlock()
	}
	s.queueMu.mu.Lock()
	defer s.queueMu.mu.Unlock()
	for range 3 * s.cfg.Mailbox { // the workers are stuck, posts are not
		_ = s.Learn(0, sub(1), facts.WarmUp, facts.Value{}, sec)
	}
	if _, ok := s.Read(0, sub(1), facts.Limit); !ok {
		t.Error("nothing read")
	}
}

func TestFullMailbox(t *testing.T) {
	s := stopped(t, func(c *Config) { c.Mailbox = 4 })
	for i := range 10 {
		s.Take(0, []facts.Fact{from("b", i, 1)})
	}
	s.Forget(0, "x") // has its own mailbox
	if got := s.Stats().MailDropped; got != 6 {
		t.Errorf("dropped %d, want 6", got)
	}
	run(t, s)
	settle(t, s)
	for i := range 10 {
		if _, ok := s.Read(0, sub(i), facts.Limit); ok != (i >= 6) {
			t.Errorf("%d was read: %v; the oldest are to be dropped", i, ok)
		}
	}
}

func TestBoundOverAllShards(t *testing.T) {
	s := started(t, func(c *Config) { c.Limits.Facts, c.Mailbox = 64, 1024 })
	for i := range 500 {
		f := from("b", i, 1)
		f.TTL = time.Duration(600-i) * sec // the first live longest
		s.Take(0, []facts.Fact{f})
	}
	settle(t, s)
	if st := s.Stats(); st.Facts > 64 || st.Facts < 50 || st.Shed != uint64(500-st.Facts) {
		t.Errorf("%+v", st)
	}
	if _, ok := s.Read(0, sub(0), facts.Limit); !ok {
		t.Error("what lives longest was dropped")
	}
}

func TestChanges(t *testing.T) {
	s := started(t, func(c *Config) { c.Passes, c.Queue = 3, 8 })
	for i := range 4 {
		take(t, s, from("b", i, 1))
	}
	size := 2 * (71 + len("endpoint-0") + 1)
	count := map[int64]int{}
	seen := 0
	for range 3 {
		got := s.Changes(sec, size)
		for _, f := range got {
			count[f.Dest]++
			if f.Age != 2*sec {
				t.Errorf("age %v", f.Age)
			}
		}
		if seen += len(got); len(got) != 2 {
			t.Fatalf("handed out %d, room for 2", len(got))
		}
	}
	if len(count) != 4 {
		t.Errorf("repeats went before news: %v", count)
	}
	s.Take(0, []facts.Fact{from("b", 0, 2)}) // changed: to the front, three times again
	s.Forget(0, sub(1).Endpoint)
	settle(t, s)
	if got := s.Changes(sec, size/2); len(got) != 1 || got[0].Seq != 2 {
		t.Errorf("news is not first: %v", got)
	}
	all := map[string]int{}
	for got := s.Changes(sec, 1<<20); len(got) > 0; got = s.Changes(sec, 1<<20) {
		for _, f := range got {
			all[f.Endpoint]++
		}
	}
	if all["endpoint-0"] != 2 || all["endpoint-1"] != 0 || s.Stats().Waiting != 0 {
		t.Errorf("handed out %v, waiting %d", all, s.Stats().Waiting)
	}
	older := from("b", 0, 2) // by another way: no news, else copies would be passed on for ever
	older.Age += sec
	if take(t, s, older); s.Stats().Waiting != 0 || s.Stats().Older != 1 {
		t.Errorf("an older copy is passed on: %+v", s.Stats())
	}
	for i := range 20 {
		take(t, s, from("c", i, 1))
	}
	if st := s.Stats(); st.Waiting != 8 || st.QueueDropped != 11 {
		t.Errorf("the queue's bound: %+v", st)
	}
}

// Many of everything at once; the race detector and the lock order look on.
func TestAtOnce(t *testing.T) {
	s := started(t, func(c *Config) { c.Workers, c.Limits.Facts, c.Mailbox = 4, 100, 4096 })
	var wg sync.WaitGroup
	for w := range 4 {
		wg.Go(func() {
			for i := range 300 {
				s.Take(time.Duration(i), []facts.Fact{from("o"+strconv.Itoa(w), i%50, uint64(i+1))})
				_ = s.Learn(time.Duration(i), sub(i%7), facts.Throughput, facts.Value{Number: 1}, time.Minute)
				if ev, ok := s.Read(time.Duration(i), sub(i%50), facts.Limit); ok && ev.Number != 250 {
					t.Errorf("read %+v", ev)
				}
				if i%50 == 1 {
					s.Forget(time.Duration(i), "endpoint-49")
					s.Sweep(time.Duration(i))
					s.Changes(time.Duration(i), 4096)
					s.Whole(time.Duration(i))
					s.Raise(time.Duration(i), "o"+strconv.Itoa(w), 1)
				}
			}
		})
	}
	wg.Wait()
	settle(t, s)
	if st := s.Stats(); st.Facts > 100 || st.Facts == 0 || st.MailDropped != 0 || int(st.Facts) != len(s.Whole(300)) {
		t.Errorf("%+v", st)
	}
}

func snapshot() Snapshot {
	return Snapshot{Name: "me", Epoch: 100, Facts: []facts.Fact{from("b", 1, 1), from("c", 2, 5)}}
}

func TestSnapshot(t *testing.T) {
	folder, wall := t.TempDir(), time.UnixMilli(1_700_000_000_000)
	if _, err := Load(folder, 1<<16, wall); !errors.Is(err, ErrNone) {
		t.Fatalf("an empty folder: %v", err)
	}
	for range 2 { // the second replaces the first
		if left, err := Save(folder, 1<<16, wall, snapshot()); err != nil || left != 0 {
			t.Fatal(left, err)
		}
	}
	if names, _ := os.ReadDir(folder); len(names) != 1 {
		t.Errorf("left in the folder: %v", names)
	}
	none, grown := Snapshot{Name: "me", Epoch: 100}, snapshot()
	for i := range grown.Facts {
		grown.Facts[i].Age += 10*sec + time.Millisecond
	}
	for _, c := range []struct {
		name string
		at   time.Time
		want Loaded
	}{
		{"10 s away", wall.Add(10 * sec), Loaded{Snapshot: grown, Away: 10*sec + time.Millisecond}},
		{"past their time", wall.Add(time.Hour), Loaded{Snapshot: none, Away: time.Hour + time.Millisecond, Expired: 2}},
		{"clock went back", wall.Add(-1), Loaded{Snapshot: none, ClockBack: true, Expired: 2}},
	} {
		got, err := Load(folder, 1<<16, c.at)
		if d := cmp.Diff(c.want, got); err != nil || d != "" {
			t.Errorf("%s: %v\n%s", c.name, err, d)
		}
	}
	if _, err := Load(folder, 60, wall); !errors.Is(err, ErrTooLarge) {
		t.Errorf("over the limit: %v", err)
	}
	longer := snapshot()
	longer.Facts[1].TTL = time.Hour
	left, err := Save(folder, 200, wall, longer)
	got, lerr := Load(folder, 200, wall)
	if err != nil || lerr != nil || left != 1 || len(got.Facts) != 1 || got.Facts[0].Origin != "c" {
		t.Errorf("room for one: left %d, %v, %v, %+v", left, err, lerr, got)
	}
}

// Every cut and every spoilt bit of the file is an error: never a crash, never another fact.
func TestSnapshotTornAndGarbled(t *testing.T) {
	folder, wall := t.TempDir(), time.UnixMilli(1_700_000_000_000)
	if _, err := Save(folder, 1<<16, wall, snapshot()); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(folder, fileName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range whole {
		if err := os.WriteFile(path, whole[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := Load(folder, 1<<16, wall); !errors.Is(err, ErrTorn) {
			t.Fatalf("cut to %d of %d bytes: %+v, %v", n, len(whole), got, err)
		}
		for bit := range 8 {
			bad := append([]byte(nil), whole...)
			bad[n] ^= 1 << bit
			want := ErrTorn
			if n == len(magic)-1 {
				want = facts.ErrVersion
			}
			if got, err := parse(bad, 1<<16, wall); !errors.Is(err, want) {
				t.Fatalf("bit %d of byte %d: %+v, %v", bit, n, got, err)
			}
		}
	}
	if got, err := parse(append(whole, 0), 1<<16, wall); !errors.Is(err, ErrTorn) {
		t.Errorf("a byte more: %+v, %v", got, err)
	}
}

func full(t testing.TB, members, endpoints int, change func(*Config)) *Store {
	s := started(t, change)
	for m := range members {
		batch := make([]facts.Fact, endpoints)
		for e := range batch {
			batch[e] = from(fmt.Sprintf("courier-%03d", m), e, 1)
			batch[e].Age, batch[e].Epoch = sec+time.Duration(m)*time.Millisecond, 1_790_000_000_000
		}
		take(t, s, batch...)
	}
	return s
}

func TestReadAllocatesNothing(t *testing.T) {
	s := full(t, 20, 60, nil)
	subject := sub(17)
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
	s := full(t, 300, 60, nil)
	used, st := heap()-before, s.Stats()
	t.Logf("300 members, 60 endpoints: %d facts, %d bytes of heap, %d counted, %d waiting", st.Facts, used, st.Bytes, st.Waiting)
	if st.Facts != 18_000 || used > 4<<20 || used > st.Bytes*3/2 {
		t.Errorf("%d facts in %d bytes, counted %d", st.Facts, used, st.Bytes)
	}
	codec, err := newCodec(4 << 20)
	data, err2 := codec.Encode(s.Whole(0))
	if per := len(data) / 18_000; err != nil || err2 != nil || per > 100 {
		t.Errorf("%d bytes a fact encoded, %v, %v", per, err, err2)
	}
	t.Logf("%d bytes encoded", len(data))
}

func BenchmarkRead(b *testing.B) {
	s := full(b, 300, 60, nil)
	var subjects [64]facts.Subject
	for i := range subjects {
		subjects[i] = sub(i % 60)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, ok := s.Read(sec, subjects[i%64], facts.Limit); !ok {
			b.Fatal("nothing read")
		}
	}
}

func BenchmarkTakeBatchOf30(b *testing.B) {
	s := full(b, 300, 60, nil)
	b.ReportAllocs()
	batch := make([]facts.Fact, 30)
	for seq := uint64(2); b.Loop(); seq++ {
		for i := range batch {
			batch[i] = from(fmt.Sprintf("courier-%03d", seq%300), i, seq)
			batch[i].Epoch = 1_790_000_000_000
		}
		s.do(job{now: time.Duration(seq) * time.Microsecond, batch: batch})
	}
}

// What Drain does is what Run's workers do, orders first.
func TestDrain(t *testing.T) {
	s := stopped(t, nil)
	sub := facts.Subject{Dest: 1, Endpoint: "a"}
	if err := s.Learn(0, sub, facts.Limit, facts.Value{Number: 3, For: sec}, 10*sec); err != nil {
		t.Fatal(err)
	}
	if _, ok := s.Read(0, sub, facts.Limit); ok {
		t.Error("read before it was done")
	}
	if n := s.Drain(); n != 1 {
		t.Errorf("did %d jobs", n)
	}
	if e, ok := s.Read(sec, sub, facts.Limit); !ok || e.Number != 3 || e.Age != sec {
		t.Errorf("read %+v, %t", e, ok)
	}
	if err := s.Learn(sec, sub, facts.Limit, facts.Value{Number: 4, For: sec}, 10*sec); err != nil {
		t.Fatal(err)
	}
	s.Forget(sec, "a")
	if n := s.Drain(); n != 2 || s.Stats().Gone != 1 {
		t.Errorf("did %d jobs, %d refused: the order to forget goes before facts", n, s.Stats().Gone)
	}
	if err := s.Settle(t.Context()); err != nil {
		t.Error(err)
	}
	if n := s.Drain(); n != 0 {
		t.Errorf("did %d jobs of none", n)
	}
}

// A larger fleet passes each fact on more often, up to the configured bound.
func TestFleetSetsPasses(t *testing.T) {
	for _, c := range []struct{ members, most, want int }{{1, 14, 6}, {2, 14, 6}, {32, 14, 10}, {100, 14, 11}, {300, 14, 13}, {300, 9, 9}} {
		s := stopped(t, func(cfg *Config) { cfg.Passes = c.most })
		s.Fleet(c.members)
		if err := s.Learn(0, facts.Subject{Endpoint: "a"}, facts.WarmUp, facts.Value{}, sec); err != nil {
			t.Fatal(err)
		}
		s.Drain()
		n := 0
		for len(s.Changes(0, 1000)) > 0 {
			n++
		}
		if n != c.want || s.Stats().Waiting != 0 {
			t.Errorf("%d members, at most %d passes: passed on %d times, want %d; %d wait", c.members, c.most, n, c.want, s.Stats().Waiting)
		}
	}
}
