package dispatch

import (
	"slices"
	"time"
)

// Shutdown of the process. From a moment on nothing stays queued for long: the router may not live until a queued request could be sent,
// and its client finds another router that does. A little later only what will finish in time is admitted: a client that has begun to
// read an answer must get it completely.

const (
	shutdownQueueTimeout   = 150 * time.Millisecond // of a request, once the process is about to end
	shutdownReserveDivisor = 2                      // a new request must be expected to finish in the time left, divided by this
	shutdownMargin         = 100 * time.Millisecond // before the end, the deadline of requests of unknown duration
)

// shutdown holds the times of ShutdownStarted, all 0 before it.
type shutdown struct{ queueDeadline, selectiveFrom, deadline time.Duration }

// startShutdown begins the shutdown.
func (d *Decider) startShutdown(input ShutdownStarted) {
	d.shutdown = shutdown{queueDeadline: max(input.QueueDeadline.Sub(d.startTime), d.now)}
	if input.SelectiveAdmissionFrom.IsZero() {
		return
	}
	d.shutdown.selectiveFrom = max(input.SelectiveAdmissionFrom.Sub(d.startTime), d.now)
	d.shutdown.deadline = input.ShutdownDeadline.Sub(d.startTime)
}

// finishesBeforeShutdown reports whether a request admitted now is expected to finish well before the process ends, by its own deadline
// or by what is known of calls of its kind.
func (d *Decider) finishesBeforeShutdown(r *request) bool {
	c := &d.shutdown
	if c.selectiveFrom == 0 || d.now < c.selectiveFrom || r.deadline <= c.deadline-shutdownMargin {
		return true
	}
	longest, known := d.maxExpectedDuration(r)
	return known && longest <= (c.deadline-d.now)/shutdownReserveDivisor
}

// rejectForShutdown rejects a request that would not finish in time.
func (d *Decider) rejectForShutdown(r *request) {
	d.counters.Rejected[ShuttingDown]++
	d.outputs = append(d.outputs, Reject{ID: r.ID, Reason: ShuttingDown, RetryAfter: d.retryAfter(r, 0)})
}

// capQueueDeadline limits a queue deadline to that of the shutdown.
func (d *Decider) capQueueDeadline(until time.Duration) time.Duration {
	if d.shutdown.queueDeadline > 0 {
		return min(until, d.shutdown.queueDeadline)
	}
	return until
}

// shutdownQueueDeadline returns until when the request stays queued during the shutdown.
func (d *Decider) shutdownQueueDeadline(r *request) time.Duration {
	return max(d.shutdown.queueDeadline, r.arrived+shutdownQueueTimeout)
}

// flushQueuesAtShutdown rejects what was queued for long, once the shutdown's queue deadline has passed.
func (d *Decider) flushQueuesAtShutdown() {
	switch {
	case d.shutdown.queueDeadline == 0:
		return
	case d.now < d.shutdown.queueDeadline:
		d.wakeBy(d.shutdown.queueDeadline)
		return
	}
	for _, e := range slices.Clone(d.schedule.ActiveFlows) {
		d.rejectOverdue(e.queue)
	}
	for _, g := range slices.Clone(d.unassignedGroups) {
		d.rejectOverdue(g.unassigned)
	}
}

// rejectOverdue rejects those whose queue deadline has passed. A stream that broke off midway goes on waiting.
func (d *Decider) rejectOverdue(queue []*request) {
	for _, r := range slices.Clone(queue) {
		switch {
		case r.answerStarted:
		case d.now >= d.shutdownQueueDeadline(r):
			d.reject(r, ShuttingDown, d.retryAfter(r, 0))
		default:
			d.wakeBy(d.shutdownQueueDeadline(r))
		}
	}
}
