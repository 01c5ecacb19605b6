package dispatch

import "time"

// A tenant beyond its quota: small requests find enough in the bucket more often than large ones, so that a less
// urgent kind of small ones would be served before a more urgent kind of large ones. While more urgent requests
// are refused, the less urgent leave in the bucket what one of those needs, but for each eighth.
const (
	yieldFor    = time.Second // after a refusal of a more urgent request
	yieldMost   = 0.5         // of what the bucket and the debt hold
	yieldNot    = 8           // each so many less urgent requests need not yield
	yieldMemory = 0.25        // weight of a refused request in the mean charge
)

// refusedOver is what was lately refused to a tenant for want of quota.
type refusedOver struct {
	rank   int
	charge float64 // mean
	until  time.Duration
	passed int // less urgent requests since
}

// note takes in a refusal: the most urgent ones count.
func (x *refusedOver) note(r *request, now time.Duration) {
	if now < x.until && r.rank > x.rank {
		return
	}
	if now >= x.until || r.rank < x.rank {
		x.charge = r.Charge
	}
	x.rank = r.rank
	x.charge += (r.Charge - x.charge) * yieldMemory
	x.until = now + yieldFor
}

// reserve is what the request must leave in its tenant's bucket.
func (d *Decider) reserve(t *tenant, r *request) float64 {
	x := &t.over
	if d.now >= x.until || r.rank <= x.rank || r.unpaid {
		return 0
	}
	if x.passed++; x.passed%yieldNot == 0 {
		return 0
	}
	return min(x.charge, yieldMost*(d.quotaDepth(t)+d.quotaDebt(t)))
}
