package raventrestle

// The value of messages, and how urgent they are while they wait.

import (
	"cmp"
	"math"
	"time"
)

// shareFactor returns the value of a new message of the tenant as a fraction of its class's value. A message
// beyond the tenant's share is worth less. Which messages are beyond it is not known, so the factor averages
// over all of them. The tenant's share of the arrivals here is compared with its share of the quotas, which
// does not require that the traffic is spread evenly over the forwarders.
func (p *Policy) shareFactor(tenant int) float64 {
	if tenant < 0 || tenant >= len(p.tenantMessages) {
		return 1
	}
	ownQuota, totalQuota, totalMessages := 0.0, 0.0, 0.0
	for i, t := range p.settings.Tenants {
		p.tenantMessages[i].decay(p)
		quota := cmp.Or(t.Quota, t.Share)
		totalQuota, totalMessages = totalQuota+quota, totalMessages+p.tenantMessages[i].calls
		if i == tenant {
			p.tenantMessages[i].calls++
			ownQuota = quota
		}
	}
	if ownQuota <= 0 {
		return 1
	}
	inQuota := min(1, ownQuota/totalQuota*(totalMessages+1)/p.tenantMessages[tenant].calls)
	return inQuota + (1-inQuota)*p.settings.OverShareFactor
}

// remainingValue returns the share of the message's value that remains if it is delivered at the given time.
func (p *Policy) remainingValue(m *message, at time.Duration) float64 {
	lateness := float64(at - m.softDeadline)
	switch {
	case at > p.sendDeadline(m):
		return 0
	case lateness <= 0:
		return 1
	case p.settings.ValueDecay == DecayHalving:
		return max(m.class.LateValueShare, math.Exp2(-lateness/float64(m.class.SoftDeadline)))
	}
	return 1 - (1-m.class.LateValueShare)*min(1, lateness/float64(max(m.deadline-m.softDeadline, 1)))
}

// updateUrgency sets the urgency of each queued message: the value that it loses if it waits until all queued
// messages have been sent, plus a fraction of its current value that grows with this wait.
func (p *Policy) updateUrgency() {
	p.maxUrgency = 0
	queued := max(len(p.messages)-p.flows.BusySlots, 0)
	wait := time.Duration(float64(queued) * p.flows.MeanSlotSeconds / float64(p.settings.CallSlots) *
		float64(time.Second))
	for _, d := range p.flows.ActiveFlows {
		mean, _ := p.expectedLatency(d.sharedRoute)
		for _, m := range d.queue {
			valueIfSentNow := p.remainingValue(m, p.now+mean)
			m.urgency = m.value * (valueIfSentNow - p.remainingValue(m, p.now+mean+wait) +
				valueIfSentNow*min(1, float64(wait)/float64(p.maxDeadline)))
			p.maxUrgency = max(p.maxUrgency, m.urgency)
			if m.dropCost = m.urgency; !m.mayHaveRun && p.now < m.deadline-m.class.Deadline*3/10 {
				m.dropCost += 0.3 * m.value // never tried, and under 70% of its time has passed
			}
		}
	}
}
