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

// The socket is the courier's own user's alone; one that a dead courier left is taken over, one that
// answers is not, and a file that is no socket is left alone.
func TestListen(t *testing.T) {
	path := filepath.Join(t.TempDir(), "admin.sock")
	old, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(path); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Fatal(err)
	}
	old.(*net.UnixListener).SetUnlinkOnClose(false) // as a killed courier leaves it
	old.Close()
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
		t.Fatal("the socket is left behind")
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(file); err == nil || !strings.Contains(err.Error(), "no socket") {
		t.Fatal(err)
	}
}

// A courier that keeps no dead letters says so; connections that say nothing shut out nobody for longer
// than their time.
func TestNoLetters(t *testing.T) {
	path := filepath.Join(t.TempDir(), "admin.sock")
	l, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	s := Serve(l, nil, nil, nettest.Log)
	t.Cleanup(func() { s.Close() })
	for range mostClients - 1 {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	for range 2 * mostClients { // each gives its place back
		began := time.Now()
		_, err = (&Client{Path: path}).Stats(t.Context())
		if err == nil || !strings.Contains(err.Error(), "undeliverable.keep is off") {
			t.Fatal(err)
		}
		if time.Since(began) > 2*time.Second {
			t.Fatal("shut out")
		}
	}
	if (&Client{Path: path + "x"}).Reaches() {
		t.Fatal("reached nobody")
	}
	if _, err := (&Client{Path: path + "x"}).List(t.Context(), deadletter.Filter{}); err == nil {
		t.Fatal("listed by nobody")
	}
}
