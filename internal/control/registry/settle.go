package registry

import (
	"maps"
	"slices"
	"time"
)

// pending is a call of a draining or leaving endpoint that waits for its acknowledgement.
type pending struct {
	ticket    uint64
	id        string
	asked     time.Time
	retryAt   time.Time         // when records whose effect is not confirmed are sent once more
	wakeAt    time.Time         // when to look at it again, without news
	carried   map[string]uint64 // by instance: the delta that carried the record there
	received  map[string]bool   // by instance: it has the record
	confirmed map[string]bool   // by instance
}

// until is when the wait for routers and other instances ends.
func (p *pending) until() time.Time { return p.asked.Add(DrainAckTimeout) }

// owed is a delta whose sender waits until it is in force at the routers connected here.
type owed struct {
	to       string
	sequence uint64
	revision uint64
	until    time.Time
}

// await keeps the call until the endpoint's state is in force everywhere, or the time is up.
func (r *Registry) await(now time.Time, ticket uint64, e *entry) {
	if r.unfit(now) {
		r.acknowledge(ticket, Reply{Rejected: true})
		return
	}
	p := &pending{
		ticket:    ticket,
		id:        e.endpoint.ID,
		asked:     now,
		retryAt:   now.Add(settleRetry),
		carried:   make(map[string]uint64),
		received:  make(map[string]bool),
		confirmed: make(map[string]bool),
	}
	r.pending[ticket] = p
	if e.settled {
		return
	}
	for _, other := range r.order {
		other.settle[p.id] = struct{}{}
	}
	r.flushWithin(now, urgentChange)
}

// isolated says whether this instance has had no contact with a majority of the voters for some time, or never.
func (r *Registry) isolated(now time.Time) bool {
	return r.contact.IsZero() || now.Sub(r.contact) > QuorumContactTTL
}

// unfit says that this instance can't know who has to be told of an endpoint's end: it has no contact with a
// majority, or has only just begun to hear from the others.
func (r *Registry) unfit(now time.Time) bool { return r.isolated(now) || now.Sub(r.started) < unfitFor }

// settle acknowledges what is in force everywhere by now. It runs after changes have their revisions.
func (r *Registry) settle(now time.Time) {
	for _, ticket := range slices.Sorted(maps.Keys(r.pending)) {
		p := r.pending[ticket]
		settled := r.inForce(p)
		switch {
		case r.isolated(now):
			r.answer(p, Reply{Rejected: true})
		case !settled && now.Before(p.until()):
			r.askOnceMore(now, p)
		case !r.contact.Before(p.asked) && (settled || r.receivedByMost(p)):
			r.answer(p, Reply{InForce: settled})
		case now.Before(p.asked.Add(QuorumConfirmTimeout)):
			p.wakeAt = earlier(now.Add(contactEvery), p.asked.Add(QuorumConfirmTimeout))
		default:
			r.answer(p, Reply{Rejected: true})
		}
	}
}

// answer ends the wait of a call.
func (r *Registry) answer(p *pending, answer Reply) {
	delete(r.pending, p.ticket)
	if e := r.entries[p.id]; e != nil && answer.InForce {
		e.settled = true
	}
	r.acknowledge(p.ticket, answer)
}

// askOnceMore sends the record again where a message may have been lost.
func (r *Registry) askOnceMore(now time.Time, p *pending) {
	p.wakeAt = earlier(p.retryAt, p.until())
	if now.Before(p.retryAt) {
		return
	}
	p.retryAt = p.until()
	p.wakeAt = p.until()
	for address, other := range r.peers {
		if other.reachable && !p.confirmed[address] {
			other.settle[p.id] = struct{}{}
			r.flushWithin(now, urgentChange)
		}
	}
}

func (r *Registry) inForce(p *pending) bool {
	e := r.entries[p.id]
	if e == nil || e.settled {
		return true
	}
	if r.floor < e.revision {
		return false
	}
	for address, other := range r.peers {
		if other.reachable && !p.confirmed[address] {
			return false
		}
	}
	return true
}

// receivedByMost says whether more than half of this instance and those that it can reach have the record. One that
// the others don't hear may still hear that they are in contact.
func (r *Registry) receivedByMost(p *pending) bool {
	received, reachable := 1, 1
	for address, other := range r.peers {
		if !other.reachable {
			continue
		}
		reachable++
		if p.received[address] || p.confirmed[address] {
			received++
		}
	}
	return 2*received > reachable
}

// noteReceived: the instance has what a delta carried.
func (r *Registry) noteReceived(address string, sequence uint64) {
	for _, p := range r.pending {
		if carried := p.carried[address]; carried != 0 && carried == sequence {
			p.received[address] = true
		}
	}
}

// noteInForce: the instance's routers have what a delta carried.
func (r *Registry) noteInForce(address string, sequence uint64) {
	for _, p := range r.pending {
		if carried := p.carried[address]; carried != 0 && carried == sequence {
			p.confirmed[address] = true
		}
	}
}

// owe notes that the sender of a delta waits for this instance's routers.
func (r *Registry) owe(now time.Time, to string, sequence uint64) {
	// Changes of this step get the next revision; those without a change are in force by an earlier one.
	r.owed = append(r.owed, owed{to: to, sequence: sequence, revision: r.revision + 1, until: now.Add(DrainAckTimeout)})
}

// payOwed confirms the deltas that are in force at all routers connected here.
func (r *Registry) payOwed(now time.Time) {
	kept := r.owed[:0]
	for _, o := range r.owed {
		switch {
		case r.floor >= min(o.revision, r.revision):
			p := r.peers[o.to]
			if p != nil {
				p.inForce = append(p.inForce, o.sequence)
				r.flushWithin(now, urgentChange)
			}
		case now.Before(o.until):
			kept = append(kept, o)
		}
	}
	r.owed = kept
}
