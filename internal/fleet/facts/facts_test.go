package facts

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const sec = time.Second

func testLimits() Limits {
	return Limits{Facts: 1000, Bytes: 1 << 20, Origins: 100, RemovedEndpoints: 10, RemovedTTL: time.Minute, MaxTTL: time.Hour}
}

// observation is a fact with its creation time; it can be sent at any later time.
type observation struct {
	fact      Fact
	createdAt time.Duration
}

func (b observation) factAt(now time.Duration) Fact {
	b.fact.Age = now - b.createdAt
	return b.fact
}

func drawObservation(t *rapid.T) observation {
	f := Fact{
		Subject: Subject{rapid.Int64Range(0, 1).Draw(t, "dest"), rapid.SampledFrom([]string{"", "e1"}).Draw(t, "endpoint")},
		Kind:    Kind(rapid.IntRange(1, int(kindEnd)-1).Draw(t, "kind")),
		Value: Value{
			float64(rapid.IntRange(0, 1).Draw(t, "number")),
			time.Duration(rapid.SampledFrom([]int{0, 5, 30, 90}).Draw(t, "for")) * sec,
		},
		Origin: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "origin"),
		Epoch:  rapid.Uint64Range(1, 3).Draw(t, "epoch"), Seq: rapid.Uint64Range(1, 3).Draw(t, "seq"),
		TTL: time.Duration(rapid.SampledFrom([]int{20, 27, 35, 46, 60}).Draw(t, "ttl")) * sec,
	}
	return observation{f, -time.Duration(rapid.IntRange(0, 9).Draw(t, "age")) * sec}
}

// readAll reads every key at several times.
func readAll(t *Table) map[time.Duration]map[Key]Evidence {
	out := map[time.Duration]map[Key]Evidence{}
	for now := 11 * sec; now < 100*sec; now += 8 * sec {
		out[now] = map[Key]Evidence{}
		for k := range t.groups {
			if ev, ok := t.Read(now, k.Subject, k.Kind); ok {
				out[now][k] = ev
			}
		}
	}
	return out
}

func mustMerge(t *rapid.T, table *Table, now time.Duration, b observation) bool {
	change, err := table.Merge(now, b.factAt(now))
	if err != nil {
		t.Fatalf("merge of %+v: %v", b, err)
	}
	return change != Unchanged
}

func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(drawObservation), 1, 24).Draw(t, "facts")
		mergeTime := rapid.IntRange(0, 9)
		// The same facts in another order, at other times, and half of them twice.
		a, b := New(testLimits()), New(testLimits())
		for _, f := range all {
			mustMerge(t, a, time.Duration(mergeTime.Draw(t, "when"))*sec, f)
		}
		for _, f := range rapid.Permutation(append(slices.Clone(all), all[:len(all)/2]...)).Draw(t, "order") {
			mustMerge(t, b, time.Duration(mergeTime.Draw(t, "when"))*sec, f)
		}
		if d := cmp.Diff(readAll(a), readAll(b)); d != "" {
			t.Fatalf("reads differ after another merge order:\n%s", d)
		}
		for _, f := range all {
			if mustMerge(t, b, 10*sec, f) {
				t.Fatalf("merging %+v a second time changed the table", f)
			}
		}
		// Two tables that each missed some facts and then exchanged all live ones.
		c, d := New(testLimits()), New(testLimits())
		for _, f := range all {
			switch rapid.IntRange(0, 2).Draw(t, "lost by") {
			case 0:
				mustMerge(t, c, 3*sec, f)
			case 1:
				mustMerge(t, d, 4*sec, f)
			default:
				mustMerge(t, c, 3*sec, f)
				mustMerge(t, d, 4*sec, f)
			}
		}
		toD, toC := slices.Collect(c.Live(10*sec)), slices.Collect(d.Live(10*sec))
		for _, f := range toD {
			_, _ = d.Merge(10*sec, f)
		}
		for _, f := range toC {
			_, _ = c.Merge(10*sec, f)
		}
		live := func(t *Table) []Fact { return slices.Collect(t.Live(10 * sec)) }
		if diff := cmp.Diff(live(c), live(d)); diff != "" {
			t.Fatalf("the tables differ after the exchange:\n%s", diff)
		}
		if diff := cmp.Diff(live(a), live(c)); diff != "" {
			t.Fatalf("the exchanged tables differ from the one that missed no fact:\n%s", diff)
		}
	})
}

