package journal

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A Follower of a journal that is being written reads the same state as a process that opens it, also after the
// journal was rewritten and when the file grows byte by byte. A snapshot does not change with later polls.
func TestFollowerReadsGrowingJournal(t *testing.T) {
	dir := t.TempDir()
	s, _ := openJournal(t, dir, 1<<20)
	follower := Follow(dir)
	poll := func() Snapshot {
		t.Helper()
		if _, err := follower.Poll(); err != nil {
			t.Fatal(err)
		}
		return follower.Snapshot()
	}
	write := func(records ...Record) {
		t.Helper()
		written := make(chan error, 1)
		if err := s.Append(records, func(err error) { written <- err }); err != nil {
			t.Fatal(err)
		}
		if err := <-written; err != nil {
			t.Fatal(err)
		}
	}
	write(Accepted(newTestMessage("a", 40)), Accepted(newTestMessage("b", 40)), PeerWait("p", 1<<62))
	first := poll()
	write(HandedOver("a"), Done("b"), PeerWait("q", 1<<62), Closing([]byte("left")))
	poll()
	if diff := cmp.Diff(map[string]int64{"p": 1 << 62}, first.PeerWaits); diff != "" {
		t.Fatalf("the earlier snapshot has changed: %s", diff)
	}
	want := Snapshot{
		Messages: []MessageState{{Message: newTestMessage("a", 40), Progress: Progress{HandedOver: true}}}, PeerWaits: map[string]int64{"p": 1 << 62, "q": 1 << 62},
		Adopted: map[string]bool{}, Closing: true, HandoverData: []byte("left"),
	}
	if diff := cmp.Diff(want, poll()); diff != "" {
		t.Fatal(diff)
	}
	if err := s.rewrite(); err != nil { // the writer goroutine is idle
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, poll()); diff != "" {
		t.Fatalf("after the rewrite: %s", diff)
	}
	contents, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	copyPath := filepath.Join(t.TempDir(), fileName)
	copyFollower := Follow(filepath.Dir(copyPath))
	copyFile, err := os.Create(copyPath)
	if err != nil {
		t.Fatal(err)
	}
	defer copyFile.Close()
	for i := range contents {
		if _, err := copyFile.Write(contents[i : i+1]); err != nil {
			t.Fatal(err)
		}
		if _, err := copyFollower.Poll(); err != nil || copyFollower.invalidBytes > 0 {
			t.Fatalf("byte %d: %v, %d bytes skipped", i, err, copyFollower.invalidBytes)
		}
	}
	if diff := cmp.Diff(want, copyFollower.Snapshot()); diff != "" {
		t.Fatalf("read byte by byte: %s", diff)
	}
}
