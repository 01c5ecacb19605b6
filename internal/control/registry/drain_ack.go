package registry

import (
	"maps"
	"slices"
	"time"
)

// pendingDrain is a call of a draining or leaving endpoint that waits for its acknowledgement.
type pendingDrain struct {
	requestID      uint64
	endpointID     string
	startedAt      time.Time
	resendAt       time.Time         // when records whose effect is not confirmed are sent once more
	wakeAt         time.Time         // when to look at it again, without news
	deltaSequences map[string]uint64 // by instance: the delta that carried the record there
	receivedBy     map[string]bool   // by instance: it has the record
	inForceAt      map[string]bool   // by instance
}

// deadline is when the wait for routers and other instances ends.
func (p *pendingDrain) deadline() time.Time { return p.startedAt.Add(DrainAckTimeout) }

// pendingConfirmation is a delta whose sender waits until it is in force at the routers connected here.
type pendingConfirmation struct {
	to       string
	sequence uint64
	revision uint64
	deadline time.Time
}

// beginDrain keeps the call until the endpoint's state is in force everywhere, or the time is up.
func (r *Registry) beginDrain(now time.Time, ticket uint64, e *entry) {
	if r.mayNotAcknowledgeDrains(now) {
		r.reply(ticket, Reply{Rejected: true})
		return
	}
	p := &pendingDrain{
		requestID:      ticket,
		endpointID:     e.endpoint.ID,
		startedAt:      now,
		resendAt:       now.Add(drainResendDelay),
		deltaSequences: make(map[string]uint64),
		receivedBy:     make(map[string]bool),
		inForceAt:      make(map[string]bool),
	}
	r.pendingDrains[ticket] = p
	if e.drainInForce {
		return
	}
	for _, other := range r.peersByAddress {
		other.awaitedDrains[p.endpointID] = struct{}{}
	}
	r.scheduleFlush(now, urgentFlushDelay)
}

// quorumLost says whether this instance has had no contact with a majority of the voters for some time, or never.
func (r *Registry) quorumLost(now time.Time) bool {
	return r.quorumContactAt.IsZero() || now.Sub(r.quorumContactAt) > QuorumContactTTL
}

// mayNotAcknowledgeDrains says that this instance can't know who has to be told of an endpoint's end: it has no contact with a
// majority, or has only just begun to hear from the others.
func (r *Registry) mayNotAcknowledgeDrains(now time.Time) bool {
	return r.quorumLost(now) || now.Sub(r.started) < startupSyncTime
}

// acknowledgeDrains acknowledges what is in force everywhere by now. It runs after changes have their revisions.
func (r *Registry) acknowledgeDrains(now time.Time) {
	for _, ticket := range slices.Sorted(maps.Keys(r.pendingDrains)) {
		p := r.pendingDrains[ticket]
		settled := r.inForceEverywhere(p)
		switch {
		case r.quorumLost(now):
			r.finishDrain(p, Reply{Rejected: true})
		case !settled && now.Before(p.deadline()):
			r.resendDrain(now, p)
		case !r.quorumContactAt.Before(p.startedAt) && (settled || r.receivedByMajority(p)):
			r.finishDrain(p, Reply{InForce: settled})
		case now.Before(p.startedAt.Add(QuorumConfirmTimeout)):
			p.wakeAt = earliest(now.Add(quorumPollInterval), p.startedAt.Add(QuorumConfirmTimeout))
		default:
			r.finishDrain(p, Reply{Rejected: true})
		}
	}
}

// finishDrain ends the wait of a call.
func (r *Registry) finishDrain(p *pendingDrain, answer Reply) {
	delete(r.pendingDrains, p.requestID)
	if e := r.entries[p.endpointID]; e != nil && answer.InForce {
		e.drainInForce = true
	}
	r.reply(p.requestID, answer)
}

// resendDrain sends the record again where a message may have been lost.
func (r *Registry) resendDrain(now time.Time, p *pendingDrain) {
	p.wakeAt = earliest(p.resendAt, p.deadline())
	if now.Before(p.resendAt) {
		return
	}
	p.resendAt = p.deadline()
	p.wakeAt = p.deadline()
	for address, other := range r.peers {
		if other.reachable && !p.inForceAt[address] {
			other.awaitedDrains[p.endpointID] = struct{}{}
			r.scheduleFlush(now, urgentFlushDelay)
		}
	}
}

func (r *Registry) inForceEverywhere(p *pendingDrain) bool {
	e := r.entries[p.endpointID]
	if e == nil || e.drainInForce {
		return true
	}
	if r.routersConfirmed < e.revision {
		return false
	}
	for address, other := range r.peers {
		if other.reachable && !p.inForceAt[address] {
			return false
		}
	}
	return true
}

// receivedByMajority says whether more than half of this instance and those that it can reach have the record. One that
// the others don't hear may still hear that they are in contact.
func (r *Registry) receivedByMajority(p *pendingDrain) bool {
	received, reachable := 1, 1
	for address, other := range r.peers {
		if !other.reachable {
			continue
		}
		reachable++
		if p.receivedBy[address] || p.inForceAt[address] {
			received++
		}
	}
	return 2*received > reachable
}

// noteReceived: the instance has what a delta carried.
func (r *Registry) recordReceived(address string, sequence uint64) {
	for _, p := range r.pendingDrains {
		if carried := p.deltaSequences[address]; carried != 0 && carried == sequence {
			p.receivedBy[address] = true
		}
	}
}

// noteInForce: the instance's routers have what a delta carried.
func (r *Registry) recordInForce(address string, sequence uint64) {
	for _, p := range r.pendingDrains {
		if carried := p.deltaSequences[address]; carried != 0 && carried == sequence {
			p.inForceAt[address] = true
		}
	}
}

// awaitLocalRouters notes that the sender of a delta waits for this instance's routers.
func (r *Registry) awaitLocalRouters(now time.Time, to string, sequence uint64) {
	// Changes of this step get the next revision; those without a change are in force by an earlier one.
	r.pendingConfirmations = append(r.pendingConfirmations, pendingConfirmation{to: to, sequence: sequence, revision: r.revision + 1, deadline: now.Add(DrainAckTimeout)})
}

// confirmInForceDeltas confirms the deltas that are in force at all routers connected here.
func (r *Registry) confirmInForceDeltas(now time.Time) {
	kept := r.pendingConfirmations[:0]
	for _, o := range r.pendingConfirmations {
		switch {
		case r.routersConfirmed >= min(o.revision, r.revision):
			p := r.peers[o.to]
			if p != nil {
				p.inForceToConfirm = append(p.inForceToConfirm, o.sequence)
				r.scheduleFlush(now, urgentFlushDelay)
			}
		case now.Before(o.deadline):
			kept = append(kept, o)
		}
	}
	r.pendingConfirmations = kept
}
