package dispatch

import (
	"slices"
	"time"
)

// The end of the process: from a moment on nothing is held for long. The router may not live until a held request could
// go, and its client finds another router that does.

// endHold is how long a request is held at most, once the process is about to end.
const endHold = 150 * time.Millisecond

// heldAtMost bounds a time until which a request is to be held.
func (d *Decider) heldAtMost(until time.Duration) time.Duration {
	if d.holdUntil > 0 {
		return min(until, d.holdUntil)
	}
	return until
}

// heldTo is until when the request is held while the process ends.
func (d *Decider) heldTo(r *request) time.Duration { return max(d.holdUntil, r.arrived+endHold) }

// close refuses what was held for long, once the time has come.
func (d *Decider) close() {
	switch {
	case d.holdUntil == 0:
		return
	case d.now < d.holdUntil:
		d.wakeBy(d.holdUntil)
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
			d.refuse(r, Leaving, d.retryAfter(r, 0))
		default:
			d.wakeBy(d.heldTo(r))
		}
	}
}
