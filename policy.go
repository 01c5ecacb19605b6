package raventrestle

// The policy files contain all decisions of a forwarder. The interface (settings, events and actions) is in
// raventrestle.go, the records are in state.go. Reading order: policy.go (events), policy_outcomes.go (what a
// call's result changes), policy_rate.go (rates), policy_eligibility.go (which targets may get a call),
// policy_value.go (urgency), policy_dispatch.go (sending), policy_answers.go (final answers).
//
// Messages are scheduled by adaptive start-time fair queuing (package asfq): each destination is a flow, the
// eligible flow with the lowest start tag plus penalty sends while slots are free, and a monitor of
// slot-seconds delays the flows that use more than others. The eligibility rules only decide which messages
// and targets are eligible; they never change the tags.

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Step processes a batch of events that happened at the time now, and returns the resulting actions.
func (p *Policy) Step(now time.Duration, events []Event) []Action {
	p.now = max(now, p.now)
	p.connectionsScarceUntil = cmp.Or(p.connectionsScarceUntil, p.now+p.failureMemory)
	p.actions, p.wakeAt = nil, math.MaxInt64
	// This wake-up is late: the host was delayed.
	p.wokeLate = p.pendingWakeAt > 0 && p.now-p.pendingWakeAt > 2*p.settings.MinBatchInterval
	if p.pendingWakeAt <= p.now {
		p.pendingWakeAt = 0
	}
	for _, e := range events {
		e.apply(p)
	}
	p.requestList()
	p.runMonitor()
	p.expireMessages()
	p.dispatch()
	p.evictMessages()
	if p.wakeAt < math.MaxInt64 && (p.pendingWakeAt == 0 || p.wakeAt < p.pendingWakeAt) {
		p.pendingWakeAt = p.wakeAt
		p.actions = append(p.actions, WakeAt{p.pendingWakeAt})
	}
	return p.actions
}

func (p *Policy) applyListUpdate(l ListUpdate) {
	if l.Kind == ListFailed {
		p.listBackoff = min(max(2*p.listBackoff, p.settings.ListRequestTimeout/20,
			p.settings.MinBatchInterval), p.settings.ListRequestTimeout/4)
		p.listRequestAt = p.now + p.listBackoff
		return
	}
	if p.listRequestAt, p.listBackoff = -1, 0; l.Kind == ListCached && p.settings.ListOnRequest {
		p.listRequestAt = p.now
	}
	seen := map[TargetID]bool{}
	for _, e := range l.Entries {
		seen[e.Target] = true
		t := p.targets[e.Target]
		if e.State == Removed {
			p.removeTarget(t)
			continue
		}
		if t == nil {
			t = p.addTarget(e)
			// The target is warming up, and the destination may have many messages queued from before it joined.
			if e.JoinedAt > 0 && p.now-e.JoinedAt < p.settings.WarmupDuration {
				t.health, t.slowStartAt, t.normalRate = slowStart, p.now, t.dest.departedTargetRate
			}
		}
		t.ready = e.State == Ready
		if p.settings.ListedLimits != LimitsNone && e.RateLimit > 0 && !t.route.limitReported {
			p.setLimit(t.route, e.RateLimit)
		}
	}
	if l.Kind == ListSnapshot || l.Kind == ListCached {
		for _, id := range slices.Sorted(maps.Keys(p.targets)) {
			if !seen[id] {
				p.removeTarget(p.targets[id])
			}
		}
	}
}

func (p *Policy) removeTarget(t *target) {
	if t != nil {
		t.ready, t.dest.departedTargetRate, t.dest.sharedRoute.waitUntil =
			false, t.sendRate(p), max(t.dest.sharedRoute.waitUntil, t.route.waitUntil)
		delete(p.targets, t.id)
		t.dest.targets, t.route.targets = removeElement(t.dest.targets, t), removeElement(t.route.targets, t)
	}
}

// requestList subscribes where the list comes only on request, and again after a failure or no answer.
func (p *Policy) requestList() {
	if p.listRequestAt >= 0 && p.listRequestAt <= p.now {
		p.listRequestAt = p.now + p.settings.ListRequestTimeout/2
		p.actions = append(p.actions, Subscribe{})
	}
	p.wakeBy(p.listRequestAt)
}

