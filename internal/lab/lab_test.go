package lab

import (
	"bytes"
	"context"
	"log/slog"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
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
// rule is broken, every message that was given up has its letter, and some are delivered late that
// are lost without resending. It is the whole way through the program, in half a minute.
func TestUndeliverable(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("starts processes for half a minute")
	}
	ctx, stop := context.WithTimeout(t.Context(), 3*time.Minute)
	defer stop()
	plays, err := Undeliverable(ctx, Options{Seeds: []uint64{1}, Program: program(t), Short: true,
		Log: slog.New(slog.DiscardHandler)})
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

// A channel comes back cold with letters waiting: nobody pushes it over, fresh messages go on being
// delivered, and letters go once the channel delivers.
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
