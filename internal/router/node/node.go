// Package node puts a router together: the clients' side, the dispatcher, the subscription to the control plane, the
// probe's answer, and the order in which all this ends.
package node

import (
	"context"
	"fmt"
	golog "log"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"raventrestle/internal/nodeconfig"
	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/dispatcher"
	"raventrestle/internal/router/ingress"
	"raventrestle/internal/router/pool"
	"raventrestle/internal/router/readiness"
	"raventrestle/internal/router/subscription"
)

const (
	reservedDescriptors = 200 // by the platform
	otherDescriptors    = 64  // listeners, control plane, probes, the runtime
	leastConnections    = 16
	bodyPart            = 4                      // of the memory, one part in so many for large bodies
	leastStale          = 750 * time.Millisecond // below it an ordinary pause between two beacons would count
)

// Node is one router process.
type Node struct {
	settings *nodeconfig.Config
	load     func() (*nodeconfig.Config, error)
	log      *log.Logger

	actor        *dispatcher.Actor
	handler      *ingress.Handler
	server       *ingress.Server
	probe        *readiness.Server
	subscription *subscription.Subscription
	ending       atomic.Bool
	servesOn     time.Duration // after SIGTERM
}

// New opens the addresses of a router. Load reads the settings again.
func New(settings *nodeconfig.Config, load func() (*nodeconfig.Config, error), logger *log.Logger) (*Node, error) {
	n := &Node{settings: settings, load: load, log: logger, servesOn: servesOn}
	seed := rand.Uint64()
	dialer := pool.NewDialer()
	decider := options(settings, seed)
	idle := pool.NewIdle(dialer, connections(settings)-decider.Slots)
	n.actor = dispatcher.New(dispatch.New(decider), idle, n.report)
	view := &ingress.CurrentView{}
	n.handler = ingress.NewHandler(ingress.Config{
		MaxBodyMemory: int64(settings.Limits.MemoryMB) << 20 / bodyPart,
	}, ingress.Dependencies{
		View:       view,
		Dispatcher: n.actor,
		Dialer:     dialer,
		Events:     &losses{log: logger},
		Fresh:      n.fresh,
	})
	force := &force{actor: n.actor, view: view, node: n}
	own, _ := netip.ParseAddr(settings.IP) // checked with the settings; it only orders the seeds
	n.subscription = subscription.New(subscriptionConfig(settings, seed), subscription.Dependencies{
		Candidates: subscription.NewCandidates(settings.Zone, own, rand.New(rand.NewPCG(seed, 0))),
		Applier:    force,
		Events:     n,
	})
	return n, n.listen()
}

func options(s *nodeconfig.Config, seed uint64) dispatch.Config {
	return dispatch.Config{
		Node:                   s.NodeName,
		Incarnation:            seed,
		Zone:                   s.Zone,
		Seed:                   seed,
		Slots:                  min(dispatch.DefaultSlots, connections(s)*3/4),
		RetryBudgetRatio:       s.Bounds.RetryBudgetRatio,
		RetryBudgetWindow:      s.Bounds.RetryBudgetWindow,
		RetryBudgetSlack:       s.Bounds.RetryBudgetSlack,
		QuotaWindow:            s.Bounds.QuotaWindow,
		QuotaOvershootFraction: s.Bounds.QuotaOverrunRatio,
		QuotaOvershootSlack:    s.Bounds.QuotaSlack,
	}
}

// subscriptionConfig trusts a control instance for half of the shorter bound: there is as much time again to find another
// instance and to apply what it has.
func subscriptionConfig(s *nodeconfig.Config, incarnation uint64) subscription.Config {
	return subscription.Config{
		Node:        s.NodeName,
		Zone:        s.Zone,
		Incarnation: incarnation,
		TrustTTL:    max(leastStale, min(s.Bounds.ConfigPropagationTimeout, s.Bounds.DrainTimeout)/2),
	}
}

// fresh says whether what is in force here is young enough to tell a client that something is not there.
func (n *Node) fresh(now time.Time) bool {
	return now.Sub(n.subscription.FreshAsOf()) <= max(leastStale, n.settings.Bounds.ConfigPropagationTimeout*3/4)
}

