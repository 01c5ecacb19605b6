package history

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"raventrestle/internal/history"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const ms = int64(1e6)

// side is a server's side that a test wrote.
type side struct {
	effects []Effect
	told    []Told
}

func (s side) Effects() []Effect { return s.effects }
func (s side) Told() []Told      { return s.told }

// right draws a history that keeps to all rules, of about n records. What is done overlaps; lives end, some
// by a kill, when nothing is under way.
func right(seed uint64, couriers, n int) (rs []Record, s side) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	now, epoch := 1000*ms, make([]uint64, couriers)
	name := func(c int) string { return fmt.Sprint("n", c) }
	put := func(c int, at int64, r Record) {
		r.At, r.Courier, r.Epoch = at, name(c), epoch[c]
		rs = append(rs, r)
	}
	begin := func(c int) { epoch[c] += 1 + rnd.Uint64N(9); put(c, now, Record{Kind: Begun}) }
	for c := range couriers {
		begin(c)
	}
	free, charged := make([]int64, couriers), map[uint64]int64{}
	waits := map[string]int64{}
	for i := 0; len(rs) < n; i++ {
		now += rnd.Int64N(2 * ms)
		c := rnd.IntN(couriers)
		d := (c + 1 + rnd.IntN(couriers-1)) % couriers
		id := fmt.Sprint("x", i)
		later := func(most int64) int64 { return now + 1 + rnd.Int64N(most*ms) }
		switch a := later(50); rnd.IntN(8) {
		case 0, 1:
			put(c, now, Record{Kind: TakenOn, ID: id})
			put(c, a, Record{Kind: TryBegun, ID: id, Subject: "e1"})
			s.effects = append(s.effects, Effect{At: a + 1, Message: id, Courier: name(c), Subject: "e1", Most: rnd.IntN(2)})
			if rnd.IntN(3) > 0 {
				put(c, a+2, Record{Kind: MessageEnded, ID: id, How: Delivered})
				break
			}
			put(d, a+2, Record{Kind: MessageEnded, ID: id, How: Undeliverable}) // the journal has moved
			s.told = append(s.told, Told{a + 3, id, name(d), Undeliverable}, Told{a + 4, id, name(d), Undeliverable})
			put(d, a+5, Record{Kind: TryBegun, ID: id, Subject: "e2"})
			put(d, a+6, Record{Kind: MessageEnded, ID: id, How: LetterDelivered})
		case 2:
			until := now + 60*ms
			put(c, now, Record{Kind: Lent, ID: id, Subject: "limit e1", Peer: name(d), N: 5, From: now, Until: until})
			if rnd.IntN(4) == 0 { // its answer was lost
				put(c, until, Record{Kind: LoanEnded, ID: id})
				break
			}
			put(d, a, Record{Kind: Borrowed, ID: id, Subject: "limit e1", Peer: name(c), N: 5, From: now - ms, Until: until - 2*ms})
			put(d, a+2, Record{Kind: Returned, ID: id})
			put(c, a+3, Record{Kind: LoanEnded, ID: id})
		case 3:
			from := max(now, free[c])
			free[c] = from + rnd.Int64N(30*ms)
			put(c, now, Record{Kind: InUse, ID: id, Subject: "limit e1", N: 100 / int64(couriers), From: from, Until: free[c], Total: 100})
		case 4:
			window := uint64(now / (20 * ms))
			if k := rnd.Int64N(4); charged[window]+k <= 10 {
				charged[window] += k
				put(c, now, Record{Kind: Charged, ID: "r1", Subject: "a", Window: window, N: k, Total: 10})
			}
		case 5:
			e := fmt.Sprint("e", rnd.IntN(3))
			if key := name(c) + e; now >= waits[key] {
				put(c, now, Record{Kind: CallWritten, Subject: e})
				if rnd.IntN(4) == 0 {
					waits[key] = now + rnd.Int64N(400*ms)
					put(c, now, Record{Kind: WaitHeard, Subject: e, Until: waits[key]})
				}
			}
		case 6:
			f := Record{Kind: FactTaken, ID: id, What: "limit", Peer: name(c), PeerEpoch: epoch[c]}
			put(c, now, f)
			f.Age = a - now - 1
			put(d, a, f)
			put(d, a+ms, Record{Kind: Decided, How: "send", Evidence: []Rest{{ID: id, Age: a - now + ms, MaxAge: 200 * ms}}})
		case 7:
			if rnd.IntN(8) > 0 {
				break
			}
			r := Record{ID: "r1", Version: uint64(i), How: "digest" + id}
			with := func(k Kind, m ...string) Record { r.Kind, r.Members = k, m; return r }
			put(c, now, with(Proposed))
			var members []string
			for m := range couriers {
				put(m, now+1+rnd.Int64N(ms), with(Acknowledged))
				members = append(members, name(m))
			}
			put(d, now+ms+2, with(InForce, members...))
		}
		if rnd.IntN(200) == 0 {
			now += 500 * ms
			if rnd.IntN(2) == 0 {
				put(c, now, Record{Kind: Ended})
			}
			now++
			begin(c)
		}
	}
	now += 500 * ms
	for c := range couriers {
		put(c, now, Record{Kind: Ended})
	}
	return rs, s
}

func TestRightHistoriesPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rs, s := right(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 9).Draw(t, "couriers"), rapid.IntRange(10, 1500).Draw(t, "records"))
		for _, v := range Check(Merge(rs, s), Usual()).Violations {
			t.Fatal(v)
		}
	})
}

func TestMutants(t *testing.T) {
	first := func(h []Record, k Kind, also func(Record) bool) int {
		i := slices.IndexFunc(h, func(r Record) bool { return r.Kind == k && (also == nil || also(r)) })
		if i < 0 {
			t.Fatalf("no %s in the history", k)
		}
		return i
	}
	again := func(rs []Record, i int, change func(*Record)) []Record {
		r := rs[i]
		change(&r)
		return append(rs, r)
	}
	ended := func(how string) func(Record) bool { return func(r Record) bool { return r.How == how } }
	other := func(r *Record) { r.At, r.Courier, r.Epoch = r.At+1, "other", 1 }
	for name, m := range map[string]struct {
		checker, text string
		edit          func(rs []Record, s *side) []Record
	}{
		"ended by two": {"one_end", "one end", func(rs []Record, _ *side) []Record {
			return again(rs, first(rs, MessageEnded, ended(Delivered)), other)
		}},
		"sent after its end": {"one_end", "one end", func(rs []Record, _ *side) []Record {
			return again(rs, first(rs, MessageEnded, ended(Delivered)), func(r *Record) { r.At, r.Kind = r.At+1, TryBegun })
		}},
		"a letter twice": {"one_end", "one end", func(rs []Record, _ *side) []Record {
			return again(rs, first(rs, MessageEnded, ended(LetterDelivered)), other)
		}},
		"two effects": {"one_effect", "took effect 2 times", func(rs []Record, s *side) []Record {
			i := slices.IndexFunc(s.effects, func(e Effect) bool { return e.Most == 1 })
			s.effects = append(s.effects, s.effects[i])
			return rs
		}},
		"two words": {"one_word", `"deferred"`, func(rs []Record, s *side) []Record {
			x := s.told[0]
			x.How = Deferred
			s.told = append(s.told, x)
			return rs
		}},
		"more than was lent": {"loan", "no one order", func(rs []Record, _ *side) []Record { rs[first(rs, Borrowed, nil)].N++; return rs }},
		"longer than lent":   {"loan", "no one order", func(rs []Record, _ *side) []Record { rs[first(rs, Borrowed, nil)].Until += 3 * ms; return rs }},
		"borrowed twice":     {"loan", "no one order", func(rs []Record, _ *side) []Record { return again(rs, first(rs, Borrowed, nil), other) }},
		"taken back early": {"loan", "no one order", func(rs []Record, _ *side) []Record {
			i := first(rs, Returned, nil)
			return slices.Delete(rs, i, i+1)
		}},
		"a right beyond the whole": {"rights", "are in use", func(rs []Record, _ *side) []Record {
			return again(rs, first(rs, InUse, func(r Record) bool { return r.Until > r.From }), func(r *Record) { other(r); r.N = 60 })
		}},
		"a version with two texts": {"agreed", "two texts", func(rs []Record, _ *side) []Record { rs[first(rs, InForce, nil)].How = "another"; return rs }},
		"in force unacknowledged": {"agreed", "before all", func(rs []Record, _ *side) []Record {
			i := first(rs, Acknowledged, nil)
			return slices.Delete(rs, i, i+1)
		}},
		"back to an old version": {"agreed", "back to 0", func(rs []Record, _ *side) []Record {
			return again(rs, first(rs, InForce, nil), func(r *Record) { r.At, r.Version, r.How = r.At+1, 0, "old" })
		}},
		"past the hard bound": {"stale", "hard bound", func(rs []Record, _ *side) []Record {
			rs[first(rs, Decided, nil)].Evidence[0].MaxAge = 1
			return rs
		}},
		"older than it says": {"stale", "and it is", func(rs []Record, _ *side) []Record { rs[first(rs, FactTaken, nil)].At -= 300 * ms; return rs }},
		"never taken":        {"stale", "never took", func(rs []Record, _ *side) []Record { rs[first(rs, Decided, nil)].Evidence[0].ID = "none"; return rs }},
		"of a dead epoch": {"stale", "is dead", func(rs []Record, _ *side) []Record {
			d := rs[first(rs, Decided, nil)]
			i := first(rs, FactTaken, func(r Record) bool { return r.ID == d.Evidence[0].ID })
			return append(rs, Record{Kind: FactTaken, At: d.At - 1, Courier: d.Courier, Epoch: d.Epoch, ID: "newer", Peer: rs[i].Peer, PeerEpoch: rs[i].PeerEpoch + 1})
		}},
		"overspent": {"allowance", "were charged", func(rs []Record, _ *side) []Record {
			return again(rs, first(rs, Charged, nil), func(r *Record) { other(r); r.N = 11 })
		}},
		"a call in a wait": {"waits", "wrote a call", func(rs []Record, _ *side) []Record {
			return again(rs, first(rs, WaitHeard, func(r Record) bool { return r.Until > r.At+200*ms }), func(r *Record) { r.Kind, r.At = CallWritten, r.At+150*ms })
		}},
		"an epoch again": {"epochs", "began epoch", func(rs []Record, _ *side) []Record {
			return again(rs, first(rs, Begun, nil), func(r *Record) { r.At++ })
		}},
	} {
		t.Run(name, func(t *testing.T) {
			rs, s := right(3, 4, 3000)
			f := Check(Merge(m.edit(rs, &s), s), Usual())
			if len(f.Violations) == 0 {
				t.Fatal("it passes")
			}
			for _, v := range f.Violations {
				if v.Checker != m.checker || !strings.Contains(v.Text, m.text) {
					t.Errorf("caught as %s", v)
				}
				if len(v.Records) == 0 && m.checker != "one_word" {
					t.Errorf("no records quoted: %s", v)
				}
			}
		})
	}
}

