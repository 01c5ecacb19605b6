package main

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"raventrestle/internal/settings"
)

// settingsCommands returns the commands that check and show settings files, by running the helper, which includes the CUE
// evaluator.
func settingsCommands() *cobra.Command {
	root := &cobra.Command{Use: "settings", Short: "Check and show the operators' settings"}
	var asJSON bool
	check := &cobra.Command{
		Use: "check FILE", Short: "Check a file; print the line and field of the first mistake",
		Args: cobra.ExactArgs(1), RunE: withFailure(func(c *cobra.Command, args []string) error {
			_, err := settings.Load(c.Context(), args[0])
			if asJSON {
				v := map[string]any{"file": args[0], "valid": err == nil}
				if err != nil {
					v["error"] = err.Error()
				}
				if e := printJSON(c, v); e != nil {
					return e
				}
				return err
			}
			if err == nil {
				fmt.Fprintf(c.OutOrStdout(), "%s: valid\n", args[0])
			}
			return err
		}),
	}
	check.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	show := &cobra.Command{
		Use: "show FILE", Short: "Print a file's settings as JSON, all defaults filled in",
		Args: cobra.ExactArgs(1), RunE: withFailure(func(c *cobra.Command, args []string) error {
			text, err := settings.RunHelper(c.Context(), "export", args[0])
			if err != nil {
				return err
			}
			var out bytes.Buffer
			if err := json.Indent(&out, text, "", "  "); err != nil {
				return err
			}
			_, err = out.WriteTo(c.OutOrStdout())
			return err
		}),
	}
	schema := &cobra.Command{
		Use: "schema", Short: "Print the schema: every field, its range, default and meaning",
		Args: cobra.NoArgs, RunE: withFailure(func(c *cobra.Command, _ []string) error {
			text, err := settings.RunHelper(c.Context(), "schema")
			if err == nil {
				_, err = c.OutOrStdout().Write(text)
			}
			return err
		}),
	}
	root.AddCommand(check, show, schema)
	return root
}
