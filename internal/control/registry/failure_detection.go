package registry

import "time"

// unresponsiveTimeout is how long an endpoint may be without a heartbeat before it is unresponsive.
func (r *Registry) unresponsiveTimeout() time.Duration {
	return maxMissedHeartbeats*r.config.Heartbeat + heartbeatMargin
}

// detectFailures finds endpoints whose heartbeats stopped, and later evicts them. Routers still use an unresponsive
// endpoint whose calls succeed: it may only be partitioned from the control plane.
func (r *Registry) detectFailures(now time.Time) {
	for _, e := range r.table.byID {
		switch {
		case e.tombstone:
			r.expireTombstone(now, e)
		case now.Sub(e.lastSign()) > evictionTimeout:
			r.evict(now, e)
		case !e.unresponsive && now.Sub(e.lastHeartbeat) > r.unresponsiveTimeout():
			e.unresponsive = true
			r.queueUpdate(e, false)
		}
	}
}

// refreshLiveness takes in that some instance received a heartbeat, without its contents.
func (r *Registry) refreshLiveness(now time.Time, e *entry) {
	if e.tombstone {
		return // its contents may be outdated: a record brings it back
	}
	e.lastHeartbeat = now
	if e.unresponsive {
		e.unresponsive = false
		r.queueUpdate(e, false)
	}
}

// handleRouterReport weighs what a router's calls reveal of endpoints. A failed call evicts an endpoint only if its
// heartbeats stopped too and no router has reached it within routerSuccessTTL.
func (r *Registry) handleRouterReport(now time.Time, in RouterReport) {
	for _, id := range in.Reached {
		if e := r.table.byID[id]; e != nil && !e.tombstone {
			e.lastReached = now
		}
	}
	for _, id := range in.Unreachable {
		e := r.table.byID[id]
		if e == nil || e.tombstone || !e.unresponsive || now.Sub(e.lastReached) < routerSuccessTTL {
			continue
		}
		r.evict(now, e)
	}
}

// forgiveStall moves the endpoints' last heartbeats by the time for which this process did not run (a frozen or
// overloaded machine): heartbeats of that time wait in its queues, and their absence says nothing of the endpoints.
func (r *Registry) forgiveStall(now time.Time) {
	late := now.Sub(r.nextTick)
	if late < stallThreshold {
		return
	}
	for _, e := range r.table.byID {
		e.lastHeartbeat = e.lastHeartbeat.Add(late)
	}
}
