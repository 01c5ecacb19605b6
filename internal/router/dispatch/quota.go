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
	floorShare     = protocol.UngrantedRateShare // of its even part of the rate, that a router spends without a grant
	toleranceShare = protocol.OverdraftShare     // of the tolerance, that all routers together may be in debt
	longQuotaWait  = time.Second
	mostQuotaHold  = 80 * time.Millisecond  // that a request waits for credit
	quotaDrought   = 150 * time.Millisecond // without holding, after credit was not given in time
)

// tenant is one tenant's bucket on this router.
type tenant struct {
	name         string
	limit, burst float64 // of the whole, 0: no limit
	granted      protocol.QuotaGrant
	grantEnds    time.Duration
	level        float64
	filledAt     time.Duration
	asked, given float64 // since the last report

	credit     float64 // lent for requests that wait; spent first
	creditEnds time.Duration
	unpaid     []*request    // held until they can be paid, in order of arrival
	drought    time.Duration // nothing is held before, since credit did not come
	over       refusedOver
}

// configureTenants takes over the limits of a new configuration. Levels stay, below the new bounds.
func (d *Decider) configureTenants(tenants []configuration.Tenant) {
	named := make(map[string]bool, len(tenants))
	for i := range tenants {
		set := &tenants[i]
		named[set.Name] = true
		t := d.tenants[set.Name]
		if t == nil {
			t = &tenant{name: set.Name, filledAt: d.now}
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
			for _, r := range slices.Clone(t.unpaid) { // its key is not known any more, but was
				d.dropUnpaid(r)
				d.admit(r)
			}
			delete(d.tenants, name)
		}
	}
}

// grant takes over this router's part of a tenant's limit.
func (d *Decider) grant(granted protocol.QuotaGrant) {
	t := d.tenants[granted.Tenant]
	if t == nil {
		return
	}
	d.refill(t)
	t.granted = granted
	t.grantEnds = d.now + granted.TTL
	if granted.Credit > 0 {
		if d.now >= t.creditEnds {
			t.credit = 0
		}
		t.credit += granted.Credit
		t.creditEnds = d.now + granted.TTL
	}
	t.level = min(t.level, d.quotaDepth(t))
}

// quotaRate is what the tenant may spend here in a second.
func (d *Decider) quotaRate(t *tenant) float64 {
	if d.now < t.grantEnds {
		return min(t.granted.RatePerSecond, t.limit)
	}
	return t.limit / float64(d.routers) * floorShare
}

// quotaDepth is what the tenant's bucket holds at most.
func (d *Decider) quotaDepth(t *tenant) float64 {
	if d.now < t.grantEnds {
		return min(t.granted.Burst, t.burst)
	}
	return t.burst / float64(d.routers)
}

// quotaDebt is how far the tenant's bucket may go below nothing.
func (d *Decider) quotaDebt(t *tenant) float64 {
	whole := t.limit*d.options.QuotaWindow.Seconds() + t.burst
	return (whole*d.options.QuotaOvershootFraction + d.options.QuotaOvershootSlack) * toleranceShare / float64(d.routers)
}

// refill brings the bucket up to now. A grant that ended meanwhile counts up to its end.
func (d *Decider) refill(t *tenant) {
	end := min(d.now, t.grantEnds)
	if end > t.filledAt {
		rate := min(t.granted.RatePerSecond, t.limit)
		t.level += rate * (end - t.filledAt).Seconds()
		t.filledAt = end
	}
	if d.now > t.filledAt {
		t.level += d.quotaRate(t) * (d.now - t.filledAt).Seconds()
		t.filledAt = d.now
	}
	t.level = min(t.level, d.quotaDepth(t))
}

// charge takes the request's charge from its tenant, or says when there will be enough.
func (d *Decider) charge(r *request) (wait time.Duration, ok bool) {
	t := d.tenants[r.Tenant]
	if t == nil || t.limit <= 0 {
		return 0, true
	}
	if !r.unpaid {
		t.asked += r.Charge
	}
	d.changed()
	d.refill(t)
	first := len(t.unpaid) == 0 || t.unpaid[0] == r
	r.yields = r.Charge <= d.means(t) && r.Charge+d.reserve(t, r) > d.means(t)
	if r.yields {
		return longQuotaWait, false
	}
	if first && d.pay(t, r) {
		return 0, true
	}
	lacking := r.Charge - d.means(t)
	rate := d.quotaRate(t)
	if rate <= 0 || t.level+lacking > d.quotaDepth(t) {
		return longQuotaWait, false
	}
	wait = time.Duration(math.Ceil(lacking/rate*1000)) * time.Millisecond
	return min(wait, d.options.QuotaWindow), false
}

// means is what the tenant may spend now.
func (d *Decider) means(t *tenant) float64 {
	return d.lent(t) + t.level + d.quotaDebt(t)
}

// lent is what is left of the tenant's credit.
func (d *Decider) lent(t *tenant) float64 {
	if d.now >= t.creditEnds {
		t.credit = 0
	}
	return t.credit
}

// pay takes the request's charge, from credit first, if there is enough.
func (d *Decider) pay(t *tenant, r *request) bool {
	if r.Charge > d.means(t) {
		return false
	}
	fromCredit := min(d.lent(t), r.Charge)
	t.credit -= fromCredit
	t.level -= r.Charge - fromCredit
	t.given += r.Charge
	r.charged = r.Charge
	return true
}

// holdUnpaid keeps a request until its tenant's quota allows it, for a moment, unless credit was not given lately.
func (d *Decider) holdUnpaid(r *request) bool {
	t := d.tenants[r.Tenant]
	if d.now < t.drought {
		return false
	}
	r.unpaid = true
	r.stage = waiting
	t.unpaid = append(t.unpaid, r)
	r.holdUntil = min(r.patience(), r.arrived+mostQuotaHold)
	d.timers.add(r.holdUntil, r)
	d.lackQuota()
	return true
}

// payHeld lets go those whose tenant can pay now.
func (d *Decider) payHeld(t *tenant) {
	if len(t.unpaid) == 0 {
		return
	}
	d.refill(t)
	for len(t.unpaid) > 0 && d.pay(t, t.unpaid[0]) {
		r := t.unpaid[0]
		d.dropUnpaid(r)
		d.admit(r)
	}
}

// dropUnpaid takes a request off those that wait to be paid.
func (d *Decider) dropUnpaid(r *request) {
	r.unpaid = false
	if t := d.tenants[r.Tenant]; t != nil && slices.Contains(t.unpaid, r) {
		t.unpaid = without(t.unpaid, r)
	}
}

// refuseUnpaid ends a request that could not be paid in time.
func (d *Decider) refuseUnpaid(r *request) {
	wait, paid := d.charge(r)
	d.dropUnpaid(r)
	if paid {
		d.admit(r)
		return
	}
	d.tenants[r.Tenant].drought = d.now + quotaDrought
	d.refuse(r, QuotaExceeded, wait)
}

// lack is what the tenant's held requests need beyond what it may spend.
func (d *Decider) lack(t *tenant) float64 {
	if len(t.unpaid) == 0 {
		return 0
	}
	d.refill(t)
	sum := -d.means(t)
	for _, r := range t.unpaid {
		sum += r.Charge
	}
	return max(sum, 0)
}

// refund gives back the charge of a request that surely has not run.
func (d *Decider) refund(r *request) {
	if r.charged == 0 || r.mayHaveRun {
		return
	}
	if t := d.tenants[r.Tenant]; t != nil {
		d.refill(t)
		t.level = min(t.level+r.charged, d.quotaDepth(t))
		t.given -= r.charged
	}
	r.charged = 0
}
