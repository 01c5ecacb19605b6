package quota

import (
	"math"
	"time"

	"raventrestle/internal/protocol"
)

// The invariant of this package is kept here: for every tenant and every window, spending is bounded by the window's
// allowance plus the debt of the routers (protocol.OverdraftShare of the tolerance), which together are the rule's bound.
//
// A router spends at most its bucket's depth, its debt, its credit, and over time the larger of its floor and its
// granted rate. So for each window that is still open this must hold whenever a grant leaves:
//
//	  what was reported as spent in it, or is assumed to be        (spentPerInterval)
//	+ credit that was granted and is not reported as spent         (outstandingCredit)
//	+ the depth of all buckets                                     (totalDepth)
//	+ the floors, from reportLag ago until the window ends
//	+ the extra rates that may be in force, until they expire or the window ends
//	<= windowAllowance
//
// grantableRate and grantableCredit solve it for the extra rate and for new credit; the tightest window decides. A grant
// counts from when it was sent until TTL and DeliveryTimeout have passed or the router has confirmed a later one, whether or
// not it arrives. A router out of reach is assumed to spend all that it may have in force. A new leader assumes that each
// tenant has spent more than its rate before, or a window's allowance at once where demand was pressing.

// windowAllowance is what a window may contain, without the routers' debt and a part that is withheld.
func (t *tenant) windowAllowance(config Config) float64 {
	limit := t.rate*config.Window.Seconds() + t.burst
	tolerance := limit*config.OvershootFraction + config.OvershootSlack
	return (limit + tolerance*(1-protocol.OverdraftShare)) * (1 - withheldFraction)
}

// totalDepth is what the buckets of all routers may contain together.
func (t *tenant) totalDepth(config Config) float64 {
	beyond := t.windowAllowance(config) - t.rate*config.Window.Seconds() - t.burst
	return t.burst + depthFraction*math.Max(0, beyond)
}

// advance moves the record of spending to the present.
func (t *tenant) advance(now time.Time) {
	for now.Sub(t.newestInterval) >= recordInterval {
		t.newestInterval = t.newestInterval.Add(recordInterval)
		copy(t.spentPerInterval, t.spentPerInterval[1:])
		t.spentPerInterval[len(t.spentPerInterval)-1] = 0
	}
}

// forEachOpenWindow visits the windows that have not ended, the newest first, each with its end and with what was spent
// in it so far. Outstanding credit counts as spent in each.
func (t *tenant) forEachOpenWindow(now time.Time, config Config, visit func(end time.Time, spent float64)) {
	spent := 0.0
	for _, a := range t.allocations {
		spent += a.outstandingCredit()
	}
	begin := t.newestInterval
	for i := len(t.spentPerInterval) - 1; i >= 0; i-- {
		spent += t.spentPerInterval[i]
		end := begin.Add(config.Window + recordInterval)
		if !end.After(now) {
			return
		}
		visit(end, spent)
		begin = begin.Add(-recordInterval)
	}
}

// grantableRate is how much rate may be granted beyond the floors: what the tightest open window leaves.
func (t *tenant) grantableRate(now time.Time, depth float64, config Config) float64 {
	from := now.Add(-reportLag)
	until := now.Add(t.grantTTL() + config.DeliveryTimeout)
	rate := 2 * t.rate
	t.forEachOpenWindow(now, config, func(end time.Time, spent float64) {
		left := t.windowAllowance(config) - spent - depth - t.rate*protocol.UngrantedRateShare*end.Sub(from).Seconds()
		if end.After(until) {
			end = until
		}
		rate = math.Min(rate, left/math.Max(end.Sub(from).Seconds(), recordInterval.Seconds()))
	})
	return math.Max(0, rate)
}

// grantableCredit is how much credit may be granted at once beside the rates and depths that may be in force; the
// tightest open window decides.
func (t *tenant) grantableCredit(now time.Time, depth float64, config Config) float64 {
	from := now.Add(-reportLag)
	until := now.Add(t.grantTTL() + config.DeliveryTimeout)
	extraRate := 0.0
	for _, a := range t.allocations {
		extraRate += math.Max(a.extraRate, a.maxExtraRate())
	}
	grantable := math.Inf(1)
	t.forEachOpenWindow(now, config, func(end time.Time, spent float64) {
		left := t.windowAllowance(config) - spent - depth - t.rate*protocol.UngrantedRateShare*end.Sub(from).Seconds()
		if end.After(until) {
			end = until
		}
		grantable = math.Min(grantable, left-extraRate*end.Sub(from).Seconds())
	})
	return math.Max(0, grantable)
}
