package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"raventrestle/internal/lab"
	"raventrestle/internal/lab/report"
)

// results reads the days of a folder, in the order of their files' names.
func results(dir string) ([]*lab.Day, []string, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, nil, err
	}
	if len(files) == 0 {
		return nil, nil, fmt.Errorf("no days in %s", dir)
	}
	var all []*lab.Day
	for _, f := range files {
		d, err := lab.ReadDay(f)
		if err != nil {
			return nil, nil, err
		}
		all = append(all, d)
	}
	return all, files, nil
}

func reportCommand() *cobra.Command {
	var out, title string
	c := &cobra.Command{
		Use: "report DIR", Short: "Make one HTML page, charts included, of a folder of days", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			found, files, err := results(args[0])
			if err != nil {
				return &failure{err}
			}
			var all []report.Day
			for i, d := range found {
				f, err := os.Open(strings.TrimSuffix(files[i], ".json") + ".csv")
				if err != nil {
					return &failure{err}
				}
				series, err := report.ReadSeries(f)
				if err = errors.Join(err, f.Close()); err != nil {
					return &failure{fmt.Errorf("%s: %w", f.Name(), err)}
				}
				all = append(all, report.Day{Day: d, Series: series})
			}
			if out == "" {
				out = filepath.Join(args[0], "report.html")
			}
			f, err := os.Create(out)
			if err != nil {
				return &failure{err}
			}
			if err := errors.Join(report.Write(f, title, all), f.Close()); err != nil {
				return &failure{err}
			}
			fmt.Fprintln(c.OutOrStdout(), out)
			return nil
		},
	}
	c.Flags().StringVar(&out, "out", "", "the page (default: report.html in the folder)")
	c.Flags().StringVar(&title, "title", "Days of the lab", "its heading")
	return c
}

func compareCommand() *cobra.Command {
	var brief bool
	c := &cobra.Command{
		Use: "compare A B", Short: "Say whether the days of folder B are better or worse than those of A, pair by pair",
		Args: cobra.ExactArgs(2), RunE: func(c *cobra.Command, args []string) error {
			a, _, err := results(args[0])
			if err != nil {
				return &failure{err}
			}
			b, _, err := results(args[1])
			if err != nil {
				return &failure{err}
			}
			if !brief {
				t := tabwriter.NewWriter(c.OutOrStdout(), 0, 8, 2, ' ', 0)
				fmt.Fprintln(t, "DAY\tA\tB\tB-A")
				for _, p := range lab.Pairs(a, b, "") {
					fmt.Fprintf(t, "%s, seed %d\t%.3f\t%.3f\t%+.3f\n", p.Scenario, p.Seed, p.A, p.B, p.B-p.A)
				}
				if err := t.Flush(); err != nil {
					return &failure{err}
				}
			}
			word, err := lab.Against(a, b, "")
			if err != nil {
				return &failure{err}
			}
			fmt.Fprintf(c.OutOrStdout(), "B against A, %s\n", word)
			return nil
		},
	}
	c.Flags().BoolVar(&brief, "brief", false, "without a line for each day")
	return c
}
