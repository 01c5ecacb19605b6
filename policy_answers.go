package raventrestle

// Final answers.

import (
	"slices"
	"time"
)

// sendDeadline returns the latest time to send the message: shortly before its deadline or, for a keyed
// message that may have run, before its deduplication window ends.
func (p *Policy) sendDeadline(m *message) time.Duration {
	if m.mayHaveRun && m.class.Idempotency == Keyed {
		return min(m.deadline-2*p.settings.MinBatchInterval,
			m.runAt+m.class.DedupWindow-p.settings.MinBatchInterval-p.settings.MaxSendJitter)
	}
	return m.deadline - 2*p.settings.MinBatchInterval
}

// expireMessages answers the queued messages that can no longer be sent. It also cancels overdue calls whose
// target has answered a call that was sent later: their connection no longer responds.
func (p *Policy) expireMessages() {
	for _, d := range p.flows.ActiveFlows {
		for _, c := range d.calls {
			if p.settings.AllowCancel && !c.canceled && c.target.lastAnsweredSentAt > c.startedAt && p.overdue(c, 4) {
				c.canceled, p.actions = true, append(p.actions, Cancel{c.first.id, c.first.attempts - 1})
			}
		}
		for _, m := range slices.Clone(d.queue) {
			p.wakeBy(p.sendDeadline(m))
			// MaxAttempts may have been lowered since the message was queued.
			if p.now >= p.sendDeadline(m) || p.attemptsExhausted(m) {
				p.dequeue(m)
				p.giveUp(m)
			}
		}
	}
}

// evictMessages keeps an eighth of MaxMessages free. The destination with the longest queue gives up the
// message with the lowest drop cost, so that no destination can use all places.
func (p *Policy) evictMessages() {
	for len(p.messages) > p.settings.MaxMessages*7/8 {
		fullest := slices.MaxFunc(p.flows.ActiveFlows, func(a, b *destination) int {
			return len(a.queue) - len(b.queue)
		})
		var victim *message
		for _, m := range fullest.queue {
			if p.canRefuse(m) && (victim == nil || m.dropCost <= victim.dropCost) {
				victim = m
			}
		}
		if victim == nil {
			return
		}
		p.dequeue(victim)
		p.giveUp(victim)
	}
}

// canRefuse reports whether the client may safely submit the message again.
func (p *Policy) canRefuse(m *message) bool {
	return !m.mayHaveRun || m.class.Idempotency == Idempotent ||
		m.class.Idempotency == Keyed && m.class.DedupScope == DedupDestination
}

// giveUp answers a message that is not delivered.
func (p *Policy) giveUp(m *message) {
	if p.canRefuse(m) {
		p.actions = append(p.actions, Refuse{m.id, p.retryAfter(m.dest)})
	} else {
		p.actions = append(p.actions, Fail{m.id})
	}
	p.removeMessage(m)
}

// retryAfter returns when a client should retry a message to the destination, 0 for no advice.
func (p *Policy) retryAfter(d *destination) time.Duration {
	if !p.settings.AdviseRetryAfter {
		return 0
	}
	after := p.flows.MonitorPeriod
	for _, t := range d.targets {
		after = max(after, t.route.waitUntil-p.now, t.route.nextCallAt-p.now)
	}
	return min(after, p.settings.MaxRetryAfter)
}
