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
	until     time.Time
	retryAt   time.Time         // when records whose effect is not confirmed are sent once more
	carried   map[string]uint64 // by instance: the delta that carried the record there
	confirmed map[string]bool   // by instance
}

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
		r.out.Acknowledge = append(r.out.Acknowledge, Acknowledge{Ticket: ticket, Refused: true})
		return
	}
	p := &pending{
		ticket:    ticket,
		id:        e.endpoint.ID,
		until:     now.Add(SettleWithin),
		retryAt:   now.Add(settleRetry),
		carried:   make(map[string]uint64),
		confirmed: make(map[string]bool),
	}
	r.pending[ticket] = p
	for _, other := range r.order {
		other.settle[p.id] = struct{}{}
	}
	r.flushWithin(now, urgentChange)
}

// unfit says that this instance can't know who has to be told of an endpoint's end: it reaches no majority, or
// has only just begun to hear from the others.
func (r *Registry) unfit(now time.Time) bool { return r.isolated || now.Sub(r.started) < unfitFor }

// settle acknowledges what is in force everywhere by now. It runs after changes have their revisions.
func (r *Registry) settle(now time.Time) {
	for _, ticket := range slices.Sorted(maps.Keys(r.pending)) {
		p := r.pending[ticket]
		settled := !r.isolated && r.inForce(p)
		if !settled && !r.isolated && now.Before(p.until) {
			r.askOnceMore(now, p)
			continue
		}
		delete(r.pending, ticket)
		if e := r.entries[p.id]; e != nil && settled {
			e.settled = true
		}
		r.acknowledge(ticket, settled)
	}
}

// askOnceMore sends the record again where a message may have been lost.
func (r *Registry) askOnceMore(now time.Time, p *pending) {
	if now.Before(p.retryAt) {
		return
	}
	p.retryAt = p.until
	for address, other := range r.peers {
		if other.reachable && !p.confirmed[address] {
			other.settle[p.id] = struct{}{}
			r.flushWithin(now, urgentChange)
		}
	}
}

func (r *Registry) inForce(p *pending) bool {
	e := r.entries[p.id]
	if e == nil {
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
	r.owed = append(r.owed, owed{to: to, sequence: sequence, revision: r.revision + 1, until: now.Add(SettleWithin)})
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
