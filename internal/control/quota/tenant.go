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
	credits     []credit  // lent, and spent at the latest at their time
}

// credit is a loan that counts as spent in every window until its time has come, and as spent then.
type credit struct {
	amount float64
	at     time.Time
}

// part is one router's part of the tenant's limit.
type part struct {
	router   Router
	demand   float64 // asked a second
	lastAt   time.Time
	askedAt  time.Time
	lacking  float64
	lent     float64 // credits that were counted as spent when they were lent
	extra    float64 // beyond the floor, decided now
	depth    float64
	possible []grant // that may be in force
}

// grant is what a router may have in force.
type grant struct {
	batch        uint64
	rate, depth  float64
	extra        float64
	sent         time.Time
	until        time.Time // it has run out by then
	wasConfirmed bool
}

// newTenant assumes that the limit was used up all the while before.
func newTenant(now time.Time, name string, rate float64, options Options) *tenant {
	spans := int(options.Window/bucketSpan) + 2
	t := &tenant{name: name, rate: rate, parts: map[Router]*part{}, spent: make([]float64, spans), newest: now}
	for i := range t.spent {
		t.spent[i] = rate * bucketSpan.Seconds()
	}
	return t
}

// advance lets time pass in the record of what was spent.
func (t *tenant) advance(now time.Time) {
	for now.Sub(t.newest) >= bucketSpan {
		t.newest = t.newest.Add(bucketSpan)
		copy(t.spent, t.spent[1:])
		t.spent[len(t.spent)-1] = 0
	}
	kept := t.credits[:0]
	for _, c := range t.credits {
		if now.Before(c.at) {
			kept = append(kept, c)
			continue
		}
		t.spent[len(t.spent)-1] += c.amount
	}
	t.credits = kept
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
	if row.Asked > 0 || row.Lacking > 0 {
		p.askedAt = now
	}
	given := row.Granted
	fromCredit := math.Min(p.lent, math.Max(0, given))
	p.lent -= fromCredit
	t.spent[len(t.spent)-1] += given - fromCredit
}

// allowed is what a window may hold, less the buckets' debts and a reserve.
func (t *tenant) allowed(options Options) float64 {
	whole := t.rate*options.Window.Seconds() + t.burst
	tolerance := whole*options.Over + options.Slack
	return (whole + tolerance*(1-protocol.QuotaDebtShare)) * (1 - reserve)
}

// depth is what the buckets of all routers may hold together.
func (t *tenant) depth(options Options) float64 {
	beyond := t.allowed(options) - t.rate*options.Window.Seconds() - t.burst
	return t.burst + depthPart*math.Max(0, beyond)
}

// asking lists the parts of the routers that are there and ask.
func (t *tenant) asking(now time.Time, routers map[Router]*router) []*part {
	var list []*part
	for id, p := range t.parts {
		p.expire(now)
		if routers[id] == nil {
			if len(p.possible) == 0 {
				delete(t.parts, id)
			}
			continue
		}
		if now.Sub(p.askedAt) < idleAfter {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(x, y *part) int {
		return cmp.Or(cmp.Compare(x.router.Node, y.router.Node), cmp.Compare(x.router.Incarnation, y.router.Incarnation))
	})
	return list
}

// extra is how much of the rate may be granted beyond the floors: the least that any open window leaves.
func (t *tenant) extra(now time.Time, depth float64, options Options) float64 {
	from := now.Add(-reportLag)
	until := now.Add(grantFor + options.Delivery)
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
func (t *tenant) lendable(now time.Time, depth float64, options Options) float64 {
	from := now.Add(-reportLag)
	until := now.Add(grantFor + options.Delivery)
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
func (t *tenant) windows(now time.Time, options Options, call func(end time.Time, spent float64)) {
	spent := 0.0
	for _, c := range t.credits {
		spent += c.amount
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
	demand := 0.0
	for i, p := range asking {
		wants[i] = math.Max(0, p.demandAt(now)*demandAmple-floor)
		demand += p.demandAt(now)
	}
	shares, rest := maxMin(wants, extra)
	for i, p := range asking {
		p.extra = shares[i]
		if demand > 0 {
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
func (t *tenant) sent(now time.Time, id Router, batch uint64, told protocol.QuotaGrant, options Options) {
	p := t.parts[id]
	p.possible = append(p.possible, grant{batch: batch, rate: told.RatePerS, depth: told.Burst, extra: p.extra,
		sent: now, until: now.Add(told.For + options.Delivery)})
	if told.Credit <= 0 {
		return
	}
	p.lent += told.Credit
	t.credits = append(t.credits, credit{told.Credit, now.Add(creditLag)})
}
