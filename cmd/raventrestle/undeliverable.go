package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"raventrestle/internal/config"
	"raventrestle/internal/deadletter"
	"raventrestle/internal/deadletter/rule"
	"raventrestle/internal/net/admin"
	"raventrestle/internal/settings"
)

// deadLetterSource is where a command finds the dead letters: a running courier or a directory.
type deadLetterSource struct {
	settingsFile *string // operators' settings, "" for none
	socket, dir  string
	offline      bool
	asJSON       bool
}

// open returns the dead letters of the running courier, through its socket, or else those in the directory, which can be
// changed only with --offline. The store's lock prevents a courier and a command from writing at the same time.
func (w *deadLetterSource) open(ctx context.Context, writes bool) (deadletter.Admin, func() error, error) {
	noClose := func() error { return nil }
	set := &settings.Settings{Undeliverable: offlineDefaults}
	if *w.settingsFile != "" {
		var err error
		if set, err = settings.Load(ctx, *w.settingsFile); err != nil {
			return nil, noClose, err
		}
	}
	socket, dir := cmp.Or(w.socket, set.Admin.Socket), cmp.Or(w.dir, set.Undeliverable.Dir)
	if dir == "" {
		if conf, err := config.Load(os.Getenv); err == nil {
			dir = deadLetterDir(set, conf.StateDir)
		}
	}
	if socket != "" && !w.offline && w.dir == "" {
		if c := (&admin.Client{Path: socket}); c.Reaches() {
			return c, noClose, nil
		}
	}
	if dir == "" {
		return nil, noClose, errors.New("no courier answers, and no directory is given: use --settings, --socket or --folder")
	}
	if writes && !w.offline {
		return nil, noClose, fmt.Errorf("no courier answers: use --offline to change the dead letters in %s of a stopped courier", dir)
	}
	u := set.Undeliverable
	store, err := deadletter.Open(dir, deadletter.Options{
		MaxBytes: u.MaxBytes, MaxMessages: u.MaxDeadLetters, Sync: true,
		ReadOnly: !w.offline,
	}, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return nil, noClose, err
	}
	return &deadletter.OfflineAdmin{Store: store, Limits: resendLimits(u, 1, 0)}, store.Close, nil
}

// deadLetterDir returns the directory of the dead letters for the settings.
func deadLetterDir(set *settings.Settings, state string) string {
	return cmp.Or(set.Undeliverable.Dir, filepath.Join(state, "undeliverable"))
}

// offlineDefaults are the settings for commands on a directory without a settings file. Their limits are practically
// unlimited.
var offlineDefaults = settings.Undeliverable{MaxBytes: 1 << 50, MaxDeadLetters: 1 << 40, Resend: settings.Resend{
	Automatic:  true,
	MaxResends: 1 << 30, MaxAge: 1e9, InitialRate: 1, MaxRate: 1,
}}

// resendLimits returns the limits of one courier for the settings, which apply to all couriers together.
func resendLimits(s settings.Undeliverable, couriers int, warmup time.Duration) rule.Limits {
	r, n := s.Resend, float64(max(couriers, 1))
	return rule.Limits{
		Automatic: r.Automatic, MaxResends: r.MaxResends, MaxAge: r.MaxAge.Duration(),
		InitialRate: r.InitialRate / n, MaxRate: r.MaxRate / n, WarmUp: warmup, Growth: r.Growth, Backoff: r.Backoff.Duration(),
		MaxBackoff: r.MaxBackoff.Duration(), Jitter: r.Jitter, SlotsShare: r.MaxSlotShare, HeldShare: r.MaxPendingShare,
		DelayMargin: resendLag,
	}
}

// resendLag is how much longer a repeated attempt may take to arrive than the first one. The decision module assumes the
// same value.
const resendLag = 250 * time.Millisecond

