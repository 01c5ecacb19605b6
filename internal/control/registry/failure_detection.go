package registry

import "time"

// tick does once a second what needs no better time.
func (r *Registry) tick(now time.Time) {
	r.nextTick = now.Add(tickInterval)
	r.lastTick = now
	r.detectFailures(now)
	r.expireLoading(now)
	r.resendLoading(now)
	r.routers.refresh(now, r.peers)
	r.resendUnconfirmed(now)
	r.sendDigests(now)
}

func (r *Registry) unresponsiveTimeout() time.Duration {
	return maxMissedHeartbeats*r.config.Heartbeat + heartbeatMargin
}

// detectFailures marks endpoints whose heartbeats stopped, and later gives them up.
func (r *Registry) detectFailures(now time.Time) {
	for _, e := range r.entries {
		switch {
		case e.tombstone:
			r.expireTombstone(now, e)
		case now.Sub(latest(e.lastHeartbeat, e.lastReached)) > evictionTimeout:
			r.evict(now, e)
		case !e.unresponsive && now.Sub(e.lastHeartbeat) > r.unresponsiveTimeout():
			e.unresponsive = true
			r.queueUpdate(e, false)
		}
	}
}

func (r *Registry) expireTombstone(now time.Time, e *entry) {
	keep := evictedTombstoneTTL
	if e.deregistered {
		keep = deregisteredTombstoneTTL
	}
	if now.Sub(e.tombstoneSince) > keep {
		r.remove(e)
	}
}

// refreshLiveness takes in that an endpoint was heard, without news of its contents.
func (r *Registry) refreshLiveness(now time.Time, e *entry) {
	if e.tombstone {
		return // its contents may be old: a record brings it back
	}
	e.lastHeartbeat = now
	if e.unresponsive {
		e.unresponsive = false
		r.queueUpdate(e, false)
	}
}
