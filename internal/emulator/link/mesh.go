package link

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Mesh holds the relays of all links of an emulated system.
//
// Couriers send one another their addresses, so a courier must have the same address for all others: its
// frontend, a UDP socket and a TCP listener on one port. The source address of a packet identifies its sender. The
// packet is forwarded from the sender's frontend, so that the reply passes through the relays too. This takes 64
// descriptors for 32 couriers, where a socket for each ordered pair would take 992 of each protocol. In return, a
// courier has to dial others from its own loopback address. A connection or packet from an unknown source is
// refused and counted, because no fault could be applied to it. Discovery, endpoints and the platform are dialled
// from any address, so each courier has a separate listener for each of them, opened when its address is first
// requested.
type Mesh struct {
	log           *slog.Logger
	seed          uint64
	nodes         map[string]Node
	courierByAddr map[netip.AddrPort]string // couriers by their own address
	courierByIP   map[netip.Addr]string
	frontends     map[string]*frontend

	mu             sync.Mutex
	links          map[Pair]*directedLink
	relays         map[relayKey]*pairRelay
	unknownSources int
	closed         bool
}

// directedLink is one direction between two nodes, in both protocols, with the fault events that are active on it.
type directedLink struct {
	flows        [2]*flow // 0: UDP, nil if the link has none; 1: TCP
	manualFault  Fault
	activeEvents []*FaultEvent
	reset        resetGroup // connections opened in this direction
}

// frontend is the only address of a courier for all other couriers.
type frontend struct {
	addr netip.AddrPort
	udp  *udpProxy
	tcp  *tcpProxy
}

// relayKey is a pair of nodes and the address that the relay forwards to.
type relayKey struct {
	Pair
	target string
}

// pairRelay is the relay of one courier to one address of discovery, an endpoint or the platform.
type pairRelay struct {
	addr  string
	proxy *tcpProxy
}

// NewMesh opens the frontends of all couriers.
func NewMesh(nodes []Node, seed uint64, log *slog.Logger) (m *Mesh, err error) {
	m = &Mesh{
		log: log, seed: seed, nodes: map[string]Node{}, courierByAddr: map[netip.AddrPort]string{}, courierByIP: map[netip.Addr]string{},
		frontends: map[string]*frontend{}, links: map[Pair]*directedLink{}, relays: map[relayKey]*pairRelay{},
	}
	for _, node := range nodes {
		a, err := parseLoopback(node.Addr)
		if err != nil {
			return nil, fmt.Errorf("node %s: %w", node.Name, err)
		}
		if _, duplicate := m.nodes[node.Name]; duplicate {
			return nil, fmt.Errorf("link: node %q is listed twice; names must be unique", node.Name)
		}
		m.nodes[node.Name] = node
		if node.Role == Courier {
			if other, duplicate := m.courierByIP[a.Addr()]; duplicate {
				return nil, fmt.Errorf("link: node %s: address %s is also used by %s; each courier needs its own loopback address", node.Name, a.Addr(), other)
			}
			m.courierByIP[a.Addr()], m.courierByAddr[a] = node.Name, node.Name
		}
	}
	stream := uint64(0)
	for _, a := range nodes { // created here, so that the random stream of a link does not depend on which link is used first
		for _, b := range nodes {
			if a.Name == b.Name || !linked(a.Role, b.Role) {
				continue
			}
			d := &directedLink{}
			d.flows[1] = newFlow(seed, stream)
			if a.Role == Courier && b.Role == Courier {
				d.flows[0] = newFlow(seed, stream+1)
			}
			stream += 2
			m.links[Pair{a.Name, b.Name}] = d
		}
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, m.Close())
		}
	}()
	sockets := map[string]*net.UDPConn{}
	for _, node := range nodes {
		if node.Role != Courier {
			continue
		}
		at, tcp, udp, err := listen("127.0.0.1:0", []Proto{TCP, UDP})
		if err != nil {
			return m, err
		}
		f := &frontend{addr: at}
		m.frontends[node.Name], sockets[node.Name] = f, udp
		courierAddr, _ := netip.ParseAddrPort(node.Addr)
		f.udp = newUDPProxy(udp, func(from netip.AddrPort) (udpRoute, bool) {
			name, ok := m.courierByAddr[from]
			if !ok || name == node.Name {
				return udpRoute{}, false
			}
			return udpRoute{m.links[Pair{name, node.Name}].flows[0], sockets[name], courierAddr}, true
		}, m.countUnknown)
		f.tcp = newTCPProxy(tcp, func(from net.Addr) (tcpRoute, bool) {
			name, ok := m.courierByIP[from.(*net.TCPAddr).AddrPort().Addr().Unmap()]
			if !ok || name == node.Name {
				return tcpRoute{}, false
			}
			return m.tcpRouteFor(Pair{name, node.Name}), true
		}, m.countUnknown)
	}
	for _, f := range m.frontends { // started now that every socket they send from is open
		f.udp.start()
	}
	return m, nil
}

