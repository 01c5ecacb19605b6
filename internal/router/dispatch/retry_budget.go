package dispatch

import (
	"time"
)

// Retry budget: bounds the retries of a service, over all routers, in a sliding window. Each router stays within its
// own part: the ratio of its own requests, and an equal part of the slack.

const (
	budgetUtilization      = 0.7  // fraction of the budget that all routers use; the rest is a margin, as they don't know each other's retries
	budgetSlices           = 20   // per window
	resumedBudgetShare     = 1.0  // fraction of this router's part that streams under way may use
	normalBudgetShare      = 0.85 // fraction that other requests may use
	lowPriorityBudgetShare = 0.7  // fraction that requests above maxUrgentPriority may use
	maxUrgentPriority      = 2    // route priority up to which normalBudgetShare applies
)

// retryBudget counts a service's requests and retries over the last window, in slices of the window.
type retryBudget struct {
	requests, retries [budgetSlices + 1]int
	slice             int64 // number of the newest slice
}

// advance removes slices that are older than a window. One slice more than a window is kept, so that none is removed
// too early.
func (b *retryBudget) advance(now, window time.Duration) {
	newest := int64(now / (window / budgetSlices))
	if newest-b.slice > budgetSlices {
		*b = retryBudget{slice: newest}
		return
	}
	for b.slice < newest {
		b.slice++
		index := b.slice % (budgetSlices + 1)
		b.requests[index], b.retries[index] = 0, 0
	}
}

// retryCount returns the number of retries in the window.
func (b *retryBudget) retryCount() int {
	sum := 0
	for _, n := range b.retries {
		sum += n
	}
	return sum
}

// requestCount returns the number of requests in the window without its oldest slice, so that the budget is never
// overestimated.
func (b *retryBudget) requestCount() int {
	sum := 0
	oldest := (b.slice + 1) % (budgetSlices + 1)
	for i, n := range b.requests {
		if int64(i) != oldest {
			sum += n
		}
	}
	return sum
}

// newestIndex returns the array index of the newest slice.
func (b *retryBudget) newestIndex() int64 { return b.slice % (budgetSlices + 1) }

// countRequest counts a request in the service's retry budget.
func (d *Decider) countRequest(s *service) {
	s.budget.advance(d.now, d.config.RetryBudgetWindow)
	s.budget.requests[s.budget.newestIndex()]++
}

// hasRetryBudget reports whether the retry budget allows one more attempt of the request. It always allows the first
// attempt.
func (d *Decider) hasRetryBudget(r *request) bool {
	if r.deliveries == 0 {
		return true
	}
	b := &r.group.service.budget
	b.advance(d.now, d.config.RetryBudgetWindow)
	allowed := d.config.RetryBudgetRatio*float64(b.requestCount()) + d.config.RetryBudgetSlack/float64(d.routerCount)
	allowed *= budgetUtilization * r.budgetShare()
	return float64(b.retryCount()+1) <= allowed
}

// budgetShare returns the fraction of this router's part of the budget that the request may use.
func (r *request) budgetShare() float64 {
	if r.answerStarted {
		return resumedBudgetShare
	}
	if r.RoutePriority > maxUrgentPriority {
		return lowPriorityBudgetShare
	}
	return normalBudgetShare
}

// spendRetry takes a retry from the budget, unless the attempt is the request's first.
func (d *Decider) spendRetry(r *request) {
	if r.deliveries == 0 {
		return
	}
	b := &r.group.service.budget
	b.advance(d.now, d.config.RetryBudgetWindow)
	b.retries[b.newestIndex()]++
	r.budgetSlice = b.slice
	r.budgetSpent = true
}

// refundRetry returns a retry that never reached an endpoint to the budget.
func (d *Decider) refundRetry(r *request) {
	if !r.budgetSpent {
		return
	}
	r.budgetSpent = false
	b := &r.group.service.budget
	b.advance(d.now, d.config.RetryBudgetWindow)
	index := r.budgetSlice % (budgetSlices + 1)
	if b.slice-r.budgetSlice <= budgetSlices && b.retries[index] > 0 {
		b.retries[index]--
	}
}
