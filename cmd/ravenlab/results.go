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
	"raventrestle/internal/lab/compare"
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
	c := &cobra.Command{Use: "report DIR", Short: "Make one HTML page, charts included, of a folder of days", Args: cobra.ExactArgs(1),
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
		}}
	c.Flags().StringVar(&out, "out", "", "the page (default: report.html in the folder)")
	c.Flags().StringVar(&title, "title", "Days of the lab", "its heading")
	return c
}

func compareCommand() *cobra.Command {
	return &cobra.Command{Use: "compare A B", Short: "Say whether the days of folder B are better or worse than those of A, pair by pair",
		Args: cobra.ExactArgs(2), RunE: func(c *cobra.Command, args []string) error {
			a, _, err := results(args[0])
			if err != nil {
				return &failure{err}
			}
			b, _, err := results(args[1])
			if err != nil {
				return &failure{err}
			}
			name := func(d *lab.Day) string { return fmt.Sprintf("%s, seed %d", d.Scenario, d.Seed) }
			other := map[string]*lab.Day{}
			for _, d := range b {
				other[name(d)] = d
			}
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 8, 2, ' ', 0)
			fmt.Fprintln(t, "DAY\tA\tB\tB-A")
			var pairs []compare.Pair
			for _, d := range a {
				o := other[name(d)]
				if o == nil || d.Void != "" || o.Void != "" {
					continue
				}
				p := compare.Pair{Scenario: d.Scenario, Seed: d.Seed, A: d.Service.Figure, B: o.Service.Figure}
				pairs = append(pairs, p)
				fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%+.3f\n", name(d), p.A, p.B, p.B-p.A)
			}
			if err := t.Flush(); err != nil {
				return &failure{err}
			}
			r, err := compare.Of(pairs)
			if err != nil {
				return &failure{err}
			}
			word := "B is better"
			switch {
			case r.Noise:
				word = "noise: nothing is shown"
			case r.Mean < 0:
				word = "B is worse"
			}
			fmt.Fprintf(c.OutOrStdout(), "%d pairs: %+.4f, 95%% between %+.4f and %+.4f: %s\n", r.Pairs, r.Mean, r.Low, r.High, word)
			return nil
		}}
}
