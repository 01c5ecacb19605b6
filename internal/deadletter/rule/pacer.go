package rule

import (
	"time"

	"golang.org/x/time/rate"
)

// Pacer limits how fast the dead letters of one destination are sent again. Automatic resends start only
// after the destination has delivered a call. At first the pacer allows one resend at a time at the initial
// rate, until the warm-up period is over: an endpoint that has just come back may still be cold. From then on
// each delivered resend raises the rate and the number of concurrent resends. A failure starts a backoff,
// which grows with each further failed resend. A courier that has just started knows of no outage, so it
// applies the warm-up period to every destination (TestPacerKeepsInitialRateDuringWarmUp).
//
// Invariant: between two failures, the number of resends in flight is at most one more than the number of
// resends delivered since the destination began to deliver (TestPacerStartsWithOneResend).
type Pacer struct {
	limits          Limits
	limiter         *rate.Limiter
	delivering      bool      // a call was delivered since the last failure
	deliveringSince time.Time // time of the first such delivery
	backoffUntil    time.Time
	failures        int // consecutive failed resends
	maxInFlight     int
	inFlight        int // resends
}

// NewPacer returns a pacer for a destination whose calls have not been observed yet.
func NewPacer(l Limits) *Pacer {
	return &Pacer{limits: l, maxInFlight: 1, limiter: rate.NewLimiter(rate.Limit(l.InitialRate), 1)}
}

// SetLimits replaces the limits and clamps the current rate to them.
func (p *Pacer) SetLimits(l Limits, now time.Time) {
	p.limits = l
	p.limiter.SetLimitAt(now, min(max(p.limiter.Limit(), rate.Limit(l.InitialRate)), rate.Limit(l.MaxRate)))
}

// RecordCall records the end of a call to the destination. resend tells whether the call was a resend or the
// delivery of a fresh message; random is uniform in [0, 1) and sets the jitter of a backoff.
func (p *Pacer) RecordCall(now time.Time, delivered, resend bool, random float64) {
	if resend {
		p.inFlight = max(p.inFlight-1, 0)
	}
	if !delivered {
		if resend {
			p.failures++
		}
		// A failed fresh message starts only the first backoff and never extends one. Otherwise a channel
		// that fails one call in twenty would never send its dead letters again.
		if backoffUntil := now.Add(p.limits.BackoffAfter(max(p.failures, 1), random)); resend || !now.Before(p.backoffUntil) {
			p.backoffUntil = backoffUntil
		}
		p.delivering, p.maxInFlight = false, 1
		p.limiter.SetLimitAt(now, rate.Limit(p.limits.InitialRate))
		return
	}
	if now.Before(p.backoffUntil) { // a call that began before the failure, or an isolated success
		return
	}
	if !p.delivering {
		p.delivering, p.deliveringSince = true, now
	}
	if resend {
		p.failures = 0
	}
	if resend && now.Sub(p.deliveringSince) >= p.limits.WarmUp {
		p.maxInFlight++
		p.limiter.SetLimitAt(now, min(p.limiter.Limit()*rate.Limit(1+p.limits.Growth), rate.Limit(p.limits.MaxRate)))
	}
}

// Release gives back the slot of a resend that ended without an attempt. Rate and backoff stay as they are.
func (p *Pacer) Release() { p.inFlight = max(p.inFlight-1, 0) }

// Check reports whether a resend may begin now. A resend requested by an operator need not wait for a delivery.
func (p *Pacer) Check(now time.Time, requested bool) Reason {
	switch {
	case now.Before(p.backoffUntil):
		return BackingOff
	case !p.delivering && !requested:
		return NoDeliverySeen
	case p.inFlight >= p.maxInFlight || p.limiter.TokensAt(now) < 1:
		return RateLimited
	}
	return Allowed
}

// Acquire takes a slot and a token for a resend that begins now. Call it only after Check returned Allowed.
func (p *Pacer) Acquire(now time.Time) {
	p.limiter.AllowN(now, 1)
	p.inFlight++
}

// Idle reports whether the pacer is back in its initial state and can be deleted.
func (p *Pacer) Idle(now time.Time) bool {
	return p.inFlight == 0 && p.failures == 0 && !p.delivering && !now.Before(p.backoffUntil)
}
