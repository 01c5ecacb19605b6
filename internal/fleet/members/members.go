// Package members keeps the list of the couriers of a fleet that are up, and carries what they tell one another. It
// runs hashicorp/memberlist (SWIM with Lifeguard) behind a transport that bounds and counts what comes in.
//
// The invariant: of all lives of one courier, at most one stands in the list, the one with the largest epoch; and bytes
// that come from no listed life, under another key, of another format version, garbled or too long change neither the
// list nor a fact: they are dropped and counted by reason. TestNameTwice and TestDropped break first if it fails.
//
// A courier's node in memberlist is named "courier~tag", the tag drawn anew by each life, so that a new life is a node
// of its own: it is seen at once beside its dead predecessor, at whichever address, and memberlist's own rule of
// conflicts (the first address wins until it is found dead) never holds it back. Which life counts is decided here, by
// epoch. A life that hears of its own courier under an epoch at or above its own asks that life: if it answers from
// another address, with a larger epoch, this one is superseded; if not, it is a dead one's, and to be outgrown.
//
// # Traffic and memory
//
// A courier of n sends, in bytes a second, with the default figures (BenchmarkTraffic measures them):
//
//	facts gossiped    at most 3,300, a token bucket over all datagrams (gossipRate), and 440 around them
//	whole tables      at most 600 on average, a token bucket (wholeRate); a table that is due too early is left out of
//	                  the exchange, which then carries the members alone; one asked for on joining is always sent
//	members exchanged 130 bytes a member, twice in 30 s·(⌈log2(n/32)⌉+1): 260 at 32, 520 at 300, 890 at 512
//	probes            one ping and one answer a second, 150
//
// and while many start at once, up to 4 packets of 1,400 an interval (11 KB/s), until each has passed on each other one's
// name 9 times: 25 s for 300. Otherwise it is 5.0 KB/s for 300 when changes never cease and 0.7 KB/s when there are
// none. The bucket, not the number of members, bounds the first two; above 1,024 max_members the exchange's interval grows with max_members.
//
// Measured over loopback in one process, at two changes of 60 bytes a second in the whole fleet, until a change is at
// each other member: 32 members, from their start on, 0.48 s (p50) and 0.98 s (p99) at 4.1 KB/s each; 300 members 0.72 s
// and 1.28 s at 2.5 KB/s in the 30 s after all list all, 0.76 s and 1.31 s at 1.7 KB/s from 40 s after that on. Until all
// of 300 that start within a second list all, it took 15 and 16 s in two starts, over 20 s in one and 159 s in one (a
// busy machine; the cause is not known). Until then changes may wait behind the members' names.
//
// A member holds some 700 bytes for each other one (memberlist's state, ours, the published list), and for each exchange
// in progress the encoded table twice: 0.3 MB at 300 and tables of 60 KB. memberlist reads each UDP packet into 64 KiB;
// the transport copies it out at once, so that a full queue (256 packets) holds 0.4 MB and not 16 MB.
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

// Config says who this courier is and how it talks. Zero bounds and times have the settings' defaults.
type Config struct {
	Name      string // of the courier, the same in all its lives
	Epoch     uint64 // larger than that of any earlier life, as far as this one knows
	Site      string
	Bind      netip.AddrPort
	Advertise netip.AddrPort // zero for Bind
	Seeds     []netip.AddrPort
	Keys      [][]byte // the first encrypts, all decrypt; none for plain text

	MaxMembers     int
	MaxBytes       int           // of a table or a message that is taken
	MaxDatagram    int           // bytes in a UDP packet
	GossipInterval time.Duration // changes are passed on so often
	ProbeInterval  time.Duration
	SeedsInterval  time.Duration // a seed that is not up is tried so often by the whole fleet

	// Hooks are called one after another, from a goroutine of the group's own; they may call the group, and must not
	// block for long: events queue behind them, and those beyond a bound are dropped (the list is the truth).
	Events     func(Event)
	Superseded func(by Member)    // another process of this name, with a larger epoch, is up: this one is to stop
	Outgrown   func(heard uint64) // an earlier life had this epoch: Renew with a larger one
}

// Member is a courier that is up, as the list shows it.
type Member struct {
	Name  string
	Epoch uint64
	Site  string
	Addr  netip.AddrPort
}

// What happened to a member.
type Happening int

const (
	Joined  Happening = iota // it is up
	Left                     // it said that it goes
	Failed                   // it answers nobody
	NewLife                  // it is up, and so it was, but with another epoch now
)

func (h Happening) String() string { return [...]string{"joined", "left", "failed", "new_life"}[h] }

// Event is a change of the list.
type Event struct {
	What   Happening
	Member Member
}

