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

// fullVar makes the test's own program the child of TestKernelRefusesWrites, in the folder that it names.
const fullVar = "RAVENTRESTLE_TEST_FULL_DISK"

// The kernel itself refuses to let the file grow (a limit on the process, which a write meets as it meets
// a full disk): the store says so, what it had taken is there, and once there is room again it goes on.
func TestKernelRefusesWrites(t *testing.T) {
	if dir := os.Getenv(fullVar); dir != "" {
		child(t, dir)
		return
	}
	dir := t.TempDir()
	cmd := exec.Command(os.Args[0], "-test.run=^TestKernelRefusesWrites$", "-test.v")
	cmd.Env = append(os.Environ(), fullVar+"="+dir)
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	var kept []string
	for line := range strings.Lines(string(out)) {
		if id, found := strings.CutPrefix(strings.TrimSpace(line), "kept "); found {
			kept = append(kept, id)
		}
	}
	if len(kept) < 20 || !strings.Contains(string(out), "refused") {
		t.Fatalf("%d kept\n%s", len(kept), out)
	}
	s := open(t, dir, Options{MaxBytes: 1 << 30, MaxLetters: 1 << 20})
	for _, id := range kept {
		if l, err := s.Get(id); err != nil || !bytes.Equal(l.Body, make([]byte, 2000)) {
			t.Errorf("%s: %v", id, err)
		}
	}
	if faults, err := s.Check(); err != nil || len(faults) > 0 {
		t.Errorf("%v %v", faults, err)
	}
}

func child(t *testing.T, dir string) {
	signal.Ignore(syscall.SIGXFSZ) // the write fails instead
	var usual syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &usual); err != nil {
		t.Fatal(err)
	}
	set := func(most uint64) {
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: most, Max: usual.Max}); err != nil {
			t.Fatal(err)
		}
	}
	s := open(t, dir, Options{MaxBytes: 1 << 30, MaxLetters: 1 << 20})
	set(256 << 10)
	put := func(n int) error {
		l := letter(fmt.Sprintf("l%05d", n), 1, 1, n)
		l.Body = make([]byte, 2000)
		_, err := s.Put(l)
		if err == nil {
			fmt.Println("kept", l.ID)
		}
		return err
	}
	n, refused := 0, 0
	for ; n < 1000 && refused < 3; n++ {
		if err := put(n); err != nil {
			fmt.Println("refused", err)
			refused++
		}
	}
	if refused < 3 {
		t.Fatalf("%d letters of 2000 bytes went into 256 KB", n)
	}
	if l, err := s.Get("l00000"); err != nil || len(l.Body) != 2000 {
		t.Fatalf("what was kept can't be read: %v", err)
	}
	set(usual.Cur)
	if err := put(n + 1); err != nil {
		t.Fatalf("there is room again: %v", err)
	}
}
