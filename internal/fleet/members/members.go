// Package members maintains the list of the live members of a fleet and carries the data that they share. It runs
// hashicorp/memberlist (SWIM with Lifeguard) behind a transport that limits and counts what is received.
//
// Invariant: of all incarnations of a member (runs of its process), at most one is in the list, the one with the largest
// epoch. Input that is not from a listed incarnation, is encrypted with another key, has another format version, is
// malformed or is too long changes neither the list nor the shared data: it is dropped and counted by reason.
// TestLargerEpochOwnsName and TestInvalidInputIsDropped fail first without it.
//
// A member's node in memberlist is named "name~tag", with a random tag for each incarnation. A new incarnation is
// therefore a new node: it is seen at once beside its dead predecessor, at any address, and memberlist's own rule for
// conflicts (the first address wins until it is found dead) never delays it. Which incarnation is current is decided
// here, by epoch. An incarnation that receives an epoch of its own name at or above its own probes that incarnation. If
// another address answers for a larger epoch, this incarnation is superseded. If not, the epoch belongs to a dead
// incarnation, and this one needs a larger epoch.
//
// # Traffic and memory
//
// A member of a fleet of n sends, in bytes per second, with the default settings (measured by BenchmarkTraffic):
//
//	gossiped facts    at most 3,300, from a token bucket over all datagrams (gossipRate), plus 440 of overhead
//	full states       at most 600 on average, from a token bucket (fullStateRate); an exchange that comes too early for
//	                  it carries only the member list; a full state requested by a joining member is always sent
//	member lists      130 bytes per member, twice in 30 s·(⌈log2(n/32)⌉+1): 260 at 32, 520 at 300, 890 at 512
//	probes            one ping and one answer per second, 150
//
// While many members start at once, it also sends up to 4 packets of 1,400 bytes per gossip interval (11 KB/s), until
// each member has forwarded the name of every other one 9 times: 25 s for 300 members. Otherwise the traffic for 300
// members is 5.0 KB/s under constant changes and 0.7 KB/s without changes. The bucket, not the number of members, limits
// the first two rows; above max_members of 1,024 the exchange interval grows with max_members.
//
// Measured over loopback in one process, with two changes of 60 bytes per second in the whole fleet, as the time until
// a change has reached each other member: for 32 members, from their start on, 0.48 s (p50) and 0.98 s (p99) at 4.1 KB/s
// per member; for 300 members 0.72 s and 1.28 s at 2.5 KB/s in the 30 s after all lists are complete, and 0.76 s and
// 1.31 s at 1.7 KB/s from 40 s after that. The time until all lists were complete for 300 members that started within a
// second was 15 s and 16 s in two starts, over 20 s in one, and 159 s in one (on a busy machine; the cause is unknown).
// Until then changes may wait behind member names.
//
// A member needs some 700 bytes of memory for each other one (memberlist's state, the state of this package, the
// published list), and twice the encoded full state for each exchange in progress: 0.3 MB for 300 members and states of
// 60 KB. memberlist reads each UDP packet into 64 KiB; the transport copies it at once, so that a full queue (256 packets)
// takes 0.4 MB instead of 16 MB.
package members

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/sync/errgroup"
)

// Config configures a Group. Zero limits and times are replaced by the defaults of the settings.
type Config struct {
	Name      string // of the member, the same for all its incarnations
	Epoch     uint64 // larger than that of any known earlier incarnation
	Site      string
	Bind      netip.AddrPort
	Advertise netip.AddrPort // zero: the same as Bind
	Seeds     []netip.AddrPort
	Keys      [][]byte // the first one encrypts, all decrypt; none for plain text

	MaxMembers     int
	MaxBytes       int           // limit for a received message or full state
	MaxDatagram    int           // bytes in a UDP packet
	GossipInterval time.Duration // between two rounds of gossip
	ProbeInterval  time.Duration
	SeedsInterval  time.Duration // mean time between attempts of the whole fleet to join a seed that is not up

	// Hooks are called one after another from a goroutine of the group. They may call the group, but must not block for
	// long: later events are queued, and events beyond a limit are dropped (Alive is always current).
	Events      func(Event)
	Superseded  func(by Member)    // another process of this name with a larger epoch is up: this one should stop
	EpochTooLow func(heard uint64) // an earlier incarnation had this epoch: call Renew with a larger one
}

