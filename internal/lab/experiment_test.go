package lab

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"raventrestle/internal/emulator"
	"raventrestle/internal/lab/experiment"
)

// The test's own program is the couriers' double where this is set.
const doubleVar = "RAVENTRESTLE_TEST_DOUBLE"

func TestMain(m *testing.M) {
	if fault := os.Getenv(doubleVar); fault != "" {
		if err := Double(context.Background(), os.Getenv, fault, os.Stderr); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

func parse(t *testing.T, text string) *experiment.Experiment {
	t.Helper()
	e, err := experiment.Parse("x.cue", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// An experiment that is broken off keeps what is done, and the same one goes on there: each day is played
// once. Another one is refused the folder, and so is a day of another version.
func TestExperimentGoesOn(t *testing.T) {
	seeds := max(4, runtime.NumCPU()) // more days than can be under way at once
	days := 4 * seeds
	text := fmt.Sprintf(`about: "two sides"
scenarios: ["calm", "kills"]
seeds: count: %d
variants: {one: {virtual: true}, two: {virtual: true}}
against: "one"`, seeds)
	e, out := parse(t, text), t.TempDir()
	ctx, stop := context.WithCancel(t.Context())
	var first bytes.Buffer
	r, err := RunExperiment(ctx, e, ".", out, writer(func(p []byte) {
		if first.Write(p); strings.Contains(first.String(), fmt.Sprintf("3 of %d", days)) {
			stop()
		}
	}), Options{})
	done := len(r["one"]) + len(r["two"])
	if !errors.Is(err, context.Canceled) || done < 3 || done == days {
		t.Fatalf("%d days, %v", done, err)
	}
	var second bytes.Buffer
	r, err = RunExperiment(t.Context(), e, ".", out, &second, Options{})
	if err != nil || len(r["one"]) != days/2 || len(r["two"]) != days/2 {
		t.Fatalf("%d and %d days, %v", len(r["one"]), len(r["two"]), err)
	}
	if want := fmt.Sprintf("of %d days", days-done); !strings.Contains(second.String(), want) {
		t.Errorf("no %q in %q", want, second.String())
	}
	var table bytes.Buffer
	if err := ResultsTable(&table, e, r); err != nil {
		t.Fatal(err)
	}
	if want := fmt.Sprintf("two against one, all of them: %d pairs: +0.0000", days/2); !strings.Contains(table.String(), want) {
		t.Errorf("no %q in\n%s", want, table.String())
	}
	if _, err := RunExperiment(t.Context(), parse(t, strings.Replace(text, "kills", "slow", 1)), ".", out, io.Discard, Options{}); err == nil || !strings.Contains(err.Error(), "another experiment") {
		t.Error(err)
	}
	other := parse(t, strings.Replace(text, "two: {virtual: true}", "two: {}", 1))
	if _, err := RunExperiment(t.Context(), other, ".", out, io.Discard, Options{}); err == nil || !strings.Contains(err.Error(), "another experiment") {
		t.Error(err)
	}
	calm, err := Find("calm")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := PlayAll(t.Context(), []Job{{Scenario: calm, Seed: 1, Out: filepath.Join(out, "one")}}, 1, io.Discard); err == nil || !strings.Contains(err.Error(), "a folder of its own") {
		t.Errorf("a day in virtual time taken for one with real processes: %v", err)
	}
	more := parse(t, strings.Replace(text, fmt.Sprint("count: ", seeds), fmt.Sprint("count: ", seeds+1), 1))
	if r, err := RunExperiment(t.Context(), more, ".", out, io.Discard, Options{}); err != nil || len(r["one"]) != days/2+2 {
		t.Errorf("more seeds: %d days, %v", len(r["one"]), err)
	}
	if err := os.WriteFile(filepath.Join(out, "one", "calm-2.json"), []byte(`{"version": 99}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := RunExperiment(t.Context(), more, ".", out, io.Discard, Options{}); err == nil || !strings.Contains(err.Error(), "version 99") {
		t.Error(err)
	}
}

type writer func([]byte)

func (w writer) Write(p []byte) (int, error) {
	w(p)
	return len(p), nil
}

func doubles(t *testing.T, fault string) emulator.Spec {
	t.Helper()
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return emulator.Spec{
		Seed: 1, Couriers: 2, Program: exe, Env: []string{doubleVar + "=" + fault}, Dir: t.TempDir(), Rate: 100, Traffic: 2 * time.Second,
		ReadyTimeout: time.Second, CallSlots: 8, MaxMessages: 100, MemoryMB: 64, DiskMB: 3, Tenants: []string{"h"}, Log: slog.New(slog.DiscardHandler),
		Classes:  []emulator.ClassSpec{{Name: "a", TargetLatency: 100 * time.Millisecond, Deadline: 500 * time.Millisecond, Value: 1, Share: 1}},
		Channels: []emulator.ChannelSpec{{Dest: 1, Kind: "k", Floors: []string{"f"}, Capacity: 50, Queue: 50, Service: map[string][2]time.Duration{"a": {time.Millisecond, 2 * time.Millisecond}}}},
		Done:     func(*emulator.Emulation) bool { return true },
	}
}

// A courier that crashes at its start, never becomes ready, ends by itself or does not end on SIGTERM
// ends the run with its log's end, and leaves no process.
func TestFaultyCourierEndsTheRun(t *testing.T) {
	for fault, want := range map[string]string{FaultCrash: "ended at its start", FaultDeaf: "is not ready", FaultDies: "ended by itself", FaultHang: "does not end on SIGTERM"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			w, err := emulator.New(doubles(t, fault))
			if err != nil {
				t.Fatal(err)
			}
			err = w.Run(t.Context())
			if e := w.Close(); e != nil {
				t.Error(e)
			}
			if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "double: starting, fault: "+fault) {
				t.Errorf("want %q and the log, got %v", want, err)
			}
			for _, c := range w.Couriers {
				if pid := c.PID(); pid != 0 {
					t.Errorf("process %d is left", pid)
				}
			}
		})
	}
}

// The rig's own measurement: the double takes all that comes, and all of it takes effect.
func TestRig(t *testing.T) {
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv(doubleVar, "none")
	rows, err := Rig(t.Context(), []float64{200}, 2*time.Second, nil, Options{Program: exe, Dir: t.TempDir(), Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	if r := rows[0]; r.Asked < 300 || r.Taken < r.Asked*9/10 || r.Delivered < r.Taken*9/10 || r.RSS == 0 {
		t.Errorf("%+v", r)
	}
}

// A courier's port that another process has taken, and that never answers, ends the run, and the error
// says so.
func TestPortInUse(t *testing.T) {
	w, err := emulator.New(doubles(t, "none"))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", w.Couriers[1].Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	err = w.Run(t.Context())
	if e := w.Close(); e != nil {
		t.Error(e)
	}
	if err == nil || !strings.Contains(err.Error(), "courier n1") || !strings.Contains(err.Error(), "address already in use") {
		t.Error(err)
	}
}
