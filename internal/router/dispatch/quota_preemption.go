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
func (denials *quotaDenials) record(r *request, now time.Duration) {
	if now < denials.until && r.rank > denials.rank {
		return
	}
	if now >= denials.until || r.rank < denials.rank {
		denials.meanCharge = r.Charge
	}
	denials.rank = r.rank
	denials.meanCharge += (r.Charge - denials.meanCharge) * deniedChargeSmoothing
	denials.until = now + preemptionWindow
}

// reservedQuota returns what the request must leave in its tenant's bucket.
func (d *Decider) reservedQuota(t *tenant, r *request) float64 {
	denials := &t.denials
	if !d.uses(QuotaPreemption) || d.now >= denials.until || r.rank <= denials.rank || r.awaitingQuota {
		return 0
	}
	if denials.lessUrgentSince++; denials.lessUrgentSince%preemptionExemptInterval == 0 {
		return 0
	}
	return min(denials.meanCharge, maxPreemptedFraction*(d.quotaDepth(t)+d.maxOverdraft(t)))
}
