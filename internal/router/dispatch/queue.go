package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Queues: each endpoint has one, a flow of the ASFQ scheduler, ordered by rank and arrival; requests for a model that no endpoint has
// are unassigned and wait in their group.

const (
	monitorTolerance       = 2.0                     // calls by which a flow may exceed its share before ASFQ penalizes it
	queueTargetFraction    = 0.22                    // of the latency target that a request stays queued: a quarter, less the way back
	resumeQueueTimeout     = 1500 * time.Millisecond // of a stream that broke off and waits for another endpoint
	minQueueTime           = 5 * time.Millisecond
	oldestTurnInterval     = 4 // each so many turns of a queue go to the request that waits longest
	recheckInterval        = 20 * time.Millisecond
	ranksPerTenantPriority = 10
)

// maxQueueScan bounds how many requests of a queue are examined for one turn.
const maxQueueScan = 4

// initialQueueDeadline returns until when a new request stays queued.
func (r *request) initialQueueDeadline() time.Duration {
	wait := time.Duration(queueTargetFraction * float64(r.latencyTarget-r.arrived))
	wait = min(wait, (r.deadline-r.arrived)/2)
	return r.arrived + max(wait, minQueueTime)
}

// retryQueueDeadline returns until when a request stays queued that was sent before: a stream that broke off as long as its client
// waits, what can't meet its target any more not at all.
func (d *Decider) retryQueueDeadline(r *request) time.Duration {
	if r.answerStarted {
		return min(d.now+resumeQueueTimeout, r.deadline)
	}
	left := r.fullValueDeadline() - d.now
	return d.now + max(time.Duration(queueTargetFraction*float64(left)), 0)
}

// assign puts the request into the queue of the best endpoint, or among the unassigned.
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

// insertQueued inserts the request into the endpoint's queue: first those that can meet their target, then by rank, arrival and ID.
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

// enqueueUnassigned queues a request for whose model there is no endpoint.
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
	if at, known := g.nextLoadReadyAt(r.Adapter, d.now); known && at < r.queueDeadline {
		d.timers.add(max(at, d.now+minQueueTime), r)
	}
}

// dequeue takes a request out of its endpoint's queue, or out of the unassigned ones.
func (d *Decider) dequeue(r *request) {
	if r.isDequeued() {
		return
	}
	r.target.queued--
	d.noteDemandChanged()
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

// reassignQueued assigns all requests of an endpoint's queue again.
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

// retryUnassigned assigns unassigned requests again if their group has changed.
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

// rebalanceQueues moves requests that may not leave where they are queued but could leave elsewhere.
func (d *Decider) rebalanceQueues() {
	for i := 0; i < len(d.schedule.ActiveFlows); i++ {
		e := d.schedule.ActiveFlows[i]
		for j := 0; j < min(len(e.queue), maxQueueScan); j++ {
			r := e.queue[j]
			if r.chosenAtVersion == r.group.version || d.mayDispatchNow(e, r) {
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
