package deadletter

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
)

// writeDirVar is the environment variable that makes the test binary run as the child process of
// TestKernelRefusesWrites, in the directory that it names.
const writeDirVar = "RAVENTRESTLE_TEST_FULL_DISK"

// A file size limit of the process makes the kernel reject writes, as a full disk does. Put must then return an
// error, the dead letters stored before must remain readable, and Put must work again once the limit is lifted.
func TestKernelRefusesWrites(t *testing.T) {
	if dir := os.Getenv(writeDirVar); dir != "" {
		writeUntilFull(t, dir)
		return
	}
	dir := t.TempDir()
	cmd := exec.Command(os.Args[0], "-test.run=^TestKernelRefusesWrites$", "-test.v")
	cmd.Env = append(os.Environ(), writeDirVar+"="+dir)
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	var stored []string
	for line := range strings.Lines(string(out)) {
		if id, found := strings.CutPrefix(strings.TrimSpace(line), "kept "); found {
			stored = append(stored, id)
		}
	}
	if len(stored) < 20 || !strings.Contains(string(out), "refused") {
		t.Fatalf("%d stored\n%s", len(stored), out)
	}
	s := openStore(t, dir, Options{MaxBytes: 1 << 30, MaxMessages: 1 << 20})
	for _, id := range stored {
		if msg, err := s.Get(id); err != nil || !bytes.Equal(msg.Body, make([]byte, 2000)) {
			t.Errorf("%s: %v", id, err)
		}
	}
	if problems, err := s.Check(); err != nil || len(problems) > 0 {
		t.Errorf("%v %v", problems, err)
	}
}

func writeUntilFull(t *testing.T, dir string) {
	signal.Ignore(syscall.SIGXFSZ) // the write fails instead
	var original syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &original); err != nil {
		t.Fatal(err)
	}
	set := func(maxBytes uint64) {
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: maxBytes, Max: original.Max}); err != nil {
			t.Fatal(err)
		}
	}
	s := openStore(t, dir, Options{MaxBytes: 1 << 30, MaxMessages: 1 << 20})
	set(256 << 10)
	put := func(n int) error {
		msg := newTestMessage(fmt.Sprintf("l%05d", n), 1, 1, n)
		msg.Body = make([]byte, 2000)
		_, err := s.Put(msg)
		if err == nil {
			fmt.Println("kept", msg.ID)
		}
		return err
	}
	n, failures := 0, 0
	for ; n < 1000 && failures < 3; n++ {
		if err := put(n); err != nil {
			fmt.Println("refused", err)
			failures++
		}
	}
	if failures < 3 {
		t.Fatalf("%d dead letters of 2000 bytes were stored in 256 KB", n)
	}
	if msg, err := s.Get("l00000"); err != nil || len(msg.Body) != 2000 {
		t.Fatalf("a stored dead letter cannot be read: %v", err)
	}
	set(original.Cur)
	if err := put(n + 1); err != nil {
		t.Fatalf("put after the limit was lifted: %v", err)
	}
}
