package upgrade

// The state directory as a process of build 73ca247 left it during a handover: the names in it and that process's journal.
// The files in testdata/golden are never regenerated; the empty lock file is created by the tests.

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/gofrs/flock"
	"github.com/google/go-cmp/cmp"

	"raventrestle/internal/journal"
	"raventrestle/internal/net/nettest"
)

const goldenState = "testdata/golden/state"

// follower is a courier that records what it receives from the previous process.
type follower struct {
	Kept     []journal.MessageState
	Waits    map[string]int64
	Left     string
	Busy     []string
	Calls    int
	Complete bool
}

func (f *follower) Adopt(kept []journal.MessageState) (int, error) {
	f.Kept = append(f.Kept, kept...)
	return len(kept), nil
}
func (f *follower) RecordAllAdopted()                       { f.Complete = true }
func (f *follower) ApplyRetryAfter(waits map[string]int64)  { f.Waits = waits }
func (f *follower) Inherit(left []byte)                     { f.Left = string(left) }
func (f *follower) SetOtherProcess(ids []string, calls int) { f.Busy, f.Calls = ids, calls }

func goldenMessage(id string) *journal.Message {
	return &journal.Message{
		ID: id, Key: "key-1", Class: "class-2", Tenant: "tenant-3", Dest: 4, ExpiresAt: 1<<62 + 5, Body: []byte("body of " + id),
		AcceptedAt: 6, ClassTerms: "terms-7",
	}
}

func release(t *testing.T, l *ProcessDir) {
	t.Helper()
	if err := l.Release(); err != nil {
		t.Error(err)
	}
}

func TestStateDirectoryOfThePreviousProcessIsTakenOver(t *testing.T) {
	state := t.TempDir()
	if err := os.CopyFS(state, os.DirFS(goldenState)); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(state, "life-000041", "owner"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	l, err := Claim(state, nettest.Log)
	if err != nil {
		t.Fatal(err)
	}
	defer release(t, l)
	if got, want := l.Path, filepath.Join(state, "life-000042"); got != want {
		t.Errorf("folder of the next life: got %s, want %s", got, want)
	}
	if _, err := os.Stat(filepath.Join(l.Path, "owner")); err != nil {
		t.Errorf("lock of the next life: %v", err)
	}
	out := journal.Attempt{Peer: "peer-8", Zone: "zone-9", At: 10}
	handed := journal.MessageState{Message: goldenMessage("handed"), Progress: journal.Progress{AttemptCount: 1, HandedOver: true}}
	busy := journal.MessageState{Message: goldenMessage("busy"), Progress: journal.Progress{AttemptCount: 1, InFlight: &out}}
	var f follower
	if begin, err := l.takeOver(&f); !begin || err != nil {
		t.Fatalf("look: got %v, %v, want true and no error", begin, err)
	}
	want := follower{Kept: []journal.MessageState{handed, busy}, Waits: map[string]int64{"peer-11": 1<<62 + 12}, Left: `{"CallSec":13}`, Complete: true}
	if diff := cmp.Diff(want, f); diff != "" {
		t.Errorf("told of the life before (-want +got):\n%s", diff)
	}
	names, err := processDirs(state)
	if diff := cmp.Diff([]string{"life-000042"}, names); err != nil || diff != "" {
		t.Errorf("%v: folders left (-want +got):\n%s", err, diff)
	}
}

func TestStateDirectoryOfARunningProcessIsFollowed(t *testing.T) {
	state := t.TempDir()
	if err := os.CopyFS(state, os.DirFS(goldenState)); err != nil {
		t.Fatal(err)
	}
	before := &ProcessDir{Path: filepath.Join(state, "life-000041"), root: state, log: nettest.Log}
	before.lock = flock.New(filepath.Join(before.Path, "owner"))
	if ok, err := before.lock.TryLock(); !ok || err != nil {
		t.Fatalf("lock: got %v, %v, want true and no error", ok, err)
	}
	defer release(t, before)
	l, err := Claim(state, nettest.Log)
	if err != nil {
		t.Fatal(err)
	}
	defer release(t, l)
	if !before.HasSuccessor() {
		t.Error("followed: got false, want true")
	}
	var f follower
	if begin, err := l.takeOver(&f); !begin || err != nil {
		t.Fatalf("look: got %v, %v, want true and no error", begin, err)
	}
	want := follower{
		Kept:  []journal.MessageState{{Message: goldenMessage("handed"), Progress: journal.Progress{AttemptCount: 1, HandedOver: true}}},
		Waits: map[string]int64{"peer-11": 1<<62 + 12}, Left: `{"CallSec":13}`, Busy: []string{"busy"}, Calls: 1,
	}
	if diff := cmp.Diff(want, f); diff != "" {
		t.Errorf("told of the life before (-want +got):\n%s", diff)
	}
}

// The courier writes the handover byte for byte as stored.
func TestHandOverIsWrittenAsStored(t *testing.T) {
	want, err := os.ReadFile(filepath.Join(goldenState, "life-000041", "journal"))
	if err != nil {
		t.Fatal(err)
	}
	state := t.TempDir()
	writeHandOver(t, state)
	got, err := os.ReadFile(filepath.Join(state, "journal"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("journal (-stored +written):\n%s", diff)
	}
}

// writeHandOver writes the content of the stored journal.
func writeHandOver(t *testing.T, folder string) {
	t.Helper()
	s, _, err := journal.Open(folder, journal.Options{MaxBytes: 1 << 20, Shared: true}, nettest.Log)
	if err != nil {
		t.Fatal(err)
	}
	out := journal.Attempt{Peer: "peer-8", Zone: "zone-9", At: 10}
	records := []journal.Record{
		journal.Accepted(goldenMessage("handed")), journal.Accepted(goldenMessage("busy")), journal.AttemptBegun("handed", out),
		journal.NeverRan("handed", "full"), journal.AttemptBegun("busy", out), journal.PeerWait("peer-11", 1<<62+12), journal.HandedOver("handed"),
		journal.Closing([]byte(`{"CallSec":13}`)),
	}
	if err := s.Append(records, nil); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}
