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
	"raventrestle/internal/net/connlimit"
	"raventrestle/internal/net/courier"
	"raventrestle/internal/net/instance"
	"raventrestle/internal/net/monitor"
	"raventrestle/internal/net/submission"
	"raventrestle/internal/net/upgrade"
	"raventrestle/internal/settings"
	"raventrestle/internal/stats"
)

const (
	shutdownTimeout    = 2500 * time.Millisecond // maximum time from SIGTERM to the exit
	acceptPeriod       = 700 * time.Millisecond  // how long after SIGTERM new client connections are still accepted
	clientPollInterval = 25 * time.Millisecond
	handoverTimeout    = 3 * time.Second         // maximum time from SIGTERM to the exit if a successor takes over
	idleClientTimeout  = 1200 * time.Millisecond // after this part of handoverTimeout, idle client connections are closed
	lockTimeout        = 500 * time.Millisecond  // for the lock on the state directory: a killed process may not have exited yet
)

// daemon is a running courier process with its parts.
type daemon struct {
	log          *slog.Logger
	level        *slog.LevelVar
	conf         *config.Config // as read at startup
	currentConf  *config.Config // as last read
	settingsFile string         // file of the operators' settings, "" for none
	instance     *instance.Instance
	store        *journal.Store
	deadLetters  *deadletter.Manager // nil if none are stored
	courier      *courier.Courier
	front        *submission.Handler
	stats        *stats.Stats
	handingOver  atomic.Bool // whether a handover to a successor has begun
	clients      *connlimit.Limiter
	fleet        *fleetMember // nil if nothing is shared with other couriers
}

