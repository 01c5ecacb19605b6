// Package schema validates the operators' settings, written in CUE, against their schema and fills in the defaults. Only
// the helper program links this package and with it the CUE evaluator. The daemon reads the resulting JSON; see
// docs/design/undeliverable.md for what that saves.
package schema

import (
	_ "embed"
	"errors"
	"fmt"
	"net/netip"

	"cuelang.org/go/cue"

	"raventrestle/internal/cuefile"
)

// Source is the text of the schema, with a comment on every field.
//
//go:embed schema.cue
var Source string

func fileKind() cuefile.Kind {
	return cuefile.Kind{Name: "settings", Schema: Source, Definition: "#Settings", Check: check}
}

// CompileFile reads the file and passes its text to [Compile].
func CompileFile(path string) ([]byte, error) { return fileKind().CompileFile(path) }

// Compile validates the text and returns the settings as JSON with all defaults filled in. The error is one sentence
// that names the file, the line and the field of the first mistake.
func Compile(name string, text []byte) ([]byte, error) { return fileKind().Compile(name, text) }

func check(name string, v cue.Value) error {
	return errors.Join(checkOrder(name, v), checkAddresses(name, v))
}

// checkAddresses returns an error unless all fleet addresses are loopback or private IP addresses with a port, so that
// gossip between couriers stays in the operators' own networks.
func checkAddresses(name string, v cue.Value) error {
	fleet := v.LookupPath(cue.ParsePath("fleet"))
	if !fleet.Exists() {
		return nil
	}
	checkAddress := func(field string, v cue.Value) error {
		text, err := v.String()
		if err != nil || text == "" {
			return err
		}
		addr, err := netip.ParseAddrPort(text)
		if ip := addr.Addr().Unmap(); err != nil || !ip.IsLoopback() && !ip.IsPrivate() {
			return fmt.Errorf("%s: field fleet.%s: %q is not a loopback or private IP address with a port", name, field, text)
		}
		return nil
	}
	for _, field := range []string{"bind", "advertise"} {
		if err := checkAddress(field, fleet.LookupPath(cue.ParsePath(field))); err != nil {
			return err
		}
	}
	seeds, err := fleet.LookupPath(cue.ParsePath("seeds")).List()
	if err != nil {
		return fmt.Errorf("%s: field fleet.seeds: %w", name, err)
	}
	for i := 0; seeds.Next(); i++ {
		if err := checkAddress(fmt.Sprintf("seeds.%d", i), seeds.Value()); err != nil {
			return err
		}
	}
	return nil
}

// checkOrder returns an error if a field that is a lower bound is above the field that is its upper bound.
func checkOrder(name string, v cue.Value) error {
	for _, pair := range [][2]string{
		{"undeliverable.resend.first_rate", "undeliverable.resend.max_rate"},
		{"undeliverable.resend.backoff_s", "undeliverable.resend.max_backoff_s"},
	} {
		lower, lowerErr := v.LookupPath(cue.ParsePath(pair[0])).Float64()
		upper, upperErr := v.LookupPath(cue.ParsePath(pair[1])).Float64()
		if err := errors.Join(lowerErr, upperErr); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if lower > upper {
			return fmt.Errorf("%s: %s is %v, above %s, which is %v", name, pair[0], lower, pair[1], upper)
		}
	}
	return nil
}
