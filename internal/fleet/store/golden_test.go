package store

// The stored form of the shared facts, as build 73ca247 wrote it. The file in testdata/golden is never rewritten. The
// encoding of each fact is tested in package facts.

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"raventrestle/internal/fleet/facts"
)

const (
	goldenFile  = "testdata/golden/facts.snapshot"
	goldenLimit = 1 << 20
)

var goldenSaved = time.UnixMilli(1_800_000_000_123)

func goldenSnapshot() Snapshot {
	return Snapshot{Name: "courier-1", Epoch: 2, Facts: []facts.Fact{
		{
			Subject: facts.Subject{Dest: 3, Endpoint: "endpoint-4"}, Kind: facts.Limit, Value: facts.Value{Number: 5.5, For: 6 * time.Millisecond},
			Origin: "origin-7", Epoch: 8, Seq: 9, Age: 10, TTL: time.Hour,
		},
		{
			Subject: facts.Subject{Dest: 11}, Kind: facts.Outage, Value: facts.Value{Number: 0.5, For: 12}, Origin: "origin-13", Epoch: 14, Seq: 15,
			Age: 16 * time.Millisecond, TTL: time.Minute,
		},
	}}
}

func TestSnapshotIsWrittenAsStored(t *testing.T) {
	want, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if left, err := Save(dir, goldenLimit, goldenSaved, goldenSnapshot()); left != 0 || err != nil {
		t.Fatalf("save: %d facts left out, %v; want 0 and no error", left, err)
	}
	got, err := os.ReadFile(filepath.Join(dir, "facts.snapshot"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("file (-stored +written):\n%s", diff)
	}
}

func TestStoredSnapshotIsReadAndReplaced(t *testing.T) {
	stored, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "facts.snapshot"), stored, 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := Load(dir, goldenLimit, goldenSaved.Add(20*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	want := Loaded{Snapshot: goldenSnapshot(), Age: 21 * time.Millisecond}
	for i := range want.Facts {
		want.Facts[i].Age += want.Age
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("loaded (-want +got):\n%s", diff)
	}

	next := got.Snapshot
	next.Epoch++
	if left, err := Save(dir, goldenLimit, goldenSaved, next); left != 0 || err != nil {
		t.Fatalf("save over it: %d facts left out, %v; want 0 and no error", left, err)
	}
	again, err := Load(dir, goldenLimit, goldenSaved)
	if err != nil || again.Epoch != 3 || len(again.Facts) != 2 {
		t.Errorf("of the life after: epoch %d and %d facts, %v; want 3, 2 and no error", again.Epoch, len(again.Facts), err)
	}
}