func TestLostTailIsUnproven(t *testing.T) {
	lend := Record{Kind: Lent, At: 10, Courier: "n0", Epoch: 1, ID: "l", Subject: "s", Peer: "n1", N: 5, From: 10, Until: 100}
	rs := []Record{
		{Kind: Begun, At: 1, Courier: "n0", Epoch: 1},
		lend,
		{Kind: Begun, At: 1, Courier: "n1", Epoch: 1},
		{Kind: Borrowed, At: 20, Courier: "n1", Epoch: 1, ID: "l", Subject: "s", Peer: "n0", N: 5, From: 5, Until: 90},
		{Kind: Ended, At: 200, Courier: "n1", Epoch: 1},
	}
	for name, c := range map[string]struct {
		rs        []Record
		bad, open int
	}{
		"whole":            {rs, 0, 0},
		"lender killed":    {slices.Delete(slices.Clone(rs), 1, 2), 0, 1},
		"lender's gap":     {append(slices.Delete(slices.Clone(rs), 1, 2), Record{Kind: Gap, At: 11, Courier: "n0", Epoch: 1, N: 1}, Record{Kind: Ended, At: 300, Courier: "n0", Epoch: 1}), 0, 1},
		"lender's word is": {append(slices.Delete(slices.Clone(rs), 1, 2), Record{Kind: Ended, At: 300, Courier: "n0", Epoch: 1}), 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if f := Check(Merge(slices.Clone(c.rs), nil), Usual()); len(f.Violations) != c.bad || f.Unproven != c.open {
				t.Fatalf("%+v", f)
			}
		})
	}
}