// Read agrees with a linear scan over all registers.
func TestReadMatchesLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(testLimits())
		for _, f := range rapid.SliceOfN(rapid.Custom(drawObservation), 1, 40).Draw(t, "facts") {
			f.fact.Subject, f.fact.Kind = Subject{1, "e1"}, Wait+Kind(rapid.IntRange(0, 1).Draw(t, "of few kinds"))
			f.fact.Origin, f.fact.Epoch = rapid.StringMatching("[a-l]").Draw(t, "of many origins"), 1+f.fact.Epoch/3
			mustMerge(t, table, 0, f)
			_, _ = table.Read(0, f.fact.Subject, f.fact.Kind) // builds the front, which later merges then update
		}
		for now := time.Duration(0); now < 100*sec; now += 3 * sec {
			for k, g := range table.groups {
				got, ok := table.Read(now, k.Subject, k.Kind)
				var want *register
				better := func(r, other register) bool {
					end, otherEnd := r.createdAt+r.value.For, other.createdAt+other.value.For
					switch {
					case r.retired() != other.retired():
						return other.retired()
					case k.Kind == Wait && end != otherEnd:
						return end > otherEnd
					case k.Kind == ListVersion && r.value.Number != other.value.Number:
						return r.value.Number > other.value.Number
					}
					return r.createdAt > other.createdAt
				}
				for i, r := range g.regs {
					expired := now-r.createdAt > r.ttl || k.Kind == Wait && r.value.For <= now-r.createdAt
					if !expired && (want == nil || better(r, *want)) {
						want = &g.regs[i]
					}
				}
				if ok != (want != nil) {
					t.Fatalf("at %v %v: read %v, want %v", now, k, got, want)
				}
				if !ok {
					continue
				}
				ev := Evidence{Value: want.value, Age: now - want.createdAt, Origin: want.origin.name, Epoch: want.epoch, Seq: want.seq, Retired: want.retired()}
				if k.Kind == Wait {
					ev.Remaining = want.createdAt + want.value.For - now
				}
				if d := cmp.Diff(ev, got); d != "" {
					t.Fatalf("at %v %v:\n%s", now, k, d)
				}
			}
		}
		table.RemoveEndpoint(0, "e1")
		table.Evict(0, table.Len()/2, math.MaxInt64)
		if table.Sweep(24 * time.Hour); table.Len() != 0 || table.Bytes() != 0 || len(table.groups)+len(table.origins)+len(table.removed) != 0 {
			t.Fatalf("after everything expired: %d facts, %d bytes, %v", table.Len(), table.Bytes(), table.origins)
		}
	})
}

func newFact(origin string, epoch, seq uint64, ttl time.Duration) Fact {
	return Fact{Subject: Subject{7, "e1"}, Kind: Limit, Value: Value{100, sec}, Origin: origin, Epoch: epoch, Seq: seq, TTL: ttl}
}

func TestExpiredStillSupersedes(t *testing.T) {
	table := New(testLimits())
	_, _ = table.Merge(0, newFact("a", 1, 2, 5*sec))
	table.Sweep(20 * sec)
	older := newFact("a", 1, 1, time.Hour)
	older.Age = 21 * sec
	if change, err := table.Merge(20*sec, older); change != Unchanged || err != nil {
		t.Fatalf("an earlier fact was accepted after a later one had expired: %v, %v", change, err)
	}
	if ev, ok := table.Read(20*sec, older.Subject, Limit); ok {
		t.Fatalf("read %+v", ev)
	}
	if n := table.Sweep(time.Hour + sec); n != 1 || table.Len() != 0 {
		t.Fatalf("swept %d, %d remain", n, table.Len())
	}
}

