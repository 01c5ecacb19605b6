package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Admission: a request is held in the flow of its chosen endpoint, and the eligible head with the lowest
// start tag plus delta leaves while slots are free. Guards only say which heads are eligible. What can't go
// now is held for a quarter of its objective at most, then sent as a late one or refused.
const (
	monitorTolerance        = 2.0                     // calls
	queueTargetFraction     = 0.22                    // of the objective, that a request is held: a quarter, less the way back
	resumeQueueTimeout      = 1500 * time.Millisecond // that a stream which broke off waits for an endpoint
	minQueueTime            = 5 * time.Millisecond
	maxRejections           = 2 // endpoints that may turn a request away and be followed by another
	oldestTurnInterval      = 4 // each so many turns of a flow goes to the request that waits longest
	recheckInterval         = 20 * time.Millisecond
	minClientIdleTimeout    = 2 * time.Second // clients give up a stream after a silence of so long at least
	clientIdleTimeoutFactor = 4               // or of so many times its objective
	usefulFraction          = 0.8
	normalPriority          = 5 // Priority header: endpoints go by it strictly, which would starve the less urgent
	underservedPriority     = 4 // of those that are served less often than they should be
	pastTargetPriority      = 9 // of those that will be late
	ranksPerTenantPriority  = 10
	retryAfterDivisor       = 3 // clients honour Retry-After up to this part of what is left
	minRetryAfter           = 50 * time.Millisecond
	defaultModelLoadTime    = 3 * time.Second // of a model, where nothing is configured
	defaultAdapterLoadTime  = 300 * time.Millisecond
	loadOrderDelay          = 500 * time.Millisecond // until an order for a model is on its way
)

// rank is the request's place in a flow's order: its tenant's priority before its route's.
func rank(r *Request) int {
	return max(r.TenantPriority, 0)*ranksPerTenantPriority + min(max(r.RoutePriority, 0), ranksPerTenantPriority-1)
}

// initialQueueDeadline is until when a new request is held.
func (r *request) initialQueueDeadline() time.Duration {
	held := time.Duration(queueTargetFraction * float64(r.latencyTarget-r.arrived))
	held = min(held, (r.deadline-r.arrived)/2)
	return r.arrived + max(held, minQueueTime)
}

// retryQueueDeadline is until when a request is held that was out before: a stream that broke off as long as its
// client bears it, what can't be in time any more not at all.
func (d *Decider) retryQueueDeadline(r *request) time.Duration {
	if r.answerStarted {
		return min(d.now+resumeQueueTimeout, r.deadline)
	}
	left := r.fullValueDeadline() - d.now
	return d.now + max(time.Duration(queueTargetFraction*float64(left)), 0)
}

// assign puts the request into the flow of the best endpoint, or among the homeless.
func (d *Decider) assign(r *request) {
	h, how := d.choose(r)
	if how == noCandidate && d.assumeLoaded(r) {
		h, how = d.choose(r)
	}
	r.chosenAtVersion = r.group.version
	if how == noCandidate {
		d.enqueueUnassigned(r)
		return
	}
	d.enqueue(r, h.endpoint)
}

func (d *Decider) enqueue(r *request, e *endpoint) {
	r.endpoint = e
	r.stage = stageQueued
	d.insertQueued(e, r)
	d.schedule.Hold(e, d.schedule.Cost(e), d.now)
	r.target.queued++
}

// insertQueued keeps the flow's requests in order of rank, then of arrival.
func (d *Decider) insertQueued(e *endpoint, r *request) {
	at, _ := slices.BinarySearchFunc(e.queue, r, func(a, b *request) int {
		if a.pastTarget != b.pastTarget {
			if a.pastTarget {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.arrived, b.arrived), cmp.Compare(a.ID, b.ID))
	})
	e.queue = slices.Insert(e.queue, at, r)
}

// enqueueUnassigned keeps a request for whose model there is no endpoint.
func (d *Decider) enqueueUnassigned(r *request) {
	g := r.group
	r.endpoint = nil
	r.stage = stageQueued
	if len(g.unassigned) == 0 {
		d.unassignedGroups = append(d.unassignedGroups, g)
	}
	g.unassigned = append(g.unassigned, r)
	r.target.queued++
	d.reportModelShortage(r.target)
	if at, known := g.nextLoadReadyAt(r.Adapter, d.now); known && at < r.queueDeadline {
		d.timers.add(max(at, d.now+minQueueTime), r)
	}
}

// dequeue takes a held request out of its flow, or from the homeless.
func (d *Decider) dequeue(r *request) {
	if r.isDequeued() {
		return
	}
	r.target.queued--
	d.markDemandChanged()
	if r.endpoint != nil {
		r.endpoint.queue = remove(r.endpoint.queue, r)
		d.schedule.Unhold(r.endpoint)
		r.endpoint = nil
		return
	}
	r.group.unassigned = remove(r.group.unassigned, r)
	if len(r.group.unassigned) == 0 {
		d.unassignedGroups = remove(d.unassignedGroups, r.group)
	}
}

