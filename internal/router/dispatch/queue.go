package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Queues: each endpoint has a queue, which is a flow of the ASFQ scheduler, ordered by rank and arrival. Requests for
// a model that no endpoint has are unassigned and wait in their model's group.

const (
	monitorTolerance       = 2.0                     // calls by which a flow may exceed its share before ASFQ penalizes it
	queueTargetFraction    = 0.22                    // fraction of the latency target that a request stays queued: a quarter, less the answer's network time
	resumeQueueTimeout     = 1500 * time.Millisecond // for a stream that broke off and waits for another endpoint
	minQueueTime           = 5 * time.Millisecond    // minimum time that a new request may stay queued
	oldestTurnInterval     = 4                       // one in this many turns of a queue goes to the request that arrived first
	recheckInterval        = 20 * time.Millisecond   // after which a request that can't be sent is checked again
	ranksPerTenantPriority = 10                      // number of route priorities that are distinguished within a tenant priority
)

// maxQueueScan is how many requests at the front of a queue are examined per turn.
const maxQueueScan = 4

// initialQueueDeadline returns the time until which a new request may stay queued.
func (r *request) initialQueueDeadline() time.Duration {
	wait := time.Duration(queueTargetFraction * float64(r.latencyTarget-r.arrived))
	wait = min(wait, (r.deadline-r.arrived)/2)
	return r.arrived + max(wait, minQueueTime)
}

// retryQueueDeadline returns the time until which a request that was sent before may stay queued. A stream that broke
// off may wait as long as its client does; a request that can't meet its latency target any more may not wait at all.
func (d *Decider) retryQueueDeadline(r *request) time.Duration {
	if r.answerStarted {
		return min(d.now+resumeQueueTimeout, r.deadline)
	}
	remaining := r.fullValueDeadline() - d.now
	return d.now + max(time.Duration(queueTargetFraction*float64(remaining)), 0)
}

// assign puts the request into the queue of the best endpoint, or among the unassigned requests.
func (d *Decider) assign(r *request) {
	res, status := d.choose(r)
	if status == noCandidate && d.assumeLoaded(r) {
		res, status = d.choose(r)
	}
	r.chosenAtVersion = r.group.version
	if status == noCandidate {
		d.enqueueUnassigned(r)
		return
	}
	d.enqueue(r, res.endpoint)
}

// enqueue puts the request into an endpoint's queue.
func (d *Decider) enqueue(r *request, e *endpoint) {
	r.endpoint = e
	r.stage = stageQueued
	d.insertQueued(e, r)
	d.schedule.AddTurn(e, d.schedule.Cost(e), d.now)
	r.target.queued++
}

// insertQueued inserts the request into the endpoint's queue. Requests that can meet their latency target come first,
// then the order is by rank, arrival and ID.
func (d *Decider) insertQueued(e *endpoint, r *request) {
	index, _ := slices.BinarySearchFunc(e.queue, r, func(a, b *request) int {
		if a.pastTarget != b.pastTarget {
			if a.pastTarget {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.arrived, b.arrived), cmp.Compare(a.ID, b.ID))
	})
	e.queue = slices.Insert(e.queue, index, r)
}

// enqueueUnassigned queues a request whose model no endpoint has.
func (d *Decider) enqueueUnassigned(r *request) {
	g := r.group
	r.endpoint = nil
	r.stage = stageQueued
	r.waitedForLoad = true
	if len(g.unassigned) == 0 {
		d.unassignedGroups = append(d.unassignedGroups, g)
	}
	g.unassigned = append(g.unassigned, r)
	r.target.queued++
	d.reportModelShortage(r.target)
	if readyAt, known := g.nextLoadReadyAt(r.Adapter, d.now); known && readyAt < r.queueDeadline {
		d.timers.add(max(readyAt, d.now+minQueueTime), r)
	}
}

// dequeue removes a request from its endpoint's queue, or from the unassigned requests.
func (d *Decider) dequeue(r *request) {
	if r.isDequeued() {
		return
	}
	r.target.queued--
	d.recordDemandChange()
	if r.endpoint != nil {
		r.endpoint.queue = remove(r.endpoint.queue, r)
		d.schedule.RemoveLastTurn(r.endpoint)
		r.endpoint = nil
		return
	}
	r.group.unassigned = remove(r.group.unassigned, r)
	if len(r.group.unassigned) == 0 {
		d.unassignedGroups = remove(d.unassignedGroups, r.group)
	}
}

// isDequeued reports whether the request is in no queue.
func (r *request) isDequeued() bool {
	return r.endpoint == nil && !slices.Contains(r.group.unassigned, r)
}

// reassignQueued assigns all requests in an endpoint's queue again.
func (d *Decider) reassignQueued(e *endpoint) {
	if len(e.queue) == 0 {
		return
	}
	queued := slices.Clone(e.queue)
	for _, r := range queued {
		d.dequeue(r)
		d.assign(r)
	}
}

// reassignUnassigned assigns unassigned requests again if their group has changed.
func (d *Decider) reassignUnassigned() {
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

// rebalanceQueues moves requests that can't be sent from their queue, but could be sent from another one.
func (d *Decider) rebalanceQueues() {
	for i := 0; i < len(d.schedule.ActiveFlows); i++ {
		e := d.schedule.ActiveFlows[i]
		for j := 0; j < min(len(e.queue), maxQueueScan); j++ {
			r := e.queue[j]
			if r.chosenAtVersion == r.group.version || d.canDispatchNow(e, r) {
				continue
			}
			r.chosenAtVersion = r.group.version
			if res, status := d.choose(r); res != nil && res.endpoint != e && status == availableNow {
				d.counters.Requeued++
				d.dequeue(r)
				d.enqueue(r, res.endpoint)
				j--
			}
		}
	}
}
