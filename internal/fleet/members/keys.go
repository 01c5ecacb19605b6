package members

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/hashicorp/memberlist"
)

const (
	maxKeyFileBytes = 64 << 10
	maxKeys         = 16
)

// ReadKeys reads a file with one base64 key of 16, 24 or 32 bytes per line; empty lines and lines that begin with # are
// ignored. The first key encrypts. To change it without an interruption, add the new key as the last one on all members,
// then move it to the front on all, then remove the old one.
func ReadKeys(path string) ([][]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("fleet.key_file: %w", err)
	}
	defer f.Close()
	var keys [][]byte
	scanner := bufio.NewScanner(io.LimitReader(f, maxKeyFileBytes))
	for n := 1; scanner.Scan(); n++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if err == nil {
			err = memberlist.ValidateKey(key)
		}
		if err != nil {
			// Do not log the line itself: it is a secret.
			return nil, fmt.Errorf("fleet.key_file: %s:%d: no base64 key of 16, 24 or 32 bytes", path, n)
		}
		if keys = append(keys, key); len(keys) > maxKeys {
			return nil, fmt.Errorf("fleet.key_file: %s:%d: more than %d keys", path, n, maxKeys)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("fleet.key_file: %s: %w", path, err)
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("fleet.key_file: %s: no key in it; leave key_file empty to run without encryption", path)
	}
	return keys, nil
}
