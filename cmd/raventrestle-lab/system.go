package main

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"raventrestle/internal/lab/system"
)

// systemCommand runs the whole system on loopback addresses.
func systemCommand() *cobra.Command {
	var o system.Options
	var once, verbose bool
	c := &cobra.Command{
		Use: "system", Args: cobra.NoArgs,
		Short: "Run control plane, routers and stand-in endpoints on loopback, and serve some requests",
		RunE: func(c *cobra.Command, _ []string) error {
			level := slog.LevelWarn
			if verbose {
				level = slog.LevelInfo
			}
			if err := completeOptions(c, &o, level); err != nil {
				return err
			}
			o.Stay = !once
			if err := system.Run(c.Context(), o); err != nil {
				return &failure{err}
			}
			return nil
		},
	}
	f := c.Flags()
	programsFlag(c, &o)
	folderFlags(c, &o)
	f.BoolVar(&once, "once", false, "end after the requests")
	f.BoolVar(&verbose, "orders", false, "tell the orders that endpoints get")
	return c
}

// programsFlag adds the flag for the folder of the programs.
func programsFlag(c *cobra.Command, o *system.Options) {
	c.Flags().StringVar(&o.Programs, "programs", "", "folder with raventrestle-control and raventrestle-router (default: this program's)")
}

// folderFlags adds the flags for the folder of a run.
func folderFlags(c *cobra.Command, o *system.Options) {
	f := c.Flags()
	f.StringVar(&o.Dir, "dir", "", "folder for settings, data and logs (default: the system's for temporary files)")
	f.BoolVar(&o.Keep, "keep", false, "keep settings, data and logs")
}

// completeOptions fills in what the flags do not say.
func completeOptions(c *cobra.Command, o *system.Options, level slog.Level) error {
	if o.Programs == "" {
		own, err := os.Executable()
		if err != nil {
			return &failure{err}
		}
		o.Programs = filepath.Dir(own)
	}
	o.Log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	o.Out = c.OutOrStdout()
	return nil
}

// upgradeCommand plays a rolling upgrade between two builds and back.
func upgradeCommand() *cobra.Command {
	var o system.UpgradeOptions
	c := &cobra.Command{
		Use: "upgrade", Args: cobra.NoArgs,
		Short: "Replace each process of the system by another build and back, under load, and tell what was lost",
		RunE: func(c *cobra.Command, _ []string) error {
			if err := completeOptions(c, &o.Options, slog.LevelWarn); err != nil {
				return err
			}
			if err := system.RunUpgrade(c.Context(), o); err != nil {
				return &failure{err}
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&o.Programs, "from", "", "folder with raventrestle-control and raventrestle-router of the build that runs first")
	f.StringVar(&o.Next, "to", "", "folder with the same programs of the other build")
	folderFlags(c, &o.Options)
	for _, name := range []string{"from", "to"} {
		cobra.CheckErr(c.MarkFlagRequired(name))
	}
	return c
}

// soakCommand plays series of faults that overlap on the whole system, and checks the rules.
func soakCommand() *cobra.Command {
	var o system.SoakOptions
	c := &cobra.Command{
		Use: "soak", Args: cobra.NoArgs,
		Short: "Run the system under overlapping faults, restarts and changes, and check what clients and operator see",
		RunE: func(c *cobra.Command, _ []string) error {
			if o.Duration <= 0 || o.Routers < 1 || o.Routers > maxSoakRouters {
				return fmt.Errorf("want --for above 0 and --routers from 1 to %d", maxSoakRouters)
			}
			if err := completeOptions(c, &o.Options, slog.LevelWarn); err != nil {
				return err
			}
			if err := system.RunSoak(c.Context(), o); err != nil {
				return &failure{err}
			}
			return nil
		},
	}
	f := c.Flags()
	programsFlag(c, &o.Options)
	folderFlags(c, &o.Options)
	f.Uint64Var(&o.Seed, "seed", 1, "draws faults, requests and changes")
	f.DurationVar(&o.Duration, "for", 20*time.Second, "length of the faults")
	f.IntVar(&o.Routers, "routers", 2, "number of routers")
	f.BoolVar(&o.JSON, "json", false, "print the summary as JSON")
	return c
}

// maxSoakRouters keeps a run to a few hundred processes.
const maxSoakRouters = 200
