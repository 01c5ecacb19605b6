package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gofrs/flock"

	"raventrestle"
	"raventrestle/internal/config"
	"raventrestle/internal/deadletter"
	"raventrestle/internal/fleet"
	"raventrestle/internal/journal"
	"raventrestle/internal/learned"
	"raventrestle/internal/lifecycle"
	"raventrestle/internal/net/admin"
	"raventrestle/internal/net/courier"
	"raventrestle/internal/net/front"
	"raventrestle/internal/net/gate"
	"raventrestle/internal/net/instance"
	"raventrestle/internal/net/monitor"
	"raventrestle/internal/net/upgrade"
	"raventrestle/internal/settings"
	"raventrestle/internal/stats"
)

const (
	lastWord      = 2500 * time.Millisecond // from SIGTERM to the end, at most
	lastGuest     = 700 * time.Millisecond  // new client connections still come for so long
	lookAtClients = 25 * time.Millisecond
	lastHanding   = 3 * time.Second         // the same where another process follows
	lastPatience  = 1200 * time.Millisecond // of it, for client connections that say nothing
	ownWithin     = 500 * time.Millisecond  // for the lock on the folder: one that was killed may still be going
)

// daemon is what a running courier consists of.
type daemon struct {
	log         *slog.Logger
	level       *slog.LevelVar
	conf        *config.Config // as this process started
	held        *config.Config // as it was last read
	file        string         // operators' settings, "" for none
	life        *instance.Instance
	store       *journal.Store
	deadLetters *deadletter.Keeper // nil where none are kept
	courier     *courier.Courier
	front       *front.Front
	figures     *stats.Stats
	handing     atomic.Bool // to the process that follows
	clients     *gate.Gate
	fleet       *fellows // nil where nothing is shared
}

