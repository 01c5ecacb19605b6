package dispatch

import "time"

const (
	mostSettled = 2    // times that a request is put off at the end of its patience
	shortQueue  = 0.25 // of an endpoint's places, that wait there
	exploreGap  = 500 * time.Millisecond
	overCalls   = 4   // mean durations of a call, until places can be hoped for again
	overLeast   = 0.8 // of that time is told at least, the rest is drawn
)

// settle decides on a request that was held as long as it may be: elsewhere, late, or not at all. What is
// refused for the first time usually comes back when it is told to, and then counts by its new try; what
// comes back, or was out already, rather goes late than not at all.
func (d *Decider) settle(r *request) {
	if r.unpaid {
		d.refuseUnpaid(r)
		return
	}
	h, how := d.choose(r)
	if how == goesNowhere && d.presume(r) {
		h, how = d.choose(r)
	}
	switch {
	case how == goesNowhere:
		d.settleHomeless(r)
	case how == goesNot && h.tries(r.Adapter) && d.now+lookAgain < d.heldAtMost(r.useful()):
		r.holdUntil = d.now + lookAgain
		d.timers.add(r.holdUntil, r)
	case r.settled >= mostSettled || d.schedule.Busy >= d.schedule.Slots:
		d.refuse(r, TargetUnreachable, d.retryOver(r, h))
	case how == goesNow:
		d.putOff(r, h)
	case how == goesLate && d.explores(h):
		r.explores = true
		d.putOff(r, h)
	case how == goesLate && d.worthLate(h, r):
		r.late = true
		d.putOff(r, h)
	default:
		d.refuse(r, TargetUnreachable, d.retryOver(r, h))
	}
}

// explores says whether a request is sent against the estimates, which might be wrong and could not be put
// right otherwise: where places seem to be free and nothing was sent
// for a while.
func (d *Decider) explores(h *holding) bool {
	g := h.group
	taken, waiting := d.load(h.at)
	return taken+waiting+1 <= h.at.capacity(g.kvTokens) && d.now-g.sentAt >= exploreGap
}

// putOff moves the request to where it goes now: it leaves in this step if its turn comes.
func (d *Decider) putOff(r *request, h *holding) {
	d.lift(r)
	d.holdAt(r, h.at)
	r.settled++
	r.holdUntil = d.now + leastHeld
	d.timers.add(r.holdUntil, r)
}

// worthLate says whether a request that can't be in time is to be sent all the same.
func (d *Decider) worthLate(h *holding, r *request) bool {
	ms, _ := d.predict(h, r)
	answer := d.now + time.Duration(ms*float64(time.Millisecond))
	if answer > r.lastUse() {
		return r.ClientRetry && d.shortQueue(h.at)
	}
	return r.ClientRetry || r.arrivals > 0 || r.group.service.fairness.starved(r) || !r.mayComeBack(d.now)
}

// shortQueue: so few wait at the endpoint that one more may have its turn, whatever was estimated.
func (d *Decider) shortQueue(e *endpoint) bool {
	_, waiting := d.load(e)
	return waiting < shortQueue*float64(e.places())
}

// useful is until when an answer has its full worth, and a client that waits for it.
func (r *request) useful() time.Duration { return min(r.objective, r.deadline) }

// lastUse is until when an answer may begin: clients give up a stream after a silence.
func (r *request) lastUse() time.Duration {
	span := r.objective - r.arrived
	end := r.arrived + max(leastSilenceSeen, silenceTimes*span)
	end = min(end, r.deadline)
	return r.arrived + time.Duration(patienceShare*float64(end-r.arrived))
}

// mayComeBack: a third of the time left is enough for another try in time.
func (r *request) mayComeBack(now time.Duration) bool {
	return r.deadline-now > 2*(r.objective-r.arrived)
}

// settleHomeless decides on a request whose model no endpoint holds.
func (d *Decider) settleHomeless(r *request) {
	at, known := r.group.expectedAt(r.Adapter, d.now)
	limit := r.useful()
	if r.ClientRetry || r.arrivals > 0 {
		limit = r.lastUse()
	}
	limit = d.heldAtMost(limit)
	if !known && r.ClientRetry { // refused again it would be lost
		r.holdUntil = max(r.holdUntil, min(limit, r.arrived+(r.deadline-r.arrived)*2/5))
	}
	switch {
	case known && at < limit:
		r.holdUntil = max(min(at, limit), d.now+leastHeld)
	case d.now < r.holdUntil: // looked at before its time
	default:
		if !known {
			at = d.now + d.usualLoad(r)
		}
		d.refuse(r, NoEndpoint, d.retryAfter(r, at-d.now))
		return
	}
	d.timers.add(r.holdUntil, r)
}

// usualLoad is how long it takes until a model that nobody holds can be had.
func (d *Decider) usualLoad(r *request) time.Duration {
	if r.Adapter != "" && len(r.group.holders) > 0 {
		return usualAdapterLoad
	}
	if r.group.loadTime > 0 {
		return r.group.loadTime + orderTime
	}
	return usualLoad
}

// retryOver is when to come back to a model whose endpoints have no time: the longer that lasts, the later.
func (d *Decider) retryOver(r *request, h *holding) time.Duration {
	g := r.group
	if d.now-g.overAt > time.Second {
		g.overFrom = d.now
	}
	g.overAt = d.now
	wait := d.overWait(r, g)
	if h != nil {
		ms, _ := d.predict(h, r)
		wait = max(wait, time.Duration(ms*float64(time.Millisecond))-(r.objective-r.arrived)/2)
		wait = max(wait, h.at.evidence.until-d.now)
	}
	return d.retryAfter(r, wait)
}

// retryAfter makes a wait one that is told: a little spread, and nothing where coming back is useless.
func (d *Decider) retryAfter(r *request, wait time.Duration) time.Duration {
	left := r.deadline - d.now
	if left < retryShare*leastRetryAfter {
		return 0
	}
	wait = max(wait, leastRetryAfter)
	wait += time.Duration(float64(wait) * d.draw.Float64() / 4)
	return min(wait, left/retryShare)
}

// overWait is when places can be hoped for again: not before several calls' time, since those that are out
// hold their places so long, and the later the longer the lack has lasted.
func (d *Decider) overWait(r *request, g *group) time.Duration {
	calls := time.Duration(overCalls * g.service.meanDuration() * float64(time.Millisecond))
	wait := calls + 2*(d.now-g.overFrom)
	wait = min(wait, (r.deadline-d.now)/retryShare)
	return time.Duration(float64(wait) * (overLeast + (1-overLeast)*d.draw.Float64()))
}
