package raventrestle

// The fair queue, the choice of message and target, and the calls.

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"raventrestle/asfq"
)

// hold gives the message's flow one more turn.
func (p *Policy) hold(m *msg) {
	p.flows.AddTurn(m.d, p.flows.Cost(m.d), p.now)
	m.d.held = append(m.d.held, m)
}

// unhold: the last turn goes too.
func (p *Policy) unhold(m *msg) {
	p.flows.RemoveLastTurn(m.d)
	m.d.held = without(m.d.held, m)
}

// monitor drops destinations that are gone and idle, at the end of each of its periods.
func (p *Policy) monitor() {
	if p.flows.Tick(p.now) {
		maps.DeleteFunc(p.dests, func(_ DestID, d *dest) bool {
			return d.QueuedTurns()+d.InFlight()+len(d.targets) == 0 && d.shared.until <= p.now
		})
		p.borne = [2]time.Duration{0, p.borne[0]}
	}
	if len(p.msgs) > 0 {
		p.wakeBy(p.flows.PeriodEnd)
	}
}

// dispatch sends heads in order of start tag plus delta while slots are free. The paper's cost
// over weight comes on top: a head with less at stake than others waits for as many more turns. A
// flow with no eligible message is passed over and does not block the others.
func (p *Policy) dispatch() {
	for _, d := range p.flows.ActiveFlows {
		d.Degraded = p.sick(d)
	}
	p.weigh()
	for _, d := range p.flows.ActiveFlows {
		p.look(d)
	}
	for d, ok := p.flows.Next(p.offer); ok; d, ok = p.flows.Next(p.offer) {
		p.call(d.next, d.on)
		p.look(d)
	}
}

// look finds the destination's head while a slot is free.
func (p *Policy) look(d *dest) {
	if d.next = nil; d.QueuedTurns() > 0 && p.flows.BusySlots < p.flows.Slots {
		d.next, d.on = p.head(d)
	}
}

// offer says whether the destination has a head, and how many turns later than its own that is due.
func (p *Policy) offer(d *dest) (later float64, ok bool) {
	if d.next != nil && p.full(d, 1) {
		p.look(d)
	}
	if d.next == nil {
		return 0, false
	}
	return min(p.stakes/max(d.next.stake, 1e-9), float64(len(p.msgs))), true
}

// head picks which message of the destination takes its turn, and the target. One that seems to hang before
// anything has failed there gets a message that is harmless to repeat, whatever slots the sick hold: its
// connection may have fallen silent alone.
func (p *Policy) head(d *dest) (*msg, *target) {
	var free []*target
	full := p.full(d, 1)
	for _, t := range d.targets {
		if !p.usable(t) {
			continue
		}
		free = append(free, t)
		if t.health == halfOpen && t.fails == 0 && !p.full(d, 2) {
			if i := slices.IndexFunc(d.held, func(m *msg) bool { return m.class.Idempotency == Idempotent }); i >= 0 {
				return d.held[i], t
			}
		}
	}
	if full {
		return nil, nil
	}
	return p.pick(d, free)
}

// pick is the message with the most at stake that may go to any of the targets, and its cheapest one.
func (p *Policy) pick(d *dest, free []*target) (best *msg, on *target) {
	for _, m := range d.held {
		if best != nil && cmp.Or(cmp.Compare(best.stake, m.stake), cmp.Compare(m.aim, best.aim)) >= 0 {
			continue
		}
		var to *target
		for _, t := range free {
			if p.allowed(m, t) && (to == nil || p.cost(m, t) < p.cost(m, to)) {
				to = t
			}
		}
		if to != nil {
			best, on = m, to
		}
	}
	return best, on
}

// cost of a target in seconds: the expected time with the calls out there, that of failures, and
// the fees, in parts of the time in which a message loses its worth. One on trial comes last.
func (p *Policy) cost(m *msg, t *target) float64 {
	mean, _ := p.usual(t.r)
	c := cmp.Or(t.mean, mean).Seconds() * float64(1+t.inFlight) * t.taste
	fees := 0.0
	if t.idleAt == 0 || p.now-t.idleAt > p.set.IdleTimeout {
		fees += p.set.Charges.Handshake
	}
	if t.zone != p.set.Zone {
		fees += p.set.Charges.CrossZone
	}
	if t.d.kind.RoutePerTarget && t.zone >= 0 && t.zone < len(p.set.Zones) {
		fees += p.set.Zones[t.zone].Fee
	}
	if t.onTrial() {
		c *= 10
	}
	return c + fees*p.longest.Seconds() + p.risk(t, m.ci)*p.timeout(m, t).Seconds()
}

