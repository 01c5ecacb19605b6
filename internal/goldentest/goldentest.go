// Package goldentest has what tests against golden data share. Golden data were written by an earlier build; a test
// that differs from them shows a change of behaviour or of stored bytes. It is for tests only, and never writes golden
// data.
package goldentest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// CompareLines fails the test at the first line in which got differs from the file testdata/golden/name.txt.
func CompareLines(t *testing.T, name string, got []string) {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", "golden", name+".txt"))
	if err != nil {
		t.Fatalf("read the record: %v", err)
	}
	want := strings.Split(strings.TrimSuffix(string(content), "\n"), "\n")
	for i := range min(len(got), len(want)) {
		if got[i] != want[i] {
			t.Fatalf("line %d differs\ngot  %s\nwant %s", i+1, got[i], want[i])
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d lines, want %d", len(got), len(want))
	}
}

// CopyFile returns a new directory that holds a copy of the golden file under a name of its own, for a test that
// continues on it.
func CopyFile(t *testing.T, golden, name string) (directory string) {
	t.Helper()
	content, err := os.ReadFile(golden)
	if err != nil {
		t.Fatalf("read the golden file: %v", err)
	}
	directory = t.TempDir()
	if err := os.WriteFile(filepath.Join(directory, name), content, 0o600); err != nil {
		t.Fatalf("copy the golden file: %v", err)
	}
	return directory
}
