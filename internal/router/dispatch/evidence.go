package dispatch

import (
	"time"

	"raventrestle/internal/protocol"
)

// Evidence of an endpoint's health, from this router's own calls alone. An endpoint that fails is left for a
// while, then tried by single requests, then by twice as many after each success.
const (
	failureWeight        = 1 // it answered, with a failure of its own
	connectionLossWeight = 2 // reset or garbled, or silent
	unreachableWeight    = 3 // no connection could be made
	ejectionThreshold    = 3 // failures in a row that weigh so much: left for a while

	minEjectionBackoff        = 250 * time.Millisecond
	maxEjectionBackoff        = 2 * time.Second
	nonRetryableProbeInterval = 700 * time.Millisecond // between last resorts, for what can't be sent again
	massEjectionFraction      = 0.8                    // of a service's endpoints
	minRejectionBackoff       = 40 * time.Millisecond  // after it turned a request away
	maxRejectionBackoff       = 640 * time.Millisecond
	minMisdirectionTTL        = 300 * time.Millisecond // of a table that says a model is there that isn't
	maxMisdirectionTTL        = 5 * time.Second
	recoveredProbes           = 16 // calls at once, from which on an endpoint counts as well again
	responseTimeoutFactor     = 4  // without a sign for so many times the expected: it is dark
	minResponseTimeout        = 150 * time.Millisecond
	recentSuccessWindow       = 2 * time.Second // a success within it vouches for a silent endpoint
)

// health is what calls told of an endpoint.
type health struct {
	failureScore     int // of failures in a row
	ejectionBackoff  time.Duration
	rejectionBackoff time.Duration // after refusals
	notBefore        time.Duration // no call before
	ejectedAt        time.Duration // when it was left
	maxProbes        int           // calls at once while it recovers, 0: no bound
	probes           int           // of those, out
	lastSuccessAt    time.Duration
	lastFailureAt    time.Duration
	lastContactAt    time.Duration // last sign of life
	hasSucceeded     bool          // goodAt counts
}

// good: it answered.
func (d *Decider) recordSuccess(e *endpoint, r *request) {
	x := &e.health
	x.lastContactAt = d.now
	if r.sentAt < x.ejectedAt {
		return
	}
	if x.maxProbes > 0 && e.service.mostlyEjected() {
		d.readmitAll(e.service)
	}
	x.hasSucceeded = true
	x.lastSuccessAt = d.now
	e.Trouble = false
	x.failureScore = 0
	x.ejectionBackoff = 0
	x.rejectionBackoff = 0
	if x.maxProbes > 0 {
		x.maxProbes *= 2
	}
	if x.maxProbes >= recoveredProbes {
		x.maxProbes = 0
		e.service.ejected--
	}
}

// mostlyEjected says whether nearly all endpoints of the service are held for failed: then this router's own link
// may be to blame.
func (s *service) mostlyEjected() bool {
	return float64(s.ejected) >= massEjectionFraction*float64(s.endpoints)
}

// retryAll: an endpoint answers again after nearly all had failed, so the others are tried soon.
func (d *Decider) readmitAll(s *service) {
	for _, e := range d.endpoints {
		if x := &e.health; e.service == s && x.notBefore > d.now {
			x.notBefore = d.now
			x.ejectionBackoff = 0
		}
	}
}

// lastResort lets a request try an endpoint that failed before its time, where nothing else is left.
func (d *Decider) lastResort(r *request) *residency {
	g := r.group
	gap := minEjectionBackoff
	if !r.Retryable {
		gap = nonRetryableProbeInterval
	}
	if g.lastResortAt > 0 && d.now-g.lastResortAt < gap {
		return nil
	}
	var best *residency
	for _, h := range g.residencies {
		x := &h.endpoint.health
		if !d.eligible(h, r) || x.maxProbes == 0 || x.probes > 0 || h.notBefore > d.now {
			continue
		}
		if best == nil || x.notBefore < best.endpoint.health.notBefore {
			best = h
		}
	}
	if best != nil {
		g.lastResortAt = d.now
		best.endpoint.health.notBefore = d.now
	}
	return best
}

// failed: a call to it failed. Calls that were out when it was left tell nothing new.
func (d *Decider) recordFailure(e *endpoint, r *request, weight int) {
	x := &e.health
	if weight == failureWeight {
		x.lastContactAt = d.now
	}
	if r.sentAt < x.ejectedAt {
		return
	}
	x.lastFailureAt = d.now
	x.failureScore += weight
	if x.maxProbes > 0 || x.failureScore >= ejectionThreshold {
		d.eject(e)
	}
}

// eject leaves an endpoint for a while.
func (d *Decider) eject(e *endpoint) {
	x := &e.health
	if !e.listed {
		return
	}
	x.ejectionBackoff = min(max(2*x.ejectionBackoff, minEjectionBackoff), maxEjectionBackoff)
	x.notBefore = d.now + d.jitter(x.ejectionBackoff)
	x.ejectedAt = d.now
	d.counters.Ejected++
	if x.maxProbes == 0 {
		e.service.ejected++
	}
	x.maxProbes = 1
	e.Trouble = true
	x.probes = 0
	for _, r := range e.inFlight {
		r.probe = false
	}
	e.clearBacklogTokens()
	d.reassignQueued(e)
	d.addSuspect(e)
	d.requestUrgentReport()
}

// jitter draws a time near the given one, so that routers don't come back in step.
func (d *Decider) jitter(t time.Duration) time.Duration {
	return time.Duration(float64(t) * (0.75 + d.random.Float64()/2))
}

