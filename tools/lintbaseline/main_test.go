package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const report = `{"Issues":[
	{"FromLinter":"revive","Text":"exported: exported type A should have comment","Pos":{"Filename":"a/x.go","Line":3}},
	{"FromLinter":"revive","Text":"exported: exported type B should have comment","Pos":{"Filename":"a/y.go","Line":4}},
	{"FromLinter":"errcheck","Text":"Error return value is not checked","Pos":{"Filename":"b/z.go","Line":5}}]}`

func TestFindingsAreHeldAgainstTheBaseline(t *testing.T) {
	tests := []struct {
		name     string
		baseline string
		lower    bool
		want     error
		says     string
		after    string // lines of the baseline afterwards, without comments
	}{
		{"the same counts pass", "a revive/exported 2\nb errcheck 1\n", false, nil, "no new finding", "a revive/exported 2\nb errcheck 1\n"},
		{"one more fails and names its places", "a revive/exported 1\nb errcheck 1\n", false, errChanged, "a/y.go:4", ""},
		{"a rule that the baseline lacks fails", "a revive/exported 2\n", false, errChanged, "b/z.go:5", ""},
		{"one less fails until it is lowered", "a revive/exported 3\nb errcheck 1\n", false, errChanged, "./lint.sh -lower", ""},
		{"lowering writes lower counts", "a revive/exported 3\nb errcheck 1\nc unused 4\n", true, nil, "no new finding", "a revive/exported 2\nb errcheck 1\n"},
		{"lowering raises nothing", "a revive/exported 1\nb errcheck 1\n", true, errChanged, "2 findings of revive/exported, 1 allowed", "a revive/exported 1\nb errcheck 1\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			directory := t.TempDir()
			reportPath, baselinePath := filepath.Join(directory, "report.json"), filepath.Join(directory, "baseline.txt")
			write(t, reportPath, report)
			write(t, baselinePath, test.baseline)
			var out strings.Builder
			if err := run(reportPath, baselinePath, test.lower, &out); !errors.Is(err, test.want) {
				t.Errorf("got error %v, want %v", err, test.want)
			}
			if !strings.Contains(out.String(), test.says) {
				t.Errorf("got output %q, want it to contain %q", out.String(), test.says)
			}
			if test.after == "" {
				return
			}
			if got := lines(t, baselinePath); got != test.after {
				t.Errorf("got baseline %q, want %q", got, test.after)
			}
		})
	}
}

func TestBadLinesOfTheBaselineAreNamed(t *testing.T) {
	for _, line := range []string{"a revive", "a revive many", "a revive 0"} {
		if _, err := parseBaseline("# comment\n" + line + "\n"); err == nil || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("%q: got error %v, want one that names line 2", line, err)
		}
	}
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatalf("write %s: got error %v, want none", path, err)
	}
}

func lines(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("read %s: got error %v, want none", path, err)
	}
	var kept strings.Builder
	for line := range strings.Lines(string(text)) {
		if !strings.HasPrefix(line, "#") {
			kept.WriteString(line)
		}
	}
	return kept.String()
}
