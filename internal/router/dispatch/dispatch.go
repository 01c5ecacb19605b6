package dispatch

import "time"

// Dispatch: which request leaves an endpoint's queue next, and its sending.

const (
	normalPriority      = 5 // of the header Priority: endpoints obey it strictly, which would starve the less urgent
	underservedPriority = 4 // of requests that are served less often than they should be
	pastTargetPriority  = 9 // of requests that will miss their target
)

// dispatch sends what may be sent, in the order of the ASFQ scheduler.
func (d *Decider) dispatch() {
	d.retryUnassigned()
	d.rebalanceQueues()
	for {
		e, found := d.schedule.Next(d.offerFlow)
		if !found {
			return
		}
		r := d.nextRequest(e)
		d.send(e, r)
	}
}

// offerFlow tells the scheduler whether some request of the queue may leave now.
func (d *Decider) offerFlow(e *endpoint) (float64, bool) {
	return 0, d.nextRequest(e) != nil
}

// nextRequest returns the request that takes the queue's next turn: the most urgent, each fourth time the one that waits longest; nil if
// none may leave.
func (d *Decider) nextRequest(e *endpoint) *request {
	if !e.acceptsRequests() {
		return nil
	}
	if from, ok := d.usable(e); !ok {
		if from > 0 {
			d.wakeBy(from)
		}
		return nil
	}
	if len(e.inFlight) >= d.maxConnections(e.service) {
		return nil
	}
	if e.dispatched%oldestTurnInterval == oldestTurnInterval-1 {
		if r := oldest(e.queue); d.mayDispatch(e, r) {
			return r
		}
	}
	for i, r := range e.queue {
		if i == maxQueueScan {
			break
		}
		if d.mayDispatch(e, r) {
			return r
		}
	}
	d.wakeBy(d.now + recheckInterval)
	return nil
}

// oldest returns the request that arrived first.
func oldest(queue []*request) *request {
	best := queue[0]
	for _, r := range queue {
		if r.arrived < best.arrived {
			best = r
		}
	}
	return best
}

// mayDispatch reports whether the request may be sent to the endpoint now.
func (d *Decider) mayDispatch(e *endpoint, r *request) bool {
	res := e.residencyOf(r.Model)
	if res == nil || res.notBefore > d.now || !res.serves(r.Adapter) || res.awaitsVerification(r.Adapter) || e.isUnloading(r.Model, r.Adapter) {
		return false
	}
	if r.pastTarget || d.underutilized(e) {
		return true
	}
	ms, _ := d.predict(res, r)
	return d.meetsTarget(r, ms)
}

// mayDispatchNow is mayDispatch with the checks of the endpoint's health and connections.
func (d *Decider) mayDispatchNow(e *endpoint, r *request) bool {
	_, ok := d.usable(e)
	return ok && len(e.inFlight) < d.maxConnections(e.service) && d.mayDispatch(e, r)
}

// send sends a request to the endpoint in whose queue it is.
func (d *Decider) send(e *endpoint, r *request) {
	res := e.residencyOf(r.Model)
	ms, cached := d.predict(res, r)
	e.queue = remove(e.queue, r)
	e.dispatched++
	d.schedule.StartCall(e, d.now)
	r.target.queued--
	r.target.inFlight++
	d.countSend(r)
	d.spendRetry(r)
	r.deliveries++
	r.beginAttempt(d.now)
	d.recordPrediction(e, res, r, ms, cached)
	e.inFlight = append(e.inFlight, r)
	e.openConnections = max(e.openConnections, len(e.inFlight))
	e.lastUsedAt = d.now
	e.service.inFlight++
	if e.health.maxProbes > 0 {
		r.probe = true
		e.health.probes++
	}
	if res.isUnverified(r.Adapter) {
		res.verifications++
		r.verifying = res
	}
	d.recordPrefix(res, r)
	d.timers.add(d.now+r.responseTimeout(), r)
	d.outputs = append(d.outputs, Send{
		ID: r.ID, Endpoint: e.id, Address: e.address, Priority: d.priorityHeader(r),
		MaxConnections: d.maxConnections(e.service),
	})
}

// beginAttempt resets the state of the request's last attempt.
func (r *request) beginAttempt(now time.Duration) {
	r.stage = stageInFlight
	r.sentAt = now
	r.firstByteSeen = false
	r.abandoned = false
	r.responseTimeouts = 0
	r.deferrals = 0
}

// countSend counts an attempt.
func (d *Decider) countSend(r *request) {
	d.counters.Sent++
	if r.pastTarget {
		d.counters.SentPastTarget++
	} else {
		r.group.lastOnTargetSendAt = d.now
	}
	if r.deliveries > 0 {
		d.counters.Retries++
	}
}

// priorityHeader returns the value of the request's header Priority.
func (d *Decider) priorityHeader(r *request) int {
	fairness := &r.group.service.fairness
	fair := d.uses(FairnessPriority)
	switch {
	case r.pastTarget && fair && fairness.starved(r):
		return normalPriority
	case r.pastTarget:
		return pastTargetPriority
	case fair && fairness.underserved(r):
		return underservedPriority
	}
	return normalPriority
}
