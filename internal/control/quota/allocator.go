package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// Router identifies one incarnation of a router, which spends on its own account.
type Router struct {
	Node        string
	Incarnation uint64
}

func (r Router) compare(other Router) int {
	return cmp.Or(cmp.Compare(r.Node, other.Node), cmp.Compare(r.Incarnation, other.Incarnation))
}

// Confirmation says that a router has a batch of grants in force.
type Confirmation struct {
	Router
	BatchID uint64
}

// Input is all that is new since the last step.
type Input struct {
	Configuration *configuration.Configuration // nil: unchanged
	Routers       []Router                     // all that are connected, every step
	// MinRouterCount is the smallest number of routers that any router may assume when it computes its floor;
	// 0: len(Routers).
	MinRouterCount int
	Reports        []protocol.Report // each once
	Confirmations  []Confirmation
	ObserveOnly    bool // this instance may not grant yet
}

// GrantBatch is one message to one router. It replaces the router's earlier grants for the tenants it names.
type GrantBatch struct {
	Router
	ID     uint64 // rises with every batch of this allocator
	Grants []protocol.QuotaGrant
}

// Output is what the host carries out.
type Output struct {
	Batches []GrantBatch // to be sent at once
	WakeAt  time.Time    // when the next step is due, if nothing arrives before
}

// Allocator divides the tenants' limits. It is not safe for concurrent use.
type Allocator struct {
	config         Config
	startedAt      time.Time // first step
	actingSince    time.Time // first step that might grant; zero: none yet
	tenants        map[string]*tenant
	sortedTenants  []*tenant // by name
	routers        map[Router]*router
	batchID        uint64 // newest
	minRouterCount int

	// How much of the routers' demand was observed before the first grant, in router-seconds.
	observedAt       time.Time
	connectedSeconds float64
	expectedSeconds  float64 // had all routers been connected
}

// router is a connected router.
type router struct {
	reportSequence uint64 // newest
	grantedAt      time.Time
}

// New makes an allocator that has granted nothing.
func New(config Config) *Allocator {
	return &Allocator{config: config.withDefaults(), tenants: map[string]*tenant{}, routers: map[Router]*router{}}
}

// Step takes in what is new and returns the grants that are due. Time must not run backwards between steps.
func (a *Allocator) Step(now time.Time, in Input) Output {
	if a.startedAt.IsZero() {
		a.startedAt = now
	}
	if in.Configuration != nil {
		a.configure(now, in.Configuration.Tenants)
	}
	a.updateRouters(in)
	a.observeRouters(now)
	for _, confirmation := range in.Confirmations {
		a.confirm(now, confirmation)
	}
	for _, report := range in.Reports {
		a.report(now, report)
	}
	out := Output{WakeAt: now.Add(wakeInterval)}
	if a.mayGrant(now, in.ObserveOnly) {
		out.Batches = a.grant(now)
	}
	return out
}

// mayGrant reports whether enough is known of the past for grants. The first time that the allocator acts, it accounts for
// what earlier leaders granted.
func (a *Allocator) mayGrant(now time.Time, observeOnly bool) bool {
	if observeOnly || a.actingSince.IsZero() && now.Sub(a.startedAt) < minObservationTime {
		return false
	}
	if a.actingSince.IsZero() {
		a.actingSince = now
		for _, t := range a.sortedTenants {
			t.assumePriorSpending(now, a.config, a.observedRouterFraction())
		}
	}
	return now.Sub(a.actingSince) >= a.inheritedGrantTTL()-a.config.IdleBefore
}

// inheritedGrantTTL is how long the grants of an earlier leader may still be in force after its last one. It is that of
// rate grants: newTenant and inheritedCredit account for the credit of longer ones, whose rates hardly exceed the
// floors.
func (a *Allocator) inheritedGrantTTL() time.Duration { return rateGrantTTL + a.config.DeliveryTimeout }

// configure takes in the tenants that have a limit. Grants under a former limit count until they expire.
func (a *Allocator) configure(now time.Time, tenants []configuration.Tenant) {
	limited := map[string]bool{}
	for _, configured := range tenants {
		if configured.RatePerSecond <= 0 {
			continue
		}
		limited[configured.Name] = true
		t := a.tenants[configured.Name]
		if t == nil {
			t = newTenant(now, configured.Name, configured.RatePerSecond, a.config)
			a.tenants[configured.Name] = t
		}
		t.rate, t.burst = configured.RatePerSecond, configured.Burst
	}
	maps.DeleteFunc(a.tenants, func(name string, _ *tenant) bool { return !limited[name] })
	a.sortedTenants = slices.SortedFunc(maps.Values(a.tenants), func(x, y *tenant) int { return cmp.Compare(x.name, y.name) })
}

