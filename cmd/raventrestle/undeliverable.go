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

// where says how a command reaches the dead letters.
type where struct {
	file           *string // settings
	socket, folder string
	offline        bool
	asJSON         bool
}

// desk is the running courier's, by its socket, or else its folder's, which only --offline may change.
// The store's own lock keeps a courier and a command from writing at once.
func (w *where) desk(ctx context.Context, writes bool) (deadletter.Desk, func() error, error) {
	none := func() error { return nil }
	set := &settings.Settings{Undeliverable: defaults}
	if *w.file != "" {
		var err error
		if set, err = settings.Load(ctx, *w.file); err != nil {
			return nil, none, err
		}
	}
	socket, folder := cmp.Or(w.socket, set.Admin.Socket), cmp.Or(w.folder, set.Undeliverable.Dir)
	if folder == "" {
		if conf, err := config.Load(os.Getenv); err == nil {
			folder = deadLetterFolder(set, conf.StateDir)
		}
	}
	if socket != "" && !w.offline && w.folder == "" {
		if c := (&admin.Client{Path: socket}); c.Reaches() {
			return c, none, nil
		}
	}
	if folder == "" {
		return nil, none, errors.New("no courier answers, and no folder is named: give --settings, --socket or --folder")
	}
	if writes && !w.offline {
		return nil, none, fmt.Errorf("no courier answers: give --offline to change the dead letters in %s while it is stopped", folder)
	}
	u := set.Undeliverable
	store, err := deadletter.Open(folder, deadletter.Options{
		MaxBytes: u.MaxBytes, MaxLetters: u.MaxDeadLetters, Sync: true,
		ReadOnly: !w.offline,
	}, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return nil, none, err
	}
	return &deadletter.Offline{Store: store, Limits: limits(u, 1, 0)}, store.Close, nil
}

// deadLetterFolder is where a courier with these settings has its dead letters.
func deadLetterFolder(set *settings.Settings, state string) string {
	return cmp.Or(set.Undeliverable.Dir, filepath.Join(state, "undeliverable"))
}

// defaults are for commands at a folder without a settings file: they cap nothing.
var defaults = settings.Undeliverable{MaxBytes: 1 << 50, MaxDeadLetters: 1 << 40, Resend: settings.Resend{
	Automatic:  true,
	MaxResends: 1 << 30, MaxAge: 1e9, InitialRate: 1, MaxRate: 1,
}}

// limits are the settings in the rule's terms, for one of so many couriers.
func limits(u settings.Undeliverable, couriers int, cold time.Duration) rule.Limits {
	r, n := u.Resend, float64(max(couriers, 1))
	return rule.Limits{
		Automatic: r.Automatic, MaxResends: r.MaxResends, LastDate: r.MaxAge.Duration(),
		FirstRate: r.InitialRate / n, MaxRate: r.MaxRate / n, Cold: cold, Growth: r.Growth, Backoff: r.Backoff.Duration(),
		MaxBackoff: r.MaxBackoff.Duration(), Jitter: r.Jitter, SlotsShare: r.MaxSlotShare, HeldShare: r.MaxPendingShare,
		Lag: resendLag,
	}
}

// resendLag is what a repeat may take longer on its way than the first try did; the module reckons
// with as much.
const resendLag = 250 * time.Millisecond