// Member is a live member as it appears in the list.
type Member struct {
	Name  string
	Epoch uint64
	Site  string
	Addr  netip.AddrPort
}

// EventKind is the kind of change of a member.
type EventKind int

// Kinds of changes of a member.
const (
	Joined    EventKind = iota // the member is up
	Left                       // the member announced that it leaves
	Failed                     // the member does not answer
	Restarted                  // the member is up with a new epoch
)

// String returns the name of the event in logs and metrics.
func (k EventKind) String() string { return [...]string{"joined", "left", "failed", "new_life"}[k] }

// Event is a change of the list of members.
type Event struct {
	Kind   EventKind
	Member Member
}

// Exchange provides the shared data, which is opaque to this package. Its methods are called from several goroutines and
// must not block, as memberlist waits for them while it receives. Bytes passed in may be retained.
type Exchange interface {
	// Updates returns the next updates to gossip; the sum of len+overhead over them is at most limit. The implementation
	// decides how often it returns each update: with 5 + log2(members) times, at most one member in a hundred misses
	// an update, until the next full state repairs that.
	Updates(limit, overhead int) [][]byte
	// ReceiveUpdate handles an update of the named member, from gossip or Send. An error means that it is invalid.
	ReceiveUpdate(from string, b []byte) error
	// FullState returns all shared data, at most Config.MaxBytes; ReceiveFullState handles another member's.
	FullState() []byte
	ReceiveFullState(b []byte) error
}

const (
	gossipRate = 3300 // bytes of facts per second, see the package comment
	// fullStateRate is in bytes per second.
	fullStateRate    = 600
	tcpTimeout       = 3 * time.Second
	leaveTimeout     = time.Second
	maxQueuedPackets = 256 // packets that wait for memberlist
)

// Group is the membership of this process in the fleet.
type Group struct {
	cfg          Config
	exchange     Exchange
	rng          *rand.Rand // used only by New, and then by the goroutine of maintainJoins
	log          *slog.Logger
	node         string // name of this incarnation's node in memberlist
	keyring      *memberlist.Keyring
	epoch        atomic.Uint64
	leaving      atomic.Bool
	view         *view
	budget       *Budget
	list         atomic.Pointer[memberlist.Memberlist]
	ready        chan struct{}
	epochChanged chan struct{}
	// Counters of this group; package metrics exports them to Prometheus.
	Counters Counters
}

// New checks the configuration. It opens nothing before Run.
func New(cfg Config, exchange Exchange, rng *rand.Rand, logger *slog.Logger) (*Group, error) {
	cfg = cfg.withDefaults()
	if !cfg.Advertise.IsValid() {
		cfg.Advertise = cfg.Bind
	}
	switch {
	case !validName(cfg.Name):
		return nil, fmt.Errorf("members: Name %q: must have 1 to %d bytes without %q, blanks or control characters", cfg.Name, maxNameBytes, tagSeparator)
	case len(cfg.Site) > maxNameBytes:
		return nil, fmt.Errorf("members: Site has %d bytes, maximum %d", len(cfg.Site), maxNameBytes)
	case !isLocalAddr(cfg.Bind.Addr()):
		return nil, fmt.Errorf("members: Bind %s: not a loopback or private address", cfg.Bind)
	case !isLocalAddr(cfg.Advertise.Addr()):
		return nil, fmt.Errorf("members: Advertise %s: not a loopback or private address", cfg.Advertise)
	case min(cfg.MaxMembers, cfg.MaxBytes, cfg.MaxDatagram) < 0 || min(cfg.GossipInterval, cfg.ProbeInterval, cfg.SeedsInterval) < 0:
		return nil, errors.New("members: limits and times must be above 0")
	case cfg.MaxDatagram < 576 || cfg.MaxDatagram > 8192:
		return nil, fmt.Errorf("members: MaxDatagram is %d, must be from 576 to 8192", cfg.MaxDatagram)
	}
	g := &Group{
		cfg: cfg, exchange: exchange, rng: rng, log: logger, node: fmt.Sprintf("%s%s%08x", cfg.Name, tagSeparator, rng.Uint32()),
		budget: NewBudget(time.Now(), cfg), ready: make(chan struct{}), epochChanged: make(chan struct{}, 1),
	}
	g.epoch.Store(cfg.Epoch)
	if len(cfg.Keys) > 0 {
		var err error
		if g.keyring, err = memberlist.NewKeyring(cfg.Keys, cfg.Keys[0]); err != nil {
			return nil, fmt.Errorf("members: Keys: %w", err)
		}
	}
	g.view = newView(cfg, g.node, &g.Counters)
	return g, nil
}