// serve runs the courier until SIGTERM or SIGINT. The argument file is the operators' settings file, "" for none.
func serve(ctx context.Context, file string) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	operatorSettings := &settings.Settings{}
	if file != "" {
		var err error
		if operatorSettings, err = settings.Load(ctx, file); err != nil {
			return err
		}
	}
	d := &daemon{level: &slog.LevelVar{}, settingsFile: file, stats: &stats.Stats{}}
	d.log = settings.NewLogger(operatorSettings.Log, d.level)
	d.instance = instance.New(d.log, func(drains bool) {
		if d.front != nil && !d.handingOver.Load() {
			d.front.Drain(drains)
		}
	})
	if name := os.Getenv("RAVENTRESTLE_LOG"); name != "" {
		if err := d.level.UnmarshalText([]byte(name)); err != nil {
			d.log.Warn("raventrestle: RAVENTRESTLE_LOG is not a log level", "level", name)
		}
	}
	var err error
	if d.conf, err = config.Load(os.Getenv); err != nil {
		return err
	}
	d.currentConf = d.conf
	for _, what := range d.conf.Warnings {
		d.log.Warn("raventrestle: invalid configuration value replaced or ignored", "file", os.Getenv("EDGE_CONFIG"), "what", what)
	}
	runtime.GOMAXPROCS(max(1, int(d.conf.Limits.Cores)))
	memory := int64(d.conf.Limits.MemoryMB * 1e6)
	debug.SetMemoryLimit(memory * 6 / 10) // the page cache of the journal's files counts against the limit as well

	for name := range d.conf.Names.Classes {
		d.stats.Class(name) // the class appears in the metrics from the start
	}
	descriptors := d.conf.Limits.Sockets / 2 // limit of client connections
	if d.conf.Admin != "" {
		m, err := monitor.Serve(d.conf.Admin, d.instance.Report, d.stats, d.log)
		if err != nil { // the courier runs without the admin address
			d.log.Error("monitor: can't listen on the admin address", "admin", d.conf.Admin, "err", err)
		} else {
			defer m.Close()
			descriptors -= monitor.MaxCallers + 1
		}
	}

	// If the platform owns the clients' socket, a successor may start while this process runs. Each process then has a
	// directory of its own and uses only part of the disk space and memory.
	listener, err := upgrade.InheritedListener(os.Getenv)
	if err != nil {
		return err
	}
	disk := min(int64(d.conf.Limits.DiskMB*1e6), memory/4)
	var process *upgrade.ProcessDir
	if listener != nil {
		if process, err = upgrade.Claim(d.conf.StateDir, d.log); err != nil {
			return err
		}
		debug.SetMemoryLimit(memory * 3 / 10)
		descriptors = descriptors * 3 / 4
	} else {
		unlock, err := lockStateDir(ctx, d.conf.StateDir, d.log)
		if err != nil {
			return err
		}
		defer unlock()
		if process, err = upgrade.ClaimExclusive(d.conf.StateDir, d.log); errors.Is(err, upgrade.ErrRunning) {
			return fmt.Errorf("%w: %w", errStateDirLocked, err)
		} else if err != nil {
			return err
		}
	}
	keepsLearned := listener == nil && disk > 4*learned.MaxDiskBytes // with an inherited socket, the successor gets this data in the handover
	if keepsLearned {
		disk -= learned.MaxDiskBytes
	}
	fleetBytes := int64(0) // disk space for the snapshot of the fleet's facts
	if keepsLearned && operatorSettings.Fleet != nil {
		fleetBytes = fleet.SnapshotSpace(disk)
		disk -= fleetBytes
	}
	var kept []journal.MessageState
	d.store, kept, err = journal.Open(process.Path, journal.Options{MaxBytes: disk, Shared: listener != nil, RecordAttempts: operatorSettings.Undeliverable.Keep}, d.log)
	if err != nil {
		return err
	}
	d.applyEvent(lifecycle.StepDone{Step: lifecycle.Journal})
	if listener != nil && operatorSettings.Undeliverable.Keep {
		d.log.Warn("undeliverable: dead letters are not stored because the clients' socket is inherited: two processes would write one store")
		operatorSettings.Undeliverable.Keep = false
	}
	kept = d.openDeadLetters(operatorSettings, kept)
	if d.courier, err = courier.New(d.conf, d.store, kept, d.stats, d.log); err != nil {
		return err
	}
	d.courier.OnLifecycleEvent, d.courier.KeepForSuccessor = d.applyEvent, listener != nil
	if keepsLearned {
		learnedWriter := learned.NewWriter(process.Path, d.log)
		defer learnedWriter.Close()
		d.courier.UseLearned(d.loadLearned(process.Path), learnedWriter)
	}
	d.front = submission.New(d.courier, d.conf.Names, d.stats, d.log)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if d.deadLetters != nil {
		d.courier.UseDeadLetters(d.deadLetters)
		go d.deadLetters.Run(ctx)
	}
	d.fleet = d.joinFleet(ctx, operatorSettings, process.Path, fleetBytes)
	defer d.startHistory(operatorSettings, listener != nil)()
	go d.courier.Run(ctx)
	d.applyEvent(lifecycle.StepDone{Step: lifecycle.Notices})
	if operatorSettings.Admin.Socket != "" {
		l, err := admin.Listen(operatorSettings.Admin.Socket)
		if err != nil { // the courier runs without the admin socket
			d.log.Error("admin: can't listen on the admin socket", "err", err)
		} else {
			var deadLetters deadletter.Admin
			if d.deadLetters != nil {
				deadLetters = d.deadLetters
			}
			defer admin.Serve(l, deadLetters, d, d.log).Close()
		}
	}

	inherited := listener != nil
	if !inherited {
		if listener, err = net.Listen("tcp", d.conf.Listen); err != nil {
			return err
		}
	}
	clients := connlimit.New(listener, descriptors, submission.ConnTimeouts)
	d.clients = clients
	server := &http.Server{
		Handler: d.front, ReadHeaderTimeout: 2 * time.Second, ReadTimeout: 2500 * time.Millisecond,
		WriteTimeout: 15 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10,
		ConnContext: connlimit.ConnContext, ConnState: clients.SetState,
		ErrorLog: slog.NewLogLogger(d.log.Handler(), slog.LevelWarn),
	}
	failed := make(chan error, 1)
	go process.Run(ctx, d.courier, func() { go func() { failed <- server.Serve(clients) }() }, func() {
		d.applyEvent(lifecycle.StepDone{Step: lifecycle.Listening})
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
				d.logCounters()
				continue
			case syscall.SIGHUP:
				d.reload(ctx)
				continue
			}
			start := time.Now()
			d.fleet.leave()
			if inherited && process.HasSuccessor() {
				d.handOver(start, clients)
			} else {
				d.applyEvent(lifecycle.Terminate{})
				d.shutDown(start, clients)
			}
			closeCtx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			defer cancel()
			if err := clients.Shutdown(closeCtx); err != nil && !errors.Is(err, net.ErrClosed) { // closed already if a successor took over
				d.log.Warn("raventrestle: client connections", "err", err)
			}
			stop()
			if d.deadLetters != nil {
				d.deadLetters.Wait() // until all dead letters are written
			}
			if err := d.store.Close(); err != nil {
				d.log.Warn("raventrestle: journal", "err", err)
			}
			if err := process.Release(); err != nil {
				d.log.Warn("raventrestle: can't release the process's directory", "err", err)
			}
			d.fleet.awaitLeft(start.Add(shutdownTimeout))
			d.logCounters()
			d.applyEvent(lifecycle.Exited{})
			d.log.Info("raventrestle: done", "took", time.Since(start))
			return nil
		}
	}
}

