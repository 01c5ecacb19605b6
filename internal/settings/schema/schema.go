// Package schema checks the operators' settings, written as CUE, against their schema and fills the
// defaults in. The CUE evaluator lives here and in the helper program that links this package; the
// daemon reads the JSON that comes out (see docs/design/undeliverable.md for what that saves).
package schema

import (
	_ "embed"
	"errors"
	"fmt"

	"cuelang.org/go/cue"

	"raventrestle/internal/cuefile"
)

// Text is the schema itself, with a comment on every field.
//
//go:embed schema.cue
var Text string

func kind() cuefile.Kind {
	return cuefile.Kind{Name: "settings", Schema: Text, Definition: "#Settings", Check: ordered}
}

// File is Compile of a file's text.
func File(path string) ([]byte, error) { return kind().File(path) }

// Compile checks the text and returns the settings as JSON, all defaults filled in. The error is one
// sentence that names the file, the line and the field of the first fault.
func Compile(name string, text []byte) ([]byte, error) { return kind().Compile(name, text) }

// ordered holds pairs of fields in their order.
func ordered(name string, v cue.Value) error {
	for _, pair := range [][2]string{
		{"undeliverable.resend.first_rate", "undeliverable.resend.max_rate"},
		{"undeliverable.resend.backoff_s", "undeliverable.resend.max_backoff_s"},
	} {
		lo, err1 := v.LookupPath(cue.ParsePath(pair[0])).Float64()
		hi, err2 := v.LookupPath(cue.ParsePath(pair[1])).Float64()
		if err := errors.Join(err1, err2); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if lo > hi {
			return fmt.Errorf("%s: %s is %v, above %s, which is %v", name, pair[0], lo, pair[1], hi)
		}
	}
	return nil
}
