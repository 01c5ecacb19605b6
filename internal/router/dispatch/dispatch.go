package dispatch

import "time"

// Dispatch: selects the next request to send from the endpoints' queues, and sends it.

const (
	// Values of the Priority header. Endpoints obey the header strictly: a value for each rank would starve less
	// urgent requests.
	normalPriority      = 5 // of most requests
	underservedPriority = 4 // of requests whose rank is served less often than it should be
	pastTargetPriority  = 9 // of requests that will miss their latency target
)

// dispatch sends the requests that can be sent now, in the order of the ASFQ scheduler.
func (d *Decider) dispatch() {
	d.reassignUnassigned()
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

// offerFlow is the callback of the ASFQ scheduler's Next. It reports whether a request of the endpoint's queue can be
// sent now; the first result, which is added to the flow's start tag and penalty, is always 0.
func (d *Decider) offerFlow(e *endpoint) (float64, bool) {
	return 0, d.nextRequest(e) != nil
}

// nextRequest returns the request to send next from the endpoint's queue: the first of the queue that can be sent,
// but in every oldestTurnInterval-th turn the one that arrived first, if it can be sent. It returns nil if none can
// be sent.
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
		if r := oldestRequest(e.queue); d.canDispatch(e, r) {
			return r
		}
	}
	for i, r := range e.queue {
		if i == maxQueueScan {
			break
		}
		if d.canDispatch(e, r) {
			return r
		}
	}
	d.wakeBy(d.now + recheckInterval)
	return nil
}

// oldestRequest returns the request that arrived first.
func oldestRequest(queue []*request) *request {
	best := queue[0]
	for _, r := range queue {
		if r.arrived < best.arrived {
			best = r
		}
	}
	return best
}

// canDispatch reports whether the request can be sent to the endpoint now, by the endpoint's models and the predicted
// time.
func (d *Decider) canDispatch(e *endpoint, r *request) bool {
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

// canDispatchNow is canDispatch that also checks the endpoint's health and connections.
func (d *Decider) canDispatchNow(e *endpoint, r *request) bool {
	_, ok := d.usable(e)
	return ok && len(e.inFlight) < d.maxConnections(e.service) && d.canDispatch(e, r)
}

// send sends a request from the endpoint's queue to the endpoint.
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

// beginAttempt resets the state that belongs to one attempt.
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

// priorityHeader returns the value of the Priority header of the request.
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
