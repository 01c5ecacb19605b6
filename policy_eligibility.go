package raventrestle

// Eligibility: which destinations and targets may get a call now.

import (
	"slices"
	"time"
)

// isDegraded reports whether half of the destination's targets are half-open, or at least one is and the
// route that they share has not answered since its last failure, or a call in flight is overdue.
func (p *Policy) isDegraded(d *destination) bool {
	halfOpenCount := 0
	for _, t := range d.targets {
		if t.health == halfOpen {
			halfOpenCount++
		}
	}
	return halfOpenCount > 0 && (2*halfOpenCount >= len(d.targets) || d.sharedRoute.failuresInRow > 0) ||
		slices.ContainsFunc(d.calls, func(c *call) bool { return p.overdue(c, 1) })
}

// atSlotLimit reports whether the destination uses all the slots that it may use. All degraded destinations
// together may use the given number of quarters of the slots. With a limit for each one alone, several that
// are slow or hang at once would use most slots for as long as their calls last.
func (p *Policy) atSlotLimit(d *destination, quarters int) bool {
	if !d.Degraded {
		return p.flows.AtSlotLimit(d)
	}
	inFlight := 0
	for _, x := range p.flows.ActiveFlows {
		if x.Degraded {
			inFlight += x.InFlight()
		}
	}
	return inFlight >= max(p.settings.CallSlots*quarters/4, 1)
}

// refill updates the route's token bucket, which holds at most one call.
func (p *Policy) refill(r *route) {
	r.tokens = min(1, r.tokens+r.rate*(p.now-r.refilledAt).Seconds())
	if r.rate == 0 { // while no limit is known, calls already sent do not reduce the tokens
		r.tokens = 1
	}
	r.refilledAt = p.now
}

// overdue reports whether the call has taken longer than twice the sum of the mean latency and the given
// number of deviations.
func (p *Policy) overdue(c *call, deviations time.Duration) bool {
	mean, deviation := p.expectedLatency(c.target.route)
	return p.now-c.startedAt > 2*(mean+deviations*deviation)
}

// canSendTo reports whether the target may get a call now. If not, it schedules a wake-up for the time when
// it may. It also makes a target half-open if one of its calls hangs, and ends its slow start.
func (p *Policy) canSendTo(t *target) bool {
	r := t.route
	p.refill(r)
	hasHung := func(c *call) bool { return c.target == t && t.lastAnsweredAt < c.startedAt && p.overdue(c, 4) }
	// Until the timeout of the hanging call, more calls would be lost.
	if t.health == healthy && slices.ContainsFunc(t.dest.calls, hasHung) {
		t.normalRate, t.health = t.sendRate(p), halfOpen
	}
	if t.health == slowStart && p.now-t.slowStartAt >= p.settings.WarmupDuration {
		t.health = healthy
	}
	notBefore := r.waitUntil
	if r.tokens < 1 {
		notBefore = max(notBefore, p.now+interval(r.rate/(1-r.tokens))+1)
	}
	if t.health != healthy ||
		r.failuresInRow > 1 && p.expectedRate(r)*p.settings.OverloadDuration.Seconds() < 1 {
		// With few calls to the route, failures of one target also delay calls to the others.
		notBefore = max(notBefore, r.nextCallAt)
	}
	if !t.ready || t.needsTrial() && t.trialsInFlight > 0 {
		return false
	}
	if mean, deviation := p.expectedLatency(r); p.shutdownAt > 0 && p.now+mean+4*deviation > p.shutdownAt {
		return false // the answer would probably come after the shutdown
	}
	p.wakeBy(notBefore)
	return notBefore <= p.now
}

// needsTrial reports whether only one call at a time may go to the target.
func (t *target) needsTrial() bool { return t.health == halfOpen || t.failuresInRow > 0 }

// attemptAllowed reports whether the message may go to the target. A message that may have run may only go to
// targets that drop the repeat.
func (p *Policy) attemptAllowed(m *message, t *target) bool {
	return !m.mayHaveRun || m.class.Idempotency == Idempotent || m.class.DedupScope == DedupDestination ||
		t.id == m.runTarget.id || m.class.DedupScope == DedupZone && t.zone == m.runTarget.zone
}
