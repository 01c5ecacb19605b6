package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// tenant is one limit and what was spent of it.
type tenant struct {
	name        string
	rate, burst float64
	parts       map[Router]*part
	spent       []float64 // by span of bucketSpan, the last is the newest
	newest      time.Time // begin of the newest span
	pulled      bool      // routers tell what they lack
	lack        float64   // what a router usually lacks when it lacks
	began       time.Time
	asked       float64 // since then
}

// credit is what was lent to a router and has not been reported as spent. It counts as spent in every window.
type credit struct {
	batch  uint64
	amount float64
	until  time.Time // it has run out by then
	taken  bool      // confirmed
}

// part is one router's part of the tenant's limit.
type part struct {
	router  Router
	demand  float64 // asked a second
	lastAt  time.Time
	askedAt time.Time
	lacking float64
	credits []credit
	foreign credit // that an earlier holder lent

	goneAt    time.Time // since when it is out of reach
	assumedAt time.Time
	extra     float64 // beyond the floor, decided now
	depth     float64
	possible  []grant // that may be in force
}

// grant is what a router may have in force.
type grant struct {
	batch        uint64
	rate, depth  float64
	extra        float64
	sent         time.Time
	lasts        time.Duration
	until        time.Time // it has run out by then
	wasConfirmed bool
}

// assumedPart of its rate is what a tenant is assumed to have spent before this allocator began.
const assumedPart = 1.15

// newTenant makes a tenant about whose past nothing is known.
func newTenant(now time.Time, name string, rate float64, options Config) *tenant {
	spans := int(options.Window/bucketSpan) + 2
	t := &tenant{name: name, rate: rate, parts: map[Router]*part{}, spent: make([]float64, spans), newest: now, began: now}
	for i := range t.spent {
		t.spent[i] = assumedPart * rate * bucketSpan.Seconds()
	}
	return t
}

// How an allocator judges what happened before it began.
const (
	judgedOver  = 2 * time.Second // gathered for less, it knows nothing
	pressedPart = 1.3             // of its rate: a tenant that asks for more was pressing before, too
	pressedMore = 2               // usual lacks, on top
)

// judgePast makes sure, when the allocator begins to act, that what an earlier holder may have let a tenant spend is
// counted. A tenant that presses, or of which nothing is known, is assumed to have spent all of a window at once.
func (t *tenant) judgePast(now time.Time, options Config) {
	t.advance(now)
	over := now.Sub(t.began)
	if over >= judgedOver && t.asked <= pressedPart*t.rate*over.Seconds()+pressedMore*t.lack {
		return
	}
	at := len(t.spent) - 1 - int(over/bucketSpan)
	if at < 0 {
		return
	}
	t.spent[at] = math.Max(t.spent[at], t.allowed(options))
}

// advance lets time pass in the record of what was spent.
func (t *tenant) advance(now time.Time) {
	for now.Sub(t.newest) >= bucketSpan {
		t.newest = t.newest.Add(bucketSpan)
		copy(t.spent, t.spent[1:])
		t.spent[len(t.spent)-1] = 0
	}
}

// report takes one router's account.
func (t *tenant) report(now time.Time, id Router, row protocol.TenantDemand, over time.Duration) {
	t.advance(now)
	p := t.parts[id]
	if p == nil {
		p = &part{router: id, lastAt: now.Add(-over)}
		t.parts[id] = p
	}
	elapsed := now.Sub(p.lastAt).Seconds()
	by := math.Exp(-elapsed / demandTime.Seconds())
	p.demand = p.demand*by + row.Asked/demandTime.Seconds()
	p.lastAt, p.lacking = now, row.Lacking
	t.asked += row.Asked
	if row.Lacking > 0 {
		t.lack += (row.Lacking - t.lack) * lackBy
		t.pulled = true
	}
	if row.Asked > 0 || row.Lacking > 0 {
		p.askedAt = now
	}
	p.settle(row.Granted)
	if now.Sub(t.began) < pulledFor {
		p.foreign = credit{amount: math.Max(0, row.Credit-p.lent()), until: t.began.Add(pulledFor)}
	}
	t.spent[len(t.spent)-1] += row.Granted
}