func (p *Policy) addMessage(a Arrival) *message {
	// The settings may have changed since the host accepted the message.
	if a.Class < 0 || a.Class >= len(p.settings.Classes) {
		p.actions = append(p.actions, Fail{a.ID})
	}
	if p.messages[a.ID] != nil || a.Class < 0 || a.Class >= len(p.settings.Classes) {
		return nil
	}
	c := &p.settings.Classes[a.Class]
	deadline := p.now + a.Budget
	softDeadline := min(c.SoftDeadline+time.Duration(c.EstimateFactor*float64(a.Estimate)), c.Deadline)
	m := &message{
		id: a.ID, class: c, classIndex: a.Class, dest: p.ensureDestination(a.Dest),
		softDeadline: deadline - c.Deadline + softDeadline, deadline: deadline,
		value: c.Value * p.shareFactor(a.Tenant),
	}
	p.messages[a.ID] = m
	p.enqueue(m)
	return m
}

// restoreMessage adds a message from before a restart. Its run target may have left the list, so a target
// record with only id and zone represents it.
func (p *Policy) restoreMessage(r Restored) {
	m := p.addMessage(r.Arrival)
	if m == nil {
		return
	}
	if !r.HandedOver {
		m.dest.restoredMessages, m.dest.restoredUntil = m.dest.restoredMessages+1, p.now+p.maxDeadline
	}
	m.attempts, m.mayHaveRun, m.runAt = r.Attempts, r.MayHaveRun, r.RunAt
	m.runTarget = &target{id: r.RunTarget, zone: r.RunZone}
	if r.Attempts > 0 && !r.HandedOver && p.settings.OverloadDuration > 0 {
		p.slowStartAfterRestart(m, r)
	}
	if p.attemptsExhausted(m) {
		p.dequeue(m)
		p.giveUp(m)
	}
}

// slowStartAfterRestart handles a message that failed at a target before the restart, or that was rejected by
// an unknown target. After the second such message the target gets a slow start, at a rate that
// spreads the restored messages over about OverloadDuration. Without this, a host that restarts repeatedly
// would send all restored messages at once after each restart.
func (p *Policy) slowStartAfterRestart(m *message, r Restored) {
	affected := m.dest.targets
	if t := p.targets[r.RunTarget]; r.MayHaveRun {
		if affected = nil; t != nil && r.AttemptFailed && p.now-r.RunAt < p.failureMemory {
			t.failuresInRow++
			affected = []*target{t}
		}
	}
	for _, t := range affected {
		if t.normalRate > 0 && t.health == healthy {
			t.health, t.slowStartAt = slowStart, p.now
		}
		t.normalRate += 1 / p.settings.OverloadDuration.Seconds() / float64(len(affected))
	}
}

func (p *Policy) withdrawMessage(w Withdrawn) {
	if m := p.messages[w.ID]; m != nil && m.call != nil {
		m.finished = true
	} else if m != nil {
		p.dequeue(m)
		p.removeMessage(m)
	}
}

func (p *Policy) handleOutcome(o Outcome) {
	m := p.messages[o.ID]
	if m == nil || m.call == nil {
		return
	}
	c := m.call
	m.call = nil
	if o.RetryAfter > 0 { // the messages of one call may have different retry-after times
		c.target.route.waitUntil = max(c.target.route.waitUntil, p.now+o.RetryAfter)
	}
	if !c.recorded {
		c.recorded = true
		p.recordOutcome(c, o, m.classIndex)
	}
	if c.pending--; c.pending == 0 {
		p.endCall(c)
	}
	lost := o.Status == TimedOut || o.Status == Reset || o.Status == Canceled // may still run
	if (lost || o.Status == Error) && !m.mayHaveRun {
		m.mayHaveRun, m.runAt, m.runTarget = true, c.startedAt, c.target
	}
	switch {
	case o.Final || m.finished || o.Status == OK:
		p.removeMessage(m)
	case p.attemptsExhausted(m) || p.now >= p.sendDeadline(m):
		p.giveUp(m)
	default:
		p.enqueue(m)
	}
}

// attemptsExhausted reports whether no further attempt is allowed.
func (p *Policy) attemptsExhausted(m *message) bool {
	return p.settings.MaxAttempts > 0 && m.attempts >= p.settings.MaxAttempts ||
		m.mayHaveRun && m.class.Idempotency == NonIdempotent
}
