// Raventrestle-control is the control plane: it keeps the operator's configuration on the machines of the core,
// knows the endpoints, brings both to the routers and places the models.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/google/subcommands"

	"raventrestle/internal/check"
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "raventrestle-control")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(&runCommand{}, "")
	commander.Register(&versionCommand{}, "")
	commander.Register(&check.Command{Program: "raventrestle-control"}, "")
	commander.Register(&configCommand{}, "")
	for _, table := range tableCommands() {
		commander.Register(table, "")
	}
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}

// versionCommand prints what this program was built from.
type versionCommand struct{}

func (*versionCommand) Name() string             { return "version" }
func (*versionCommand) Synopsis() string         { return "print the version of this program" }
func (*versionCommand) Usage() string            { return "version\n" }
func (*versionCommand) SetFlags(_ *flag.FlagSet) {}

func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println(version())
	return subcommands.ExitSuccess
}

func version() string {
	const unknown = "raventrestle-control (development)"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknown
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return "raventrestle-control " + setting.Value + " " + info.GoVersion
		}
	}
	return unknown + " " + info.GoVersion
}