// Alive returns the list of live members, sorted by name and including this one. Callers must not change it. It never
// blocks.
func (g *Group) Alive() []Member { return *g.view.list.Load() }

// Version increases with each change of the list.
func (g *Group) Version() uint64 { return g.view.version.Load() }

// Ready is closed when the group's address is open.
func (g *Group) Ready() <-chan struct{} { return g.ready }

// Renew sets a larger epoch for this incarnation and announces it.
func (g *Group) Renew(epoch uint64) {
	for old := g.epoch.Load(); old < epoch; old = g.epoch.Load() {
		if g.epoch.CompareAndSwap(old, epoch) {
			notify(g.epochChanged)
			return
		}
	}
}

// ErrNotAlive means that a member is not in the list.
var ErrNotAlive = errors.New("members: not in the list")

// Send sends bytes to one member: in a datagram, which may be lost, or, if they don't fit, over TCP, which blocks for up
// to 3 s. It must not be called from a request path.
func (g *Group) Send(name string, b []byte) error {
	list := g.list.Load()
	node, ok := g.view.node(name)
	if list == nil || !ok || name == g.cfg.Name {
		return fmt.Errorf("%w: %q", ErrNotAlive, name)
	}
	if len(b) > g.cfg.MaxBytes {
		return fmt.Errorf("members: %d bytes to %q exceed the limit of %d", len(b), name, g.cfg.MaxBytes)
	}
	frame := appendUpdate(g.newFrame(kindUpdates, binary.MaxVarintLen64+len(b)), b)
	if len(frame)+packetOverhead > g.cfg.MaxDatagram {
		return list.SendReliable(&node, frame)
	}
	return list.SendBestEffort(&node, frame)
}

// ErrWithoutLeaving, as the cause of the cancellation of Run's context, ends Run without announcing it, so that the
// other members detect a failure. It is for a host that has no time left, as leaving takes up to 1.5 s.
var ErrWithoutLeaving = errors.New("members: stopped without leaving")

// Run opens the address, joins the fleet, and serves until the context is cancelled; then it announces that it leaves. If
// the address can't be opened, for example because an earlier incarnation still uses it, Run retries with backoff.
func (g *Group) Run(ctx context.Context) error {
	var transport *boundedTransport
	var list *memberlist.Memberlist
	nextBackoff := g.newBackoff()
	for {
		var err error
		if transport, list, err = g.open(); err == nil {
			break
		}
		g.Counters.OpenFailed.Add(1)
		g.log.Warn("fleet_open_failed", "bind", g.cfg.Bind.String(), "error", err.Error())
		if !sleepContext(ctx, nextBackoff()) {
			return nil
		}
	}
	g.list.Store(list)
	close(g.ready)
	workers, workersCtx := errgroup.WithContext(ctx)
	workers.Go(func() error { g.maintainJoins(workersCtx, list); return nil })
	workers.Go(func() error { g.runHooks(workersCtx, list); return nil })
	_ = workers.Wait()
	if !errors.Is(context.Cause(ctx), ErrWithoutLeaving) {
		g.leave(list)
	}
	g.list.Store(nil)
	err := list.Shutdown()
	transport.wait()
	return err
}

