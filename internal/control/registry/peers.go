package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

const (
	deltaConfirmTimeout    = 2500 * time.Millisecond // a delta without confirmation is sent again
	peerTTL                = 10 * time.Minute        // out of reach
	maxDigestInterval      = 5 * time.Second         // a digest without news is sent so often
	fullExchangeMismatches = 2                       // digests in a row that differ before a full exchange
)

// peer is another control instance as this one knows it.
type peer struct {
	address          string
	incarnation      uint64
	reachable        bool
	unreachableSince time.Time

	hints             map[string]struct{} // hints: records that it lacks
	awaitedDrains     map[string]struct{} // records whose effect at its routers is awaited
	needsFullExchange bool                // too many hints: the full exchange brings them
	deltaSequence     uint64              // of the last delta
	unconfirmed       map[uint64]sentDelta

	receivedToConfirm []uint64 // to be confirmed to it
	inForceToConfirm  []uint64

	routers               []uint32
	routersSent           bool
	tableHash             uint64 // hash over its table as it told last
	tableHashKnown        bool
	consecutiveMismatches int
	lastFullExchange      time.Time
	digestSent            time.Time
	tableHashSent         uint64
}

// sentDelta is a delta on its way.
type sentDelta struct {
	ids    []string
	sentAt time.Time
}

func (r *Registry) peer(address string, now time.Time) *peer {
	p := r.peers[address]
	if p == nil {
		p = &peer{
			address:          address,
			unreachableSince: now,
			hints:            make(map[string]struct{}),
			awaitedDrains:    make(map[string]struct{}),
			unconfirmed:      make(map[uint64]sentDelta),
		}
		r.peers[address] = p
		r.peersByAddress = append(r.peersByAddress, p)
		slices.SortFunc(r.peersByAddress, func(a, b *peer) int { return cmp.Compare(a.address, b.address) })
	}
	return p
}

func (r *Registry) forgetPeer(forgotten *peer) {
	delete(r.peers, forgotten.address)
	r.peersByAddress = slices.DeleteFunc(slices.Clone(r.peersByAddress), func(p *peer) bool { return p == forgotten })
}

// handlePeers takes in who can be reached. Contact made anew begins with a full exchange.
func (r *Registry) handlePeers(now time.Time, in Peers) {
	reachable := make(map[string]bool, len(in.Reachable))
	for _, address := range in.Reachable {
		if address == r.config.Origin.Address {
			continue
		}
		reachable[address] = true
		if p := r.peer(address, now); !p.reachable {
			r.peerBecameReachable(now, p)
		}
	}
	for _, p := range r.peersByAddress {
		switch {
		case reachable[p.address]:
		case p.reachable:
			r.peerBecameUnreachable(now, p)
		case now.Sub(p.unreachableSince) > peerTTL:
			r.forgetPeer(p)
		}
	}
}

func (r *Registry) peerBecameReachable(now time.Time, p *peer) {
	p.reachable = true
	p.routersSent = false
	for _, waiting := range r.pendingDrains {
		p.awaitedDrains[waiting.endpointID] = struct{}{}
	}
	r.sendSummary(now, p, false)
	r.sendLoading(now, p)
	if len(p.hints)+len(p.awaitedDrains) > 0 {
		r.scheduleFlush(now, urgentFlushDelay)
	}
}

// peerBecameUnreachable keeps what the instance has not confirmed as hints.
func (r *Registry) peerBecameUnreachable(now time.Time, p *peer) {
	p.reachable = false
	p.unreachableSince = now
	for sequence := range p.unconfirmed {
		r.restoreHints(p, sequence)
	}
}

func (r *Registry) restoreHints(p *peer, sequence uint64) {
	for _, id := range p.unconfirmed[sequence].ids {
		p.addHint(id)
	}
	delete(p.unconfirmed, sequence)
}

func (p *peer) addHint(id string) {
	if len(p.hints) >= maxHints {
		p.needsFullExchange = true
		clear(p.hints)
	}
	if !p.needsFullExchange {
		p.hints[id] = struct{}{}
	}
}

