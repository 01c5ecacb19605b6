package dispatch

import (
	"math"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// Quotas: a tenant's whole is shared by all routers. Each spends what the control plane granted it. Without
// a fresh grant it spends a floor that is safe whatever the others do: all floors together are half of the
// rate. The bucket may go into debt by this router's part of the tolerance, so that a request larger than
// the bucket is served.
const (
	floorShare     = 0.5 // of its even part of the rate, that a router spends without a grant
	toleranceShare = 0.5 // of the tolerance, that all routers together may be in debt
	longQuotaWait  = time.Second
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
			t.limit, t.burst = set.RatePerS, set.Burst
			t.level = d.quotaDepth(t)
			continue
		}
		d.refill(t)
		t.limit, t.burst = set.RatePerS, set.Burst
		t.level = min(t.level, d.quotaDepth(t))
	}
	for name := range d.tenants {
		if !named[name] {
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
	t.grantEnds = d.now + granted.For
	t.level = min(t.level, d.quotaDepth(t))
}

// quotaRate is what the tenant may spend here in a second.
func (d *Decider) quotaRate(t *tenant) float64 {
	if d.now < t.grantEnds {
		return min(t.granted.RatePerS, t.limit)
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
	return (whole*d.options.QuotaOver + d.options.QuotaSlack) * toleranceShare / float64(d.routers)
}

// refill brings the bucket up to now. A grant that ended meanwhile counts up to its end.
func (d *Decider) refill(t *tenant) {
	end := min(d.now, t.grantEnds)
	if end > t.filledAt {
		rate := min(t.granted.RatePerS, t.limit)
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
	t.asked += r.Charge
	d.changed()
	d.refill(t)
	lacking := r.Charge - t.level - d.quotaDebt(t)
	if lacking <= 0 {
		t.level -= r.Charge
		t.given += r.Charge
		r.charged = r.Charge
		return 0, true
	}
	rate := d.quotaRate(t)
	if rate <= 0 || t.level+lacking > d.quotaDepth(t) {
		return longQuotaWait, false
	}
	wait = time.Duration(math.Ceil(lacking/rate*1000)) * time.Millisecond
	return min(wait, d.options.QuotaWindow), false
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