func TestMergeKeepsOldestOfEqualCopies(t *testing.T) {
	table, f := New(testLimits()), newFact("a", 1, 1, time.Minute)
	for _, step := range []struct {
		age, read time.Duration
		want      Change
	}{{2 * sec, 2 * sec, Updated}, {3 * sec, 3 * sec, AgeCorrected}, {sec, 3 * sec, Unchanged}, {3 * sec, 3 * sec, Unchanged}} {
		f.Age = step.age
		change, err := table.Merge(0, f)
		if ev, _ := table.Read(0, f.Subject, Limit); change != step.want || err != nil || ev.Age != step.read {
			t.Errorf("merged at age %v: got %v, %v; read age %v", step.age, change, err, ev.Age)
		}
	}
	f.Number, f.Age = f.Number+1, sec // a copy with another value: the larger value wins, whatever its age
	_, _ = table.Merge(0, f)
	f.Number, f.Age = f.Number-1, 9*sec
	if change, _ := table.Merge(0, f); change != Unchanged {
		t.Errorf("the age decided between copies with different values")
	}
}

// A merge inserts its entry into the existing front and removes the entries that it dominates.
func TestFrontIsUpdatedByMerge(t *testing.T) {
	table := New(testLimits())
	for i, sent := range []struct{ age, expires time.Duration }{{9, 20}, {8, 20}, {7, 20}, {6, 60}, {5, 30}, {4, 10}, {10, 90}} {
		f := newFact(string(rune('a'+i)), 1, 1, (sent.expires+sent.age)*sec)
		f.Age = sent.age * sec
		_, _ = table.Merge(0, f)
		table.Read(0, f.Subject, Limit)
	}
	for now, want := range map[time.Duration]string{5: "f", 10: "f", 15: "e", 30: "e", 31: "d", 60: "d", 61: "g", 90: "g", 91: ""} {
		if ev, _ := table.Read(now*sec, Subject{7, "e1"}, Limit); ev.Origin != want {
			t.Errorf("at %d s read %q, want %q", now, ev.Origin, want)
		}
	}
}

func TestRemoveEndpoint(t *testing.T) {
	table := New(testLimits())
	_, _ = table.Merge(0, newFact("a", 1, 1, time.Minute))
	destinationFact := newFact("a", 1, 2, time.Minute)
	destinationFact.Endpoint = ""
	_, _ = table.Merge(0, destinationFact)
	table.RemoveEndpoint(sec, "e1")
	table.RemoveEndpoint(sec, "")
	if _, err := table.Merge(2*sec, newFact("b", 1, 1, time.Minute)); !errors.Is(err, ErrEndpointRemoved) {
		t.Fatalf("a fact about a removed endpoint: got %v, want ErrEndpointRemoved", err)
	}
	if _, ok := table.Read(2*sec, destinationFact.Subject, Limit); !ok || table.Len() != 1 {
		t.Fatalf("the fact about the destination was dropped with its endpoint")
	}
	for i := range 10 { // reaches the limit: e1 would expire first
		table.RemoveEndpoint(2*sec, strings.Repeat("x", i+1))
	}
	if _, err := table.Merge(3*sec, newFact("b", 1, 1, time.Minute)); err != nil || len(table.removed) != 10 {
		t.Fatalf("%d removals are remembered: %v", len(table.removed), err)
	}
}

func TestEvictionOrder(t *testing.T) {
	lim := testLimits()
	lim.Facts = 3
	table := New(lim)
	put := func(origin string, epoch uint64, ttl time.Duration) {
		if _, err := table.Merge(0, newFact(origin, epoch, 1, ttl)); err != nil {
			t.Fatal(err)
		}
	}
	origins := func() (out []string) {
		for _, g := range table.groups {
			for _, r := range g.regs {
				out = append(out, r.origin.name)
			}
		}
		return out
	}
	put("dead", 1, time.Hour)
	_ = table.RaiseEpoch(0, "dead", 2)
	put("short", 1, sec)
	put("long", 1, time.Hour)
	for _, step := range []struct{ add, remaining string }{
		{"n1", "long n1 short"}, // a retired epoch goes first
		{"n2", "long n1 n2"},    // least time to live remaining
		{"n3", "long n2 n3"},    // ties are broken by origin
	} {
		put(step.add, 1, time.Minute)
		if got := strings.Join(origins(), " "); got != step.remaining {
			t.Fatalf("after %s: %s, want %s", step.add, got, step.remaining)
		}
	}
	if n := table.Evict(2*time.Minute, 1, lim.Bytes); n != 2 || strings.Join(origins(), " ") != "long" {
		t.Fatalf("expired facts go first: dropped %d, %v remain", n, origins())
	}
}

