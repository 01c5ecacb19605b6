package registry

import (
	"time"

	"raventrestle/internal/protocol"
)

// handleHeartbeat takes in an endpoint's report that arrived here. A heartbeat in state ready is answered at once, one
// that reports draining as drain_ack.go says.
func (r *Registry) handleHeartbeat(now time.Time, in Heartbeat) {
	report := in.Endpoint
	e := r.table.findOrInsert(report.ID)
	if !e.deregistered && !isOutdated(e, report) {
		r.aliveHashes[e.idHash] = struct{}{}
		if r.update(now, e, report, now) {
			r.queueUpdate(e, report.State != protocol.Ready)
			r.propagate(now, e, flushDelay(report.State))
		}
	}
	ending := e.deregistered || e.endpoint.State == protocol.Draining
	if report.State == protocol.Draining && ending {
		r.beginDrain(now, in.RequestID, e)
		return
	}
	r.reply(in.RequestID, Reply{InForce: true, Rejected: r.quorumLost(now)})
}

// isOutdated returns whether a newer report of the endpoint is known. The same sequence again is a repeated request and
// not outdated, unless the endpoint was evicted since.
func isOutdated(e *entry, report protocol.Endpoint) bool {
	if e.tombstone {
		return report.Sequence <= e.endpoint.Sequence
	}
	return e.contentHash != 0 && report.Sequence < e.endpoint.Sequence
}

// flushDelay returns how soon the other instances must learn of a report.
func flushDelay(state protocol.EndpointState) time.Duration {
	if state == protocol.Ready {
		return ordinaryFlushDelay
	}
	return urgentFlushDelay
}
