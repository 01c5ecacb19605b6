package wal_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"raventrestle/coordination/wal"
)

// The files below testdata/golden were written by an earlier release through OpenDirectory. Production disks contain files
// of the same format, so never regenerate these to make a test pass.

// goldenStages are the stages of the script of writeGolden, in order. Each has a copy of the directory in testdata/golden.
var goldenStages = []string{"appended", "reopened", "checkpointed", "rolled-over", "checkpointed-again"}

// writeGolden runs a fixed script of appends, restarts and checkpoints in an empty directory, and calls keep after each
// stage.
func writeGolden(t *testing.T, directory string, keep func(stage string)) {
	t.Helper()
	fs, err := wal.OpenDirectory(directory)
	if err != nil {
		t.Fatalf("open the directory: %v, want nil", err)
	}
	number := 0
	appendSome := func(log *wal.Log, calls int) {
		t.Helper()
		for range calls {
			number++
			list := records(fmt.Sprintf("record %d", number), strings.Repeat("x", number*7%50))
			if err := log.Append(list); err != nil {
				t.Fatalf("append %d: %v", number, err)
			}
		}
	}
	log, recovered, err := wal.Open(fs, smallSegments)
	if err != nil || !recovered.Empty {
		t.Fatalf("open an empty directory: error %v, empty %v, want none and true", err, recovered.Empty)
	}
	appendSome(log, 9)
	keep("appended")
	closeLog(t, log)

	if log, _, err = wal.Open(fs, smallSegments); err != nil {
		t.Fatal(err)
	}
	appendSome(log, 1)
	keep("reopened")

	if err := log.Checkpoint([]byte("the first snapshot"), records("state", "", "of three")); err != nil {
		t.Fatal(err)
	}
	keep("checkpointed")
	appendSome(log, 8)
	keep("rolled-over")
	if err := log.Checkpoint([]byte("the second snapshot"), records("newer state")); err != nil {
		t.Fatal(err)
	}
	if err := log.Checkpoint(nil, records("newest state", "beside the same snapshot")); err != nil {
		t.Fatal(err)
	}
	appendSome(log, 3)
	keep("checkpointed-again")
	closeLog(t, log)
}

func closeLog(t *testing.T, log *wal.Log) {
	t.Helper()
	if err := log.Close(); err != nil {
		t.Fatalf("close: %v, want nil", err)
	}
}

// readFiles returns the contents of the files of a directory by name.
func readFiles(t *testing.T, directory string) map[string][]byte {
	t.Helper()
	entries, err := os.ReadDir(directory)
	if err != nil {
		t.Fatal(err)
	}
	files := map[string][]byte{}
	for _, entry := range entries {
		if files[entry.Name()], err = os.ReadFile(filepath.Join(directory, entry.Name())); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

func sameFiles(t *testing.T, stage string, got, want map[string][]byte) {
	t.Helper()
	gotNames, wantNames := slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(want))
	if !slices.Equal(gotNames, wantNames) {
		t.Errorf("%s: files %q, want %q", stage, gotNames, wantNames)
	}
	for _, name := range wantNames {
		if !bytes.Equal(got[name], want[name]) {
			t.Errorf("%s: %s is\n%x, want\n%x", stage, name, got[name], want[name])
		}
	}
}

func goldenPath(parts ...string) string {
	return filepath.Join(append([]string{"testdata", "golden"}, parts...)...)
}

// The current code writes the same bytes and file names as the earlier release.
func TestGoldenFilesAreWrittenAgain(t *testing.T) {
	directory := t.TempDir()
	var stages []string
	writeGolden(t, directory, func(stage string) {
		stages = append(stages, stage)
		sameFiles(t, stage, readFiles(t, directory), readFiles(t, goldenPath(stage)))
	})
	if !slices.Equal(stages, goldenStages) {
		t.Errorf("stages %q, want %q", stages, goldenStages)
	}
}

// A frame larger than maxJoinedFrameBytes, which is written with several writes, has the same format.
func TestGoldenLargeFrame(t *testing.T) {
	directory := t.TempDir()
	sum := largeFrameSum(t, directory)
	want, err := os.ReadFile(goldenPath("large-frame.sha256"))
	if err != nil {
		t.Fatal(err)
	}
	if sum != strings.TrimSpace(string(want)) {
		t.Errorf("a segment with a large frame has the sum %s, want %s", sum, want)
	}
}

func largeFrameSum(t *testing.T, directory string) string {
	t.Helper()
	fs, err := wal.OpenDirectory(directory)
	if err != nil {
		t.Fatal(err)
	}
	log, _, err := wal.Open(fs, wal.Config{})
	if err != nil {
		t.Fatal(err)
	}
	defer closeLog(t, log)
	if err := log.Append(records(strings.Repeat("large", 20<<10), "small")); err != nil {
		t.Fatal(err)
	}
	files := readFiles(t, directory)
	if len(files) != 1 {
		t.Fatalf("%d files, want 1", len(files))
	}
	for _, body := range files {
		sum := sha256.Sum256(body)
		return hex.EncodeToString(sum[:])
	}
	return ""
}

// goldenContent formats recovered content as in the files testdata/golden/STAGE.txt.
func goldenContent(recovered wal.Recovered) string {
	var out strings.Builder
	fmt.Fprintf(&out, "snapshot %q\ntorn %v\n", recovered.Snapshot, recovered.TornTail)
	for _, record := range recovered.Records {
		fmt.Fprintf(&out, "%q\n", record)
	}
	return out.String()
}

// The current code recovers from the earlier release's files what that release recovered, appends to them, and recovers
// the result. One of the directories ends in a torn frame.
func TestGoldenFilesAreRecovered(t *testing.T) {
	for _, stage := range append(slices.Clone(goldenStages), "torn") {
		t.Run(stage, func(t *testing.T) {
			directory := t.TempDir()
			if err := os.CopyFS(directory, os.DirFS(goldenPath(stage))); err != nil {
				t.Fatal(err)
			}
			fs, err := wal.OpenDirectory(directory)
			if err != nil {
				t.Fatal(err)
			}
			log, recovered, err := wal.Open(fs, smallSegments)
			if err != nil {
				t.Fatal(err)
			}
			want, err := os.ReadFile(goldenPath(stage + ".txt"))
			if err != nil {
				t.Fatal(err)
			}
			if got := goldenContent(recovered); got != string(want) {
				t.Fatalf("recovered\n%s, want\n%s", got, want)
			}
			if recovered.WriteError != nil {
				t.Fatalf("write error %v, want nil", recovered.WriteError)
			}
			if err := log.Append(records("later")); err != nil {
				t.Fatal(err)
			}
			closeLog(t, log)
			log, after, err := wal.Open(fs, smallSegments)
			if err != nil {
				t.Fatal(err)
			}
			defer closeLog(t, log)
			wantAfter := append(texts(recovered.Records), "later")
			if got := texts(after.Records); !slices.Equal(got, wantAfter) {
				t.Errorf("after an append: %q, want %q", got, wantAfter)
			}
			if !bytes.Equal(after.Snapshot, recovered.Snapshot) {
				t.Errorf("after an append: snapshot %q, want %q", after.Snapshot, recovered.Snapshot)
			}
		})
	}
}
