package registry

import "time"

// evict turns an entry into a tombstone: by this instance's own judgement, or as a part of a deregistration. Unless the
// endpoint is deregistered, a later heartbeat of its own brings it back.
func (r *Registry) evict(now time.Time, e *entry) {
	e.tombstone, e.unresponsive = true, false
	e.tombstoneSince = now
	r.queueUpdate(e, true)
}

// claimAddress evicts one of two endpoints with the same address, which can't both exist: the one whose newest
// heartbeat is older.
func (r *Registry) claimAddress(now time.Time, e *entry) {
	address := e.endpoint.Address
	other := r.table.byAddress[address]
	if other == nil || other == e || other.tombstone {
		r.table.byAddress[address] = e
		return
	}
	if other.lastHeartbeat.After(e.lastHeartbeat) {
		r.evict(now, e)
		return
	}
	r.evict(now, other)
	r.table.byAddress[address] = e
}

// expireTombstone removes a tombstone after its time.
func (r *Registry) expireTombstone(now time.Time, e *entry) {
	if now.Sub(e.tombstoneSince) > tombstoneTTL(e.deregistered) {
		r.table.remove(e)
	}
}

func tombstoneTTL(deregistered bool) time.Duration {
	if deregistered {
		return deregisteredTombstoneTTL
	}
	return evictedTombstoneTTL
}
