package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

const (
	unconfirmedFor = 2500 * time.Millisecond // a delta without confirmation is sent again
	peerForgotten  = 10 * time.Minute        // out of reach
	digestAtLeast  = 5 * time.Second         // a digest without news is sent so often
	mismatches     = 2                       // digests in a row that differ before a full exchange
)

// peer is another control instance as this one knows it.
type peer struct {
	address     string
	incarnation uint64
	reachable   bool
	lostSince   time.Time

	dirty       map[string]struct{} // hints: records that it lacks
	settle      map[string]struct{} // records whose effect at its routers is awaited
	needWhole   bool                // too many hints: the full exchange brings them
	sequence    uint64              // of the last delta
	outstanding map[uint64]shipment

	received []uint64 // to be confirmed to it
	inForce  []uint64

	routers     []uint32
	routersTold bool
	table       uint64 // hash over its table as it told last
	tableKnown  bool
	differed    int
	exchanged   time.Time
	digestSent  time.Time
	tableSent   uint64
}

// shipment is a delta on its way.
type shipment struct {
	ids  []string
	sent time.Time
}

func (r *Registry) peer(address string, now time.Time) *peer {
	p := r.peers[address]
	if p == nil {
		p = &peer{
			address:     address,
			lostSince:   now,
			dirty:       make(map[string]struct{}),
			settle:      make(map[string]struct{}),
			outstanding: make(map[uint64]shipment),
		}
		r.peers[address] = p
		r.order = append(r.order, p)
		slices.SortFunc(r.order, func(a, b *peer) int { return cmp.Compare(a.address, b.address) })
	}
	return p
}

func (r *Registry) forgetPeer(gone *peer) {
	delete(r.peers, gone.address)
	r.order = slices.DeleteFunc(slices.Clone(r.order), func(p *peer) bool { return p == gone })
}

// setPeers takes in who can be reached. Contact made anew begins with a full exchange.
func (r *Registry) setPeers(now time.Time, in Peers) {
	reachable := make(map[string]bool, len(in.Reachable))
	for _, address := range in.Reachable {
		if address == r.settings.Origin.Address {
			continue
		}
		reachable[address] = true
		if p := r.peer(address, now); !p.reachable {
			r.found(now, p)
		}
	}
	for _, p := range r.order {
		switch {
		case reachable[p.address]:
		case p.reachable:
			r.lost(now, p)
		case now.Sub(p.lostSince) > peerForgotten:
			r.forgetPeer(p)
		}
	}
}

func (r *Registry) found(now time.Time, p *peer) {
	p.reachable = true
	p.routersTold = false
	for _, waiting := range r.pending {
		p.settle[waiting.id] = struct{}{}
	}
	r.sendSummary(now, p, false)
	r.sendLoading(now, p)
	if len(p.dirty)+len(p.settle) > 0 {
		r.flushWithin(now, urgentChange)
	}
}

// lost keeps what the instance has not confirmed as hints.
func (r *Registry) lost(now time.Time, p *peer) {
	p.reachable = false
	p.lostSince = now
	for sequence := range p.outstanding {
		r.hintAgain(p, sequence)
	}
}

func (r *Registry) hintAgain(p *peer, sequence uint64) {
	for _, id := range p.outstanding[sequence].ids {
		p.hint(id)
	}
	delete(p.outstanding, sequence)
}

func (p *peer) hint(id string) {
	if len(p.dirty) >= maximumHints {
		p.needWhole = true
		clear(p.dirty)
	}
	if !p.needWhole {
		p.dirty[id] = struct{}{}
	}
}

// tellPeers has all other instances told of a record, now or once they can be reached.
func (r *Registry) tellPeers(now time.Time, e *entry, wait time.Duration) {
	for _, p := range r.order {
		p.hint(e.endpoint.ID)
	}
	r.flushWithin(now, wait)
}

// sender notes the sender of a message. One that restarted knows nothing any more.
func (r *Registry) sender(now time.Time, origin protocol.Origin) *peer {
	p := r.peer(origin.Address, now)
	if p.incarnation == origin.Incarnation {
		return p
	}
	restarted := p.incarnation != 0
	p.incarnation = origin.Incarnation
	p.tableKnown, p.routersTold = false, false
	p.received, p.inForce = nil, nil
	if restarted {
		clear(p.outstanding)
		p.exchanged = time.Time{}
		r.askAgain(now, p)
	}
	return p
}

// askAgain has pending acknowledgements wait for the instance's new process too.
func (r *Registry) askAgain(now time.Time, p *peer) {
	for _, waiting := range r.pending {
		delete(waiting.carried, p.address)
		delete(waiting.received, p.address)
		delete(waiting.confirmed, p.address)
		p.settle[waiting.id] = struct{}{}
	}
	if len(p.settle) > 0 {
		r.flushWithin(now, urgentChange)
	}
}

func (r *Registry) send(to string, message any) {
	r.out.Send = append(r.out.Send, Send{To: to, Message: message})
}

// flush sends what is due to the instances that can be reached.
func (r *Registry) flush(now time.Time) {
	r.flushAt, r.flushedAt = time.Time{}, now
	for _, p := range r.order {
		r.sendConfirm(p)
		if !p.reachable {
			continue
		}
		if len(p.dirty)+len(p.settle) > 0 {
			r.sendDelta(now, p)
		}
		if p.needWhole {
			r.sendSummary(now, p, false)
		}
	}
}

func (r *Registry) sendConfirm(p *peer) {
	if len(p.received)+len(p.inForce) == 0 {
		return
	}
	r.send(p.address, &protocol.RegistryConfirm{
		Origin: r.settings.Origin, For: p.incarnation, Received: p.received, InForce: p.inForce,
	})
	p.received, p.inForce = nil, nil
}

func (r *Registry) sendDelta(now time.Time, p *peer) {
	p.sequence++
	delta := &protocol.RegistryDelta{Origin: r.settings.Origin, Sequence: p.sequence, Settle: len(p.settle) > 0}
	for id := range p.settle {
		p.dirty[id] = struct{}{}
	}
	ids := make([]string, 0, len(p.dirty))
	for _, id := range slices.Sorted(maps.Keys(p.dirty)) {
		e := r.entries[id]
		if e == nil || e.gone && !e.left || r.withheld(now, e) {
			continue // given up here, or to be: the others judge for themselves
		}
		ids = append(ids, id)
		delta.Records = append(delta.Records, r.record(now, e))
	}
	for _, waiting := range r.pending {
		if _, carried := p.settle[waiting.id]; carried {
			waiting.carried[p.address] = p.sequence
		}
	}
	clear(p.dirty)
	clear(p.settle)
	if len(ids) == 0 {
		return
	}
	p.outstanding[p.sequence] = shipment{ids: ids, sent: now}
	r.send(p.address, delta)
}

// resendUnconfirmed turns deltas that got lost into hints again.
func (r *Registry) resendUnconfirmed(now time.Time) {
	for _, p := range r.order {
		for sequence, sent := range p.outstanding {
			if now.Sub(sent.sent) > unconfirmedFor {
				r.hintAgain(p, sequence)
			}
		}
		if p.reachable && len(p.dirty) > 0 || len(p.received) > 0 {
			r.flushWithin(now, urgentChange)
		}
	}
}
