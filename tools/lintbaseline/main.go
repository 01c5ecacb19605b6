// Command lintbaseline holds a report of golangci-lint against the findings that are still allowed.
//
// The baseline lists, for each directory and rule, how many findings earlier code has left. It may only shrink: a count
// above it fails, and so does one below it until the baseline has been lowered with -lower, which never raises a count
// and never adds a line. Tests of what the program decides are in main_test.go.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// finding is one entry of the linter's JSON report.
type finding struct {
	FromLinter string
	Text       string
	Pos        struct {
		Filename string
		Line     int
	}
}

// rule is a rule of one linter in one directory.
type rule struct {
	directory string
	name      string // linter, with the rule's own code where the linter has several
}

// counts holds how many findings each rule has.
type counts map[rule]int

func main() {
	report := flag.String("report", "", "JSON report of golangci-lint")
	baseline := flag.String("baseline", "tools/lint-baseline.txt", "allowed findings: FOLDER RULE COUNT on each line")
	lower := flag.Bool("lower", false, "write lower counts to the baseline; no count is raised")
	flag.Parse()
	if err := run(*report, *baseline, *lower, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "lintbaseline:", err)
		os.Exit(1)
	}
}

func run(report, baseline string, lower bool, out io.Writer) error {
	findings, err := readReport(report)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(baseline)
	if err != nil {
		return err
	}
	allowed, err := parseBaseline(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", baseline, err)
	}
	found := count(findings)
	if lower {
		allowed = lowered(allowed, found)
		if err := os.WriteFile(baseline, []byte(format(allowed)), 0o644); err != nil {
			return err
		}
	}
	return compare(allowed, found, findings, out)
}

func readReport(path string) ([]finding, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var report struct{ Issues []finding }
	if err := json.Unmarshal(text, &report); err != nil {
		return nil, fmt.Errorf("%s is no report of the linter: %w", path, err)
	}
	return report.Issues, nil
}

// ruleOf names the rule that a finding breaks. staticcheck and revive begin their text with the rule's code.
func ruleOf(f finding) rule {
	name := f.FromLinter
	if code, _, has := strings.Cut(f.Text, ":"); has && !strings.Contains(code, " ") {
		name += "/" + code
	}
	return rule{directory: filepath.ToSlash(filepath.Dir(f.Pos.Filename)), name: name}
}

func count(findings []finding) counts {
	found := make(counts)
	for _, f := range findings {
		found[ruleOf(f)]++
	}
	return found
}

func parseBaseline(text string) (counts, error) {
	allowed := make(counts)
	for number, line := range strings.Split(text, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(line, "#") {
			continue
		}
		if len(fields) != 3 {
			return nil, fmt.Errorf("line %d: want FOLDER RULE COUNT, got %q", number+1, line)
		}
		n, err := strconv.Atoi(fields[2])
		if err != nil || n < 1 {
			return nil, fmt.Errorf("line %d: %q is no positive count", number+1, fields[2])
		}
		allowed[rule{directory: fields[0], name: fields[1]}] = n
	}
	return allowed, nil
}

func format(allowed counts) string {
	var text strings.Builder
	text.WriteString("# Findings of the linter that earlier code has left: directory, rule, count. A count may only fall;\n" +
		"# ./check.sh says when it has, and ./lint.sh -lower writes the lower one.\n")
	for _, r := range sorted(allowed) {
		fmt.Fprintf(&text, "%s %s %d\n", r.directory, r.name, allowed[r])
	}
	return text.String()
}

func sorted(of counts) []rule {
	return slices.SortedFunc(maps.Keys(of), func(a, b rule) int {
		return strings.Compare(a.directory+" "+a.name, b.directory+" "+b.name)
	})
}

// lowered is the baseline with each count that has fallen, and without those that are down to zero.
func lowered(allowed, found counts) counts {
	result := make(counts)
	for r, n := range allowed {
		if n = min(n, found[r]); n > 0 {
			result[r] = n
		}
	}
	return result
}

// errChanged is returned when the findings are not those of the baseline.
var errChanged = errors.New("the findings are not those of the baseline")

func compare(allowed, found counts, findings []finding, out io.Writer) error {
	changed := false
	for _, r := range sorted(found) {
		if found[r] <= allowed[r] {
			continue
		}
		changed = true
		fmt.Fprintf(out, "%s: %d findings of %s, %d allowed:\n", r.directory, found[r], r.name, allowed[r])
		for _, f := range findings {
			if ruleOf(f) == r {
				fmt.Fprintf(out, "    %s:%d: %s\n", f.Pos.Filename, f.Pos.Line, f.Text)
			}
		}
	}
	total := 0
	for _, r := range sorted(allowed) {
		total += found[r]
		if found[r] < allowed[r] {
			changed = true
			fmt.Fprintf(out, "%s: %d findings of %s, %d in the baseline: run ./lint.sh -lower\n",
				r.directory, found[r], r.name, allowed[r])
		}
	}
	if changed {
		return errChanged
	}
	fmt.Fprintf(out, "linter: no new finding; %d of earlier code are left in %d rules of folders\n", total, len(allowed))
	return nil
}
