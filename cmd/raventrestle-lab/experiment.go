package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"raventrestle/internal/lab"
	"raventrestle/internal/lab/experiment"
	"raventrestle/internal/lab/report"
)

func experimentCommand() *cobra.Command {
	var o lab.Options
	var out string
	c := &cobra.Command{
		Use: "experiment FILE", Short: "Play the same days on several sides, and compare; goes on where it was broken off",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			e, err := experiment.Parse(args[0], text)
			if err != nil {
				return err
			}
			if out == "" {
				out = filepath.Join("results", strings.TrimSuffix(filepath.Base(args[0]), ".cue"))
			}
			r, err := lab.RunExperiment(c.Context(), e, filepath.Dir(args[0]), out, os.Stderr, o)
			if e := write(c, e, r, out); e != nil {
				return &failure{errors.Join(e, err)}
			}
			if errors.Is(err, context.Canceled) {
				n := 0
				for _, days := range r {
					n += len(days)
				}
				return &failure{fmt.Errorf("broken off; %d days are kept in %s, and the same command goes on", n, out)}
			}
			if err != nil {
				return &failure{err}
			}
			var broken []string
			for side, days := range r {
				for _, d := range days {
					for _, v := range d.Violations {
						broken = append(broken, fmt.Sprintf("%s, %s, seed %d: %s", side, d.Scenario, d.Seed, v))
					}
				}
			}
			return verdict(broken)
		},
	}
	c.Flags().StringVar(&out, "out", "", "folder for the days (default: results/NAME)")
	courier(c, &o)
	schema := &cobra.Command{Use: "schema", Short: "Print every field of an experiment", Args: cobra.NoArgs, Run: func(c *cobra.Command, _ []string) {
		fmt.Fprint(c.OutOrStdout(), experiment.Text)
	}}
	c.AddCommand(schema)
	return c
}

// write prints what there is of an experiment, and keeps it beside the days with its charts.
func write(c *cobra.Command, e *experiment.Experiment, r lab.Results, out string) error {
	if r == nil {
		return nil
	}
	if err := lab.ResultsTable(c.OutOrStdout(), e, r); err != nil {
		return err
	}
	table, err := os.Create(filepath.Join(out, "table.md"))
	if err != nil {
		return err
	}
	if err := errors.Join(lab.ResultsTable(table, e, r), table.Close()); err != nil {
		return err
	}
	page, err := os.Create(filepath.Join(out, "report.html"))
	if err != nil {
		return err
	}
	return errors.Join(report.WriteSides(page, e, r), page.Close())
}

func shrinkCommand() *cobra.Command {
	var o lab.Options
	so := lab.ShrinkOptions{Progress: os.Stderr}
	var out, file string
	c := &cobra.Command{
		Use: "shrink DAY.json", Short: "Make a day that broke a rule smaller while it still breaks it", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			d, err := lab.ReadDay(args[0])
			if err != nil {
				return err
			}
			if file == "" {
				file = d.Scenario
			}
			s, err := lab.Find(file)
			if err != nil {
				return err
			}
			small, err := lab.Shrink(c.Context(), d, s, so, o)
			if err != nil {
				return &failure{err}
			}
			text, err := json.MarshalIndent(small, "", "  ")
			if err != nil {
				return &failure{err}
			}
			if out == "" {
				out = strings.TrimSuffix(args[0], ".json") + ".small"
			}
			if err := os.WriteFile(out, text, 0o644); err != nil {
				return &failure{err}
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: %q is broken by %d of %d messages; play it with: raventrestle-lab replay %s\n", out, small.Rule, len(small.Day.Plan()), d.Asked, out)
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&out, "out", "", "file for the small day (default: the day's, ending in .small)")
	f.StringVar(&file, "scenario", "", "the scenario's file, if it did not come with the program")
	f.StringVar(&so.Rule, "rule", "", "the rule, by name (default: the first that the day broke)")
	f.IntVar(&so.Plays, "plays", 2000, "plays at most")
	f.IntVar(&so.Tries, "tries", 2, "plays of each smaller day with real processes, which break a rule only sometimes")
	courier(c, &o)
	return c
}

func replayCommand() *cobra.Command {
	var o lab.Options
	c := &cobra.Command{
		Use: "replay FILE", Short: "Play a small day once; exit 1 if it breaks its rule", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := lab.ReadSmall(args[0])
			if err != nil {
				return err
			}
			broken, err := s.Play(c.Context(), nil, o)
			if err != nil {
				return &failure{err}
			}
			var all []string
			for _, v := range broken {
				all = append(all, v.String())
			}
			return verdict(all)
		},
	}
	courier(c, &o)
	return c
}

func rig() *cobra.Command {
	var o lab.Options
	var rates []float64
	var d time.Duration
	var out string
	c := &cobra.Command{
		Use: "rig", Short: "Raise the rate until the rig itself is late, with doubles for couriers", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			exe, err := os.Executable()
			if err != nil {
				return &failure{err}
			}
			o.Program = exe
			rows, err := lab.Rig(c.Context(), rates, d, []string{"double"}, o)
			if e := store(c.OutOrStdout(), out, rows, func(w io.Writer) error { return lab.RigTable(w, rows) }); e != nil || err != nil {
				return &failure{errors.Join(e, err)}
			}
			return nil
		},
	}
	f := c.Flags()
	f.Float64SliceVar(&rates, "rates", []float64{500, 1000, 2000, 4000, 6000, 8000, 12000, 16000}, "messages a second, one after the other")
	f.DurationVar(&d, "for", 10*time.Second, "length of each")
	f.StringVar(&out, "out", "", "folder for the table (table.md) and all figures (plays.json)")
	courier(c, &o)
	return c
}

func double() *cobra.Command {
	var fault string
	c := &cobra.Command{
		Use: "double", Short: "Be a courier that decides nothing, for the rig's own measurement", Hidden: true, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := lab.Double(c.Context(), os.Getenv, fault, os.Stderr); err != nil {
				return &failure{err}
			}
			return nil
		},
	}
	c.Flags().StringVar(&fault, "fault", "", "crash, deaf, hang or dies")
	return c
}
