package history

// The stored form of a courier's history, as the build 73ca247 wrote it. The file in testdata/golden is never written
// anew.

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

const goldenFile = "testdata/golden/history"

// goldenRecords has a record of each kind, and one in which each field is set to another value.
func goldenRecords() []Record {
	records := []Record{{
		Kind: Decided, At: 1, Courier: "courier-2", Epoch: 3, ID: "id-4", Subject: "subject-5", Peer: "peer-6", PeerEpoch: 7, N: 8,
		Whole: 9, From: 10, Until: 11, Age: 12, Window: 13, Version: 14, How: "how-15", What: "what-16",
		Rests: []Rest{{ID: "rest-17", Age: 18, Bound: 19}}, Members: []string{"member-20", "member-21"},
	}}
	for i, kind := range []Kind{
		Begun, Ended, FactTaken, Decided, Lent, Borrowed, Returned, LoanEnded, InUse, Charged, TakenOn, TryBegun, MessageEnded,
		WaitHeard, CallWritten, Proposed, Acknowledged, InForce, Gap,
	} {
		records = append(records, Record{Kind: kind, At: int64(100 + i), How: kind.String()})
	}
	for i, how := range []string{Delivered, Undeliverable, Deferred, Void, LetterDelivered} {
		records = append(records, Record{Kind: MessageEnded, At: int64(200 + i), How: how})
	}
	return records
}

func TestRecordsAreWrittenAsStored(t *testing.T) {
	want, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	got := []byte(Header)
	for _, r := range goldenRecords() {
		if got, err = Append(got, r); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("file (-stored +written):\n%s", diff)
	}
}

// read returns the records of a file's text, each as the CBOR in it tells.
func read(t *testing.T, text []byte) (records []Record) {
	t.Helper()
	complete, err := Scan(bytes.NewReader(text), func(b []byte) error {
		var r Record
		if err := cbor.Unmarshal(b, &r); err != nil {
			return fmt.Errorf("record %d: %w", len(records), err)
		}
		records = append(records, r)
		return nil
	})
	if err != nil || complete != int64(len(text)) {
		t.Fatalf("read %d of %d bytes: %v", complete, len(text), err)
	}
	return records
}

func TestStoredHistoryIsReadAndContinued(t *testing.T) {
	stored, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(goldenRecords(), read(t, stored)); diff != "" {
		t.Errorf("records (-want +got):\n%s", diff)
	}
	path := filepath.Join(t.TempDir(), "history")
	if err := os.WriteFile(path, stored, 0o600); err != nil {
		t.Fatal(err)
	}
	w, err := Create(path, "courier-22", 23, 0)
	if err != nil {
		t.Fatal(err)
	}
	w.Write(Record{Kind: TakenOn, At: 24, ID: "id-25"})
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.HasPrefix(text, stored) {
		t.Error("the stored records are no longer at the head of the file")
	}
	added := read(t, text)[len(goldenRecords()):]
	for _, i := range []int{0, len(added) - 1} { // begin and end have the time of the test
		added[i].At = 0
	}
	want := []Record{{Kind: Begun, Courier: "courier-22", Epoch: 23}, {Kind: TakenOn, At: 24, ID: "id-25"}, {Kind: Ended}}
	if diff := cmp.Diff(want, added); diff != "" {
		t.Errorf("records of the life after (-want +got):\n%s", diff)
	}
}
