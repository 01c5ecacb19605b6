package history

// These tests check that the history keeps its file format. The file in testdata/golden is as build 73ca247 wrote it and
// is never regenerated.

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

// goldenRecords returns a record in which each field has a different value, and a record of each kind and outcome.
func goldenRecords() []Record {
	records := []Record{{
		Kind: Decided, At: 1, Courier: "courier-2", Epoch: 3, ID: "id-4", Subject: "subject-5", Peer: "peer-6", PeerEpoch: 7, N: 8,
		Total: 9, From: 10, Until: 11, Age: 12, Window: 13, Version: 14, How: "how-15", What: "what-16",
		Evidence: []Evidence{{ID: "rest-17", Age: 18, MaxAge: 19}}, Members: []string{"member-20", "member-21"},
	}}
	for i, kind := range []Kind{
		Begun, Ended, FactAccepted, Decided, Lent, Borrowed, Returned, LoanEnded, InUse, Charged, MessageAccepted, AttemptBegun, MessageEnded,
		WaitReceived, CallWritten, Proposed, Acknowledged, InEffect, Gap,
	} {
		records = append(records, Record{Kind: kind, At: int64(100 + i), How: kind.String()})
	}
	for i, how := range []string{Delivered, Undeliverable, Deferred, Void, DeadLetterDelivered} {
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

// read returns the records in the content of a file.
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
	w.Write(Record{Kind: MessageAccepted, At: 24, ID: "id-25"})
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.HasPrefix(text, stored) {
		t.Error("the stored records are no longer at the start of the file")
	}
	added := read(t, text)[len(goldenRecords()):]
	for _, i := range []int{0, len(added) - 1} { // the Begun and Ended records have the time of the test
		added[i].At = 0
	}
	want := []Record{{Kind: Begun, Courier: "courier-22", Epoch: 23}, {Kind: MessageAccepted, At: 24, ID: "id-25"}, {Kind: Ended}}
	if diff := cmp.Diff(want, added); diff != "" {
		t.Errorf("records of the next process (-want +got):\n%s", diff)
	}
}
