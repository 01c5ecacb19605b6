package upgrade

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"raventrestle/internal/journal"
	"raventrestle/internal/net/nettest"
)

// adopter is a courier that adopts messages into its own journal.
type adopter struct {
	*journal.Store
	adoptions map[string]int // number of adoptions in this process, by id
	complete  bool
}

func (h *adopter) Adopt(kept []journal.MessageState) (int, error) {
	for i, k := range kept {
		written := make(chan error, 1)
		if err := h.Append(journal.Adopted(k), func(err error) { written <- err }); err != nil {
			return i, err
		}
		if err := <-written; err != nil {
			return i, err
		}
		h.adoptions[k.ID]++
	}
	return len(kept), nil
}

func (h *adopter) RecordAllAdopted() {
	h.complete = true
	h.Append([]journal.Record{journal.PredecessorsRemoved()}, nil)
}
func (h *adopter) ApplyRetryAfter(map[string]int64)  {}
func (h *adopter) Inherit([]byte)                    {}
func (h *adopter) SetOtherProcess(_ []string, _ int) {}

var errProcessDead = errors.New("the process is dead")

// startProcess claims a directory and takes over once. All writes after the given number fail; 0 means none.
func startProcess(t *testing.T, root string, failingWrite int) (*ProcessDir, *adopter, error) {
	t.Helper()
	dir, err := Claim(root, nettest.Log)
	if err != nil {
		t.Fatal(err)
	}
	writes := 0
	store, kept, err := journal.Open(dir.Path, journal.Options{MaxBytes: 1 << 20, BeforeWrite: func() error {
		if writes++; failingWrite > 0 && writes > failingWrite {
			return errProcessDead
		}
		return nil
	}}, nettest.Log)
	if err != nil || len(kept) > 0 {
		t.Fatal(err, kept)
	}
	h := &adopter{Store: store, adoptions: map[string]int{}}
	_, err = dir.takeOver(h)
	return dir, h, err
}

func newMessage(id string) *journal.Message {
	return &journal.Message{ID: id, Class: "c", Dest: 7, ExpiresAt: 1 << 62, Body: []byte("body of " + id)}
}

// The old process dies at any byte of its handover, and the next one after any of its writes. The process after both finds
// each message once, except one that had ended in the second process, which stays ended.
func TestHandoverSurvivesCrashAtAnyPoint(t *testing.T) {
	const n = 5
	// Writes a complete handover.
	writeHandover := func(state string) (folder string) {
		dir, err := Claim(state, nettest.Log)
		if err != nil {
			t.Fatal(err)
		}
		s, _, err := journal.Open(dir.Path, journal.Options{MaxBytes: 1 << 20}, nettest.Log)
		if err != nil {
			t.Fatal(err)
		}
		for i := range n {
			if err := s.AddMessage(newMessage(fmt.Sprint("m", i))); err != nil {
				t.Fatal(err)
			}
		}
		s.Append([]journal.Record{journal.AttemptBegun("m0", journal.Attempt{Peer: "p", At: 5})}, nil)
		var records []journal.Record
		for i := range n - 1 {
			records = append(records, journal.HandedOver(fmt.Sprint("m", i+1)))
		}
		s.Append(append(records, journal.Closing([]byte("{}"))), nil)
		s.Append([]journal.Record{journal.MayHaveRun("m0", ""), journal.HandedOver("m0")}, nil)
		if err := errors.Join(s.Close(), dir.Release()); err != nil {
			t.Fatal(err)
		}
		return dir.Path
	}
	folder := writeHandover(t.TempDir())
	fullJournal, err := os.ReadFile(filepath.Join(folder, "journal"))
	if err != nil {
		t.Fatal(err)
	}
	for length := len(fullJournal); length > len(fullJournal)*2/3; length-- {
		for failingWrite := range n + 3 {
			state := t.TempDir()
			folder := writeHandover(state)
			if err := os.WriteFile(filepath.Join(folder, "journal"), fullJournal[:length], 0o600); err != nil {
				t.Fatal(err)
			}
			second, h, err := startProcess(t, state, failingWrite+1)
			if err != nil && !errors.Is(err, errProcessDead) {
				t.Fatal(err)
			}
			ended := ""
			if h.adoptions["m2"] > 0 { // it ends in the second process, if that can still write
				if err := h.Append([]journal.Record{journal.Done("m2")}, func(err error) {
					if err == nil {
						ended = "m2"
					}
				}); err != nil {
					t.Fatal(err)
				}
			}
			h.Close()
			for _, e := range second.predecessors { // as the kernel does
				e.lock.Unlock()
			}
			second.Release()
			_, third, err := startProcess(t, state, 0)
			if err != nil {
				t.Fatal(err)
			}
			for i := range n {
				id := fmt.Sprint("m", i)
				want := 1
				if id == ended {
					want = 0
				}
				if third.adoptions[id] != want || h.adoptions[id] > 1 {
					t.Fatalf("journal cut at %d of %d, second process dead at write %d: %s adopted %d times, want %d", length, len(fullJournal), failingWrite+1, id, third.adoptions[id], want)
				}
			}
			names, err := processDirs(state)
			if err != nil || len(names) != 1 || !third.complete {
				t.Fatalf("directories left: %v %v", names, err)
			}
			third.Close()
		}
	}
}

// A message that a second process adopted and ended, while the first one still finished its calls, stays ended after both
// have died. The first process's journal still has it, and only the second one's adoption mark shows that it ended.
func TestMessageEndedInSecondProcessStaysEnded(t *testing.T) {
	state := t.TempDir()
	first, err := Claim(state, nettest.Log)
	if err != nil {
		t.Fatal(err)
	}
	s, _, err := journal.Open(first.Path, journal.Options{MaxBytes: 1 << 20}, nettest.Log)
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"ended", "held", "out"} {
		if err := s.AddMessage(newMessage(id)); err != nil {
			t.Fatal(err)
		}
	}
	s.Append([]journal.Record{journal.AttemptBegun("out", journal.Attempt{Peer: "p", At: 5}), journal.HandedOver("ended"), journal.HandedOver("held"), journal.Closing(nil)}, nil)
	if err := s.Close(); err != nil { // everything is written; its lock is still held
		t.Fatal(err)
	}
	second, h, err := startProcess(t, state, 0)
	if err != nil || h.adoptions["ended"] != 1 || h.adoptions["held"] != 1 || h.adoptions["out"] != 0 {
		t.Fatal(err, h.adoptions)
	}
	h.Append([]journal.Record{journal.Done("ended")}, nil)
	h.Close()
	first.Release()
	second.Release()
	_, third, err := startProcess(t, state, 0)
	if err != nil || third.adoptions["ended"] != 0 || third.adoptions["held"] != 1 || third.adoptions["out"] != 1 {
		t.Fatal(err, third.adoptions)
	}
	third.Close()
}
