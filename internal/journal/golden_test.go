package journal

// The stored form of the journal, as the build 73ca247 wrote it. The files in testdata/golden are never regenerated,
// because a courier that is upgraded reads the journal of the previous build, and a courier that is rolled back
// reads the journal of this one.

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"raventrestle/internal/goldentest"
)

const (
	goldenFile = "testdata/golden/journal"      // as a process left it
	goldenNext = "testdata/golden/journal.next" // as the next process rewrites it at its start
	goldenText = "testdata/golden/records.txt"  // name and bytes in hex of each kind of record, one per line
)

func goldenMessage(id string) *Message {
	return &Message{
		ID: id, Key: "key-2", Class: "class-3", Tenant: "tenant-4", Dest: -5, ExpiresAt: 1<<62 + 6, Body: []byte("body\xa7R\n7"),
		AcceptedAt: 8_000_000_000, ResendNumber: 9, ClassTerms: "10 terms",
	}
}

// goldenRecords returns each kind of record with every field set, by the name of its line in goldenText.
func goldenRecords() map[string][]Record {
	out := Attempt{Peer: "peer-11", Zone: "zone-12", At: 13}
	kept := MessageState{goldenMessage("id-14"), Progress{
		AttemptCount: 5, InFlight: &Attempt{"peer-15", "zone-16", 17}, FirstRun: &Attempt{"peer-18", "zone-19", 20},
		PendingNotice: &End{Deferred: true, RetryAfterMS: 21}, HandedOver: true, Completed: []CompletedAttempt{{Attempt{"peer-18", "zone-19", 20}, "outcome-22"}},
	}}
	return map[string][]Record{
		"taken":         {Accepted(goldenMessage("id-1"))},
		"begun":         {AttemptBegun("id-1", out)},
		"never ran":     {NeverRan("id-1", "outcome-23")},
		"may have run":  {MayHaveRun("id-1", "outcome-24")},
		"prior":         {PriorRun("id-1", out)},
		"ended":         {Ended("id-1", End{Deferred: false, RetryAfterMS: 25})},
		"deferred":      {Ended("id-1", End{Deferred: true, RetryAfterMS: 26})},
		"over":          {Done("id-1")},
		"handed":        {HandedOver("id-1")},
		"adopted":       {Adopted(MessageState{Message: goldenMessage("id-1")})[0]},
		"counted":       {{kind: kindAttemptCount, id: "id-1", number: 27}},
		"settled":       {PredecessorsRemoved()},
		"wait":          {PeerWait("peer-28", 29)},
		"closing":       {Closing([]byte("left-30"))},
		"adopted whole": Adopted(kept),
	}
}

func goldenLines(t *testing.T) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(goldenText)
	if err != nil {
		t.Fatal(err)
	}
	lines := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		name, digits, ok := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		b, err := hex.DecodeString(digits)
		if !ok || err != nil {
			t.Fatalf("%s: line %q: want a name, a tab and hex digits: %v", goldenText, line, err)
		}
		lines[name] = b
	}
	return lines
}

func TestEachKindOfRecordKeepsItsStoredForm(t *testing.T) {
	lines := goldenLines(t)
	for name, want := range goldenRecords() {
		t.Run(name, func(t *testing.T) {
			stored, ok := lines[name]
			if !ok {
				t.Fatalf("%s has no line %q", goldenText, name)
			}
			var written []byte
			for _, r := range want {
				written = r.append(written)
			}
			if diff := cmp.Diff(stored, written); diff != "" {
				t.Errorf("bytes written (-stored +written):\n%s", diff)
			}
			var got []Record
			if bad := decode(stored, func(r Record) { got = append(got, r) }); bad != 0 {
				t.Errorf("%d bytes of %d are no record, want 0", bad, len(stored))
			}
			if diff := cmp.Diff(want, got, cmp.AllowUnexported(Record{})); diff != "" {
				t.Errorf("records read (-want +got):\n%s", diff)
			}
		})
	}
}

// Builds before Message had AcceptedAt, ResendNumber and ClassTerms, and before attempts had outcomes, wrote shorter
// records.
func TestRecordsOfOlderBuildsAreRead(t *testing.T) {
	lines := goldenLines(t)
	older := goldenMessage("id-1")
	older.AcceptedAt, older.ResendNumber, older.ClassTerms = 0, 0, ""
	old := goldenMessage("id-1")
	old.ClassTerms = ""
	for name, want := range map[string]Record{
		"taken, without since":          Accepted(older),
		"taken, without terms":          Accepted(old),
		"never ran, without outcome":    NeverRan("id-1", ""),
		"may have run, without outcome": MayHaveRun("id-1", ""),
	} {
		t.Run(name, func(t *testing.T) {
			var got []Record
			if bad := decode(lines[name], func(r Record) { got = append(got, r) }); bad != 0 {
				t.Errorf("%d bytes of %d are no record, want 0", bad, len(lines[name]))
			}
			if diff := cmp.Diff([]Record{want}, got, cmp.AllowUnexported(Record{})); diff != "" {
				t.Errorf("records read (-want +got):\n%s", diff)
			}
		})
	}
}