func undeliverableCommands(file *string) *cobra.Command {
	w := &where{file: file}
	root := &cobra.Command{
		Use: "undeliverable", Short: "Look at the messages that were given up, and send them again",
		Long: "Look at the messages that the courier gave up as failed, and send them again.\n" +
			"The commands speak to the running courier by its admin socket. Where none answers they read the\n" +
			"stopped courier's folder; they change it only with --offline.",
	}
	p := root.PersistentFlags()
	p.StringVar(file, "settings", *file, "operators' settings; name socket and folder")
	p.StringVar(&w.socket, "socket", "", "admin socket of the courier")
	p.StringVar(&w.folder, "folder", "", "folder of a stopped courier's dead letters")
	p.BoolVar(&w.offline, "offline", false, "open a stopped courier's folder for writing")
	p.BoolVar(&w.asJSON, "json", false, "print JSON")

	var f deadletter.Filter
	var channel string
	var reason string
	var all, dry bool
	filters := func(c *cobra.Command) *cobra.Command {
		fl := c.Flags()
		fl.StringVar(&f.Class, "class", "", "only of this class")
		fl.StringVar(&f.Hotel, "hotel", "", "only of this hotel")
		fl.StringVar(&channel, "channel", "", "only for this channel (a number)")
		fl.StringVar(&f.State, "state", "", "only held, out, delivered, void or discarded")
		fl.StringVar(&reason, "reason", "", "only with this reason, such as may_have_run")
		fl.DurationVar(&f.OlderThan, "older", 0, "only failed longer ago than this")
		fl.DurationVar(&f.NewerThan, "newer", 0, "only failed since then")
		return c
	}
	// with runs a command at the desk, the filter filled in.
	with := func(writes bool, do func(*cobra.Command, deadletter.Desk, []string) error) func(*cobra.Command, []string) error {
		return func(c *cobra.Command, args []string) error {
			if channel != "" {
				n, err := strconv.ParseInt(channel, 10, 64)
				if err != nil {
					return fmt.Errorf("--channel: %q is no number", channel)
				}
				f.Channel = &n
			}
			if f.State != "" && !known(f.State) {
				return fmt.Errorf("--state: %q is no state", f.State)
			}
			f.Reason = rule.Reason(reason)
			if _, ok := rule.Reasons()[f.Reason]; !ok && reason != "" {
				return fmt.Errorf("--reason: %q is no reason", reason)
			}
			f.IDs = args
			if writes && len(args) == 0 && !all && f.Class+f.Hotel+channel+f.State+reason == "" && f.OlderThan+f.NewerThan == 0 {
				return errors.New("name dead letters, give a filter, or --all")
			}
			return works(func(c *cobra.Command, args []string) error {
				desk, done, err := w.desk(c.Context(), writes && !dry)
				if err != nil {
					return err
				}
				return errors.Join(do(c, desk, args), done())
			})(c, args)
		}
	}
	list := filters(&cobra.Command{
		Use: "list [ID...]", Short: "List dead letters, with why each may or may not be sent again",
		RunE: with(false, func(c *cobra.Command, d deadletter.Desk, _ []string) error {
			items, err := d.List(c.Context(), f)
			if err != nil {
				return err
			}
			if w.asJSON {
				return print(c, items)
			}
			return table(c.OutOrStdout(), items)
		}),
	})
	list.Flags().IntVar(&f.Limit, "limit", 0, "at most so many")
	show := &cobra.Command{
		Use: "show ID", Short: "Print all that is known of a dead letter", Args: cobra.ExactArgs(1),
		RunE: with(false, func(c *cobra.Command, d deadletter.Desk, args []string) error {
			it, err := d.Show(c.Context(), args[0])
			if err != nil {
				return err
			}
			if w.asJSON {
				return print(c, it)
			}
			return story(c.OutOrStdout(), it)
		}),
	}
	change := func(use, short string, do func(deadletter.Desk, context.Context) ([]deadletter.Answer, error)) *cobra.Command {
		c := filters(&cobra.Command{
			Use: use, Short: short,
			RunE: with(true, func(c *cobra.Command, d deadletter.Desk, _ []string) error {
				answers, err := do(d, c.Context())
				if w.asJSON && err == nil {
					return print(c, answers)
				}
				done := 0
				for _, a := range answers {
					if a.Done {
						done++
					}
					fmt.Fprintf(c.OutOrStdout(), "%s\t%s\t%s\n", a.ID, map[bool]string{true: "yes", false: "no"}[a.Done], a.Sentence)
				}
				if err == nil {
					fmt.Fprintf(c.OutOrStdout(), "%d of %d dead letters%s\n", done, len(answers), map[bool]string{true: " (dry run: nothing changed)"}[dry])
				}
				return err
			}),
		})
		c.Flags().BoolVar(&all, "all", false, "all dead letters")
		c.Flags().BoolVar(&dry, "dry-run", false, "say what would happen and change nothing")
		return c
	}
	resend := change("resend [ID...]", "Have dead letters sent again, as far as their class allows it",
		func(d deadletter.Desk, ctx context.Context) ([]deadletter.Answer, error) {
			return d.Resend(ctx, f, dry)
		})
	discard := change("discard [ID...]", "End dead letters: they are not sent again and are forgotten in time",
		func(d deadletter.Desk, ctx context.Context) ([]deadletter.Answer, error) {
			return d.Discard(ctx, f, dry)
		})
	stats := &cobra.Command{
		Use: "stats", Short: "Count the dead letters by state, class and reason", Args: cobra.NoArgs,
		RunE: with(false, func(c *cobra.Command, d deadletter.Desk, _ []string) error {
			st, err := d.Stats(c.Context())
			if err != nil {
				return err
			}
			if w.asJSON {
				return print(c, st)
			}
			return deadLetterFigures(c.OutOrStdout(), st)
		}),
	}
	check := &cobra.Command{
		Use: "check", Short: "Read a stopped courier's whole store and say what is wrong with it", Args: cobra.NoArgs,
		RunE: works(func(c *cobra.Command, _ []string) error {
			d, done, err := w.desk(c.Context(), false)
			if err != nil {
				return err
			}
			o, ok := d.(*deadletter.Offline)
			if !ok {
				return errors.New("the courier runs: stop it, or check a copy of its folder with --folder")
			}
			faults, err := o.Store.Check()
			for _, f := range faults {
				fmt.Fprintln(c.OutOrStdout(), f)
			}
			if err = errors.Join(err, done()); err == nil && len(faults) > 0 {
				err = fmt.Errorf("%d faults", len(faults))
			}
			return err
		}),
	}
	root.AddCommand(list, show, resend, discard, stats, check)
	return root
}

