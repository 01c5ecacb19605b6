package emulator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"raventrestle/internal/emulator/link"
)

// World is a run.
type World struct {
	Spec
	Ledger    *Ledger
	Channels  []*Channel
	Discovery *Discovery
	Mesh      *link.Mesh // nil where there are neither faults nor a fleet
	Faulted   link.Plan  // what goes wrong with links and processes
	Couriers  []*Courier
	start     time.Time
	frontMu   sync.Mutex
	front     *Front
	client    *http.Client
	ids       atomic.Int64
	resends   chan int // couriers that have a resend out
	late      atomic.Int64
	lateness  *hdrhistogram.Histogram // ms; of the traffic's goroutine
	Asked     int
	Refused   atomic.Int64 // submissions
	Lost      atomic.Int64 // submissions that no courier answered
	classes   sync.Map     // id to *ClassSpec
	comeAgain sync.WaitGroup
	clients   context.Context // of those who come again; it ends with the run
	leave     context.CancelFunc
}

// New builds a world. Close ends it.
func New(s Spec) (w *World, err error) {
	if s.ReadyWithin == 0 {
		s.ReadyWithin = 20 * time.Second
	}
	w = &World{
		Spec: s, start: time.Now(), front: NewFront(s.Couriers, s.FrontNotices, s.Seed), resends: make(chan int, 1024),
		lateness: hdrhistogram.New(1, 600_000, 3),
		client:   &http.Client{Timeout: Patience, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 4 * time.Second}},
	}
	w.Ledger = NewLedger(w.start)
	w.clients, w.leave = context.WithCancel(context.Background())
	defer func() {
		if err != nil {
			err = errors.Join(err, w.Close())
		}
	}()
	for _, spec := range s.Channels {
		c, err := NewChannel(spec, s.Couriers, w.Ledger, s.Seed, w.classOf)
		if err != nil {
			return w, err
		}
		c.onResend = func(courier int) {
			select {
			case w.resends <- courier:
			default:
			}
		}
		for _, e := range c.Endpoints {
			e.delay = func(courier int) time.Duration {
				if s.Home(courier) == e.Floor {
					return 0
				}
				return s.FloorDelay
			}
		}
		w.Channels = append(w.Channels, c)
	}
	if w.Discovery, err = NewDiscovery(s.Couriers, w.Channels, w.Ledger); err != nil {
		return w, err
	}
	w.Discovery.onDeferred = w.again
	w.Discovery.late = s.ListLate
	places, err := w.link()
	if err != nil {
		return w, err
	}
	for n := range s.Couriers {
		folder := filepath.Join(s.Dir, fmt.Sprint("n", n))
		args := s.Args
		settings := strings.ReplaceAll(s.Settings, "@DIR@", folder)
		if s.Fleet {
			more, err := w.fleet(n, places)
			if err != nil {
				return w, err
			}
			settings += more
		}
		if settings != "" {
			if err := os.MkdirAll(folder, 0o700); err != nil {
				return w, err
			}
			file := filepath.Join(folder, "settings.cue")
			if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
				return w, err
			}
			args = append([]string{"run", "--settings", file}, args...)
		}
		c, err := NewCourier(n, s.Dir, s.Program, args, s.Env, s.Platform(n), places[n].ip, w.Discovery.Addr(n), w.Discovery.Whole(n),
			s.MemoryMB, s.DiskMB, w.Ledger)
		if err != nil {
			return w, err
		}
		c.onLife = func(up bool) {
			w.frontMu.Lock()
			defer w.frontMu.Unlock()
			if up {
				w.front.Up(n)
			} else {
				w.front.Down(n, time.Now())
			}
		}
		w.Couriers = append(w.Couriers, c)
	}
	return w, nil
}

func (w *World) classOf(id string) (string, EffectLimit) {
	if c, ok := w.classes.Load(id); ok {
		return c.(*ClassSpec).Name, c.(*ClassSpec).Allowed
	}
	return "", Unlimited
}

// Run plays the whole run: traffic, troubles, kills, settling, a clean end.
func (w *World) Run(ctx context.Context) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	var starting errgroup.Group
	for _, c := range w.Couriers {
		starting.Go(func() error {
			ctx, stop := context.WithTimeout(ctx, w.ReadyWithin)
			defer stop()
			return c.Start(ctx)
		})
	}
	if err := starting.Wait(); err != nil {
		return err
	}
	if err := w.snapshots(); err != nil {
		return err
	}
	w.start = time.Now()
	w.Ledger.mu.Lock()
	w.Ledger.start = w.start
	w.Ledger.mu.Unlock()
	var all sync.WaitGroup
	end, finish := context.WithCancel(ctx)
	w.Ledger.Excuse(excuses(w.Faulted, w.start))
	all.Go(func() { w.troubles(end) })
	all.Go(func() {
		if err := w.faults(end); err != nil {
			stop(err)
		}
	})
	all.Go(func() {
		if err := w.restarts(end); err != nil {
			stop(err)
		}
	})
	all.Go(func() {
		if err := w.killer(end); err != nil {
			stop(err)
		}
	})
	all.Go(func() { // a courier that ends by itself ends the run
		for range ticks(end, 100*time.Millisecond) {
			for _, c := range w.Couriers {
				if err := c.Crashed(); err != nil {
					stop(err)
				}
			}
		}
	})
	w.traffic(ctx)
	w.settle(ctx)
	finish()
	w.leave()
	w.comeAgain.Wait()
	all.Wait()
	var errs []error
	for _, c := range w.Couriers { // one that is down now comes back once, for what it owes
		if err := c.Stop(); err != nil {
			errs = append(errs, err)
		}
	}
	if err := context.Cause(ctx); err != nil {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// ticks are events at an interval until the context ends.
func ticks(ctx context.Context, d time.Duration) <-chan time.Time {
	out := make(chan time.Time)
	go func() {
		defer close(out)
		t := time.NewTicker(d)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case at := <-t.C:
				select {
				case out <- at:
				case <-ctx.Done():
					return
				}
			}
		}
	}()
	return out
}

// Start is when the traffic began.
func (w *World) Start() time.Time { return w.start }

// settle waits for Done, but at least until the last message's time is up.
func (w *World) settle(ctx context.Context) {
	first, last := time.Now(), time.Now().Add(w.Settle)
	for _, c := range w.Classes {
		if at := time.Now().Add(c.Deadline + time.Second); at.After(first) {
			first = at
		}
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for at := range ticks(ctx, 500*time.Millisecond) {
		if at.After(last) || at.After(first) && w.Done != nil && w.Done(w) {
			return
		}
	}
}

// Close ends all that the world started.
func (w *World) Close() error {
	w.leave()
	var errs []error
	for _, c := range w.Couriers {
		c.Kill()
		errs = append(errs, c.log.Close())
	}
	for _, c := range w.Channels {
		errs = append(errs, c.Close())
	}
	if w.Mesh != nil {
		errs = append(errs, w.Mesh.Close())
	}
	if w.Discovery != nil {
		errs = append(errs, w.Discovery.Close())
	}
	w.client.CloseIdleConnections()
	for i, err := range errs {
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrClosed) {
			errs[i] = nil
		}
	}
	return errors.Join(errs...)
}
