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

// Emulation is a run: the couriers' processes, the emulated services around them and what was recorded.
type Emulation struct {
	Spec
	Recorder          *Recorder
	Channels          []*Channel
	Discovery         *Discovery
	Mesh              *link.Mesh // nil if there are neither faults of links or processes nor a fleet
	FaultPlan         link.Plan  // faults of links and processes
	Couriers          []*Courier
	start             time.Time
	balancerMu        sync.Mutex
	balancer          *Balancer
	client            *http.Client
	ids               atomic.Int64
	resendingCouriers chan int // couriers that have begun a resend
	lateCount         atomic.Int64
	lateness          *hdrhistogram.Histogram // in ms; only the goroutine of the traffic records it
	// Planned is the number of planned messages.
	Planned       int
	Rejected      atomic.Int64 // submissions that were rejected
	Lost          atomic.Int64 // submissions that were not answered
	classes       sync.Map     // submission id to *ClassSpec
	resubmissions sync.WaitGroup
	clientsCtx    context.Context // of clients that resubmit; cancelled at the end of the run
	stopClients   context.CancelFunc
}

// New sets up a run without starting the couriers. Close releases its resources.
func New(s Spec) (em *Emulation, err error) {
	if s.ReadyTimeout == 0 {
		s.ReadyTimeout = 20 * time.Second
	}
	em = &Emulation{
		Spec: s, start: time.Now(), balancer: NewBalancer(s.Couriers, s.FailureDetectionDelay, s.Seed), resendingCouriers: make(chan int, 1024),
		lateness: hdrhistogram.New(1, 600_000, 3),
		client:   &http.Client{Timeout: ClientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 4 * time.Second}},
	}
	em.Recorder = NewRecorder(em.start)
	em.clientsCtx, em.stopClients = context.WithCancel(context.Background())
	defer func() {
		if err != nil {
			err = errors.Join(err, em.Close())
		}
	}()
	for _, spec := range s.Channels {
		c, err := NewChannel(spec, s.Couriers, em.Recorder, s.Seed, em.classOfID)
		if err != nil {
			return em, err
		}
		c.onResend = func(courier int) {
			select {
			case em.resendingCouriers <- courier:
			default:
			}
		}
		for _, e := range c.Endpoints {
			e.delay = func(courier int) time.Duration {
				if s.HomeFloor(courier) == e.Floor {
					return 0
				}
				return s.FloorDelay
			}
		}
		em.Channels = append(em.Channels, c)
	}
	if em.Discovery, err = NewDiscovery(s.Couriers, em.Channels, em.Recorder); err != nil {
		return em, err
	}
	em.Discovery.onDeferred = em.resubmitDeferred
	em.Discovery.changeDelay = s.ListDelay
	addrs, err := em.setUpLinks()
	if err != nil {
		return em, err
	}
	for n := range s.Couriers {
		dir := filepath.Join(s.Dir, fmt.Sprint("n", n))
		args := s.Args
		settings := strings.ReplaceAll(s.Settings, "@DIR@", dir)
		if s.Fleet {
			fleet, err := em.fleetSettings(n, addrs)
			if err != nil {
				return em, err
			}
			settings += fleet
		}
		if settings != "" {
			if err := os.MkdirAll(dir, 0o700); err != nil {
				return em, err
			}
			file := filepath.Join(dir, "settings.cue")
			if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
				return em, err
			}
			args = append([]string{"run", "--settings", file}, args...)
		}
		c, err := NewCourier(n, s.Dir, s.Program, args, s.Env, s.PlatformSettings(n), addrs[n].ip, em.Discovery.Addr(n), em.Discovery.FullList(n),
			s.MemoryMB, s.DiskMB, em.Recorder)
		if err != nil {
			return em, err
		}
		c.onStateChange = func(up bool) {
			em.balancerMu.Lock()
			defer em.balancerMu.Unlock()
			if up {
				em.balancer.Up(n)
			} else {
				em.balancer.Down(n, time.Now())
			}
		}
		em.Couriers = append(em.Couriers, c)
	}
	return em, nil
}

