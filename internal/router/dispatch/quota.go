package dispatch

import (
	"math"
	"slices"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// Quota: a tenant's limit is shared by all routers. Each router spends credit, which the control instances issue
// according to need, and which expires if it is not spent soon. While no credit is available, a router has its equal
// part of a small reserve.

// tenant is the state of one tenant's quota at this router.
type tenant struct {
	name         string
	limit, burst float64 // for all routers together; limit in units per second, 0: no limit
	credits      []credit
	reserve      reserve
	demand       demandRate

	quotaQueue            []*request             // requests that wait for credit, by rank and arrival
	pendingCreditRequests []pendingCreditRequest // oldest first
	lastRefusal           creditRefusal
	creditCheckScheduled  bool // it is in Decider.creditChecks
}

// credit is an amount that may be spent until it expires.
type credit struct {
	amount    float64
	expiresAt time.Duration
}

// reserve is a token bucket with this router's part of the reserve.
type reserve struct {
	level      float64
	refilledAt time.Duration
}

// configureTenants applies the limits of a new configuration, in its order. Credit remains valid.
func (d *Decider) configureTenants(tenants []configuration.Tenant) {
	configured := make(map[string]bool, len(tenants))
	for i := range tenants {
		settings := &tenants[i]
		configured[settings.Name] = true
		t := d.tenants[settings.Name]
		if t == nil {
			t = &tenant{name: settings.Name, reserve: reserve{refilledAt: d.now}}
			d.tenants[settings.Name] = t
		}
		d.refillReserve(t)
		t.limit, t.burst = settings.RatePerSecond, settings.Burst
	}
	d.removeTenants(configured)
}

// removeTenants removes tenants that are no longer configured, in order of name. Their requests that wait for credit
// are admitted, since their keys were valid on arrival.
func (d *Decider) removeTenants(configured map[string]bool) {
	var removed []string
	for name := range d.tenants {
		if !configured[name] {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	for _, name := range removed {
		for _, r := range slices.Clone(d.tenants[name].quotaQueue) {
			d.removeFromQuotaQueue(r)
			d.admit(r)
		}
		delete(d.tenants, name)
	}
}

// windowAllowance returns how much the tenant may spend per window, at all routers together.
func (d *Decider) windowAllowance(t *tenant) float64 {
	limit := t.limit*d.config.QuotaWindow.Seconds() + t.burst
	return limit*(1+d.config.QuotaOvershootFraction) + d.config.QuotaOvershootSlack
}

// reserveDepth returns the depth of the reserve's token bucket. An empty bucket is refilled within one window, so
// that depth and refill together are this router's part of the reserve in each window.
func (d *Decider) reserveDepth(t *tenant) float64 {
	return d.windowAllowance(t) * protocol.ReservedShare / float64(d.routerCount) / 2
}

// refillReserve refills the tenant's reserve for the time since the last refill.
func (d *Decider) refillReserve(t *tenant) {
	depth := d.reserveDepth(t)
	refill := depth * (d.now - t.reserve.refilledAt).Seconds() / d.config.QuotaWindow.Seconds()
	t.reserve.level = math.Min(t.reserve.level+refill, depth)
	t.reserve.refilledAt = d.now
}

// availableCredit removes expired credit and returns how much may be spent now.
func (d *Decider) availableCredit(t *tenant) float64 {
	t.credits = slices.DeleteFunc(t.credits, func(c credit) bool { return d.now >= c.expiresAt || c.amount <= 0 })
	sum := 0.0
	for _, c := range t.credits {
		sum += c.amount
	}
	return sum
}

// addCredit inserts credit in order of expiry.
func (t *tenant) addCredit(added credit) {
	index, _ := slices.BinarySearchFunc(t.credits, added.expiresAt, func(c credit, expiresAt time.Duration) int { return int(c.expiresAt - expiresAt) })
	t.credits = slices.Insert(t.credits, index, added)
}

// chargeCredit charges the request to the credit that expires first. It returns false, and charges nothing, if there
// is not enough.
func (d *Decider) chargeCredit(t *tenant, r *request) bool {
	if r.Charge > d.availableCredit(t)+creditTolerance {
		return false
	}
	remaining := r.Charge
	for i := range t.credits {
		used := math.Min(remaining, t.credits[i].amount)
		t.credits[i].amount -= used
		remaining -= used
		r.creditExpiresAt = t.credits[i].expiresAt
		if remaining <= 0 {
			break
		}
	}
	r.charged = r.Charge
	return true
}

// chargeReserve charges the request to the reserve. It returns false, and charges nothing, if there is not enough.
func (d *Decider) chargeReserve(t *tenant, r *request) bool {
	d.refillReserve(t)
	if r.Charge > t.reserve.level {
		return false
	}
	t.reserve.level -= r.Charge
	r.charged, r.creditExpiresAt = r.Charge, 0
	return true
}

// refundQuota refunds the charge of a request that certainly has not executed, unless the credit has expired.
func (d *Decider) refundQuota(r *request) {
	if r.charged == 0 || r.mayHaveExecuted {
		return
	}
	t := d.tenants[r.Tenant]
	switch {
	case t == nil:
	case r.creditExpiresAt == 0:
		d.refillReserve(t)
		t.reserve.level = math.Min(t.reserve.level+r.charged, d.reserveDepth(t))
	case d.now < r.creditExpiresAt:
		t.addCredit(credit{amount: r.charged, expiresAt: r.creditExpiresAt})
	}
	r.charged = 0
}
