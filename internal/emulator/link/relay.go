package link

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// Direction is one of the two directions of a relay.
type Direction int

// Forward is the direction from the client to the target, Reverse the opposite one.
const (
	Forward Direction = iota
	Reverse
)

// Options configure a relay.
type Options struct {
	Listen string // loopback host:port; with port 0 a free port is chosen, the same for both protocols
	Target string
	Protos []Proto
	Seed   uint64
}

// Relay is a single link. Over UDP it serves one client at a time: packets from the target go to the address
// that sent to the relay last. A Mesh relays many links over few sockets.
type Relay struct {
	addr  netip.AddrPort
	flows map[Proto][2]*flow
	tcp   *tcpProxy
	udp   []*udpProxy
	reset resetGroup

	mu     sync.Mutex
	client netip.AddrPort
}

// Open starts a relay, which runs until Close is called.
func Open(o Options) (r *Relay, err error) {
	if _, err := parseLoopback(o.Target); err != nil {
		return nil, err
	}
	if len(o.Protos) == 0 {
		return nil, errors.New("link: relay: field protos is empty; set udp, tcp or both")
	}
	r = &Relay{flows: map[Proto][2]*flow{}}
	var tcp *net.TCPListener
	var udp *net.UDPConn
	if r.addr, tcp, udp, err = listen(o.Listen, o.Protos); err != nil {
		return nil, err
	}
	for i, p := range o.Protos {
		r.flows[p] = [2]*flow{newFlow(o.Seed, uint64(2*i)), newFlow(o.Seed, uint64(2*i+1))}
	}
	if udp != nil {
		target, _ := netip.ParseAddrPort(o.Target)
		reverseSocket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(r.addr.Addr(), 0)))
		if err != nil {
			return nil, errors.Join(err, udp.Close(), closeListener(tcp))
		}
		flows := r.flows[UDP]
		r.udp = []*udpProxy{newUDPProxy(udp, func(from netip.AddrPort) (udpRoute, bool) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.client = from
			return udpRoute{flows[Forward], reverseSocket, target}, true
		}, func() {}), newUDPProxy(reverseSocket, func(from netip.AddrPort) (udpRoute, bool) {
			r.mu.Lock()
			defer r.mu.Unlock()
			return udpRoute{flows[Reverse], udp, r.client}, from == target && r.client.IsValid()
		}, func() {})}
		for _, p := range r.udp {
			p.start()
		}
	}
	if tcp != nil {
		flows := r.flows[TCP]
		r.tcp = newTCPProxy(tcp, func(net.Addr) (tcpRoute, bool) {
			return tcpRoute{flows[Forward], flows[Reverse], o.Target, &r.reset}, true
		}, func() {})
	}
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.addr.String() }

// Set replaces the fault of one direction of a protocol.
func (r *Relay) Set(p Proto, d Direction, f Fault) error {
	flows, ok := r.flows[p]
	if !ok {
		return fmt.Errorf("link: relay %s does not forward %s; add it to protos", r.addr, p)
	}
	if err := f.Validate(p); err != nil {
		return err
	}
	flows[d].set(f)
	return nil
}

// Reset closes all connections with an RST to both sides.
func (r *Relay) Reset() { r.reset.resetAll() }

// Counts returns the counters of one direction of a protocol.
func (r *Relay) Counts(p Proto, d Direction) (c Counts) {
	if flows, ok := r.flows[p]; ok {
		flows[d].count(func(n *Counts) { c = *n })
	}
	return c
}

// Close closes the listeners and connections and waits for all goroutines to end.
func (r *Relay) Close() (err error) {
	if r.tcp != nil {
		err = r.tcp.close()
	}
	for _, p := range r.udp {
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

// listen opens the protocols on one port. With port 0 it retries until it finds a port that is free for both.
func listen(addr string, protos []Proto) (at netip.AddrPort, tcp *net.TCPListener, udp *net.UDPConn, err error) {
	a, err := parseLoopback(addr)
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
			return a, nil, nil, fmt.Errorf("link: protocol %q is unknown; set udp or tcp", p)
		}
	}
	for attempt := 0; ; attempt++ {
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
		if a.Port() != 0 || attempt == 20 {
			return at, nil, nil, err
		}
	}
}
