package raventrestle

// What messages are worth, and what is at stake while they wait.

import (
	"cmp"
	"math"
	"time"
)

// inShare is what a message of the tenant is worth, as a part of its class's worth: beyond its
// share it is worth less, and nobody is told which are beyond. The tenants' parts of what
// comes here are held against their parts of the quotas: that needs no even spread.
func (p *Policy) inShare(tenant int) float64 {
	if tenant < 0 || tenant >= len(p.tenants) {
		return 1
	}
	quota, all, seen := 0.0, 0.0, 0.0
	for i, t := range p.set.Tenants {
		p.tenants[i].fade(p)
		part := cmp.Or(t.Quota, t.Share)
		all, seen = all+part, seen+p.tenants[i].all
		if i == tenant {
			p.tenants[i].all++
			quota = part
		}
	}
	if quota <= 0 {
		return 1
	}
	within := min(1, quota/all*(seen+1)/p.tenants[tenant].all)
	return within + (1-within)*p.set.OverShareFactor
}

// left is the part of its worth that a message has at the time t.
func (p *Policy) left(m *msg, t time.Duration) float64 {
	late := float64(t - m.aim)
	switch {
	case t > p.lastCall(m):
		return 0
	case late <= 0:
		return 1
	case p.set.ValueDecay == DecayHalving:
		return max(m.class.LateValueShare, math.Exp2(-late/float64(m.class.SoftDeadline)))
	}
	return 1 - (1-m.class.LateValueShare)*min(1, late/float64(max(m.end-m.aim, 1)))
}

// weigh sets what each held message has at stake: the worth that it loses if it waits until all
// that is held has left, and a part of what it has left then.
func (p *Policy) weigh() {
	p.stakes = 0
	held := max(len(p.msgs)-p.flows.BusySlots, 0)
	wait := time.Duration(float64(held) * p.flows.MeanSlotSeconds / float64(p.set.CallSlots) *
		float64(time.Second))
	for _, d := range p.flows.ActiveFlows {
		mean, _ := p.usual(d.shared)
		for _, m := range d.held {
			now := p.left(m, p.now+mean)
			m.stake = m.worth * (now - p.left(m, p.now+mean+wait) + now*min(1, float64(wait)/float64(p.longest)))
			p.stakes = max(p.stakes, m.stake)
			if m.waste = m.stake; !m.mayRun && p.now < m.end-m.class.Deadline*3/10 {
				m.waste += 0.3 * m.worth // of one given up untried before seven tenths of its time
			}
		}
	}
}
