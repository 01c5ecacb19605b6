// Package cuefile checks files of records written as CUE against a schema, fills the defaults in and
// words what is wrong. Only programs that may carry the CUE evaluator link it.
package cuefile

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	cueerrors "cuelang.org/go/cue/errors"
)

// mostBytes of a file; a longer one is no file of records.
const mostBytes = 1 << 20

// Kind is one kind of file.
type Kind struct {
	Name       string // in errors, such as "settings"
	Schema     string // CUE text
	Definition string // in it, such as "#Settings"
	// Check holds what ranges of single fields can't say; nil for nothing.
	Check func(name string, v cue.Value) error
}

// File is Compile of a file's text.
func (k Kind) File(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", k.Name, err)
	}
	if !info.Mode().IsRegular() || info.Size() > mostBytes {
		return nil, fmt.Errorf("%s: %s is no regular file of at most %d bytes", k.Name, path, mostBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", k.Name, err)
	}
	return k.Compile(path, text)
}

// Compile checks the text and returns its records as JSON, all defaults filled in. The error is one
// sentence that names the file, the line and the field of the first fault.
func (k Kind) Compile(name string, text []byte) ([]byte, error) {
	ctx := cuecontext.New()
	whole := ctx.CompileString(k.Schema, cue.Filename("schema.cue")).LookupPath(cue.ParsePath(k.Definition))
	if err := whole.Err(); err != nil {
		return nil, fmt.Errorf("%s: schema: %w", k.Name, err)
	}
	given := ctx.CompileBytes(text, cue.Filename(name))
	if err := given.Err(); err != nil {
		return nil, k.fault(name, whole, given, err)
	}
	all := whole.Unify(given)
	if err := all.Validate(cue.Concrete(true), cue.All()); err != nil {
		return nil, k.fault(name, whole, given, err)
	}
	if k.Check != nil {
		if err := k.Check(name, all); err != nil {
			return nil, fmt.Errorf("%s: %w", k.Name, err)
		}
	}
	out, err := all.MarshalJSON()
	if err != nil {
		return nil, k.fault(name, whole, given, err)
	}
	return out, nil
}

// fault is the first of CUE's errors in one sentence. Of its positions, that in the operators' file
// is named, not that in the schema; of a value outside its range, what would be inside.
func (k Kind) fault(name string, schema, given cue.Value, err error) error {
	list := cueerrors.Errors(err)
	if len(list) == 0 {
		return fmt.Errorf(k.Name+": %s: %w", name, err)
	}
	first := list[0]
	where := name
	for _, p := range cueerrors.Positions(first) {
		if p.Filename() == name {
			where = fmt.Sprintf("%s:%d:%d", name, p.Line(), p.Column())
			break
		}
	}
	field := strings.TrimPrefix(strings.Join(first.Path(), "."), k.Definition+".")
	format, args := first.Msg()
	why, _, _ := strings.Cut(fmt.Sprintf(format, args...), "\n")
	var steps []cue.Selector
	for _, step := range strings.Split(field, ".") {
		if i, err := strconv.Atoi(step); err == nil {
			steps = append(steps, cue.Index(i))
		} else {
			steps = append(steps, cue.Str(step))
		}
	}
	path := cue.MakePath(steps...)
	switch got := given.LookupPath(path); {
	case strings.Contains(why, "not allowed"):
		why = "no such field"
	case field != "" && got.Exists():
		if p := got.Pos(); p.Filename() == name {
			where = fmt.Sprintf("%s:%d:%d", name, p.Line(), p.Column())
		}
		if wanted := schema.LookupPath(path); wanted.Exists() {
			why = fmt.Sprintf("%s is not in %s", line(got), line(wanted))
		} else {
			why = fmt.Sprintf("%s: %s", line(got), strings.Join(strings.Fields(why), " "))
		}
	}
	if field == "" {
		return fmt.Errorf(k.Name+": %s: %s", where, why)
	}
	return fmt.Errorf(k.Name+": %s: field %s: %s", where, field, why)
}

// line is a value on one line, cut where it is long.
func line(v cue.Value) string {
	text := strings.Join(strings.Fields(fmt.Sprint(v)), " ")
	if len(text) > 160 {
		text = text[:160] + "..."
	}
	return text
}