// serve runs the courier until SIGTERM. File names the operators' settings, "" for none.
func serve(ctx context.Context, file string) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	set := &settings.Settings{}
	if file != "" {
		var err error
		if set, err = settings.Load(ctx, file); err != nil {
			return err
		}
	}
	d := &daemon{level: &slog.LevelVar{}, file: file, figures: &stats.Stats{}}
	d.log = settings.NewLogger(set.Log, d.level)
	d.life = instance.New(d.log, func(drains bool) {
		if d.front != nil && !d.handing.Load() {
			d.front.Drain(drains)
		}
	})
	if name := os.Getenv("RAVENTRESTLE_LOG"); name != "" {
		if err := d.level.UnmarshalText([]byte(name)); err != nil {
			d.log.Warn("raventrestle: RAVENTRESTLE_LOG names no level", "level", name)
		}
	}
	var err error
	if d.conf, err = config.Load(os.Getenv); err != nil {
		return err
	}
	d.held = d.conf
	for _, what := range d.conf.Warnings {
		d.log.Warn("raventrestle: set aside", "file", os.Getenv("EDGE_CONFIG"), "what", what)
	}
	runtime.GOMAXPROCS(max(1, int(d.conf.Limits.Cores)))
	memory := int64(d.conf.Limits.MemoryMB * 1e6)
	debug.SetMemoryLimit(memory * 6 / 10) // the journal's files count as well

	for name := range d.conf.Names.Classes {
		d.figures.Class(name) // shown from the start on
	}
	descriptors := d.conf.Limits.Sockets / 2 // of client connections
	if d.conf.Admin != "" {
		m, err := monitor.Serve(d.conf.Admin, d.life.Report, d.figures, d.log)
		if err != nil { // clients are served on without
			d.log.Error("monitor: no second address", "admin", d.conf.Admin, "err", err)
		} else {
			defer m.Close()
			descriptors -= monitor.MostCallers + 1
		}
	}

	// Where the platform holds the clients' socket, a next process may start beside this one, and each life
	// has a folder of its own: of disk and memory it takes its part alone.
	listener, err := upgrade.Inherited(os.Getenv)
	if err != nil {
		return err
	}
	disk := min(int64(d.conf.Limits.DiskMB*1e6), memory/4)
	var life *upgrade.Life
	if listener != nil {
		if life, err = upgrade.Claim(d.conf.StateDir, d.log); err != nil {
			return err
		}
		debug.SetMemoryLimit(memory * 3 / 10)
		descriptors = descriptors * 3 / 4
	} else {
		owner, err := own(ctx, d.conf.StateDir, d.log)
		if err != nil {
			return err
		}
		defer owner()
		if life, err = upgrade.Alone(d.conf.StateDir, d.log); errors.Is(err, upgrade.ErrRuns) {
			return fmt.Errorf("%w: %w", errOwned, err)
		} else if err != nil {
			return err
		}
	}
	remembers := listener == nil && disk > 4*learned.MaxDiskBytes // where a next process follows, it is handed them
	if remembers {
		disk -= learned.MaxDiskBytes
	}
	shared := int64(0) // of the folder, for what the couriers of a fleet share
	if remembers && set.Fleet != nil {
		shared = fleet.SnapshotSpace(disk)
		disk -= shared
	}
	var kept []journal.Kept
	d.store, kept, err = journal.Open(life.Folder, journal.Options{Limit: disk, Shared: listener != nil, Tries: set.Undeliverable.Keep}, d.log)
	if err != nil {
		return err
	}
	d.tell(lifecycle.StepDone{Step: lifecycle.Journal})
	if listener != nil && set.Undeliverable.Keep {
		d.log.Warn("undeliverable: no dead letters are kept where the clients' socket is inherited: two processes would write one store")
		set.Undeliverable.Keep = false
	}
	kept = d.openDeadLetters(set, kept)
	if d.courier, err = courier.New(d.conf, d.store, kept, d.figures, d.log); err != nil {
		return err
	}
	d.courier.Tell, d.courier.Successors = d.tell, listener != nil
	if remembers {
		keeper := learned.NewWriter(life.Folder, d.log)
		defer keeper.Close()
		d.courier.Recall(d.before(life.Folder), keeper)
	}
	d.front = front.New(d.courier, d.conf.Names, d.figures, d.log)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if d.deadLetters != nil {
		d.courier.Keep(d.deadLetters)
		go d.deadLetters.Run(ctx)
	}
	d.fleet = d.meet(ctx, set, life.Folder, shared)
	defer d.record(set, listener != nil)()
	go d.courier.Run(ctx)
	d.tell(lifecycle.StepDone{Step: lifecycle.Notices})
	if set.Admin.Socket != "" {
		l, err := admin.Listen(set.Admin.Socket)
		if err != nil { // the courier serves on without
			d.log.Error("admin: no listener", "err", err)
		} else {
			var desk deadletter.Desk
			if d.deadLetters != nil {
				desk = d.deadLetters
			}
			defer admin.Serve(l, desk, d, d.log).Close()
		}
	}

	inherited := listener != nil
	if !inherited {
		if listener, err = net.Listen("tcp", d.conf.Listen); err != nil {
			return err
		}
	}
	clients := gate.New(listener, descriptors, front.Room)
	d.clients = clients
	server := &http.Server{
		Handler: d.front, ReadHeaderTimeout: 2 * time.Second, ReadTimeout: 2500 * time.Millisecond,
		WriteTimeout: 15 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10,
		ConnContext: gate.ConnContext, ConnState: clients.SetState,
		ErrorLog: slog.NewLogLogger(d.log.Handler(), slog.LevelWarn),
	}
	failed := make(chan error, 1)
	go life.Run(ctx, d.courier, func() { go func() { failed <- server.Serve(clients) }() }, func() {
		d.tell(lifecycle.StepDone{Step: lifecycle.Listening})
		d.log.Info("raventrestle: ready", "name", d.conf.Name, "listen", d.conf.Listen, "inherited", inherited,
			"discovery", d.conf.Discovery, "restored", len(kept), "letters", d.deadLetters != nil)
	})

	for {
		select {
		case err := <-failed:
			return fmt.Errorf("client connections: %w", err)
		case s := <-signals:
			switch s {
			case syscall.SIGUSR1:
				d.count()
				continue
			case syscall.SIGHUP:
				d.reload(ctx)
				continue
			}
			began := time.Now()
			d.fleet.part()
			if inherited && life.Followed() {
				d.handOver(began, clients)
			} else {
				d.tell(lifecycle.Terminate{})
				d.end(began, clients)
			}
			closing, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			defer cancel()
			if err := clients.End(closing); err != nil && !errors.Is(err, net.ErrClosed) { // closed where another follows
				d.log.Warn("raventrestle: client connections", "err", err)
			}
			stop()
			if d.deadLetters != nil {
				d.deadLetters.Wait() // what it was given is written
			}
			if err := d.store.Close(); err != nil {
				d.log.Warn("raventrestle: journal", "err", err)
			}
			if err := life.Release(); err != nil {
				d.log.Warn("raventrestle: the life's folder", "err", err)
			}
			d.fleet.parted(began.Add(lastWord))
			d.count()
			d.tell(lifecycle.Exited{})
			d.log.Info("raventrestle: done", "took", time.Since(began))
			return nil
		}
	}
}

