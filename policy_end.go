package raventrestle

// Final answers.

import (
	"slices"
	"time"
)

// lastCall is when it must have been sent: shortly before its end, or its key's.
func (p *Policy) lastCall(m *msg) time.Duration {
	if m.mayRun && m.class.Idempotency == Keyed {
		return min(m.end-2*p.set.MinBatchInterval,
			m.ranAt+m.class.DedupWindow-p.set.MinBatchInterval-p.set.MaxSendJitter)
	}
	return m.end - 2*p.set.MinBatchInterval
}

// expire answers the held messages that can't be sent any more. A call that is overdue while its target
// has answered one that was sent later is on a connection that has fallen silent: it is called off.
func (p *Policy) expire() {
	for _, d := range p.flows.ActiveFlows {
		for _, c := range d.out {
			if p.set.AllowCancel && !c.off && c.t.okSent > c.at && p.overdue(c, 4) {
				c.off, p.out = true, append(p.out, Cancel{c.first.id, c.first.sends - 1})
			}
		}
		for _, m := range slices.Clone(d.held) {
			p.wakeBy(p.lastCall(m))
			if p.now >= p.lastCall(m) || p.spent(m) { // fewer attempts may be allowed than when it was held
				p.unhold(m)
				p.giveUp(m)
			}
		}
	}
}

// shed keeps the last eighth of the store free: the destination that holds the most
// gives up what is the least waste, so that none can fill the store for the others.
func (p *Policy) shed() {
	for len(p.msgs) > p.set.MaxMessages*7/8 {
		worst := slices.MaxFunc(p.flows.ActiveFlows, func(a, b *dest) int { return len(a.held) - len(b.held) })
		var last *msg
		for _, m := range worst.held {
			if p.refusable(m) && (last == nil || m.waste <= last.waste) {
				last = m
			}
		}
		if last == nil {
			return
		}
		p.unhold(last)
		p.giveUp(last)
	}
}

func (p *Policy) refusable(m *msg) bool {
	return !m.mayRun || m.class.Idempotency == Idempotent ||
		m.class.Idempotency == Keyed && m.class.DedupScope == DedupDestination
}

func (p *Policy) giveUp(m *msg) {
	if p.refusable(m) {
		p.out = append(p.out, Refuse{m.id, p.comeBack(m.d)})
	} else {
		p.out = append(p.out, Fail{m.id})
	}
	p.forget(m)
}

func (p *Policy) comeBack(d *dest) time.Duration {
	if !p.set.AdviseRetryAfter {
		return 0
	}
	after := p.flows.MonitorPeriod
	for _, t := range d.targets {
		after = max(after, t.r.until-p.now, t.r.nextAt-p.now)
	}
	return min(after, p.set.MaxRetryAfter)
}
