package check

import (
	"errors"
	"fmt"
	"os"

	"raventrestle/internal/nodeconfig"
)

// Settings checks a settings file. An empty path is replaced by that of the environment (nodeconfig.EnvironmentVariable).
// The error says that the file can't be read.
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
	config, err := nodeconfig.Parse(path, body)
	if err != nil {
		return failed(findingsOf(err)), nil
	}
	return passed("%s, role %s, zone %s, serves %v", config.NodeName, config.Role, config.Zone, config.ServedInterfaces), nil
}

// findingsOf returns a finding for each key error that an error of nodeconfig wraps, or one for the file.
func findingsOf(err error) []Finding {
	if joined, many := err.(interface{ Unwrap() []error }); many {
		var findings []Finding
		for _, part := range joined.Unwrap() {
			findings = append(findings, findingsOf(part)...)
		}
		return findings
	}
	if direct, is := err.(*nodeconfig.KeyError); is {
		return []Finding{{Item: location(direct), Reason: direct.Reason}}
	}
	var wrapped *nodeconfig.KeyError
	if inner := errors.Unwrap(err); inner != nil && errors.As(err, &wrapped) {
		return findingsOf(inner)
	}
	return []Finding{{Item: "file", Reason: err.Error()}}
}

// location names a key with its line; a missing key has none.
func location(err *nodeconfig.KeyError) string {
	if err.Line == 0 {
		return err.Key
	}
	return fmt.Sprintf("line %d: %s", err.Line, err.Key)
}
