package dispatch

import (
	"cmp"
	"slices"
	"time"

	"raventrestle/internal/portablemath"
	"raventrestle/internal/protocol"
)

// Credit requests: a router requests credit for queued requests that their tenant's credit doesn't cover. For tenants
// with frequent requests it also requests credit in advance, so that most of their requests need not wait.

const (
	creditRequestTimeout = 100 * time.Millisecond // after which an unanswered credit request counts as lost and is repeated
	creditAdvanceTime    = 200 * time.Millisecond // the demand expected in this time is requested in advance
	minAdvanceRequests   = 1.5                    // expected requests in that time, below which credit requested in advance would often expire unused
	lowAdvanceFraction   = 0.5                    // fraction of the credit to have in advance, below which more is requested
	demandTimeConstant   = time.Second            // time constant of the demand averages
	creditTolerance      = 1e-6                   // smaller differences between amounts are rounding errors
)

// pendingCreditRequest is a credit request that has not been answered.
type pendingCreditRequest struct {
	id      uint64
	amount  float64
	waiting float64 // the part of amount that queued requests lack
	sentAt  time.Duration
}

// demandRate is an exponentially weighted average of a tenant's demand for credit.
type demandRate struct {
	amount, requests float64 // decaying sums
	updatedAt        time.Duration
}

// add counts a request with the given charge.
func (r *demandRate) add(charge float64, now time.Duration) {
	decay := portablemath.Exp(-(now - r.updatedAt).Seconds() / demandTimeConstant.Seconds())
	r.amount, r.requests, r.updatedAt = r.amount*decay+charge, r.requests*decay+1, now
}

// advanceAmount returns how much credit the tenant should have available for expected requests; 0 if it has few.
func (r *demandRate) advanceAmount(now time.Duration) float64 {
	part := portablemath.Exp(-(now-r.updatedAt).Seconds()/demandTimeConstant.Seconds()) * creditAdvanceTime.Seconds() / demandTimeConstant.Seconds()
	if r.requests*part < minAdvanceRequests {
		return 0
	}
	return r.amount * part
}

// scheduleCreditCheck schedules a check of the tenant's need for credit in this step.
func (d *Decider) scheduleCreditCheck(t *tenant) {
	if !t.creditCheckScheduled {
		t.creditCheckScheduled = true
		d.creditChecks = append(d.creditChecks, t)
	}
}

// emitCreditRequests checks the need for credit of the scheduled tenants. A tenant with queued requests stays
// scheduled for the next step.
func (d *Decider) emitCreditRequests() {
	d.creditChecks = slices.DeleteFunc(d.creditChecks, func(t *tenant) bool {
		d.checkCredit(t)
		t.creditCheckScheduled = len(t.quotaQueue) > 0
		return !t.creditCheckScheduled
	})
}

// checkCredit requests credit for queued requests that the available and the already requested credit don't cover, or
// in advance when little credit is left. While requests are queued, it schedules a step for the time at which an
// answer is overdue.
func (d *Decider) checkCredit(t *tenant) {
	t.pendingCreditRequests = slices.DeleteFunc(t.pendingCreditRequests, func(p pendingCreditRequest) bool { return d.now-p.sentAt >= creditRequestTimeout })
	d.admitCovered(t) // credit may have been refunded
	available := d.availableCredit(t)
	expected := available
	for _, pending := range t.pendingCreditRequests {
		expected += pending.amount
	}
	waiting, unrefused := 0.0, t.unrefusedRequests(d.now)
	for _, r := range unrefused {
		waiting += r.Charge
	}
	advance := t.demand.advanceAmount(d.now)
	shortage := waiting - expected
	if shortage > creditTolerance || expected-waiting < lowAdvanceFraction*advance && d.now >= t.lastRefusal.until {
		d.sendCreditRequest(t, unrefused, pendingCreditRequest{amount: waiting + advance - expected, waiting: max(0, shortage)}, available)
	}
	if len(unrefused) < len(t.quotaQueue) {
		d.wakeBy(t.lastRefusal.until)
	}
	if len(unrefused) > 0 && len(t.pendingCreditRequests) > 0 {
		d.wakeBy(t.pendingCreditRequests[0].sentAt + creditRequestTimeout)
	}
}

// unrefusedRequests returns the queued requests for which requesting credit is worthwhile: those to which the last
// refusal doesn't apply.
func (t *tenant) unrefusedRequests(now time.Duration) []*request {
	var unrefused []*request
	for _, r := range t.quotaQueue {
		if !t.lastRefusal.appliesTo(r, now) {
			unrefused = append(unrefused, r)
		}
	}
	return unrefused
}

// sendCreditRequest emits a credit request and records it as pending. The request's minimum is what the smallest of
// the queued requests lacks, its rank that of the most urgent one.
func (d *Decider) sendCreditRequest(t *tenant, waiting []*request, pending pendingCreditRequest, available float64) {
	d.lastCreditRequestID++
	pending.id, pending.sentAt = d.lastCreditRequestID, d.now
	message := protocol.CreditRequest{ID: pending.id, Tenant: t.name, Amount: pending.amount, Waiting: pending.waiting}
	if pending.waiting > 0 {
		smallest := slices.MinFunc(waiting, func(a, b *request) int { return cmp.Compare(a.Charge, b.Charge) })
		message.Minimum = min(max(0, smallest.Charge-available), pending.waiting)
		message.Rank = waiting[0].rank
	}
	t.pendingCreditRequests = append(t.pendingCreditRequests, pending)
	d.outputs = append(d.outputs, RequestCredit{message})
}

// onCreditGranted handles the answer to a credit request: it adds the credit and admits the requests that it covers.
// If less was granted than the queued requests lacked, those that stay queued count as refused, unless another credit
// request for queued requests is pending.
func (d *Decider) onCreditGranted(grant *protocol.CreditGrant) {
	t := d.tenants[grant.Tenant]
	if t == nil {
		return
	}
	index := slices.IndexFunc(t.pendingCreditRequests, func(p pendingCreditRequest) bool { return p.id == grant.ID })
	if index < 0 {
		return
	}
	pending := t.pendingCreditRequests[index]
	t.pendingCreditRequests = slices.Delete(t.pendingCreditRequests, index, index+1)
	if expiresAt := pending.sentAt + protocol.CreditTTL; grant.Amount > 0 && d.now < expiresAt {
		t.addCredit(credit{amount: grant.Amount, expiresAt: expiresAt})
	}
	d.admitCovered(t)
	if grant.Amount+creditTolerance < pending.waiting && !t.queueCreditPending() {
		d.applyRefusal(t, pending.sentAt, grant.RetryAfter)
	}
	d.scheduleCreditCheck(t)
}

// queueCreditPending reports whether a pending credit request includes credit for queued requests.
func (t *tenant) queueCreditPending() bool {
	return slices.ContainsFunc(t.pendingCreditRequests, func(p pendingCreditRequest) bool { return p.waiting > 0 })
}
