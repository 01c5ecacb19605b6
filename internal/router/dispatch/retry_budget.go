package dispatch

import (
	"time"
)

// Retry budget: retries of a service, over all routers, in a sliding window. Each router keeps to its own part: the ratio of its own
// requests, and an even part of the slack.

const (
	budgetUtilization      = 0.7 // of the budget, used by all routers together: the rest covers what they can't know of each other
	budgetSlices           = 20  // of a window
	resumedBudgetShare     = 1.0 // of this router's part, for streams under way
	normalBudgetShare      = 0.85
	lowPriorityBudgetShare = 0.7
	maxUrgentPriority      = 2 // of routes; requests of routes above it use lowPriorityBudgetShare
)

// retryBudget counts a service's requests and retries over the last window, in slices of it.
type retryBudget struct {
	requests, retries [budgetSlices + 1]int
	slice             int64 // number of the newest slice
}

// advance drops the slices that are older than a window. One slice more than a window is kept, so that nothing is dropped too early.
func (b *retryBudget) advance(now, window time.Duration) {
	piece := int64(now / (window / budgetSlices))
	if piece-b.slice > budgetSlices {
		*b = retryBudget{slice: piece}
		return
	}
	for b.slice < piece {
		b.slice++
		at := b.slice % (budgetSlices + 1)
		b.requests[at], b.retries[at] = 0, 0
	}
}

// retryCount returns the retries of the window.
func (b *retryBudget) retryCount() int {
	sum := 0
	for _, n := range b.retries {
		sum += n
	}
	return sum
}

// requestCount returns the requests of the window without its oldest slice, so that the budget is never overestimated.
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

// countRequest counts a request for the service's retry budget.
func (d *Decider) countRequest(s *service) {
	s.budget.advance(d.now, d.config.RetryBudgetWindow)
	s.budget.requests[s.budget.newestIndex()]++
}

// mayRetry reports whether the retry budget allows one more delivery of the request.
func (d *Decider) mayRetry(r *request) bool {
	if r.deliveries == 0 {
		return true
	}
	b := &r.group.service.budget
	b.advance(d.now, d.config.RetryBudgetWindow)
	allowed := d.config.RetryBudgetRatio*float64(b.requestCount()) + d.config.RetryBudgetSlack/float64(d.routerCount)
	allowed *= budgetUtilization * r.budgetShare()
	return float64(b.retryCount()+1) <= allowed
}

// budgetShare returns how much of this router's part of the budget the request may use.
func (r *request) budgetShare() float64 {
	if r.answerStarted {
		return resumedBudgetShare
	}
	if r.RoutePriority > maxUrgentPriority {
		return lowPriorityBudgetShare
	}
	return normalBudgetShare
}

// spendRetry takes a retry from the budget, unless it is the request's first delivery.
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

// refundRetry returns a retry that never reached an endpoint.
func (d *Decider) refundRetry(r *request) {
	if !r.budgetSpent {
		return
	}
	r.budgetSpent = false
	b := &r.group.service.budget
	b.advance(d.now, d.config.RetryBudgetWindow)
	at := r.budgetSlice % (budgetSlices + 1)
	if b.slice-r.budgetSlice <= budgetSlices && b.retries[at] > 0 {
		b.retries[at]--
	}
}
