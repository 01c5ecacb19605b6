package dispatch

import (
	"time"

	"raventrestle/internal/protocol"
)

// Health of endpoints, by this router's own calls alone (outlier ejection). An endpoint that fails is ejected for a backoff, then
// probed by single requests, then by twice as many after each success until it is readmitted.

const (
	failureWeight        = 1 // it answered with a failure of its own
	connectionLossWeight = 2 // reset, garbled or timed out
	unreachableWeight    = 3 // no connection could be made
	ejectionThreshold    = 3 // of the weights of consecutive failures

	minEjectionBackoff        = 250 * time.Millisecond
	maxEjectionBackoff        = 2 * time.Second
	nonRetryableProbeInterval = 700 * time.Millisecond // between probes of last resort by requests that can't be retried
	massEjectionFraction      = 0.8                    // of a service's endpoints
	minRejectionBackoff       = 40 * time.Millisecond  // after a rejected request
	maxRejectionBackoff       = 640 * time.Millisecond
	minMisdirectionTTL        = 300 * time.Millisecond // how long 421 outweighs the table
	maxMisdirectionTTL        = 5 * time.Second
	recoveredProbes           = 16 // concurrent probes from which on an endpoint counts as healthy again
	responseTimeoutFactor     = 4  // times the prediction after which an endpoint without any sign counts as unresponsive
	minResponseTimeout        = 150 * time.Millisecond
	recentSuccessWindow       = 2 * time.Second // in which a success outweighs missing heartbeats
)

// health is what this router's calls show of an endpoint.
type health struct {
	failureScore     int // weights of consecutive failures
	ejectionBackoff  time.Duration
	rejectionBackoff time.Duration
	notBefore        time.Duration // no call earlier
	ejectedAt        time.Duration
	maxProbes        int // concurrent calls while it recovers, 0: healthy, no bound
	probes           int // concurrent ones
	lastSuccessAt    time.Duration
	lastFailureAt    time.Duration
	lastContactAt    time.Duration // of any sign of the endpoint
	hasSucceeded     bool          // lastSuccessAt is set
}

// recordSuccess notes an answer. Calls sent before the ejection say nothing new.
func (d *Decider) recordSuccess(e *endpoint, r *request) {
	h := &e.health
	h.lastContactAt = d.now
	if r.sentAt < h.ejectedAt {
		return
	}
	if h.maxProbes > 0 && e.service.mostlyEjected() {
		d.readmitAll(e.service)
	}
	h.hasSucceeded = true
	h.lastSuccessAt = d.now
	e.Degraded = false
	h.failureScore = 0
	h.ejectionBackoff = 0
	h.rejectionBackoff = 0
	if h.maxProbes > 0 {
		h.maxProbes *= 2
	}
	if h.maxProbes >= recoveredProbes {
		h.maxProbes = 0
		e.service.ejected--
	}
}

// recordFailure notes a failed call. Calls sent before the ejection say nothing new.
func (d *Decider) recordFailure(e *endpoint, r *request, weight int) {
	h := &e.health
	if weight == failureWeight {
		h.lastContactAt = d.now
	}
	if r.sentAt < h.ejectedAt {
		return
	}
	h.lastFailureAt = d.now
	h.failureScore += weight
	if h.maxProbes > 0 || h.failureScore >= ejectionThreshold {
		d.eject(e)
	}
}

// eject excludes an endpoint until its backoff is over.
func (d *Decider) eject(e *endpoint) {
	h := &e.health
	if !e.listed {
		return
	}
	h.ejectionBackoff = min(max(2*h.ejectionBackoff, minEjectionBackoff), maxEjectionBackoff)
	h.notBefore = d.now + d.jitter(h.ejectionBackoff)
	h.ejectedAt = d.now
	d.counters.Ejected++
	if h.maxProbes == 0 {
		e.service.ejected++
	}
	h.maxProbes = 1
	e.Degraded = true
	h.probes = 0
	for _, r := range e.inFlight {
		r.probe = false
	}
	e.clearBacklogTokens()
	d.reassignQueued(e)
	d.addSuspect(e)
	d.requestUrgentReport()
}

// jitter returns a random time of 0.75 to 1.25 of the given one, so that routers don't act in step.
func (d *Decider) jitter(t time.Duration) time.Duration {
	return time.Duration(float64(t) * (0.75 + d.random.Float64()/2))
}

// recordRejection notes that the endpoint did not execute the request. If it advertised free slots, an order concerning the model is
// the cause and only this model backs off; else the endpoint is full.
func (d *Decider) recordRejection(e *endpoint, r *request, load *AdvertisedLoad) {
	h := &e.health
	h.lastContactAt = d.now
	res := e.residencyOf(r.Model)
	if res != nil && load != nil && r.Model != "" && load.Running+load.Waiting < load.Slots {
		res.rejectionBackoff = min(max(2*res.rejectionBackoff, minRejectionBackoff), maxRejectionBackoff)
		res.notBefore = d.now + d.jitter(res.rejectionBackoff)
		return
	}
	h.rejectionBackoff = min(max(2*h.rejectionBackoff, minRejectionBackoff), maxRejectionBackoff)
	h.notBefore = max(h.notBefore, d.now+d.jitter(h.rejectionBackoff))
}

// recordMisdirection notes that the model is not there, or that another incarnation has the address.
func (d *Decider) recordMisdirection(e *endpoint, r *request) {
	e.health.lastContactAt = d.now
	res := e.residencyOf(r.Model)
	if res == nil {
		return
	}
	if res.misdirections == nil {
		res.misdirections = map[string]misdirection{}
	}
	before := res.misdirections[r.Adapter]
	res.misdirectionTTL = min(max(2*res.misdirectionTTL, minMisdirectionTTL), maxMisdirectionTTL)
	res.misdirections[r.Adapter] = misdirection{sequence: max(e.sequence, before.sequence), expiresAt: d.now + res.misdirectionTTL}
	if r.Model == "" {
		d.eject(e)
	}
}

// recordCancellation notes that this side ended the call. If the endpoint gave no sign at all for long, that counts as a failure.
func (d *Decider) recordCancellation(e *endpoint, r *request) {
	if r.firstByteSeen || d.now < e.unresponsiveFrom(r) {
		return
	}
	d.recordFailure(e, r, unreachableWeight)
}

// usable reports whether the endpoint may take a call now, and if not, from when on it may; 0: not known.
func (d *Decider) usable(e *endpoint) (from time.Duration, ok bool) {
	h := &e.health
	if h.notBefore > d.now {
		return h.notBefore, false
	}
	if h.maxProbes > 0 && h.probes >= h.maxProbes {
		return 0, false
	}
	if h.maxProbes == 0 && d.unresponsive(e) {
		return 0, false
	}
	return 0, true
}

// possiblyDown reports whether the endpoint's heartbeats stopped and no recent call of this router succeeded there.
func (d *Decider) possiblyDown(e *endpoint) bool {
	if e.state != protocol.Unresponsive {
		return false
	}
	return !e.health.hasSucceeded || d.now-e.health.lastSuccessAt > recentSuccessWindow
}