// connections is how many clients may be connected: each may have a call out, which needs a connection as well.
func connections(s *nodeconfig.Config) int {
	return max(leastConnections, (s.Limits.MaxFDs-reservedDescriptors-otherDescriptors)/2)
}

func (n *Node) listen() error {
	errors := &httpErrors{log: n.log}
	server, err := ingress.Listen(n.settings.IngressAddress, connections(n.settings), n.handler, errors)
	if err != nil {
		return fmt.Errorf("listen for clients at %s: %w", n.settings.IngressAddress, err)
	}
	n.server = server
	n.probe, err = readiness.Listen(n.settings.ReadinessAddress, n.ready, golog.New(errors, "", 0))
	return err
}

func (n *Node) ready() bool { return n.subscription.Ready() && !n.ending.Load() }

// Run serves until a signal ends it. SIGTERM and SIGINT end it, SIGHUP reads the settings again.
func (n *Node) Run(signals <-chan os.Signal) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 2)
	go n.actor.Run(ctx)
	go n.subscription.Run(ctx)
	go func() { failed <- n.server.Run() }()
	go func() { failed <- n.probe.Run() }()
	n.log.Info().Str("node", n.settings.NodeName).Str("front", n.server.Address().String()).Msg("router.started")
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return n.end(signals)
			}
			n.reload()
		case err := <-failed:
			return err
		}
	}
}

// end lets the platform notice that no more clients should come, then finishes what is under way. Whoever comes all the
// same, since too few routers are left, is served while there is time.
func (n *Node) end(signals <-chan os.Signal) error {
	began := time.Now()
	course := ending(n.settings.Bounds.GracePeriod, n.servesOn)
	n.ending.Store(true)
	n.actor.BeginShutdown(dispatch.ShutdownStarted{
		QueueDeadline:          began.Add(course.drain),
		SelectiveAdmissionFrom: began.Add(course.choose),
		ShutdownDeadline:       began.Add(course.cut),
	})
	n.log.Info().Msg("router.ending")
	n.pause(course.drain, signals)
	n.handler.Drain()
	_ = n.by(began.Add(course.close), n.server.DrainConnections) // what is left goes on
	if n.by(began.Add(course.refuse), n.server.Shutdown) != nil {
		n.handler.RejectPending()
	}
	err := n.by(began.Add(course.cut), n.server.Shutdown)
	if err != nil {
		n.handler.InterruptAttempts()
		err = n.by(began.Add(course.end), n.server.Shutdown)
	}
	n.log.Info().Dur("after", time.Since(began)).Bool("open", err != nil).Msg("router.ended")
	return nil
}

// by gives something until a time.
func (n *Node) by(at time.Time, do func(context.Context) error) error {
	ctx, stop := context.WithDeadline(context.Background(), at)
	defer stop()
	return do(ctx)
}

// pause waits; a SIGHUP meanwhile is obeyed.
func (n *Node) pause(d time.Duration, signals <-chan os.Signal) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return
		case s := <-signals:
			if s == syscall.SIGHUP {
				n.reload()
			}
		}
	}
}

// reload takes the seeds of the settings file. All else in it stays as it was at the start.
func (n *Node) reload() {
	settings, err := n.load()
	if err != nil {
		n.log.Error().Err(err).Msg("settings.rejected")
		return
	}
	n.subscription.SetSeeds(transports(settings))
	n.log.Info().Strs("seeds", settings.Seeds).Msg("settings.reloaded")
}

// seeds reads the settings file for its seeds; those of the start stand in where it can't be read.
func (n *Node) seeds() []string {
	settings, err := n.load()
	if err != nil {
		settings = n.settings
	}
	return transports(settings)
}

// transports are the internal addresses of the seeds: control instances listen on the first ephemeral port.
func transports(s *nodeconfig.Config) []string {
	var list []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue
		}
		list = append(list, net.JoinHostPort(host, strconv.Itoa(s.FirstEphemeralPort)))
	}
	return list
}
