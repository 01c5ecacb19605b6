package quota

import (
	"math"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// tenant is one limit, what was spent of it, and its division among the routers.
type tenant struct {
	name        string
	rate, burst float64
	allocations map[Router]*allocation

	spentPerInterval []float64 // by recordInterval, oldest first
	newestInterval   time.Time // begin of the newest interval

	usesCredits      bool    // a router has reported a shortfall: its routers are granted credit
	typicalShortfall float64 // of a report with a shortfall, exponentially averaged

	observedSince  time.Time
	observedDemand float64 // since then
}

// newTenant makes a tenant of whose past nothing is known: it is assumed to have spent more than its rate.
func newTenant(now time.Time, name string, rate float64, config Config) *tenant {
	intervals := int(config.Window/recordInterval) + 2
	t := &tenant{
		name:             name,
		rate:             rate,
		allocations:      map[Router]*allocation{},
		spentPerInterval: make([]float64, intervals),
		newestInterval:   now,
		observedSince:    now,
	}
	for i := range t.spentPerInterval {
		t.spentPerInterval[i] = assumedSpendingFactor * rate * recordInterval.Seconds()
	}
	return t
}

// assumePriorSpending accounts, when the allocator begins to act, for what an earlier leader may have let the tenant
// spend. A tenant with pressing demand, or of which too little was observed, is assumed to have spent a complete window's
// allowance at once when the observation began. The routers that could not report are taken to have as much demand as
// the others, unless they were so many that nothing can be said.
func (t *tenant) assumePriorSpending(now time.Time, config Config, routerFraction float64) {
	t.advance(now)
	observed := now.Sub(t.observedSince)
	modest := pressingDemandFactor*t.rate*observed.Seconds() + pressingShortfalls*t.typicalShortfall
	sufficient := observed >= minObservationTime && routerFraction >= minObservedRouterFraction
	if sufficient && t.observedDemand <= modest*routerFraction {
		return
	}
	at := len(t.spentPerInterval) - 1 - int(observed/recordInterval)
	if at < 0 {
		return
	}
	t.spentPerInterval[at] = math.Max(t.spentPerInterval[at], t.windowAllowance(config))
}

// report takes in one router's demand and spending over a span of time.
func (t *tenant) report(now time.Time, id Router, row protocol.TenantDemand, span time.Duration) {
	t.advance(now)
	a := t.allocations[id]
	if a == nil {
		a = &allocation{router: id, reportedAt: now.Add(-span)}
		t.allocations[id] = a
	}
	elapsed := now.Sub(a.reportedAt).Seconds()
	decay := math.Exp(-elapsed / demandTimeConstant.Seconds())
	a.demand = a.demand*decay + row.Requested/demandTimeConstant.Seconds()
	a.reportedAt, a.shortfall = now, row.Shortfall
	t.observedDemand += row.Requested
	if row.Shortfall > 0 {
		t.typicalShortfall += (row.Shortfall - t.typicalShortfall) * shortfallSmoothing
		t.usesCredits = true
	}
	if row.Requested > 0 || row.Shortfall > 0 {
		a.demandedAt = now
	}
	a.spendCredits(row.Admitted)
	if now.Sub(t.observedSince) < creditGrantTTL { // credit of an earlier leader may still be in force
		a.inheritedCredit = credit{
			amount:    math.Max(0, row.RemainingCredit-a.outstandingCredit()),
			expiresAt: t.observedSince.Add(creditGrantTTL),
		}
	}
	t.spentPerInterval[len(t.spentPerInterval)-1] += row.Admitted
}

// grantTTL is how long a grant is in force.
func (t *tenant) grantTTL() time.Duration {
	if t.usesCredits {
		return creditGrantTTL
	}
	return rateGrantTTL
}

// active returns the allocations of connected routers with recent demand, ordered by router. Those of routers out of reach
// are charged with what they may spend.
func (t *tenant) active(now time.Time, routers map[Router]*router, floor float64) []*allocation {
	var active []*allocation
	for id, a := range t.allocations {
		a.expire(now)
		if routers[id] == nil {
			t.assumeSpending(now, a, floor)
			continue
		}
		a.unreachableSince = time.Time{}
		if now.Sub(a.demandedAt) < idleTimeout {
			active = append(active, a)
		}
	}
	slices.SortFunc(active, func(x, y *allocation) int { return x.router.compare(y.router) })
	return active
}

// assumeSpending counts what a router out of reach may be spending: at once its credit and depth, then its rate. After
// unreachableTimeout it is taken as ended; what it spent unreported has then left all open windows, except for the
// amounts that it may have refilled.
func (t *tenant) assumeSpending(now time.Time, a *allocation, floor float64) {
	newest := len(t.spentPerInterval) - 1
	if a.unreachableSince.IsZero() {
		a.unreachableSince, a.assumedUntil = now, now
		t.spentPerInterval[newest] += a.outstandingCredit() + a.maxDepth()
		a.credits, a.inheritedCredit = nil, credit{}
	}
	t.spentPerInterval[newest] += (floor + a.maxExtraRate()) * now.Sub(a.assumedUntil).Seconds()
	a.assumedUntil = now
	if now.Sub(a.unreachableSince) > unreachableTimeout {
		delete(t.allocations, a.router)
	}
}

// recordGrant takes in that a grant is being sent. From now on it counts as in force.
func (t *tenant) recordGrant(now time.Time, id Router, batch uint64, sent protocol.QuotaGrant, config Config) {
	a := t.allocations[id]
	expiresAt := now.Add(sent.TTL + config.DeliveryTimeout)
	a.outstandingGrants = append(a.outstandingGrants, grant{
		batch:     batch,
		rate:      sent.RatePerSecond,
		depth:     sent.Burst,
		extraRate: a.extraRate,
		sentAt:    now,
		ttl:       sent.TTL,
		expiresAt: expiresAt,
	})
	if sent.Credit > 0 {
		a.credits = append(a.credits, credit{batch: batch, amount: sent.Credit})
	}
	for i := range a.credits { // every grant prolongs them
		a.credits[i].expiresAt = expiresAt
	}
}
