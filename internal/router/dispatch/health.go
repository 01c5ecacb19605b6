package dispatch

import (
	"time"

	"raventrestle/internal/protocol"
)

// Health of endpoints, judged by this router's own calls alone (outlier ejection). An endpoint that fails is ejected
// for a backoff time, then probed by one request at a time. After each success twice as many concurrent probes are
// allowed, until the endpoint is readmitted.

const (
	failureWeight        = 1 // the endpoint answered with a failure of its own
	connectionLossWeight = 2 // the connection was reset, timed out or garbled
	unreachableWeight    = 3 // no connection could be made, or nothing was received
	ejectionThreshold    = 3 // sum of the weights of consecutive failures at which an endpoint is ejected

	minEjectionBackoff        = 250 * time.Millisecond
	maxEjectionBackoff        = 2 * time.Second
	nonRetryableProbeInterval = 700 * time.Millisecond // between last-resort probes by requests that can't be retried
	massEjectionFraction      = 0.8                    // fraction of a service's endpoints; if so many are ejected, this router's own network may be at fault
	minRejectionBackoff       = 40 * time.Millisecond  // after a rejected request
	maxRejectionBackoff       = 640 * time.Millisecond
	minMisdirectionTTL        = 300 * time.Millisecond // how long an answer 421 overrides the table
	maxMisdirectionTTL        = 5 * time.Second
	recoveredProbes           = 16 // allowed concurrent probes at which an endpoint counts as healthy again
	responseTimeoutFactor     = 4  // multiple of the predicted time after which an endpoint that sends nothing is unresponsive
	minResponseTimeout        = 150 * time.Millisecond
	recentSuccessWindow       = 2 * time.Second // within it a success outweighs missing heartbeats
)

// health is an endpoint's health according to this router's calls.
type health struct {
	failureScore     int // sum of the weights of consecutive failures
	ejectionBackoff  time.Duration
	rejectionBackoff time.Duration
	notBefore        time.Duration // no call is sent earlier
	ejectedAt        time.Duration
	maxProbes        int // maximum of concurrent calls while the endpoint recovers; 0: healthy, no maximum
	probes           int // current concurrent calls while it recovers
	lastSuccessAt    time.Duration
	lastFailureAt    time.Duration
	lastContactAt    time.Duration // when anything was last received from the endpoint
	hasSucceeded     bool          // lastSuccessAt is set
}

// recordSuccess records an answer of the endpoint. An answer to a call that was sent before the ejection does not
// count as a success, since it says nothing about the endpoint's state since then.
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

// recordFailure records a failed call. A call that was sent before the ejection does not count, since it says nothing
// about the endpoint's state since then.
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

// eject excludes an endpoint until its backoff has passed.
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

// jitter returns a random duration of 0.75 to 1.25 times t, so that routers don't act at the same time.
func (d *Decider) jitter(t time.Duration) time.Duration {
	return time.Duration(float64(t) * (0.75 + d.random.Float64()/2))
}

// recordRejection records that the endpoint did not execute the request. If it advertised free slots, the cause is a
// load or unload order for the model, and only this model backs off; otherwise the endpoint is full.
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

// recordMisdirection records that the endpoint does not have the model, or that another incarnation has its address.
func (d *Decider) recordMisdirection(e *endpoint, r *request) {
	e.health.lastContactAt = d.now
	res := e.residencyOf(r.Model)
	if res == nil {
		return
	}
	if res.misdirections == nil {
		res.misdirections = map[string]misdirection{}
	}
	previous := res.misdirections[r.Adapter]
	res.misdirectionTTL = min(max(2*res.misdirectionTTL, minMisdirectionTTL), maxMisdirectionTTL)
	res.misdirections[r.Adapter] = misdirection{sequence: max(e.sequence, previous.sequence), expiresAt: d.now + res.misdirectionTTL}
	if r.Model == "" {
		d.eject(e)
	}
}

// recordCancellation records a call that this router ended. It counts as a failure if nothing was received from the
// endpoint for the response timeout.
func (d *Decider) recordCancellation(e *endpoint, r *request) {
	if r.firstByteSeen || d.now < e.unresponsiveFrom(r) {
		return
	}
	d.recordFailure(e, r, unreachableWeight)
}

// usable reports whether a call may be sent to the endpoint now. If not, from is the time at which this may change,
// or 0 if that is unknown.
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

// possiblyDown reports whether the endpoint's heartbeats have stopped and no recent call of this router succeeded
// there.
func (d *Decider) possiblyDown(e *endpoint) bool {
	if e.state != protocol.Unresponsive {
		return false
	}
	return !e.health.hasSucceeded || d.now-e.health.lastSuccessAt > recentSuccessWindow
}
