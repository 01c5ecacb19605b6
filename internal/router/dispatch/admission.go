package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Admission: a request is held in the flow of its chosen endpoint, and the eligible head with the lowest
// start tag plus delta leaves while slots are free. Guards only say which heads are eligible. What can't go
// now is held for a quarter of its objective at most, then sent as a late one or refused.
const (
	monitorTolerance = 2.0                     // calls
	heldShare        = 0.22                    // of the objective, that a request is held: a quarter, less the way back
	brokenHeld       = 1500 * time.Millisecond // that a stream which broke off waits for an endpoint
	leastHeld        = 5 * time.Millisecond
	mostRejections   = 2 // endpoints that may turn a request away and be followed by another
	patientTurn      = 4 // each so many turns of a flow goes to the request that waits longest
	lookAgain        = 20 * time.Millisecond
	leastSilenceSeen = 2 * time.Second // clients give up a stream after a silence of so long at least
	silenceTimes     = 4               // or of so many times its objective
	patienceShare    = 0.8
	usualRank        = 5 // Priority header: endpoints go by it strictly, which would starve the less urgent
	laggingRank      = 4 // of those that are served less often than they should be
	lateRank         = 9 // of those that will be late
	ranksPerTenant   = 10
	retryShare       = 3 // clients honour Retry-After up to this part of what is left
	leastRetryAfter  = 50 * time.Millisecond
	usualLoad        = 3 * time.Second // of a model, where nothing is configured
	usualAdapterLoad = 300 * time.Millisecond
	orderTime        = 500 * time.Millisecond // until an order for a model is on its way
)

// rank is the request's place in a flow's order: its tenant's priority before its route's.
func rank(r *Request) int {
	return max(r.TenantPriority, 0)*ranksPerTenant + min(max(r.RoutePriority, 0), ranksPerTenant-1)
}

// patience is until when a new request is held.
func (r *request) patience() time.Duration {
	held := time.Duration(heldShare * float64(r.objective-r.arrived))
	held = min(held, (r.deadline-r.arrived)/2)
	return r.arrived + max(held, leastHeld)
}

// patienceAgain is until when a request is held that was out before: a stream that broke off as long as its
// client bears it, what can't be in time any more not at all.
func (d *Decider) patienceAgain(r *request) time.Duration {
	if r.answering {
		return min(d.now+brokenHeld, r.deadline)
	}
	left := r.useful() - d.now
	return d.now + max(time.Duration(heldShare*float64(left)), 0)
}

// place puts the request into the flow of the best endpoint, or among the homeless.
func (d *Decider) place(r *request) {
	h, how := d.choose(r)
	if how == goesNowhere && d.presume(r) {
		h, how = d.choose(r)
	}
	r.chosenAt = r.group.changes
	if how == goesNowhere {
		d.strand(r)
		return
	}
	d.holdAt(r, h.at)
}

func (d *Decider) holdAt(r *request, e *endpoint) {
	r.at = e
	r.stage = waiting
	d.insert(e, r)
	d.schedule.Hold(e, d.schedule.Cost(e), d.now)
	r.target.waiting++
}

// insert keeps the flow's requests in order of rank, then of arrival.
func (d *Decider) insert(e *endpoint, r *request) {
	at, _ := slices.BinarySearchFunc(e.held, r, func(a, b *request) int {
		if a.late != b.late {
			if a.late {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.arrived, b.arrived), cmp.Compare(a.ID, b.ID))
	})
	e.held = slices.Insert(e.held, at, r)
}

// strand keeps a request for whose model there is no endpoint.
func (d *Decider) strand(r *request) {
	g := r.group
	r.at = nil
	r.stage = waiting
	if len(g.homeless) == 0 {
		d.homeless = append(d.homeless, g)
	}
	g.homeless = append(g.homeless, r)
	r.target.waiting++
	d.lacking(r.target)
	if at, known := g.expectedAt(r.Adapter, d.now); known && at < r.holdUntil {
		d.timers.add(max(at, d.now+leastHeld), r)
	}
}

// lift takes a held request out of its flow, or from the homeless.
func (d *Decider) lift(r *request) {
	if r.lifted() {
		return
	}
	r.target.waiting--
	d.changed()
	if r.at != nil {
		r.at.held = without(r.at.held, r)
		d.schedule.Unhold(r.at)
		r.at = nil
		return
	}
	r.group.homeless = without(r.group.homeless, r)
	if len(r.group.homeless) == 0 {
		d.homeless = without(d.homeless, r.group)
	}
}

// lifted: it is held nowhere.
func (r *request) lifted() bool {
	return r.at == nil && !slices.Contains(r.group.homeless, r)
}

// moveOn places anew all that is held for the endpoint.
func (d *Decider) moveOn(e *endpoint) {
	if len(e.held) == 0 {
		return
	}
	moved := slices.Clone(e.held)
	for _, r := range moved {
		d.lift(r)
		d.place(r)
	}
}

