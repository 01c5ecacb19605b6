package dispatch

import (
	"time"
)

// Retry-After of rejections.

const (
	retryAfterDivisor      = 3 // clients honour Retry-After up to this part of the time they have left
	minRetryAfter          = 50 * time.Millisecond
	defaultModelLoadTime   = 3 * time.Second // where none is configured
	defaultAdapterLoadTime = 300 * time.Millisecond
	loadOrderDelay         = 500 * time.Millisecond // until an order to load a model is under way

	overloadBackoffCalls       = 4   // mean durations of a call after which slots may be free again
	minOverloadBackoffFraction = 0.8 // the rest of the backoff is random
)

// loadTimeOf returns how long it takes until an endpoint has a model that none has now.
func (d *Decider) loadTimeOf(r *request) time.Duration {
	if r.Adapter != "" && len(r.group.residencies) > 0 {
		return defaultAdapterLoadTime
	}
	if r.group.loadTime > 0 {
		return r.group.loadTime + loadOrderDelay
	}
	return defaultModelLoadTime
}

// overloadRetryAfter returns when to retry at a model whose endpoints are overloaded: the longer that lasts, the later.
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

// retryAfter turns a wait into a Retry-After, with some jitter; 0 if a retry can't succeed.
func (d *Decider) retryAfter(r *request, wait time.Duration) time.Duration {
	left := r.deadline - d.now
	if left < retryAfterDivisor*minRetryAfter {
		return 0
	}
	wait = max(wait, minRetryAfter)
	wait += time.Duration(float64(wait) * d.random.Float64() / 4)
	return min(wait, left/retryAfterDivisor)
}

// overloadBackoff returns when slots may be free again: not before several calls' time, since those in flight occupy their slots so long,
// and the later the longer the overload has lasted.
func (d *Decider) overloadBackoff(r *request, g *modelGroup) time.Duration {
	calls := time.Duration(overloadBackoffCalls * g.service.meanDuration() * float64(time.Millisecond))
	wait := calls + 2*(d.now-g.overloadedSince)
	wait = min(wait, (r.deadline-d.now)/retryAfterDivisor)
	return time.Duration(float64(wait) * (minOverloadBackoffFraction + (1-minOverloadBackoffFraction)*d.random.Float64()))
}
