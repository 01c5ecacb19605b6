package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Quota queue: requests that their tenant's credit does not cover wait for a moment while more credit is requested
// (credit_request.go).

const (
	quotaQueueFraction        = 0.22 // fraction of the latency target that a request waits for credit: a quarter, less the answer's network time
	minQuotaQueueTime         = 40 * time.Millisecond
	maxQuotaQueueTime         = 1500 * time.Millisecond
	retryQuotaQueueFraction   = 0.4                    // fraction of its client's timeout that a client's retry waits: the client does not retry again
	maxRetryQuotaQueueTime    = 3 * time.Second        // maximum of that wait
	unansweredQuotaRetryAfter = time.Second            // Retry-After if no control instance has answered
	maxRefusalTTL             = 100 * time.Millisecond // how long a refusal applies to further requests at most
)

// creditRefusal records that the control instances had no credit for a tenant's requests.
type creditRefusal struct {
	until      time.Duration
	retryAfter time.Duration // counted from the time the refusal was received
	charge     float64       // of the smallest refused request
	rank       int           // of the most urgent one
}

// appliesTo reports whether a request would be refused as well: it is no smaller and no more urgent than the refused
// requests.
func (c *creditRefusal) appliesTo(r *request, now time.Duration) bool {
	return now < c.until && r.Charge >= c.charge && r.rank >= c.rank
}

// chargeNewRequest charges a new request to its tenant's credit. It does not do so while other requests of the tenant
// wait. It returns true if the request may be admitted.
func (d *Decider) chargeNewRequest(r *request) bool {
	t := d.tenants[r.Tenant]
	if t == nil || t.limit <= 0 {
		return true
	}
	t.demand.add(r.Charge, d.now)
	d.scheduleCreditCheck(t)
	return len(t.quotaQueue) == 0 && d.chargeCredit(t, r)
}

// queueForQuota queues a request until its tenant's credit covers it. It returns false if the last refusal applies to
// the request until its queue deadline.
func (d *Decider) queueForQuota(r *request) bool {
	t := d.tenants[r.Tenant]
	r.queueDeadline = r.quotaQueueDeadline()
	if t.lastRefusal.appliesTo(r, d.now) && r.queueDeadline <= t.lastRefusal.until {
		return false
	}
	r.awaitingQuota = true
	r.stage = stageQueued
	index, _ := slices.BinarySearchFunc(t.quotaQueue, r, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.arrived, b.arrived), cmp.Compare(a.ID, b.ID))
	})
	t.quotaQueue = slices.Insert(t.quotaQueue, index, r)
	d.timers.add(r.queueDeadline, r)
	d.scheduleCreditCheck(t)
	return true
}

// quotaQueueDeadline returns the time until which the request waits for credit.
func (r *request) quotaQueueDeadline() time.Duration {
	if r.ClientRetry {
		return r.arrived + min(time.Duration(retryQuotaQueueFraction*float64(r.clientTimeout())), maxRetryQuotaQueueTime)
	}
	wait := time.Duration(quotaQueueFraction * float64(r.latencyTarget-r.arrived))
	wait = min(max(wait, minQuotaQueueTime), maxQuotaQueueTime, (r.deadline-r.arrived)/2)
	return r.arrived + max(wait, minQueueTime)
}

// admitCovered admits the waiting requests that the tenant's credit covers, in order. A large request does not block
// the requests behind it.
func (d *Decider) admitCovered(t *tenant) {
	for _, r := range slices.Clone(t.quotaQueue) {
		if r.awaitingQuota && d.chargeCredit(t, r) {
			d.removeFromQuotaQueue(r)
			d.admit(r)
		}
	}
}

// removeFromQuotaQueue removes a request from those that wait for credit.
func (d *Decider) removeFromQuotaQueue(r *request) {
	r.awaitingQuota = false
	if t := d.tenants[r.Tenant]; t != nil && slices.Contains(t.quotaQueue, r) {
		t.quotaQueue = remove(t.quotaQueue, r)
	}
}

// onQuotaDeadline handles a request whose wait for credit has timed out: it is admitted if the reserve covers it,
// otherwise rejected.
func (d *Decider) onQuotaDeadline(r *request) {
	d.removeFromQuotaQueue(r)
	if d.chargeReserve(d.tenants[r.Tenant], r) {
		d.admit(r)
		return
	}
	d.reject(r, QuotaExceeded, d.retryAfter(r, unansweredQuotaRetryAfter))
}

// applyRefusal handles a refusal of credit for the waiting requests that arrived by the given time. It admits those
// that the reserve covers, and rejects the others, except those that can wait until credit may be requested again.
func (d *Decider) applyRefusal(t *tenant, arrivedBy, retryAfter time.Duration) {
	refusal := creditRefusal{until: d.now + min(retryAfter, maxRefusalTTL), retryAfter: retryAfter}
	for _, r := range slices.Clone(t.quotaQueue) {
		if !r.awaitingQuota || r.arrived > arrivedBy {
			continue
		}
		if d.chargeReserve(t, r) {
			d.removeFromQuotaQueue(r)
			d.admit(r)
			continue
		}
		if refusal.charge == 0 {
			refusal.charge, refusal.rank = r.Charge, r.rank
		}
		refusal.charge, refusal.rank = min(refusal.charge, r.Charge), min(refusal.rank, r.rank)
		if r.queueDeadline <= refusal.until {
			d.removeFromQuotaQueue(r)
			d.reject(r, QuotaExceeded, d.retryAfter(r, retryAfter))
		}
	}
	if refusal.charge > 0 {
		t.lastRefusal = refusal
	}
}

// rejectForQuota rejects a new request that would be refused, unless the reserve covers it.
func (d *Decider) rejectForQuota(r *request) {
	if t := d.tenants[r.Tenant]; d.chargeReserve(t, r) {
		d.admit(r)
	} else {
		d.reject(r, QuotaExceeded, d.retryAfter(r, t.lastRefusal.retryAfter))
	}
}
