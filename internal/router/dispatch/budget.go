package dispatch

import "time"

// The retry budget: arrivals at a service beyond the first of each request, over all routers in a sliding
// window. Each router keeps to its own part: of its own requests, and an even part of the slack.
const (
	budgetShare   = 0.7 // of the budget, that the routers together use: the rest is for what isn't known
	budgetSlots   = 20  // pieces of a window
	resumedShare  = 1.0 // of this router's part, for streams under way
	ordinaryShare = 0.85
	patientShare  = 0.7 // for the less urgent ones
	urgentRank    = 2   // of route priorities, up to which a request is not one of the less urgent
)

// budget counts a service's requests and further arrivals over the last window.
type budget struct {
	requests, further [budgetSlots + 1]int
	piece             int64 // number of the newest piece
}

// turn drops what is older than a window. One piece more than a window is kept, so that nothing is
// forgotten too early.
func (b *budget) turn(now, window time.Duration) {
	piece := int64(now / (window / budgetSlots))
	if piece-b.piece > budgetSlots {
		*b = budget{piece: piece}
		return
	}
	for b.piece < piece {
		b.piece++
		at := b.piece % (budgetSlots + 1)
		b.requests[at], b.further[at] = 0, 0
	}
}

// spent is how many further arrivals the window holds.
func (b *budget) spent() int {
	sum := 0
	for _, n := range b.further {
		sum += n
	}
	return sum
}

// asked is how many requests the window holds, without its oldest piece.
func (b *budget) asked() int {
	sum := 0
	oldest := (b.piece + 1) % (budgetSlots + 1)
	for i, n := range b.requests {
		if int64(i) != oldest {
			sum += n
		}
	}
	return sum
}

func (b *budget) index() int64 { return b.piece % (budgetSlots + 1) }

// countRequest notes a request for the service.
func (d *Decider) countRequest(s *service) {
	s.budget.turn(d.now, d.options.RetryBudgetWindow)
	s.budget.requests[s.budget.index()]++
}

// mayGoAgain says whether the budget allows one more arrival of the request.
func (d *Decider) mayGoAgain(r *request) bool {
	if r.arrivals == 0 {
		return true
	}
	b := &r.group.service.budget
	b.turn(d.now, d.options.RetryBudgetWindow)
	allowed := d.options.RetryBudgetRatio*float64(b.asked()) + d.options.RetryBudgetSlack/float64(d.routers)
	allowed *= budgetShare * r.budgetShare()
	return float64(b.spent()+1) <= allowed
}

// budgetShare is how much of this router's part the request may draw on.
func (r *request) budgetShare() float64 {
	if r.answering {
		return resumedShare
	}
	if r.RoutePriority > urgentRank {
		return patientShare
	}
	return ordinaryShare
}

// spend takes one further arrival from the budget.
func (d *Decider) spend(r *request) {
	if r.arrivals == 0 {
		return
	}
	b := &r.group.service.budget
	b.turn(d.now, d.options.RetryBudgetWindow)
	b.further[b.index()]++
	r.spentAt = b.piece
	r.spentNow = true
}

// unspend gives back an arrival that never was one.
func (d *Decider) unspend(r *request) {
	if !r.spentNow {
		return
	}
	r.spentNow = false
	b := &r.group.service.budget
	b.turn(d.now, d.options.RetryBudgetWindow)
	at := r.spentAt % (budgetSlots + 1)
	if b.piece-r.spentAt <= budgetSlots && b.further[at] > 0 {
		b.further[at]--
	}
}
