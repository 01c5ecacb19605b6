// Package check reads what operators write, a configuration, a settings file or a deploy file, and tells every fault
// by the item that it is about. Nothing is sent anywhere.
package check

import (
	"errors"
	"fmt"
	"io"
	"os"

	"raventrestle/internal/configuration"
	"raventrestle/internal/nodeconfig"
)

// Finding is one thing that is wrong.
type Finding struct {
	Item   string `json:"item"`
	Reason string `json:"reason"`
}

// Report is what a check found.
type Report struct {
	Good     bool      `json:"good"`
	Summary  string    `json:"summary,omitempty"` // of something good
	Findings []Finding `json:"faults,omitempty"`
}

func passed(format string, arguments ...any) Report {
	return Report{Good: true, Summary: fmt.Sprintf(format, arguments...)}
}

func failed(faults []Finding) Report { return Report{Findings: faults} }

// Settings checks a settings file. An empty path stands for the one that the environment names.
func Settings(path string) (Report, error) {
	if path == "" {
		path = os.Getenv(nodeconfig.EnvironmentVariable)
	}
	if path == "" {
		return Report{}, fmt.Errorf("name a FILE, or set %s", nodeconfig.EnvironmentVariable)
	}
	body, err := ReadFile(path)
	if err != nil {
		return Report{}, err
	}
	settings, err := nodeconfig.Parse(path, body)
	if err != nil {
		return failed(findingsOf(err)), nil
	}
	return passed("%s, role %s, zone %s, serves %v", settings.NodeName, settings.Role, settings.Zone, settings.ServedInterfaces), nil
}

// findingsOf takes an error of the settings apart.
func findingsOf(err error) []Finding {
	if joined, many := err.(interface{ Unwrap() []error }); many {
		var faults []Finding
		for _, part := range joined.Unwrap() {
			faults = append(faults, findingsOf(part)...)
		}
		return faults
	}
	var fault *nodeconfig.KeyError
	if direct, is := err.(*nodeconfig.KeyError); is {
		return []Finding{{Item: location(direct), Reason: direct.Reason}}
	}
	if inner := errors.Unwrap(err); inner != nil && errors.As(err, &fault) {
		return findingsOf(inner)
	}
	return []Finding{{Item: "file", Reason: err.Error()}}
}

// location names a key and its line; a missing key has none.
func location(fault *nodeconfig.KeyError) string {
	if fault.Line == 0 {
		return fault.Key
	}
	return fmt.Sprintf("line %d: %s", fault.Line, fault.Key)
}

// Configuration checks a whole configuration, as an operator would send it first.
func Configuration(path string) (Report, error) {
	body, err := ReadFile(path)
	if err != nil {
		return Report{}, err
	}
	document, err := configuration.ParseDocument(body)
	if err == nil {
		err = configuration.Validate(document.Configuration(), nil)
	}
	var invalid *configuration.InvalidError
	switch {
	case errors.As(err, &invalid):
		var faults []Finding
		for _, fault := range invalid.Items {
			faults = append(faults, Finding{Item: fault.Item, Reason: fault.Reason})
		}
		return failed(faults), nil
	case err != nil:
		return failed([]Finding{{Item: "file", Reason: err.Error()}}), nil
	}
	read := document.Configuration()
	return passed("generation %d: %d routes, %d services, %d tenants", read.Generation, len(read.Routes),
		len(read.Services), len(read.Tenants)), nil
}

// ReadFile reads a file that an operator names on a command line; - is standard input.
func ReadFile(path string) ([]byte, error) {
	switch path {
	case "":
		return nil, errors.New("name a FILE, or - for standard input")
	case "-":
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}
