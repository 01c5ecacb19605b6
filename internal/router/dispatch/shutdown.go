package dispatch

import (
	"slices"
	"time"
)

// Shutdown of the process. After the queue deadline no request stays queued for long: the process may end before the
// request could be sent, and its client can retry at another router. A little later, only requests that will finish
// in time are admitted: a client that has begun to read an answer must get all of it.

const (
	shutdownQueueTimeout   = 150 * time.Millisecond // maximum time that a request stays queued after the queue deadline
	shutdownReserveDivisor = 2                      // a new request must be expected to finish in the remaining time divided by this
	shutdownMargin         = 100 * time.Millisecond // a request whose deadline is at least so long before the end is always admitted
)

// shutdown holds the times of ShutdownStarted. They are 0 before it.
type shutdown struct{ queueDeadline, selectiveFrom, deadline time.Duration }

// startShutdown stores the times of the shutdown.
func (d *Decider) startShutdown(input ShutdownStarted) {
	d.shutdown = shutdown{queueDeadline: max(input.QueueDeadline.Sub(d.startTime), d.now)}
	if input.SelectiveAdmissionFrom.IsZero() {
		return
	}
	d.shutdown.selectiveFrom = max(input.SelectiveAdmissionFrom.Sub(d.startTime), d.now)
	d.shutdown.deadline = input.ShutdownDeadline.Sub(d.startTime)
}

// finishesBeforeShutdown reports whether a request admitted now is expected to finish well before the process ends,
// by its own deadline or by the durations of calls of its kind.
func (d *Decider) finishesBeforeShutdown(r *request) bool {
	times := &d.shutdown
	if times.selectiveFrom == 0 || d.now < times.selectiveFrom || r.deadline <= times.deadline-shutdownMargin {
		return true
	}
	longest, known := d.maxExpectedDuration(r)
	return known && longest <= (times.deadline-d.now)/shutdownReserveDivisor
}

// rejectForShutdown rejects a request that would not finish in time.
func (d *Decider) rejectForShutdown(r *request) {
	d.counters.Rejected[ShuttingDown]++
	d.outputs = append(d.outputs, Reject{ID: r.ID, Reason: ShuttingDown, RetryAfter: d.retryAfter(r, 0)})
}

// capQueueDeadline limits a queue deadline to that of the shutdown.
func (d *Decider) capQueueDeadline(deadline time.Duration) time.Duration {
	if d.shutdown.queueDeadline > 0 {
		return min(deadline, d.shutdown.queueDeadline)
	}
	return deadline
}

// shutdownQueueDeadline returns the time until which the request may stay queued during the shutdown.
func (d *Decider) shutdownQueueDeadline(r *request) time.Duration {
	return max(d.shutdown.queueDeadline, r.arrived+shutdownQueueTimeout)
}

// flushQueuesAtShutdown rejects the requests that have been queued too long, once the shutdown's queue deadline has
// passed.
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

// rejectOverdue rejects the requests of a queue whose shutdown queue deadline has passed. A stream that broke off
// midway stays queued.
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
