package quota

import (
	"math"
	"time"
)

// allocation is one router's part of a tenant's limit: what it asked for, what was decided for it, and what it may have in
// force, which is every grant sent since the newest confirmed one.
type allocation struct {
	router     Router
	demand     float64   // tokens a second at reportedAt, exponentially averaged
	reportedAt time.Time // of the newest report
	demandedAt time.Time // of the newest report with demand
	shortfall  float64   // of its waiting requests, by the newest report; 0 once a grant left

	credits         []credit // granted by this allocator, oldest first
	inheritedCredit credit   // granted by an earlier leader

	unreachableSince time.Time // zero: it is connected
	assumedUntil     time.Time // while out of reach: its spending is counted up to this time

	extraRate         float64 // decided now, beyond the floor
	depth             float64 // decided now
	outstandingGrants []grant // oldest first
}

// grant is a rate and a depth that a router may have in force.
type grant struct {
	batch       uint64
	rate, depth float64
	extraRate   float64 // what of the rate is beyond the floor
	sentAt      time.Time
	ttl         time.Duration // from its arrival
	expiresAt   time.Time     // it is not in force afterwards, whenever it arrived
}

// credit is an amount of tokens that a router was granted once and has not reported as spent. It counts as spent in every
// open window until it expires.
type credit struct {
	batch     uint64
	amount    float64
	expiresAt time.Time
	confirmed bool // the router has received it
}

// demandAt returns the averaged demand, which decays while reports are overdue.
func (a *allocation) demandAt(now time.Time) float64 {
	return a.demand * math.Exp(-math.Max(0, now.Sub(a.reportedAt).Seconds()-reportLag.Seconds())/demandTimeConstant.Seconds())
}

// expire removes grants and credits that are no longer in force.
func (a *allocation) expire(now time.Time) {
	grants := a.outstandingGrants[:0]
	for _, g := range a.outstandingGrants {
		if now.Before(g.expiresAt) {
			grants = append(grants, g)
		}
	}
	a.outstandingGrants = grants
	credits := a.credits[:0]
	for _, c := range a.credits {
		if now.Before(c.expiresAt) && c.amount > 0 {
			credits = append(credits, c)
		}
	}
	a.credits = credits
	if now.After(a.inheritedCredit.expiresAt) {
		a.inheritedCredit = credit{}
	}
}

// outstandingCredit is what was granted as credit and may still be spent.
func (a *allocation) outstandingCredit() float64 {
	sum := a.inheritedCredit.amount
	for _, c := range a.credits {
		sum += c.amount
	}
	return sum
}

// unconfirmedCredit is the credit that the router may not have received when it reported its shortfall.
func (a *allocation) unconfirmedCredit() float64 {
	sum := 0.0
	for _, c := range a.credits {
		if !c.confirmed {
			sum += c.amount
		}
	}
	return sum
}

// spendCredits takes reported spending off the credits, oldest first: routers spend credit before the bucket's level.
func (a *allocation) spendCredits(spent float64) {
	inherited := math.Min(a.inheritedCredit.amount, math.Max(0, spent))
	a.inheritedCredit.amount -= inherited
	spent -= inherited
	for i := range a.credits {
		used := math.Min(a.credits[i].amount, math.Max(0, spent))
		a.credits[i].amount -= used
		spent -= used
	}
}

// confirm takes in that the router has a batch in force: it has replaced the grants before it.
func (a *allocation) confirm(now time.Time, batch uint64) {
	for i := range a.credits {
		a.credits[i].confirmed = a.credits[i].confirmed || a.credits[i].batch == batch
	}
	at := -1
	for i, g := range a.outstandingGrants {
		if g.batch == batch {
			at = i
		}
	}
	if at < 0 {
		return
	}
	a.outstandingGrants = a.outstandingGrants[at:]
	inForce := &a.outstandingGrants[0]
	if end := now.Add(inForce.ttl); end.Before(inForce.expiresAt) {
		inForce.expiresAt = end // it arrived before now
	}
}

// maxExtraRate is the largest extra rate that may be in force.
func (a *allocation) maxExtraRate() float64 {
	rate := 0.0
	for _, g := range a.outstandingGrants {
		rate = math.Max(rate, g.extraRate)
	}
	return rate
}

// maxDepth is the largest depth that may be in force.
func (a *allocation) maxDepth() float64 {
	depth := 0.0
	for _, g := range a.outstandingGrants {
		depth = math.Max(depth, g.depth)
	}
	return depth
}

// mustSend reports whether a grant is due: what was decided differs from the newest grant, or that one is to be
// renewed. A router without a grant needs one only if it is to have more than its floor.
func (a *allocation) mustSend(now time.Time, floor, evenDepth float64) bool {
	if len(a.outstandingGrants) == 0 {
		return a.extraRate > resendFraction*floor || a.depth > (1+resendFraction)*evenDepth
	}
	newest := a.outstandingGrants[len(a.outstandingGrants)-1]
	if now.Sub(newest.sentAt).Seconds() > renewFraction*newest.ttl.Seconds() {
		return true
	}
	return changedNotably(newest.rate, floor+a.extraRate) || changedNotably(newest.depth, a.depth)
}

func changedNotably(before, after float64) bool {
	return math.Abs(after-before) > resendFraction*math.Max(before, 1e-9)
}
