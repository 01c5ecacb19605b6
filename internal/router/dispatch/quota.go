package dispatch

import (
	"math"
	"slices"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// Quota: a tenant's limit is shared by all routers. Each spends credit, which control instances issue by need and which is lost when it
// is not spent soon. While none can be had, a router has its even part of a small reserve.

// tenant is one tenant's limit on this router.
type tenant struct {
	name         string
	limit, burst float64 // of all routers together, limit in units per second; 0: no limit
	credits      []credit
	reserve      reserve
	demand       demandRate

	awaitingQuota []*request      // by rank and arrival
	asked         []creditInquiry // requests for credit under way, oldest first
	refused       creditRefusal   // newest
	inAskers      bool            // in Decider.creditAskers
}

// credit is an amount that may be spent until it expires.
type credit struct {
	amount    float64
	expiresAt time.Duration
}

// reserve is a token bucket for this router's part of the reserve.
type reserve struct {
	level      float64
	refilledAt time.Duration
}

// configureTenants applies the limits of a new configuration, in its order. Credit stays.
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

// removeTenants removes tenants that are no longer configured, by name. Their keys are not known any more, but were: what waits is
// admitted.
func (d *Decider) removeTenants(configured map[string]bool) {
	var removed []string
	for name := range d.tenants {
		if !configured[name] {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	for _, name := range removed {
		for _, r := range slices.Clone(d.tenants[name].awaitingQuota) {
			d.removeFromQuotaQueue(r)
			d.admit(r)
		}
		delete(d.tenants, name)
	}
}

// windowAllowance returns what the tenant may spend in a window at all routers together.
func (d *Decider) windowAllowance(t *tenant) float64 {
	limit := t.limit*d.config.QuotaWindow.Seconds() + t.burst
	return limit*(1+d.config.QuotaOvershootFraction) + d.config.QuotaOvershootSlack
}

// reserveDepth returns the depth of the reserve's bucket. It is filled in one window, so that depth and refill together are this
// router's part of the reserve in each window.
func (d *Decider) reserveDepth(t *tenant) float64 {
	return d.windowAllowance(t) * protocol.ReservedShare / float64(d.routerCount) / 2
}

func (d *Decider) refillReserve(t *tenant) {
	depth := d.reserveDepth(t)
	filled := depth * (d.now - t.reserve.refilledAt).Seconds() / d.config.QuotaWindow.Seconds()
	t.reserve.level = math.Min(t.reserve.level+filled, depth)
	t.reserve.refilledAt = d.now
}

// availableCredit drops what has expired and returns what may be spent now.
func (d *Decider) availableCredit(t *tenant) float64 {
	t.credits = slices.DeleteFunc(t.credits, func(c credit) bool { return d.now >= c.expiresAt || c.amount <= 0 })
	sum := 0.0
	for _, c := range t.credits {
		sum += c.amount
	}
	return sum
}

// addCredit adds credit behind what expires sooner.
func (t *tenant) addCredit(added credit) {
	at, _ := slices.BinarySearchFunc(t.credits, added.expiresAt, func(c credit, at time.Duration) int { return int(c.expiresAt - at) })
	t.credits = slices.Insert(t.credits, at, added)
}

// payFromCredit takes the request's charge from the credit that expires soonest, if there is enough.
func (d *Decider) payFromCredit(t *tenant, r *request) bool {
	if r.Charge > d.availableCredit(t)+creditRounding {
		return false
	}
	left := r.Charge
	for i := range t.credits {
		used := math.Min(left, t.credits[i].amount)
		t.credits[i].amount -= used
		left -= used
		r.creditExpiresAt = t.credits[i].expiresAt
		if left <= 0 {
			break
		}
	}
	r.charged = r.Charge
	return true
}

// payFromReserve takes the request's charge from the reserve, if there is enough.
func (d *Decider) payFromReserve(t *tenant, r *request) bool {
	d.refillReserve(t)
	if r.Charge > t.reserve.level {
		return false
	}
	t.reserve.level -= r.Charge
	r.charged, r.creditExpiresAt = r.Charge, 0
	return true
}

// refundQuota returns the charge of a request that surely has not executed, unless the credit has expired.
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
