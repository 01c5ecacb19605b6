package raventrestle

// Guards say which destinations and targets may be sent to now.

import (
	"slices"
	"time"
)

// sick: half of its targets are held off, or one is and the route that they share has not answered
// since its last failure, or a call out has passed twice its usual time.
func (p *Policy) sick(d *dest) bool {
	bad := 0
	for _, t := range d.targets {
		if t.health == halfOpen {
			bad++
		}
	}
	return bad > 0 && (2*bad >= len(d.targets) || d.shared.fails > 0) ||
		slices.ContainsFunc(d.out, func(c *call) bool { return p.overdue(c, 1) })
}

// full says whether the destination holds all the slots that it may. Sick ones share a quarter:
// several that are slow or hang at once would else hold most slots for as long as their calls
// last, and each of them stays far under the half that the design allows it.
func (p *Policy) full(d *dest, quarters int) bool {
	if !d.Degraded {
		return p.flows.AtSlotLimit(d)
	}
	out := 0
	for _, x := range p.flows.ActiveFlows {
		if x.Degraded {
			out += x.InFlight()
		}
	}
	return out >= max(p.set.CallSlots*quarters/4, 1)
}

// refill brings the token bucket up to now. It holds one call.
func (p *Policy) refill(r *route) {
	r.tokens = min(1, r.tokens+r.rate*(p.now-r.filledAt).Seconds())
	if r.rate == 0 { // no limit met yet: what was sent so far is no debt
		r.tokens = 1
	}
	r.filledAt = p.now
}

// overdue: the call has been out for twice the mean time plus so many deviations.
func (p *Policy) overdue(c *call, devs time.Duration) bool {
	mean, dev := p.usual(c.t.r)
	return p.now-c.at > 2*(mean+devs*dev)
}

// usable says whether the target takes a call now.
func (p *Policy) usable(t *target) bool {
	r := t.r
	p.refill(r)
	hangs := func(c *call) bool { return c.t == t && t.lastOK < c.at && p.overdue(c, 4) }
	if t.health == open && slices.ContainsFunc(t.d.out, hangs) { // its time-out would lose more
		t.usual, t.health = t.pace(p), halfOpen
	}
	if t.health == ramp && p.now-t.rampAt >= p.set.WarmupDuration {
		t.health = open
	}
	from := r.until
	if r.tokens < 1 {
		from = max(from, p.now+gap(r.rate/(1-r.tokens))+1)
	}
	if t.health != open || r.fails > 1 && p.usualRate(r)*p.set.OverloadDuration.Seconds() < 1 {
		from = max(from, r.nextAt) // one that calls seldom takes the other endpoints for out too
	}
	if !t.ready || t.onTrial() && t.trials > 0 {
		return false
	}
	if mean, dev := p.usual(r); p.closing > 0 && p.now+mean+4*dev > p.closing {
		return false // the answer would hardly come in this life
	}
	p.wakeBy(from)
	return from <= p.now
}

func (t *target) onTrial() bool { return t.health == halfOpen || t.fails > 0 }

// allowed says whether the message may go to the target: a repeat only where they are dropped.
func (p *Policy) allowed(m *msg, t *target) bool {
	return !m.mayRun || m.class.Idempotency == Idempotent || m.class.DedupScope == DedupDestination ||
		t.id == m.ranOn.id || m.class.DedupScope == DedupZone && t.zone == m.ranOn.zone
}