// turnedAway: it surely did not run the request. Where it told that it has places free, an order concerning
// the model is the cause; else it is full.
func (d *Decider) recordRejection(e *endpoint, r *request, load *AdvertisedLoad) {
	x := &e.health
	x.lastContactAt = d.now
	h := e.residencyOf(r.Model)
	if h != nil && load != nil && r.Model != "" && load.Running+load.Waiting < load.Slots {
		h.rejectionBackoff = min(max(2*h.rejectionBackoff, minRejectionBackoff), maxRejectionBackoff)
		h.notBefore = d.now + d.jitter(h.rejectionBackoff)
		return
	}
	x.rejectionBackoff = min(max(2*x.rejectionBackoff, minRejectionBackoff), maxRejectionBackoff)
	x.notBefore = max(x.notBefore, d.now+d.jitter(x.rejectionBackoff))
}

// misdirected: the model is not there, or another incarnation has the address.
func (d *Decider) recordMisdirection(e *endpoint, r *request) {
	e.health.lastContactAt = d.now
	h := e.residencyOf(r.Model)
	if h == nil {
		return
	}
	if h.misdirections == nil {
		h.misdirections = map[string]misdirection{}
	}
	before := h.misdirections[r.Adapter]
	h.misdirectionTTL = min(max(2*h.misdirectionTTL, minMisdirectionTTL), maxMisdirectionTTL)
	h.misdirections[r.Adapter] = misdirection{sequence: max(e.sequence, before.sequence), expiresAt: d.now + h.misdirectionTTL}
	if r.Model == "" {
		d.eject(e)
	}
}

// gaveUp: this side ended the call. If nothing at all came of it for long, the endpoint is to blame.
func (d *Decider) recordCancellation(e *endpoint, r *request) {
	if r.firstByteSeen || d.now < e.unresponsiveFrom(r) {
		return
	}
	d.recordFailure(e, r, unreachableWeight)
}

// responseTimeout is how long the call may bring nothing before its endpoint counts as dark: some times what was
// expected, but not much longer than the request's objective.
func (r *request) responseTimeout() time.Duration {
	expected := time.Duration(r.predictedMS * float64(time.Millisecond))
	most := max(r.latencyTarget-r.arrived, 2*expected)
	return max(minResponseTimeout, min(responseTimeoutFactor*expected, most))
}

// unresponsiveFrom is the time from which on the endpoint counts as dark if nothing more comes of it, judged by
// this call.
func (e *endpoint) unresponsiveFrom(r *request) time.Duration {
	return max(e.health.lastContactAt, r.sentAt) + r.responseTimeout()
}

// unresponsive says whether the endpoint seems not to answer at all, judged by the oldest unanswered call.
func (d *Decider) unresponsive(e *endpoint) bool {
	return len(e.awaitingFirstByte) > 0 && d.now >= e.unresponsiveFrom(e.awaitingFirstByte[0])
}

// checkResponse looks at a call that is out and unanswered after its silence. A first silence may be a queue that this
// router doesn't see: until the endpoint is heard of it gets nothing new, which is enough. At the second one, or at the
// end of the objective, the call goes elsewhere where it may.
func (d *Decider) checkResponse(r *request) {
	e := r.endpoint
	if r.firstByteSeen || r.abandoned {
		return
	}
	if from := e.unresponsiveFrom(r); from > d.now {
		d.timers.add(from, r)
		return
	}
	e.Trouble = true
	if r.responseTimeouts++; r.responseTimeouts > 1 {
		d.recordFailure(e, r, unreachableWeight)
	}
	if r.responseTimeouts > 1 || d.now >= r.latencyTarget || e.health.maxProbes > 0 {
		d.abandonUnanswered(r)
	}
	if r.abandoned {
		return
	}
	next := d.now + r.responseTimeout()
	if r.responseTimeouts == 1 && r.latencyTarget > d.now {
		next = min(next, r.latencyTarget)
	}
	d.timers.add(next, r)
}

// abandonUnanswered ends a call to a dark endpoint where the request may go on elsewhere.
func (d *Decider) abandonUnanswered(r *request) {
	if r.answerStarted {
		return
	}
	d.moveAttempt(r)
}

// onStall ends the call of a stream that has paused for long, where it may go on elsewhere; else it waits on:
// silence alone is no reason to end an answer.
func (d *Decider) onStall(input StreamStalled) {
	r := d.requests[input.ID]
	if r == nil || r.stage != stageInFlight || r.abandoned || r.endpoint.id != input.Endpoint {
		return
	}
	d.moveAttempt(r)
}

// moveAttempt ends a call so that its request goes on elsewhere, if it may and can go there now.
func (d *Decider) moveAttempt(r *request) {
	e := r.endpoint
	if !r.Retryable || r.canceled {
		return
	}
	if r.possibleExecutions+1 >= max(r.MaxEndpoints, 1) || !d.mayRetry(r) {
		return
	}
	h, class := d.choose(r)
	if h == nil || h.endpoint == e || class != availableNow {
		return
	}
	r.abandoned = true
	d.counters.Abandoned++
	d.outputs = append(d.outputs, Abandon{ID: r.ID, Endpoint: e.id})
}

// usable says whether the endpoint may take a call now, and if not, when it may be looked at again.
func (d *Decider) usable(e *endpoint) (from time.Duration, ok bool) {
	x := &e.health
	if x.notBefore > d.now {
		return x.notBefore, false
	}
	if x.maxProbes > 0 && x.probes >= x.maxProbes {
		return 0, false
	}
	if x.maxProbes == 0 && d.unresponsive(e) {
		return 0, false
	}
	return 0, true
}

// doubtful: its heartbeats stopped, and no call of this router vouches for it.
func (d *Decider) possiblyDown(e *endpoint) bool {
	if e.state != protocol.Unresponsive {
		return false
	}
	return !e.health.hasSucceeded || d.now-e.health.lastSuccessAt > recentSuccessWindow
}
