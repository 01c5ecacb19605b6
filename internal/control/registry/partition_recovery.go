package registry

import "time"

// An instance without contact with a majority may miss that endpoints depart. Its peers keep hints of what it lacks, but
// a peer that restarts loses them with its table. So the table counts as possibly stale while the quorum is lost, and
// after it is regained until every living endpoint has sent a heartbeat to some instance. Meanwhile
//   - routers are not shown unresponsive endpoints;
//   - peers are sent only endpoints that were heard of since;
//   - at the end, endpoints that nobody heard of are evicted.

// quorumLost returns whether this instance has had no contact with a majority of the voters for QuorumContactTTL, or
// never.
func (r *Registry) quorumLost(now time.Time) bool {
	return r.quorumContactAt.IsZero() || now.Sub(r.quorumContactAt) > QuorumContactTTL
}

// handleQuorumContact takes in the newest contact with a majority. In a new epoch there is none at first; a contact of
// the epoch before still counts.
func (r *Registry) handleQuorumContact(now time.Time, in QuorumContact) {
	previous := latest(r.quorumContactAt, r.started)
	wasLost := r.quorumLost(now)
	if !in.ConfirmedAt.IsZero() {
		r.quorumContactAt = in.ConfirmedAt
	}
	regained := wasLost && !r.quorumLost(now)
	if !regained || now.Sub(previous) <= QuorumContactTTL {
		return
	}
	r.rejoinedAt = now
	if now.Sub(previous) > r.unresponsiveTimeout() {
		r.complete, r.syncingSince = false, now
	}
}

// possiblyStale returns whether endpoints may have departed without this instance's knowledge.
func (r *Registry) possiblyStale(now time.Time) bool {
	return r.quorumLost(now) || !r.rejoinedAt.IsZero()
}

// hiddenWhileStale returns whether routers are not shown an endpoint because it has probably departed unnoticed.
func (r *Registry) hiddenWhileStale(now time.Time, e *entry) bool {
	return !e.tombstone && e.unresponsive && r.possiblyStale(now)
}

// withheldFromPeers returns whether peers are not sent an endpoint: if it lives, it sends its heartbeats to them.
func (r *Registry) withheldFromPeers(now time.Time, e *entry) bool {
	return r.hiddenWhileStale(now, e) || r.unheardSinceRejoin(e) || r.quorumLost(now) && r.missedHeartbeat(now, e)
}

// unheardSinceRejoin returns whether nobody has heard of an endpoint since the quorum was regained.
func (r *Registry) unheardSinceRejoin(e *entry) bool {
	return !e.tombstone && e.lastSign().Before(r.rejoinedAt)
}

// missedHeartbeat returns whether an endpoint has missed a heartbeat. While the quorum is lost it may have called
// another instance to announce its end, and that instance may have restarted since.
func (r *Registry) missedHeartbeat(now time.Time, e *entry) bool {
	return !e.tombstone && now.Sub(e.lastSign()) > r.config.Heartbeat+heartbeatMargin
}

// rejoinWindow is how long it takes until an instance with contact has heard of every living endpoint: a heartbeat at a
// peer, and that peer's next digest.
func (r *Registry) rejoinWindow() time.Duration {
	return r.config.Heartbeat + tickInterval + heartbeatMargin
}

// syncWindow is how long it takes until every living endpoint has called some instance.
func (r *Registry) syncWindow() time.Duration {
	return syncHeartbeats*r.config.Heartbeat + heartbeatMargin
}

// updateStaleness ends the time in which the table may lack endpoints, and the time in which it may have some that
// departed.
func (r *Registry) updateStaleness(now time.Time) {
	if !r.complete && !now.Before(r.syncingSince.Add(r.syncWindow())) {
		r.complete = true
	}
	if !r.rejoinedAt.IsZero() && !now.Before(r.rejoinedAt.Add(r.rejoinWindow())) {
		r.evictUnheard(now)
		r.rejoinedAt = time.Time{}
	}
	r.publishHidden(now)
}

func (r *Registry) evictUnheard(now time.Time) {
	for _, e := range r.table.byID {
		if r.unheardSinceRejoin(e) {
			r.evict(now, e)
		}
	}
}

// publishHidden has routers notified of the unresponsive endpoints that were hidden and exist after all.
func (r *Registry) publishHidden(now time.Time) {
	stale := r.possiblyStale(now)
	if r.wasPossiblyStale && !stale {
		for _, e := range r.table.byID {
			if !e.tombstone && e.unresponsive {
				r.queueUpdate(e, false)
			}
		}
	}
	r.wasPossiblyStale = stale
}

// stalenessDeadline is when updateStaleness has something to do; zero: nothing is due.
func (r *Registry) stalenessDeadline() time.Time {
	switch {
	case !r.rejoinedAt.IsZero():
		return r.rejoinedAt.Add(r.rejoinWindow())
	case !r.complete:
		return r.syncingSince.Add(r.syncWindow())
	}
	return time.Time{}
}
