package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// The end of the process. Each request that was read whole gets an answer before it: nothing is held beyond the
// moment at which no more clients are let in, and nothing is out without a first byte at the last.

// ending is when the process ends, since the base.
type ending struct {
	told      bool
	holdUntil time.Duration
	answerBy  time.Duration
	abandoned bool // the calls without a first byte
}

// end takes in that the process ends.
func (d *Decider) end(input Closing) {
	d.ending.told = true
	d.ending.holdUntil = input.HoldUntil.Sub(d.base)
	d.ending.answerBy = max(input.AnswerBy.Sub(d.base), d.ending.holdUntil)
}

// over: the time for answers has come, nothing is sent any more.
func (d *Decider) over() bool { return d.ending.told && d.now >= d.ending.answerBy }

// heldAtMost bounds a time until which a request is to be held.
func (d *Decider) heldAtMost(until time.Duration) time.Duration {
	if d.ending.told {
		return min(until, d.ending.holdUntil)
	}
	return until
}

// close ends what must have its answer by now.
func (d *Decider) close() {
	switch {
	case !d.ending.told:
		return
	case d.now < d.ending.holdUntil:
		d.wakeBy(d.ending.holdUntil)
		return
	}
	d.dismiss()
	switch {
	case !d.over():
		d.wakeBy(d.ending.answerBy)
	case !d.ending.abandoned:
		d.ending.abandoned = true
		d.abandonUnanswered()
	}
}

// dismiss refuses what is held. A stream that broke off midway is worth a wait, as long as there is time.
func (d *Decider) dismiss() {
	for _, e := range slices.Clone(d.schedule.Active) {
		d.dismissAll(e.held)
	}
	for _, g := range slices.Clone(d.homeless) {
		d.dismissAll(g.homeless)
	}
}

func (d *Decider) dismissAll(held []*request) {
	for _, r := range slices.Clone(held) {
		if r.answering && !d.over() {
			continue
		}
		d.refuse(r, Leaving, d.retryAfter(r, 0))
	}
}

// abandonUnanswered ends the calls of requests that have had no first byte.
func (d *Decider) abandonUnanswered() {
	var list []*request
	for _, e := range d.endpoints {
		for _, r := range e.unanswered {
			if !r.answering && !r.abandoned {
				list = append(list, r)
			}
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range list {
		r.abandoned = true
		d.out = append(d.out, Abandon{ID: r.ID, Endpoint: r.at.id})
	}
}