// call sends the message, with mates for the same target where the kind bundles.
func (p *Policy) call(m *msg, t *target) {
	d, r := m.d, t.r
	c := &call{t: t, at: p.now, idle: p.connection(t), trial: t.onTrial()}
	d.out = append(d.out, c)
	t.inFlight++
	r.tokens--
	if t.lastSent > 0 {
		t.gap = asfq.EWMA(t.gap, p.now-t.lastSent, 4)
	}
	span := p.span(r)
	r.sentRate, r.sentRateAt = r.sentRate*math.Exp(-(p.now-r.sentRateAt).Seconds()/span)+1/span, p.now
	t.lastSent = p.now
	if c.trial {
		t.trials++
	}
	if t.health == halfOpen {
		p.holdBack(t.r)
	} else if t.health == ramp {
		r.nextAt = p.now + gap(p.rampRate(r))
	}
	p.send(m, c)
	for !c.trial && c.n < d.kind.MaxBatch {
		mate, _ := p.pick(d, []*target{t})
		if mate == nil {
			break
		}
		p.send(mate, c)
	}
}

func (p *Policy) send(m *msg, c *call) {
	d := m.d
	if c.n > 0 { // a mate takes no slot, and so no turn: the flow's last one is not needed
		p.unhold(m)
	} else {
		d.held, c.first = without(d.held, m), m
		p.flows.StartCall(d, p.now)
	}
	m.call, m.sends = c, m.sends+1
	c.n++
	p.out = append(p.out, Send{m.id, c.t.id, p.timeout(m, c.t), p.within(m)})
}

// timeout: an unsafe message is lost with its call, so it gets twice the time of others, and its
// aim; beyond that an answer hardly comes and its slot is worth more. A keyed one
// keeps room for a repeat inside its window.
func (p *Policy) timeout(m *msg, t *target) time.Duration {
	mean, dev := p.usual(t.r)
	usual := mean + 4*dev // nearly all answers come by then
	limit := p.set.ConnectTimeout + 2*usual
	if m.class.Idempotency == NonIdempotent {
		limit = max(2*limit, m.class.SoftDeadline)
	} else if m.class.Idempotency == Keyed && !m.mayRun && 2*usual < m.class.DedupWindow {
		limit = min(limit, m.class.DedupWindow-usual) // a slower one has no time for a repeat anyway
	}
	return max(min(limit, m.end-p.now), 1)
}

// within is how long a keyed repeat may take until it is on its way: its connection may come up late.
func (p *Policy) within(m *msg) time.Duration {
	if m.mayRun && m.class.Idempotency == Keyed {
		return m.ranAt + m.class.DedupWindow - p.set.MinBatchInterval - p.set.MaxSendJitter/2 - p.now
	}
	return 0
}

// hangUp ends a call's use of its slot and connection. One not expected to be used before it closes by
// itself is shut at once: those of hundreds of forwarders would fill targets that take few. That
// costs new ones, so it ends once no call has missed one for a while; few forwarders do without.
// Where a destination of the kind was seen to take no more, none is left idle: another waits for it.
func (p *Policy) hangUp(c *call) {
	t := c.t
	t.d.out = without(t.d.out, c)
	p.flows.EndCall(t.d, (p.now - c.at).Seconds(), p.now)
	t.inFlight--
	t.idleAt = p.now
	seldom := t.inFlight+len(t.d.held) == 0 && p.set.Forwarders > p.set.CallSlots &&
		p.now < p.crowded && (t.gap == 0 || t.gap > p.set.IdleTimeout)
	if seldom || p.connLimited[t.d.ki] {
		p.closeIdle(t)
	}
}

func (p *Policy) closeIdle(t *target) {
	p.out, t.idleAt = append(p.out, CloseIdle{t.id}), 0
}

// connection says how long the one for the next call may have been idle. Those idle for longer
// than they seem to live are shut before, and all where a call was just lost on one: see learn.
func (p *Policy) connection(t *target) time.Duration {
	idle := p.now - t.idleAt
	if t.idleAt == 0 || idle >= p.set.IdleTimeout {
		return 0
	}
	if t.stale > 0 || idle >= p.idleLife {
		p.closeIdle(t)
		return 0
	}
	return idle
}