// Exchange holds what is shared; to this package it is bytes. Its methods are called from several goroutines and must
// not block: memberlist's receiving waits for them. Bytes passed in may be kept.
type Exchange interface {
	// Changes returns what is to be passed on next: pieces of which the sum of len+overhead is at most limit. It says
	// itself how often a piece is passed on; 5 + log2(members) times miss one courier in a hundred or fewer, which the
	// next whole table makes good.
	Changes(limit, overhead int) [][]byte
	// Take has a piece from the named courier, by gossip or by Send; an error says that it is no valid one.
	Take(from string, b []byte) error
	// Whole returns all that is shared, at most Config.MaxBytes; TakeWhole has another courier's.
	Whole() []byte
	TakeWhole(b []byte) error
}

const (
	gossipRate = 3300 // bytes of facts a second, see the package's comment
	wholeRate  = 600
	tcpTime    = 3 * time.Second
	leaveTime  = time.Second
	queued     = 256 // packets that wait for their turn
)

// Group is this courier's part in the fleet.
type Group struct {
	cfg      Config
	exchange Exchange
	chance   *rand.Rand // New's and the seeds' goroutine's alone
	log      *slog.Logger
	node     string // name in memberlist
	ring     *memberlist.Keyring
	epoch    atomic.Uint64
	leaving  atomic.Bool
	view     *view
	budget   *Budget
	list     atomic.Pointer[memberlist.Memberlist]
	ready    chan struct{}
	renew    chan struct{}
	// Counters of this group; package figures shows them to Prometheus.
	Counters Counters
}

// New checks the configuration. Nothing is opened before Run.
func New(cfg Config, exchange Exchange, chance *rand.Rand, logger *slog.Logger) (*Group, error) {
	cfg = cfg.defaults()
	if !cfg.Advertise.IsValid() {
		cfg.Advertise = cfg.Bind
	}
	switch {
	case !validName(cfg.Name):
		return nil, fmt.Errorf("members: Name %q: 1 to %d bytes without %q, blanks or control characters", cfg.Name, maxName, tagMark)
	case len(cfg.Site) > maxName:
		return nil, fmt.Errorf("members: Site has %d bytes, above %d", len(cfg.Site), maxName)
	case !near(cfg.Bind.Addr()):
		return nil, fmt.Errorf("members: Bind %s: no loopback or private address", cfg.Bind)
	case !near(cfg.Advertise.Addr()):
		return nil, fmt.Errorf("members: Advertise %s: no loopback or private address", cfg.Advertise)
	case min(cfg.MaxMembers, cfg.MaxBytes, cfg.MaxDatagram) < 0 || min(cfg.GossipInterval, cfg.ProbeInterval, cfg.SeedsInterval) < 0:
		return nil, errors.New("members: bounds and times must be above 0")
	case cfg.MaxDatagram < 576 || cfg.MaxDatagram > 8192:
		return nil, fmt.Errorf("members: MaxDatagram is %d: 576 to 8192", cfg.MaxDatagram)
	}
	g := &Group{
		cfg: cfg, exchange: exchange, chance: chance, log: logger, node: fmt.Sprintf("%s%s%08x", cfg.Name, tagMark, chance.Uint32()),
		budget: NewBudget(time.Now(), cfg), ready: make(chan struct{}), renew: make(chan struct{}, 1),
	}
	g.epoch.Store(cfg.Epoch)
	if len(cfg.Keys) > 0 {
		var err error
		if g.ring, err = memberlist.NewKeyring(cfg.Keys, cfg.Keys[0]); err != nil {
			return nil, fmt.Errorf("members: Keys: %w", err)
		}
	}
	g.view = newView(cfg, g.node, &g.Counters)
	return g, nil
}

// Alive is the list, sorted by name, this courier included. It is shared: not to be changed. Reading it never waits.
func (g *Group) Alive() []Member { return *g.view.list.Load() }

// Version grows with each change of the list.
func (g *Group) Version() uint64 { return g.view.version.Load() }

// Ready is closed once the group's address is open.
func (g *Group) Ready() <-chan struct{} { return g.ready }

// Renew gives this life a larger epoch and tells the others.
func (g *Group) Renew(epoch uint64) {
	for old := g.epoch.Load(); old < epoch; old = g.epoch.Load() {
		if g.epoch.CompareAndSwap(old, epoch) {
			poke(g.renew)
			return
		}
	}
}

// ErrNotAlive says that the member is not in the list.
var ErrNotAlive = errors.New("members: not in the list")

// Send passes bytes to one member: in a datagram, which may be lost; above what fits one, over TCP, for which the call
// waits up to 3 s. It is for workers, not for the courier's actor.
func (g *Group) Send(name string, b []byte) error {
	list := g.list.Load()
	node, ok := g.view.node(name)
	if list == nil || !ok || name == g.cfg.Name {
		return fmt.Errorf("%w: %q", ErrNotAlive, name)
	}
	if len(b) > g.cfg.MaxBytes {
		return fmt.Errorf("members: %d bytes to %q, above the bound of %d", len(b), name, g.cfg.MaxBytes)
	}
	framed := piece(g.frame(kindPieces, binary.MaxVarintLen64+len(b)), b)
	if len(framed)+packetOverhead > g.cfg.MaxDatagram {
		return list.SendReliable(&node, framed)
	}
	return list.SendBestEffort(&node, framed)
}