// end waits until nothing is owed and no client's connection is left, or its time is up. From now on each answer
// closes its connection. Those between requests go at once, but none with a request to be read; new ones, which still
// come for a while, are given the time in which a client sends.
func (d *daemon) end(began time.Time, clients *gate.Gate) {
	quiet := d.courier.Close(began.Add(lastWord))
	look := time.NewTicker(lookAtClients)
	defer look.Stop()
	for left := clients.Dismiss(front.Room.Busy); ; left = clients.Dismiss(front.Room.Busy) {
		at := time.Since(began)
		if at > lastWord || left == 0 && quiet == nil && at > lastGuest {
			return
		}
		select {
		case <-quiet:
			quiet = nil
		case <-look.C:
		}
	}
}

// handOver leaves the clients' socket and all that is held to the process that follows. Connections that are
// still open are closed behind their next answer; those that stay silent for long, between requests.
func (d *daemon) handOver(began time.Time, clients *gate.Gate) {
	d.handing.Store(true)
	if err := clients.Close(); err != nil {
		d.log.Warn("raventrestle: client connections", "err", err)
	}
	d.front.Leave()
	quiet := d.courier.Pass()
	d.tell(lifecycle.Terminate{})
	look := time.NewTicker(20 * time.Millisecond)
	defer look.Stop()
	for left := 1; left > 0 || quiet != nil; {
		select {
		case <-quiet:
			quiet = nil
		case <-look.C:
			if at := time.Since(began); at > lastHanding {
				d.log.Warn("raventrestle: not all is handed over", "client connections", left, "owed", quiet != nil)
				return
			} else if at > lastPatience {
				left = clients.Dismiss(0)
			}
		}
	}
}

// tell tells the life of an event; what the machine refuses is logged there.
func (d *daemon) tell(e lifecycle.Event) { d.life.On(e) }

// Report is the instance's life in words.
func (d *daemon) Report() instance.Report { return d.life.Report() }

// Drain makes the courier take nothing new, or take it on again.
func (d *daemon) Drain(on bool) error {
	if on {
		return d.life.On(lifecycle.Drain{})
	}
	return d.life.On(lifecycle.Undrain{})
}

// Status is all that operators see of a running courier.
func (d *daemon) Status(ctx context.Context) (admin.Status, error) {
	s, err := d.courier.Status(ctx)
	return admin.Status{
		Name: d.conf.Name, Listen: d.conf.Listen, PID: os.Getpid(), Report: d.life.Report(), Courier: s, JournalBytes: d.store.Size(),
		Settings: d.file, Fleet: d.fleet.status(),
	}, err
}

