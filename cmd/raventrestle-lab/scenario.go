package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"raventrestle/internal/lab"
	"raventrestle/internal/lab/scenario"
)

// scenarioCommands check and show scenarios without playing them.
func scenarioCommands() *cobra.Command {
	root := &cobra.Command{Use: "scenario", Short: "Check, show and list scenarios"}
	var seed uint64
	check := &cobra.Command{
		Use: "check NAME|FILE...", Short: "Check scenarios; the first fault is told by line and field",
		Args: cobra.MinimumNArgs(1), RunE: func(c *cobra.Command, args []string) error {
			for _, name := range args {
				s, err := lab.Find(name)
				if err == nil {
					_, err = s.Generate(seed)
				}
				if err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: valid\n", name)
			}
			return nil
		},
	}
	show := &cobra.Command{
		Use: "show NAME|FILE", Short: "Print the day that a seed draws, as JSON", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := lab.Find(args[0])
			if err != nil {
				return err
			}
			day, err := s.Generate(seed)
			if err != nil {
				return err
			}
			day.Log, day.Done = nil, nil
			var out bytes.Buffer
			e := json.NewEncoder(&out)
			e.SetIndent("", "  ")
			if err := e.Encode(day); err != nil {
				return &failure{err}
			}
			_, err = out.WriteTo(c.OutOrStdout())
			return err
		},
	}
	show.Flags().Uint64Var(&seed, "seed", 1, "seed of the day")
	list := &cobra.Command{
		Use: "list", Short: "List the scenarios that come with the program", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 8, 2, ' ', 0)
			for _, name := range lab.Names() {
				s, err := lab.Find(name)
				if err != nil {
					return &failure{err}
				}
				fmt.Fprintf(t, "%s\t%s\n", name, s.Description)
			}
			return t.Flush()
		},
	}
	schema := &cobra.Command{
		Use: "schema", Short: "Print the schema: every field, its range, default and meaning", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprint(c.OutOrStdout(), scenario.Schema)
			return err
		},
	}
	root.AddCommand(check, show, list, schema)
	return root
}

// days plays a scenario's days of so many seeds, some side by side, and keeps each as it ends.
func days(c *cobra.Command, name string, seeds []uint64, side int, out string, alone bool, o lab.Options) error {
	s, err := lab.Find(name)
	if err != nil {
		return err
	}
	var jobs []lab.Job
	for _, seed := range seeds {
		jobs = append(jobs, lab.Job{Scenario: s, Seed: seed, Virtual: alone, Out: out, Options: o})
	}
	all, err := lab.PlayAll(c.Context(), jobs, side, os.Stderr)
	var kept []*lab.Day
	var broken []string
	for _, d := range all {
		if d == nil {
			continue
		}
		kept = append(kept, d)
		broken = append(broken, d.Violations...)
		for _, f := range d.Failed {
			broken = append(broken, fmt.Sprintf("%s, seed %d: %s", d.Scenario, d.Seed, f))
		}
		if d.Void != "" {
			broken = append(broken, fmt.Sprintf("%s, seed %d is void: %s", d.Scenario, d.Seed, d.Void))
		}
	}
	if e := lab.DayTable(c.OutOrStdout(), kept); e != nil {
		return &failure{e}
	}
	if err != nil {
		return &failure{err}
	}
	for _, b := range broken {
		fmt.Fprintln(os.Stderr, strings.TrimSpace(b))
	}
	if len(broken) > 0 {
		return &failure{fmt.Errorf("%d findings", len(broken))}
	}
	return nil
}
