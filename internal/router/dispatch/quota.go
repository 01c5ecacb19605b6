package dispatch

import (
	"math"
	"slices"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// Quotas: a tenant's whole is shared by all routers. Each spends what the control plane granted it. Without
// a fresh grant it spends a floor that is safe whatever the others do: all floors together are half of the
// rate. The bucket may go into debt by this router's part of the tolerance, so that a request larger than
// the bucket is served. A request that the bucket can't pay is held for a moment, and what it lacks is told to the
// control plane at once, which may lend it as credit.
const (
	ungrantedRateShare  = protocol.UngrantedRateShare // of its even part of the rate, that a router spends without a grant
	overdraftShare      = protocol.OverdraftShare     // of the tolerance, that all routers together may be in debt
	longQuotaRetryAfter = time.Second
	quotaQueueTimeout   = 80 * time.Millisecond  // that a request waits for credit
	creditDenialBackoff = 150 * time.Millisecond // without holding, after credit was not given in time
)

// tenant is one tenant's bucket on this router.
type tenant struct {
	name                string
	limit, burst        float64 // of the whole, 0: no limit
	grant               protocol.QuotaGrant
	grantExpiresAt      time.Duration
	level               float64
	refilledAt          time.Duration
	requested, admitted float64 // since the last report

	credit             float64 // lent for requests that wait; spent first
	creditExpiresAt    time.Duration
	awaitingQuota      []*request    // held until they can be paid, in order of arrival
	creditBackoffUntil time.Duration // nothing is held before, since credit did not come
	denials            quotaDenials
}

// configureTenants takes over the limits of a new configuration. Levels stay, below the new bounds.
func (d *Decider) configureTenants(tenants []configuration.Tenant) {
	named := make(map[string]bool, len(tenants))
	for i := range tenants {
		set := &tenants[i]
		named[set.Name] = true
		t := d.tenants[set.Name]
		if t == nil {
			t = &tenant{name: set.Name, refilledAt: d.now}
			d.tenants[set.Name] = t
			t.limit, t.burst = set.RatePerSecond, set.Burst
			t.level = d.quotaDepth(t)
			continue
		}
		d.refill(t)
		t.limit, t.burst = set.RatePerSecond, set.Burst
		t.level = min(t.level, d.quotaDepth(t))
	}
	for name, t := range d.tenants {
		if !named[name] {
			for _, r := range slices.Clone(t.awaitingQuota) { // its key is not known any more, but was
				d.removeFromQuotaQueue(r)
				d.admit(r)
			}
			delete(d.tenants, name)
		}
	}
}

// applyGrant takes over this router's part of a tenant's limit.
func (d *Decider) applyGrant(granted protocol.QuotaGrant) {
	t := d.tenants[granted.Tenant]
	if t == nil {
		return
	}
	d.refill(t)
	t.grant = granted
	t.grantExpiresAt = d.now + granted.TTL
	if granted.Credit > 0 {
		if d.now >= t.creditExpiresAt {
			t.credit = 0
		}
		t.credit += granted.Credit
		t.creditExpiresAt = d.now + granted.TTL
	}
	t.level = min(t.level, d.quotaDepth(t))
}

// quotaRate is what the tenant may spend here in a second.
func (d *Decider) quotaRate(t *tenant) float64 {
	if d.now < t.grantExpiresAt {
		return min(t.grant.RatePerSecond, t.limit)
	}
	return t.limit / float64(d.routerCount) * ungrantedRateShare
}

// quotaDepth is what the tenant's bucket holds at most.
func (d *Decider) quotaDepth(t *tenant) float64 {
	if d.now < t.grantExpiresAt {
		return min(t.grant.Burst, t.burst)
	}
	return t.burst / float64(d.routerCount)
}

// maxOverdraft is how far the tenant's bucket may go below nothing.
func (d *Decider) maxOverdraft(t *tenant) float64 {
	whole := t.limit*d.config.QuotaWindow.Seconds() + t.burst
	return (whole*d.config.QuotaOvershootFraction + d.config.QuotaOvershootSlack) * overdraftShare / float64(d.routerCount)
}

// refill brings the bucket up to now. A grant that ended meanwhile counts up to its end.
func (d *Decider) refill(t *tenant) {
	end := min(d.now, t.grantExpiresAt)
	if end > t.refilledAt {
		rate := min(t.grant.RatePerSecond, t.limit)
		t.level += rate * (end - t.refilledAt).Seconds()
		t.refilledAt = end
	}
	if d.now > t.refilledAt {
		t.level += d.quotaRate(t) * (d.now - t.refilledAt).Seconds()
		t.refilledAt = d.now
	}
	t.level = min(t.level, d.quotaDepth(t))
}

// charge takes the request's charge from its tenant, or says when there will be enough.
func (d *Decider) charge(r *request) (wait time.Duration, ok bool) {
	t := d.tenants[r.Tenant]
	if t == nil || t.limit <= 0 {
		return 0, true
	}
	if !r.awaitingQuota {
		t.requested += r.Charge
	}
	d.markDemandChanged()
	d.refill(t)
	first := len(t.awaitingQuota) == 0 || t.awaitingQuota[0] == r
	r.quotaPreempted = r.Charge <= d.availableQuota(t) && r.Charge+d.reservedQuota(t, r) > d.availableQuota(t)
	if r.quotaPreempted {
		return longQuotaRetryAfter, false
	}
	if first && d.deductQuota(t, r) {
		return 0, true
	}
	lacking := r.Charge - d.availableQuota(t)
	rate := d.quotaRate(t)
	if rate <= 0 || t.level+lacking > d.quotaDepth(t) {
		return longQuotaRetryAfter, false
	}
	wait = time.Duration(math.Ceil(lacking/rate*1000)) * time.Millisecond
	return min(wait, d.config.QuotaWindow), false
}

// availableQuota is what the tenant may spend now.
func (d *Decider) availableQuota(t *tenant) float64 {
	return d.remainingCredit(t) + t.level + d.maxOverdraft(t)
}

// remainingCredit is what is left of the tenant's credit.
func (d *Decider) remainingCredit(t *tenant) float64 {
	if d.now >= t.creditExpiresAt {
		t.credit = 0
	}
	return t.credit
}

// deductQuota takes the request's charge, from credit first, if there is enough.
func (d *Decider) deductQuota(t *tenant, r *request) bool {
	if r.Charge > d.availableQuota(t) {
		return false
	}
	fromCredit := min(d.remainingCredit(t), r.Charge)
	t.credit -= fromCredit
	t.level -= r.Charge - fromCredit
	t.admitted += r.Charge
	r.charged = r.Charge
	return true
}

// queueForQuota keeps a request until its tenant's quota allows it, for a moment, unless credit was not given lately.
func (d *Decider) queueForQuota(r *request) bool {
	t := d.tenants[r.Tenant]
	if d.now < t.creditBackoffUntil {
		return false
	}
	r.awaitingQuota = true
	r.stage = stageQueued
	t.awaitingQuota = append(t.awaitingQuota, r)
	r.queueDeadline = min(r.initialQueueDeadline(), r.arrived+quotaQueueTimeout)
	d.timers.add(r.queueDeadline, r)
	d.reportQuotaShortfall()
	return true
}

// admitAffordable lets go those whose tenant can pay now.
func (d *Decider) admitAffordable(t *tenant) {
	if len(t.awaitingQuota) == 0 {
		return
	}
	d.refill(t)
	for len(t.awaitingQuota) > 0 && d.deductQuota(t, t.awaitingQuota[0]) {
		r := t.awaitingQuota[0]
		d.removeFromQuotaQueue(r)
		d.admit(r)
	}
}

// removeFromQuotaQueue takes a request off those that wait to be paid.
func (d *Decider) removeFromQuotaQueue(r *request) {
	r.awaitingQuota = false
	if t := d.tenants[r.Tenant]; t != nil && slices.Contains(t.awaitingQuota, r) {
		t.awaitingQuota = remove(t.awaitingQuota, r)
	}
}

// onQuotaDeadline ends a request that could not be paid in time.
func (d *Decider) onQuotaDeadline(r *request) {
	wait, paid := d.charge(r)
	d.removeFromQuotaQueue(r)
	if paid {
		d.admit(r)
		return
	}
	d.tenants[r.Tenant].creditBackoffUntil = d.now + creditDenialBackoff
	d.reject(r, QuotaExceeded, wait)
}

// quotaShortfall is what the tenant's held requests need beyond what it may spend.
func (d *Decider) quotaShortfall(t *tenant) float64 {
	if len(t.awaitingQuota) == 0 {
		return 0
	}
	d.refill(t)
	sum := -d.availableQuota(t)
	for _, r := range t.awaitingQuota {
		sum += r.Charge
	}
	return max(sum, 0)
}

// refundQuota gives back the charge of a request that surely has not run.
func (d *Decider) refundQuota(r *request) {
	if r.charged == 0 || r.mayHaveExecuted {
		return
	}
	if t := d.tenants[r.Tenant]; t != nil {
		d.refill(t)
		t.level = min(t.level+r.charged, d.quotaDepth(t))
		t.admitted -= r.charged
	}
	r.charged = 0
}
