package dispatch

import (
	"slices"
	"time"
)

// The end of the process. From a moment on nothing is held for long: the router may not live until a held request could
// go, and its client finds another router that does. A little later only what will end in time is taken on: whoever has
// begun to read an answer must have the whole of it.
const (
	shutdownQueueTimeout   = 150 * time.Millisecond // a request is held at most, once the process is about to end
	shutdownReserveDivisor = 2                      // of the time until the end, one part in so many is enough for what is taken on
	shutdownMargin         = 100 * time.Millisecond // before the end, the deadline of what may last as long as it likes
)

// shutdown are the times of Closing, all 0 while the process does not end.
type shutdown struct{ queueDeadline, selectiveFrom, deadline time.Duration }

func (d *Decider) startShutdown(input ShutdownStarted) {
	d.shutdown = shutdown{queueDeadline: max(input.QueueDeadline.Sub(d.startTime), d.now)}
	if input.SelectiveAdmissionFrom.IsZero() {
		return
	}
	d.shutdown.selectiveFrom = max(input.SelectiveAdmissionFrom.Sub(d.startTime), d.now)
	d.shutdown.deadline = input.ShutdownDeadline.Sub(d.startTime)
}

// finishesBeforeShutdown says whether a request that is taken on now can be expected to end well before the process does, by its own
// deadline or by what is known of calls like its own.
func (d *Decider) finishesBeforeShutdown(r *request) bool {
	c := &d.shutdown
	if c.selectiveFrom == 0 || d.now < c.selectiveFrom || r.deadline <= c.deadline-shutdownMargin {
		return true
	}
	longest, known := d.maxExpectedDuration(r)
	return known && longest <= (c.deadline-d.now)/shutdownReserveDivisor
}

// rejectForShutdown refuses a request that would not end in time.
func (d *Decider) rejectForShutdown(r *request) {
	d.counters.Rejected[ShuttingDown]++
	d.outputs = append(d.outputs, Reject{ID: r.ID, Reason: ShuttingDown, RetryAfter: d.retryAfter(r, 0)})
}

// capQueueDeadline bounds a time until which a request is to be held.
func (d *Decider) capQueueDeadline(until time.Duration) time.Duration {
	if d.shutdown.queueDeadline > 0 {
		return min(until, d.shutdown.queueDeadline)
	}
	return until
}

// shutdownQueueDeadline is until when the request is held while the process ends.
func (d *Decider) shutdownQueueDeadline(r *request) time.Duration {
	return max(d.shutdown.queueDeadline, r.arrived+shutdownQueueTimeout)
}

// flushQueuesAtShutdown refuses what was held for long, once the time has come.
func (d *Decider) flushQueuesAtShutdown() {
	switch {
	case d.shutdown.queueDeadline == 0:
		return
	case d.now < d.shutdown.queueDeadline:
		d.wakeBy(d.shutdown.queueDeadline)
		return
	}
	for _, e := range slices.Clone(d.schedule.Active) {
		d.rejectOverdue(e.queue)
	}
	for _, g := range slices.Clone(d.unassignedGroups) {
		d.rejectOverdue(g.unassigned)
	}
}

// rejectOverdue refuses those whose time is over. A stream that broke off midway is worth a wait.
func (d *Decider) rejectOverdue(held []*request) {
	for _, r := range slices.Clone(held) {
		switch {
		case r.answerStarted:
		case d.now >= d.shutdownQueueDeadline(r):
			d.reject(r, ShuttingDown, d.retryAfter(r, 0))
		default:
			d.wakeBy(d.shutdownQueueDeadline(r))
		}
	}
}