// leave marks this incarnation as leaving and then lets memberlist announce that it is gone. Without the mark the others
// would treat the departure as a failure, which is safe, but makes them wait.
func (g *Group) leave(list *memberlist.Memberlist) {
	g.leaving.Store(true)
	if err := errors.Join(list.UpdateNode(leaveTimeout), list.Leave(leaveTimeout/2)); err != nil {
		g.log.Debug("fleet_leave", "error", err.Error()) // sent to some members, but to fewer than memberlist wants
	}
}

func (g *Group) open() (*boundedTransport, *memberlist.Memberlist, error) {
	logger := log.New(&logWriter{counters: &g.Counters, log: g.log}, "", 0)
	transport, err := newBoundedTransport(g.cfg, g.keyring != nil, &g.Counters, logger)
	if err != nil {
		return nil, nil, err
	}
	if g.cfg.Advertise.Port() == 0 {
		g.cfg.Advertise = netip.AddrPortFrom(g.cfg.Advertise.Addr(), uint16(transport.GetAutoBindPort()))
	}
	list, err := memberlist.Create(g.memberlistConfig(transport, logger))
	if err != nil {
		_ = transport.Shutdown()
		transport.wait()
		return nil, nil, fmt.Errorf("members: %w", err)
	}
	return transport, list, nil
}

// memberlistConfig returns the configuration for memberlist; the package comment explains the numbers.
func (g *Group) memberlistConfig(transport memberlist.Transport, logger *log.Logger) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Logger, c.LogOutput = g.node, transport, logger, nil
	c.BindAddr, c.BindPort = g.cfg.Bind.Addr().String(), int(g.cfg.Bind.Port())
	c.AdvertiseAddr, c.AdvertisePort = g.cfg.Advertise.Addr().String(), int(g.cfg.Advertise.Port())
	c.ProtocolVersion = memberlist.ProtocolVersionMax
	c.CIDRsAllowed = localNetworks()
	c.Keyring = g.keyring
	c.EnableCompression = false // LZW produces 100 KB of garbage per packet; the transport refuses compressed packets, which may be bombs
	c.TCPTimeout = tcpTimeout
	c.GossipInterval, c.GossipNodes = g.cfg.GossipInterval, fanOut
	c.RetransmitMult = 3 // each of 300 members that start at once forwards each name 9 times; extraExchanges repair what that misses
	c.ProbeInterval, c.ProbeTimeout = g.cfg.ProbeInterval, g.cfg.ProbeInterval/2
	c.PushPullInterval = g.cfg.exchangeInterval()
	c.GossipToTheDeadTime = 30 * time.Second
	c.UDPBufferSize = g.cfg.MaxDatagram
	c.HandoffQueueDepth = maxQueuedPackets
	c.RequireNodeNames = false // a seed's name is unknown before joining it
	c.Delegate, c.Events, c.Alive, c.Merge = delegate{g}, g.view, g.view, g.view
	return c
}

// isLocalAddr reports whether the address is on a loopback or private network.
func isLocalAddr(ip netip.Addr) bool { ip = ip.Unmap(); return ip.IsLoopback() || ip.IsPrivate() }

// localNetworks returns the networks of isLocalAddr in the form for memberlist.
func localNetworks() []net.IPNet {
	nets, err := memberlist.ParseCIDRs([]string{"127.0.0.0/8", "10.0.0.0/8", "172.16.0.0/12", "192.168.0.0/16", "::1/128", "fc00::/7"})
	if err != nil {
		panic(err) // only if a constant is invalid
	}
	return nets
}

// notify signals a channel with a buffer of one, without blocking.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleepContext waits for d and reports whether the context was still active then.
func sleepContext(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
