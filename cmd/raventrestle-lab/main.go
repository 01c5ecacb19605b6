// Command raventrestle-lab plays scenarios on this project's own emulator, with real courier processes on
// loopback addresses.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"raventrestle/internal/lab"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "raventrestle-lab:", err)
		var failed *failure
		if errors.As(err, &failed) {
			os.Exit(1)
		}
		os.Exit(2)
	}
}

// failure is an error of a run, not of its usage.
type failure struct{ error }

func root() *cobra.Command {
	c := &cobra.Command{
		Use: "raventrestle-lab", Short: "Play scenarios against real couriers on an emulated world",
		SilenceErrors: true, SilenceUsage: true,
	}
	c.AddCommand(run(), scenarioCommands(), reportCommand(), compareCommand(), experimentCommand(), shrinkCommand(), replayCommand(),
		rig(), double(), cost(), demo(), systemCommand(), upgradeCommand(), soakCommand(), daysCommand())
	return c
}

// courier fills in what every verb needs of the courier's program.
func courier(c *cobra.Command, o *lab.Options) {
	f := c.Flags()
	f.StringVar(&o.Program, "courier", "", "the courier's program (default: raventrestle beside this one)")
	f.StringVar(&o.Dir, "dir", "", "folder for the couriers' folders (default: the system's for temporary files)")
	f.BoolVar(&o.Keep, "keep", false, "keep the couriers' folders and logs")
	inner := c.RunE
	c.RunE = func(c *cobra.Command, args []string) error {
		o.Log = slog.New(slog.NewTextHandler(os.Stderr, nil))
		if o.Program == "" {
			exe, err := os.Executable()
			if err != nil {
				return &failure{err}
			}
			o.Program = filepath.Join(filepath.Dir(exe), "raventrestle")
		}
		return inner(c, args)
	}
}

func demo() *cobra.Command {
	var o lab.Options
	c := &cobra.Command{
		Use: "demo", Short: "Run one courier in a small world, to try it by hand", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := lab.Demo(c.Context(), c.OutOrStdout(), o); err != nil {
				return &failure{err}
			}
			return nil
		},
	}
	courier(c, &o)
	return c
}

func cost() *cobra.Command {
	var o lab.Options
	var clients, letters, body int
	var d time.Duration
	c := &cobra.Command{
		Use: "cost", Short: "Measure what keeping dead letters costs: rate and memory, on against off", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			rows, err := lab.Cost(c.Context(), clients, d, o)
			if err != nil {
				return &failure{err}
			}
			if err := lab.CostTable(c.OutOrStdout(), rows); err != nil {
				return &failure{err}
			}
			fmt.Fprintln(c.OutOrStdout())
			rest, err := lab.AtRest(c.Context(), []int{0, letters / 10, letters}, body, o)
			if err != nil {
				return &failure{err}
			}
			if err := lab.RestTable(c.OutOrStdout(), rest); err != nil {
				return &failure{err}
			}
			return nil
		},
	}
	courier(c, &o)
	f := c.Flags()
	f.IntVar(&clients, "clients", 64, "clients at each courier")
	f.DurationVar(&d, "for", 20*time.Second, "length of the load")
	f.IntVar(&letters, "letters", 100000, "dead letters at rest")
	f.IntVar(&body, "body", 200, "bytes of each dead letter's body")
	return c
}

func run() *cobra.Command {
	var o lab.Options
	var seed uint64
	var seeds, side int
	var out, fleet string
	var alone bool
	c := &cobra.Command{
		Use: "run NAME", Short: "Play a scenario, or undeliverable or cold-return; exit 1 if a rule is broken", Args: cobra.ExactArgs(1),
		ValidArgs: append(lab.Names(), "undeliverable", "cold-return"), RunE: func(c *cobra.Command, args []string) error {
			for i := range seeds {
				o.Seeds = append(o.Seeds, seed+uint64(i))
			}
			switch args[0] {
			case "undeliverable":
			case "cold-return":
				return coldReturn(c, out, o)
			default:
				if fleet != "" && fleet != "off" {
					return fmt.Errorf("--fleet %q: set off, or leave it out for what the scenario says", fleet)
				}
				o.NoFleet = fleet == "off"
				return days(c, args[0], o.Seeds, side, out, alone, o)
			}
			plays, err := lab.Undeliverable(c.Context(), o)
			if err != nil {
				return &failure{err}
			}
			if err := store(c.OutOrStdout(), out, plays, func(w io.Writer) error { return lab.Table(w, plays) }); err != nil {
				return &failure{err}
			}
			var broken []string
			for _, p := range plays {
				broken = append(broken, p.Violations...)
			}
			return verdict(broken)
		},
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "first seed")
	f.IntVar(&seeds, "seeds", 1, "how many seeds, from the first on, side by side")
	f.IntVar(&side, "side-by-side", 1, "days of a scenario played at once; each needs about a core")
	f.StringVar(&out, "out", "", "folder for the table (table.md) and all figures (plays.json)")
	f.StringVar(&fleet, "fleet", "", "off: the scenario's couriers share nothing, on the same day otherwise")
	f.BoolVar(&alone, "virtual", false, "against the decision module alone, in virtual time")
	f.BoolVar(&o.Short, "short", false, "a run of some seconds")
	courier(c, &o)
	return c
}

func coldReturn(c *cobra.Command, out string, o lab.Options) error {
	rows, err := lab.ColdReturn(c.Context(), []int{0, 500}, o)
	if err != nil {
		return &failure{err}
	}
	if err := store(c.OutOrStdout(), out, rows, func(w io.Writer) error { return lab.ReturnTable(w, rows) }); err != nil {
		return &failure{err}
	}
	var broken []string
	for _, r := range rows {
		broken = append(broken, r.Violations...)
	}
	return verdict(broken)
}

// verdict prints the broken rules, each with its message's history.
func verdict(broken []string) error {
	for _, v := range broken {
		fmt.Fprintln(os.Stderr, v)
	}
	if len(broken) > 0 {
		return &failure{fmt.Errorf("%d violations", len(broken))}
	}
	return nil
}

// store prints the table and, if a folder is named, keeps it there beside all figures.
func store(w io.Writer, dir string, figures any, table func(io.Writer) error) error {
	if err := table(w); err != nil || dir == "" {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(figures, "", "  ")
	if err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(dir, "table.md"))
	if err != nil {
		return err
	}
	return errors.Join(os.WriteFile(filepath.Join(dir, "plays.json"), text, 0o644), table(file), file.Close())
}
