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

// runCommand is the instance itself.
type runCommand struct{}

func (*runCommand) Name() string             { return "run" }
func (*runCommand) Synopsis() string         { return "run a control instance" }
func (*runCommand) SetFlags(_ *flag.FlagSet) {}

func (*runCommand) Usage() string {
	return "run\n  Runs a control instance with the settings file that " + nodeconfig.EnvironmentVariable + " names.\n"
}

func (*runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "raventrestle-control:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func run(ctx context.Context) error {
	settings, err := nodeconfig.FromEnvironment()
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	settings.Limits.ApplyMachineLimits()
	events := newEventLog(settings.LogLevel)
	instance, err := start(ctx, settings, events)
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
			events.stopped(instance.stop(ctx)) // the end itself went as asked, also where nobody took over
			return nil
		case err := <-instance.failed:
			return err
		}
	}
}

// reload takes in what of the settings may change while the instance runs.
func reload(events *eventLog) {
	settings, err := nodeconfig.FromEnvironment()
	if err == nil {
		events.setLevel(settings.LogLevel)
	}
	events.reloaded(err)
}