func TestCheckNamesTheField(t *testing.T) {
	long := strings.Repeat("x", MaxName+1)
	for _, c := range []struct {
		field   string
		corrupt func(*Fact)
	}{
		{"origin", func(f *Fact) { f.Origin = long }},
		{"origin", func(f *Fact) { f.Origin = "" }},
		{"endpoint", func(f *Fact) { f.Endpoint = long }},
		{"endpoint", func(f *Fact) { f.Endpoint = "\xff" }},
		{"kind", func(f *Fact) { f.Kind = kindEnd }},
		{"dest", func(f *Fact) { f.Dest = -1 }},
		{"number", func(f *Fact) { f.Number = -1 }},
		{"number", func(f *Fact) { f.Number = math.NaN() }},
		{"number", func(f *Fact) { f.Number = math.Inf(1) }},
		{"number", func(f *Fact) { f.Kind, f.Number = ListVersion, 1.5 }},
		{"for", func(f *Fact) { f.For = -1 }},
		{"for", func(f *Fact) { f.For = math.MaxInt64 }},
		{"epoch", func(f *Fact) { f.Epoch = 0 }},
		{"epoch", func(f *Fact) { f.Epoch = MaxEpoch + 1 }},
		{"seq", func(f *Fact) { f.Seq = 0 }},
		{"ttl", func(f *Fact) { f.TTL = 2 * time.Hour }},
		{"ttl", func(f *Fact) { f.TTL = 0 }},
		{"age", func(f *Fact) { f.Age = -1 }},
		{"age", func(f *Fact) { f.Age = f.TTL + 1 }},
	} {
		f := newFact("a", 1, 1, time.Minute)
		c.corrupt(&f)
		table := New(testLimits())
		_, err := table.Merge(0, f)
		var fe *FieldError
		if !errors.As(err, &fe) || fe.Field != c.field || table.Len() != 0 || table.Epoch(f.Origin) != 0 {
			t.Errorf("%s of %+v: got %v, table has %d facts", c.field, f, err, table.Len())
		}
	}
}

