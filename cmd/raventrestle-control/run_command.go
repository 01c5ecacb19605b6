package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"raventrestle/internal/nodeconfig"
)

// runCommand is the verb "run": an instance, until SIGTERM or SIGINT.
type runCommand struct{}

func (*runCommand) Name() string             { return "run" }
func (*runCommand) Synopsis() string         { return "run a control instance" }
func (*runCommand) SetFlags(_ *flag.FlagSet) {}

func (*runCommand) Usage() string {
	return "run\n  Runs a control instance with the settings file in " + nodeconfig.EnvironmentVariable + ".\n  SIGHUP reads log.level from it again.\n"
}

func (*runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "raventrestle-control:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// run runs an instance until a signal ends it or it fails.
func run(ctx context.Context) error {
	config, err := nodeconfig.FromEnvironment()
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	config.Limits.ApplyMachineLimits()
	events := newEventLog(config.LogLevel)
	instance, err := start(ctx, config, events)
	if err != nil {
		return err
	}
	for {
		select {
		case received := <-signals:
			if received == syscall.SIGHUP {
				reload(events)
				continue
			}
			events.stopping(received.String())
			events.stopped(instance.stop(ctx)) // an orderly end, also where no other instance could take over
			return nil
		case err := <-instance.failed:
			return err
		}
	}
}

// reload applies what of the settings may change while the instance runs: the log level.
func reload(events *eventLog) {
	config, err := nodeconfig.FromEnvironment()
	if err == nil {
		events.setLevel(config.LogLevel)
	}
	events.reloaded(err)
}
