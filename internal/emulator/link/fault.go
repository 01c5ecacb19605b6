// Package link puts relays of the emulator's own on the links between parties: courier and courier (UDP
// and TCP on one port), courier and discovery, endpoint or platform (TCP). Each direction of each link has
// a fault in force that may change while traffic flows. Everything stays on loopback addresses.
//
// The invariants: a cut direction passes no byte but those of a write that the kernel is taking at the moment of
// the cut, and over TCP none is lost (TestCutHoldsBytes);
// what a direction does to its n-th packet follows from its seed, n and the fault in force alone, so that
// neither a change of fault nor another link's traffic shifts it (TestChanceIsOfTheSequence); a closed relay
// leaves neither goroutine nor descriptor (TestMain, TestMeshOf32).
package link

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Proto is what a relay carries.
type Proto string

// The two that there are.
const (
	UDP Proto = "udp"
	TCP Proto = "tcp"
)

// Fault is what is the matter with one direction of a link. The zero value is a well one.
type Fault struct {
	Delay   time.Duration
	Jitter  time.Duration // on top, drawn evenly from 0; it never changes the order
	Loss    float64       // chance of each packet, UDP only, like the next two
	Double  float64
	Reorder float64 // chance that a packet is overtaken by the next, or comes reorderHold late if there is none
	// Cut drops packets. Over TCP bytes and ends are held until it is over, and a new connection gets silence:
	// the kernel has accepted it, as it does for a process that is stopped.
	Cut bool
	// Refuse makes a cut reset new connections at once in place of silence.
	Refuse bool
	Rate   int // bytes a second, of one TCP connection or all packets; 0 for as fast as it goes
	// HalfOpen swallows the sender's FIN or RST over TCP: the receiver keeps an open connection on which nothing
	// more comes, and what it sends is thrown away. What was swallowed stays so after the fault.
	HalfOpen bool
}

// Check says whether the fault can be put on a link of the protocol.
func (f Fault) Check(p Proto) error {
	var errs []error
	bad := func(field, format string, args ...any) {
		errs = append(errs, fmt.Errorf("link: fault: field %s: %s", field, fmt.Sprintf(format, args...)))
	}
	for _, c := range []struct {
		field string
		value float64
	}{{"loss", f.Loss}, {"double", f.Double}, {"reorder", f.Reorder}} {
		switch {
		case !(c.value >= 0 && c.value <= 1):
			bad(c.field, "%v is no chance; set 0 to 1", c.value)
		case p == TCP && c.value > 0:
			bad(c.field, "a TCP link has none, its kernel mends it; set it on a UDP link, or use delay_ms or cut")
		}
	}
	if f.Delay < 0 || f.Jitter < 0 {
		bad("delay_ms", "%v and jitter %v; neither can be under 0", f.Delay, f.Jitter)
	}
	if f.Rate < 0 {
		bad("bytes_s", "%d is under 0; set 0 for no bound", f.Rate)
	}
	if p == UDP && f.HalfOpen {
		bad("half_open", "a UDP link has no connections; set it on a TCP link")
	}
	return errors.Join(errs...)
}

// on is the part of the fault that applies to the protocol, on a link that carries both.
func (f Fault) on(p Proto) Fault {
	if p == TCP {
		f.Loss, f.Double, f.Reorder = 0, 0, 0
	} else {
		f.HalfOpen = false
	}
	return f
}

// And is both faults at once: the worse of each.
func (f Fault) And(g Fault) Fault {
	r := Fault{
		Delay: max(f.Delay, g.Delay), Jitter: max(f.Jitter, g.Jitter), Loss: max(f.Loss, g.Loss), Double: max(f.Double, g.Double),
		Reorder: max(f.Reorder, g.Reorder), Cut: f.Cut || g.Cut, Refuse: f.Refuse || g.Refuse, HalfOpen: f.HalfOpen || g.HalfOpen,
		Rate: min(f.Rate, g.Rate),
	}
	if r.Rate == 0 { // 0 is no bound
		r.Rate = max(f.Rate, g.Rate)
	}
	return r
}

// Chance is the chance of one direction. It is not safe for use by many goroutines.
type Chance struct{ rnd *rand.Rand }

// NewChance returns the chance of a seed and a stream of it.
func NewChance(seed, stream uint64) *Chance { return &Chance{rand.New(rand.NewPCG(seed, stream))} }

// Decision is what becomes of one packet or one piece of a TCP stream.
type Decision struct {
	Drop, Double, Reorder bool
	Delay                 time.Duration
}

// Decide draws the next one. It draws as often whatever the fault is, so that a changed fault does not
// shift what is drawn for those after it.
func (c *Chance) Decide(f Fault) Decision {
	loss, double, reorder, jitter := c.rnd.Float64(), c.rnd.Float64(), c.rnd.Float64(), c.rnd.Float64()
	return Decision{
		Drop: f.Cut || loss < f.Loss, Double: double < f.Double, Reorder: reorder < f.Reorder,
		Delay: f.Delay + time.Duration(jitter*float64(f.Jitter)),
	}
}

// Counts are one direction's figures of one protocol.
type Counts struct {
	Passed, Bytes           int64 // packets or pieces written, and their bytes
	Dropped, Doubled        int64 // by the fault
	Reordered               int64
	Overflowed              int64 // packets beyond the bound of what may be under way
	Connections             int64 // TCP, begun in this direction
	Refused, Swallowed, Ran int64 // TCP: refused by a cut, ends swallowed, connections reset
}

func (c Counts) plus(d Counts) Counts {
	return Counts{
		c.Passed + d.Passed, c.Bytes + d.Bytes, c.Dropped + d.Dropped, c.Doubled + d.Doubled, c.Reordered + d.Reordered,
		c.Overflowed + d.Overflowed, c.Connections + d.Connections, c.Refused + d.Refused, c.Swallowed + d.Swallowed, c.Ran + d.Ran,
	}
}

// line is one direction of a link, of one protocol.
type line struct {
	mu      sync.Mutex
	fault   Fault
	changed chan struct{} // closed at each change
	chance  *Chance
	last    time.Time // when what went before is due
	free    time.Time // when the rate allows the next packet
	held    *packet   // the one that waits to be overtaken
	waiting int       // packets under way
	counts  Counts
}

func newLine(seed, stream uint64) *line {
	return &line{changed: make(chan struct{}), chance: NewChance(seed, stream)}
}

func (l *line) set(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault != f {
		l.fault = f
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

func (l *line) get() (Fault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.changed
}

func (l *line) count(f func(*Counts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.counts)
}

// loopback refuses any other address.
func loopback(addr string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return a, fmt.Errorf("link: address %q: %w; give host:port in numbers", addr, err)
	}
	if !a.Addr().IsLoopback() {
		return a, fmt.Errorf("link: address %s is not a loopback one; relays stay on this machine", addr)
	}
	return a, nil
}