// classOfID returns the class of the submission with the id.
func (em *Emulation) classOfID(id string) (string, EffectLimit) {
	if c, ok := em.classes.Load(id); ok {
		return c.(*ClassSpec).Name, c.(*ClassSpec).EffectLimit
	}
	return "", Unlimited
}

// Run executes the run: it starts the couriers, submits the traffic, injects the faults, waits until the messages
// are settled, and stops the couriers by SIGTERM.
func (em *Emulation) Run(ctx context.Context) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	var starting errgroup.Group
	for _, c := range em.Couriers {
		starting.Go(func() error {
			ctx, stop := context.WithTimeout(ctx, em.ReadyTimeout)
			defer stop()
			return c.Start(ctx)
		})
	}
	if err := starting.Wait(); err != nil {
		return err
	}
	if err := em.saveSnapshots(); err != nil {
		return err
	}
	em.start = time.Now()
	em.Recorder.mu.Lock()
	em.Recorder.start = em.start
	em.Recorder.mu.Unlock()
	var background sync.WaitGroup
	trafficCtx, endTraffic := context.WithCancel(ctx)
	em.Recorder.SetAllowances(allowancesFor(em.FaultPlan, em.start))
	background.Go(func() { em.runChannelFaults(trafficCtx) })
	background.Go(func() {
		if err := em.runFaultPlan(trafficCtx); err != nil {
			stop(err)
		}
	})
	background.Go(func() {
		if err := em.runRestarts(trafficCtx); err != nil {
			stop(err)
		}
	})
	background.Go(func() {
		if err := em.runKills(trafficCtx); err != nil {
			stop(err)
		}
	})
	background.Go(func() { // the run ends if a courier exits by itself
		for range tickUntilDone(trafficCtx, 100*time.Millisecond) {
			for _, c := range em.Couriers {
				if err := c.Crashed(); err != nil {
					stop(err)
				}
			}
		}
	})
	em.runTraffic(ctx)
	em.waitForCompletion(ctx)
	endTraffic()
	em.stopClients()
	em.resubmissions.Wait()
	background.Wait()
	var errs []error
	for _, c := range em.Couriers { // restarts in progress have completed, so that restarted couriers could send their remaining notices
		if err := c.Stop(); err != nil {
			errs = append(errs, err)
		}
	}
	if err := context.Cause(ctx); err != nil {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// tickUntilDone returns a channel that ticks at the interval and is closed when the context ends.
func tickUntilDone(ctx context.Context, d time.Duration) <-chan time.Time {
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

// Start returns when the traffic started.
func (em *Emulation) Start() time.Time { return em.start }

// waitForCompletion waits until Done returns true or CompletionTimeout has passed. It does not call Done before the
// deadline of every message has passed.
func (em *Emulation) waitForCompletion(ctx context.Context) {
	earliest, latest := time.Now(), time.Now().Add(em.CompletionTimeout)
	for _, c := range em.Classes {
		if at := time.Now().Add(c.Deadline + time.Second); at.After(earliest) {
			earliest = at
		}
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for at := range tickUntilDone(ctx, 500*time.Millisecond) {
		if at.After(latest) || at.After(earliest) && em.Done != nil && em.Done(em) {
			return
		}
	}
}

// Close stops all processes and closes all listeners of the run.
func (em *Emulation) Close() error {
	em.stopClients()
	var errs []error
	for _, c := range em.Couriers {
		c.Kill()
		errs = append(errs, c.log.Close())
	}
	for _, c := range em.Channels {
		errs = append(errs, c.Close())
	}
	if em.Mesh != nil {
		errs = append(errs, em.Mesh.Close())
	}
	if em.Discovery != nil {
		errs = append(errs, em.Discovery.Close())
	}
	em.client.CloseIdleConnections()
	for i, err := range errs {
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrClosed) {
			errs[i] = nil
		}
	}
	return errors.Join(errs...)
}
