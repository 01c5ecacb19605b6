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

// Mesh has the relays of a whole world.
//
// Couriers tell one another their addresses, so a courier must have one address for all others: its face,
// a UDP socket and a TCP listener on one port. Whose packet it is follows from the source address, and what
// goes on leaves by the sender's own face, so that an answer comes back through the relays too. That is 64
// descriptors for 32 couriers, where a socket for each ordered pair takes 992 of each protocol. The price: a
// courier has to dial others from its own loopback address; a connection or packet of unknown source is
// refused and counted, since no fault could reach it. Discovery, endpoints and platform are dialled from
// any address, so each courier has a listener of its own to each, opened when its address is first asked.
type Mesh struct {
	log     *slog.Logger
	seed    uint64
	parties map[string]Party
	byPort  map[netip.AddrPort]string // couriers by real address
	byIP    map[netip.Addr]string
	faces   map[string]*face

	mu      sync.Mutex
	links   map[Pair]*directed
	relays  map[route]*pairRelay
	unknown int
	closed  bool
}

// directed is one direction between two parties, in both protocols, with the events in force on it.
type directed struct {
	lines  [2]*line // UDP, nil where there is none, and TCP
	set    Fault
	events []*Event
	reset  resets // of connections begun in this direction
}

type face struct {
	addr    netip.AddrPort
	packets *packets
	streams *streams
}

// route is a pair and the real address that its relay leads to.
type route struct {
	Pair
	target string
}

type pairRelay struct {
	addr    string
	streams *streams
}

// NewMesh opens the faces of all couriers.
func NewMesh(parties []Party, seed uint64, log *slog.Logger) (m *Mesh, err error) {
	m = &Mesh{
		log: log, seed: seed, parties: map[string]Party{}, byPort: map[netip.AddrPort]string{}, byIP: map[netip.Addr]string{},
		faces: map[string]*face{}, links: map[Pair]*directed{}, relays: map[route]*pairRelay{},
	}
	for _, p := range parties {
		a, err := loopback(p.Addr)
		if err != nil {
			return nil, fmt.Errorf("party %s: %w", p.Name, err)
		}
		if _, twice := m.parties[p.Name]; twice {
			return nil, fmt.Errorf("link: party %q is there twice; names are unique", p.Name)
		}
		m.parties[p.Name] = p
		if p.Role == Courier {
			if other, twice := m.byIP[a.Addr()]; twice {
				return nil, fmt.Errorf("link: party %s: address %s is %s's too; each courier needs a loopback address of its own", p.Name, a.Addr(), other)
			}
			m.byIP[a.Addr()], m.byPort[a] = p.Name, p.Name
		}
	}
	stream := uint64(0)
	for _, a := range parties { // all at once: which stream of chance a link has must not depend on who asks first
		for _, b := range parties {
			if a.Name == b.Name || !linked(a.Role, b.Role) {
				continue
			}
			d := &directed{}
			d.lines[1] = newLine(seed, stream)
			if a.Role == Courier && b.Role == Courier {
				d.lines[0] = newLine(seed, stream+1)
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
	for _, p := range parties {
		if p.Role != Courier {
			continue
		}
		at, tcp, udp, err := listen("127.0.0.1:0", []Proto{TCP, UDP})
		if err != nil {
			return m, err
		}
		f := &face{addr: at}
		m.faces[p.Name], sockets[p.Name] = f, udp
		real, _ := netip.ParseAddrPort(p.Addr)
		f.packets = newPackets(udp, func(from netip.AddrPort) (hop, bool) {
			name, ok := m.byPort[from]
			if !ok || name == p.Name {
				return hop{}, false
			}
			return hop{m.links[Pair{name, p.Name}].lines[0], sockets[name], real}, true
		}, m.stranger)
		f.streams = newStreams(tcp, func(from net.Addr) (way, bool) {
			name, ok := m.byIP[from.(*net.TCPAddr).AddrPort().Addr().Unmap()]
			if !ok || name == p.Name {
				return way{}, false
			}
			return m.way(Pair{name, p.Name}), true
		}, m.stranger)
	}
	for _, f := range m.faces { // by now every socket that they send from is open
		f.packets.start()
	}
	return m, nil
}

func (m *Mesh) way(p Pair) way {
	there, back := m.links[p], m.links[Pair{p.To, p.From}]
	return way{there.lines[1], back.lines[1], m.parties[p.To].Addr, &there.reset}
}

func (m *Mesh) stranger() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unknown++
}

// Unknown is how many connections and packets came from no known courier.
func (m *Mesh) Unknown() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unknown
}

// Addr is where from reaches to: what it is to be told in place of the real address.
func (m *Mesh) Addr(from, to string) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	pair := Pair{from, to}
	if m.closed {
		return "", errors.New("link: the mesh is closed")
	}
	if m.links[pair] == nil {
		return "", fmt.Errorf("link: there is no link from %q to %q; one of two parties is a courier", from, to)
	}
	if f := m.faces[to]; f != nil && m.parties[from].Role == Courier {
		return f.addr.String(), nil
	}
	return m.relay(pair, m.parties[to].Addr)
}

