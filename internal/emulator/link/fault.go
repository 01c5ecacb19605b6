// Package link injects network and process faults. It places a relay on every link between two nodes of an
// emulated system: between two couriers (UDP and TCP on one port), and between a courier and discovery, an
// endpoint or the platform (TCP). Each direction of a link has its own fault, which may change while traffic
// flows. All sockets are on loopback addresses.
//
// Invariants:
//   - A cut direction forwards no bytes, except those of a write that the kernel is accepting at the moment of
//     the cut. Over TCP no bytes are lost (TestPartitionDelaysBytesUntilItEnds).
//   - What a direction does to its n-th packet depends only on its seed, n and the current fault. Neither a
//     change of the fault nor the traffic of another link changes it (TestDecisionsDependOnSeedAndPosition).
//   - A closed relay leaves no goroutine and no descriptor behind (TestMain, TestMeshOf32Couriers).
package link

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Proto is a transport protocol that a relay forwards.
type Proto string

// The supported protocols.
const (
	UDP Proto = "udp"
	TCP Proto = "tcp"
)

// Fault describes how one direction of a link misbehaves. The zero value is a link without a fault.
type Fault struct {
	Delay  time.Duration
	Jitter time.Duration // upper bound of a uniformly distributed extra delay; it never changes the order
	// Loss, Double and Reorder are probabilities per packet and apply to UDP only. A doubled packet is sent
	// twice. A reordered packet is sent after the next one, or maxReorderDelay late if no other packet follows.
	Loss    float64
	Double  float64
	Reorder float64
	// Cut drops packets. Over TCP it delays bytes, FINs and RSTs until the cut ends. A new connection receives no
	// response: the kernel has accepted it, as it does for a suspended process.
	Cut bool
	// Refuse makes a cut reset new connections immediately.
	Refuse bool
	Rate   int // bytes per second, for each TCP connection or for all packets together; 0 for no limit
	// HalfOpen discards the sender's FIN or RST over TCP: the receiver keeps an open connection on which no more
	// data arrives, and what it sends is discarded. A discarded FIN or RST is not delivered after the fault ends.
	HalfOpen bool
}

// Validate returns an error if the fault cannot be applied to a link of the protocol.
func (f Fault) Validate(p Proto) error {
	var errs []error
	addError := func(field, format string, args ...any) {
		errs = append(errs, fmt.Errorf("link: fault: field %s: %s", field, fmt.Sprintf(format, args...)))
	}
	for _, field := range []struct {
		name  string
		value float64
	}{{"loss", f.Loss}, {"double", f.Double}, {"reorder", f.Reorder}} {
		switch {
		case !(field.value >= 0 && field.value <= 1):
			addError(field.name, "%v is not a probability; set 0 to 1", field.value)
		case p == TCP && field.value > 0:
			addError(field.name, "not possible on a TCP link, where the kernel retransmits and reorders; set it on a UDP link, or use delay_ms or cut")
		}
	}
	if f.Delay < 0 || f.Jitter < 0 {
		addError("delay_ms", "%v and jitter %v; neither may be negative", f.Delay, f.Jitter)
	}
	if f.Rate < 0 {
		addError("bytes_s", "%d is negative; set 0 for no limit", f.Rate)
	}
	if p == UDP && f.HalfOpen {
		addError("half_open", "a UDP link has no connections; set it on a TCP link")
	}
	return errors.Join(errs...)
}

// forProtocol returns the part of the fault that applies to the protocol, for a link that carries both.
func (f Fault) forProtocol(p Proto) Fault {
	if p == TCP {
		f.Loss, f.Double, f.Reorder = 0, 0, 0
	} else {
		f.HalfOpen = false
	}
	return f
}

