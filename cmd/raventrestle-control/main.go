// Raventrestle-control is the control plane: it keeps the operator's configuration on the machines of the core,
// knows the endpoints, brings both to the routers and places the models.
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
	for _, table := range tableCommands() {
		commander.Register(table, "")
	}
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}