func undeliverableCommands(file *string) *cobra.Command {
	source := &deadLetterSource{settingsFile: file}
	root := &cobra.Command{
		Use: "undeliverable", Short: "Show dead letters, and send them again",
		Long: "Show dead letters, which are messages whose delivery failed for good, and send them again.\n" +
			"The commands connect to the running courier through its admin socket. If none answers, they read the\n" +
			"directory of the stopped courier. They change it only with --offline.",
	}
	p := root.PersistentFlags()
	p.StringVar(file, "settings", *file, "operators' settings file (CUE), with the admin socket and the directory")
	p.StringVar(&source.socket, "socket", "", "admin socket of the courier")
	p.StringVar(&source.dir, "folder", "", "directory of a stopped courier's dead letters")
	p.BoolVar(&source.offline, "offline", false, "open a stopped courier's directory for writing")
	p.BoolVar(&source.asJSON, "json", false, "print JSON")

	var f deadletter.Filter
	var channel string
	var reason string
	var all, dryRun bool
	filters := func(c *cobra.Command) *cobra.Command {
		fl := c.Flags()
		fl.StringVar(&f.Class, "class", "", "only of this class")
		fl.StringVar(&f.Tenant, "hotel", "", "only of this hotel")
		fl.StringVar(&channel, "channel", "", "only for this channel (a number)")
		fl.StringVar(&f.State, "state", "", "only in this state: held, out, delivered, void or discarded")
		fl.StringVar(&reason, "reason", "", "only with this reason, such as may_have_run")
		fl.DurationVar(&f.OlderThan, "older", 0, "only those that failed longer ago than this duration")
		fl.DurationVar(&f.NewerThan, "newer", 0, "only those that failed within this duration")
		return c
	}
	// forFilter returns a function that fills in the filter from the flags, opens the dead letters and calls do.
	forFilter := func(writes bool, do func(*cobra.Command, deadletter.Admin, []string) error) func(*cobra.Command, []string) error {
		return func(c *cobra.Command, args []string) error {
			if channel != "" {
				n, err := strconv.ParseInt(channel, 10, 64)
				if err != nil {
					return fmt.Errorf("--channel: %q is not a number", channel)
				}
				f.Dest = &n
			}
			if f.State != "" && !isState(f.State) {
				return fmt.Errorf("--state: unknown state %q", f.State)
			}
			f.Reason = rule.Reason(reason)
			if _, ok := rule.Reasons()[f.Reason]; !ok && reason != "" {
				return fmt.Errorf("--reason: unknown reason %q", reason)
			}
			f.IDs = args
			if writes && len(args) == 0 && !all && f.Class+f.Tenant+channel+f.State+reason == "" && f.OlderThan+f.NewerThan == 0 {
				return errors.New("give IDs of dead letters, a filter or --all")
			}
			return withFailure(func(c *cobra.Command, args []string) error {
				deadLetters, closeStore, err := source.open(c.Context(), writes && !dryRun)
				if err != nil {
					return err
				}
				return errors.Join(do(c, deadLetters, args), closeStore())
			})(c, args)
		}
	}
	list := filters(&cobra.Command{
		Use: "list [ID...]", Short: "List dead letters, with the reason why each may or may not be sent again",
		RunE: forFilter(false, func(c *cobra.Command, d deadletter.Admin, _ []string) error {
			items, err := d.List(c.Context(), f)
			if err != nil {
				return err
			}
			if source.asJSON {
				return printJSON(c, items)
			}
			return writeTable(c.OutOrStdout(), items)
		}),
	})
	list.Flags().IntVar(&f.Limit, "limit", 0, "maximum number of dead letters; 0 for no limit")
	show := &cobra.Command{
		Use: "show ID", Short: "Print all details of a dead letter", Args: cobra.ExactArgs(1),
		RunE: forFilter(false, func(c *cobra.Command, d deadletter.Admin, args []string) error {
			it, err := d.Show(c.Context(), args[0])
			if err != nil {
				return err
			}
			if source.asJSON {
				return printJSON(c, it)
			}
			return writeDetails(c.OutOrStdout(), it)
		}),
	}
	change := func(use, short string, do func(deadletter.Admin, context.Context) ([]deadletter.ActionResult, error)) *cobra.Command {
		c := filters(&cobra.Command{
			Use: use, Short: short,
			RunE: forFilter(true, func(c *cobra.Command, d deadletter.Admin, _ []string) error {
				answers, err := do(d, c.Context())
				if source.asJSON && err == nil {
					return printJSON(c, answers)
				}
				done := 0
				for _, a := range answers {
					if a.Done {
						done++
					}
					fmt.Fprintf(c.OutOrStdout(), "%s\t%s\t%s\n", a.ID, map[bool]string{true: "yes", false: "no"}[a.Done], a.Explanation)
				}
				if err == nil {
					fmt.Fprintf(c.OutOrStdout(), "%d of %d dead letters%s\n", done, len(answers), map[bool]string{true: " (dry run: nothing changed)"}[dryRun])
				}
				return err
			}),
		})
		c.Flags().BoolVar(&all, "all", false, "all dead letters")
		c.Flags().BoolVar(&dryRun, "dry-run", false, "print what would happen and change nothing")
		return c
	}
	resend := change("resend [ID...]", "Send dead letters again, as far as their class allows it",
		func(d deadletter.Admin, ctx context.Context) ([]deadletter.ActionResult, error) {
			return d.Resend(ctx, f, dryRun)
		})
	discard := change("discard [ID...]", "Discard dead letters: they are not sent again and are removed later",
		func(d deadletter.Admin, ctx context.Context) ([]deadletter.ActionResult, error) {
			return d.Discard(ctx, f, dryRun)
		})
	stats := &cobra.Command{
		Use: "stats", Short: "Count the dead letters by state, class and reason", Args: cobra.NoArgs,
		RunE: forFilter(false, func(c *cobra.Command, d deadletter.Admin, _ []string) error {
			st, err := d.Stats(c.Context())
			if err != nil {
				return err
			}
			if source.asJSON {
				return printJSON(c, st)
			}
			return writeDeadLetterStats(c.OutOrStdout(), st)
		}),
	}
	check := &cobra.Command{
		Use: "check", Short: "Check a stopped courier's store and print the faults", Args: cobra.NoArgs,
		RunE: withFailure(func(c *cobra.Command, _ []string) error {
			d, closeStore, err := source.open(c.Context(), false)
			if err != nil {
				return err
			}
			o, ok := d.(*deadletter.OfflineAdmin)
			if !ok {
				return errors.New("the courier is running: stop it, or check a copy of its directory with --folder")
			}
			faults, err := o.Store.Check()
			for _, f := range faults {
				fmt.Fprintln(c.OutOrStdout(), f)
			}
			if err = errors.Join(err, closeStore()); err == nil && len(faults) > 0 {
				err = fmt.Errorf("%d faults", len(faults))
			}
			return err
		}),
	}
	root.AddCommand(list, show, resend, discard, stats, check)
	return root
}

