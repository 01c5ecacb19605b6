package historycheck

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

// serverLedger is a Ledger with entries that a test wrote.
type serverLedger struct {
	effects []Effect
	notices []Notice
}

func (s serverLedger) Effects() []Effect { return s.effects }
func (s serverLedger) Notices() []Notice { return s.notices }

// validHistory returns a random history of about n records that follows all rules. Actions overlap. Incarnations end, some
// by a kill, only while no action is in progress.
func validHistory(seed uint64, couriers, n int) (records []Record, ledger serverLedger) {
	rng := rand.New(rand.NewPCG(seed, 1))
	now, epoch := 1000*ms, make([]uint64, couriers)
	name := func(c int) string { return fmt.Sprint("n", c) }
	add := func(courier int, at int64, r Record) {
		r.At, r.Courier, r.Epoch = at, name(courier), epoch[courier]
		records = append(records, r)
	}
	start := func(courier int) { epoch[courier] += 1 + rng.Uint64N(9); add(courier, now, Record{Kind: Begun}) }
	for c := range couriers {
		start(c)
	}
	freeAt, charged := make([]int64, couriers), map[uint64]int64{}
	waitEnds := map[string]int64{}
	for i := 0; len(records) < n; i++ {
		now += rng.Int64N(2 * ms)
		c := rng.IntN(couriers)
		d := (c + 1 + rng.IntN(couriers-1)) % couriers
		id := fmt.Sprint("x", i)
		randomTime := func(maxMs int64) int64 { return now + 1 + rng.Int64N(maxMs*ms) }
		switch end := randomTime(50); rng.IntN(8) {
		case 0, 1:
			add(c, now, Record{Kind: TakenOn, ID: id})
			add(c, end, Record{Kind: TryBegun, ID: id, Subject: "e1"})
			ledger.effects = append(ledger.effects, Effect{At: end + 1, Message: id, Courier: name(c), Subject: "e1", MaxEffects: rng.IntN(2)})
			if rng.IntN(3) > 0 {
				add(c, end+2, Record{Kind: MessageEnded, ID: id, How: Delivered})
				break
			}
			add(d, end+2, Record{Kind: MessageEnded, ID: id, How: Undeliverable}) // courier d has taken over the journal of c
			ledger.notices = append(ledger.notices, Notice{end + 3, id, name(d), Undeliverable}, Notice{end + 4, id, name(d), Undeliverable})
			add(d, end+5, Record{Kind: TryBegun, ID: id, Subject: "e2"})
			add(d, end+6, Record{Kind: MessageEnded, ID: id, How: LetterDelivered})
		case 2:
			until := now + 60*ms
			add(c, now, Record{Kind: Lent, ID: id, Subject: "limit e1", Peer: name(d), N: 5, From: now, Until: until})
			if rng.IntN(4) == 0 { // the response to the borrower was lost
				add(c, until, Record{Kind: LoanEnded, ID: id})
				break
			}
			add(d, end, Record{Kind: Borrowed, ID: id, Subject: "limit e1", Peer: name(c), N: 5, From: now - ms, Until: until - 2*ms})
			add(d, end+2, Record{Kind: Returned, ID: id})
			add(c, end+3, Record{Kind: LoanEnded, ID: id})
		case 3:
			from := max(now, freeAt[c])
			freeAt[c] = from + rng.Int64N(30*ms)
			add(c, now, Record{Kind: InUse, ID: id, Subject: "limit e1", N: 100 / int64(couriers), From: from, Until: freeAt[c], Total: 100})
		case 4:
			window := uint64(now / (20 * ms))
			if amount := rng.Int64N(4); charged[window]+amount <= 10 {
				charged[window] += amount
				add(c, now, Record{Kind: Charged, ID: "r1", Subject: "a", Window: window, N: amount, Total: 10})
			}
		case 5:
			endpoint := fmt.Sprint("e", rng.IntN(3))
			if key := name(c) + endpoint; now >= waitEnds[key] {
				add(c, now, Record{Kind: CallWritten, Subject: endpoint})
				if rng.IntN(4) == 0 {
					waitEnds[key] = now + rng.Int64N(400*ms)
					add(c, now, Record{Kind: WaitHeard, Subject: endpoint, Until: waitEnds[key]})
				}
			}
		case 6:
			fact := Record{Kind: FactTaken, ID: id, What: "limit", Peer: name(c), PeerEpoch: epoch[c]}
			add(c, now, fact)
			fact.Age = end - now - 1
			add(d, end, fact)
			add(d, end+ms, Record{Kind: Decided, How: "send", Evidence: []Rest{{ID: id, Age: end - now + ms, MaxAge: 200 * ms}}})
		case 7:
			if rng.IntN(8) > 0 {
				break
			}
			agreed := Record{ID: "r1", Version: uint64(i), How: "digest" + id}
			withKind := func(k Kind, m ...string) Record { agreed.Kind, agreed.Members = k, m; return agreed }
			add(c, now, withKind(Proposed))
			var members []string
			for member := range couriers {
				add(member, now+1+rng.Int64N(ms), withKind(Acknowledged))
				members = append(members, name(member))
			}
			add(d, now+ms+2, withKind(InForce, members...))
		}
		if rng.IntN(200) == 0 {
			now += 500 * ms
			if rng.IntN(2) == 0 {
				add(c, now, Record{Kind: Ended})
			}
			now++
			start(c)
		}
	}
	now += 500 * ms
	for c := range couriers {
		add(c, now, Record{Kind: Ended})
	}
	return records, ledger
}

func TestValidHistoriesPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, ledger := validHistory(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 9).Draw(t, "couriers"), rapid.IntRange(10, 1500).Draw(t, "records"))
		for _, v := range Check(Merge(records, ledger), DefaultBounds()).Violations {
			t.Fatal(v)
		}
	})
}

func TestEachBrokenRuleIsFound(t *testing.T) {
	indexOf := func(records []Record, k Kind, matches func(Record) bool) int {
		i := slices.IndexFunc(records, func(r Record) bool { return r.Kind == k && (matches == nil || matches(r)) })
		if i < 0 {
			t.Fatalf("no %s in the history", k)
		}
		return i
	}
	appendEdited := func(records []Record, i int, edit func(*Record)) []Record {
		r := records[i]
		edit(&r)
		return append(records, r)
	}
	endedAs := func(how string) func(Record) bool { return func(r Record) bool { return r.How == how } }
	byOther := func(r *Record) { r.At, r.Courier, r.Epoch = r.At+1, "other", 1 }
	for name, mutant := range map[string]struct {
		checker, text string
		edit          func(rs []Record, s *serverLedger) []Record
	}{
		"ended by two couriers": {"one_end", "single end", func(rs []Record, _ *serverLedger) []Record {
			return appendEdited(rs, indexOf(rs, MessageEnded, endedAs(Delivered)), byOther)
		}},
		"attempt after the end": {"one_end", "single end", func(rs []Record, _ *serverLedger) []Record {
			return appendEdited(rs, indexOf(rs, MessageEnded, endedAs(Delivered)), func(r *Record) { r.At, r.Kind = r.At+1, TryBegun })
		}},
		"dead letter delivered twice": {"one_end", "single end", func(rs []Record, _ *serverLedger) []Record {
			return appendEdited(rs, indexOf(rs, MessageEnded, endedAs(LetterDelivered)), byOther)
		}},
		"two effects": {"one_effect", "took effect 2 times", func(rs []Record, s *serverLedger) []Record {
			i := slices.IndexFunc(s.effects, func(e Effect) bool { return e.MaxEffects == 1 })
			s.effects = append(s.effects, s.effects[i])
			return rs
		}},
		"two different notices": {"one_word", `"deferred"`, func(rs []Record, s *serverLedger) []Record {
			notice := s.notices[0]
			notice.How = Deferred
			s.notices = append(s.notices, notice)
			return rs
		}},
		"borrowed more than was lent":       {"loan", "no valid order", func(rs []Record, _ *serverLedger) []Record { rs[indexOf(rs, Borrowed, nil)].N++; return rs }},
		"borrowed for longer than was lent": {"loan", "no valid order", func(rs []Record, _ *serverLedger) []Record { rs[indexOf(rs, Borrowed, nil)].Until += 3 * ms; return rs }},
		"borrowed twice": {"loan", "no valid order", func(rs []Record, _ *serverLedger) []Record {
			return appendEdited(rs, indexOf(rs, Borrowed, nil), byOther)
		}},
		"loan ended before its return": {"loan", "no valid order", func(rs []Record, _ *serverLedger) []Record {
			i := indexOf(rs, Returned, nil)
			return slices.Delete(rs, i, i+1)
		}},
		"more of a right in use than its total": {"rights", "are in use", func(rs []Record, _ *serverLedger) []Record {
			return appendEdited(rs, indexOf(rs, InUse, func(r Record) bool { return r.Until > r.From }), func(r *Record) { byOther(r); r.N = 60 })
		}},
		"two texts of one version": {"agreed", "two texts", func(rs []Record, _ *serverLedger) []Record { rs[indexOf(rs, InForce, nil)].How = "another"; return rs }},
		"in force without an acknowledgement": {"agreed", "before all", func(rs []Record, _ *serverLedger) []Record {
			i := indexOf(rs, Acknowledged, nil)
			return slices.Delete(rs, i, i+1)
		}},
		"return to an older version": {"agreed", "back to 0", func(rs []Record, _ *serverLedger) []Record {
			return appendEdited(rs, indexOf(rs, InForce, nil), func(r *Record) { r.At, r.Version, r.How = r.At+1, 0, "old" })
		}},
		"fact beyond its hard bound": {"stale", "hard bound", func(rs []Record, _ *serverLedger) []Record {
			rs[indexOf(rs, Decided, nil)].Evidence[0].MaxAge = 1
			return rs
		}},
		"fact older than stated": {"stale", "but its true age is", func(rs []Record, _ *serverLedger) []Record { rs[indexOf(rs, FactTaken, nil)].At -= 300 * ms; return rs }},
		"fact never received": {"stale", "never received", func(rs []Record, _ *serverLedger) []Record {
			rs[indexOf(rs, Decided, nil)].Evidence[0].ID = "none"
			return rs
		}},
		"fact of an ended epoch": {"stale", "has ended", func(rs []Record, _ *serverLedger) []Record {
			decision := rs[indexOf(rs, Decided, nil)]
			i := indexOf(rs, FactTaken, func(r Record) bool { return r.ID == decision.Evidence[0].ID })
			return append(rs, Record{Kind: FactTaken, At: decision.At - 1, Courier: decision.Courier, Epoch: decision.Epoch, ID: "newer", Peer: rs[i].Peer, PeerEpoch: rs[i].PeerEpoch + 1})
		}},
		"allowance exceeded": {"allowance", "were charged", func(rs []Record, _ *serverLedger) []Record {
			return appendEdited(rs, indexOf(rs, Charged, nil), func(r *Record) { byOther(r); r.N = 11 })
		}},
		"call during a wait": {"waits", "wrote a call", func(rs []Record, _ *serverLedger) []Record {
			return appendEdited(rs, indexOf(rs, WaitHeard, func(r Record) bool { return r.Until > r.At+200*ms }), func(r *Record) { r.Kind, r.At = CallWritten, r.At+150*ms })
		}},
		"epoch used twice": {"epochs", "started epoch", func(rs []Record, _ *serverLedger) []Record {
			return appendEdited(rs, indexOf(rs, Begun, nil), func(r *Record) { r.At++ })
		}},
	} {
		t.Run(name, func(t *testing.T) {
			records, ledger := validHistory(3, 4, 3000)
			f := Check(Merge(mutant.edit(records, &ledger), ledger), DefaultBounds())
			if len(f.Violations) == 0 {
				t.Fatal("no violation was found")
			}
			for _, v := range f.Violations {
				if v.Checker != mutant.checker || !strings.Contains(v.Text, mutant.text) {
					t.Errorf("reported as %s", v)
				}
				if len(v.Records) == 0 && mutant.checker != "one_word" {
					t.Errorf("no records quoted: %s", v)
				}
			}
		})
	}
}

