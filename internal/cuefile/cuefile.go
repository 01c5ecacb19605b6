// Package cuefile validates CUE files against a schema, fills in the defaults and turns CUE's errors into one sentence.
// Only programs that may include the CUE evaluator link it.
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

// maxFileBytes is the size above which a file is rejected without reading it.
const maxFileBytes = 1 << 20

// Kind is a kind of file and describes how it is validated.
type Kind struct {
	Name       string // prefix of error messages, such as "settings"
	Schema     string // CUE text
	Definition string // the definition in Schema that a file must match, such as "#Settings"
	// Check validates what the schema can't express, such as relations between fields; nil for no such check.
	Check func(name string, v cue.Value) error
}

// CompileFile reads the file and passes its text to Compile.
func (k Kind) CompileFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", k.Name, err)
	}
	if !info.Mode().IsRegular() || info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: %s is not a regular file of at most %d bytes", k.Name, path, maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", k.Name, err)
	}
	return k.Compile(path, text)
}

// Compile validates the text and returns its value as JSON with all defaults filled in. The error is one sentence that
// names the file, the line and the field of the first mistake.
func (k Kind) Compile(name string, text []byte) ([]byte, error) {
	ctx := cuecontext.New()
	schema := ctx.CompileString(k.Schema, cue.Filename("schema.cue")).LookupPath(cue.ParsePath(k.Definition))
	if err := schema.Err(); err != nil {
		return nil, fmt.Errorf("%s: schema: %w", k.Name, err)
	}
	input := ctx.CompileBytes(text, cue.Filename(name))
	if err := input.Err(); err != nil {
		return nil, k.describeError(name, schema, input, err)
	}
	value := schema.Unify(input)
	if err := value.Validate(cue.Concrete(true), cue.All()); err != nil {
		return nil, k.describeError(name, schema, input, err)
	}
	if k.Check != nil {
		if err := k.Check(name, value); err != nil {
			return nil, fmt.Errorf("%s: %w", k.Name, err)
		}
	}
	out, err := value.MarshalJSON()
	if err != nil {
		return nil, k.describeError(name, schema, input, err)
	}
	return out, nil
}

// describeError returns the first of CUE's errors as one sentence. It gives the position in the validated file, not the
// one in the schema, and for a value that the schema does not allow, the constraint from the schema.
func (k Kind) describeError(name string, schema, input cue.Value, err error) error {
	list := cueerrors.Errors(err)
	if len(list) == 0 {
		return fmt.Errorf(k.Name+": %s: %w", name, err)
	}
	firstError := list[0]
	position := name
	for _, p := range cueerrors.Positions(firstError) {
		if p.Filename() == name {
			position = fmt.Sprintf("%s:%d:%d", name, p.Line(), p.Column())
			break
		}
	}
	field := strings.TrimPrefix(strings.Join(firstError.Path(), "."), k.Definition+".")
	format, args := firstError.Msg()
	reason, _, _ := strings.Cut(fmt.Sprintf(format, args...), "\n")
	var selectors []cue.Selector
	for _, step := range strings.Split(field, ".") {
		if i, err := strconv.Atoi(step); err == nil {
			selectors = append(selectors, cue.Index(i))
		} else {
			selectors = append(selectors, cue.Str(step))
		}
	}
	path := cue.MakePath(selectors...)
	switch inputValue := input.LookupPath(path); {
	case strings.Contains(reason, "not allowed"):
		reason = "no such field"
	case field != "" && inputValue.Exists():
		if p := inputValue.Pos(); p.Filename() == name {
			position = fmt.Sprintf("%s:%d:%d", name, p.Line(), p.Column())
		}
		if constraint := schema.LookupPath(path); constraint.Exists() {
			reason = fmt.Sprintf("%s is not in %s", oneLine(inputValue), oneLine(constraint))
		} else {
			reason = fmt.Sprintf("%s: %s", oneLine(inputValue), strings.Join(strings.Fields(reason), " "))
		}
	}
	if field == "" {
		return fmt.Errorf(k.Name+": %s: %s", position, reason)
	}
	return fmt.Errorf(k.Name+": %s: field %s: %s", position, field, reason)
}

// oneLine formats a value on one line and cuts it off after 160 bytes.
func oneLine(v cue.Value) string {
	text := strings.Join(strings.Fields(fmt.Sprint(v)), " ")
	if len(text) > 160 {
		text = text[:160] + "..."
	}
	return text
}
