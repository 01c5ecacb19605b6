package registry

import (
	"maps"
	"slices"
	"time"
)

// Who acknowledges a drain: the instance that received the endpoint's request, and no other. It answers
//   - in force, once every router connected here and every reachable peer's routers have the change in force;
//   - not in force, when DrainAckTimeout is over and a majority of the reachable instances has the record;
//   - both only after a contact with a majority of the voters that is newer than the request;
//   - rejected in all other cases (no quorum, just started, or neither of the above by QuorumConfirmTimeout). The
//     endpoint then asks another instance.

// pendingDrain is a request of a draining or deregistering endpoint that waits for its acknowledgement.
type pendingDrain struct {
	requestID  uint64
	endpointID string
	startedAt  time.Time
	resendAt   time.Time // when the record is sent once more where it is not in force
	wakeAt     time.Time // when to look at it again without any input

	// Progress, by address of the peer.
	deltaSequences map[string]uint64 // the delta that carried the record there
	receivedBy     map[string]bool   // it has the record
	inForceAt      map[string]bool   // its routers have the record in force
}

// ackDeadline is when the wait for routers and other instances ends.
func (d *pendingDrain) ackDeadline() time.Time { return d.startedAt.Add(DrainAckTimeout) }

// quorumDeadline is when the wait for contact with a majority ends.
func (d *pendingDrain) quorumDeadline() time.Time { return d.startedAt.Add(QuorumConfirmTimeout) }

// beginDrain rejects the request of a draining or deregistering endpoint at once, or has it wait until acknowledgeDrains
// answers it.
func (r *Registry) beginDrain(now time.Time, requestID uint64, e *entry) {
	if !r.mayAcknowledgeDrains(now) {
		r.reply(requestID, Reply{Rejected: true})
		return
	}
	drain := &pendingDrain{
		requestID:      requestID,
		endpointID:     e.endpoint.ID,
		startedAt:      now,
		resendAt:       now.Add(drainResendDelay),
		deltaSequences: make(map[string]uint64),
		receivedBy:     make(map[string]bool),
		inForceAt:      make(map[string]bool),
	}
	r.pendingDrains[requestID] = drain
	if e.drainInForce {
		return
	}
	for _, p := range r.peersByAddress {
		p.awaitedDrains[drain.endpointID] = struct{}{}
	}
	r.scheduleFlush(now, urgentFlushDelay)
}

// mayAcknowledgeDrains returns whether this instance can know who must learn of a drain: it has contact with a majority,
// and has run for long enough to have heard of the others.
func (r *Registry) mayAcknowledgeDrains(now time.Time) bool {
	return !r.quorumLost(now) && now.Sub(r.started) >= startupSyncTime
}

// acknowledgeDrains answers the requests whose outcome is known by now. It runs after changes have their revisions.
func (r *Registry) acknowledgeDrains(now time.Time) {
	for _, requestID := range slices.Sorted(maps.Keys(r.pendingDrains)) {
		drain := r.pendingDrains[requestID]
		inForce := r.inForceEverywhere(drain)
		quorumConfirmed := !r.quorumContactAt.Before(drain.startedAt)
		switch {
		case r.quorumLost(now):
			r.finishDrain(drain, Reply{Rejected: true})
		case !inForce && now.Before(drain.ackDeadline()):
			r.resendDrain(now, drain)
		case quorumConfirmed && (inForce || r.receivedByMajority(drain)):
			r.finishDrain(drain, Reply{InForce: inForce})
		case now.Before(drain.quorumDeadline()):
			drain.wakeAt = earliest(now.Add(quorumPollInterval), drain.quorumDeadline())
		default:
			r.finishDrain(drain, Reply{Rejected: true})
		}
	}
}

func (r *Registry) finishDrain(drain *pendingDrain, reply Reply) {
	delete(r.pendingDrains, drain.requestID)
	if e := r.table.byID[drain.endpointID]; e != nil && reply.InForce {
		e.drainInForce = true
	}
	r.reply(drain.requestID, reply)
}

// resendDrain sends the record once more to the peers where it is not in force: a message may have been lost.
func (r *Registry) resendDrain(now time.Time, drain *pendingDrain) {
	drain.wakeAt = earliest(drain.resendAt, drain.ackDeadline())
	if now.Before(drain.resendAt) {
		return
	}
	drain.resendAt = drain.ackDeadline()
	drain.wakeAt = drain.ackDeadline()
	for address, p := range r.peers {
		if p.reachable && !drain.inForceAt[address] {
			p.awaitedDrains[drain.endpointID] = struct{}{}
			r.scheduleFlush(now, urgentFlushDelay)
		}
	}
}

// inForceEverywhere returns whether no router, here or at a reachable peer, chooses the endpoint any more.
func (r *Registry) inForceEverywhere(drain *pendingDrain) bool {
	e := r.table.byID[drain.endpointID]
	if e == nil || e.drainInForce {
		return true
	}
	if r.routersConfirmed < e.revision {
		return false
	}
	for address, p := range r.peers {
		if p.reachable && !drain.inForceAt[address] {
			return false
		}
	}
	return true
}

// receivedByMajority returns whether more than half of this instance and its reachable peers have the record. Contact
// with a majority alone does not show that: an instance whose messages are lost on their way may still receive those
// of the others.
func (r *Registry) receivedByMajority(drain *pendingDrain) bool {
	received, reachable := 1, 1
	for address, p := range r.peers {
		if !p.reachable {
			continue
		}
		reachable++
		if drain.receivedBy[address] || drain.inForceAt[address] {
			received++
		}
	}
	return 2*received > reachable
}

// recordReceived takes in that a peer has what a delta carried.
func (r *Registry) recordReceived(address string, deltaSequence uint64) {
	for _, drain := range r.pendingDrains {
		if carried := drain.deltaSequences[address]; carried != 0 && carried == deltaSequence {
			drain.receivedBy[address] = true
		}
	}
}

// recordInForce takes in that a peer's routers have in force what a delta carried.
func (r *Registry) recordInForce(address string, deltaSequence uint64) {
	for _, drain := range r.pendingDrains {
		if carried := drain.deltaSequences[address]; carried != 0 && carried == deltaSequence {
			drain.inForceAt[address] = true
		}
	}
}

// drainsCarried notes the delta that carries the records awaited from a peer.
func (r *Registry) drainsCarried(p *peer, deltaSequence uint64) {
	for _, drain := range r.pendingDrains {
		if _, carried := p.awaitedDrains[drain.endpointID]; carried {
			drain.deltaSequences[p.address] = deltaSequence
		}
	}
}

// awaitDrains has all pending drains wait for a peer that has become reachable.
func (r *Registry) awaitDrains(p *peer) {
	for _, drain := range r.pendingDrains {
		p.awaitedDrains[drain.endpointID] = struct{}{}
	}
}

// awaitDrainsAgain has all pending drains wait for the new process of a peer that restarted: what the former one
// acknowledged is lost.
func (r *Registry) awaitDrainsAgain(now time.Time, p *peer) {
	for _, drain := range r.pendingDrains {
		delete(drain.deltaSequences, p.address)
		delete(drain.receivedBy, p.address)
		delete(drain.inForceAt, p.address)
	}
	r.awaitDrains(p)
	if len(p.awaitedDrains) > 0 {
		r.scheduleFlush(now, urgentFlushDelay)
	}
}
