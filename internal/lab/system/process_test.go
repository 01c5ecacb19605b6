package system

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A process that SIGTERM ends is excused only while it has written nothing: it listens later.
func TestOnlyAStartingProcessMayEndBySIGTERM(t *testing.T) {
	for name, c := range map[string]struct {
		script string
		broken bool
	}{
		"starting":             {"exec sleep 60", false},
		"has begun":            {"echo started; exec sleep 60", true},
		"fails at its start":   {"trap 'exit 3' TERM; while :; do sleep 0.01; done", true},
		"ends well":            {"trap 'exit 0' TERM; echo started; while :; do sleep 0.01; done", false},
		"ends by another kill": {"trap 'kill -9 $$' TERM; while :; do sleep 0.01; done", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			folder := t.TempDir()
			if err := os.WriteFile(filepath.Join(folder, "program"), []byte("#!/bin/sh\n"+c.script+"\n"), 0o700); err != nil {
				t.Fatal(err)
			}
			w := &world{options: Options{Out: io.Discard, Programs: folder}, directory: folder, graceSeconds: soakGraceSeconds}
			s := newSoak(w, SoakOptions{Seed: 3})
			if err := os.WriteFile(w.file("router-1.log"), []byte("of the process before\n"), 0o600); err != nil {
				t.Fatal(err)
			}
			p, err := startProcess(w, "program", "router-1", "")
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(300 * time.Millisecond) // the shell has set its trap
			s.terminate(context.Background(), p)
			first := s.checker.first()
			if c.broken && (first == nil || !strings.HasPrefix(first.text, "DRAIN:")) || !c.broken && first != nil {
				t.Errorf("got %v, want broken: %t", first, c.broken)
			}
		})
	}
}
