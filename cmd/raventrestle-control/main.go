// Raventrestle-control is the control plane: it replicates the operator's configuration among the core machines, registers
// endpoints, sends both to the routers, places models and issues credit for the tenants' limits. Its verb "run" is an instance; the others are
// commands for people, which ask an instance over HTTP or check files.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"raventrestle/internal/buildinfo"
	"raventrestle/internal/check"
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "raventrestle-control")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(&runCommand{}, "")
	commander.Register(&buildinfo.Command{Program: "raventrestle-control"}, "")
	commander.Register(&check.Command{Program: "raventrestle-control"}, "")
	commander.Register(&configCommand{}, "")
	commander.Register(&quotaCommand{}, "")
	for _, table := range tableCommands() {
		commander.Register(table, "")
	}
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}
