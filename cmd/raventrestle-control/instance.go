package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/api"
	"raventrestle/internal/control/configstore"
	"raventrestle/internal/control/host"
	"raventrestle/internal/control/quotahost"
	"raventrestle/internal/control/roles"
	"raventrestle/internal/control/shares"
	"raventrestle/internal/control/state"
	"raventrestle/internal/nodeconfig"
	"raventrestle/internal/protocol"
	"raventrestle/internal/transport"
)

// quotaRecordTimeout is the longest time that the record of issued credit gets at the end. Without it the next process of
// this instance issues nothing for its first window.
const quotaRecordTimeout = 300 * time.Millisecond

// shutdownTimeout is the longest time that calls in flight get at the end.
const shutdownTimeout = 700 * time.Millisecond

// instance is a running control instance: the replicated group's member, the host of registry and subscriptions, the
// singleton roles' leader, the transport for routers and peers, and the HTTP interface for endpoints and the operator.
type instance struct {
	replica replica.Interface
	leader  *roles.Leader
	quotas  *quotahost.Host
	mesh    *transport.Mesh   // to peers
	peers   *transport.Server // from peers and routers
	http    *api.Server
	cancel  context.CancelFunc // ends the tasks
	tasks   sync.WaitGroup     // the goroutines of spawn
	failed  chan error         // gets the error that ends the instance

	handoverTimeout time.Duration // at the end, for others to get all that only this instance has
}

// start starts an instance. It waits for no other machine.
func start(ctx context.Context, config *nodeconfig.Config, events *eventLog) (*instance, error) {
	ctx, cancel := context.WithCancel(ctx)
	i := &instance{
		cancel:          cancel,
		failed:          make(chan error, 1),
		handoverTimeout: handoverTimeout(config.Bounds.GracePeriod),
	}
	if err := i.start(ctx, config, events); err != nil {
		cancel()
		return nil, err
	}
	return i, nil
}

// start makes the parts of the instance, each after those that it depends on, and starts their goroutines. After an error
// the process is expected to end.
func (i *instance) start(ctx context.Context, config *nodeconfig.Config, events *eventLog) error {
	codec := protocol.NewCodec()
	protocol.RegisterPeerMessages(codec)
	self := hostPort(config.IP, config.FirstEphemeralPort)
	incarnation, err := newIncarnation()
	if err != nil {
		return err
	}
	origin := protocol.Origin{Address: self, Incarnation: incarnation}
	handler := &deferredHandler{}
	i.mesh = transport.NewMesh(codec, self, handler)
	machine := state.New()
	i.replica, err = openReplica(config, self, replicaTransport{mesh: i.mesh, self: self}, machine, events)
	if err != nil {
		return err
	}
	store := configstore.New(i.replica, machine)
	reports := &deferredReports{}
	controlHost := host.New(host.Config{Origin: origin, Heartbeat: config.HeartbeatInterval, Codec: codec}, host.Dependencies{
		Replica: i.replica, Configurations: store, Mesh: i.mesh, Roles: reports, Events: events,
	})
	i.leader = roles.New(roles.Config{
		NodeName: config.NodeName, Lease: config.Bounds.LeaseTTL, HolderLease: shares.HolderLease(config.Bounds.PartitionAllowance),
	}, roles.Dependencies{
		Replica: i.replica, Host: controlHost, Configurations: store, Events: events,
		NewPlacer: func(quiet time.Duration) roles.Placer { return newPlacer(config, quiet) },
	})
	i.quotas, err = newQuotaHost(config, origin, quotahost.Dependencies{
		Replica: i.replica, Replicated: store, ConfirmedAt: controlHost.ConfirmedAt, Mesh: i.mesh, Events: events,
	})
	if err != nil {
		return err
	}
	reports.leader = i.leader
	handler.host.Store(controlHost)
	handler.quotas.Store(i.quotas)
	i.peers, err = transport.Listen(self, codec, handler)
	if err != nil {
		return err
	}
	listener, err := listenControl(ctx, config.ControlAddress)
	if err != nil {
		return fmt.Errorf("listen for endpoints and the operator: %w", err)
	}
	i.http = api.New(controlHost, store, statusView(i.replica, machine, controlHost.ConfirmedAt),
		quotaView(i.replica, machine, controlHost.ConfirmedAt, i.quotas)).
		Server(maxConnections(config.Limits))
	i.spawn(func() { controlHost.Run(ctx) })
	i.spawn(func() { i.leader.Run(ctx) })
	i.spawn(func() { i.quotas.Run(ctx) })
	i.spawn(func() { i.serve(listener) })
	events.started(config.NodeName, self, config.ControlAddress, config.Bootstrap)
	return nil
}

// spawn runs a task in a goroutine that stop waits for.
func (i *instance) spawn(task func()) {
	i.tasks.Add(1)
	go func() {
		defer i.tasks.Done()
		task()
	}()
}

// listenControl listens without keep-alive probes: idle connections are closed after some seconds anyway, and each
// socket option is a system call.
func listenControl(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	return config.Listen(ctx, "tcp", address)
}

// serve serves the HTTP interface until it is shut down.
func (i *instance) serve(listener net.Listener) {
	if err := i.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		i.failed <- fmt.Errorf("serve endpoints and the operator: %w", err)
	}
}

// stopQuotas has the record of issued credit written. From then on routers are passed on to other instances' credit.
func (i *instance) stopQuotas(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quotaRecordTimeout)
	defer cancel()
	i.quotas.Stop(ctx)
}

// stop ends the instance: it steps down, hands the group's state over, answers the calls in flight and waits for its tasks.
// The connections to routers and peers are closed without waiting for their goroutines, since the process ends. The error
// says why the group still needs this instance's disk.
func (i *instance) stop(ctx context.Context) error {
	i.leader.StepDown()
	handover, cancelHandover := context.WithTimeout(ctx, i.handoverTimeout)
	defer cancelHandover()
	stopped := i.replica.Stop(handover)
	i.stopQuotas(ctx)
	shutdown, cancelShutdown := context.WithTimeout(ctx, shutdownTimeout)
	defer cancelShutdown()
	if err := i.http.Shutdown(shutdown); err != nil {
		_ = i.http.Close() // callers without an answer by now ask another instance
	}
	i.cancel()
	i.tasks.Wait()
	i.mesh.Close()
	if err := i.peers.Close(); err != nil && stopped == nil {
		stopped = err
	}
	return stopped
}
