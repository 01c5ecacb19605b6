// Command raventrestle is the courier, and has the operators' commands for it. Without a sub-command it runs the courier,
// which accepts messages from clients, lets the decision module decide when and where to send each, and sees each to its
// outcome, also across its own restarts.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"raventrestle/internal/settings"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2  // wrong usage or invalid settings: a retry does not help
	exitLocked = 75 // another courier uses the state directory: try again later (EX_TEMPFAIL)
)

// workError is an error in the work of a command, as opposed to an error in its usage.
type workError struct{ error }

func (f workError) Unwrap() error { return f.error }

func main() { os.Exit(execute(os.Args[1:])) }

func execute(args []string) int {
	root := rootCommand()
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "raventrestle:", err)
	var invalid *settings.InvalidFileError
	var failed workError
	if errors.As(err, &invalid) || !errors.As(err, &failed) {
		return exitUsage
	}
	if errors.Is(err, errStateDirLocked) {
		return exitLocked
	}
	return exitFailed
}

// withFailure wraps the errors of a command's work as [workError].
func withFailure(f func(*cobra.Command, []string) error) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, args []string) error {
		if err := f(c, args); err != nil {
			return workError{err}
		}
		return nil
	}
}

func rootCommand() *cobra.Command {
	file := os.Getenv("RAVENTRESTLE_SETTINGS")
	serve := withFailure(func(c *cobra.Command, _ []string) error { return serve(c.Context(), file) })
	root := &cobra.Command{
		Use: "raventrestle", Short: "A courier that delivers messages and reports the outcome of each",
		Args: cobra.NoArgs, SilenceErrors: true, SilenceUsage: true, RunE: serve,
	}
	run := &cobra.Command{Use: "run", Short: "Run the courier, as without a sub-command", Args: cobra.NoArgs, RunE: serve}
	run.Flags().StringVar(&file, "settings", file, "operators' settings file (CUE); default: the file that RAVENTRESTLE_SETTINGS names")
	root.AddCommand(run, settingsCommands(), undeliverableCommands(&file), statusCommand(&file), drainCommand(&file, true), drainCommand(&file, false), versionCommand())
	return root
}

func versionCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use: "version", Short: "Print the version, the Go version and the revision of this build", Args: cobra.NoArgs,
		RunE: withFailure(func(c *cobra.Command, _ []string) error {
			v := map[string]string{"program": "raventrestle"}
			if info, ok := debug.ReadBuildInfo(); ok {
				v["version"], v["go"] = info.Main.Version, info.GoVersion
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" || s.Key == "vcs.time" || s.Key == "vcs.modified" {
						v[s.Key] = s.Value
					}
				}
			}
			if asJSON {
				return printJSON(c, v)
			}
			fmt.Fprintf(c.OutOrStdout(), "raventrestle %s, %s %s\n", v["version"], v["go"], v["vcs.revision"])
			return nil
		}),
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// printJSON writes a value as indented JSON to the command's output.
func printJSON(c *cobra.Command, v any) error {
	e := json.NewEncoder(c.OutOrStdout())
	e.SetIndent("", "  ")
	return e.Encode(v)
}
