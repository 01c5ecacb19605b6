package systemsim

import (
	"slices"
	"time"
)

// Times of links and of the kernels at their ends.
const (
	minDelay            = 300 * time.Microsecond
	maxDelay            = 900 * time.Microsecond
	zoneDelay           = 2 * time.Millisecond // between zones, at least
	retransmissionDelay = 250 * time.Millisecond
	maxHealDelay        = 300 * time.Millisecond  // what was held up comes within this time
	userTimeout         = 1500 * time.Millisecond // a kernel ends a connection whose bytes are unacknowledged for so long
)

// direction is one direction between two machines.
type direction struct{ from, to *process }

// network is the links between all machines.
type network struct {
	world           *World
	blocked         map[direction]int // how many faults cut it
	jitter          time.Duration     // added at random
	loss            float64           // share of the messages that come late because a packet was lost
	degradedAt      time.Duration     // links were slow or lossy; never: they are
	instanceLinksAt time.Duration     // newest cut or join between instances
	streams         []*stream
}

func newNetwork(w *World) *network { return &network{world: w, blocked: make(map[direction]int)} }

// degrade makes all links slow and lossy; zeros make them good again.
func (n *network) degrade(slow time.Duration, loss float64) {
	n.jitter, n.loss, n.degradedAt = slow, loss, never
	if slow == 0 && loss == 0 {
		n.degradedAt = n.world.Now()
	}
}

// block takes a direction away, join gives it back.
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

// passes tells whether a packet gets from one machine to the other now.
func (n *network) passes(from, to *process) bool {
	return n.blocked[direction{from, to}] == 0 && from.powered && to.powered
}

// unblocked tells whether nothing but an end's own state keeps packets from passing.
func (n *network) unblocked(from, to *process) bool { return n.blocked[direction{from, to}] == 0 }

// path tells whether packets pass in both directions.
func (n *network) path(a, b *process) bool { return a == b || n.passes(a, b) && n.passes(b, a) }

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

// topologyChanged has streams go on that were held up, and the truth be told anew.
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