// shutDown waits until every message has its outcome and no client connection is open, or until shutdownTimeout. From now
// on each answer closes its connection. Idle connections are closed at once, except those with an unread request. New
// connections are accepted for acceptPeriod and get the time that a client needs to send a request.
func (d *daemon) shutDown(start time.Time, clients *connlimit.Limiter) {
	done := d.courier.Close(start.Add(shutdownTimeout))
	ticker := time.NewTicker(clientPollInterval)
	defer ticker.Stop()
	for open := clients.CloseIdle(submission.ConnTimeouts.Request); ; open = clients.CloseIdle(submission.ConnTimeouts.Request) {
		elapsed := time.Since(start)
		if elapsed > shutdownTimeout || open == 0 && done == nil && elapsed > acceptPeriod {
			return
		}
		select {
		case <-done:
			done = nil
		case <-ticker.C:
		}
	}
}

// handOver passes the clients' socket and all messages to the successor. Open client connections are closed after their
// next answer, and idle ones after idleClientTimeout.
func (d *daemon) handOver(start time.Time, clients *connlimit.Limiter) {
	d.handingOver.Store(true)
	if err := clients.Close(); err != nil {
		d.log.Warn("raventrestle: client connections", "err", err)
	}
	d.front.CloseConnections()
	done := d.courier.HandOver()
	d.applyEvent(lifecycle.Terminate{})
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for open := 1; open > 0 || done != nil; {
		select {
		case <-done:
			done = nil
		case <-ticker.C:
			if elapsed := time.Since(start); elapsed > handoverTimeout {
				d.log.Warn("raventrestle: handover incomplete", "client connections", open, "owed", done != nil)
				return
			} else if elapsed > idleClientTimeout {
				open = clients.CloseIdle(0)
			}
		}
	}
}

// applyEvent passes an event to the instance, which logs an event that is invalid in its state.
func (d *daemon) applyEvent(e lifecycle.Event) { d.instance.Handle(e) }

// Report returns the state of the instance and its reasons.
func (d *daemon) Report() instance.Report { return d.instance.Report() }

// Drain makes the courier reject new messages or, if on is false, accept them again.
func (d *daemon) Drain(on bool) error {
	if on {
		return d.instance.Handle(lifecycle.Drain{})
	}
	return d.instance.Handle(lifecycle.Undrain{})
}

// Status returns all that operators see of a running courier.
func (d *daemon) Status(ctx context.Context) (admin.Status, error) {
	s, err := d.courier.Status(ctx)
	return admin.Status{
		Name: d.conf.Name, Listen: d.conf.Listen, PID: os.Getpid(), Report: d.instance.Report(), Courier: s, JournalBytes: d.store.Size(),
		Settings: d.settingsFile, Fleet: d.fleet.status(),
	}, err
}

