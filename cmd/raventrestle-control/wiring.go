package main

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/replica"
	"raventrestle/internal/control/host"
	"raventrestle/internal/control/placer"
	"raventrestle/internal/control/quota"
	"raventrestle/internal/control/quotahost"
	"raventrestle/internal/control/roles"
	"raventrestle/internal/control/shares"
	"raventrestle/internal/nodeconfig"
	"raventrestle/internal/protocol"
	"raventrestle/internal/transport"
)

const (
	reservedFileDescriptors = 200 // for files, as the platform reserves them
	minConnections          = 256
)

// maxConnections returns how many connections the HTTP interface may have: half of the descriptors, since the transports
// of routers and peers need some too.
func maxConnections(limits nodeconfig.Limits) int {
	return max(minConnections, (limits.MaxFDs-reservedFileDescriptors)/2)
}

// deferredHandler passes messages to the host once there is one: the mesh has to exist before the host, and the host
// before messages can be handled. Earlier messages are dropped; their senders repeat what matters.
type deferredHandler struct {
	host   atomic.Pointer[host.Host]
	quotas atomic.Pointer[quotahost.Host]
}

// Message implements transport.Handler.
func (d *deferredHandler) Message(c *transport.Connection, message any) {
	if quotas := d.quotas.Load(); quotas != nil && quotas.Message(c, message) {
		return
	}
	if h := d.host.Load(); h != nil {
		h.Message(c, message)
	}
}

// Closed implements transport.Handler.
func (d *deferredHandler) Closed(c *transport.Connection, err error) {
	if h := d.host.Load(); h != nil {
		h.Closed(c, err)
	}
}

// deferredReports passes reports to the leader: host and leader need each other. It is set before the host runs.
type deferredReports struct{ leader *roles.Leader }

// HandleReports implements the host's interface to the singleton roles.
func (d *deferredReports) HandleReports(batch *protocol.ReportBatch) { d.leader.HandleReports(batch) }

// replicaTransport sends the replicated group's messages over the mesh.
type replicaTransport struct {
	mesh *transport.Mesh
	self string // transport address of this instance
}

// Send implements replica.Transport.
func (t replicaTransport) Send(address string, message []byte) {
	t.mesh.Send(address, &protocol.ReplicaMessage{From: t.self, Body: message})
}

// openReplica opens this instance's member of the replicated group, with what is on its disk.
func openReplica(
	config *nodeconfig.Config, self string, transport replica.Transport, machine replica.StateMachine, events *eventLog,
) (replica.Interface, error) {
	seeds, err := seedAddresses(config)
	if err != nil {
		return nil, err
	}
	return replica.Open(replica.Config{
		Self:           replica.Member{Address: self, Zone: config.Zone, Tag: config.ControlAddress},
		Seeds:          seeds,
		Bootstrap:      config.Bootstrap,
		FaultTolerance: config.FaultToleranceMachines,
		Directory:      config.DataDir,
		Transport:      transport,
		StateMachine:   machine,
		Timing:         replicaTiming(config.Bounds.CatchUpTimeout),
		RecordEvent:    events.replicaEvent,
	})
}

// replicaTiming returns the timing of a group in which a member that has returned may count as lost for catchUp. After
// half of it the member may be admitted, whatever it did before; the rest is for its restart and the view change.
func replicaTiming(catchUp time.Duration) chain.Timing {
	timing := chain.DefaultTiming()
	timing.MaxAdmissionWindow = catchUp / 2
	return timing
}

// seedAddresses returns the transport addresses of the seeds, of which the settings give the control addresses: all
// instances use the same port, the first ephemeral one.
func seedAddresses(config *nodeconfig.Config) ([]string, error) {
	seeds := make([]string, 0, len(config.Seeds))
	for _, seed := range config.Seeds {
		ip, _, err := net.SplitHostPort(seed)
		if err != nil {
			return nil, fmt.Errorf("seed %q: %w", seed, err)
		}
		seeds = append(seeds, hostPort(ip, config.FirstEphemeralPort))
	}
	return seeds, nil
}

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// newIncarnation draws the number of this run of the process.
func newIncarnation() (uint64, error) {
	var bytes [8]byte
	if _, err := rand.Read(bytes[:]); err != nil {
		return 0, fmt.Errorf("draw an incarnation: %w", err)
	}
	return binary.LittleEndian.Uint64(bytes[:]), nil
}

// newPlacer returns a placer for a leadership before which no other leader has sent an order for the time quiet.
func newPlacer(config *nodeconfig.Config, quiet time.Duration) *placer.Placer {
	return placer.New(placer.Config{
		LoadRateWindow:   config.Bounds.LoadRateWindow,
		LoadRateFactor:   config.Bounds.LoadRateFactor,
		HandoverGap:      quiet,
		InspectEndpoints: true,
	})
}

// newQuotaHost returns the holder of this instance's shares of the tenants' limits.
func newQuotaHost(
	config *nodeconfig.Config, origin protocol.Origin, dependencies quotahost.Dependencies,
) (*quotahost.Host, error) {
	return quotahost.New(quotahost.Config{
		Directory: config.DataDir,
		Holder: quota.Config{
			Identity:          dependencies.Replica.Status().Self.Identity,
			Address:           origin.Address,
			Incarnation:       origin.Incarnation,
			Zone:              config.Zone,
			HolderLease:       shares.HolderLease(config.Bounds.PartitionAllowance),
			Window:            config.Bounds.QuotaWindow,
			OvershootFraction: config.Bounds.QuotaOverrunRatio,
			OvershootSlack:    config.Bounds.QuotaSlack,
		},
	}, dependencies)
}
