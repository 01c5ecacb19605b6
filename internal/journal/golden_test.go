package journal

// The stored form of the journal, as the build 73ca247 wrote it. The files in testdata/golden are never written
// anew: a courier that is upgraded finds the journal of the build before, and a courier that is put back to an
// earlier build finds this one's.

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
	goldenFile = "testdata/golden/journal"      // as a life left it
	goldenNext = "testdata/golden/journal.next" // as the next life writes it anew at its start
	goldenText = "testdata/golden/records.txt"  // name and bytes in hex of each kind of record, one a line
)

func goldenMessage(id string) *Message {
	return &Message{
		ID: id, Key: "key-2", Class: "class-3", Tenant: "tenant-4", Dest: -5, Until: 1<<62 + 6, Body: []byte("body\xa7R\n7"),
		Since: 8_000_000_000, Resend: 9, Terms: "10 terms",
	}
}

// goldenRecords has each kind of record with every field set, by the name of its line in goldenText.
func goldenRecords() map[string][]Record {
	out := Try{Peer: "peer-11", Zone: "zone-12", At: 13}
	kept := Kept{goldenMessage("id-14"), Progress{
		Tries: 5, Out: &Try{"peer-15", "zone-16", 17}, Ran: &Try{"peer-18", "zone-19", 20},
		Owed: &End{Deferred: true, AgainMS: 21}, Handed: true, Past: []Tried{{Try{"peer-18", "zone-19", 20}, "outcome-22"}},
	}}
	return map[string][]Record{
		"taken":         {Taken(goldenMessage("id-1"))},
		"begun":         {Begun("id-1", out)},
		"never ran":     {NeverRan("id-1", "outcome-23")},
		"may have run":  {MayHaveRun("id-1", "outcome-24")},
		"prior":         {Prior("id-1", out)},
		"ended":         {Ended("id-1", End{Deferred: false, AgainMS: 25})},
		"deferred":      {Ended("id-1", End{Deferred: true, AgainMS: 26})},
		"over":          {Over("id-1")},
		"handed":        {Handed("id-1")},
		"adopted":       {Adopted(Kept{Message: goldenMessage("id-1")})[0]},
		"counted":       {{kind: counted, id: "id-1", n: 27}},
		"settled":       {Settled()},
		"wait":          {Wait("peer-28", 29)},
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

// Builds before Message had Since, Resend and Terms, and before tries had outcomes, left shorter records.
func TestRecordsOfOlderBuildsAreRead(t *testing.T) {
	lines := goldenLines(t)
	older := goldenMessage("id-1")
	older.Since, older.Resend, older.Terms = 0, 0, ""
	old := goldenMessage("id-1")
	old.Terms = ""
	for name, want := range map[string]Record{
		"taken, without since":          Taken(older),
		"taken, without terms":          Taken(old),
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

func goldenKept() []Kept {
	first, second, third := Try{"peer-1", "zone-1", 101}, Try{"peer-2", "zone-2", 102}, Try{"peer-3", "zone-3", 103}
	return []Kept{
		{goldenMessage("fresh"), Progress{}},
		{goldenMessage("out"), Progress{Tries: 2, Out: &second, Past: []Tried{{first, "full"}}}},
		{goldenMessage("ran"), Progress{
			Tries: 3, Ran: &second,
			Past: []Tried{{first, "connect_failed"}, {second, "timeout"}, {third, "full"}},
		}},
		{goldenMessage("resent"), Progress{Tries: 1, Out: &third, Ran: &first, Prior: &first}},
		{goldenMessage("owed"), Progress{Owed: &End{Deferred: true, AgainMS: 1500}}},
		{goldenMessage("handed"), Progress{Handed: true}},
	}
}

// goldenHistory is what the life that left goldenFile appended.
func goldenHistory() []Record {
	first, second, third := Try{"peer-1", "zone-1", 101}, Try{"peer-2", "zone-2", 102}, Try{"peer-3", "zone-3", 103}
	return []Record{
		Taken(goldenMessage("fresh")), Taken(goldenMessage("out")), Taken(goldenMessage("ran")), Taken(goldenMessage("over")),
		Begun("over", first), MayHaveRun("over", "delivered"), Over("over"),
		Begun("out", first), NeverRan("out", "full"), Begun("out", second),
		Begun("ran", first), NeverRan("ran", "connect_failed"), Begun("ran", second), MayHaveRun("ran", "timeout"), Begun("ran", third), NeverRan("ran", "full"),
		Taken(goldenMessage("resent")), Prior("resent", first), Begun("resent", third),
		Taken(goldenMessage("owed")), Ended("owed", End{Deferred: true, AgainMS: 1500}),
		Wait("peer-over", 31), Wait("peer-1", 1<<62+32),
		{kind: adopted, id: "handed"},
		Taken(goldenMessage("handed")), Handed("handed"),
		Closing([]byte(`{"left":33}`)),
	}
}

// goldenDirectory returns a folder that holds a copy of the stored journal.
func goldenDirectory(t *testing.T) string {
	t.Helper()
	return goldentest.CopyFile(t, goldenFile, "journal")
}

func TestStoredJournalIsReadAndContinued(t *testing.T) {
	dir := goldenDirectory(t)
	o := Options{Limit: 1 << 20, Tries: true}
	s, kept, err := Open(dir, o, quiet)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(goldenKept(), kept); diff != "" {
		t.Errorf("kept (-want +got):\n%s", diff)
	}
	if !s.Sound() {
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

	if err := s.Append([]Record{Over("owed"), NeverRan("out", "timeout")}, nil); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s, kept, err = Open(dir, o, quiet)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	continued := goldenKept()
	out := &continued[1]
	out.Past, out.Out = append(out.Past, Tried{*out.Out, "timeout"}), nil
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
	s, _, err := Open(dir, Options{Limit: 1 << 20, Tries: true}, quiet)
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
	for i := range kept { // a follower does not remember tries
		kept[i].Past = nil
	}
	want := Legacy{
		Kept: kept, Waits: map[string]int64{"peer-over": 31, "peer-1": 1<<62 + 32}, Adopted: map[string]bool{"handed": true},
		Closing: true, Left: []byte(`{"left":33}`),
	}
	if diff := cmp.Diff(want, f.Legacy()); diff != "" {
		t.Errorf("legacy (-want +got):\n%s", diff)
	}
}