func TestLostRecordsAreUnproven(t *testing.T) {
	lent := Record{Kind: Lent, At: 10, Courier: "n0", Epoch: 1, ID: "l", Subject: "s", Peer: "n1", N: 5, From: 10, Until: 100}
	records := []Record{
		{Kind: Begun, At: 1, Courier: "n0", Epoch: 1},
		lent,
		{Kind: Begun, At: 1, Courier: "n1", Epoch: 1},
		{Kind: Borrowed, At: 20, Courier: "n1", Epoch: 1, ID: "l", Subject: "s", Peer: "n0", N: 5, From: 5, Until: 90},
		{Kind: Ended, At: 200, Courier: "n1", Epoch: 1},
	}
	for name, test := range map[string]struct {
		records              []Record
		violations, unproven int
	}{
		"complete":                {records, 0, 0},
		"lender was killed":       {slices.Delete(slices.Clone(records), 1, 2), 0, 1},
		"lender dropped a record": {append(slices.Delete(slices.Clone(records), 1, 2), Record{Kind: Gap, At: 11, Courier: "n0", Epoch: 1, N: 1}, Record{Kind: Ended, At: 300, Courier: "n0", Epoch: 1}), 0, 1},
		"lender ended cleanly":    {append(slices.Delete(slices.Clone(records), 1, 2), Record{Kind: Ended, At: 300, Courier: "n0", Epoch: 1}), 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if f := Check(Merge(slices.Clone(test.records), nil), DefaultBounds()); len(f.Violations) != test.violations || f.Unproven != test.unproven {
				t.Fatalf("%+v", f)
			}
		})
	}
}

