// Command raventrestle-router is the data plane of the system: it forwards client requests to endpoints. See package
// raventrestle/internal/router/node for the process.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/phuslu/log"

	"raventrestle/internal/buildinfo"
	"raventrestle/internal/check"
	"raventrestle/internal/nodeconfig"
	"raventrestle/internal/router/node"
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "raventrestle-router")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&run{}, "")
	commander.Register(&buildinfo.Command{Program: "raventrestle-router"}, "")
	commander.Register(&check.Command{Program: "raventrestle-router"}, "")
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}

// run is the subcommand that serves until SIGTERM. Exit status 2 means that the settings file is invalid or missing, 1 that
// an address can't be opened or a listener failed.
type run struct{}

func (*run) Name() string             { return "run" }
func (*run) Synopsis() string         { return "forward client requests to endpoints until SIGTERM" }
func (*run) SetFlags(f *flag.FlagSet) {}
func (*run) Usage() string {
	return "run\n\tThe settings file is named by " + nodeconfig.EnvironmentVariable + ". SIGHUP reloads its seeds.\n"
}

func (*run) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	config, err := nodeconfig.FromEnvironment()
	if err != nil {
		fmt.Fprintln(os.Stderr, "raventrestle-router:", err)
		return subcommands.ExitUsageError
	}
	config.Limits.ApplyRuntimeLimits()
	logger := &log.Logger{Level: log.ParseLevel(config.LogLevel), Writer: &log.IOWriter{Writer: os.Stderr}}
	n, err := node.New(config, nodeconfig.FromEnvironment, logger)
	if err == nil {
		err = n.Run(signals)
	}
	if err != nil {
		logger.Error().Err(err).Msg("router.failed")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
