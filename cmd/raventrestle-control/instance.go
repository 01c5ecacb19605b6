package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/api"
	"raventrestle/internal/control/configstore"
	"raventrestle/internal/control/host"
	"raventrestle/internal/control/placer"
	"raventrestle/internal/control/quota"
	"raventrestle/internal/control/roles"
	"raventrestle/internal/control/state"
	"raventrestle/internal/nodeconfig"
	"raventrestle/internal/protocol"
	"raventrestle/internal/transport"
)

const (
	shutdownTimeout = 700 * time.Millisecond // calls under way at the end

	reservedFileDescriptors = 200 // of the descriptors
	minConnections          = 256
)

// instance is a running control instance.
type instance struct {
	replica replica.Interface
	leader  *roles.Leader
	mesh    *transport.Mesh
	peers   *transport.Server
	http    *api.Server
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	failed  chan error

	handoverTimeout time.Duration // that it may wait at its end for others to hold what it holds
}

// deferredHandler hands what arrives to the host, once there is one.
type deferredHandler struct{ host atomic.Pointer[host.Host] }

func (g *deferredHandler) Message(c *transport.Connection, message any) {
	if h := g.host.Load(); h != nil {
		h.Message(c, message)
	}
}

func (g *deferredHandler) Closed(c *transport.Connection, err error) {
	if h := g.host.Load(); h != nil {
		h.Closed(c, err)
	}
}

// replicaTransport carries the replica's messages on the mesh.
type replicaTransport struct {
	mesh *transport.Mesh
	self string
}

func (t replicaTransport) Send(address string, message []byte) {
	t.mesh.Send(address, &protocol.ReplicaMessage{From: t.self, Body: message})
}

// start brings an instance up. Nothing here waits for another machine.
func start(ctx context.Context, settings *nodeconfig.Config, events *eventLog) (*instance, error) {
	ctx, cancel := context.WithCancel(ctx)
	codec := protocol.NewCodec()
	protocol.RegisterPeerMessages(codec)
	self := address(settings.IP, settings.FirstEphemeralPort)
	incarnation, err := drawIncarnation()
	if err != nil {
		cancel()
		return nil, err
	}
	origin := protocol.Origin{Address: self, Incarnation: incarnation}
	entrance := &deferredHandler{}
	i := &instance{
		cancel: cancel, failed: make(chan error, 1), mesh: transport.NewMesh(codec, self, entrance),
		handoverTimeout: handoverTimeout(settings.Bounds.GracePeriod),
	}
	machine := state.New()
	group, err := openReplica(settings, self, replicaTransport{mesh: i.mesh, self: self}, machine, events)
	if err != nil {
		cancel()
		return nil, err
	}
	i.replica = group
	configurations := configstore.New(group, machine)
	newPlacer := func(quiet time.Duration) roles.Placer { return newPlacer(settings, quiet) }
	newAllocator := func(quiet time.Duration) roles.Allocator { return newAllocator(settings, quiet) }
	reports := &deferredReports{}
	table := host.New(host.Config{Origin: origin, Heartbeat: settings.HeartbeatInterval, Codec: codec}, host.Dependencies{
		Replica: group, Configurations: configurations, Mesh: i.mesh, Roles: reports, Events: events,
	})
	i.leader = roles.New(roles.Config{NodeName: settings.NodeName, Lease: settings.Bounds.LeaseTTL},
		roles.Dependencies{
			Replica: group, Host: table, Configurations: configurations,
			NewPlacer: newPlacer, NewAllocator: newAllocator, Events: events,
		})
	reports.holder = i.leader
	entrance.host.Store(table)
	i.peers, err = transport.Listen(self, codec, entrance)
	if err != nil {
		cancel()
		return nil, err
	}
	public, err := listenControl(ctx, settings.ControlAddress)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("listen for endpoints and the operator: %w", err)
	}
	i.http = api.New(table, configurations, statusView(group, machine, table.ConfirmedAt)).
		Server(connectionsOf(settings.Limits))
	i.spawn(func() { table.Run(ctx) })
	i.spawn(func() { i.leader.Run(ctx) })
	i.spawn(func() { i.serve(public) })
	events.started(settings.NodeName, self, settings.ControlAddress, settings.Bootstrap)
	return i, nil
}

