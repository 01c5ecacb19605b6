package main

import (
	"errors"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"raventrestle/internal/lab/faultschedule"
)

// daysCommand returns the command that writes fault schedules, called days, for the operators' benchmark.
func daysCommand() *cobra.Command {
	var o faultschedule.Options
	c := &cobra.Command{
		Use: "days", Args: cobra.NoArgs, Short: "Generate fault schedules for the operators' benchmark, fitted to a site file",
		Long: "Generate fault schedules for the operators' benchmark, one file per seed and theme. The themes:\n" + themeLines(),
		RunE: func(c *cobra.Command, _ []string) error {
			paths, err := faultschedule.Write(o)
			var flag *faultschedule.FlagError
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
	f.StringVar(&o.Site, "site", "", "the site file (required)")
	f.StringVar(&o.Out, "out", "", "directory for the schedules (required)")
	f.StringSliceVar(&o.Themes, "themes", nil, "themes, separated by commas (default: all)")
	f.Uint64Var(&o.First, "first", 1, "first seed")
	f.Uint64Var(&o.Last, "last", 1, "last seed")
	return c
}

// themeLines returns one line of help text for each theme.
func themeLines() string {
	var lines strings.Builder
	for _, theme := range faultschedule.Themes() {
		fmt.Fprintf(&lines, "  %-8s %s\n", theme.Name, theme.Description)
	}
	return lines.String()
}