// Via is where from reaches one of the addresses of to, which stands for several: all that are at its site.
func (m *Mesh) Via(from, to, target string) (string, error) {
	if _, err := loopback(target); err != nil {
		return "", err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	pair := Pair{from, to}
	if m.closed || m.links[pair] == nil || m.faces[to] != nil {
		return "", fmt.Errorf("link: no relay from %q to %q: the mesh is closed, there is no such link, or it is a courier's, which has one face", from, to)
	}
	return m.relay(pair, target)
}

func (m *Mesh) relay(pair Pair, target string) (string, error) {
	key := route{pair, target}
	if r := m.relays[key]; r != nil {
		return r.addr, nil
	}
	at, tcp, _, err := listen("127.0.0.1:0", []Proto{TCP})
	if err != nil {
		return "", err
	}
	w := m.way(pair)
	w.target = target
	m.relays[key] = &pairRelay{at.String(), newStreams(tcp, func(net.Addr) (way, bool) { return w, true }, func() {})}
	return at.String(), nil
}

// Face is the address that a courier tells the others as its own.
func (m *Mesh) Face(courier string) (string, error) {
	f := m.faces[courier]
	if f == nil {
		return "", fmt.Errorf("link: %q is no courier of this mesh", courier)
	}
	return f.addr.String(), nil
}

// Set puts a fault on one direction, beside those of a plan.
func (m *Mesh) Set(from, to string, f Fault) error {
	d := m.links[Pair{from, to}]
	if d == nil {
		return fmt.Errorf("link: there is no link from %q to %q", from, to)
	}
	if d.lines[0] == nil {
		if err := f.Check(TCP); err != nil {
			return err
		}
	} else if err := errors.Join(f.on(UDP).Check(UDP), f.on(TCP).Check(TCP)); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	d.set = f
	d.apply()
	return nil
}

func (d *directed) apply() {
	f := d.set
	for _, e := range d.events {
		f = f.And(e.Fault)
	}
	if d.lines[0] != nil {
		d.lines[0].set(f.on(UDP))
	}
	d.lines[1].set(f.on(TCP))
}

// Reset ends all TCP connections that from began to to.
func (m *Mesh) Reset(from, to string) {
	if d := m.links[Pair{from, to}]; d != nil {
		d.reset.fire()
	}
}

// Counts reads the figures of one direction.
func (m *Mesh) Counts(from, to string, p Proto) (c Counts) {
	d, i := m.links[Pair{from, to}], 0
	if p == TCP {
		i = 1
	}
	if d != nil && d.lines[i] != nil {
		d.lines[i].count(func(n *Counts) { c = *n })
	}
	return c
}

// Total is the sum of all directions and protocols.
func (m *Mesh) Total() (all Counts) {
	for _, d := range m.links {
		for _, l := range d.lines {
			if l != nil {
				l.count(func(n *Counts) { all = all.plus(*n) })
			}
		}
	}
	return all
}

// Close ends every relay and waits for all goroutines.
func (m *Mesh) Close() error {
	m.mu.Lock()
	m.closed = true
	relays := m.relays
	m.relays = nil
	m.mu.Unlock()
	var all errgroup.Group
	for _, r := range relays {
		all.Go(r.streams.close)
	}
	for _, f := range m.faces {
		all.Go(f.streams.close)
		all.Go(f.packets.close)
	}
	return all.Wait()
}

// Processes carries out what is done to couriers' processes. Faults may overlap: a kill of one that is down and
// a start of one that runs do nothing.
type Processes interface {
	Pause(courier string) error                      // SIGSTOP
	Continue(courier string) error                   // SIGCONT
	Kill(courier string) error                       // SIGKILL, and waits for its end
	Start(ctx context.Context, courier string) error // and waits until it is ready
	Folder(courier string) string                    // of its state
	Snapshot(courier string) string                  // where Save left it, for Old
}

// step is one thing that a plan does at a moment. Undo marks the end of what must not outlast a broken run: a
// fault in force, a stopped process.
type step struct {
	at    time.Duration
	text  string
	event int // that it is the begin or end of
	end   bool
	undo  bool
	do    func(context.Context, *errgroup.Group) error
}

// Play carries out the plan. Wait returns at the given time from the start of the traffic, or with an error if
// the run is over; it is the only clock. Steps go one after another, but for a courier's start, which takes
// long. When it returns, no fault of the plan is in force and no process is stopped; a dead one may be.
func (m *Mesh) Play(ctx context.Context, p Plan, wait func(context.Context, time.Duration) error, procs Processes) (err error) {
	steps, err := m.steps(p, procs)
	if err != nil {
		return err
	}
	running, ctx := errgroup.WithContext(ctx)
	begun := map[int]bool{}
	defer func() {
		for _, s := range steps {
			if s.end && s.undo && begun[s.event] {
				err = errors.Join(err, s.do(ctx, running))
			}
		}
		err = errors.Join(err, running.Wait())
	}()
	for _, s := range steps {
		if err := wait(ctx, s.at); err != nil {
			return err
		}
		m.log.Info("fault", "at", s.at, "step", s.text)
		if err := s.do(ctx, running); err != nil {
			return fmt.Errorf("link: %s: %w", s.text, err)
		}
		begun[s.event] = !s.end
	}
	return nil
}

func (m *Mesh) steps(p Plan, procs Processes) ([]step, error) {
	var steps []step
	add := func(at, length time.Duration, text string, undo bool, begin, end func(context.Context, *errgroup.Group) error) {
		event := len(steps)
		steps = append(steps, step{at, text, event, false, undo, begin}, step{at + length, "end of " + text, event, true, undo, end})
	}
	for i := range p.Links {
		e := &p.Links[i]
		for _, pair := range e.Pairs {
			if m.links[pair] == nil {
				return nil, fmt.Errorf("link: plan: there is no link from %q to %q", pair.From, pair.To)
			}
		}
		add(e.At, e.For, fmt.Sprintf("fault on %d directions: %+v", len(e.Pairs), e.Fault), true, func(context.Context, *errgroup.Group) error {
			m.change(e, true)
			for _, pair := range e.Pairs {
				if e.Reset {
					m.links[pair].reset.fire()
				}
			}
			return nil
		}, func(context.Context, *errgroup.Group) error {
			m.change(e, false)
			return nil
		})
	}
	if len(p.Processes) > 0 && procs == nil {
		return nil, errors.New("link: plan: it has faults of processes, and nobody to carry them out")
	}
	for _, e := range p.Processes {
		begin, end := carry(e, procs)
		add(e.At, e.For, strings.TrimSpace(fmt.Sprintf("%s %s %s", e.How, e.Courier, e.Other)), e.How == Stop || e.How == Full, begin, end)
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return steps, nil
}

func (m *Mesh) change(e *Event, begin bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, pair := range e.Pairs {
		d := m.links[pair]
		if begin {
			d.events = append(d.events, e)
		} else {
			d.events = slices.DeleteFunc(d.events, func(x *Event) bool { return x == e })
		}
		d.apply()
	}
}

// carry is what begins and what ends a fault of a process.
func carry(e ProcessEvent, procs Processes) (begin, end func(context.Context, *errgroup.Group) error) {
	switch e.How {
	case Stop:
		return func(context.Context, *errgroup.Group) error { return procs.Pause(e.Courier) },
			func(context.Context, *errgroup.Group) error { return procs.Continue(e.Courier) }
	case Full:
		var undo func() error
		return func(context.Context, *errgroup.Group) (err error) {
			undo, err = FillDisk(procs.Folder(e.Courier))
			return err
		}, func(context.Context, *errgroup.Group) error { return undo() }
	}
	couriers := []string{e.Courier}
	if e.How == Swap {
		couriers = append(couriers, e.Other)
	}
	begin = func(context.Context, *errgroup.Group) error {
		for _, c := range couriers {
			if err := procs.Kill(c); err != nil {
				return err
			}
		}
		switch folder := procs.Folder(e.Courier); e.How {
		case Empty:
			return EmptyFolder(folder)
		case Swap:
			return SwapFolders(folder, procs.Folder(e.Other))
		case Old:
			return Restore(procs.Snapshot(e.Courier), folder)
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