// allowed is what a window may hold, less the buckets' debts and a reserve.
func (t *tenant) allowed(options Config) float64 {
	whole := t.rate*options.Window.Seconds() + t.burst
	tolerance := whole*options.OvershootFraction + options.OvershootSlack
	return (whole + tolerance*(1-protocol.QuotaDebtShare)) * (1 - reserve)
}

// depth is what the buckets of all routers may hold together.
func (t *tenant) depth(options Config) float64 {
	beyond := t.allowed(options) - t.rate*options.Window.Seconds() - t.burst
	return t.burst + depthPart*math.Max(0, beyond)
}

// goodFor is how long a grant lasts.
func (t *tenant) goodFor() time.Duration {
	if t.pulled {
		return pulledFor
	}
	return pushedFor
}

// loans divides what may be lent: first for what waits, then for stocks that are low.
func (t *tenant) loans(asking []*part, now time.Time, lendable float64) []float64 {
	loans := make([]float64, len(asking))
	if !t.pulled {
		return loans
	}
	for i, p := range asking {
		loans[i] = math.Min(math.Max(0, p.lacking-p.underWay()), lendable)
		lendable -= loans[i]
	}
	wants := make([]float64, len(asking))
	for i, p := range asking {
		stock := p.demandAt(now) * stockTime.Seconds()
		if has := p.lent(); stock >= t.lack*stockLacks && has < stock*stockLow {
			wants[i] = stock - has
		}
	}
	stocks, _ := maxMin(wants, lendable*stockPart)
	for i := range loans {
		loans[i] += stocks[i]
	}
	return loans
}

