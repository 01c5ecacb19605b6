package learned

// These tests check that snapshots keep their stored form. The files in testdata/golden are as build 73ca247 wrote them
// and are never regenerated: the snapshot file, and the JSON in it, which a courier that hands over to its successor also
// writes to its journal.

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"raventrestle"
	"raventrestle/internal/goldentest"
	"raventrestle/internal/net/nettest"
)

const (
	goldenFile = "testdata/golden/beliefs"
	goldenJSON = "testdata/golden/learned.json" // the JSON of goldenFile, indented
)

// goldenSnapshot sets every field, each to a different value.
func goldenSnapshot() Snapshot {
	route := func(n int) *raventrestle.LearnedRoute {
		f, d := float64(n)+0.5, time.Duration(n)
		return &raventrestle.LearnedRoute{
			Limit: f, Rate: f + 1, Tokens: f + 2, Threshold: f + 3, SentRate: f + 4, SentRateAt: d + 5, LimitReported: n%2 == 0, AllSuspended: n%2 == 1,
			RefilledAt: d + 6, RateReducedAt: d + 7, WaitUntil: d + 8, OutageAt: d + 9, LastOK: d + 10, NextAt: d + 11, Mean: d + 12, Dev: d + 13, Fails: n + 14, N: n + 15,
		}
	}
	target := raventrestle.LearnedTarget{
		Target: "target-1", Health: 2, Fails: 3, Mean: 4, NormalRate: 5.5, FailureCount: 6.5, CallCount: 7.5, CountsAt: 8, Since: 9, SlowStartAt: 10,
		LastOK: 11, LastSent: 12, SendInterval: 13, Route: route(100),
	}
	return Snapshot{SavedAt: 1_800_000_000 * time.Second, Learned: raventrestle.Learned{
		CallSec: 14.5, Mean: 15, Dev: 16, N: 17, MaxIdleTime: 18, LimitsReported: true,
		Dests: []raventrestle.LearnedDest{
			{Dest: 19, CallSec: 20.5, RejectionsInRow: 21, DepartedTargetRate: 22.5, ConnLimited: true, Route: route(201), Targets: []raventrestle.LearnedTarget{target}},
			{Dest: 23, Targets: []raventrestle.LearnedTarget{{Target: "target-24"}}},
		},
	}}
}

// goldenDirectory returns a directory with a copy of the stored file.
func goldenDirectory(t *testing.T) string {
	t.Helper()
	return goldentest.CopyFile(t, goldenFile, "beliefs")
}

func TestStoredFileIsReadAndReplacedBySave(t *testing.T) {
	dir := goldenDirectory(t)
	got, err := Load(dir)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(goldenSnapshot(), got); diff != "" {
		t.Errorf("loaded (-want +got):\n%s", diff)
	}
	got.SavedAt, got.N = got.SavedAt+time.Second, 25
	k := NewWriter(dir, nettest.Log)
	k.Save(got)
	k.Close()
	again, err := Load(dir)
	if diff := cmp.Diff(got, again); err != nil || diff != "" {
		t.Errorf("after saving again: %v\n(-want +got):\n%s", err, diff)
	}
}

func TestSnapshotIsWrittenInTheStoredForm(t *testing.T) {
	want, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	k := NewWriter(dir, nettest.Log)
	k.Save(goldenSnapshot())
	k.Close()
	got, err := os.ReadFile(filepath.Join(dir, "beliefs"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("file (-stored +written):\n%s", diff)
	}
}

// The JSON is compared line by line, so that a failure shows which key changed.
func TestStoredJSONKeepsItsKeys(t *testing.T) {
	want, err := os.ReadFile(goldenJSON)
	if err != nil {
		t.Fatal(err)
	}
	got, err := json.MarshalIndent(goldenSnapshot().Learned, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(strings.TrimSuffix(string(want), "\n"), "\n"), strings.Split(string(got), "\n")); diff != "" {
		t.Errorf("JSON (-stored +written):\n%s", diff)
	}
}
