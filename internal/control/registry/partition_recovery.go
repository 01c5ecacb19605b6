package registry

import "time"

// An instance that was without contact with a majority may not know of endpoints that have left meanwhile. The others
// keep hints of what it lacks, but those that restart forget them, and all that they knew. So an instance that has
// contact again takes its table for stale until every living endpoint has called some instance: until then it shows no
// endpoint that is silent to routers and tells the others only of those that it has heard of since; then it gives up
// the rest.

// handleQuorumContact notes the newest contact with a majority. There is none yet in a new epoch: what was proved in one before
// holds on.
func (r *Registry) handleQuorumContact(now time.Time, in QuorumContact) {
	former := latest(r.quorumContactAt, r.started)
	wasIsolated := r.quorumLost(now)
	if !in.ConfirmedAt.IsZero() {
		r.quorumContactAt = in.ConfirmedAt
	}
	if now.Sub(former) <= QuorumContactTTL || !wasIsolated || r.quorumLost(now) {
		return
	}
	r.rejoinedAt = now
	if now.Sub(former) > r.unresponsiveTimeout() {
		r.complete, r.syncingSince = false, now
	}
}

// possiblyStale says whether endpoints may have left without this instance's knowledge.
func (r *Registry) possiblyStale(now time.Time) bool {
	return r.quorumLost(now) || !r.rejoinedAt.IsZero()
}

// hiddenWhileStale says whether an endpoint has probably left without this instance's knowledge.
func (r *Registry) hiddenWhileStale(now time.Time, e *entry) bool {
	return !e.tombstone && e.unresponsive && r.possiblyStale(now)
}

// withheldFromPeers says whether the other instances are not to be told of an endpoint: if it lives, it calls them.
func (r *Registry) withheldFromPeers(now time.Time, e *entry) bool {
	return r.hiddenWhileStale(now, e) || r.unheardSinceRejoin(e) || r.quorumLost(now) && r.missedHeartbeat(now, e)
}

// unheardSinceRejoin says whether nobody has heard an endpoint since this instance has contact again.
func (r *Registry) unheardSinceRejoin(e *entry) bool {
	return !e.tombstone && latest(e.lastHeartbeat, e.lastReached).Before(r.rejoinedAt)
}

// missedHeartbeat says whether an endpoint has missed a heartbeat. Without contact it may have called elsewhere, to say that it
// ends; those who heard that may have restarted since.
func (r *Registry) missedHeartbeat(now time.Time, e *entry) bool {
	return !e.tombstone && now.Sub(latest(e.lastHeartbeat, e.lastReached)) > r.config.Heartbeat+heartbeatMargin
}

// rejoinWindow is how long it takes until an instance with contact has heard of every living endpoint.
func (r *Registry) rejoinWindow() time.Duration {
	return r.config.Heartbeat + tickInterval + heartbeatMargin
}

// syncWindow is how long it takes until every living endpoint has called some instance.
func (r *Registry) syncWindow() time.Duration {
	return syncHeartbeats*r.config.Heartbeat + heartbeatMargin
}

// updateStaleness ends the time in which the table may lack endpoints, and that in which it may have some that left.
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
	for _, e := range r.entries {
		if r.unheardSinceRejoin(e) {
			r.evict(now, e)
		}
	}
}

// publishHidden has routers told of the silent endpoints that were kept back and are there after all.
func (r *Registry) publishHidden(now time.Time) {
	maybeStale := r.possiblyStale(now)
	if r.wasPossiblyStale && !maybeStale {
		for _, e := range r.entries {
			if !e.tombstone && e.unresponsive {
				r.queueUpdate(e, false)
			}
		}
	}
	r.wasPossiblyStale = maybeStale
}

// stalenessDeadline is when judgeStale has something to judge; zero: nothing.
func (r *Registry) stalenessDeadline() time.Time {
	switch {
	case !r.rejoinedAt.IsZero():
		return r.rejoinedAt.Add(r.rejoinWindow())
	case !r.complete:
		return r.syncingSince.Add(r.syncWindow())
	}
	return time.Time{}
}
