package raventrestle

// The policy files hold all decisions of a forwarder. Their interface (settings, events and actions) is in
// raventrestle.go, their records are in state.go. Reading order: events here, then what is learned, pace,
// guards, worth, sending, final answers.
//
// The ordinary path is ASFQ: each destination is a flow, the held head with the lowest start tag plus delta
// leaves while slots are free, and a monitor of slot-seconds pushes back the flows that use more than
// others. Guards only say which heads are eligible; they never touch the tags.

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Step takes a batch of events, all of them at the time now, and returns the actions.
func (p *Policy) Step(now time.Duration, events []Event) []Action {
	p.now = max(now, p.now)
	p.crowded = cmp.Or(p.crowded, p.now+p.memory)
	p.out, p.wakeAt = nil, math.MaxInt64
	p.stood = p.pending > 0 && p.now-p.pending > 2*p.set.MinBatchInterval // woken late: it stood still itself
	if p.pending <= p.now {
		p.pending = 0
	}
	for _, e := range events {
		e.apply(p)
	}
	p.askForList()
	p.monitor()
	p.expire()
	p.dispatch()
	p.shed()
	if p.wakeAt < math.MaxInt64 && (p.pending == 0 || p.wakeAt < p.pending) {
		p.pending = p.wakeAt
		p.out = append(p.out, WakeAt{p.pending})
	}
	return p.out
}

func (p *Policy) listing(l ListUpdate) {
	if l.Kind == ListFailed {
		p.askGap = min(max(2*p.askGap, p.set.ListRequestTimeout/20, p.set.MinBatchInterval),
			p.set.ListRequestTimeout/4)
		p.askAt = p.now + p.askGap
		return
	}
	if p.askAt, p.askGap = -1, 0; l.Kind == ListCached && p.set.ListOnRequest {
		p.askAt = p.now
	}
	seen := map[TargetID]bool{}
	for _, e := range l.Entries {
		seen[e.Target] = true
		t := p.targets[e.Target]
		if e.State == Removed {
			p.drop(t)
			continue
		}
		if t == nil {
			t = p.target(e)
			if e.JoinedAt > 0 && p.now-e.JoinedAt < p.set.WarmupDuration { // cold, and finds what others left held
				t.health, t.rampAt, t.usual = ramp, p.now, t.d.left
			}
		}
		t.ready = e.State == Ready
		if p.set.ListedLimits != LimitsNone && e.RateLimit > 0 && !t.r.told {
			p.limit(t.r, e.RateLimit)
		}
	}
	if l.Kind == ListSnapshot || l.Kind == ListCached {
		for _, id := range slices.Sorted(maps.Keys(p.targets)) {
			if !seen[id] {
				p.drop(p.targets[id])
			}
		}
	}
}

func (p *Policy) drop(t *target) {
	if t != nil {
		t.ready, t.d.left, t.d.shared.until = false, t.pace(p), max(t.d.shared.until, t.r.until)
		delete(p.targets, t.id)
		t.d.targets, t.r.targets = without(t.d.targets, t), without(t.r.targets, t)
	}
}

// askForList subscribes where the list must be asked for, again after a failure or silence.
func (p *Policy) askForList() {
	if p.askAt >= 0 && p.askAt <= p.now {
		p.askAt = p.now + p.set.ListRequestTimeout/2
		p.out = append(p.out, Subscribe{})
	}
	p.wakeBy(p.askAt)
}

func (p *Policy) arrival(a Arrival) *msg {
	if a.Class < 0 || a.Class >= len(p.set.Classes) { // of settings that have changed
		p.out = append(p.out, Fail{a.ID})
	}
	if p.msgs[a.ID] != nil || a.Class < 0 || a.Class >= len(p.set.Classes) {
		return nil
	}
	c := &p.set.Classes[a.Class]
	end := p.now + a.Budget
	aim := min(c.SoftDeadline+time.Duration(c.EstimateFactor*float64(a.Estimate)), c.Deadline)
	m := &msg{
		id: a.ID, class: c, ci: a.Class, d: p.dest(a.Dest), aim: end - c.Deadline + aim, end: end,
		worth: c.Value * p.inShare(a.Tenant),
	}
	p.msgs[a.ID] = m
	p.hold(m)
	return m
}

// restored: where an earlier attempt may have run stands for a target, which may be gone.
func (p *Policy) restored(r Restored) {
	m := p.arrival(r.Arrival)
	if m == nil {
		return
	}
	if !r.HandedOver {
		m.d.came, m.d.heir = m.d.came+1, p.now+p.longest
	}
	m.sends, m.mayRun, m.ranAt = r.Attempts, r.MayHaveRun, r.RunAt
	m.ranOn = &target{id: r.RunTarget, zone: r.RunZone}
	if r.Attempts > 0 && !r.HandedOver && p.set.OverloadDuration > 0 {
		p.failedBefore(m, r)
	}
	if p.spent(m) {
		p.unhold(m)
		p.giveUp(m)
	}
}

// failedBefore: a message that failed at a target in the last life, or was turned away by whichever. With
// two such a target may be cold, and what is left goes in about TipAfter: lives that end early would else
// each send all that they found at once.
func (p *Policy) failedBefore(m *msg, r Restored) {
	from := m.d.targets
	if t := p.targets[r.RunTarget]; r.MayHaveRun {
		if from = nil; t != nil && r.AttemptFailed && p.now-r.RunAt < p.memory {
			t.fails++
			from = []*target{t}
		}
	}
	for _, t := range from {
		if t.usual > 0 && t.health == open {
			t.health, t.rampAt = ramp, p.now
		}
		t.usual += 1 / p.set.OverloadDuration.Seconds() / float64(len(from))
	}
}

func (p *Policy) withdrawn(w Withdrawn) {
	if m := p.msgs[w.ID]; m != nil && m.call != nil {
		m.over = true
	} else if m != nil {
		p.unhold(m)
		p.forget(m)
	}
}

func (p *Policy) outcome(o Outcome) {
	m := p.msgs[o.ID]
	if m == nil || m.call == nil {
		return
	}
	c := m.call
	m.call = nil
	if o.RetryAfter > 0 { // each mate of a call may be told for itself
		c.t.r.until = max(c.t.r.until, p.now+o.RetryAfter)
	}
	if !c.told {
		c.told = true
		p.learn(c, o, m.ci)
	}
	if c.n--; c.n == 0 {
		p.hangUp(c)
	}
	lost := o.Status == TimedOut || o.Status == Reset || o.Status == Canceled // may still run
	if (lost || o.Status == Error) && !m.mayRun {
		m.mayRun, m.ranAt, m.ranOn = true, c.at, c.t
	}
	switch {
	case o.Final || m.over || o.Status == OK:
		p.forget(m)
	case p.spent(m) || p.now >= p.lastCall(m):
		p.giveUp(m)
	default:
		p.hold(m)
	}
}

// spent says that no further attempt is allowed.
func (p *Policy) spent(m *msg) bool {
	return p.set.MaxAttempts > 0 && m.sends >= p.set.MaxAttempts ||
		m.mayRun && m.class.Idempotency == NonIdempotent
}