// before is what the life before had learned, as far as it still counts; nil for nothing.
func (d *daemon) before(folder string) *raventrestle.Learned {
	saved, err := learned.Load(folder)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	} else if err != nil {
		d.log.Warn("raventrestle: what the life before had learned is set aside", "folder", folder, "err", err)
		return nil
	}
	now := time.Duration(time.Now().UnixNano())
	b, ok := learned.Fresh(saved, now, d.conf.Settings.WarmupDuration)
	if d.log.Info("raventrestle: what the life before had learned", "age", now-saved.SavedAt, "counts", ok); !ok {
		return nil
	}
	return &b
}

// errOwned says that another courier has the folder.
var errOwned = errors.New("the folder belongs to another courier")

// own takes the folder that lasts for this process alone, until the returned function is called or the
// process ends, however it does. A file system without locks stops nothing.
func own(ctx context.Context, folder string, log *slog.Logger) (func(), error) {
	lock := flock.New(filepath.Join(folder, "owner"))
	wait, stop := context.WithTimeout(ctx, ownWithin)
	defer stop()
	ok, err := lock.TryLockContext(wait, 20*time.Millisecond)
	switch {
	case ok:
		return func() {
			if err := lock.Unlock(); err != nil {
				log.Warn("raventrestle: the folder's lock", "err", err)
			}
		}, nil
	case errors.Is(err, context.DeadlineExceeded):
		return nil, fmt.Errorf("%s: %w (it holds the lock on %s)", folder, errOwned, lock.Path())
	case ctx.Err() != nil:
		return nil, ctx.Err()
	}
	log.Warn("raventrestle: no lock on the folder", "folder", folder, "err", err)
	return func() {}, nil
}

// openDeadLetters opens the store of dead letters, if the settings want one, and returns what of the journal
// the courier takes up. A store that can't be opened stops nothing: the courier serves on without,
// and resends that the journal holds stay there untouched until a life that has the store.
func (d *daemon) openDeadLetters(set *settings.Settings, kept []journal.Kept) []journal.Kept {
	var fresh, resends []journal.Kept
	for _, k := range kept {
		if k.Resend > 0 {
			resends = append(resends, k)
		} else {
			fresh = append(fresh, k)
		}
	}
	if !set.Undeliverable.Keep {
		if len(resends) > 0 {
			d.log.Warn("undeliverable: resends wait in the journal, since no dead letters are kept", "n", len(resends))
		}
		return fresh
	}
	c := d.keeping(set)
	var live []journal.Kept
	var stale []string
	var err error
	if d.deadLetters, live, stale, err = deadletter.Start(c, kept, d.store.Sound()); err != nil {
		d.deadLetters = nil
		d.tell(lifecycle.FaultBegan{Fault: lifecycle.DeadLettersUnwritable})
		d.log.Error("undeliverable: no store, serving on without", "folder", c.Folder, "err", err)
		return fresh
	}
	var over []journal.Record
	for _, id := range stale {
		over = append(over, journal.Over(id))
	}
	if err := d.store.Append(over, nil); err != nil {
		d.log.Error("undeliverable: journal", "err", err)
	}
	return append(fresh, live...)
}

// keeping are the settings in the keeper's terms.
func (d *daemon) keeping(set *settings.Settings) deadletter.Config {
	u := set.Undeliverable
	names, classes := d.conf.Names, d.conf.Settings.Classes
	return deadletter.Config{
		Folder: deadLetterFolder(set, d.conf.StateDir), Limits: limits(u, d.conf.Settings.Forwarders, d.conf.Settings.WarmupDuration), MaxAge: u.MaxAge.Duration(),
		Settled: u.ResolvedMaxAge.Duration(), Log: d.log, Seed: d.conf.Seed, Append: d.store.Append,
		Options: deadletter.Options{MaxBytes: u.MaxBytes, MaxLetters: u.MaxDeadLetters, Sync: u.Sync},
		Begin:   func(a deadletter.Again) bool { return d.courier.Again(a) },
		Class: func(name string) (raventrestle.Class, bool) {
			i, ok := names.Classes[name]
			if !ok {
				return raventrestle.Class{}, false
			}
			return classes[i], true
		},
	}
}

