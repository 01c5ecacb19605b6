package dispatch

import (
	"time"
)

// Preemption within a tenant's quota: small requests find enough in the bucket more often than large ones, so that less urgent small
// requests would be served before more urgent large ones. While more urgent requests are rejected, less urgent ones leave in the
// bucket what one of those needs; each eighth is exempt.

const (
	preemptionWindow         = time.Second // after the rejection of a more urgent request
	maxPreemptedFraction     = 0.5         // of the bucket's depth and overdraft
	preemptionExemptInterval = 8           // each so many less urgent requests are exempt
	deniedChargeSmoothing    = 0.25        // weight of a rejected request in the mean charge
)

// quotaDenials is the most urgent rank of a tenant that was lately rejected for want of quota.
type quotaDenials struct {
	rank            int
	meanCharge      float64
	until           time.Duration // of the preemption
	lessUrgentSince int           // less urgent requests since its start
}

// record takes in a rejection; less urgent ones than the recorded rank don't count.
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

// reservedQuota returns what the request must leave in its tenant's bucket.
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
