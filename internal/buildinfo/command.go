package buildinfo

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
)

// Command is the verb "version" of both programs.
type Command struct {
	Program string    // its name in the line
	Out     io.Writer // nil: standard output
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "print which build of this program this is" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `version
  Prints the revision stamped by the build, or else the first characters of the program file's SHA-256, and the Go
  version.
`
}

// SetFlags implements subcommands.Command.
func (*Command) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *Command) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	out := c.Out
	if out == nil {
		out = os.Stdout
	}
	if _, err := fmt.Fprintln(out, Line(c.Program)); err != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
