package check

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
)

// Command is the verb "check" of both programs.
type Command struct {
	Program  string    // its name in messages
	Out      io.Writer // nil: standard output
	settings bool
	deploy   bool
	asJSON   bool
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "check a configuration, a settings file or a deploy file" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `check [-json] FILE             checks a complete configuration
check [-json] -settings [FILE] checks a settings file, or the one that the environment names
check [-json] -deploy FILE     checks a deploy file
  A FILE of - is standard input. Prints a line for each finding: the item and the reason. The exit status is 0 for a valid
  file, 1 for an invalid one, and 2 where the file can't be read.
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&c.settings, "settings", false, "FILE is a settings file")
	flags.BoolVar(&c.deploy, "deploy", false, "FILE is a deploy file")
	flags.BoolVar(&c.asJSON, "json", false, "print the result as JSON")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	report, err := c.check(flags.Arg(0))
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: check: %v\n", c.Program, err)
		return subcommands.ExitUsageError
	}
	if err := c.print(report); err != nil {
		fmt.Fprintf(os.Stderr, "%s: check: %v\n", c.Program, err)
		return subcommands.ExitFailure
	}
	if !report.Good {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Command) check(path string) (Report, error) {
	switch {
	case c.settings && c.deploy:
		return Report{}, fmt.Errorf("-settings and -deploy exclude each other")
	case c.settings:
		return Settings(path)
	case c.deploy:
		return Deploy(path)
	}
	return Configuration(path)
}

func (c *Command) print(report Report) error {
	out := c.Out
	if out == nil {
		out = os.Stdout
	}
	if c.asJSON {
		return json.NewEncoder(out).Encode(report)
	}
	if report.Good {
		_, err := fmt.Fprintln(out, "good:", report.Summary)
		return err
	}
	for _, finding := range report.Findings {
		if _, err := fmt.Fprintf(out, "%s: %s\n", finding.Item, finding.Reason); err != nil {
			return err
		}
	}
	return nil
}
