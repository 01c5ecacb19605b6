package registry

import (
	"time"

	"raventrestle/internal/protocol"
)

// handleHeartbeat takes in what an endpoint said here.
func (r *Registry) handleHeartbeat(now time.Time, in Heartbeat) {
	received := in.Endpoint
	e := r.entries[received.ID]
	if e == nil {
		e = r.insert(received.ID)
	}
	if !e.deregistered && !r.isOutdated(e, received) {
		r.heardSinceDigest[e.idHash] = struct{}{}
		if r.update(now, e, received, now) {
			r.queueUpdate(e, received.State != protocol.Ready)
			r.propagate(now, e, flushDelay(received.State))
		}
	}
	leaves := e.deregistered || e.endpoint.State == protocol.Draining
	if received.State == protocol.Draining && leaves {
		r.beginDrain(now, in.RequestID, e)
		return
	}
	r.reply(in.RequestID, Reply{InForce: true, Rejected: r.quorumLost(now)})
}

// isOutdated says that something newer of the endpoint is known. The same sequence again is a repeated call, unless the
// endpoint was given up since.
func (r *Registry) isOutdated(e *entry, received protocol.Endpoint) bool {
	if e.tombstone {
		return received.Sequence <= e.endpoint.Sequence
	}
	return e.contentHash != 0 && received.Sequence < e.endpoint.Sequence
}

func flushDelay(state protocol.EndpointState) time.Duration {
	if state == protocol.Ready {
		return ordinaryFlushDelay
	}
	return urgentFlushDelay
}

// handleDeregister takes in an endpoint's end.
func (r *Registry) handleDeregister(now time.Time, in Deregister) {
	e := r.entries[in.ID]
	if e == nil {
		e = r.insert(in.ID)
	}
	if !e.deregistered {
		r.setDeregistered(now, e)
		r.propagate(now, e, urgentFlushDelay)
	}
	r.beginDrain(now, in.RequestID, e)
}

// setDeregistered is final: the endpoint's ID never comes back.
func (r *Registry) setDeregistered(now time.Time, e *entry) {
	e.deregistered, e.drainInForce = true, false
	e.lastHeartbeat = now
	r.evict(now, e)
}

// handleRouterReport weighs what a router's calls say of endpoints whose heartbeats stopped.
func (r *Registry) handleRouterReport(now time.Time, in RouterReport) {
	for _, id := range in.Reached {
		if e := r.entries[id]; e != nil && !e.tombstone {
			e.lastReached = now
		}
	}
	for _, id := range in.Unreachable {
		e := r.entries[id]
		if e == nil || e.tombstone || !e.unresponsive || now.Sub(e.lastReached) < routerSuccessTTL {
			continue
		}
		r.evict(now, e)
	}
}

func (r *Registry) reply(ticket uint64, answer Reply) {
	answer.RequestID = ticket
	answer.InForce = answer.InForce && !answer.Rejected
	r.output.Replies = append(r.output.Replies, answer)
}