// Combine returns the fault of a link on which both faults are active: the worse value of each field.
func (f Fault) Combine(other Fault) Fault {
	r := Fault{
		Delay: max(f.Delay, other.Delay), Jitter: max(f.Jitter, other.Jitter), Loss: max(f.Loss, other.Loss), Double: max(f.Double, other.Double),
		Reorder: max(f.Reorder, other.Reorder), Cut: f.Cut || other.Cut, Refuse: f.Refuse || other.Refuse, HalfOpen: f.HalfOpen || other.HalfOpen,
		Rate: min(f.Rate, other.Rate),
	}
	if r.Rate == 0 { // 0 means no limit
		r.Rate = max(f.Rate, other.Rate)
	}
	return r
}

// Sampler draws the random decisions for one direction. It is not safe for concurrent use.
type Sampler struct{ rnd *rand.Rand }

// NewSampler returns a sampler that is determined by the seed and the number of its random stream.
func NewSampler(seed, stream uint64) *Sampler { return &Sampler{rand.New(rand.NewPCG(seed, stream))} }

// Decision says what happens to one packet or to one chunk of a TCP stream.
type Decision struct {
	Drop, Double, Reorder bool
	Delay                 time.Duration
}

// Decide draws the next decision. It draws the same number of random values whatever the fault is, so that a
// change of the fault does not change the values drawn for later packets.
func (c *Sampler) Decide(f Fault) Decision {
	loss, double, reorder, jitter := c.rnd.Float64(), c.rnd.Float64(), c.rnd.Float64(), c.rnd.Float64()
	return Decision{
		Drop: f.Cut || loss < f.Loss, Double: double < f.Double, Reorder: reorder < f.Reorder,
		Delay: f.Delay + time.Duration(jitter*float64(f.Jitter)),
	}
}

// Counts are the counters of one direction and one protocol.
type Counts struct {
	Passed, Bytes           int64 // packets or chunks forwarded, and their bytes
	Dropped, Doubled        int64 // packets dropped and duplicated by a fault
	Reordered               int64
	Overflowed              int64 // packets dropped because maxQueuedPackets were queued
	Connections             int64 // TCP connections opened in this direction
	Refused, Swallowed, Ran int64 // TCP: connections refused by a cut, FINs and RSTs discarded, connections reset
}

// add returns the sums of the counters.
func (c Counts) add(d Counts) Counts {
	return Counts{
		c.Passed + d.Passed, c.Bytes + d.Bytes, c.Dropped + d.Dropped, c.Doubled + d.Doubled, c.Reordered + d.Reordered,
		c.Overflowed + d.Overflowed, c.Connections + d.Connections, c.Refused + d.Refused, c.Swallowed + d.Swallowed, c.Ran + d.Ran,
	}
}

// flow is one direction of a link for one protocol.
type flow struct {
	mu           sync.Mutex
	fault        Fault
	changed      chan struct{} // closed and replaced at each change of fault
	sampler      *Sampler
	lastDue      time.Time // due time of the previous packet
	nextSendTime time.Time // earliest time at which Rate allows the next packet
	reordered    *packet   // packet that is waiting for the next one to be sent first, or nil
	queued       int       // packets that are waiting to be sent
	counts       Counts
}

func newFlow(seed, stream uint64) *flow {
	return &flow{changed: make(chan struct{}), sampler: NewSampler(seed, stream)}
}

func (fl *flow) set(f Fault) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.fault != f {
		fl.fault = f
		close(fl.changed)
		fl.changed = make(chan struct{})
	}
}

func (fl *flow) get() (Fault, <-chan struct{}) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.fault, fl.changed
}

func (fl *flow) count(f func(*Counts)) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	f(&fl.counts)
}

// parseLoopback parses host:port and returns an error if the host is not a loopback address.
func parseLoopback(addr string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return a, fmt.Errorf("link: address %q: %w; use a numeric host:port", addr, err)
	}
	if !a.Addr().IsLoopback() {
		return a, fmt.Errorf("link: address %s is not a loopback address; relays only connect to this machine", addr)
	}
	return a, nil
}