// updateRouters takes in which routers are connected.
func (a *Allocator) updateRouters(in Input) {
	a.minRouterCount = in.MinRouterCount
	if a.minRouterCount <= 0 {
		a.minRouterCount = len(in.Routers)
	}
	connected := make(map[Router]bool, len(in.Routers))
	for _, id := range in.Routers {
		connected[id] = true
		if a.routers[id] == nil {
			a.routers[id] = &router{}
		}
	}
	maps.DeleteFunc(a.routers, func(id Router, _ *router) bool { return !connected[id] })
}

// observeRouters notes for how long how many of the routers could report, until the first step that might grant.
func (a *Allocator) observeRouters(now time.Time) {
	if !a.actingSince.IsZero() {
		return
	}
	if !a.observedAt.IsZero() {
		elapsed := now.Sub(a.observedAt).Seconds()
		a.connectedSeconds += elapsed * float64(min(len(a.routers), a.minRouterCount))
		a.expectedSeconds += elapsed * float64(a.minRouterCount)
	}
	a.observedAt = now
}

// observedRouterFraction is the part of the routers, on average over the observation, whose reports could arrive; 1 if
// there are none.
func (a *Allocator) observedRouterFraction() float64 {
	if a.expectedSeconds == 0 {
		return 1
	}
	return a.connectedSeconds / a.expectedSeconds
}

// report takes in a router's report, unless it is a repeated or late one.
func (a *Allocator) report(now time.Time, report protocol.Report) {
	id := Router{report.Node, report.Incarnation}
	if r := a.routers[id]; r != nil {
		if report.Sequence != 0 && report.Sequence <= r.reportSequence {
			return
		}
		r.reportSequence = report.Sequence
	}
	for _, row := range report.Tenants {
		if t := a.tenants[row.Tenant]; t != nil {
			t.report(now, id, row, report.Window)
		}
	}
}

func (a *Allocator) confirm(now time.Time, confirmation Confirmation) {
	for _, t := range a.sortedTenants {
		if allocation := t.allocations[confirmation.Router]; allocation != nil {
			allocation.confirm(now, confirmation.BatchID)
		}
	}
}

// grant divides every tenant's limit and returns one batch for each router with a grant that is due.
func (a *Allocator) grant(now time.Time) []GrantBatch {
	due := map[Router][]protocol.QuotaGrant{}
	for _, t := range a.sortedTenants {
		a.divide(now, t, due)
	}
	var batches []GrantBatch
	for _, id := range slices.SortedFunc(maps.Keys(due), Router.compare) {
		a.batchID++
		a.routers[id].grantedAt = now
		for _, grant := range due[id] {
			a.tenants[grant.Tenant].recordGrant(now, id, a.batchID, grant, a.config)
		}
		batches = append(batches, GrantBatch{Router: id, ID: a.batchID, Grants: due[id]})
	}
	return batches
}

// divide decides every active router's allocation of one tenant's limit and adds the grants that are due.
func (a *Allocator) divide(now time.Time, t *tenant, due map[Router][]protocol.QuotaGrant) {
	t.advance(now)
	if a.minRouterCount == 0 {
		return
	}
	floor := t.rate * protocol.UngrantedRateShare / float64(a.minRouterCount)
	active := t.active(now, a.routers, floor)
	if len(active) == 0 {
		return
	}
	evenDepth := t.burst / float64(a.minRouterCount)
	depth := t.totalDepth(a.config)
	inactive := max(0, a.minRouterCount-len(active))
	t.divideDepth(now, active, depth-evenDepth*float64(inactive))
	t.divideRate(now, active, floor, t.grantableRate(now, depth, a.config))
	credits := t.divideCredit(now, active, t.grantableCredit(now, depth, a.config))
	for i, allocation := range active {
		mustSend := allocation.mustSend(now, floor, evenDepth) &&
			now.Sub(a.routers[allocation.router].grantedAt) >= minSendInterval
		if credits[i] <= 0 && !mustSend {
			continue
		}
		allocation.shortfall = 0
		due[allocation.router] = append(due[allocation.router], protocol.QuotaGrant{
			Tenant:        t.name,
			RatePerSecond: floor + allocation.extraRate,
			Burst:         allocation.depth,
			TTL:           t.grantTTL(),
			Credit:        credits[i],
		})
	}
}
