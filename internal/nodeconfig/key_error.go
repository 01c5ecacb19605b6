package nodeconfig

import "fmt"

// KeyError is the error of one key of a settings file that is missing or malformed.
type KeyError struct {
	File   string
	Line   int // 0 where the key is missing
	Key    string
	Reason string
}

// Error returns file, line, key and reason.
func (e *KeyError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", e.File, e.Key, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Reason)
}
