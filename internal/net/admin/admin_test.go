package admin

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"raventrestle/internal/deadletter"
	"raventrestle/internal/net/nettest"
)

// Only the courier's own user may open the socket. A socket that a dead courier left is replaced; one that answers and a
// file that is no socket are not.
func TestListenReplacesDeadSocketOnly(t *testing.T) {
	path := filepath.Join(t.TempDir(), "admin.sock")
	previous, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(path); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Fatal(err)
	}
	previous.(*net.UnixListener).SetUnlinkOnClose(false) // as a killed courier leaves it
	previous.Close()
	l, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Fatal(info, err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		t.Fatal("Close did not remove the socket")
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(file); err == nil || !strings.Contains(err.Error(), "no socket") {
		t.Fatal(err)
	}
}

// A courier that keeps no dead letters reports so. Idle connections block other clients no longer than the read timeout.
func TestNoDeadLettersAndIdleClients(t *testing.T) {
	path := filepath.Join(t.TempDir(), "admin.sock")
	l, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	s := Serve(l, nil, nil, nettest.Log)
	t.Cleanup(func() { s.Close() })
	for range maxClients - 1 {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	for range 2 * maxClients { // each connection releases its slot
		start := time.Now()
		_, err = (&Client{Path: path}).Stats(t.Context())
		if err == nil || !strings.Contains(err.Error(), "undeliverable.keep is off") {
			t.Fatal(err)
		}
		if time.Since(start) > 2*time.Second {
			t.Fatal("idle connections blocked the client for more than 2 s")
		}
	}
	if (&Client{Path: path + "x"}).Reaches() {
		t.Fatal("Reaches returned true for a missing socket")
	}
	if _, err := (&Client{Path: path + "x"}).List(t.Context(), deadletter.Filter{}); err == nil {
		t.Fatal("List succeeded at a missing socket")
	}
}
