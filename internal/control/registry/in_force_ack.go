package registry

import "time"

// inForceAck is owed to a peer that waits with a drain: this instance's routers are to have a delta of it in force.
type inForceAck struct {
	to            string
	deltaSequence uint64
	revision      uint64    // of the update that the routers are to confirm
	deadline      time.Time // the peer does not wait any longer
}

// oweInForceAck records that the sender of a delta waits for this instance's routers.
func (r *Registry) oweInForceAck(now time.Time, to string, deltaSequence uint64) {
	r.pendingInForceAcks = append(r.pendingInForceAcks, inForceAck{
		to:            to,
		deltaSequence: deltaSequence,
		// Changes of this step get the next revision; a delta without a change is in force with the present one.
		revision: r.updates.revision + 1,
		deadline: now.Add(DrainAckTimeout),
	})
}

// acknowledgeInForceDeltas has the deltas acknowledged that every router connected here has in force.
func (r *Registry) acknowledgeInForceDeltas(now time.Time) {
	pending := r.pendingInForceAcks[:0]
	for _, ack := range r.pendingInForceAcks {
		switch {
		case r.routersConfirmed >= min(ack.revision, r.updates.revision):
			if p := r.peers[ack.to]; p != nil {
				p.inForceToAck = append(p.inForceToAck, ack.deltaSequence)
				r.scheduleFlush(now, urgentFlushDelay)
			}
		case now.Before(ack.deadline):
			pending = append(pending, ack)
		}
	}
	r.pendingInForceAcks = pending
}
