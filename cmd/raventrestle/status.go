package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"raventrestle/internal/net/admin"
	"raventrestle/internal/settings"
)

// connect returns a client of the running courier, through the given socket or the one in the settings file.
func connect(ctx context.Context, file, socket string) (*admin.Client, error) {
	if socket == "" && file != "" {
		set, err := settings.Load(ctx, file)
		if err != nil {
			return nil, err
		}
		socket = set.Admin.Socket
	}
	if socket == "" {
		return nil, errors.New("no socket is given: use --socket, or --settings with a file that sets admin.socket")
	}
	c := &admin.Client{Path: socket}
	if !c.Reaches() {
		return nil, fmt.Errorf("no courier answers at %s", socket)
	}
	return c, nil
}

func statusCommand(file *string) *cobra.Command {
	var socket string
	var asJSON bool
	c := &cobra.Command{
		Use: "status", Short: "Show the state of a running courier, by channel; exit 1 if none answers", Args: cobra.NoArgs,
		RunE: withFailure(func(c *cobra.Command, _ []string) error {
			client, err := connect(c.Context(), *file, socket)
			if err != nil {
				return err
			}
			s, err := client.Status(c.Context())
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(c, s)
			}
			return writeStatus(c.OutOrStdout(), s, time.Now())
		}),
	}
	f := c.Flags()
	f.StringVar(&socket, "socket", "", "the courier's admin socket (default: the settings')")
	f.StringVar(file, "settings", *file, "operators' settings (CUE)")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// writeStatus writes the status as text.
func writeStatus(out io.Writer, s admin.Status, now time.Time) error {
	ago := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return now.Sub(t).Round(100 * time.Millisecond).String()
	}
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	r, c := s.Report, s.Courier
	fmt.Fprintf(t, "courier\t%s, process %d, at %s\n", s.Name, s.PID, s.Listen)
	fmt.Fprintf(t, "state\t%s for %s, up for %s\n", r.State, ago(r.Since), ago(r.Started))
	if len(r.Reasons) > 0 {
		fmt.Fprintf(t, "not ready\t%s\n", strings.Join(r.Reasons, "; "))
	}
	if len(r.Troubles) > 0 {
		fmt.Fprintf(t, "trouble\t%s\n", strings.Join(r.Troubles, "; "))
	}
	fmt.Fprintf(t, "messages\t%d held of %d, %d of them resends; %d owed their end\n", c.Held, c.MaxHeld, c.Resends, c.Pending)
	fmt.Fprintf(t, "tries\t%d out in %d slots\n", c.InFlight, c.Slots)
	fmt.Fprintf(t, "journal\t%.1f KB\n", float64(s.JournalBytes)/1024)
	fmt.Fprintf(t, "list\tversion %d, last answer %s ago\n", c.ListIndex, ago(c.ListedAt))
	fmt.Fprintf(t, "settings\t%s\n", cmp.Or(s.Settings, "none"))
	if f := s.Fleet; f != nil {
		var up []string
		for _, m := range f.Members {
			up = append(up, fmt.Sprintf("%s (%s, life %d)", m.Name, m.Site, m.Epoch))
		}
		fmt.Fprintf(t, "fleet\t%d up: %s\n", len(up), strings.Join(up, ", "))
		fmt.Fprintf(t, "facts\t%d in %.1f KB\n", f.Facts, float64(f.FactBytes)/1024)
		if f.Superseded {
			fmt.Fprintln(t, "trouble\tanother process of this name serves in the fleet: nothing is shared")
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(out)
	t = tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "CHANNEL\tHELD\tOUT\tENDPOINT\tLIST\tHEALTH\tOUT\tFAILS\tPACE/S\tWAIT\tMEAN")
	for _, d := range c.Channels {
		if len(d.Targets) == 0 {
			fmt.Fprintf(t, "%d\t%d\t%d\tnone\t\t\t\t\t\t\t\n", d.Dest, d.QueuedMessages, d.CallsInFlight)
		}
		for i, e := range d.Targets {
			channel := "\t\t"
			if i == 0 {
				channel = fmt.Sprintf("%d\t%d\t%d", d.Dest, d.QueuedMessages, d.CallsInFlight)
			}
			list, pace := "serving", "-"
			if !e.Ready {
				list = "draining"
			}
			if e.RateLimit > 0 {
				pace = fmt.Sprintf("%.1f", e.RateLimit)
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", channel, e.Target, list, e.Health, e.CallsInFlight, e.ConsecutiveFailures, pace,
				max(e.WaitRemaining, d.WaitRemaining).Round(time.Millisecond), e.MeanLatency.Round(time.Millisecond))
		}
	}
	return t.Flush()
}

func drainCommand(file *string, on bool) *cobra.Command {
	var socket string
	var wait time.Duration
	use, short := "drain", "Make a running courier reject new messages; it still delivers those it has"
	if !on {
		use, short = "undrain", "Make a drained courier accept messages again"
	}
	c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: withFailure(func(c *cobra.Command, _ []string) error {
		client, err := connect(c.Context(), *file, socket)
		if err != nil {
			return err
		}
		r, err := client.Drain(c.Context(), on)
		if err != nil {
			return err
		}
		fmt.Fprintln(c.OutOrStdout(), r.State)
		if !on || wait == 0 {
			return nil
		}
		ctx, stop := context.WithTimeout(c.Context(), wait)
		defer stop()
		for tick := time.NewTicker(200 * time.Millisecond); ; {
			s, err := client.Status(ctx)
			switch {
			case ctx.Err() != nil:
				return fmt.Errorf("after %v the courier still owes %d messages their end", wait, s.Courier.Pending)
			case err != nil:
				return err
			case s.Courier.Pending == 0:
				fmt.Fprintln(c.OutOrStdout(), "owes nothing")
				return nil
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("after %v the courier still owes %d messages their end", wait, s.Courier.Pending)
			case <-tick.C:
			}
		}
	})}
	f := c.Flags()
	f.StringVar(&socket, "socket", "", "the courier's admin socket (default: the settings')")
	f.StringVar(file, "settings", *file, "operators' settings (CUE)")
	if on {
		f.DurationVar(&wait, "wait", 0, "wait this long until every message has its outcome; exit 1 if one has none")
	}
	return c
}
