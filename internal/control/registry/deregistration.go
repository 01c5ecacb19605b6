package registry

import (
	"time"

	"raventrestle/internal/protocol"
)

// handleDeregister takes in an endpoint's end. An endpoint unknown here is deregistered all the same: it may have
// sent its heartbeats to other instances only.
func (r *Registry) handleDeregister(now time.Time, in Deregister) {
	e := r.table.findOrInsert(in.ID)
	if !e.deregistered {
		r.setDeregistered(now, e)
		r.propagate(now, e, urgentFlushDelay)
	}
	r.beginDrain(now, in.RequestID, e)
}

// setDeregistered makes an entry a tombstone whose ID never returns.
func (r *Registry) setDeregistered(now time.Time, e *entry) {
	e.deregistered, e.drainInForce = true, false
	e.lastHeartbeat = now
	r.evict(now, e)
}

// mergeDeregistration takes in a deregistration that another instance received.
func (r *Registry) mergeDeregistration(now time.Time, from *peer, record protocol.Endpoint) {
	e := r.table.byID[record.ID]
	if e == nil {
		e = r.table.findOrInsert(record.ID)
		e.endpoint.Address, e.endpoint.Service = record.Address, record.Service
	}
	if e.deregistered {
		return
	}
	e.endpoint.Sequence = max(e.endpoint.Sequence, record.Sequence)
	r.setDeregistered(now, e)
	r.relayUrgent(now, from, e)
}
