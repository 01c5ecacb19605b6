package buildinfo

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"os"
	"runtime/debug"
	"strings"
	"testing"
)

func TestLineNamesRevisionOrDigest(t *testing.T) {
	const sum = "0123456789abcdef0123"
	stamped := &debug.BuildInfo{GoVersion: "go1.26", Settings: []debug.BuildSetting{{Key: revisionKey, Value: "a0b1"}}}
	plain := &debug.BuildInfo{GoVersion: "go1.26"}
	read := func() (string, error) { return sum, nil }
	unreadable := func() (string, error) { return "", errors.New("no such file") }
	cases := []struct {
		info   *debug.BuildInfo
		digest func() (string, error)
		want   string
	}{
		{stamped, read, "p, revision a0b1, go1.26"},
		{plain, read, "p, build 0123456789abcdef, go1.26"},
		{plain, unreadable, "p, unknown build, go1.26"},
		{new(debug.BuildInfo), unreadable, "p, unknown build"},
	}
	for _, c := range cases {
		if got := line("p", c.info, c.digest); got != c.want {
			t.Errorf("got %q, want %q", got, c.want)
		}
	}
}

// TestOwnDigestIsThatOfTheRunningProgram compares with the SHA-256 of the test program.
func TestOwnDigestIsThatOfTheRunningProgram(t *testing.T) {
	path, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	body, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	sum := sha256.Sum256(body)
	if got, err := ownDigest(); err != nil || got != hex.EncodeToString(sum[:]) {
		t.Errorf("got %s, %v, want %x", got, err, sum)
	}
	if got := Line("p"); !strings.HasPrefix(got, "p, ") {
		t.Errorf("got %q, want it to begin with the program", got)
	}
}