func TestFileAcrossRestarts(t *testing.T) {
	path := filepath.Join(t.TempDir(), "history")
	for epoch := range uint64(3) {
		writer, err := history.Create(path, "n0", epoch+1, 0)
		if err != nil {
			t.Fatal(err)
		}
		writer.Write(Record{Kind: CallWritten, Subject: fmt.Sprint("e", epoch)})
		if err := writer.Close(); err != nil || writer.Dropped() != 0 {
			t.Fatal(err, writer.Dropped())
		}
		writer.Write(Record{Kind: TakenOn}) // after Close a record is counted as dropped, without a panic
		if writer.Dropped() != 1 || writer.Close() != nil {
			t.Fatal("a record after the end was not counted as dropped")
		}
		text, _ := os.ReadFile(path)
		os.WriteFile(path, text[:len(text)-1], 0o600) // truncates the last record
	}
	h, err := Read([]string{path}, nil)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, r := range h.Records {
		if got = append(got, fmt.Sprintf("%s/%d %s %s", r.Courier, r.Epoch, r.Kind, r.Subject)); r.At == 0 {
			t.Error("a record without a time")
		}
	}
	want := []string{"n0/1 life begun ", "n0/1 call written e0", "n0/2 life begun ", "n0/2 call written e1", "n0/3 life begun ", "n0/3 call written e2"}
	if diff := cmp.Diff(want, got); diff != "" { // the record of each end was truncated
		t.Fatal(diff)
	}
	text, _ := os.ReadFile(path)
	for _, at := range []int{0, len(history.Header) + 3, len(history.Header) + history.FrameBytes + 2} {
		corrupt := slices.Clone(text)
		corrupt[at] ^= 0x40
		os.WriteFile(path, corrupt, 0o600)
		if _, err := Read([]string{path}, nil); !errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), path) {
			t.Errorf("byte %d corrupt: %v", at, err)
		}
		if _, err := history.Create(path, "n0", 9, 0); !errors.Is(err, ErrCorrupt) {
			t.Errorf("byte %d corrupt, appending a new epoch: %v", at, err)
		}
	}
}

