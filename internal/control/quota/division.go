package quota

import (
	"math"
	"time"
)

// Division of a tenant's depth, extra rate and credit among its active routers. What a lowered grant may still have in
// force is not given to others before it has expired or been replaced: raises are limited to what is free.

// divideDepth decides every active router's depth: a part evenly, the rest in proportion to demand.
func (t *tenant) divideDepth(now time.Time, active []*allocation, total float64) {
	demand := 0.0
	for _, a := range active {
		demand += a.demandAt(now)
	}
	for _, a := range active {
		share := 1 / float64(len(active))
		if demand > 0 {
			share = evenDepthFraction*share + (1-evenDepthFraction)*a.demandAt(now)/demand
		}
		a.depth = math.Max(0, total*share)
	}
	limitDepthRaises(active, total)
}

// limitDepthRaises scales raises down while lowered depths may still be in force.
func limitDepthRaises(active []*allocation, total float64) {
	inForce, raises := 0.0, 0.0
	for _, a := range active {
		depth := a.maxDepth()
		inForce += depth
		raises += math.Max(0, a.depth-depth)
	}
	if raises <= 0 || inForce+raises <= total {
		return
	}
	scale := math.Max(0, total-inForce) / raises
	for _, a := range active {
		if depth := a.maxDepth(); a.depth > depth {
			a.depth = depth + (a.depth-depth)*scale
		}
	}
}

// divideRate decides every active router's extra rate: max-min fairly up to a multiple of its demand beyond the
// floor. The rest is divided in proportion to demand, unless the tenant's routers are granted credit.
func (t *tenant) divideRate(now time.Time, active []*allocation, floor, total float64) {
	desired := make([]float64, len(active))
	demand, factor := 0.0, rateDemandFactor
	if t.usesCredits {
		factor = creditRateFactor
	}
	for i, a := range active {
		desired[i] = math.Max(0, a.demandAt(now)*factor-floor)
		demand += a.demandAt(now)
	}
	shares, rest := maxMinFairShares(desired, total)
	for i, a := range active {
		a.extraRate = shares[i]
		if demand > 0 && !t.usesCredits {
			a.extraRate += rest * a.demandAt(now) / demand
		}
		a.extraRate = math.Min(a.extraRate, math.Max(0, t.rate-floor))
	}
	t.limitRateRaises(active, total)
}

// limitRateRaises scales raises down while lowered rates, of inactive routers as well, may still be in force.
func (t *tenant) limitRateRaises(active []*allocation, total float64) {
	inForce, raises := 0.0, 0.0
	for _, a := range t.allocations {
		inForce += a.maxExtraRate()
	}
	for _, a := range active {
		raises += math.Max(0, a.extraRate-a.maxExtraRate())
	}
	if raises <= 0 || inForce+raises <= total {
		return
	}
	scale := math.Max(0, total-inForce) / raises
	for _, a := range active {
		if rate := a.maxExtraRate(); a.extraRate > rate {
			a.extraRate = rate + (a.extraRate-rate)*scale
		}
	}
}

// divideCredit divides the grantable credit: first for waiting requests, in the routers' order until it is exhausted, then
// max-min fairly for reserves that are low.
func (t *tenant) divideCredit(now time.Time, active []*allocation, grantable float64) []float64 {
	credits := make([]float64, len(active))
	if !t.usesCredits {
		return credits
	}
	for i, a := range active {
		credits[i] = math.Min(math.Max(0, a.shortfall-a.unconfirmedCredit()), grantable)
		grantable -= credits[i]
	}
	desired := make([]float64, len(active))
	for i, a := range active {
		reserve := a.demandAt(now) * creditReserveWindow.Seconds()
		outstanding := a.outstandingCredit()
		if reserve >= t.typicalShortfall*minReserveShortfalls && outstanding < reserve*lowReserveFraction {
			desired[i] = reserve - outstanding
		}
	}
	reserves, _ := maxMinFairShares(desired, grantable*maxReserveFraction)
	for i := range credits {
		credits[i] += reserves[i]
	}
	return credits
}
