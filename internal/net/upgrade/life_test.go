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

// heir is a courier that adopts into a journal of its own, and dies at a chosen write.
type heir struct {
	*journal.Store
	has     map[string]int // by id, how often adopted in this life
	settled bool
}

func (h *heir) Adopt(kept []journal.MessageState) (int, error) {
	for i, k := range kept {
		heard := make(chan error, 1)
		if err := h.Append(journal.Adopted(k), func(err error) { heard <- err }); err != nil {
			return i, err
		}
		if err := <-heard; err != nil {
			return i, err
		}
		h.has[k.ID]++
	}
	return len(kept), nil
}

func (h *heir) Settled() {
	h.settled = true
	h.Append([]journal.Record{journal.PredecessorsRemoved()}, nil)
}
func (h *heir) Heed(map[string]int64)       {}
func (h *heir) Inherit([]byte)              {}
func (h *heir) Elsewhere(_ []string, _ int) {}

var errDead = errors.New("the process is dead")

// live claims a life in the folder and looks once; it dies at the write of that number, 0 for none.
func live(t *testing.T, state string, deadAt int) (*Life, *heir, error) {
	t.Helper()
	l, err := Claim(state, nettest.Log)
	if err != nil {
		t.Fatal(err)
	}
	writes := 0
	store, kept, err := journal.Open(l.Folder, journal.Options{MaxBytes: 1 << 20, BeforeWrite: func() error {
		if writes++; deadAt > 0 && writes > deadAt {
			return errDead
		}
		return nil
	}}, nettest.Log)
	if err != nil || len(kept) > 0 {
		t.Fatal(err, kept)
	}
	h := &heir{Store: store, has: map[string]int{}}
	_, err = l.look(h)
	return l, h, err
}

func message(id string) *journal.Message {
	return &journal.Message{ID: id, Class: "c", Dest: 7, ExpiresAt: 1 << 62, Body: []byte("body of " + id)}
}

// The old process dies at any byte of its hand-over, and the next one after any of its writes: the life after
// both finds each message once, but for one that the next one had ended, which stays ended.
func TestCrashPoints(t *testing.T) {
	const n = 5
	// A whole hand-over, to know its bytes.
	write := func(state string) (folder string) {
		l, err := Claim(state, nettest.Log)
		if err != nil {
			t.Fatal(err)
		}
		s, _, err := journal.Open(l.Folder, journal.Options{MaxBytes: 1 << 20}, nettest.Log)
		if err != nil {
			t.Fatal(err)
		}
		for i := range n {
			if err := s.AddMessage(message(fmt.Sprint("m", i))); err != nil {
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
		if err := errors.Join(s.Close(), l.Release()); err != nil {
			t.Fatal(err)
		}
		return l.Folder
	}
	folder := write(t.TempDir())
	whole, err := os.ReadFile(filepath.Join(folder, "journal"))
	if err != nil {
		t.Fatal(err)
	}
	for cut := len(whole); cut > len(whole)*2/3; cut-- {
		for deadAt := range n + 3 {
			state := t.TempDir()
			folder := write(state)
			if err := os.WriteFile(filepath.Join(folder, "journal"), whole[:cut], 0o600); err != nil {
				t.Fatal(err)
			}
			second, h, err := live(t, state, deadAt+1)
			if err != nil && !errors.Is(err, errDead) {
				t.Fatal(err)
			}
			ended := ""
			if h.has["m2"] > 0 { // it is over in the second life, where that lives on for so long
				if err := h.Append([]journal.Record{journal.Done("m2")}, func(err error) {
					if err == nil {
						ended = "m2"
					}
				}); err != nil {
					t.Fatal(err)
				}
			}
			h.Close()
			for _, e := range second.before { // as the kernel does
				e.lock.Unlock()
			}
			second.Release()
			_, third, err := live(t, state, 0)
			if err != nil {
				t.Fatal(err)
			}
			for i := range n {
				id := fmt.Sprint("m", i)
				want := 1
				if id == ended {
					want = 0
				}
				if third.has[id] != want || h.has[id] > 1 {
					t.Fatalf("cut at %d of %d, second life dead at %d: %s is found %d times, want %d", cut, len(whole), deadAt+1, id, third.has[id], want)
				}
			}
			names, err := lives(state)
			if err != nil || len(names) != 1 || !third.settled {
				t.Fatalf("left: %v %v", names, err)
			}
			third.Close()
		}
	}
}

// A message that was adopted and ended by a second life, while the first one still ran out its calls, stays
// ended when both die: the first one's journal has it still, and only the second one's mark tells of its end.
func TestEndedInTheLifeBetweenStaysEnded(t *testing.T) {
	state := t.TempDir()
	first, err := Claim(state, nettest.Log)
	if err != nil {
		t.Fatal(err)
	}
	s, _, err := journal.Open(first.Folder, journal.Options{MaxBytes: 1 << 20}, nettest.Log)
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"ended", "held", "out"} {
		if err := s.AddMessage(message(id)); err != nil {
			t.Fatal(err)
		}
	}
	s.Append([]journal.Record{journal.AttemptBegun("out", journal.Attempt{Peer: "p", At: 5}), journal.HandedOver("ended"), journal.HandedOver("held"), journal.Closing(nil)}, nil)
	if err := s.Close(); err != nil { // all is written; its lock is held on
		t.Fatal(err)
	}
	second, h, err := live(t, state, 0)
	if err != nil || h.has["ended"] != 1 || h.has["held"] != 1 || h.has["out"] != 0 {
		t.Fatal(err, h.has)
	}
	h.Append([]journal.Record{journal.Done("ended")}, nil)
	h.Close()
	first.Release()
	second.Release()
	_, third, err := live(t, state, 0)
	if err != nil || third.has["ended"] != 0 || third.has["held"] != 1 || third.has["out"] != 1 {
		t.Fatal(err, third.has)
	}
	third.Close()
}