func TestWriterIsBounded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "history")
	writer, err := history.Create(path, "n0", 1, 8<<10)
	if err != nil {
		t.Fatal(err)
	}
	const recordsPerWriter, writers = 2000, 8
	var running sync.WaitGroup
	for range writers {
		running.Go(func() {
			for range recordsPerWriter {
				writer.Write(Record{Kind: CallWritten, Subject: "e1"})
			}
		})
	}
	running.Wait()
	if err := writer.Close(); err != nil {
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
	if f, _ := os.Stat(path); f.Size() > 8<<10 || calls+writer.Dropped() != recordsPerWriter*writers || calls == 0 {
		t.Fatalf("%d bytes, %d calls written and %d dropped of %d", f.Size(), calls, writer.Dropped(), recordsPerWriter*writers)
	}
	if last := h.Records[len(h.Records)-1]; last.Kind != Ended || h.Dropped != writer.Dropped() {
		t.Fatalf("the file counts %d dropped records, the writer %d; last record %s", h.Dropped, writer.Dropped(), last)
	}
}

// BenchmarkReadAndCheckMillionRecords reads and checks a history of 1,000,000 records of 32 couriers from files.
func BenchmarkReadAndCheckMillionRecords(b *testing.B) {
	records, ledger := validHistory(1, 32, 1_000_000)
	dir := b.TempDir()
	parts := map[string][]Record{}
	for _, r := range Merge(records, nil).Records {
		parts[r.Courier] = append(parts[r.Courier], r)
	}
	var paths []string
	for name, part := range parts {
		path := filepath.Join(dir, name)
		paths = append(paths, path)
		text := []byte(history.Header)
		for _, r := range part {
			var err error
			if text, err = history.Append(text, r); err != nil { // without the writer, whose mailbox would drop records at this rate
				b.Fatal(err)
			}
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			b.Fatal(err)
		}
	}
	records = nil
	for b.Loop() {
		h, err := Read(paths, ledger)
		if err != nil {
			b.Fatal(err)
		}
		f := Check(h, DefaultBounds())
		b.ReportMetric(float64(len(f.Violations)), "violations")
		b.ReportMetric(float64(len(h.Records)), "records")
	}
}

func BenchmarkWrite(b *testing.B) {
	writer, err := history.Create(filepath.Join(b.TempDir(), "history"), "n0", 1, 1<<30)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		writer.Write(Record{Kind: CallWritten, Subject: "e1"})
	}
	b.ReportMetric(float64(writer.Dropped())/float64(b.N), "dropped/op")
	writer.Close()
}

func TestDeferredMessageMayBeSubmittedAgain(t *testing.T) {
	records := []Record{
		{Kind: Begun, At: 1},
		{Kind: TakenOn, At: 2, ID: "m"},
		{Kind: MessageEnded, At: 3, ID: "m", How: Deferred},
		{Kind: TakenOn, At: 4, ID: "m"},
		{Kind: TryBegun, At: 5, ID: "m"},
		{Kind: MessageEnded, At: 6, ID: "m", How: Delivered},
	}
	for i := range records {
		records[i].Courier, records[i].Epoch = "n0", 1
	}
	if f := Check(Merge(records, nil), DefaultBounds()); len(f.Violations) > 0 {
		t.Error(f.Violations)
	}
	if f := Check(Merge(slices.Delete(slices.Clone(records), 3, 4), nil), DefaultBounds()); len(f.Violations) != 1 || f.Violations[0].Checker != "one_end" {
		t.Errorf("an attempt without a new submission was not reported: %v", f.Violations)
	}
}