// propagate has all other instances told of a record, now or once they can be reached.
func (r *Registry) propagate(now time.Time, e *entry, wait time.Duration) {
	for _, p := range r.peersByAddress {
		p.addHint(e.endpoint.ID)
	}
	r.scheduleFlush(now, wait)
}

// notePeerIncarnation notes the sender of a message. One that restarted knows nothing any more.
func (r *Registry) notePeerIncarnation(now time.Time, origin protocol.Origin) *peer {
	p := r.peer(origin.Address, now)
	if p.incarnation == origin.Incarnation {
		return p
	}
	restarted := p.incarnation != 0
	p.incarnation = origin.Incarnation
	p.tableHashKnown, p.routersSent = false, false
	p.receivedToConfirm, p.inForceToConfirm = nil, nil
	if restarted {
		clear(p.unconfirmed)
		p.lastFullExchange = time.Time{}
		r.awaitRestartedPeer(now, p)
	}
	return p
}

// awaitRestartedPeer has pending acknowledgements wait for the instance's new process too.
func (r *Registry) awaitRestartedPeer(now time.Time, p *peer) {
	for _, waiting := range r.pendingDrains {
		delete(waiting.deltaSequences, p.address)
		delete(waiting.receivedBy, p.address)
		delete(waiting.inForceAt, p.address)
		p.awaitedDrains[waiting.endpointID] = struct{}{}
	}
	if len(p.awaitedDrains) > 0 {
		r.scheduleFlush(now, urgentFlushDelay)
	}
}

func (r *Registry) send(to string, message any) {
	r.output.Send = append(r.output.Send, Send{To: to, Message: message})
}

// flush sends what is due to the instances that can be reached.
func (r *Registry) flush(now time.Time) {
	r.nextFlush, r.lastFlush = time.Time{}, now
	for _, p := range r.peersByAddress {
		r.sendConfirm(p)
		if !p.reachable {
			continue
		}
		if len(p.hints)+len(p.awaitedDrains) > 0 {
			r.sendDelta(now, p)
		}
		if p.needsFullExchange {
			r.sendSummary(now, p, false)
		}
	}
}

func (r *Registry) sendConfirm(p *peer) {
	if len(p.receivedToConfirm)+len(p.inForceToConfirm) == 0 {
		return
	}
	r.send(p.address, &protocol.RegistryAck{
		Origin: r.config.Origin, SenderIncarnation: p.incarnation, Received: p.receivedToConfirm, InForce: p.inForceToConfirm,
	})
	p.receivedToConfirm, p.inForceToConfirm = nil, nil
}

func (r *Registry) sendDelta(now time.Time, p *peer) {
	p.deltaSequence++
	delta := &protocol.RegistryDelta{Origin: r.config.Origin, Sequence: p.deltaSequence, InForceAckRequested: len(p.awaitedDrains) > 0}
	for id := range p.awaitedDrains {
		p.hints[id] = struct{}{}
	}
	ids := make([]string, 0, len(p.hints))
	for _, id := range slices.Sorted(maps.Keys(p.hints)) {
		e := r.entries[id]
		if e == nil || e.tombstone && !e.deregistered || r.withheldFromPeers(now, e) {
			continue // given up here, or to be: the others judge for themselves
		}
		ids = append(ids, id)
		delta.Records = append(delta.Records, r.peerRecord(now, e))
	}
	for _, waiting := range r.pendingDrains {
		if _, carried := p.awaitedDrains[waiting.endpointID]; carried {
			waiting.deltaSequences[p.address] = p.deltaSequence
		}
	}
	clear(p.hints)
	clear(p.awaitedDrains)
	if len(ids) == 0 {
		return
	}
	p.unconfirmed[p.deltaSequence] = sentDelta{ids: ids, sentAt: now}
	r.send(p.address, delta)
}

// resendUnconfirmed turns deltas that got lost into hints again.
func (r *Registry) resendUnconfirmed(now time.Time) {
	for _, p := range r.peersByAddress {
		for sequence, sent := range p.unconfirmed {
			if now.Sub(sent.sentAt) > deltaConfirmTimeout {
				r.restoreHints(p, sequence)
			}
		}
		if p.reachable && len(p.hints) > 0 || len(p.receivedToConfirm) > 0 {
			r.scheduleFlush(now, urgentFlushDelay)
		}
	}
}