// reload reads both files anew, each whole or not at all. Of the configuration it moves to the
// discovery that it names; of the operators' settings it takes the log's level and what bounds and
// paces the dead letters. The rest holds from the next start on.
func (d *daemon) reload(ctx context.Context) {
	if err := d.retune(ctx); err != nil {
		d.figures.ConfigReloadFails.Add(1)
		d.log.Error("raventrestle: the old settings stay", "file", os.Getenv("EDGE_CONFIG"), "err", err)
	} else {
		d.figures.ConfigReloads.Add(1)
		d.log.Info("raventrestle: settings read anew", "discovery", d.held.Discovery, "classes", len(d.held.Names.Classes))
	}
	if d.file == "" {
		return
	}
	go func() { // the helper may take its time, and signals wait
		set, err := settings.Load(ctx, d.file)
		if err != nil {
			d.log.Error("settings: the old ones stay", "file", d.file, "err", err)
			return
		}
		d.level.Set(set.Log.Level)
		if d.deadLetters != nil {
			d.deadLetters.Set(d.keeping(set))
		}
		d.log.Info("settings: read anew", "file", d.file)
	}()
}

// retune takes the platform's file whole or not at all. The module has the new classes before a client can
// hand one in.
func (d *daemon) retune(ctx context.Context) error {
	next, err := config.Reload(os.Getenv, d.held)
	if err != nil {
		return err
	}
	if err := d.courier.Retune(ctx, next); err != nil {
		return err
	}
	for name := range next.Names.Classes {
		d.figures.Class(name)
	}
	d.front.Serve(next.Names)
	if next.Discovery != d.held.Discovery {
		d.courier.Move(next.Discovery)
	}
	d.held = next
	return nil
}

// count prints what was taken in, sent and answered.
func (d *daemon) count() {
	in, out, net := &d.front.Counts, &d.courier.Counts, &d.courier.Counts.Peers
	d.log.Info("counters: client connections", "requests", in.Requests.Load(), "taken", in.Taken.Load(),
		"refused", in.Refused.Load(), "bad_form", in.BadForm.Load(), "too_large", in.TooLarge.Load(),
		"left", in.Left.Load(), "closed_unanswered", d.clients.Unanswered.Load())
	d.log.Info("counters: messages", "taken", out.Taken.Load(), "restored", out.Restored.Load(), "full", out.Full.Load(),
		"withdrawn", out.Withdrawn.Load(), "delivered", out.Delivered.Load(), "void", out.Void.Load(),
		"deferred", out.Deferred.Load(), "undeliverable", out.Undeliverable.Load())
	names := []string{"ok", "error", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot"}
	tries := []any{"dials", net.Dials.Load(), "calls", net.Calls.Load(), "bulk", net.Bulks.Load(), "tries", net.Tries.Load()}
	for i, name := range names {
		tries = append(tries, name, out.ByStatus[i].Load())
	}
	d.log.Info("counters: tries", tries...)
	d.log.Info("counters: decisions", "steps", out.Steps.Load(), "late", out.LateSteps.Load(), "panics", out.Panics.Load())
	if d.fleet != nil {
		d.fleet.LogCounters(d.log)
	}
	if d.deadLetters == nil {
		return
	}
	l := &d.deadLetters.Counts
	d.log.Info("counters: undeliverable", "kept", l.Kept.Load(), "lost", l.Lost.Load(), "gave_way", l.GaveWay.Load(),
		"expired", l.Expired.Load(), "begun", l.Begun.Load(), "delivered", l.Delivered.Load(), "failed", l.Failed.Load(),
		"yielded", l.Yielded.Load(), "void", l.Voids.Load())
}
