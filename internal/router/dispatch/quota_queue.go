package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Requests that their tenant's credit can't pay wait for a moment while more is asked for (credit_request.go).

const (
	quotaQueueFraction = 0.22 // of the latency target that a request waits for an answer: a quarter, less the way back
	minQuotaQueueTime  = 40 * time.Millisecond
	maxQuotaQueueTime  = 1500 * time.Millisecond
	lastTryFraction    = 0.4                    // of its client's patience that a retry waits: it will not come again
	maxLastTryTime     = 3 * time.Second        // and at most for so long
	longQuotaRetry     = time.Second            // Retry-After where no instance has answered
	maxRefusalTime     = 100 * time.Millisecond // in which what was refused is refused again at once
)

// creditRefusal remembers that control instances had no credit for a tenant's requests.
type creditRefusal struct {
	until      time.Duration
	retryAfter time.Duration // from when it came
	charge     float64       // of the smallest refused request
	rank       int           // of the most urgent one
}

// refuses reports whether a request would be refused as well: it is no smaller and no more urgent.
func (c *creditRefusal) refuses(r *request, now time.Duration) bool {
	return now < c.until && r.Charge >= c.charge && r.rank >= c.rank
}

// pay takes a new request's charge from its tenant's credit. It is not paid while others wait.
func (d *Decider) pay(r *request) bool {
	t := d.tenants[r.Tenant]
	if t == nil || t.limit <= 0 {
		return true
	}
	t.demand.add(r.Charge, d.now)
	d.addCreditAsker(t)
	return len(t.awaitingQuota) == 0 && d.payFromCredit(t, r)
}

// queueForQuota queues a request until its tenant's credit allows it; false if it would be refused.
func (d *Decider) queueForQuota(r *request) bool {
	t := d.tenants[r.Tenant]
	r.queueDeadline = r.quotaDeadline()
	if t.refused.refuses(r, d.now) && r.queueDeadline <= t.refused.until {
		return false
	}
	r.awaitingQuota = true
	r.stage = stageQueued
	at, _ := slices.BinarySearchFunc(t.awaitingQuota, r, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.arrived, b.arrived), cmp.Compare(a.ID, b.ID))
	})
	t.awaitingQuota = slices.Insert(t.awaitingQuota, at, r)
	d.timers.add(r.queueDeadline, r)
	d.addCreditAsker(t)
	return true
}

// quotaDeadline returns until when the request waits for credit.
func (r *request) quotaDeadline() time.Duration {
	if r.ClientRetry {
		return r.arrived + min(time.Duration(lastTryFraction*float64(r.patience())), maxLastTryTime)
	}
	wait := time.Duration(quotaQueueFraction * float64(r.latencyTarget-r.arrived))
	wait = min(max(wait, minQuotaQueueTime), maxQuotaQueueTime, (r.deadline-r.arrived)/2)
	return r.arrived + max(wait, minQueueTime)
}

// admitPayable admits the waiting requests that the tenant's credit pays, in their order: a large one does not hold up others.
func (d *Decider) admitPayable(t *tenant) {
	for _, r := range slices.Clone(t.awaitingQuota) {
		if r.awaitingQuota && d.payFromCredit(t, r) {
			d.removeFromQuotaQueue(r)
			d.admit(r)
		}
	}
}

// removeFromQuotaQueue takes a request out of those that wait for credit.
func (d *Decider) removeFromQuotaQueue(r *request) {
	r.awaitingQuota = false
	if t := d.tenants[r.Tenant]; t != nil && slices.Contains(t.awaitingQuota, r) {
		t.awaitingQuota = remove(t.awaitingQuota, r)
	}
}

// onQuotaDeadline ends the wait of a request whose credit has not come: it is admitted if the reserve can pay it, else rejected.
func (d *Decider) onQuotaDeadline(r *request) {
	d.removeFromQuotaQueue(r)
	if d.payFromReserve(d.tenants[r.Tenant], r) {
		d.admit(r)
		return
	}
	d.reject(r, QuotaExceeded, d.retryAfter(r, longQuotaRetry))
}

// refuseWaiting rejects requests that control instances had no credit for, but for those that can wait until it is worth asking again.
// The reserve pays what it can.
func (d *Decider) refuseWaiting(t *tenant, arrivedBy, retryAfter time.Duration) {
	refused := creditRefusal{until: d.now + min(retryAfter, maxRefusalTime), retryAfter: retryAfter}
	for _, r := range slices.Clone(t.awaitingQuota) {
		if !r.awaitingQuota || r.arrived > arrivedBy {
			continue
		}
		if d.payFromReserve(t, r) {
			d.removeFromQuotaQueue(r)
			d.admit(r)
			continue
		}
		if refused.charge == 0 {
			refused.charge, refused.rank = r.Charge, r.rank
		}
		refused.charge, refused.rank = min(refused.charge, r.Charge), min(refused.rank, r.rank)
		if r.queueDeadline <= refused.until {
			d.removeFromQuotaQueue(r)
			d.reject(r, QuotaExceeded, d.retryAfter(r, retryAfter))
		}
	}
	if refused.charge > 0 {
		t.refused = refused
	}
}

// rejectForQuota rejects a new request that would be refused.
func (d *Decider) rejectForQuota(r *request) {
	if t := d.tenants[r.Tenant]; d.payFromReserve(t, r) {
		d.admit(r)
	} else {
		d.reject(r, QuotaExceeded, d.retryAfter(r, t.refused.retryAfter))
	}
}
