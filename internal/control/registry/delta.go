package registry

import (
	"maps"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// sentDelta is a delta in flight to a peer.
type sentDelta struct {
	ids    []string
	sentAt time.Time
}

// addHint keeps that the peer may lack a record. Beyond maxHints the hints are dropped in favour of a full exchange.
func (p *peer) addHint(id string) {
	if len(p.hints) >= maxHints {
		p.needsFullExchange = true
		clear(p.hints)
	}
	if !p.needsFullExchange {
		p.hints[id] = struct{}{}
	}
}

// restoreHints makes hints of the records of a delta that may be lost.
func (p *peer) restoreHints(deltaSequence uint64) {
	for _, id := range p.unacknowledged[deltaSequence].ids {
		p.addHint(id)
	}
	delete(p.unacknowledged, deltaSequence)
}

// propagate has a record sent to all peers after the delay, and to unreachable ones once they can be reached.
func (r *Registry) propagate(now time.Time, e *entry, delay time.Duration) {
	for _, p := range r.peersByAddress {
		p.addHint(e.endpoint.ID)
	}
	r.scheduleFlush(now, delay)
}

// relayUrgent forwards a drain or a deregistration from one peer to the others, which the sender may not reach. Other
// changes wait for the next exchange.
func (r *Registry) relayUrgent(now time.Time, from *peer, e *entry) {
	if !e.deregistered && e.endpoint.State != protocol.Draining {
		return
	}
	for _, p := range r.peersByAddress {
		if p != from && p.reachable {
			p.addHint(e.endpoint.ID)
			r.scheduleFlush(now, urgentFlushDelay)
		}
	}
}

// flush sends what is due to the peers.
func (r *Registry) flush(now time.Time) {
	r.nextFlush, r.lastFlush = time.Time{}, now
	for _, p := range r.peersByAddress {
		r.sendAck(p)
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

func (r *Registry) sendDelta(now time.Time, p *peer) {
	p.deltaSequence++
	delta := &protocol.RegistryDelta{
		Origin: r.config.Origin, Sequence: p.deltaSequence, InForceAckRequested: len(p.awaitedDrains) > 0,
	}
	for id := range p.awaitedDrains {
		p.hints[id] = struct{}{}
	}
	ids := make([]string, 0, len(p.hints))
	for _, id := range slices.Sorted(maps.Keys(p.hints)) {
		e := r.table.byID[id]
		if e == nil || e.tombstone && !e.deregistered || r.withheldFromPeers(now, e) {
			continue // evicted by this instance, or about to be: the peers judge for themselves
		}
		ids = append(ids, id)
		delta.Records = append(delta.Records, r.peerRecord(now, e))
	}
	r.drainsCarried(p, p.deltaSequence)
	clear(p.hints)
	clear(p.awaitedDrains)
	if len(ids) == 0 {
		return
	}
	p.unacknowledged[p.deltaSequence] = sentDelta{ids: ids, sentAt: now}
	r.send(p.address, delta)
}

// resendUnacknowledged turns deltas that were probably lost into hints again.
func (r *Registry) resendUnacknowledged(now time.Time) {
	for _, p := range r.peersByAddress {
		for deltaSequence, sent := range p.unacknowledged {
			if now.Sub(sent.sentAt) > deltaAckTimeout {
				p.restoreHints(deltaSequence)
			}
		}
		if p.reachable && len(p.hints) > 0 || len(p.receivedToAck) > 0 {
			r.scheduleFlush(now, urgentFlushDelay)
		}
	}
}

func (r *Registry) handleDelta(now time.Time, delta *protocol.RegistryDelta) {
	p := r.identifyPeer(now, delta.Origin)
	for i := range delta.Records {
		r.mergeRecord(now, p, &delta.Records[i])
	}
	if delta.FromCompleteTable {
		r.complete = true
	}
	if delta.Sequence == 0 {
		return // it answers a summary: nobody waits for its arrival
	}
	p.receivedToAck = append(p.receivedToAck, delta.Sequence)
	if delta.InForceAckRequested {
		r.oweInForceAck(now, p.address, delta.Sequence)
		r.scheduleFlush(now, urgentFlushDelay)
	}
}

// mergeRecord takes in a peer's record: the higher sequence wins, and a deregistered endpoint does not return.
func (r *Registry) mergeRecord(now time.Time, from *peer, record *protocol.Record) {
	received := record.Endpoint
	if received.State == protocol.Departed {
		r.mergeDeregistration(now, from, received)
		return
	}
	e := r.table.byID[received.ID]
	switch {
	case e == nil && record.HeartbeatAge > r.maxUnknownAge():
		return
	case e == nil:
		e = r.table.findOrInsert(received.ID)
	case e.deregistered, received.Sequence < e.endpoint.Sequence:
		r.returnNewerRecord(now, from, e, &received)
		return
	case e.tombstone && received.Sequence == e.endpoint.Sequence:
		return // evicted here since
	}
	lastHeartbeat := now.Add(-max(0, record.HeartbeatAge))
	if r.update(now, e, received, lastHeartbeat) {
		r.queueUpdate(e, received.State != protocol.Ready)
		r.relayUrgent(now, from, e)
	}
}

// maxUnknownAge is how old the newest heartbeat of an endpoint that is unknown here may be. Once the table is complete, a
// living endpoint would have sent a heartbeat since: its end was announced to an instance that has restarted, or its
// tombstone has expired here.
func (r *Registry) maxUnknownAge() time.Duration {
	if r.complete {
		return r.unresponsiveTimeout()
	}
	return evictionTimeout
}

// returnNewerRecord sends a peer the newer record that this instance has.
func (r *Registry) returnNewerRecord(now time.Time, from *peer, e *entry, received *protocol.Endpoint) {
	if !e.deregistered && hashContent(received) == e.contentHash {
		return
	}
	from.addHint(e.endpoint.ID)
	r.scheduleFlush(now, ordinaryFlushDelay)
}

// sendAck acknowledges deltas of a peer: received, and in force at this instance's routers.
func (r *Registry) sendAck(p *peer) {
	if len(p.receivedToAck)+len(p.inForceToAck) == 0 {
		return
	}
	r.send(p.address, &protocol.RegistryAck{
		Origin: r.config.Origin, SenderIncarnation: p.incarnation, Received: p.receivedToAck, InForce: p.inForceToAck,
	})
	p.receivedToAck, p.inForceToAck = nil, nil
}

func (r *Registry) handleAck(now time.Time, ack *protocol.RegistryAck) {
	p := r.identifyPeer(now, ack.Origin)
	if ack.SenderIncarnation != r.config.Origin.Incarnation {
		return // meant for an earlier process of this instance
	}
	for _, deltaSequence := range ack.Received {
		delete(p.unacknowledged, deltaSequence)
		r.recordReceived(p.address, deltaSequence)
	}
	for _, deltaSequence := range ack.InForce {
		r.recordInForce(p.address, deltaSequence)
	}
}
