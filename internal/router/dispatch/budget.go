package dispatch

import "time"

// The retry budget: arrivals at a service beyond the first of each request, over all routers in a sliding
// window. Each router keeps to its own part: of its own requests, and an even part of the slack.
const (
	budgetUtilization      = 0.7 // of the budget, that the routers together use: the rest is for what isn't known
	budgetSlices           = 20  // pieces of a window
	resumedBudgetShare     = 1.0 // of this router's part, for streams under way
	normalBudgetShare      = 0.85
	lowPriorityBudgetShare = 0.7 // for the less urgent ones
	maxUrgentPriority      = 2   // of route priorities, up to which a request is not one of the less urgent
)

// retryBudget counts a service's requests and further arrivals over the last window.
type retryBudget struct {
	requests, retries [budgetSlices + 1]int
	slice             int64 // number of the newest piece
}

// advance drops what is older than a window. One piece more than a window is kept, so that nothing is
// forgotten too early.
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

// retryCount is how many further arrivals the window holds.
func (b *retryBudget) retryCount() int {
	sum := 0
	for _, n := range b.retries {
		sum += n
	}
	return sum
}

// requestCount is how many requests the window holds, without its oldest piece.
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

func (b *retryBudget) newestIndex() int64 { return b.slice % (budgetSlices + 1) }

// countRequest notes a request for the service.
func (d *Decider) countRequest(s *service) {
	s.budget.advance(d.now, d.config.RetryBudgetWindow)
	s.budget.requests[s.budget.newestIndex()]++
}

// mayRetry says whether the budget allows one more arrival of the request.
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

// budgetShare is how much of this router's part the request may draw on.
func (r *request) budgetShare() float64 {
	if r.answerStarted {
		return resumedBudgetShare
	}
	if r.RoutePriority > maxUrgentPriority {
		return lowPriorityBudgetShare
	}
	return normalBudgetShare
}

// spendRetry takes one further arrival from the budget.
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

// refundRetry gives back an arrival that never was one.
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
