package lab

import (
	"bytes"
	"context"
	"encoding/csv"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"raventrestle/internal/lab/scenario"
)

// program builds the courier and its helper.
func program(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	for _, name := range []string{"raventrestle", "raventrestle-settings"} {
		if out, err := exec.Command("go", "build", "-o", filepath.Join(bin, name), "raventrestle/cmd/"+name).CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
	}
	return filepath.Join(bin, "raventrestle")
}

// A short run of the scenario with real processes: couriers are killed while resends are out, no
// rule is broken, every message that was given up has its dead letter, and some are delivered late that
// are lost without resending. It is the whole way through the program, in half a minute.
func TestUndeliverable(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("starts processes for half a minute")
	}
	ctx, stop := context.WithTimeout(t.Context(), 3*time.Minute)
	defer stop()
	plays, err := Undeliverable(ctx, Options{
		Seeds: []uint64{1}, Program: program(t), Short: true,
		Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	var table bytes.Buffer
	if err := Table(&table, plays); err != nil {
		t.Fatal(err)
	}
	t.Logf("\n%s", table.String())
	for _, p := range plays {
		if len(p.Violations) > 0 {
			t.Errorf("seed %d, resending %v:\n%s", p.Seed, p.Resending, strings.Join(p.Violations, "\n"))
		}
	}
	with, without := plays[0], plays[1]
	late, given := 0, 0
	for class, row := range with.Classes {
		late, given = late+row.Late, given+row.Letters
		if n := without.Classes[class].Late + without.Classes[class].Resent; n > 0 {
			t.Errorf("%s: %d resent without resending", class, n)
		}
	}
	if with.Kills == 0 || late == 0 || given == 0 {
		t.Errorf("%d kills, %d letters, %d delivered late", with.Kills, given, late)
	}
}

// A channel comes back cold with dead letters waiting: nobody pushes it over, fresh messages go on being
// delivered, and dead letters go once the channel delivers.
func TestColdReturn(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("starts processes for half a minute")
	}
	rows, err := ColdReturn(t.Context(), []int{500}, Options{Program: program(t), Short: true, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	r := rows[0]
	t.Logf("%+v", r)
	if len(r.Violations) > 0 {
		t.Error(strings.Join(r.Violations, "\n"))
	}
	if r.Resent == 0 || r.InTime*3 < r.Fresh || r.Fresh == 0 {
		t.Errorf("%d letters sent, %d of %d fresh messages in time", r.Resent, r.InTime, r.Fresh)
	}
}

// A day of a scenario, whole: drawn, played, judged, written and read again.
func TestDay(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for half a minute")
	}
	t.Parallel()
	s, err := scenario.Parse("short", []byte(`about: "a short day with a restart"
traffic_s: 6
load: [0.5, 0.5]
full_rate: 30
couriers: 2
classes: {
	a: {allowed: "any", aim_s: 1, deadline_s: 3, worth: 1, late: 0.2, share: 0.5, service_ms: [20, 40]}
	b: {allowed: "once", aim_s: 1, deadline_s: 3, worth: 3, late: 0.2, share: 0.5, service_ms: [20, 40]}
}
channels: plain: {count: 4, headroom: [3, 4]}
restarts: [{how: "kill", couriers: 1, at_s: [2, 3]}]
holds: service: 0.5`))
	if err != nil {
		t.Fatal(err)
	}
	out := t.TempDir()
	day, err := PlayDay(t.Context(), s, 1, out, Options{Program: program(t), Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	if len(day.Violations)+len(day.Failed) > 0 || day.Counts.Taken == 0 || day.Counts.Delivered == 0 {
		t.Fatalf("%+v", day)
	}
	read, err := ReadDay(filepath.Join(out, "short-1.json"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(day, read); diff != "" {
		t.Fatal(diff)
	}
	series, err := os.ReadFile(filepath.Join(out, "short-1.csv"))
	if err != nil {
		t.Fatal(err)
	}
	rows, err := csv.NewReader(bytes.NewReader(series)).ReadAll()
	if err != nil || len(rows) < 7 {
		t.Fatal(len(rows), err)
	}
	taken := 0
	for _, row := range rows[1:] {
		n, err := strconv.Atoi(row[slices.Index(rows[0], "taken")])
		if err != nil {
			t.Fatal(err)
		}
		taken += n
	}
	if taken != day.Counts.Taken {
		t.Fatalf("%d taken in the series, %d in all", taken, day.Counts.Taken)
	}
	old := filepath.Join(out, "old.json")
	if err := os.WriteFile(old, []byte(`{"version": 0}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadDay(old); err == nil || !strings.Contains(err.Error(), "version 0") {
		t.Fatal(err)
	}
}