// loadLearned returns what the previous process had learned, or nil if there is nothing recent enough.
func (d *daemon) loadLearned(dir string) *raventrestle.Learned {
	saved, err := learned.Load(dir)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	} else if err != nil {
		d.log.Warn("raventrestle: can't use what the previous process learned", "folder", dir, "err", err)
		return nil
	}
	now := time.Duration(time.Now().UnixNano())
	fresh, ok := learned.Fresh(saved, now, d.conf.Settings.WarmupDuration)
	if d.log.Info("raventrestle: loaded what the previous process learned", "age", now-saved.SavedAt, "counts", ok); !ok {
		return nil
	}
	return &fresh
}

// errStateDirLocked means that another courier uses the state directory.
var errStateDirLocked = errors.New("the state directory is in use by another courier")

// lockStateDir locks the state directory for this process until the returned function is called or the process exits in
// any way. If the file system has no locks, the courier runs without one.
func lockStateDir(ctx context.Context, dir string, log *slog.Logger) (func(), error) {
	lock := flock.New(filepath.Join(dir, "owner"))
	lockCtx, stop := context.WithTimeout(ctx, lockTimeout)
	defer stop()
	ok, err := lock.TryLockContext(lockCtx, 20*time.Millisecond)
	switch {
	case ok:
		return func() {
			if err := lock.Unlock(); err != nil {
				log.Warn("raventrestle: can't unlock the state directory", "err", err)
			}
		}, nil
	case errors.Is(err, context.DeadlineExceeded):
		return nil, fmt.Errorf("%s: %w (which has locked %s)", dir, errStateDirLocked, lock.Path())
	case ctx.Err() != nil:
		return nil, ctx.Err()
	}
	log.Warn("raventrestle: can't lock the state directory", "folder", dir, "err", err)
	return func() {}, nil
}

// openDeadLetters opens the store of dead letters, if the settings enable it, and returns the messages in the journal
// that the courier restores. If the store can't be opened, the courier runs without it. Resends in the journal then stay
// there until a process opens the store.
func (d *daemon) openDeadLetters(set *settings.Settings, kept []journal.MessageState) []journal.MessageState {
	var fresh, resends []journal.MessageState
	for _, k := range kept {
		if k.ResendNumber > 0 {
			resends = append(resends, k)
		} else {
			fresh = append(fresh, k)
		}
	}
	if !set.Undeliverable.Keep {
		if len(resends) > 0 {
			d.log.Warn("undeliverable: resends stay in the journal because dead letters are not stored", "n", len(resends))
		}
		return fresh
	}
	c := d.deadLetterConfig(set)
	var live []journal.MessageState
	var stale []string
	var err error
	if d.deadLetters, live, stale, err = deadletter.Start(c, kept, d.store.Intact()); err != nil {
		d.deadLetters = nil
		d.applyEvent(lifecycle.FaultBegan{Fault: lifecycle.DeadLettersUnwritable})
		d.log.Error("undeliverable: can't open the store, running without it", "folder", c.Dir, "err", err)
		return fresh
	}
	var endRecords []journal.Record
	for _, id := range stale {
		endRecords = append(endRecords, journal.Done(id))
	}
	if err := d.store.Append(endRecords, nil); err != nil {
		d.log.Error("undeliverable: journal", "err", err)
	}
	return append(fresh, live...)
}

// deadLetterConfig returns the configuration of the dead letter store for the operators' settings.
func (d *daemon) deadLetterConfig(set *settings.Settings) deadletter.Config {
	u := set.Undeliverable
	names, classes := d.conf.Names, d.conf.Settings.Classes
	return deadletter.Config{
		Dir: deadLetterDir(set, d.conf.StateDir), Limits: resendLimits(u, d.conf.Settings.Forwarders, d.conf.Settings.WarmupDuration), MaxAge: u.MaxAge.Duration(),
		MaxFinalAge: u.ResolvedMaxAge.Duration(), Log: d.log, Seed: d.conf.Seed, AppendJournal: d.store.Append,
		Options:      deadletter.Options{MaxBytes: u.MaxBytes, MaxMessages: u.MaxDeadLetters, Sync: u.Sync},
		SubmitResend: func(a deadletter.ResendRequest) bool { return d.courier.Resend(a) },
		LookupClass: func(name string) (raventrestle.Class, bool) {
			i, ok := names.Classes[name]
			if !ok {
				return raventrestle.Class{}, false
			}
			return classes[i], true
		},
	}
}