func known(state string) bool {
	for s := rule.Held; s <= rule.Discarded; s++ {
		if s.String() == state {
			return true
		}
	}
	return false
}

func when(ns int64) string {
	if ns == 0 {
		return "-"
	}
	return time.Unix(0, ns).UTC().Format("2006-01-02 15:04:05.000")
}

func table(out io.Writer, items []deadletter.Item) error {
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "ID\tCLASS\tHOTEL\tCHANNEL\tFAILED (UTC)\tTRIES\tRESENDS\tSTATE\tREASON")
	for _, it := range items {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%s\t%s\n", it.ID, it.Class, cmp.Or(it.Tenant, "-"), it.Dest, when(it.Failed),
			len(it.Tries), len(it.Resends), it.StateWord, it.Reason)
	}
	return t.Flush()
}

func story(out io.Writer, it *deadletter.Item) error {
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	row := func(name string, v any) { fmt.Fprintf(t, "%s\t%v\n", name, v) }
	row("id", it.ID)
	row("key", cmp.Or(it.Key, "-"))
	row("class", it.Class)
	row("hotel", cmp.Or(it.Tenant, "-"))
	row("channel", it.Dest)
	row("taken on", when(it.Taken))
	row("time up", when(it.Until))
	row("failed", when(it.Failed)+" ("+it.Why+")")
	row("state", it.StateWord)
	row("resend", string(it.Reason)+": it "+it.Sentence)
	row("body", fmt.Sprintf("%d bytes: %q", it.BodySize, clip(it.Content)))
	tries := func(list []deadletter.Try) {
		for i, y := range list {
			row(fmt.Sprintf("  try %d", i+1), strings.Join([]string{
				when(y.At), cmp.Or(y.Peer, "?"), "floor " + cmp.Or(y.Floor, "?"),
				cmp.Or(y.Outcome, "no word: the courier ended"), map[bool]string{true: "may have run", false: "never ran"}[y.MayHaveRun()],
			}, ", "))
		}
	}
	tries(it.Tries)
	for i, r := range it.Resends {
		row(fmt.Sprintf("resend %d", i+1), when(r.Began)+" to "+when(r.Ended)+": "+cmp.Or(r.Result, "out"))
		tries(r.Tries)
	}
	return t.Flush()
}

func clip(b []byte) []byte { return b[:min(len(b), 200)] }

func deadLetterFigures(out io.Writer, st *deadletter.Stats) error {
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	row := func(name string, v any) { fmt.Fprintf(t, "%s\t%v\n", name, v) }
	row("dead letters", st.Letters)
	row("bytes of bodies", st.Bytes)
	row("worth held", st.Worth)
	row("unreadable", st.Unread)
	for name, n := range map[string]int64{
		"kept": st.Kept, "lost": st.Lost, "gave way": st.GaveWay, "expired": st.Expired,
		"resends begun": st.Begun, "resends delivered": st.Delivered, "resends failed": st.Failed, "resends yielded": st.Yielded,
	} {
		if n > 0 {
			row(name+" since the start", n)
		}
	}
	for s, n := range st.States {
		row("state "+s, n)
	}
	for s, n := range st.Classes {
		row("class "+s, n)
	}
	for s, n := range st.Reasons {
		row("reason "+string(s), fmt.Sprintf("%d (%s)", n, s.Sentence()))
	}
	return t.Flush()
}