func TestNextEpoch(t *testing.T) {
	for name, c := range map[string]struct {
		stored uint64
		wall   int64
		heard  uint64
		want   uint64
	}{
		"first incarnation": {0, 5000, 0, 5000}, "directory kept": {5000, 6000, 0, 6000}, "clock set back": {5000, 10, 0, 5001},
		"directory lost": {0, 6000, 5000, 6000}, "directory lost and clock set back": {0, 10, 5000, 5001},
		"two incarnations in a millisecond": {5000, 5000, 5000, 5001}, "negative clock": {0, -4, 0, 1},
	} {
		if got := NextEpoch(c.stored, c.wall, c.heard); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}

func newTestCodec(t testing.TB) *Codec {
	c, err := NewCodec(100, 16<<10)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestCodec(t *testing.T) {
	c := newTestCodec(t)
	rapid.Check(t, func(t *rapid.T) {
		batch := []Fact{}
		for _, b := range rapid.SliceOfN(rapid.Custom(drawObservation), 0, 30).Draw(t, "facts") {
			f := b.factAt(0)
			f.Number = rapid.Float64Range(0, math.MaxFloat64).Draw(t, "number")
			batch = append(batch, f)
		}
		data, err := c.Encode(batch)
		if err != nil {
			t.Fatal(err)
		}
		got, err := c.Decode(data)
		if d := cmp.Diff(batch, got); err != nil || d != "" {
			t.Fatalf("%v\n%s", err, d)
		}
		maxBytes := 16
		for _, f := range batch {
			maxBytes += f.MaxEncodedSize()
			one, _ := c.EncodeOne(f)
			if got, err := c.DecodeOne(one); err != nil || got != f {
				t.Fatalf("%+v, %v", got, err)
			}
		}
		if len(data) > maxBytes {
			t.Fatalf("%d bytes, MaxEncodedSize allows %d", len(data), maxBytes)
		}
		length := rapid.IntRange(0, len(data)-1).Draw(t, "length")
		if _, err := c.Decode(data[:length]); !errors.Is(err, ErrMalformed) {
			t.Fatalf("truncated to %d of %d bytes: %v", length, len(data), err)
		}
	})
	if _, err := c.Encode(make([]Fact, 101)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("101 facts: %v", err)
	}
	for name, bad := range map[string]struct {
		data []byte
		want error
	}{
		"version 2":         {[]byte{0x82, 2, 0x80}, ErrVersion},
		"indefinite length": {[]byte{0x82, 1, 0x9f, 0xff}, ErrMalformed},
		"null body":         {[]byte{0x82, 1, 0xf6}, ErrMalformed},
		"null fact":         {[]byte{0x82, 1, 0x81, 0xf6}, ErrMalformed},
		"map body":          {[]byte{0x82, 1, 0xa0}, ErrMalformed},
		"long form of 1":    {[]byte{0x82, 0x18, 1, 0x80}, ErrMalformed},
		"trailing bytes":    {[]byte{0x82, 1, 0x80, 0}, ErrMalformed},
		"huge array length": {[]byte{0x82, 1, 0x9a, 0x40, 0, 0, 0}, ErrMalformed},
		"oversized":         {make([]byte, 16<<10+1), ErrTooLarge},
	} {
		if got, err := c.Decode(bad.data); !errors.Is(err, bad.want) {
			t.Errorf("%s: %v, %v", name, got, err)
		}
	}
}

// Whole milliseconds have a short encoding, other durations are exact, and a negative duration is refused.
func TestDurationEncoding(t *testing.T) {
	c := newTestCodec(t)
	f := Fact{Kind: Wait, Value: Value{For: 1500 * time.Millisecond}, Origin: "a", Epoch: 1, Seq: 1, TTL: 30 * sec, Age: 250 * time.Millisecond}
	short, err := c.EncodeOne(f)
	f.For, f.TTL, f.Age = f.For+1, f.TTL-1, f.Age+1
	long, err2 := c.EncodeOne(f)
	if err != nil || err2 != nil || len(long)-len(short) < 10 {
		t.Errorf("%d and %d bytes, %v, %v", len(short), len(long), err, err2)
	}
	for _, d := range []time.Duration{0, 1, time.Millisecond - 1, time.Millisecond, time.Millisecond + 1, sec, MaxValue, MaxValue - 1} {
		if got := decodeDuration(encodeDuration(d)); got != d {
			t.Errorf("%v was decoded as %v", d, got)
		}
	}
	f.Age = -time.Millisecond
	if _, err := c.EncodeOne(f); err == nil {
		t.Error("a negative age was encoded")
	}
}

func FuzzDecode(f *testing.F) {
	c := newTestCodec(f)
	good, _ := c.Encode([]Fact{newFact("a", 1, 1, time.Minute), newFact("b", 3, 2, time.Hour)})
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add([]byte{0x82, 1, 0x80})
	f.Add([]byte{0x82, 1, 0x9f, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		batch, err := c.Decode(data)
		if err != nil {
			return
		}
		table := New(testLimits())
		for _, fact := range batch {
			_, _ = table.Merge(0, fact)
		}
		for fact := range table.Live(0) {
			if err := fact.Check(time.Hour); err != nil {
				t.Errorf("a live fact is invalid: %v", err)
			}
		}
	})
}

// Measures Merge and Read for a key with 300 origins: for the most recent fact, and for one that is not.
func BenchmarkMerge(b *testing.B) {
	for name, step := range map[string]time.Duration{"freshest": 1, "other": 0} {
		b.Run(name, func(b *testing.B) {
			table, f, now := New(DefaultLimits()), newFact("", 1, 1, time.Minute), time.Duration(0)
			for i := range 300 {
				f.Origin, f.Age = fmt.Sprintf("courier-%03d", i), time.Duration(300-i)
				_, _ = table.Merge(0, f)
			}
			if step == 0 {
				f.Origin, f.Age = "courier-007", sec
			}
			b.ReportAllocs()
			for b.Loop() {
				f.Seq++
				now += step
				_, _ = table.Merge(now, f)
				table.Read(now, f.Subject, f.Kind)
			}
		})
	}
}
