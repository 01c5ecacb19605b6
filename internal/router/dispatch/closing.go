package dispatch

import (
	"slices"
	"time"
)

// The end of the process: nothing is held beyond the moment at which no more clients are let in. The router may not live
// until a held request could go, and its client finds another router that does.

// heldAtMost bounds a time until which a request is to be held.
func (d *Decider) heldAtMost(until time.Duration) time.Duration {
	if d.holdUntil > 0 {
		return min(until, d.holdUntil)
	}
	return until
}

// close refuses what is held, once the time has come.
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

// dismiss refuses these requests. A stream that broke off midway is worth a wait.
func (d *Decider) dismiss(held []*request) {
	for _, r := range slices.Clone(held) {
		if !r.answering {
			d.refuse(r, Leaving, d.retryAfter(r, 0))
		}
	}
}
