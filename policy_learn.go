package raventrestle

// What the end of a call says of its target and route, and when a target is held off.

import (
	"cmp"
	"slices"

	"raventrestle/asfq"
)

// learn: a call lost on an idle connection only makes the next use a new one, as the suspect.
func (p *Policy) learn(c *call, o Outcome, class int) {
	t, r := c.t, c.t.r
	if c.trial {
		t.trials--
	}
	silent := o.Status == TimedOut && t.lastOK < c.at // nothing was answered meanwhile
	if (silent || o.Status == Reset) && c.idle > max(p.borne[0], p.borne[1]) {
		t.stale, t.fails = c.idle, max(t.fails, 1)
		return
	}
	if o.Status == OK && t.stale > 0 && c.idle == 0 {
		p.idleLife = min(p.idleLife, t.stale)
		p.log("idle connections seem to be dropped after %v: shut before", t.stale)
	}
	if o.Status != Rejected && o.Status != NotSent {
		t.stale = 0
		for _, x := range []*odds{&t.odds[class], &t.odds[len(p.set.Classes)]} {
			x.fade(p)
			if x.all++; o.Status != OK {
				x.bad++
			}
		}
	}
	if o.Status == Rejected && c.idle == 0 && o.RetryAfter == 0 && o.Report == (LimitReport{}) && p.told &&
		p.set.Forwarders > p.set.CallSlots {
		p.connLimited[t.d.ki] = true // the load would come with its report
	}
	if o.Report.Limit > 0 {
		r.told, p.told = true, true
		p.limit(r, o.Report.Limit)
		p.heed(r, o)
	}
	if (o.Status == OK || silent) && !p.stood { // else it was lost, not slow
		r.times.add(o.Duration)
		p.times.add(o.Duration)
		t.mean = asfq.EWMA(t.mean, o.Duration, 8)
	}
	switch o.Status {
	case OK:
		p.borne[0], t.okSent = max(p.borne[0], c.idle), max(t.okSent, c.at)
		p.answered(t)
	case Rejected:
		p.refused(c, o)
	case Error:
		p.failed(t, "errors")
	case ConnectFailed:
		p.crowded = p.now + 2*p.memory
		p.failed(t, "no connection")
	case TimedOut, Reset:
		if silent { // trips at once
			t.fails++
		}
		p.failed(t, "calls lost")
	}
}

// failed: one failure only makes the next call a trial; a second in a row there or on its route,
// or a silent time-out, trips the target.
func (p *Policy) failed(t *target, why string) {
	t.fails++
	t.r.fails++
	if max(t.fails, t.r.fails) > 1 || t.health == halfOpen {
		p.trip(t, why)
	}
}

func (p *Policy) answered(t *target) {
	r := t.r
	r.lastOK = p.now
	t.lastOK, t.d.shut, r.fails = p.now, 0, 0
	if r.rate > 0 {
		if r.rate += p.step(r) / 4; r.rate < r.threshold { // back to where it was refused
			r.rate += p.step(r) * 3 / 4
		}
	}
	if t.health == halfOpen && t.fails == 0 {
		t.health = open
	} else if t.health == halfOpen {
		whole := !slices.ContainsFunc(r.targets, func(x *target) bool { return x.health != halfOpen })
		for _, x := range r.targets {
			if x == t || r.shut && x.health == halfOpen {
				x.health, x.rampAt, x.fails = ramp, p.now, 0
			} else if whole { // what struck all of them has ended for all, but one call there shows it first
				x.health, x.rampAt, x.fails = ramp, p.now, 1
			}
		}
		r.downAt, r.shut = 0, false
		r.nextAt = p.now + gap(p.rampRate(r))
		p.log("target %s answers again: slow start", t.id)
	}
	t.fails = 0
}

// refused: above the limit, or shut. A long wait means shut, and so do three in a row at a
// destination, whichever its routes, or two with most of the limit left; else the pace is cut.
func (p *Policy) refused(c *call, o Outcome) {
	t, r := c.t, c.t.r
	spent := o.Report.Limit > 0 && o.Report.Remaining < 0.5 // then it is the limit
	r.tokens = min(r.tokens, -p.rng.Float64())              // a clump refused at many does not return in step
	if c.at > r.cutAt || r.cutAt == 0 {                     // refusals of calls sent together say the same once
		r.cutAt = p.now
		t.d.shut++
		if spent {
			t.d.shut = 0
		} else if o.Report.Limit > 0 { // most is left: it weighs twice
			t.d.shut++
		}
		r.rate = min(cmp.Or(r.rate, r.sentRate), r.sentRate) // a pace that was not used proves nothing
		r.threshold = 0.9 * r.rate
		n := float64(p.set.Forwarders) // the more peers, the fewer of the refusals are met here
		if r.rate = max((0.5+0.5/n)*r.rate, r.size/n/2); r.size == 0 {
			r.rate = max(r.rate, 1/p.longest.Seconds())
		}
	}
	if t.d.shut >= 3 || o.RetryAfter > p.set.OverloadDuration { // all that share the limit are shut with it
		r.shut = true
		for _, x := range r.targets {
			x.fails = max(x.fails, 2)
			p.trip(x, "refused")
		}
	}
}

// trip makes a target half-open: one trial at a time, spaced by holdBack.
func (p *Policy) trip(t *target, why string) {
	if t.health == open {
		t.usual = t.pace(p)
		p.log("target %s held off: %s", t.id, why)
	}
	t.health = halfOpen
	p.holdBack(t.r)
}
