package deadletter

// The stored form of dead letters, as the build 73ca247 wrote it. The files in testdata/golden are never regenerated,
// because a courier that is upgraded or rolled back opens the store of the other build.

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.etcd.io/bbolt"

	"raventrestle"
	"raventrestle/internal/deadletter/rule"
	"raventrestle/internal/goldentest"
)

const (
	goldenFile       = "testdata/golden/letters.db"
	goldenText       = "testdata/golden/letters.txt"  // contents of goldenFile: bucket, key and value, the last two in hex
	goldenDeadLetter = "testdata/golden/letter.json"  // the first of goldenDeadLetters, as operators' commands show it
	goldenStates     = "testdata/golden/states.txt"   // numbers and names of the states
	goldenNumber     = "testdata/golden/effects.json" // numbers of the idempotency levels and deduplication scopes
)

// goldenDeadLetters returns the dead letters of goldenFile. In the first one every field has a different value.
func goldenDeadLetters() []*Message {
	full := &Message{
		ID: "id-1", Key: "key-2", Class: "class-3", Tenant: "tenant-4", Dest: 5, AcceptedAt: 6_000_000_000, ExpiresAt: 7_000_000_000,
		FailedAt: 8_000_000_000, FailureReason: "why-9", Idempotency: raventrestle.NonIdempotent, DedupScope: raventrestle.DedupZone, DedupWindow: 12, Deadline: 13,
		Value:     14.5,
		Attempts:  []Attempt{{Peer: "peer-15", Zone: "floor-16", At: 17, Outcome: "outcome-18"}, {Peer: "peer-19", Zone: "floor-20", At: 21}},
		FirstRun:  &Attempt{Peer: "peer-22", Zone: "floor-23", At: 24, Outcome: "outcome-25"},
		State:     rule.Void,
		Resends:   []Resend{{StartedAt: 26, EndedAt: 27, Result: "result-28", Attempts: []Attempt{{Peer: "peer-29", Zone: "floor-30", At: 31, Outcome: "outcome-32"}}}},
		NotBefore: 33, Requested: true, FinalAt: 34, Body: []byte("body 35"),
	}
	letters := []*Message{full}
	for i, state := range []rule.State{rule.Held, rule.Resending, rule.Delivered, rule.Void, rule.Discarded} {
		l := &Message{
			ID: fmt.Sprint("state-", state), Class: "c", Dest: int64(40 + i), FailedAt: int64(50 + i), Idempotency: raventrestle.Keyed,
			DedupScope: raventrestle.DedupTarget, State: state, Body: []byte{byte(60 + i)},
		}
		if state == rule.Resending {
			l.Resends = []Resend{{StartedAt: 70}}
		}
		letters = append(letters, l)
	}
	for _, l := range letters {
		l.BodySize = len(l.Body)
	}
	return letters
}

// contents lists the contents of the store file, in the order of its buckets and keys.
func contents(t *testing.T, path string) []string {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := db.Close(); err != nil {
			t.Error(err)
		}
	}()
	var lines []string
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
			lines = append(lines, fmt.Sprintf("%s\tsequence\t%d", name, b.Sequence()))
			return b.ForEach(func(k, v []byte) error {
				lines = append(lines, fmt.Sprintf("%s\t%s\t%s", name, hex.EncodeToString(k), hex.EncodeToString(v)))
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

func goldenLines(t *testing.T, path string) []string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
}

// goldenDirectory returns a directory with a copy of the stored file.
func goldenDirectory(t *testing.T) string {
	t.Helper()
	return goldentest.CopyFile(t, goldenFile, "letters.db")
}

func TestStoredDeadLettersAreReadAndContinued(t *testing.T) {
	dir := goldenDirectory(t)
	s := openStore(t, dir, largeOptions)
	if s.Unreadable != 0 || s.Count != len(goldenDeadLetters()) {
		t.Errorf("got %d letters and %d spoilt, want %d and 0", s.Count, s.Unreadable, len(goldenDeadLetters()))
	}
	for _, want := range goldenDeadLetters() {
		got, err := s.Get(want.ID)
		if err != nil {
			t.Fatalf("%s: %v", want.ID, err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", want.ID, diff)
		}
	}
	if err := s.Change([]string{"id-1"}, func(l *Message) error { l.FailureReason = "changed"; return nil }); err != nil {
		t.Fatal(err)
	}
	if err := s.Delete("state-discarded"); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Put(newTestMessage("another", 80, 81, 82)); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}

	s = openStore(t, dir, largeOptions)
	var got []string
	if err := s.Each(func(l *Message) bool { got = append(got, l.ID+" "+l.FailureReason); return true }); err != nil {
		t.Fatal(err)
	}
	want := []string{"id-1 changed", "state-held ", "state-out ", "state-delivered ", "state-void ", "another "}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("letters of the life after (-want +got):\n%s", diff)
	}
}

func TestDeadLettersAreWrittenAsStored(t *testing.T) {
	want := goldenLines(t, goldenText)
	if diff := cmp.Diff(want, contents(t, goldenFile)); diff != "" {
		t.Fatalf("%s and %s differ (-text +file):\n%s", goldenText, goldenFile, diff)
	}
	dir := t.TempDir()
	s := openStore(t, dir, largeOptions)
	if _, err := s.Put(goldenDeadLetters()...); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, contents(t, filepath.Join(dir, "letters.db"))); diff != "" {
		t.Errorf("contents (-stored +written):\n%s", diff)
	}
}

func TestOperatorsSeeADeadLetterAsBefore(t *testing.T) {
	l := goldenDeadLetters()[0]
	got, err := json.MarshalIndent(Item{Message: l, StateName: "status-36", Reason: "reason-37", Explanation: "explanation-38", Permanent: true, Content: l.Body}, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(goldenLines(t, goldenDeadLetter), strings.Split(string(got), "\n")); diff != "" {
		t.Errorf("item (-stored +written):\n%s", diff)
	}
}

func TestNumbersOfStoredStatesStay(t *testing.T) {
	var got []string
	for _, s := range []rule.State{rule.Held, rule.Resending, rule.Delivered, rule.Void, rule.Discarded} {
		got = append(got, fmt.Sprint(uint8(s), " ", s))
	}
	if diff := cmp.Diff(goldenLines(t, goldenStates), got); diff != "" {
		t.Errorf("states (-stored +got):\n%s", diff)
	}
	text, err := os.ReadFile(goldenNumber)
	if err != nil {
		t.Fatal(err)
	}
	var want map[string]uint8
	if err := json.Unmarshal(text, &want); err != nil {
		t.Fatal(err)
	}
	numbers := map[string]uint8{
		"repeatable": uint8(raventrestle.Idempotent), "guarded": uint8(raventrestle.Keyed), "single_shot": uint8(raventrestle.NonIdempotent),
		"group all": uint8(raventrestle.DedupDestination), "group zone": uint8(raventrestle.DedupZone), "group target": uint8(raventrestle.DedupTarget),
	}
	if diff := cmp.Diff(slices.Sorted(maps.Keys(want)), slices.Sorted(maps.Keys(numbers))); diff != "" {
		t.Fatalf("names (-stored +got):\n%s", diff)
	}
	if diff := cmp.Diff(want, numbers); diff != "" {
		t.Errorf("numbers (-stored +got):\n%s", diff)
	}
}
