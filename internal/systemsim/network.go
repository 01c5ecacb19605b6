package systemsim

import (
	"slices"
	"time"
)

// Times of links and of the kernels at their ends.
const (
	minDelay            = 300 * time.Microsecond
	maxDelay            = 900 * time.Microsecond
	zoneDelay           = 2 * time.Millisecond // added between zones
	retransmissionDelay = 250 * time.Millisecond
	maxHealDelay        = 300 * time.Millisecond  // what was held back arrives in this time
	userTimeout         = 1500 * time.Millisecond // TCP_USER_TIMEOUT: bytes without acknowledgement end a connection
)

// direction is one direction of the link between two machines.
type direction struct{ from, to *process }

// network is the links between all machines.
type network struct {
	world           *World
	blocked         map[direction]int // by how many faults
	jitter          time.Duration     // largest delay that is added at random
	loss            float64           // share of messages that are late because a packet was lost
	degradedAt      time.Duration     // when links were last slow or lossy; never: they are
	instanceLinksAt time.Duration     // when a link between instances was last blocked or unblocked
	streams         []*stream
}

func newNetwork(w *World) *network { return &network{world: w, blocked: make(map[direction]int)} }

// degrade makes all links slow and lossy; zeros end that.
func (n *network) degrade(jitter time.Duration, loss float64) {
	n.jitter, n.loss, n.degradedAt = jitter, loss, never
	if jitter == 0 && loss == 0 {
		n.degradedAt = n.world.Now()
	}
}

// block blocks a direction, once for each fault; unblock ends that.
func (n *network) block(from, to *process) {
	n.blocked[direction{from, to}]++
	n.noteInstanceLink(from, to)
}

func (n *network) unblock(from, to *process) {
	key := direction{from, to}
	if n.blocked[key]--; n.blocked[key] <= 0 {
		delete(n.blocked, key)
	}
	n.noteInstanceLink(from, to)
}

func (n *network) noteInstanceLink(from, to *process) {
	if n.isInstance(from) && n.isInstance(to) {
		n.instanceLinksAt = n.world.Now()
	}
}

func (n *network) isInstance(p *process) bool {
	return slices.ContainsFunc(n.world.instances, func(i *instance) bool { return &i.process == p })
}

// passes says whether packets get from one machine to the other now.
func (n *network) passes(from, to *process) bool {
	return n.blocked[direction{from, to}] == 0 && from.powered && to.powered
}

// unblocked says whether no fault of the link keeps packets from passing; the machines may be without power.
func (n *network) unblocked(from, to *process) bool { return n.blocked[direction{from, to}] == 0 }

// path says whether packets pass in both directions.
func (n *network) path(a, b *process) bool { return a == b || n.passes(a, b) && n.passes(b, a) }

// delay draws how long a message takes.
func (n *network) delay(from, to *process) time.Duration {
	w := n.world
	delay := w.between(minDelay, maxDelay)
	if from.zone != to.zone {
		delay += zoneDelay
	}
	if n.jitter > 0 {
		delay += w.between(0, n.jitter)
	}
	if n.loss > 0 && w.random.Float64() < n.loss {
		delay += retransmissionDelay
	}
	return delay
}

// topologyChanged resumes streams that were held back, and derives connectivity again.
func (n *network) topologyChanged() {
	open := n.streams[:0]
	for _, s := range n.streams {
		if s.finished() {
			continue
		}
		open = append(open, s)
		for _, e := range s.ends {
			e.resume()
		}
	}
	n.streams = open
	n.world.observeConnectivity()
}
