package registry

import (
	"maps"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// handlePeerMessage takes in what another instance sent.
func (r *Registry) handlePeerMessage(now time.Time, content any) {
	switch content := content.(type) {
	case *protocol.RegistryDelta:
		r.handleDelta(now, content)
	case *protocol.RegistryAck:
		r.handleConfirm(now, content)
	case *protocol.RegistrySummary:
		r.handleSummary(now, content)
	case *protocol.RegistryDigest:
		r.handleDigest(now, content)
	case *protocol.LoadingTable:
		r.notePeerIncarnation(now, content.Origin)
		r.applyLoading(now, content)
	}
}

func (r *Registry) handleDelta(now time.Time, delta *protocol.RegistryDelta) {
	p := r.notePeerIncarnation(now, delta.Origin)
	for i := range delta.Records {
		r.mergeRecord(now, p, &delta.Records[i])
	}
	if delta.FromCompleteTable {
		r.complete = true
	}
	if delta.Sequence == 0 {
		return // answers a summary: nobody waits for its arrival
	}
	p.receivedToConfirm = append(p.receivedToConfirm, delta.Sequence)
	if delta.InForceAckRequested {
		r.awaitLocalRouters(now, p.address, delta.Sequence)
		r.scheduleFlush(now, urgentFlushDelay)
	}
}

// mergeRecord takes in one record: the higher sequence wins, and what left stays away.
func (r *Registry) mergeRecord(now time.Time, from *peer, record *protocol.Record) {
	received := record.Endpoint
	heard := now.Add(-max(0, record.HeartbeatAge))
	e := r.entries[received.ID]
	switch {
	case received.State == protocol.Departed:
		r.mergeDeregistration(now, from, e, received)
		return
	case e == nil && record.HeartbeatAge > r.maxUnknownAge():
		return
	case e == nil:
		e = r.insert(received.ID)
	case e.deregistered, received.Sequence < e.endpoint.Sequence:
		r.returnNewerRecord(now, from, e, &received)
		return
	case e.tombstone && received.Sequence == e.endpoint.Sequence:
		return // given up here since
	}
	if r.update(now, e, received, heard) {
		r.queueUpdate(e, received.State != protocol.Ready)
		r.relayUrgent(now, from, e)
	}
}

// maxUnknownAge is how old the newest heartbeat of an endpoint may be that is unknown here. Once the table is whole, one
// that lives would have called since: its end was told to an instance that has restarted, or was forgotten here.
func (r *Registry) maxUnknownAge() time.Duration {
	if r.complete {
		return r.unresponsiveTimeout()
	}
	return evictionTimeout
}

func (r *Registry) mergeDeregistration(now time.Time, from *peer, e *entry, received protocol.Endpoint) {
	if e == nil {
		e = r.insert(received.ID)
		e.endpoint.Address, e.endpoint.Service = received.Address, received.Service
	}
	if e.deregistered {
		return
	}
	e.endpoint.Sequence = max(e.endpoint.Sequence, received.Sequence)
	r.setDeregistered(now, e)
	r.relayUrgent(now, from, e)
}

// returnNewerRecord sends the newer record back.
func (r *Registry) returnNewerRecord(now time.Time, from *peer, e *entry, received *protocol.Endpoint) {
	if !e.deregistered && hashContent(received) == e.contentHash {
		return
	}
	from.addHint(e.endpoint.ID)
	r.scheduleFlush(now, ordinaryFlushDelay)
}

// relayUrgent passes on what must not wait for the next exchange, for those that the sender can't reach.
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

func (r *Registry) handleConfirm(now time.Time, confirm *protocol.RegistryAck) {
	p := r.notePeerIncarnation(now, confirm.Origin)
	if confirm.SenderIncarnation != r.config.Origin.Incarnation {
		return
	}
	for _, sequence := range confirm.Received {
		delete(p.unconfirmed, sequence)
		r.recordReceived(p.address, sequence)
	}
	for _, sequence := range confirm.InForce {
		r.recordInForce(p.address, sequence)
	}
}

// sendSummary opens or answers a full exchange.
func (r *Registry) sendSummary(now time.Time, p *peer, answer bool) {
	summary := &protocol.RegistrySummary{Origin: r.config.Origin, IsReply: answer}
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		e := r.entries[id]
		if e.tombstone && !e.deregistered {
			continue
		}
		summary.Versions = append(summary.Versions, protocol.RecordVersion{
			ID: id, Sequence: e.endpoint.Sequence, ContentHash: e.contentHash, Departed: e.deregistered,
		})
	}
	p.lastFullExchange = now
	p.needsFullExchange = false
	r.send(p.address, summary)
}

