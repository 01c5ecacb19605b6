package registry

import (
	"cmp"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// peer is another control instance, as this one knows it.
type peer struct {
	address          string
	incarnation      uint64 // of its process; 0: no message has arrived yet
	reachable        bool
	unreachableSince time.Time

	// Deltas to it (delta.go).
	hints             map[string]struct{} // IDs of records that it may lack
	awaitedDrains     map[string]struct{} // IDs of records to be in force at its routers, for drain_ack.go
	needsFullExchange bool                // there were too many hints
	deltaSequence     uint64              // of the newest delta
	unacknowledged    map[uint64]sentDelta

	// Deltas from it, to be acknowledged at the next flush.
	receivedToAck []uint64
	inForceToAck  []uint64

	// Digests and full exchanges (anti_entropy.go).
	routers               []uint32 // connected to it, by NameHash
	routersSent           bool     // it has the newest set of the routers connected here
	tableHash             uint64   // of its table, as of its newest digest
	tableHashKnown        bool
	tableHashSent         uint64
	consecutiveMismatches int
	lastFullExchange      time.Time
	digestSent            time.Time
}

// findOrAddPeer returns the peer of an address, a new one if there is none.
func (r *Registry) findOrAddPeer(now time.Time, address string) *peer {
	if p := r.peers[address]; p != nil {
		return p
	}
	p := &peer{
		address:          address,
		unreachableSince: now,
		hints:            make(map[string]struct{}),
		awaitedDrains:    make(map[string]struct{}),
		unacknowledged:   make(map[uint64]sentDelta),
	}
	r.peers[address] = p
	r.peersByAddress = append(r.peersByAddress, p)
	slices.SortFunc(r.peersByAddress, func(a, b *peer) int { return cmp.Compare(a.address, b.address) })
	return p
}

// removePeer forgets a peer. It leaves the former slice intact for a caller that iterates over it.
func (r *Registry) removePeer(removed *peer) {
	delete(r.peers, removed.address)
	r.peersByAddress = slices.DeleteFunc(slices.Clone(r.peersByAddress), func(p *peer) bool { return p == removed })
}

// handlePeers takes in which instances can be reached.
func (r *Registry) handlePeers(now time.Time, in Peers) {
	reachable := make(map[string]bool, len(in.Reachable))
	for _, address := range in.Reachable {
		if address == r.config.Origin.Address {
			continue
		}
		reachable[address] = true
		if p := r.findOrAddPeer(now, address); !p.reachable {
			r.peerBecameReachable(now, p)
		}
	}
	for _, p := range r.peersByAddress {
		switch {
		case reachable[p.address]:
		case p.reachable:
			peerBecameUnreachable(now, p)
		case now.Sub(p.unreachableSince) > peerTTL:
			r.removePeer(p)
		}
	}
}

// peerBecameReachable starts with a full exchange, since hints may have been lost.
func (r *Registry) peerBecameReachable(now time.Time, p *peer) {
	p.reachable = true
	p.routersSent = false
	r.awaitDrains(p)
	r.sendSummary(now, p, false)
	r.sendLoading(now, p)
	if len(p.hints)+len(p.awaitedDrains) > 0 {
		r.scheduleFlush(now, urgentFlushDelay)
	}
}

// peerBecameUnreachable keeps what the peer has not acknowledged as hints.
func peerBecameUnreachable(now time.Time, p *peer) {
	p.reachable = false
	p.unreachableSince = now
	for deltaSequence := range p.unacknowledged {
		p.restoreHints(deltaSequence)
	}
}

// identifyPeer returns the sender of a message. A new incarnation of it has lost all that the former one knew.
func (r *Registry) identifyPeer(now time.Time, origin protocol.Origin) *peer {
	p := r.findOrAddPeer(now, origin.Address)
	if p.incarnation == origin.Incarnation {
		return p
	}
	restarted := p.incarnation != 0
	p.incarnation = origin.Incarnation
	p.tableHashKnown, p.routersSent = false, false
	p.receivedToAck, p.inForceToAck = nil, nil
	if restarted {
		clear(p.unacknowledged)
		p.lastFullExchange = time.Time{}
		r.awaitDrainsAgain(now, p)
	}
	return p
}
