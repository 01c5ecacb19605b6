// Command raventrestle is one courier on sockets, and the operators' commands for it. Without a
// sub-command it takes messages from clients, decides with the module when and where each leaves,
// and owes each its end, across its own restarts.
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
	exitUsage  = 2  // wrong usage or invalid settings: another try fares no better
	exitOwned  = 75 // another courier has the folder: try again later (EX_TEMPFAIL)
)

// failure is an error of the command's work, not of its usage.
type failure struct{ error }

func (f failure) Unwrap() error { return f.error }

func main() { os.Exit(execute(os.Args[1:])) }

func execute(args []string) int {
	root := commands()
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "raventrestle:", err)
	var invalid *settings.InvalidFileError
	var failed failure
	if errors.As(err, &invalid) || !errors.As(err, &failed) {
		return exitUsage
	}
	if errors.Is(err, errOwned) {
		return exitOwned
	}
	return exitFailed
}

// works makes a command's errors those of its work.
func works(f func(*cobra.Command, []string) error) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, args []string) error {
		if err := f(c, args); err != nil {
			return failure{err}
		}
		return nil
	}
}

func commands() *cobra.Command {
	file := os.Getenv("RAVENTRESTLE_SETTINGS")
	serve := works(func(c *cobra.Command, _ []string) error { return serve(c.Context(), file) })
	root := &cobra.Command{
		Use: "raventrestle", Short: "A courier that delivers messages and owes each its end",
		Args: cobra.NoArgs, SilenceErrors: true, SilenceUsage: true, RunE: serve,
	}
	run := &cobra.Command{Use: "run", Short: "Run the courier, as without a sub-command", Args: cobra.NoArgs, RunE: serve}
	run.Flags().StringVar(&file, "settings", file, "operators' settings (CUE); RAVENTRESTLE_SETTINGS names it too")
	root.AddCommand(run, settingsCommands(), undeliverableCommands(&file), statusCommand(&file), drainCommand(&file, true), drainCommand(&file, false), versionCommand())
	return root
}

func versionCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use: "version", Short: "Print what this program was built from", Args: cobra.NoArgs,
		RunE: works(func(c *cobra.Command, _ []string) error {
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
				return print(c, v)
			}
			fmt.Fprintf(c.OutOrStdout(), "raventrestle %s, %s %s\n", v["version"], v["go"], v["vcs.revision"])
			return nil
		}),
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// print writes JSON for programs to read.
func print(c *cobra.Command, v any) error {
	e := json.NewEncoder(c.OutOrStdout())
	e.SetIndent("", "  ")
	return e.Encode(v)
}
