// Command raventrestle-router is the data plane: it takes the clients' requests and brings them to endpoints.
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

// run serves until SIGTERM.
type run struct{}

func (*run) Name() string             { return "run" }
func (*run) Synopsis() string         { return "take the clients' requests until SIGTERM" }
func (*run) SetFlags(f *flag.FlagSet) {}
func (*run) Usage() string {
	return "run\n\tThe settings file is named by " + nodeconfig.EnvironmentVariable + ". SIGHUP reads its seeds again.\n"
}

func (*run) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	settings, err := nodeconfig.FromEnvironment()
	if err != nil {
		fmt.Fprintln(os.Stderr, "raventrestle-router:", err)
		return subcommands.ExitUsageError
	}
	settings.Limits.ApplyRuntimeLimits()
	logger := &log.Logger{Level: log.ParseLevel(settings.LogLevel), Writer: &log.IOWriter{Writer: os.Stderr}}
	n, err := node.New(settings, nodeconfig.FromEnvironment, logger)
	if err == nil {
		err = n.Run(signals)
	}
	if err != nil {
		logger.Error().Err(err).Msg("router.failed")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
