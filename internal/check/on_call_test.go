package check_test

import (
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// root is the root of the repository.
const root = "../.."

const onCallPage = root + "/docs/operators/on-call.md"

// TestOnCallPageHasTheLogEventsOfTheCode holds the tables of log events against the code: names, levels and keys, in both
// directions.
func TestOnCallPageHasTheLogEventsOfTheCode(t *testing.T) {
	control := controlEvents(t)
	maps.Copy(control, replicaEvents(t))
	for _, program := range []struct {
		heading string
		events  map[string]logEvent
		minimum int // that a working search of the code finds
	}{
		{"### Log events of raventrestle-control", control, 18},
		{"### Log events of raventrestle-router", routerEvents(t), 13},
	} {
		t.Run(strings.TrimPrefix(program.heading, "### Log events of "), func(t *testing.T) {
			if len(program.events) < program.minimum {
				t.Errorf("got %d events in the code, want %d at least: does the search still fit the code?",
					len(program.events), program.minimum)
			}
			described := describedEvents(t, section(t, program.heading))
			for name, want := range program.events {
				got, found := described[name]
				switch {
				case !found:
					t.Errorf("event %s of the code: got no row on the page, want one", name)
				case got.level != want.level:
					t.Errorf("event %s: got level %s on the page, want %s", name, got.level, want.level)
				case !slices.Equal(got.keys, want.keys):
					t.Errorf("event %s: got keys %q on the page, want %q", name, got.keys, want.keys)
				}
			}
			for name := range described {
				if _, found := program.events[name]; !found {
					t.Errorf("event %s of the page: got none in the code, want one", name)
				}
			}
		})
	}
}

// TestOnCallSymptomsNameEventsOfTheCode checks the events that the table of symptoms sends its reader to.
func TestOnCallSymptomsNameEventsOfTheCode(t *testing.T) {
	known := controlEvents(t)
	maps.Copy(known, replicaEvents(t))
	maps.Copy(known, routerEvents(t))
	rows := tableRows(section(t, "### From symptom to event to command"), "symptom")
	if len(rows) == 0 {
		t.Fatal("got no row of symptoms, want some")
	}
	for _, row := range rows {
		for _, name := range quoted(row[1]) {
			if _, found := known[name]; !found {
				t.Errorf("symptom %q: got event %s, want one of the code", row[0], name)
			}
		}
	}
}

// TestOnCallPageHasTheErrorsOfTheCode checks that each fixed text of an error that an operator, an endpoint or a router's
// log may show stands on the page.
func TestOnCallPageHasTheErrorsOfTheCode(t *testing.T) {
	page := readFile(t, onCallPage)
	for _, source := range []struct {
		file    string
		minimum int
	}{
		{"internal/control/api/errors.go", 8},
		{"internal/control/host/commands.go", 2},
		{"internal/router/subscription/types.go", 8},
		{"internal/router/stream/relay.go", 1},
	} {
		t.Run(source.file, func(t *testing.T) {
			texts := errorTexts(t, filepath.Join(root, source.file))
			if len(texts) < source.minimum {
				t.Errorf("got %d texts in the code, want %d at least", len(texts), source.minimum)
			}
			for _, text := range texts {
				if text = strings.TrimPrefix(text, "subscription: "); !strings.Contains(page, text) {
					t.Errorf("error %q of the code: got none on the page, want it", text)
				}
			}
		})
	}
}

// TestOnCallPageHasTheStatusesOfTheCode checks that each status that the code answers with has a row on the page.
func TestOnCallPageHasTheStatusesOfTheCode(t *testing.T) {
	for _, interfaces := range []struct {
		directory, heading string
		notOwn             []int // used to judge an endpoint's answer, or for success
		minimum            int
	}{
		{"internal/control/api", "### Answers of the control API", []int{http.StatusOK}, 7},
		{
			"internal/router/ingress", "### Answers of a router", []int{
				http.StatusOK, http.StatusNoContent, http.StatusNotModified, http.StatusForbidden, http.StatusMisdirectedRequest,
			}, 13,
		},
	} {
		t.Run(interfaces.directory, func(t *testing.T) {
			described := make(map[int]bool)
			for _, row := range tableRows(section(t, interfaces.heading), "status") {
				for _, number := range regexp.MustCompile(`\b[1-5][0-9][0-9]\b`).FindAllString(row[0], -1) {
					status, err := strconv.Atoi(number)
					if err != nil {
						t.Fatal(err)
					}
					described[status] = true
				}
			}
			found := 0
			for status := range statuses(t, interfaces.directory) {
				if slices.Contains(interfaces.notOwn, status) {
					continue
				}
				found++
				if !described[status] {
					t.Errorf("status %d of %s: got no row on the page, want one", status, interfaces.directory)
				}
			}
			if found < interfaces.minimum {
				t.Errorf("got %d statuses in the code, want %d at least", found, interfaces.minimum)
			}
		})
	}
}

// TestOnCallPageHasTheReasonsOfTheRouter checks the reasons for which a router answers by itself, in both directions.
func TestOnCallPageHasTheReasonsOfTheRouter(t *testing.T) {
	described := make(map[string]int)
	for _, row := range tableRows(section(t, "### Answers of a router"), "status") {
		if len(row) != 4 {
			t.Fatalf("row %q: got %d columns, want 4", row, len(row))
		}
		for _, name := range quoted(row[3]) {
			described[name]++
		}
	}
	reasons := constantsWithPrefix(t, "internal/router/ingress", "reason")
	if len(reasons) < 20 {
		t.Errorf("got %d reasons in the code, want 20 at least", len(reasons))
	}
	for _, name := range reasons {
		if described[name] != 1 {
			t.Errorf("reason %s of the code: got %d rows on the page, want 1", name, described[name])
		}
	}
	for name := range described {
		if !slices.Contains(reasons, name) {
			t.Errorf("reason %s of the page: got none in the code, want one", name)
		}
	}
}

// describedEvents reads the tables of a section whose first column is the event.
func describedEvents(t *testing.T, text string) map[string]logEvent {
	t.Helper()
	events := make(map[string]logEvent)
	for _, row := range tableRows(text, "event") {
		if len(row) != 5 {
			t.Fatalf("row %q: got %d columns, want 5", row, len(row))
		}
		names := quoted(row[0])
		if len(names) != 1 {
			t.Fatalf("row %q: got %d names in its first column, want 1", row, len(names))
		}
		if _, twice := events[names[0]]; twice {
			t.Errorf("event %s: got two rows, want one", names[0])
		}
		keys := quoted(row[2])
		slices.Sort(keys)
		events[names[0]] = logEvent{level: row[1], keys: keys}
		for i, column := range []string{"meaning", "first action"} {
			if row[3+i] == "" {
				t.Errorf("event %s: got no %s, want one", names[0], column)
			}
		}
	}
	return events
}

// section is the text below a heading of the on-call page, up to the next heading.
func section(t *testing.T, heading string) string {
	t.Helper()
	_, after, found := strings.Cut(readFile(t, onCallPage), "\n"+heading+"\n")
	if !found {
		t.Fatalf("got no heading %q on the page, want it", heading)
	}
	if next := regexp.MustCompile(`(?m)^##+ `).FindStringIndex(after); next != nil {
		after = after[:next[0]]
	}
	return after
}

// tableRows are the rows of the tables whose first column has this title.
func tableRows(text, title string) [][]string {
	var rows [][]string
	inTable := false
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "|") {
			inTable = false
			continue
		}
		row := strings.Split(strings.Trim(line, "|"), "|")
		for i := range row {
			row[i] = strings.TrimSpace(row[i])
		}
		switch {
		case row[0] == title:
			inTable = true
		case inTable && !strings.HasPrefix(row[0], "---"):
			rows = append(rows, row)
		}
	}
	return rows
}

// quoted are the parts of a text in backquotes.
func quoted(text string) []string {
	var parts []string
	for _, match := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(text, -1) {
		parts = append(parts, match[1])
	}
	return parts
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
