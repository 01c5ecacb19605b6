package main

import (
	"errors"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"raventrestle/internal/lab/daydraw"
)

// daysCommand writes days for the users' bench.
func daysCommand() *cobra.Command {
	var o daydraw.Options
	c := &cobra.Command{
		Use: "days", Args: cobra.NoArgs, Short: "Draw days of trouble for the users' bench, fitted to a site file",
		Long: "Draw days of trouble for the users' bench, one file a seed and theme. The themes:\n" + themeLines(),
		RunE: func(c *cobra.Command, _ []string) error {
			paths, err := daydraw.Write(o)
			var flag *daydraw.FlagError
			if errors.As(err, &flag) {
				return err
			}
			if err != nil {
				return &failure{err}
			}
			fmt.Fprintf(c.OutOrStdout(), "%d days in %s\n", len(paths), o.Out)
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&o.Site, "site", "", "the site file (needed)")
	f.StringVar(&o.Out, "out", "", "folder for the days (needed)")
	f.StringSliceVar(&o.Themes, "themes", nil, "themes, by commas (default: all)")
	f.Uint64Var(&o.First, "first", 1, "first seed")
	f.Uint64Var(&o.Last, "last", 1, "last seed")
	return c
}

// themeLines tells of each theme in a line.
func themeLines() string {
	var lines strings.Builder
	for _, theme := range daydraw.Themes() {
		fmt.Fprintf(&lines, "  %-8s %s\n", theme.Name, theme.About)
	}
	return lines.String()
}
