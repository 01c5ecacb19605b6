package dispatch

import "time"

// A tenant beyond its quota: small requests find enough in the bucket more often than large ones, so that a less
// urgent kind of small ones would be served before a more urgent kind of large ones. While more urgent requests
// are refused, the less urgent leave in the bucket what one of those needs, but for each eighth.
const (
	preemptionWindow         = time.Second // after a refusal of a more urgent request
	maxPreemptedFraction     = 0.5         // of what the bucket and the debt hold
	preemptionExemptInterval = 8           // each so many less urgent requests need not yield
	deniedChargeSmoothing    = 0.25        // weight of a refused request in the mean charge
)

// quotaDenials is what was lately refused to a tenant for want of quota.
type quotaDenials struct {
	rank            int
	meanCharge      float64 // mean
	until           time.Duration
	lessUrgentSince int // less urgent requests since
}

// record takes in a refusal: the most urgent ones count.
func (x *quotaDenials) record(r *request, now time.Duration) {
	if now < x.until && r.rank > x.rank {
		return
	}
	if now >= x.until || r.rank < x.rank {
		x.meanCharge = r.Charge
	}
	x.rank = r.rank
	x.meanCharge += (r.Charge - x.meanCharge) * deniedChargeSmoothing
	x.until = now + preemptionWindow
}

// reservedQuota is what the request must leave in its tenant's bucket.
func (d *Decider) reservedQuota(t *tenant, r *request) float64 {
	x := &t.denials
	if d.now >= x.until || r.rank <= x.rank || r.awaitingQuota {
		return 0
	}
	if x.lessUrgentSince++; x.lessUrgentSince%preemptionExemptInterval == 0 {
		return 0
	}
	return min(x.meanCharge, maxPreemptedFraction*(d.quotaDepth(t)+d.maxOverdraft(t)))
}
