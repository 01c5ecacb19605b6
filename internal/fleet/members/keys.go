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
	keyFileBytes = 64 << 10
	keysMost     = 16
)

// Keys reads a file of base64 keys, one a line, of 16, 24 or 32 bytes; empty lines and those that begin with # are
// passed over. The first is the one to encrypt with. To change it without a cut: add the new one as the last on all
// couriers, then move it to the front on all, then take the old one out.
func Keys(path string) ([][]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("fleet.key_file: %w", err)
	}
	defer f.Close()
	var keys [][]byte
	scan := bufio.NewScanner(io.LimitReader(f, keyFileBytes))
	for n := 1; scan.Scan(); n++ {
		line := strings.TrimSpace(scan.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if err == nil {
			err = memberlist.ValidateKey(key)
		}
		if err != nil {
			// The line itself is a secret.
			return nil, fmt.Errorf("fleet.key_file: %s:%d: no base64 of 16, 24 or 32 bytes", path, n)
		}
		if keys = append(keys, key); len(keys) > keysMost {
			return nil, fmt.Errorf("fleet.key_file: %s:%d: more than %d keys", path, n, keysMost)
		}
	}
	if err := scan.Err(); err != nil {
		return nil, fmt.Errorf("fleet.key_file: %s: %w", path, err)
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("fleet.key_file: %s: no key in it; name no key_file to go without", path)
	}
	return keys, nil
}
