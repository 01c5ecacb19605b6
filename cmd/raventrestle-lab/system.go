package main

import (
	"log/slog"
	"os"
	"path/filepath"

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
			if o.Programs == "" {
				own, err := os.Executable()
				if err != nil {
					return &failure{err}
				}
				o.Programs = filepath.Dir(own)
			}
			level := slog.LevelWarn
			if verbose {
				level = slog.LevelInfo
			}
			o.Log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
			o.Out = c.OutOrStdout()
			o.Stay = !once
			if err := system.Run(c.Context(), o); err != nil {
				return &failure{err}
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&o.Programs, "programs", "", "folder with raventrestle-control and raventrestle-router (default: this program's)")
	f.StringVar(&o.Dir, "dir", "", "folder for settings, data and logs (default: the system's for temporary files)")
	f.BoolVar(&o.Keep, "keep", false, "keep settings, data and logs")
	f.BoolVar(&once, "once", false, "end after the requests")
	f.BoolVar(&verbose, "orders", false, "tell the orders that endpoints get")
	return c
}

// upgradeCommand plays a rolling upgrade between two builds and back.
func upgradeCommand() *cobra.Command {
	var o system.UpgradeOptions
	c := &cobra.Command{
		Use: "upgrade", Args: cobra.NoArgs,
		Short: "Replace each process of the system by another build and back, under load, and tell what was lost",
		RunE: func(c *cobra.Command, _ []string) error {
			o.Log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
			o.Out = c.OutOrStdout()
			if err := system.RunUpgrade(c.Context(), o); err != nil {
				return &failure{err}
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&o.Programs, "from", "", "folder with raventrestle-control and raventrestle-router of the build that runs first")
	f.StringVar(&o.Next, "to", "", "folder with the same programs of the other build")
	f.StringVar(&o.Dir, "dir", "", "folder for settings, data and logs (default: the system's for temporary files)")
	f.BoolVar(&o.Keep, "keep", false, "keep settings, data and logs")
	for _, name := range []string{"from", "to"} {
		cobra.CheckErr(c.MarkFlagRequired(name))
	}
	return c
}