// dispatch lets go what may go.
func (d *Decider) dispatch() {
	d.rehome()
	d.relocate()
	for {
		e, found := d.schedule.Next(d.offer)
		if !found {
			return
		}
		r := d.pick(e)
		d.send(e, r)
	}
}

// rehome tries the homeless again when something has changed.
func (d *Decider) rehome() {
	for _, g := range slices.Clone(d.homeless) {
		if g.homeless[0].chosenAt == g.changes {
			continue
		}
		for _, r := range slices.Clone(g.homeless) {
			d.lift(r)
			d.place(r)
		}
	}
}

// offer says whether the head of the flow may leave. One that may not, but would elsewhere, moves there.
func (d *Decider) offer(e *endpoint) (float64, bool) {
	return 0, d.pick(e) != nil
}

// pick is the request that takes the flow's next turn: the most urgent, each fourth time the one that waits
// longest; nil if it may not leave.
func (d *Decider) pick(e *endpoint) *request {
	if !e.takesRequests() {
		return nil
	}
	if from, ok := d.usable(e); !ok {
		if from > 0 {
			d.wakeBy(from)
		}
		return nil
	}
	if len(e.calls) >= d.connections(e.service) {
		return nil
	}
	if e.sends%patientTurn == patientTurn-1 {
		if r := oldest(e.held); d.mayLeave(e, r) {
			return r
		}
	}
	for i, r := range e.held {
		if i == mostLooked {
			break
		}
		if d.mayLeave(e, r) {
			return r
		}
	}
	d.wakeBy(d.now + lookAgain)
	return nil
}

// mostLooked bounds how many of a flow's requests are looked at for one turn.
const mostLooked = 4

func oldest(held []*request) *request {
	best := held[0]
	for _, r := range held {
		if r.arrived < best.arrived {
			best = r
		}
	}
	return best
}

// mayLeave says whether the request may be sent to the endpoint now.
func (d *Decider) mayLeave(e *endpoint, r *request) bool {
	h := e.holding(r.Model)
	if h == nil || h.until > d.now || !h.has(r.Adapter) || h.tries(r.Adapter) || e.unloads(r.Model, r.Adapter) {
		return false
	}
	if r.late || d.plenty(e) {
		return true
	}
	ms, _ := d.predict(h, r)
	return d.inTime(r, ms)
}

// send lets a request go.
func (d *Decider) send(e *endpoint, r *request) {
	h := e.holding(r.Model)
	ms, kept := d.predict(h, r)
	e.held = without(e.held, r)
	e.sends++
	d.schedule.Sent(e, d.now)
	r.target.waiting--
	r.target.running++
	d.countSend(r)
	d.spend(r)
	r.arrivals++
	r.stage = sent
	r.sentAt = d.now
	r.heard = false
	r.abandoned = false
	r.silences = 0
	d.note(e, h, r, ms, kept)
	e.calls = append(e.calls, r)
	e.opened = max(e.opened, len(e.calls))
	e.usedAt = d.now
	e.service.out++
	if e.evidence.most > 0 {
		r.trial = true
		e.evidence.trials++
	}
	if h.unproven(r.Adapter) {
		h.trying++
		r.proves = h
	}
	d.remember(h, r)
	d.timers.add(d.now+r.silence(), r)
	d.out = append(d.out, Send{
		ID: r.ID, Endpoint: e.id, Address: e.address, Priority: r.header(),
		MaxConnections: d.connections(e.service),
	})
}

func (d *Decider) countSend(r *request) {
	d.counters.Sent++
	if r.late {
		d.counters.SentPastTarget++
	} else {
		r.group.sentAt = d.now
	}
	if r.arrivals > 0 {
		d.counters.Retries++
	}
}

// header is the request's Priority header.
func (r *request) header() int {
	fairness := &r.group.service.fairness
	switch {
	case r.late && fairness.starved(r):
		return usualRank
	case r.late:
		return lateRank
	case fairness.lags(r):
		return laggingRank
	}
	return usualRank
}

// relocate moves requests that may not leave where they are held, but could elsewhere.
func (d *Decider) relocate() {
	for i := 0; i < len(d.schedule.Active); i++ {
		e := d.schedule.Active[i]
		for j := 0; j < min(len(e.held), mostLooked); j++ {
			r := e.held[j]
			if r.chosenAt == r.group.changes || d.usableFor(e, r) {
				continue
			}
			r.chosenAt = r.group.changes
			if h, how := d.choose(r); h != nil && h.at != e && how == goesNow {
				d.counters.Requeued++
				d.lift(r)
				d.holdAt(r, h.at)
				j--
			}
		}
	}
}

func (d *Decider) usableFor(e *endpoint, r *request) bool {
	_, ok := d.usable(e)
	return ok && len(e.calls) < d.connections(e.service) && d.mayLeave(e, r)
}