// lifted: it is held nowhere.
func (r *request) isDequeued() bool {
	return r.endpoint == nil && !slices.Contains(r.group.unassigned, r)
}

// reassignQueued places anew all that is held for the endpoint.
func (d *Decider) reassignQueued(e *endpoint) {
	if len(e.queue) == 0 {
		return
	}
	moved := slices.Clone(e.queue)
	for _, r := range moved {
		d.dequeue(r)
		d.assign(r)
	}
}

// dispatch lets go what may go.
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

// retryUnassigned tries the homeless again when something has changed.
func (d *Decider) retryUnassigned() {
	for _, g := range slices.Clone(d.unassignedGroups) {
		if g.unassigned[0].chosenAtVersion == g.version {
			continue
		}
		for _, r := range slices.Clone(g.unassigned) {
			d.dequeue(r)
			d.assign(r)
		}
	}
}

// offerFlow says whether the head of the flow may leave. One that may not, but would elsewhere, moves there.
func (d *Decider) offerFlow(e *endpoint) (float64, bool) {
	return 0, d.nextRequest(e) != nil
}

// nextRequest is the request that takes the flow's next turn: the most urgent, each fourth time the one that waits
// longest; nil if it may not leave.
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

// mostLooked bounds how many of a flow's requests are looked at for one turn.
const maxQueueScan = 4

func oldest(held []*request) *request {
	best := held[0]
	for _, r := range held {
		if r.arrived < best.arrived {
			best = r
		}
	}
	return best
}

// mayDispatch says whether the request may be sent to the endpoint now.
func (d *Decider) mayDispatch(e *endpoint, r *request) bool {
	h := e.residencyOf(r.Model)
	if h == nil || h.notBefore > d.now || !h.serves(r.Adapter) || h.awaitsVerification(r.Adapter) || e.isUnloading(r.Model, r.Adapter) {
		return false
	}
	if r.pastTarget || d.underutilized(e) {
		return true
	}
	ms, _ := d.predict(h, r)
	return d.withinTarget(r, ms)
}

// send lets a request go.
func (d *Decider) send(e *endpoint, r *request) {
	h := e.residencyOf(r.Model)
	ms, kept := d.predict(h, r)
	e.queue = remove(e.queue, r)
	e.dispatched++
	d.schedule.Sent(e, d.now)
	r.target.queued--
	r.target.inFlight++
	d.countSend(r)
	d.spendRetry(r)
	r.deliveries++
	r.stage = stageInFlight
	r.sentAt = d.now
	r.firstByteSeen = false
	r.abandoned = false
	r.responseTimeouts = 0
	d.recordPrediction(e, h, r, ms, kept)
	e.inFlight = append(e.inFlight, r)
	e.openConnections = max(e.openConnections, len(e.inFlight))
	e.lastUsedAt = d.now
	e.service.inFlight++
	if e.health.maxProbes > 0 {
		r.probe = true
		e.health.probes++
	}
	if h.isUnverified(r.Adapter) {
		h.verifications++
		r.verifying = h
	}
	d.recordPrefix(h, r)
	d.timers.add(d.now+r.responseTimeout(), r)
	d.outputs = append(d.outputs, Send{
		ID: r.ID, Endpoint: e.id, Address: e.address, Priority: r.priorityHeader(),
		MaxConnections: d.maxConnections(e.service),
	})
}

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

// priorityHeader is the request's Priority header.
func (r *request) priorityHeader() int {
	fairness := &r.group.service.fairness
	switch {
	case r.pastTarget && fairness.starved(r):
		return normalPriority
	case r.pastTarget:
		return pastTargetPriority
	case fairness.underserved(r):
		return underservedPriority
	}
	return normalPriority
}

// rebalanceQueues moves requests that may not leave where they are held, but could elsewhere.
func (d *Decider) rebalanceQueues() {
	for i := 0; i < len(d.schedule.Active); i++ {
		e := d.schedule.Active[i]
		for j := 0; j < min(len(e.queue), maxQueueScan); j++ {
			r := e.queue[j]
			if r.chosenAtVersion == r.group.version || d.mayDispatchNow(e, r) {
				continue
			}
			r.chosenAtVersion = r.group.version
			if h, how := d.choose(r); h != nil && h.endpoint != e && how == availableNow {
				d.counters.Requeued++
				d.dequeue(r)
				d.enqueue(r, h.endpoint)
				j--
			}
		}
	}
}

func (d *Decider) mayDispatchNow(e *endpoint, r *request) bool {
	_, ok := d.usable(e)
	return ok && len(e.inFlight) < d.maxConnections(e.service) && d.mayDispatch(e, r)
}
