// Command raventrestle-settings validates the operators' settings files and exports them as JSON for the daemon. It is a
// separate program so that the daemon does not include the CUE evaluator.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"raventrestle/internal/settings/schema"
)

func main() {
	root := &cobra.Command{
		Use: "raventrestle-settings", Short: "Check settings files (used by raventrestle)",
		SilenceErrors: true, SilenceUsage: true,
	}
	root.AddCommand(
		&cobra.Command{
			Use: "export FILE", Short: "Check a file and print it as JSON with all defaults filled in",
			Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
				out, err := schema.CompileFile(args[0])
				if err == nil {
					_, err = fmt.Fprintf(c.OutOrStdout(), "%s\n", out)
				}
				return err
			},
		},
		&cobra.Command{
			Use: "schema", Short: "Print the schema", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				_, err := fmt.Fprint(c.OutOrStdout(), schema.Source)
				return err
			},
		})
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
