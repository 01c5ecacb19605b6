// Package schema checks the operators' settings, written as CUE, against their schema and fills the
// defaults in. The CUE evaluator lives here and in the helper program that links this package; the
// daemon reads the JSON that comes out (see docs/design/undeliverable.md for what that saves).
package schema

import (
	_ "embed"
	"errors"
	"fmt"
	"net/netip"

	"cuelang.org/go/cue"

	"raventrestle/internal/cuefile"
)

// Text is the schema itself, with a comment on every field.
//
//go:embed schema.cue
var Text string

func kind() cuefile.Kind {
	return cuefile.Kind{Name: "settings", Schema: Text, Definition: "#Settings", Check: check}
}

// File is Compile of a file's text.
func File(path string) ([]byte, error) { return kind().File(path) }

// Compile checks the text and returns the settings as JSON, all defaults filled in. The error is one
// sentence that names the file, the line and the field of the first fault.
func Compile(name string, text []byte) ([]byte, error) { return kind().Compile(name, text) }

func check(name string, v cue.Value) error { return errors.Join(ordered(name, v), addresses(name, v)) }

// addresses are ones that can be bound to or joined; facts between couriers stay on networks of the operators' own.
func addresses(name string, v cue.Value) error {
	fleet := v.LookupPath(cue.ParsePath("fleet"))
	if !fleet.Exists() {
		return nil
	}
	check := func(field string, v cue.Value) error {
		text, err := v.String()
		if err != nil || text == "" {
			return err
		}
		addr, err := netip.ParseAddrPort(text)
		if ip := addr.Addr().Unmap(); err != nil || !ip.IsLoopback() && !ip.IsPrivate() {
			return fmt.Errorf("%s: field fleet.%s: %q is no loopback or private IP address with a port", name, field, text)
		}
		return nil
	}
	for _, field := range []string{"bind", "advertise"} {
		if err := check(field, fleet.LookupPath(cue.ParsePath(field))); err != nil {
			return err
		}
	}
	seeds, err := fleet.LookupPath(cue.ParsePath("seeds")).List()
	if err != nil {
		return fmt.Errorf("%s: field fleet.seeds: %w", name, err)
	}
	for i := 0; seeds.Next(); i++ {
		if err := check(fmt.Sprintf("seeds.%d", i), seeds.Value()); err != nil {
			return err
		}
	}
	return nil
}

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
