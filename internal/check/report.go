package check

import (
	"errors"
	"fmt"
	"io"
	"os"
)

// Finding is one reason why a file is invalid.
type Finding struct {
	Item   string `json:"item"` // such as route "r-1", line 4: ip, or role router
	Reason string `json:"reason"`
}

// Report is the result of checking a file.
type Report struct {
	Good     bool      `json:"good"`
	Summary  string    `json:"summary,omitempty"` // of a valid file
	Findings []Finding `json:"faults,omitempty"`  // of an invalid one
}

func passed(format string, arguments ...any) Report {
	return Report{Good: true, Summary: fmt.Sprintf(format, arguments...)}
}

func failed(findings []Finding) Report { return Report{Findings: findings} }

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
