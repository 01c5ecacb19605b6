package link

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// Direction is one of a relay's two.
type Direction int

// There is from the dialling side to the target.
const (
	There Direction = iota
	Back
)

// Options say what a relay carries where.
type Options struct {
	Listen string // loopback host:port; port 0 picks one, the same for both protocols
	Target string
	Protos []Proto
	Seed   uint64
}

// Relay is one link of its own. Over UDP it is for one conversation: what the target sends goes to whoever
// sent to the relay last. Mesh carries many on few sockets.
type Relay struct {
	addr    netip.AddrPort
	lines   map[Proto][2]*line
	streams *streams
	packets []*packets
	reset   resets

	mu     sync.Mutex
	client netip.AddrPort
}

// Open listens. Close ends it.
func Open(o Options) (r *Relay, err error) {
	if _, err := loopback(o.Target); err != nil {
		return nil, err
	}
	if len(o.Protos) == 0 {
		return nil, errors.New("link: relay: field protos is empty; name udp, tcp or both")
	}
	r = &Relay{lines: map[Proto][2]*line{}}
	var tcp *net.TCPListener
	var udp *net.UDPConn
	if r.addr, tcp, udp, err = listen(o.Listen, o.Protos); err != nil {
		return nil, err
	}
	for i, p := range o.Protos {
		r.lines[p] = [2]*line{newLine(o.Seed, uint64(2*i)), newLine(o.Seed, uint64(2*i+1))}
	}
	if udp != nil {
		target, _ := netip.ParseAddrPort(o.Target)
		back, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(r.addr.Addr(), 0)))
		if err != nil {
			return nil, errors.Join(err, udp.Close(), closeListener(tcp))
		}
		l := r.lines[UDP]
		r.packets = []*packets{newPackets(udp, func(from netip.AddrPort) (hop, bool) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.client = from
			return hop{l[There], back, target}, true
		}, func() {}), newPackets(back, func(from netip.AddrPort) (hop, bool) {
			r.mu.Lock()
			defer r.mu.Unlock()
			return hop{l[Back], udp, r.client}, from == target && r.client.IsValid()
		}, func() {})}
		for _, p := range r.packets {
			p.start()
		}
	}
	if tcp != nil {
		l := r.lines[TCP]
		r.streams = newStreams(tcp, func(net.Addr) (way, bool) { return way{l[There], l[Back], o.Target, &r.reset}, true }, func() {})
	}
	return r, nil
}

// Addr is where it listens.
func (r *Relay) Addr() string { return r.addr.String() }

// Set puts the fault in force in place of the one before.
func (r *Relay) Set(p Proto, d Direction, f Fault) error {
	l, ok := r.lines[p]
	if !ok {
		return fmt.Errorf("link: relay %s carries no %s; name it in protos", r.addr, p)
	}
	if err := f.Check(p); err != nil {
		return err
	}
	l[d].set(f)
	return nil
}

// Reset ends all connections with an RST to both sides.
func (r *Relay) Reset() { r.reset.fire() }

// Counts reads a direction's figures.
func (r *Relay) Counts(p Proto, d Direction) (c Counts) {
	if l, ok := r.lines[p]; ok {
		l[d].count(func(n *Counts) { c = *n })
	}
	return c
}

// Close ends listeners and connections, and waits for all goroutines.
func (r *Relay) Close() (err error) {
	if r.streams != nil {
		err = r.streams.close()
	}
	for _, p := range r.packets {
		err = errors.Join(err, p.close())
	}
	return err
}

func closeListener(l *net.TCPListener) error {
	if l == nil {
		return nil
	}
	return l.Close()
}

// listen opens the protocols on one port. Which ports are free for both is found by trying.
func listen(addr string, protos []Proto) (at netip.AddrPort, tcp *net.TCPListener, udp *net.UDPConn, err error) {
	a, err := loopback(addr)
	if err != nil {
		return a, nil, nil, err
	}
	var wantTCP, wantUDP bool
	for _, p := range protos {
		switch p {
		case TCP:
			wantTCP = true
		case UDP:
			wantUDP = true
		default:
			return a, nil, nil, fmt.Errorf("link: protocol %q is unknown; name udp or tcp", p)
		}
	}
	for try := 0; ; try++ {
		at = a
		if wantTCP {
			if tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at)); err != nil {
				return at, nil, nil, err
			}
			at = netip.AddrPortFrom(at.Addr(), tcp.Addr().(*net.TCPAddr).AddrPort().Port())
		}
		if !wantUDP {
			return at, tcp, nil, nil
		}
		if udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err == nil {
			at = netip.AddrPortFrom(at.Addr(), udp.LocalAddr().(*net.UDPAddr).AddrPort().Port())
			return at, tcp, udp, nil
		}
		err = errors.Join(err, closeListener(tcp))
		if a.Port() != 0 || try == 20 {
			return at, nil, nil, err
		}
	}
}