func goldenKept() []MessageState {
	first, second, third := Attempt{"peer-1", "zone-1", 101}, Attempt{"peer-2", "zone-2", 102}, Attempt{"peer-3", "zone-3", 103}
	return []MessageState{
		{goldenMessage("fresh"), Progress{}},
		{goldenMessage("out"), Progress{AttemptCount: 2, InFlight: &second, Completed: []CompletedAttempt{{first, "full"}}}},
		{goldenMessage("ran"), Progress{
			AttemptCount: 3, FirstRun: &second,
			Completed: []CompletedAttempt{{first, "connect_failed"}, {second, "timeout"}, {third, "full"}},
		}},
		{goldenMessage("resent"), Progress{AttemptCount: 1, InFlight: &third, FirstRun: &first, PriorRun: &first}},
		{goldenMessage("owed"), Progress{PendingNotice: &End{Deferred: true, RetryAfterMS: 1500}}},
		{goldenMessage("handed"), Progress{HandedOver: true}},
	}
}

// goldenHistory returns the records that the process that left goldenFile appended.
func goldenHistory() []Record {
	first, second, third := Attempt{"peer-1", "zone-1", 101}, Attempt{"peer-2", "zone-2", 102}, Attempt{"peer-3", "zone-3", 103}
	return []Record{
		Accepted(goldenMessage("fresh")), Accepted(goldenMessage("out")), Accepted(goldenMessage("ran")), Accepted(goldenMessage("over")),
		AttemptBegun("over", first), MayHaveRun("over", "delivered"), Done("over"),
		AttemptBegun("out", first), NeverRan("out", "full"), AttemptBegun("out", second),
		AttemptBegun("ran", first), NeverRan("ran", "connect_failed"), AttemptBegun("ran", second), MayHaveRun("ran", "timeout"), AttemptBegun("ran", third), NeverRan("ran", "full"),
		Accepted(goldenMessage("resent")), PriorRun("resent", first), AttemptBegun("resent", third),
		Accepted(goldenMessage("owed")), Ended("owed", End{Deferred: true, RetryAfterMS: 1500}),
		PeerWait("peer-over", 31), PeerWait("peer-1", 1<<62+32),
		{kind: kindAdopted, id: "handed"},
		Accepted(goldenMessage("handed")), HandedOver("handed"),
		Closing([]byte(`{"left":33}`)),
	}
}

// goldenDirectory returns a directory with a copy of the stored journal.
func goldenDirectory(t *testing.T) string {
	t.Helper()
	return goldentest.CopyFile(t, goldenFile, "journal")
}

func TestStoredJournalIsReadAndContinued(t *testing.T) {
	dir := goldenDirectory(t)
	o := Options{MaxBytes: 1 << 20, RecordAttempts: true}
	s, kept, err := Open(dir, o, discardLogger)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(goldenKept(), kept); diff != "" {
		t.Errorf("kept (-want +got):\n%s", diff)
	}
	if !s.Intact() {
		t.Error("sound: got false, want true")
	}
	want, err := os.ReadFile(goldenNext)
	if err != nil {
		t.Fatal(err)
	}
	renewed, err := os.ReadFile(filepath.Join(dir, "journal"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, renewed); diff != "" {
		t.Errorf("file written anew (-stored +written):\n%s", diff)
	}

	if err := s.Append([]Record{Done("owed"), NeverRan("out", "timeout")}, nil); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s, kept, err = Open(dir, o, discardLogger)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	continued := goldenKept()
	out := &continued[1]
	out.Completed, out.InFlight = append(out.Completed, CompletedAttempt{*out.InFlight, "timeout"}), nil
	continued = append(continued[:4], continued[5])
	if diff := cmp.Diff(continued, kept); diff != "" {
		t.Errorf("kept by the life after (-want +got):\n%s", diff)
	}
}

func TestHistoryOfAnIncarnationIsWrittenAsStored(t *testing.T) {
	want, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	s, _, err := Open(dir, Options{MaxBytes: 1 << 20, RecordAttempts: true}, discardLogger)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Append(goldenHistory(), nil); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(filepath.Join(dir, "journal"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("file (-stored +written):\n%s", diff)
	}
}

func TestStoredJournalIsFollowed(t *testing.T) {
	f := Follow(goldenDirectory(t))
	defer func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	}()
	if fresh, err := f.Poll(); !fresh || err != nil {
		t.Fatalf("poll: got %v, %v, want true and no error", fresh, err)
	}
	kept := goldenKept()
	for i := range kept { // a Follower does not record attempts
		kept[i].Completed = nil
	}
	want := Snapshot{
		Messages: kept, PeerWaits: map[string]int64{"peer-over": 31, "peer-1": 1<<62 + 32}, Adopted: map[string]bool{"handed": true},
		Closing: true, HandoverData: []byte(`{"left":33}`),
	}
	if diff := cmp.Diff(want, f.Snapshot()); diff != "" {
		t.Errorf("legacy (-want +got):\n%s", diff)
	}
}