// handleSummary answers with what the sender lacks, and asks for what is lacking here.
func (r *Registry) handleSummary(now time.Time, summary *protocol.RegistrySummary) {
	p := r.notePeerIncarnation(now, summary.Origin)
	delta := &protocol.RegistryDelta{Origin: r.config.Origin, FromCompleteTable: r.complete && !summary.IsReply && !r.possiblyStale(now)}
	known := make(map[string]protocol.RecordVersion, len(summary.Versions))
	for _, version := range summary.Versions {
		known[version.ID] = version
	}
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		e := r.entries[id]
		version, present := known[id]
		if r.peerLacks(now, e, version, present) {
			delta.Records = append(delta.Records, r.peerRecord(now, e))
		}
	}
	if len(delta.Records) > 0 || delta.FromCompleteTable {
		r.send(p.address, delta)
	}
	if !summary.IsReply {
		r.sendSummary(now, p, true)
	}
}

// peerLacks says whether the sender of a version needs the record.
func (r *Registry) peerLacks(now time.Time, e *entry, version protocol.RecordVersion, present bool) bool {
	switch {
	case e.deregistered:
		return !version.Departed
	case e.tombstone, now.Sub(e.lastHeartbeat) > evictionTimeout, version.Departed, r.withheldFromPeers(now, e):
		return false
	case !present:
		return true
	}
	return e.endpoint.Sequence > version.Sequence && e.contentHash != version.ContentHash
}

// sendDigests tells the other instances who is alive, and compares the tables.
func (r *Registry) sendDigests(now time.Time) {
	table := r.tableHash()
	alive := slices.Sorted(maps.Keys(r.heardSinceDigest))
	clear(r.heardSinceDigest)
	for _, p := range r.peersByAddress {
		if !p.reachable {
			continue
		}
		r.compareTables(now, p, table)
		r.sendDigest(now, p, table, alive)
	}
}

func (r *Registry) sendDigest(now time.Time, p *peer, table uint64, alive []uint32) {
	unchanged := table == p.tableHashSent && p.routersSent && len(alive) == 0
	if unchanged && now.Sub(p.digestSent) < maxDigestInterval {
		return
	}
	digest := &protocol.RegistryDigest{Origin: r.config.Origin, AliveHashes: alive, TableHash: table}
	if !p.routersSent || now.Sub(p.digestSent) >= maxDigestInterval {
		digest.RoutersIncluded, digest.RouterHashes = true, r.routers.own
	}
	p.routersSent, p.tableHashSent, p.digestSent = true, table, now
	r.send(p.address, digest)
}

// compareTables opens a full exchange where the tables differ for longer than deltas need.
func (r *Registry) compareTables(now time.Time, p *peer, table uint64) {
	if !p.tableHashKnown || p.tableHash == table {
		p.consecutiveMismatches = 0
		return
	}
	p.consecutiveMismatches++
	if p.consecutiveMismatches >= fullExchangeMismatches && now.Sub(p.lastFullExchange) >= minFullExchangeInterval {
		p.consecutiveMismatches = 0
		r.sendSummary(now, p, false)
	}
}

func (r *Registry) handleDigest(now time.Time, digest *protocol.RegistryDigest) {
	p := r.notePeerIncarnation(now, digest.Origin)
	for _, hash := range digest.AliveHashes {
		if e := r.byHash[hash]; e != nil {
			r.refreshLiveness(now, e)
		}
	}
	p.tableHash, p.tableHashKnown = digest.TableHash, true
	if digest.RoutersIncluded {
		p.routers = digest.RouterHashes
		r.routers.refresh(now, r.peers)
	}
}

// tableHash covers the endpoints that are there.
func (r *Registry) tableHash() uint64 {
	var sum uint64
	for _, e := range r.entries {
		if !e.tombstone {
			sum ^= e.contentHash
		}
	}
	return sum
}