// ErrAtOnce, as the cause of the end of Run's context, ends it without a word to the others, who will find this life
// failed: for a host that has no time left. Leaving takes up to 1.5 s.
var ErrAtOnce = errors.New("members: at once")

// Run opens the address, joins, and serves until the context ends; then it tells the others that it goes. An address
// that can't be opened, as while an earlier life still has it, is tried again like a seed that does not answer.
func (g *Group) Run(ctx context.Context) error {
	var guard *guard
	var list *memberlist.Memberlist
	wait := g.backoff()
	for {
		var err error
		if guard, list, err = g.open(); err == nil {
			break
		}
		g.Counters.OpenFailed.Add(1)
		g.log.Warn("fleet_open_failed", "bind", g.cfg.Bind.String(), "error", err.Error())
		if !sleep(ctx, wait()) {
			return nil
		}
	}
	g.list.Store(list)
	close(g.ready)
	work, working := errgroup.WithContext(ctx)
	work.Go(func() error { g.keepJoined(working, list); return nil })
	work.Go(func() error { g.tell(working, list); return nil })
	_ = work.Wait()
	if !errors.Is(context.Cause(ctx), ErrAtOnce) {
		g.leave(list)
	}
	g.list.Store(nil)
	err := list.Shutdown()
	guard.wait()
	return err
}

// leave marks this life as leaving, then has memberlist spread that it is gone. The mark goes first: without it the
// others would take it for a failure, which is the safe side, but costs them a wait.
func (g *Group) leave(list *memberlist.Memberlist) {
	g.leaving.Store(true)
	if err := errors.Join(list.UpdateNode(leaveTime), list.Leave(leaveTime/2)); err != nil {
		g.log.Debug("fleet_leave", "error", err.Error()) // sent to some, not to as many as the library wants
	}
}

func (g *Group) open() (*guard, *memberlist.Memberlist, error) {
	logger := log.New(&lines{counters: &g.Counters, log: g.log}, "", 0)
	guard, err := newGuard(g.cfg, g.ring != nil, &g.Counters, logger)
	if err != nil {
		return nil, nil, err
	}
	if g.cfg.Advertise.Port() == 0 {
		g.cfg.Advertise = netip.AddrPortFrom(g.cfg.Advertise.Addr(), uint16(guard.GetAutoBindPort()))
	}
	list, err := memberlist.Create(g.tuned(guard, logger))
	if err != nil {
		_ = guard.Shutdown()
		guard.wait()
		return nil, nil, fmt.Errorf("members: %w", err)
	}
	return guard, list, nil
}

// tuned is memberlist's configuration; the package's comment has the arithmetic.
func (g *Group) tuned(transport memberlist.Transport, logger *log.Logger) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Logger, c.LogOutput = g.node, transport, logger, nil
	c.BindAddr, c.BindPort = g.cfg.Bind.Addr().String(), int(g.cfg.Bind.Port())
	c.AdvertiseAddr, c.AdvertisePort = g.cfg.Advertise.Addr().String(), int(g.cfg.Advertise.Port())
	c.ProtocolVersion = memberlist.ProtocolVersionMax
	c.CIDRsAllowed = nearby()
	c.Keyring = g.ring
	c.EnableCompression = false // LZW costs 100 KB of garbage a packet, and its bombs are refused by the guard
	c.TCPTimeout = tcpTime
	c.GossipInterval, c.GossipNodes = g.cfg.GossipInterval, fanOut
	c.RetransmitMult = 3 // each of 300 that start at once passes on each other one 9 times; settle makes good what that misses
	c.ProbeInterval, c.ProbeTimeout = g.cfg.ProbeInterval, g.cfg.ProbeInterval/2
	c.PushPullInterval = g.cfg.exchange()
	c.GossipToTheDeadTime = 30 * time.Second
	c.UDPBufferSize = g.cfg.MaxDatagram
	c.HandoffQueueDepth = queued
	c.RequireNodeNames = false // a seed's name is not known before it is joined
	c.Delegate, c.Events, c.Alive, c.Merge = delegate{g}, g.view, g.view, g.view
	return c
}

// near says whether the address is on the operators' own networks.
func near(ip netip.Addr) bool { ip = ip.Unmap(); return ip.IsLoopback() || ip.IsPrivate() }

// nearby is near as memberlist wants it.
func nearby() []net.IPNet {
	nets, err := memberlist.ParseCIDRs([]string{"127.0.0.0/8", "10.0.0.0/8", "172.16.0.0/12", "192.168.0.0/16", "::1/128", "fc00::/7"})
	if err != nil {
		panic(err) // constants
	}
	return nets
}

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