func isState(state string) bool {
	for s := rule.Held; s <= rule.Discarded; s++ {
		if s.String() == state {
			return true
		}
	}
	return false
}

func formatTime(ns int64) string {
	if ns == 0 {
		return "-"
	}
	return time.Unix(0, ns).UTC().Format("2006-01-02 15:04:05.000")
}

func writeTable(out io.Writer, items []deadletter.Item) error {
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "ID\tCLASS\tHOTEL\tCHANNEL\tFAILED (UTC)\tTRIES\tRESENDS\tSTATE\tREASON")
	for _, it := range items {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%s\t%s\n", it.ID, it.Class, cmp.Or(it.Tenant, "-"), it.Dest, formatTime(it.FailedAt),
			len(it.Attempts), len(it.Resends), it.StateName, it.Reason)
	}
	return t.Flush()
}

func writeDetails(out io.Writer, it *deadletter.Item) error {
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	row := func(name string, v any) { fmt.Fprintf(t, "%s\t%v\n", name, v) }
	row("id", it.ID)
	row("key", cmp.Or(it.Key, "-"))
	row("class", it.Class)
	row("hotel", cmp.Or(it.Tenant, "-"))
	row("channel", it.Dest)
	row("taken on", formatTime(it.AcceptedAt))
	row("time up", formatTime(it.ExpiresAt))
	row("failed", formatTime(it.FailedAt)+" ("+it.FailureReason+")")
	row("state", it.StateName)
	row("resend", string(it.Reason)+": it "+it.Explanation)
	row("body", fmt.Sprintf("%d bytes: %q", it.BodySize, truncate(it.Content)))
	writeAttempts := func(list []deadletter.Attempt) {
		for i, y := range list {
			row(fmt.Sprintf("  try %d", i+1), strings.Join([]string{
				formatTime(y.At), cmp.Or(y.Peer, "?"), "floor " + cmp.Or(y.Zone, "?"),
				cmp.Or(y.Outcome, "no result: the courier process ended"), map[bool]string{true: "may have run", false: "never ran"}[y.MayHaveRun()],
			}, ", "))
		}
	}
	writeAttempts(it.Attempts)
	for i, r := range it.Resends {
		row(fmt.Sprintf("resend %d", i+1), formatTime(r.StartedAt)+" to "+formatTime(r.EndedAt)+": "+cmp.Or(r.Result, "out"))
		writeAttempts(r.Attempts)
	}
	return t.Flush()
}

func truncate(b []byte) []byte { return b[:min(len(b), 200)] }

func writeDeadLetterStats(out io.Writer, st *deadletter.Stats) error {
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	row := func(name string, v any) { fmt.Fprintf(t, "%s\t%v\n", name, v) }
	row("dead letters", st.Count)
	row("bytes of bodies", st.Bytes)
	row("worth held", st.HeldValue)
	row("unreadable", st.Unreadable)
	for name, n := range map[string]int64{
		"kept": st.Added, "lost": st.Lost, "gave way": st.Evicted, "expired": st.Expired,
		"resends begun": st.ResendsBegun, "resends delivered": st.ResendsDelivered, "resends failed": st.ResendsFailed, "resends yielded": st.ResendsYielded,
	} {
		if n > 0 {
			row(name+" since the start", n)
		}
	}
	for s, n := range st.ByState {
		row("state "+s, n)
	}
	for s, n := range st.ByClass {
		row("class "+s, n)
	}
	for s, n := range st.ByReason {
		row("reason "+string(s), fmt.Sprintf("%d (%s)", n, s.Explanation()))
	}
	return t.Flush()
}