// connectionsOf is how many connections the public interface may have: the others' transports need some too.
func connectionsOf(limits nodeconfig.Limits) int {
	return max(minConnections, (limits.MaxFDs-reservedFileDescriptors)/2)
}

// deferredReports breaks the circle between the host and the holder.
type deferredReports struct{ holder *roles.Leader }

func (l *deferredReports) HandleReports(batch *protocol.ReportBatch) { l.holder.HandleReports(batch) }

func (i *instance) spawn(task func()) {
	i.tasks.Add(1)
	go func() {
		defer i.tasks.Done()
		task()
	}()
}

// listenControl listens without keep-alive probes: idle connections are closed after some seconds anyway, and each
// option of a socket is a system call.
func listenControl(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	return config.Listen(ctx, "tcp", address)
}

func (i *instance) serve(public net.Listener) {
	if err := i.http.Serve(public); !errors.Is(err, http.ErrServerClosed) {
		i.failed <- fmt.Errorf("serve endpoints and the operator: %w", err)
	}
}

// stop hands the roles over, answers what is under way and ends.
func (i *instance) stop(ctx context.Context) error {
	i.leader.StepDown()
	handOver, cancel := context.WithTimeout(ctx, i.handoverTimeout)
	defer cancel()
	stopped := i.replica.Stop(handOver)
	answer, cancelAnswer := context.WithTimeout(ctx, shutdownTimeout)
	defer cancelAnswer()
	if err := i.http.Shutdown(answer); err != nil {
		_ = i.http.Close() // callers that were not answered in time ask another instance
	}
	i.cancel()
	i.tasks.Wait()
	i.mesh.Close()
	if err := i.peers.Close(); err != nil && stopped == nil {
		stopped = err
	}
	return stopped
}

func openReplica(
	settings *nodeconfig.Config, self string, carrier replica.Transport, machine replica.StateMachine, events *eventLog,
) (replica.Interface, error) {
	seeds, err := seedAddresses(settings)
	if err != nil {
		return nil, err
	}
	return replica.Open(replica.Config{
		Self:           replica.Member{Address: self, Zone: settings.Zone, Tag: settings.ControlAddress},
		Seeds:          seeds,
		Bootstrap:      settings.Bootstrap,
		FaultTolerance: settings.FaultToleranceMachines,
		Directory:      settings.DataDir,
		Transport:      carrier,
		StateMachine:   machine,
		RecordEvent:    events.replicaEvent,
	})
}

// seedAddresses turns the control addresses of the seeds into those of their transports.
func seedAddresses(settings *nodeconfig.Config) ([]string, error) {
	seeds := make([]string, 0, len(settings.Seeds))
	for _, seed := range settings.Seeds {
		ip, _, err := net.SplitHostPort(seed)
		if err != nil {
			return nil, fmt.Errorf("seed %q: %w", seed, err)
		}
		seeds = append(seeds, address(ip, settings.FirstEphemeralPort))
	}
	return seeds, nil
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func drawIncarnation() (uint64, error) {
	var bytes [8]byte
	if _, err := rand.Read(bytes[:]); err != nil {
		return 0, fmt.Errorf("draw an incarnation: %w", err)
	}
	return binary.LittleEndian.Uint64(bytes[:]), nil
}

func newPlacer(settings *nodeconfig.Config, quiet time.Duration) *placer.Placer {
	return placer.New(placer.Config{
		LoadRateWindow:   settings.Bounds.LoadRateWindow,
		LoadRateFactor:   settings.Bounds.LoadRateFactor,
		HandoverGap:      quiet,
		InspectEndpoints: true,
	})
}

func newAllocator(settings *nodeconfig.Config, quiet time.Duration) *quota.Allocator {
	return quota.New(quota.Config{
		Window:            settings.Bounds.QuotaWindow,
		OvershootFraction: settings.Bounds.QuotaOverrunRatio,
		OvershootSlack:    settings.Bounds.QuotaSlack,
		IdleBefore:        quiet,
	})
}
