// Package schema checks the operators' settings, written as CUE, against their schema and fills the
// defaults in. The CUE evaluator lives here and in the helper program that links this package; the
// daemon reads the JSON that comes out (see docs/design/undeliverable.md for what that saves).
package schema

import (
	_ "embed"
	"errors"
	"fmt"
	"os"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	cueerrors "cuelang.org/go/cue/errors"
)

// Text is the schema itself, with a comment on every field.
//
//go:embed schema.cue
var Text string

// mostBytes of a settings file; a longer one is no settings file.
const mostBytes = 1 << 20

// File is Compile of a file's text.
func File(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if !info.Mode().IsRegular() || info.Size() > mostBytes {
		return nil, fmt.Errorf("settings: %s is no regular file of at most %d bytes", path, mostBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Compile(path, text)
}

// Compile checks the text and returns the settings as JSON, all defaults filled in. The error is one
// sentence that names the file, the line and the field of the first fault.
func Compile(name string, text []byte) ([]byte, error) {
	ctx := cuecontext.New()
	whole := ctx.CompileString(Text, cue.Filename("schema.cue")).LookupPath(cue.ParsePath("#Settings"))
	if err := whole.Err(); err != nil {
		return nil, fmt.Errorf("settings: schema: %w", err)
	}
	given := ctx.CompileBytes(text, cue.Filename(name))
	if err := given.Err(); err != nil {
		return nil, fault(name, whole, given, err)
	}
	all := whole.Unify(given)
	if err := all.Validate(cue.Concrete(true), cue.All()); err != nil {
		return nil, fault(name, whole, given, err)
	}
	if err := ordered(name, all); err != nil {
		return nil, err
	}
	out, err := all.MarshalJSON()
	if err != nil {
		return nil, fault(name, whole, given, err)
	}
	return out, nil
}

// ordered holds pairs of fields in their order, which ranges alone can't say.
func ordered(name string, v cue.Value) error {
	for _, pair := range [][2]string{
		{"undeliverable.resend.first_rate", "undeliverable.resend.max_rate"},
		{"undeliverable.resend.backoff_s", "undeliverable.resend.max_backoff_s"},
	} {
		lo, err1 := v.LookupPath(cue.ParsePath(pair[0])).Float64()
		hi, err2 := v.LookupPath(cue.ParsePath(pair[1])).Float64()
		if err := errors.Join(err1, err2); err != nil {
			return fmt.Errorf("settings: %s: %w", name, err)
		}
		if lo > hi {
			return fmt.Errorf("settings: %s: %s is %v, above %s, which is %v", name, pair[0], lo, pair[1], hi)
		}
	}
	return nil
}

// fault is the first of CUE's errors in one sentence. Of its positions, that in the operators' file
// is named, not that in the schema; of a value outside its range, what would be inside.
func fault(name string, schema, given cue.Value, err error) error {
	list := cueerrors.Errors(err)
	if len(list) == 0 {
		return fmt.Errorf("settings: %s: %w", name, err)
	}
	first := list[0]
	where := name
	for _, p := range cueerrors.Positions(first) {
		if p.Filename() == name {
			where = fmt.Sprintf("%s:%d:%d", name, p.Line(), p.Column())
			break
		}
	}
	field := strings.TrimPrefix(strings.Join(first.Path(), "."), "#Settings.")
	format, args := first.Msg()
	why, _, _ := strings.Cut(fmt.Sprintf(format, args...), "\n")
	path := cue.ParsePath(field)
	switch got := given.LookupPath(path); {
	case strings.Contains(why, "not allowed"):
		why = "no such field"
	case field != "" && got.Exists() && schema.LookupPath(path).Exists():
		if p := got.Pos(); p.Filename() == name {
			where = fmt.Sprintf("%s:%d:%d", name, p.Line(), p.Column())
		}
		why = fmt.Sprintf("%v is not in %v", got, schema.LookupPath(path))
	}
	if field == "" {
		return fmt.Errorf("settings: %s: %s", where, why)
	}
	return fmt.Errorf("settings: %s: field %s: %s", where, field, why)
}