// tcpRouteFor returns the route of connections that p.From opens to p.To.
func (m *Mesh) tcpRouteFor(p Pair) tcpRoute {
	forward, reverse := m.links[p], m.links[Pair{p.To, p.From}]
	return tcpRoute{forward.flows[1], reverse.flows[1], m.nodes[p.To].Addr, &forward.reset}
}

func (m *Mesh) countUnknown() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unknownSources++
}

// UnknownSources returns the number of connections and packets that came from the address of no known courier.
func (m *Mesh) UnknownSources() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unknownSources
}

// Addr returns the address at which from reaches to through the relay. It replaces the node's own address in the
// configuration of from.
func (m *Mesh) Addr(from, to string) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	pair := Pair{from, to}
	if m.closed {
		return "", errors.New("link: the mesh is closed")
	}
	if m.links[pair] == nil {
		return "", fmt.Errorf("link: there is no link from %q to %q; one of the two nodes must be a courier", from, to)
	}
	if f := m.frontends[to]; f != nil && m.nodes[from].Role == Courier {
		return f.addr.String(), nil
	}
	return m.relay(pair, m.nodes[to].Addr)
}

// AddrForTarget returns the address at which from reaches target, one of the several addresses that the node to
// represents (all endpoints at its site).
func (m *Mesh) AddrForTarget(from, to, target string) (string, error) {
	if _, err := parseLoopback(target); err != nil {
		return "", err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	pair := Pair{from, to}
	if m.closed || m.links[pair] == nil || m.frontends[to] != nil {
		return "", fmt.Errorf("link: no relay from %q to %q: the mesh is closed, there is no such link, or the target is a courier, which has a single address", from, to)
	}
	return m.relay(pair, target)
}

// relay returns the address of the relay for the pair and target, which it opens if there is none. The caller holds mu.
func (m *Mesh) relay(pair Pair, target string) (string, error) {
	key := relayKey{pair, target}
	if r := m.relays[key]; r != nil {
		return r.addr, nil
	}
	at, tcp, _, err := listen("127.0.0.1:0", []Proto{TCP})
	if err != nil {
		return "", err
	}
	route := m.tcpRouteFor(pair)
	route.target = target
	m.relays[key] = &pairRelay{at.String(), newTCPProxy(tcp, func(net.Addr) (tcpRoute, bool) { return route, true }, func() {})}
	return at.String(), nil
}

// FrontendAddr returns the address that a courier advertises to the others as its own.
func (m *Mesh) FrontendAddr(courier string) (string, error) {
	f := m.frontends[courier]
	if f == nil {
		return "", fmt.Errorf("link: %q is not a courier of this mesh", courier)
	}
	return f.addr.String(), nil
}

// Set puts a fault on one direction, in addition to those of a plan.
func (m *Mesh) Set(from, to string, f Fault) error {
	d := m.links[Pair{from, to}]
	if d == nil {
		return fmt.Errorf("link: there is no link from %q to %q", from, to)
	}
	if d.flows[0] == nil {
		if err := f.Validate(TCP); err != nil {
			return err
		}
	} else if err := errors.Join(f.forProtocol(UDP).Validate(UDP), f.forProtocol(TCP).Validate(TCP)); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	d.manualFault = f
	d.apply()
	return nil
}

// apply combines the active faults and sets the result on the flows.
func (d *directedLink) apply() {
	f := d.manualFault
	for _, e := range d.activeEvents {
		f = f.Combine(e.Fault)
	}
	if d.flows[0] != nil {
		d.flows[0].set(f.forProtocol(UDP))
	}
	d.flows[1].set(f.forProtocol(TCP))
}

// Reset resets all TCP connections that from has opened to to.
func (m *Mesh) Reset(from, to string) {
	if d := m.links[Pair{from, to}]; d != nil {
		d.reset.resetAll()
	}
}

// Counts returns the counters of one direction of a protocol.
func (m *Mesh) Counts(from, to string, p Proto) (c Counts) {
	d, i := m.links[Pair{from, to}], 0
	if p == TCP {
		i = 1
	}
	if d != nil && d.flows[i] != nil {
		d.flows[i].count(func(n *Counts) { c = *n })
	}
	return c
}

// TotalCounts returns the sum of the counters of all directions and protocols.
func (m *Mesh) TotalCounts() (all Counts) {
	for _, d := range m.links {
		for _, fl := range d.flows {
			if fl != nil {
				fl.count(func(n *Counts) { all = all.add(*n) })
			}
		}
	}
	return all
}

// Close closes every relay and waits for all goroutines to end.
func (m *Mesh) Close() error {
	m.mu.Lock()
	m.closed = true
	relays := m.relays
	m.relays = nil
	m.mu.Unlock()
	var proxies errgroup.Group
	for _, r := range relays {
		proxies.Go(r.proxy.close)
	}
	for _, f := range m.frontends {
		proxies.Go(f.tcp.close)
		proxies.Go(f.udp.close)
	}
	return proxies.Wait()
}

// Processes controls the processes of couriers. Since faults may overlap, Kill does nothing for a process that is
// not running, and Start does nothing for one that is.
type Processes interface {
	Suspend(courier string) error                    // SIGSTOP
	Resume(courier string) error                     // SIGCONT
	Kill(courier string) error                       // SIGKILL; waits until the process has ended
	Start(ctx context.Context, courier string) error // waits until the process is ready
	StateDir(courier string) string                  // directory of its persistent state
	SnapshotDir(courier string) string               // directory that SaveSnapshot wrote, for RestoreOldSnapshot
}

// step is one action of a plan at one time. Undo marks the begin and end of an event that must be ended when a
// run is interrupted: an active link fault, a suspended process, a full disk.
type step struct {
	at          time.Duration
	description string
	eventID     int // index of the event that the step begins or ends
	end         bool
	undo        bool
	run         func(context.Context, *errgroup.Group) error
}

// RunPlan executes the plan. The function wait returns at the given time after the start of the traffic, or
// returns an error if the run has ended; it is the only clock. Steps run one after another, except that a courier
// starts in the background because that takes long. When RunPlan returns, no link fault of the plan is active and
// no process is suspended, but a killed process may not have been restarted.
func (m *Mesh) RunPlan(ctx context.Context, p Plan, wait func(context.Context, time.Duration) error, procs Processes) (err error) {
	steps, err := m.steps(p, procs)
	if err != nil {
		return err
	}
	running, ctx := errgroup.WithContext(ctx)
	begun := map[int]bool{}
	defer func() {
		for _, s := range steps {
			if s.end && s.undo && begun[s.eventID] {
				err = errors.Join(err, s.run(ctx, running))
			}
		}
		err = errors.Join(err, running.Wait())
	}()
	for _, s := range steps {
		if err := wait(ctx, s.at); err != nil {
			return err
		}
		m.log.Info("fault", "at", s.at, "step", s.description)
		if err := s.run(ctx, running); err != nil {
			return fmt.Errorf("link: %s: %w", s.description, err)
		}
		begun[s.eventID] = !s.end
	}
	return nil
}

// steps returns the begin and the end of every fault in the plan, ordered by time.
func (m *Mesh) steps(p Plan, procs Processes) ([]step, error) {
	var steps []step
	add := func(at, duration time.Duration, description string, undo bool, begin, end func(context.Context, *errgroup.Group) error) {
		eventID := len(steps)
		steps = append(steps, step{at, description, eventID, false, undo, begin}, step{at + duration, "end of " + description, eventID, true, undo, end})
	}
	for i := range p.Links {
		e := &p.Links[i]
		for _, pair := range e.Pairs {
			if m.links[pair] == nil {
				return nil, fmt.Errorf("link: plan: there is no link from %q to %q", pair.From, pair.To)
			}
		}
		add(e.At, e.For, fmt.Sprintf("fault on %d directions: %+v", len(e.Pairs), e.Fault), true, func(context.Context, *errgroup.Group) error {
			m.setEventActive(e, true)
			for _, pair := range e.Pairs {
				if e.Reset {
					m.links[pair].reset.resetAll()
				}
			}
			return nil
		}, func(context.Context, *errgroup.Group) error {
			m.setEventActive(e, false)
			return nil
		})
	}
	if len(p.Processes) > 0 && procs == nil {
		return nil, errors.New("link: plan: it has process faults, but no Processes was given")
	}
	for _, e := range p.Processes {
		begin, end := processFaultActions(e, procs)
		add(e.At, e.For, strings.TrimSpace(fmt.Sprintf("%s %s %s", e.How, e.Courier, e.Other)), e.How == SuspendProcess || e.How == FillDirectory, begin, end)
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return steps, nil
}

// setEventActive adds the event to the links that it affects, or removes it from them.
func (m *Mesh) setEventActive(e *FaultEvent, begin bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, pair := range e.Pairs {
		d := m.links[pair]
		if begin {
			d.activeEvents = append(d.activeEvents, e)
		} else {
			d.activeEvents = slices.DeleteFunc(d.activeEvents, func(x *FaultEvent) bool { return x == e })
		}
		d.apply()
	}
}

// processFaultActions returns the actions that begin and end a process fault.
func processFaultActions(e ProcessEvent, procs Processes) (begin, end func(context.Context, *errgroup.Group) error) {
	switch e.How {
	case SuspendProcess:
		return func(context.Context, *errgroup.Group) error { return procs.Suspend(e.Courier) },
			func(context.Context, *errgroup.Group) error { return procs.Resume(e.Courier) }
	case FillDirectory:
		var undo func() error
		return func(context.Context, *errgroup.Group) (err error) {
			undo, err = SimulateFullDisk(procs.StateDir(e.Courier))
			return err
		}, func(context.Context, *errgroup.Group) error { return undo() }
	}
	couriers := []string{e.Courier}
	if e.How == SwapDirectories {
		couriers = append(couriers, e.Other)
	}
	begin = func(context.Context, *errgroup.Group) error {
		for _, c := range couriers {
			if err := procs.Kill(c); err != nil {
				return err
			}
		}
		switch dir := procs.StateDir(e.Courier); e.How {
		case ClearDirectory:
			return ClearDir(dir)
		case SwapDirectories:
			return SwapDirs(dir, procs.StateDir(e.Other))
		case RestoreOldSnapshot:
			return RestoreSnapshot(procs.SnapshotDir(e.Courier), dir)
		}
		return nil
	}
	return begin, func(ctx context.Context, running *errgroup.Group) error {
		for _, c := range couriers {
			running.Go(func() error { return procs.Start(ctx, c) })
		}
		return nil
	}
}
