package dispatch

import (
	"slices"
	"time"
)

// The end of the process. From a moment on nothing is held for long: the router may not live until a held request could
// go, and its client finds another router that does. A little later only what will end in time is taken on: whoever has
// begun to read an answer must have the whole of it.
const (
	endHold    = 150 * time.Millisecond // a request is held at most, once the process is about to end
	endReserve = 2                      // of the time until the end, one part in so many is enough for what is taken on
	endMargin  = 100 * time.Millisecond // before the end, the deadline of what may last as long as it likes
)

// closing are the times of Closing, all 0 while the process does not end.
type closing struct{ holdUntil, chooseFrom, endBy time.Duration }

func (d *Decider) beginClosing(input ShutdownStarted) {
	d.closing = closing{holdUntil: max(input.QueueDeadline.Sub(d.base), d.now)}
	if input.SelectiveAdmissionFrom.IsZero() {
		return
	}
	d.closing.chooseFrom = max(input.SelectiveAdmissionFrom.Sub(d.base), d.now)
	d.closing.endBy = input.ShutdownDeadline.Sub(d.base)
}

// endsInTime says whether a request that is taken on now can be expected to end well before the process does, by its own
// deadline or by what is known of calls like its own.
func (d *Decider) endsInTime(r *request) bool {
	c := &d.closing
	if c.chooseFrom == 0 || d.now < c.chooseFrom || r.deadline <= c.endBy-endMargin {
		return true
	}
	longest, known := d.longest(r)
	return known && longest <= (c.endBy-d.now)/endReserve
}

// turnAway refuses a request that would not end in time.
func (d *Decider) turnAway(r *request) {
	d.counters.Rejected[ShuttingDown]++
	d.out = append(d.out, Reject{ID: r.ID, Reason: ShuttingDown, RetryAfter: d.retryAfter(r, 0)})
}

// heldAtMost bounds a time until which a request is to be held.
func (d *Decider) heldAtMost(until time.Duration) time.Duration {
	if d.closing.holdUntil > 0 {
		return min(until, d.closing.holdUntil)
	}
	return until
}

// heldTo is until when the request is held while the process ends.
func (d *Decider) heldTo(r *request) time.Duration {
	return max(d.closing.holdUntil, r.arrived+endHold)
}

// close refuses what was held for long, once the time has come.
func (d *Decider) close() {
	switch {
	case d.closing.holdUntil == 0:
		return
	case d.now < d.closing.holdUntil:
		d.wakeBy(d.closing.holdUntil)
		return
	}
	for _, e := range slices.Clone(d.schedule.Active) {
		d.dismiss(e.held)
	}
	for _, g := range slices.Clone(d.homeless) {
		d.dismiss(g.homeless)
	}
}

// dismiss refuses those whose time is over. A stream that broke off midway is worth a wait.
func (d *Decider) dismiss(held []*request) {
	for _, r := range slices.Clone(held) {
		switch {
		case r.answering:
		case d.now >= d.heldTo(r):
			d.refuse(r, ShuttingDown, d.retryAfter(r, 0))
		default:
			d.wakeBy(d.heldTo(r))
		}
	}
}
