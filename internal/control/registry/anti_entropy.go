package registry

import (
	"maps"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// sendDigests says to the peers which endpoints are alive, and starts a full exchange where the tables differ.
func (r *Registry) sendDigests(now time.Time) {
	tableHash := r.table.contentHash()
	alive := slices.Sorted(maps.Keys(r.aliveHashes))
	clear(r.aliveHashes)
	for _, p := range r.peersByAddress {
		if !p.reachable {
			continue
		}
		r.compareTables(now, p, tableHash)
		r.sendDigest(now, p, tableHash, alive)
	}
}

func (r *Registry) sendDigest(now time.Time, p *peer, tableHash uint64, alive []uint32) {
	unchanged := tableHash == p.tableHashSent && p.routersSent && len(alive) == 0
	if unchanged && now.Sub(p.digestSent) < maxDigestInterval {
		return
	}
	digest := &protocol.RegistryDigest{Origin: r.config.Origin, AliveHashes: alive, TableHash: tableHash}
	if !p.routersSent || now.Sub(p.digestSent) >= maxDigestInterval {
		digest.RoutersIncluded, digest.RouterHashes = true, r.routers.own
	}
	p.routersSent, p.tableHashSent, p.digestSent = true, tableHash, now
	r.send(p.address, digest)
}

func (r *Registry) handleDigest(now time.Time, digest *protocol.RegistryDigest) {
	p := r.identifyPeer(now, digest.Origin)
	for _, hash := range digest.AliveHashes {
		if e := r.table.byHash[hash]; e != nil {
			r.refreshLiveness(now, e)
		}
	}
	p.tableHash, p.tableHashKnown = digest.TableHash, true
	if digest.RoutersIncluded {
		p.routers = digest.RouterHashes
		r.routers.refresh(now, r.peers)
	}
}

// compareTables starts a full exchange where the tables have differed for longer than deltas need.
func (r *Registry) compareTables(now time.Time, p *peer, tableHash uint64) {
	if !p.tableHashKnown || p.tableHash == tableHash {
		p.consecutiveMismatches = 0
		return
	}
	p.consecutiveMismatches++
	if p.consecutiveMismatches >= fullExchangeMismatches && now.Sub(p.lastFullExchange) >= minFullExchangeInterval {
		p.consecutiveMismatches = 0
		r.sendSummary(now, p, false)
	}
}

// sendSummary opens a full exchange, or answers the peer's summary with this instance's own.
func (r *Registry) sendSummary(now time.Time, p *peer, isReply bool) {
	summary := &protocol.RegistrySummary{Origin: r.config.Origin, IsReply: isReply}
	for _, id := range r.table.sortedIDs() {
		e := r.table.byID[id]
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

// handleSummary sends the records that the peer lacks, and a summary so that the peer sends those lacking here.
func (r *Registry) handleSummary(now time.Time, summary *protocol.RegistrySummary) {
	p := r.identifyPeer(now, summary.Origin)
	delta := &protocol.RegistryDelta{
		Origin:            r.config.Origin,
		FromCompleteTable: r.complete && !summary.IsReply && !r.possiblyStale(now),
	}
	versions := make(map[string]protocol.RecordVersion, len(summary.Versions))
	for _, version := range summary.Versions {
		versions[version.ID] = version
	}
	for _, id := range r.table.sortedIDs() {
		e := r.table.byID[id]
		version, present := versions[id]
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

// peerLacks returns whether a peer needs the record, given the version in its summary, if there is one.
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
