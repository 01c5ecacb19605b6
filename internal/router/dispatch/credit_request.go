package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// Requests for credit: for what waits, and ahead for tenants whose requests come often, so that most of them need not wait.

const (
	creditInquiryTimeout = 100 * time.Millisecond // without an answer: it is lost, and asked for again
	creditAheadTime      = 200 * time.Millisecond // of demand, that is asked for ahead
	minAheadRequests     = 1.5                    // mean requests in that time, below which credit asked for ahead would often expire
	lowAheadFraction     = 0.5                    // of what is asked for ahead, below which more is asked for
	demandTime           = time.Second            // time constant of the averages of demand
	creditRounding       = 1e-6                   // differences of sums below it are none
)

// creditInquiry is a request for credit that has not been answered.
type creditInquiry struct {
	id      uint64
	amount  float64
	waiting float64 // the part of amount that requests waited for
	at      time.Duration
}

// demandRate is an exponentially weighted average of what a tenant's requests ask for.
type demandRate struct {
	amount, requests float64 // decaying sums
	at               time.Duration
}

// add counts a request.
func (r *demandRate) add(charge float64, now time.Duration) {
	decay := math.Exp(-(now - r.at).Seconds() / demandTime.Seconds())
	r.amount, r.requests, r.at = r.amount*decay+charge, r.requests*decay+1, now
}

// ahead returns how much credit should be at hand for expected requests.
func (r *demandRate) ahead(now time.Duration) float64 {
	part := math.Exp(-(now-r.at).Seconds()/demandTime.Seconds()) * creditAheadTime.Seconds() / demandTime.Seconds()
	if r.requests*part < minAheadRequests {
		return 0
	}
	return r.amount * part
}

// addCreditAsker has the tenant's need for credit looked at in this step.
func (d *Decider) addCreditAsker(t *tenant) {
	if !t.inAskers {
		t.inAskers = true
		d.creditAskers = append(d.creditAskers, t)
	}
}

// emitCreditRequests asks for what the tenants of this step lack, and those whose requests wait.
func (d *Decider) emitCreditRequests() {
	d.creditAskers = slices.DeleteFunc(d.creditAskers, func(t *tenant) bool {
		d.askForCredit(t)
		t.inAskers = len(t.awaitingQuota) > 0
		return !t.inAskers
	})
}

// askForCredit asks for what the waiting requests lack, or for credit ahead where that runs low. While requests wait, what they
// lack is looked at again when an answer is overdue.
func (d *Decider) askForCredit(t *tenant) {
	t.asked = slices.DeleteFunc(t.asked, func(i creditInquiry) bool { return d.now-i.at >= creditInquiryTimeout })
	d.admitPayable(t) // credit may have come back
	available := d.availableCredit(t)
	expected := available
	for _, inquiry := range t.asked {
		expected += inquiry.amount
	}
	waiting, asking := 0.0, t.asking(d.now)
	for _, r := range asking {
		waiting += r.Charge
	}
	ahead := t.demand.ahead(d.now)
	lacking := waiting - expected
	if lacking > creditRounding || expected-waiting < lowAheadFraction*ahead && d.now >= t.refused.until {
		d.sendCreditRequest(t, asking, creditInquiry{amount: waiting + ahead - expected, waiting: max(0, lacking)}, available)
	}
	if len(asking) < len(t.awaitingQuota) {
		d.wakeBy(t.refused.until)
	}
	if len(asking) > 0 && len(t.asked) > 0 {
		d.wakeBy(t.asked[0].at + creditInquiryTimeout)
	}
}

// asking returns the waiting requests that are worth asking for: those that were refused a moment ago are not.
func (t *tenant) asking(now time.Duration) []*request {
	var asking []*request
	for _, r := range t.awaitingQuota {
		if !t.refused.refuses(r, now) {
			asking = append(asking, r)
		}
	}
	return asking
}

func (d *Decider) sendCreditRequest(t *tenant, waiting []*request, inquiry creditInquiry, available float64) {
	d.lastCreditRequest++
	inquiry.id, inquiry.at = d.lastCreditRequest, d.now
	asked := protocol.CreditRequest{ID: inquiry.id, Tenant: t.name, Amount: inquiry.amount, Waiting: inquiry.waiting}
	if inquiry.waiting > 0 {
		smallest := slices.MinFunc(waiting, func(a, b *request) int { return cmp.Compare(a.Charge, b.Charge) })
		asked.Minimum = min(max(0, smallest.Charge-available), inquiry.waiting)
		asked.Rank = waiting[0].rank
	}
	t.asked = append(t.asked, inquiry)
	d.outputs = append(d.outputs, RequestCredit{asked})
}

// onCredit takes in the answer to a request for credit, and admits what it pays. What it leaves waiting is refused, unless another
// request for it is under way.
func (d *Decider) onCredit(grant *protocol.CreditGrant) {
	t := d.tenants[grant.Tenant]
	if t == nil {
		return
	}
	at := slices.IndexFunc(t.asked, func(i creditInquiry) bool { return i.id == grant.ID })
	if at < 0 {
		return
	}
	inquiry := t.asked[at]
	t.asked = slices.Delete(t.asked, at, at+1)
	if expiresAt := inquiry.at + protocol.CreditTTL; grant.Amount > 0 && d.now < expiresAt {
		t.addCredit(credit{amount: grant.Amount, expiresAt: expiresAt})
	}
	d.admitPayable(t)
	if grant.Amount+creditRounding < inquiry.waiting && !t.awaitsAnswer() {
		d.refuseWaiting(t, inquiry.at, grant.RetryAfter)
	}
	d.addCreditAsker(t)
}

// awaitsAnswer reports whether credit for waiting requests is being asked for.
func (t *tenant) awaitsAnswer() bool {
	return slices.ContainsFunc(t.asked, func(i creditInquiry) bool { return i.waiting > 0 })
}
