package dispatch

import (
	"slices"
	"time"
)

// Requests that their tenant's bucket can't pay wait for a moment: the shortfall is reported at once, and the control plane may grant
// credit.

const (
	quotaQueueTimeout   = 80 * time.Millisecond
	creditDenialBackoff = 150 * time.Millisecond // without waiting, after credit was not granted in time
)

// queueForQuota queues a request until its tenant's quota allows it; false if credit was not granted lately.
func (d *Decider) queueForQuota(r *request) bool {
	t := d.tenants[r.Tenant]
	if d.now < t.creditBackoffUntil {
		return false
	}
	r.awaitingQuota = true
	r.stage = stageQueued
	t.awaitingQuota = append(t.awaitingQuota, r)
	r.queueDeadline = min(r.initialQueueDeadline(), r.arrived+quotaQueueTimeout)
	d.timers.add(r.queueDeadline, r)
	d.reportQuotaShortfall()
	return true
}

// admitAffordable admits the waiting requests that the tenant can pay now.
func (d *Decider) admitAffordable(t *tenant) {
	if len(t.awaitingQuota) == 0 {
		return
	}
	d.refill(t)
	for len(t.awaitingQuota) > 0 && d.deductQuota(t, t.awaitingQuota[0]) {
		r := t.awaitingQuota[0]
		d.removeFromQuotaQueue(r)
		d.admit(r)
	}
}

// removeFromQuotaQueue takes a request out of those that wait for quota.
func (d *Decider) removeFromQuotaQueue(r *request) {
	r.awaitingQuota = false
	if t := d.tenants[r.Tenant]; t != nil && slices.Contains(t.awaitingQuota, r) {
		t.awaitingQuota = remove(t.awaitingQuota, r)
	}
}

// onQuotaDeadline ends the wait of a request for quota: it is admitted if it can be paid now, else rejected.
func (d *Decider) onQuotaDeadline(r *request) {
	wait, paid := d.charge(r)
	d.removeFromQuotaQueue(r)
	if paid {
		d.admit(r)
		return
	}
	d.tenants[r.Tenant].creditBackoffUntil = d.now + creditDenialBackoff
	d.reject(r, QuotaExceeded, wait)
}
