// Package node assembles a router process: the client side (ingress), the dispatcher, the subscription to the control
// plane and the readiness probe. It runs them until a signal and shuts them down in order (shutdown.go).
package node

import (
	"context"
	"fmt"
	golog "log"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"raventrestle/internal/nodeconfig"
	"raventrestle/internal/protocol"
	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/dispatcher"
	"raventrestle/internal/router/ingress"
	"raventrestle/internal/router/pool"
	"raventrestle/internal/router/readiness"
	"raventrestle/internal/router/subscription"
)

// Node is one router process.
type Node struct {
	config     *nodeconfig.Config
	readConfig func() (*nodeconfig.Config, error)
	log        *log.Logger

	dispatcher   *dispatcher.Actor
	handler      *ingress.Handler
	server       *ingress.Server
	probe        *readiness.Server
	subscription *subscription.Subscription

	shuttingDown atomic.Bool
	drainDelay   time.Duration // after SIGTERM
}

// New assembles a router and opens its addresses. readConfig reads the settings file again.
func New(config *nodeconfig.Config, readConfig func() (*nodeconfig.Config, error), logger *log.Logger) (*Node, error) {
	n := &Node{config: config, readConfig: readConfig, log: logger, drainDelay: drainDelay}
	incarnation := rand.Uint64()
	dialer := pool.NewDialer()
	deciderConfig := dispatchConfig(config, incarnation)
	idle := pool.NewIdle(dialer, maxClientConnections(config)-deciderConfig.Slots)
	n.dispatcher = dispatcher.New(dispatch.New(deciderConfig), idle, dispatcher.Reports{
		Demand:   n.sendReport,
		Credit:   n.requestCredit,
		Outcomes: (&outcomeLog{log: logger}).record,
	})
	view := &ingress.CurrentView{}
	n.handler = ingress.NewHandler(ingressConfig(config), ingress.Dependencies{
		View:       view,
		Dispatcher: n.dispatcher,
		Dialer:     dialer,
		Events:     &lostAnswerLog{log: logger},
		Fresh:      n.fresh,
	})
	ownIP, _ := netip.ParseAddr(config.IP) // nodeconfig has checked it; it only orders the candidates
	n.subscription = subscription.New(subscriptionConfig(config, incarnation), subscription.Dependencies{
		Candidates: subscription.NewCandidates(config.Zone, ownIP, rand.New(rand.NewPCG(incarnation, 0))),
		Applier:    &updateApplier{dispatcher: n.dispatcher, view: view, readSeeds: n.readSeeds},
		Events:     &subscriptionLog{log: logger},
	})
	if err := n.listen(); err != nil {
		return nil, err
	}
	return n, nil
}

func (n *Node) listen() error {
	errorLog := &httpErrorLog{log: n.log}
	server, err := ingress.Listen(n.config.IngressAddress, maxClientConnections(n.config), n.handler, errorLog)
	if err != nil {
		return fmt.Errorf("listen for clients at %s: %w", n.config.IngressAddress, err)
	}
	n.server = server
	n.probe, err = readiness.Listen(n.config.ReadinessAddress, n.ready, golog.New(errorLog, "", 0))
	return err
}

// ready reports whether the readiness probe is answered with 200.
func (n *Node) ready() bool { return n.subscription.Ready() && !n.shuttingDown.Load() }

// fresh reports whether the view in force is recent enough to answer a client that a route or a key does not exist.
func (n *Node) fresh(now time.Time) bool {
	return now.Sub(n.subscription.FreshAsOf()) <= staleTimeout(n.config)
}

// sendReport sends a report of demand to the control plane. The dispatcher calls it; it does not block.
func (n *Node) sendReport(report protocol.Report) { n.subscription.Report(report) }

// requestCredit sends a request for credit to the control plane. The dispatcher calls it; it does not block.
func (n *Node) requestCredit(request protocol.CreditRequest) { n.subscription.RequestCredit(request) }

// Run serves until SIGTERM or SIGINT, or until a listener fails. SIGHUP reloads the seeds.
func (n *Node) Run(signals <-chan os.Signal) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 2)
	go n.dispatcher.Run(ctx)
	go n.subscription.Run(ctx)
	go func() { failed <- n.server.Run() }()
	go func() { failed <- n.probe.Run() }()
	n.log.Info().Str("node", n.config.NodeName).Str("front", n.server.Address().String()).Msg("router.started")
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				n.shutDown(signals)
				return nil
			}
			n.reloadSeeds()
		case err := <-failed:
			return err
		}
	}
}
