// Package quota divides each tenant's limit among the routers. It is pure: the host passes in what routers
// report and which of them are there, and sends the grants that come back. One instance acts at a time.
//
// Invariant (quota_test.go): in no window does a tenant spend more than the rule allows, whatever becomes of
// the messages, as long as a grant that arrives later than Options.Delivery after it was sent never arrives.
// Every router spends at most its bucket's depth, its part of the debt, and the larger of its grant's rate and
// of its floor. For each window that is still open the allocator adds what was spent in it to the most that may
// be spent until its end, and hands out only what then remains.
package quota

import (
	"cmp"
	"slices"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// Config of an Allocator. Zero fields take the defaults.
type Config struct {
	Window            time.Duration // quota_window_s
	OvershootFraction float64       // quota_over
	OvershootSlack    float64       // quota_slack
	IdleBefore        time.Duration // no other holder has granted anything for so long before New
	DeliveryTimeout   time.Duration // a grant arrives within it or never
	Confirms          bool          // the host passes in confirmations; without them a grant counts until it has run out
}

// Defaults and times.
const (
	DefaultWindow          = 8 * time.Second
	DefaultDeliveryTimeout = 750 * time.Millisecond

	pulledFor    = 4 * time.Second         // a grant is good for so long where routers ask for credits
	pushedFor    = 1500 * time.Millisecond // and where they don't
	renewPart    = 0.5                     // of its time, after which it is renewed
	reportLag    = 700 * time.Millisecond  // what a router spent so long ago is surely reported
	idleAfter    = 4 * time.Second         // a router without demand for so long needs no grant
	demandTime   = 4000 * time.Millisecond // over which demand is averaged
	bucketSpan   = 250 * time.Millisecond  // of the record of what was spent
	changePart   = 0.1                     // a part is sent anew when it changed by more
	pulledAmple  = 0.0                     // a router's rate is to exceed its demand by this factor, with credits
	pushedAmple  = 1.5                     // and without
	stockTime    = 2 * time.Second         // of demand that a router is to have in credits
	stockLow     = 0.5                     // of its stock, below which it is filled up
	stockLacks   = 5                       // a stock smaller than so many usual lacks serves nobody
	lackBy       = 0.1                     // by how much a new lack changes the usual one
	goneAfter    = 30 * time.Second        // a router out of reach for so long has ended
	stockPart    = 0.25                    // of what may be lent, at most so much for stocks
	reserve      = 0.02                    // of what a window allows, never handed out
	depthPart    = 0.2                     // of what a window allows beyond rate and burst, given to the buckets' depth
	evenPart     = 0.2                     // of the depth, divided evenly among the routers that ask
	betweenSends = 150 * time.Millisecond  // grants to one router, unless it lacks
	wakeEvery    = 250 * time.Millisecond
)

// Router is one process that spends.
type Router struct {
	Node        string
	Incarnation uint64
}

// Confirmation says that a router has a batch of grants in force.
type Confirmation struct {
	Router
	BatchID uint64
}

// Input is all that is new since the last step.
type Input struct {
	Configuration  *configuration.Configuration // nil: unchanged
	Routers        []Router                     // all that are there, every step
	MinRouterCount int                          // least number of routers that any router may believe in, 0: len(Routers)
	Reports        []protocol.Report            // each once
	Confirmations  []Confirmation
	ObserveOnly    bool // this instance may not grant yet, and only learns
}

// GrantBatch is one message to one router.
type GrantBatch struct {
	Router
	ID     uint64
	Grants []protocol.QuotaGrant
}

// Output is what the host sends.
type Output struct {
	Batches []GrantBatch
	WakeAt  time.Time
}

// Allocator divides the limits.
type Allocator struct {
	options Config
	start   time.Time
	acting  time.Time // first step that was not only gathering
	tenants map[string]*tenant
	order   []*tenant
	routers map[Router]*router
	batch   uint64
	floors  int
}

// router is what is known of a process that spends.
type router struct {
	id       Router
	sequence uint64
	sentAt   time.Time
	gone     bool
}

// New makes an allocator that has granted nothing.
func New(options Config) *Allocator {
	if options.Window <= 0 {
		options.Window = DefaultWindow
	}
	if options.DeliveryTimeout <= 0 {
		options.DeliveryTimeout = DefaultDeliveryTimeout
	}
	return &Allocator{options: options, tenants: map[string]*tenant{}, routers: map[Router]*router{}}
}

// Step takes in what is new and returns the grants that are due.
func (a *Allocator) Step(now time.Time, in Input) Output {
	if a.start.IsZero() {
		a.start = now
	}
	if in.Configuration != nil {
		a.configure(now, in.Configuration.Tenants)
	}
	a.meet(in)
	for _, confirmation := range in.Confirmations {
		a.confirm(now, confirmation)
	}
	for _, report := range in.Reports {
		a.report(now, report)
	}
	out := Output{WakeAt: now.Add(wakeEvery)}
	if in.ObserveOnly || a.acting.IsZero() && now.Sub(a.start) < judgedOver {
		return out
	}
	if a.acting.IsZero() {
		a.acting = now
		for _, t := range a.order {
			t.judgePast(now, a.options)
		}
	}
	if now.Sub(a.acting) < a.earlier()-a.options.IdleBefore {
		return out
	}
	lists := map[Router][]protocol.QuotaGrant{}
	for _, t := range a.order {
		a.divide(now, t, lists)
	}
	a.send(now, lists, &out)
	return out
}

// earlier is how long an earlier holder's grants may still be in force after its last. Their credits are counted
// by newTenant, their rates are hardly above the floors.
func (a *Allocator) earlier() time.Duration { return pushedFor + a.options.DeliveryTimeout }

// configure takes the tenants. Grants of an old limit count until they end.
func (a *Allocator) configure(now time.Time, tenants []configuration.Tenant) {
	seen := map[string]bool{}
	for _, told := range tenants {
		if told.RatePerS <= 0 {
			continue
		}
		seen[told.Name] = true
		t := a.tenants[told.Name]
		if t == nil {
			t = newTenant(now, told.Name, told.RatePerS, a.options)
			a.tenants[told.Name] = t
		}
		t.rate, t.burst = told.RatePerS, told.Burst
	}
	a.order = a.order[:0]
	for name, t := range a.tenants {
		if !seen[name] {
			delete(a.tenants, name)
			continue
		}
		a.order = append(a.order, t)
	}
	slices.SortFunc(a.order, func(x, y *tenant) int { return cmp.Compare(x.name, y.name) })
}

// meet takes the set of routers.
func (a *Allocator) meet(in Input) {
	a.floors = in.MinRouterCount
	if a.floors <= 0 {
		a.floors = len(in.Routers)
	}
	for _, r := range a.routers {
		r.gone = true
	}
	for _, id := range in.Routers {
		if a.routers[id] == nil {
			a.routers[id] = &router{id: id}
		}
		a.routers[id].gone = false
	}
	for id, r := range a.routers {
		if r.gone {
			delete(a.routers, id)
		}
	}
}

func (a *Allocator) report(now time.Time, report protocol.Report) {
	r := a.routers[Router{report.Node, report.Incarnation}]
	if r != nil {
		if report.Sequence != 0 && report.Sequence <= r.sequence {
			return
		}
		r.sequence = report.Sequence
	}
	id := Router{report.Node, report.Incarnation}
	for _, row := range report.Tenants {
		if t := a.tenants[row.Tenant]; t != nil {
			t.report(now, id, row, report.Over)
		}
	}
}

func (a *Allocator) confirm(now time.Time, confirmation Confirmation) {
	for _, t := range a.order {
		if p := t.parts[confirmation.Router]; p != nil {
			p.confirm(now, confirmation.BatchID)
		}
	}
}

// send makes one message for each router that has something new.
func (a *Allocator) send(now time.Time, lists map[Router][]protocol.QuotaGrant, out *Output) {
	ids := make([]Router, 0, len(lists))
	for id := range lists {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(x, y Router) int {
		return cmp.Or(cmp.Compare(x.Node, y.Node), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	for _, id := range ids {
		a.batch++
		a.routers[id].sentAt = now
		for _, grant := range lists[id] {
			a.tenants[grant.Tenant].sent(now, id, a.batch, grant, a.options)
		}
		out.Batches = append(out.Batches, GrantBatch{Router: id, ID: a.batch, Grants: lists[id]})
	}
}

// divide works out every router's part of one tenant's limit and lists the grants to be sent.
func (a *Allocator) divide(now time.Time, t *tenant, lists map[Router][]protocol.QuotaGrant) {
	t.advance(now)
	if a.floors == 0 {
		return
	}
	floor := t.rate * protocol.QuotaFloorShare / float64(a.floors)
	asking := t.asking(now, a.routers, floor)
	if len(asking) == 0 {
		return
	}
	evenDepth := t.burst / float64(a.floors)
	depth := t.depth(a.options)
	t.divideDepth(now, asking, depth-evenDepth*float64(max(0, a.floors-len(asking))))
	extra := t.extra(now, depth, a.options)
	t.divideExtra(now, asking, floor, extra)
	loans := t.loans(asking, now, t.lendable(now, depth, a.options))
	for i, p := range asking {
		lent := loans[i]
		r := a.routers[p.router]
		due := p.due(now, floor, evenDepth) && now.Sub(r.sentAt) >= betweenSends
		if lent <= 0 && !due {
			continue
		}
		p.lacking = 0
		lists[p.router] = append(lists[p.router], protocol.QuotaGrant{
			Tenant: t.name, RatePerS: floor + p.extra, Burst: p.depth, For: t.goodFor(), Credit: lent,
		})
	}
}
