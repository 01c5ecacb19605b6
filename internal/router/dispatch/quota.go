package dispatch

import (
	"math"
	"slices"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// Quota: a tenant's limit is shared by all routers. Each spends what the control plane granted it. Without a valid grant it spends a rate
// that is safe whatever the others do: all ungranted rates together are half of the limit. The token bucket may be overdrawn by this
// router's part of the tolerance, so that a request larger than the bucket can be served.

const (
	ungrantedRateShare  = protocol.UngrantedRateShare // of its even part of the limit, that a router spends without a grant
	overdraftShare      = protocol.OverdraftShare     // of the tolerance, that all routers together may overdraw
	longQuotaRetryAfter = time.Second
)

// tenant is one tenant's token bucket on this router.
type tenant struct {
	name                string
	limit, burst        float64 // of all routers together, limit in units per second; 0: no limit
	grant               protocol.QuotaGrant
	grantExpiresAt      time.Duration
	level               float64 // of the bucket; negative: overdrawn
	refilledAt          time.Duration
	requested, admitted float64 // since the last report

	credit             float64 // lent for requests that wait; spent first
	creditExpiresAt    time.Duration
	awaitingQuota      []*request    // in order of arrival
	creditBackoffUntil time.Duration // no request waits for quota before, since credit was not granted
	denials            quotaDenials
}

// configureTenants applies the limits of a new configuration. Levels stay, within the new bounds.
func (d *Decider) configureTenants(tenants []configuration.Tenant) {
	configured := make(map[string]bool, len(tenants))
	for i := range tenants {
		settings := &tenants[i]
		configured[settings.Name] = true
		t := d.tenants[settings.Name]
		if t == nil {
			t = &tenant{name: settings.Name, refilledAt: d.now}
			d.tenants[settings.Name] = t
			t.limit, t.burst = settings.RatePerSecond, settings.Burst
			t.level = d.quotaDepth(t)
			continue
		}
		d.refill(t)
		t.limit, t.burst = settings.RatePerSecond, settings.Burst
		t.level = min(t.level, d.quotaDepth(t))
	}
	for name, t := range d.tenants {
		if !configured[name] {
			for _, r := range slices.Clone(t.awaitingQuota) { // its key is not known any more, but was
				d.removeFromQuotaQueue(r)
				d.admit(r)
			}
			delete(d.tenants, name)
		}
	}
}

// applyGrant applies this router's part of a tenant's limit.
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

// quotaRate returns what the tenant may spend at this router per second.
func (d *Decider) quotaRate(t *tenant) float64 {
	if d.now < t.grantExpiresAt {
		return min(t.grant.RatePerSecond, t.limit)
	}
	return t.limit / float64(d.routerCount) * ungrantedRateShare
}

// quotaDepth returns the depth of the tenant's bucket.
func (d *Decider) quotaDepth(t *tenant) float64 {
	if d.now < t.grantExpiresAt {
		return min(t.grant.Burst, t.burst)
	}
	return t.burst / float64(d.routerCount)
}

// maxOverdraft returns how far the tenant's bucket may fall below 0.
func (d *Decider) maxOverdraft(t *tenant) float64 {
	limit := t.limit*d.config.QuotaWindow.Seconds() + t.burst
	return (limit*d.config.QuotaOvershootFraction + d.config.QuotaOvershootSlack) * overdraftShare / float64(d.routerCount)
}

// refill brings the bucket up to now. A grant that expired meanwhile counts until its expiry.
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

// charge takes the request's charge from its tenant's bucket, or returns when there will be enough.
func (d *Decider) charge(r *request) (wait time.Duration, ok bool) {
	t := d.tenants[r.Tenant]
	if t == nil || t.limit <= 0 {
		return 0, true
	}
	if !r.awaitingQuota {
		t.requested += r.Charge
	}
	d.noteDemandChanged()
	d.refill(t)
	first := len(t.awaitingQuota) == 0 || t.awaitingQuota[0] == r
	r.quotaPreempted = r.Charge <= d.availableQuota(t) && r.Charge+d.reservedQuota(t, r) > d.availableQuota(t)
	if r.quotaPreempted {
		return longQuotaRetryAfter, false
	}
	if first && d.deductQuota(t, r) {
		return 0, true
	}
	missing := r.Charge - d.availableQuota(t)
	rate := d.quotaRate(t)
	if rate <= 0 || t.level+missing > d.quotaDepth(t) {
		return longQuotaRetryAfter, false
	}
	wait = time.Duration(math.Ceil(missing/rate*1000)) * time.Millisecond
	return min(wait, d.config.QuotaWindow), false
}

// availableQuota returns what the tenant may spend now.
func (d *Decider) availableQuota(t *tenant) float64 {
	return d.remainingCredit(t) + t.level + d.maxOverdraft(t)
}

// remainingCredit returns what is left of the tenant's credit.
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

// quotaShortfall returns what the tenant's waiting requests need beyond what it may spend.
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

// refundQuota returns the charge of a request that surely has not executed.
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
