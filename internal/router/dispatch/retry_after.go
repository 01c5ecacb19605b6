package dispatch

import (
	"time"
)

// Retry-After: when the clients of rejected requests may retry.

const (
	retryAfterDivisor      = 3 // clients honour Retry-After up to their remaining time divided by this
	minRetryAfter          = 50 * time.Millisecond
	defaultModelLoadTime   = 3 * time.Second // if none is configured
	defaultAdapterLoadTime = 300 * time.Millisecond
	loadOrderDelay         = 500 * time.Millisecond // until a model that is needed is being loaded

	overloadBackoffCalls       = 4   // backoff in mean durations of a call, after which slots may be free again
	minOverloadBackoffFraction = 0.8 // fixed fraction of the backoff; the rest is random
)

// loadTimeOf returns how long it takes until an endpoint has loaded the request's model or adapter, which none has
// now.
func (d *Decider) loadTimeOf(r *request) time.Duration {
	if r.Adapter != "" && len(r.group.residencies) > 0 {
		return defaultAdapterLoadTime
	}
	if r.group.loadTime > 0 {
		return r.group.loadTime + loadOrderDelay
	}
	return defaultModelLoadTime
}

// overloadRetryAfter returns the Retry-After for a model whose endpoints are overloaded. It grows with the duration
// of the overload.
func (d *Decider) overloadRetryAfter(r *request, res *residency) time.Duration {
	g := r.group
	if d.now-g.overloadedAt > time.Second {
		g.overloadedSince = d.now
	}
	g.overloadedAt = d.now
	wait := d.overloadBackoff(r, g)
	if res != nil {
		ms, _ := d.predict(res, r)
		wait = max(wait, time.Duration(ms*float64(time.Millisecond))-(r.latencyTarget-r.arrived)/2)
		wait = max(wait, res.endpoint.health.notBefore-d.now)
	}
	return d.retryAfter(r, wait)
}

// retryAfter converts a wait into a Retry-After with jitter, which leaves the client time for the retry; 0 if a retry
// can't succeed.
func (d *Decider) retryAfter(r *request, wait time.Duration) time.Duration {
	remaining := r.deadline - d.now
	if remaining < retryAfterDivisor*minRetryAfter {
		return 0
	}
	wait = max(wait, minRetryAfter)
	wait += time.Duration(float64(wait) * d.random.Float64() / 4)
	return min(wait, remaining/retryAfterDivisor)
}

// overloadBackoff returns after which time slots may be free again. It is at least several mean durations of a call,
// since calls in flight occupy their slots for so long, and grows with the duration of the overload.
func (d *Decider) overloadBackoff(r *request, g *modelGroup) time.Duration {
	callTime := time.Duration(overloadBackoffCalls * g.service.meanDuration() * float64(time.Millisecond))
	wait := callTime + 2*(d.now-g.overloadedSince)
	wait = min(wait, (r.deadline-d.now)/retryAfterDivisor)
	return time.Duration(float64(wait) * (minOverloadBackoffFraction + (1-minOverloadBackoffFraction)*d.random.Float64()))
}
