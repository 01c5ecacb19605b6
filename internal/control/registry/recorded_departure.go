package registry

import (
	"time"

	"raventrestle/internal/protocol"
)

// Departures are committed to the replicated state before they are acknowledged, so that they outlast all processes. The
// registry takes in each one when it is committed, or when the process starts: heartbeats from before it, which may
// still arrive, must not bring the endpoint back.

// handleRecordedDepartures takes in committed departures, except those that no heartbeat can be older than any more.
func (r *Registry) handleRecordedDepartures(now time.Time, in RecordedDepartures) {
	for _, departure := range in.Departures {
		switch {
		case departure.Age > tombstoneTTL(departure.Deregistered):
		case departure.Deregistered:
			r.restoreDeregistration(now, departure)
		default:
			r.restoreDraining(now, departure)
		}
	}
}

func (r *Registry) restoreDeregistration(now time.Time, departure RecordedDeparture) {
	e := r.table.findOrInsert(departure.ID)
	if e.deregistered {
		return
	}
	r.setDeregistered(now, e)
	e.tombstoneSince = now.Add(-departure.Age)
}

// restoreDraining takes in that an endpoint has reported draining. One that is unknown here is a tombstone until its next
// heartbeat, which describes it.
func (r *Registry) restoreDraining(now time.Time, departure RecordedDeparture) {
	known := r.table.byID[departure.ID] != nil
	e := r.table.findOrInsert(departure.ID)
	if e.deregistered || known && e.endpoint.Sequence >= departure.Sequence {
		return
	}
	e.endpoint.Sequence = departure.Sequence
	e.endpoint.State = protocol.Draining
	e.drainInForce = false
	if !known || e.tombstone {
		r.evict(now, e)
		return
	}
	e.contentHash = hashContent(&e.endpoint)
	r.queueUpdate(e, true)
}