// asking lists the parts of the routers that are there and ask.
func (t *tenant) asking(now time.Time, routers map[Router]*router, floor float64) []*part {
	var list []*part
	for id, p := range t.parts {
		p.expire(now)
		if routers[id] == nil {
			t.assume(now, p, floor)
			continue
		}
		p.goneAt = time.Time{}
		if now.Sub(p.askedAt) < idleAfter {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(x, y *part) int {
		return cmp.Or(cmp.Compare(x.router.Node, y.router.Node), cmp.Compare(x.router.Incarnation, y.router.Incarnation))
	})
	return list
}

// assume counts what a router may be spending that is out of reach: all it has, then its rate. After a window
// without a word it is taken as ended; what it spent unheard has then left all windows but those it may fill again.
func (t *tenant) assume(now time.Time, p *part, floor float64) {
	newest := len(t.spent) - 1
	if p.goneAt.IsZero() {
		p.goneAt, p.assumedAt = now, now
		t.spent[newest] += p.lent() + p.deepest()
		p.credits, p.foreign = nil, credit{}
	}
	t.spent[newest] += (floor + p.most()) * now.Sub(p.assumedAt).Seconds()
	p.assumedAt = now
	if now.Sub(p.goneAt) > goneAfter {
		delete(t.parts, p.router)
	}
}

// extra is how much of the rate may be granted beyond the floors: the least that any open window leaves.
func (t *tenant) extra(now time.Time, depth float64, options Config) float64 {
	from := now.Add(-reportLag)
	until := now.Add(t.goodFor() + options.DeliveryTimeout)
	least := 2 * t.rate
	t.windows(now, options, func(end time.Time, spent float64) {
		left := t.allowed(options) - spent - depth - t.rate*protocol.QuotaFloorShare*end.Sub(from).Seconds()
		if end.After(until) {
			end = until
		}
		least = math.Min(least, left/math.Max(end.Sub(from).Seconds(), bucketSpan.Seconds()))
	})
	return math.Max(0, least)
}

// lendable is what may be lent at once beside all that is granted.
func (t *tenant) lendable(now time.Time, depth float64, options Config) float64 {
	from := now.Add(-reportLag)
	until := now.Add(t.goodFor() + options.DeliveryTimeout)
	extra := 0.0
	for _, p := range t.parts {
		extra += math.Max(p.extra, p.most())
	}
	least := math.Inf(1)
	t.windows(now, options, func(end time.Time, spent float64) {
		left := t.allowed(options) - spent - depth - t.rate*protocol.QuotaFloorShare*end.Sub(from).Seconds()
		if end.After(until) {
			end = until
		}
		least = math.Min(least, left-extra*end.Sub(from).Seconds())
	})
	return math.Max(0, least)
}

// windows calls with the end of each window that is open, and what was spent in it so far.
func (t *tenant) windows(now time.Time, options Config, call func(end time.Time, spent float64)) {
	spent := 0.0
	for _, p := range t.parts {
		spent += p.lent()
	}
	begin := t.newest
	for i := len(t.spent) - 1; i >= 0; i-- {
		spent += t.spent[i]
		end := begin.Add(options.Window + bucketSpan)
		if !end.After(now) {
			return
		}
		call(end, spent)
		begin = begin.Add(-bucketSpan)
	}
}

// divideDepth gives every asking router its part of the depth.
func (t *tenant) divideDepth(now time.Time, asking []*part, whole float64) {
	demand := 0.0
	for _, p := range asking {
		demand += p.demandAt(now)
	}
	for _, p := range asking {
		share := 1 / float64(len(asking))
		if demand > 0 {
			share = evenPart*share + (1-evenPart)*p.demandAt(now)/demand
		}
		p.depth = math.Max(0, whole*share)
	}
	t.fitDepth(asking, whole)
}

// fitDepth takes back raises while lowered depths may still be in force.
func (t *tenant) fitDepth(asking []*part, whole float64) {
	held, raise := 0.0, 0.0
	for _, p := range asking {
		most := p.deepest()
		held += most
		raise += math.Max(0, p.depth-most)
	}
	if raise <= 0 || held+raise <= whole {
		return
	}
	scale := math.Max(0, whole-held) / raise
	for _, p := range asking {
		if most := p.deepest(); p.depth > most {
			p.depth = most + (p.depth-most)*scale
		}
	}
}

// divideExtra shares the extra by demand: max-min fair up to an ample part, the rest in proportion. What lowered
// grants may still spend is not given to others yet.
func (t *tenant) divideExtra(now time.Time, asking []*part, floor, extra float64) {
	wants := make([]float64, len(asking))
	demand, ample := 0.0, pushedAmple
	if t.pulled {
		ample = pulledAmple
	}
	for i, p := range asking {
		wants[i] = math.Max(0, p.demandAt(now)*ample-floor)
		demand += p.demandAt(now)
	}
	shares, rest := maxMin(wants, extra)
	for i, p := range asking {
		p.extra = shares[i]
		if demand > 0 && !t.pulled {
			p.extra += rest * p.demandAt(now) / demand
		}
		p.extra = math.Min(p.extra, math.Max(0, t.rate-floor))
	}
	t.fitExtra(asking, extra)
}

func (t *tenant) fitExtra(asking []*part, extra float64) {
	held, raise := 0.0, 0.0
	for _, p := range t.parts {
		held += p.most()
	}
	for _, p := range asking {
		raise += math.Max(0, p.extra-p.most())
	}
	if raise <= 0 || held+raise <= extra {
		return
	}
	scale := math.Max(0, extra-held) / raise
	for _, p := range asking {
		if most := p.most(); p.extra > most {
			p.extra = most + (p.extra-most)*scale
		}
	}
}

// maxMin fills the wants evenly until the whole is used up; it returns the parts and what is left.
func maxMin(wants []float64, whole float64) (parts []float64, rest float64) {
	parts = make([]float64, len(wants))
	order := make([]int, len(wants))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(wants[x], wants[y]) })
	for i, index := range order {
		even := whole / float64(len(order)-i)
		parts[index] = math.Min(wants[index], even)
		whole -= parts[index]
	}
	return parts, math.Max(0, whole)
}

// sent notes a grant that leaves.
func (t *tenant) sent(now time.Time, id Router, batch uint64, told protocol.QuotaGrant, options Config) {
	p := t.parts[id]
	p.possible = append(p.possible, grant{
		batch: batch, rate: told.RatePerS, depth: told.Burst, extra: p.extra,
		sent: now, lasts: told.For, until: now.Add(told.For + options.DeliveryTimeout),
	})
	if told.Credit > 0 {
		p.credits = append(p.credits, credit{batch: batch, amount: told.Credit})
	}
	for i := range p.credits { // every grant prolongs them
		p.credits[i].until = now.Add(told.For + options.DeliveryTimeout)
	}
}
