package registry

import (
	"time"

	"raventrestle/internal/protocol"
)

// heartbeat takes in what an endpoint said here.
func (r *Registry) heartbeat(now time.Time, in Heartbeat) {
	told := in.Endpoint
	e := r.entries[told.ID]
	if e == nil {
		e = r.insert(told.ID)
	}
	if !e.left && !r.late(e, told) {
		r.heardHere[e.hash] = struct{}{}
		if r.replace(now, e, told, now) {
			r.change(e, told.State != protocol.Ready)
			r.tellPeers(now, e, urgency(told.State))
		}
	}
	leaves := e.left || e.endpoint.State == protocol.Draining
	if told.State == protocol.Draining && leaves {
		r.await(now, in.RequestID, e)
		return
	}
	r.acknowledge(in.RequestID, Reply{InForce: true, Rejected: r.isolated(now)})
}

// late says that something newer of the endpoint is known. The same sequence again is a repeated call, unless the
// endpoint was given up since.
func (r *Registry) late(e *entry, told protocol.Endpoint) bool {
	if e.gone {
		return told.Sequence <= e.endpoint.Sequence
	}
	return e.content != 0 && told.Sequence < e.endpoint.Sequence
}

func urgency(state protocol.EndpointState) time.Duration {
	if state == protocol.Ready {
		return ordinaryChange
	}
	return urgentChange
}

// leave takes in an endpoint's end.
func (r *Registry) leave(now time.Time, in Deregister) {
	e := r.entries[in.ID]
	if e == nil {
		e = r.insert(in.ID)
	}
	if !e.left {
		r.markLeft(now, e)
		r.tellPeers(now, e, urgentChange)
	}
	r.await(now, in.RequestID, e)
}

// markLeft is final: the endpoint's ID never comes back.
func (r *Registry) markLeft(now time.Time, e *entry) {
	e.left, e.settled = true, false
	e.heard = now
	r.giveUp(now, e)
}

// routerReport weighs what a router's calls say of endpoints whose heartbeats stopped.
func (r *Registry) routerReport(now time.Time, in RouterReport) {
	for _, id := range in.Reached {
		if e := r.entries[id]; e != nil && !e.gone {
			e.reached = now
		}
	}
	for _, id := range in.Unreachable {
		e := r.entries[id]
		if e == nil || e.gone || !e.silent || now.Sub(e.reached) < reachedLately {
			continue
		}
		r.giveUp(now, e)
	}
}

func (r *Registry) acknowledge(ticket uint64, answer Reply) {
	answer.RequestID = ticket
	answer.InForce = answer.InForce && !answer.Rejected
	r.out.Replies = append(r.out.Replies, answer)
}