func TestFileAcrossLives(t *testing.T) {
	path := filepath.Join(t.TempDir(), "history")
	for epoch := range uint64(3) {
		w, err := history.Create(path, "n0", epoch+1, 0)
		if err != nil {
			t.Fatal(err)
		}
		w.Write(Record{Kind: CallWritten, Subject: fmt.Sprint("e", epoch)})
		if err := w.Close(); err != nil || w.Dropped() != 0 {
			t.Fatal(err, w.Dropped())
		}
		w.Write(Record{Kind: TakenOn}) // after the end: counted, no panic
		if w.Dropped() != 1 || w.Close() != nil {
			t.Fatal("a late record")
		}
		text, _ := os.ReadFile(path)
		os.WriteFile(path, text[:len(text)-1], 0o600) // its last record is torn
	}
	h, err := Read([]string{path}, nil)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, r := range h.Records {
		if got = append(got, fmt.Sprintf("%s/%d %s %s", r.Courier, r.Epoch, r.Kind, r.Subject)); r.At == 0 {
			t.Error("no time")
		}
	}
	want := []string{"n0/1 life begun ", "n0/1 call written e0", "n0/2 life begun ", "n0/2 call written e1", "n0/3 life begun ", "n0/3 call written e2"}
	if diff := cmp.Diff(want, got); diff != "" { // each life's end was torn
		t.Fatal(diff)
	}
	text, _ := os.ReadFile(path)
	for _, at := range []int{0, len(history.Header) + 3, len(history.Header) + history.FrameBytes + 2} {
		spoilt := slices.Clone(text)
		spoilt[at] ^= 0x40
		os.WriteFile(path, spoilt, 0o600)
		if _, err := Read([]string{path}, nil); !errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), path) {
			t.Errorf("byte %d spoilt: %v", at, err)
		}
		if _, err := history.Create(path, "n0", 9, 0); !errors.Is(err, ErrCorrupt) {
			t.Errorf("byte %d spoilt, a new life: %v", at, err)
		}
	}
}

func TestWriterIsBounded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "history")
	w, err := history.Create(path, "n0", 1, 8<<10)
	if err != nil {
		t.Fatal(err)
	}
	const each, writers = 2000, 8
	var all sync.WaitGroup
	for range writers {
		all.Go(func() {
			for range each {
				w.Write(Record{Kind: CallWritten, Subject: "e1"})
			}
		})
	}
	all.Wait()
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	h, err := Read([]string{path}, nil)
	if err != nil {
		t.Fatal(err)
	}
	calls := int64(0)
	for _, r := range h.Records {
		if r.Kind == CallWritten {
			calls++
		}
	}
	if f, _ := os.Stat(path); f.Size() > 8<<10 || calls+w.Dropped() != each*writers || calls == 0 {
		t.Fatalf("%d bytes, %d calls written and %d dropped of %d", f.Size(), calls, w.Dropped(), each*writers)
	}
	if last := h.Records[len(h.Records)-1]; last.Kind != Ended || h.Dropped != w.Dropped() {
		t.Fatalf("the file says that %d were dropped, of %d; last %s", h.Dropped, w.Dropped(), last)
	}
}

// BenchmarkMillion reads and checks a history of 1,000,000 records of 32 couriers from files.
func BenchmarkMillion(b *testing.B) {
	rs, s := right(1, 32, 1_000_000)
	dir := b.TempDir()
	parts := map[string][]Record{}
	for _, r := range Merge(rs, nil).Records {
		parts[r.Courier] = append(parts[r.Courier], r)
	}
	var paths []string
	for name, part := range parts {
		path := filepath.Join(dir, name)
		paths = append(paths, path)
		text := []byte(history.Header)
		for _, r := range part {
			var err error
			if text, err = history.Append(text, r); err != nil { // beside the writer's mailbox, which would drop at this pace
				b.Fatal(err)
			}
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			b.Fatal(err)
		}
	}
	rs = nil
	for b.Loop() {
		h, err := Read(paths, s)
		if err != nil {
			b.Fatal(err)
		}
		f := Check(h, Usual())
		b.ReportMetric(float64(len(f.Violations)), "violations")
		b.ReportMetric(float64(len(h.Records)), "records")
	}
}

func BenchmarkWrite(b *testing.B) {
	w, err := history.Create(filepath.Join(b.TempDir(), "history"), "n0", 1, 1<<30)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		w.Write(Record{Kind: CallWritten, Subject: "e1"})
	}
	b.ReportMetric(float64(w.Dropped())/float64(b.N), "dropped/op")
	w.Close()
}

func TestDeferredComesAgain(t *testing.T) {
	all := []Record{
		{Kind: Begun, At: 1},
		{Kind: TakenOn, At: 2, ID: "m"},
		{Kind: MessageEnded, At: 3, ID: "m", How: Deferred},
		{Kind: TakenOn, At: 4, ID: "m"},
		{Kind: TryBegun, At: 5, ID: "m"},
		{Kind: MessageEnded, At: 6, ID: "m", How: Delivered},
	}
	for i := range all {
		all[i].Courier, all[i].Epoch = "n0", 1
	}
	if f := Check(Merge(all, nil), Usual()); len(f.Violations) > 0 {
		t.Error(f.Violations)
	}
	if f := Check(Merge(slices.Delete(slices.Clone(all), 3, 4), nil), Usual()); len(f.Violations) != 1 || f.Violations[0].Checker != "one_end" {
		t.Errorf("tried though nobody brought it again: %v", f.Violations)
	}
}