// reload reads the configuration and the operators' settings again; each file is applied completely or not at all. From
// the operators' settings it applies the log level and the limits and rates of dead letters. The other settings take
// effect at the next start.
func (d *daemon) reload(ctx context.Context) {
	if err := d.reloadConfig(ctx); err != nil {
		d.stats.ConfigReloadFails.Add(1)
		d.log.Error("raventrestle: configuration not reloaded, the old one stays in use", "file", os.Getenv("EDGE_CONFIG"), "err", err)
	} else {
		d.stats.ConfigReloads.Add(1)
		d.log.Info("raventrestle: configuration reloaded", "discovery", d.currentConf.Discovery, "classes", len(d.currentConf.Names.Classes))
	}
	if d.settingsFile == "" {
		return
	}
	go func() { // in the background, because the helper may be slow and would delay signals
		set, err := settings.Load(ctx, d.settingsFile)
		if err != nil {
			d.log.Error("settings: not reloaded, the old ones stay in use", "file", d.settingsFile, "err", err)
			return
		}
		d.level.Set(set.Log.Level)
		if d.deadLetters != nil {
			d.deadLetters.SetConfig(d.deadLetterConfig(set))
		}
		d.log.Info("settings: reloaded", "file", d.settingsFile)
	}()
}

// reloadConfig applies the platform's configuration file completely or not at all, including a new discovery address. The
// decision module gets new classes before clients can submit messages of them.
func (d *daemon) reloadConfig(ctx context.Context) error {
	next, err := config.Reload(os.Getenv, d.currentConf)
	if err != nil {
		return err
	}
	if err := d.courier.Reconfigure(ctx, next); err != nil {
		return err
	}
	for name := range next.Names.Classes {
		d.stats.Class(name)
	}
	d.front.SetNames(next.Names)
	if next.Discovery != d.currentConf.Discovery {
		d.courier.SetDiscovery(next.Discovery)
	}
	d.currentConf = next
	return nil
}

// logCounters logs the counters of client requests, messages, attempts and decisions.
func (d *daemon) logCounters() {
	clients, messages, peers := &d.front.Counts, &d.courier.Counts, &d.courier.Counts.Peers
	d.log.Info("counters: client connections", "requests", clients.Requests.Load(), "taken", clients.Accepted.Load(),
		"refused", clients.Rejected.Load(), "bad_form", clients.Malformed.Load(), "too_large", clients.TooLarge.Load(),
		"left", clients.ClientLeft.Load(), "closed_unanswered", d.clients.Unanswered.Load())
	d.log.Info("counters: messages", "taken", messages.Accepted.Load(), "restored", messages.Restored.Load(), "full", messages.Full.Load(),
		"withdrawn", messages.Withdrawn.Load(), "delivered", messages.Delivered.Load(), "void", messages.Void.Load(),
		"deferred", messages.Deferred.Load(), "undeliverable", messages.Undeliverable.Load())
	names := []string{"ok", "error", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot"}
	attempts := []any{"dials", peers.Dials.Load(), "calls", peers.Calls.Load(), "bulk", peers.BatchCalls.Load(), "tries", peers.Attempts.Load()}
	for i, name := range names {
		attempts = append(attempts, name, messages.ByStatus[i].Load())
	}
	d.log.Info("counters: tries", attempts...)
	d.log.Info("counters: decisions", "steps", messages.Steps.Load(), "late", messages.LateSteps.Load(), "panics", messages.Panics.Load())
	if d.fleet != nil {
		d.fleet.LogCounters(d.log)
	}
	if d.deadLetters == nil {
		return
	}
	l := &d.deadLetters.Counts
	d.log.Info("counters: undeliverable", "kept", l.Added.Load(), "lost", l.Lost.Load(), "gave_way", l.Evicted.Load(),
		"expired", l.Expired.Load(), "begun", l.ResendsBegun.Load(), "delivered", l.ResendsDelivered.Load(), "failed", l.ResendsFailed.Load(),
		"yielded", l.ResendsYielded.Load(), "void", l.ResendsVoid.Load())
}
