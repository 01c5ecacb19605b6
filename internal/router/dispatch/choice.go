package dispatch

import (
	"math"
	"time"

	"raventrestle/internal/protocol"
)

// Endpoint selection: the endpoints that have a request's model are compared by a cost in milliseconds, which is
// based on the expected time to the first byte, the part of the prompt in the endpoint's prefix cache, and smaller
// terms. Rendezvous hashing of the prompt's shared parts lets routers agree, without communication, on the endpoint
// that caches them.

const (
	rendezvousHitProbability = 0.9             // probability that the endpoint it selects has cached the shared parts, though this router didn't send them
	relaxedFraction          = 0.4             // fraction of the time until the latency target; predicted time within it has a lower cost
	relaxedTimeCost          = 0.4             // cost of a millisecond within relaxedFraction; beyond it a millisecond costs 1
	cacheMissCost            = 3.0             // cost of shared tokens that are not cached, as a multiple of their prefill time
	utilizationCostMS        = 400.0           // cost of an endpoint whose last free slot the request takes; proportional to the slots in use
	sizeMismatchCostMS       = 300.0           // cost of an endpoint whose interval of prompt sizes is as far as possible from the request's
	crossZoneCostMS          = 1.0             // cost of an endpoint in another zone
	dialCostMS               = 3.0             // cost of opening a connection
	possiblyDownCostMS       = 400.0           // cost of an endpoint whose heartbeats have stopped
	recoveringCostMS         = 100.0           // cost of an endpoint that recovers from an ejection, for requests that can't be retried
	tieBreakCostMS           = 0.5             // maximum of a pseudo-random cost that decides between equal endpoints
	targetFraction           = 0.8             // fraction of the time until the latency target that the predicted time may take
	connectionIdleTimeout    = 8 * time.Second // after which an unused connection is assumed to be closed
)

// availability is how well an endpoint can serve a request; lower values are better.
type availability uint8

const (
	availableNow        availability = iota // the request will probably meet its latency target, or the endpoint is underutilized
	availablePastTarget                     // the endpoint can take the request, which will probably miss its latency target
	unavailable                             // the endpoint can't take another request now
	noCandidate                             // no endpoint is eligible
)

// choose returns the residency with the lowest cost among those of the best availability, and that availability. If
// all eligible endpoints are unavailable, an ejected endpoint may be chosen as the last resort.
func (d *Decider) choose(r *request) (best *residency, status availability) {
	status = noCandidate
	lowestCost := math.Inf(1)
	parts, shared := r.sharedPrefix()
	preferred := d.rendezvousChoice(r, parts)
	r.sizeInterval = r.group.service.promptSizes.interval(r.uncachedTokens(0))
	if r.sizeInterval != allSizes {
		r.group.assignSizeIntervals()
	}
	for _, res := range r.group.residencies {
		if !d.eligible(res, r) {
			continue
		}
		ms, cost := d.cost(res, r, shared, res == preferred)
		candidate := d.availabilityOf(res, r, ms)
		if candidate < status || candidate == status && cost < lowestCost {
			best, status, lowestCost = res, candidate, cost
		}
	}
	if status == unavailable {
		if res := d.lastResort(r); res != nil {
			return res, availableNow
		}
	}
	return best, status
}

// eligible reports whether the residency can serve the request at all, now or later.
func (d *Decider) eligible(res *residency, r *request) bool {
	e := res.endpoint
	if !e.acceptsRequests() || !res.serves(r.Adapter) {
		return false
	}
	if len(r.attempted) > 0 && r.hasAttempted(e) {
		return false
	}
	return !e.isUnloading(r.Model, r.Adapter)
}

// isUnloading reports whether the endpoint has been ordered to unload the model or the adapter.
func (e *endpoint) isUnloading(model, adapter string) bool {
	for i := range e.pendingLoads {
		l := &e.pendingLoads[i]
		if l.Unload && l.Model == model && (l.Adapter == "" || l.Adapter == adapter) {
			return true
		}
	}
	return false
}

// timeCost returns the cost of a predicted time to the first byte, given the time remaining until the latency target,
// all in milliseconds. Time that is far within the target has a lower cost.
func timeCost(ms, remaining float64) float64 {
	relaxed := max(remaining*relaxedFraction, 0)
	return relaxedTimeCost*min(ms, relaxed) + max(ms-relaxed, 0)
}

// sharedPrefix returns the number and the tokens of the prompt's leading parts that other requests may share. If the
// parts make up the complete prompt, the last part is assumed to be unique to the request and is not counted.
func (r *request) sharedPrefix() (count, tokens int) {
	for i := range r.PromptParts {
		tokens += r.PromptParts[i].Tokens
	}
	count = len(r.PromptParts)
	if count > 1 && tokens >= r.PromptTokens {
		count--
		tokens -= r.PromptParts[count].Tokens
	}
	return count, tokens
}

// rendezvousChoice returns the residency with the highest rendezvous hash for the request's shared parts; nil if
// there are no shared parts.
func (d *Decider) rendezvousChoice(r *request, shared int) *residency {
	if shared == 0 || !d.uses(RendezvousHashing) {
		return nil
	}
	key := r.prefixChain()[shared-1]
	var best *residency
	highestScore := uint64(0)
	for _, res := range r.group.residencies {
		if score := mixHash(res.endpoint.hash ^ key); best == nil || score > highestScore {
			if res.endpoint.state != protocol.Draining && res.serves(r.Adapter) {
				best, highestScore = res, score
			}
		}
	}
	return best
}

// cost returns the predicted time to the first byte and the cost of sending the request to the residency, both in
// milliseconds.
func (d *Decider) cost(res *residency, r *request, shared int, preferred bool) (ms, cost float64) {
	e := res.endpoint
	ms, cached := d.predict(res, r)
	cost = timeCost(ms, milliseconds(r.latencyTarget-d.now))
	if shared > 0 && d.uses(PrefixCaching) {
		expectedCached := float64(cached)
		if preferred {
			expectedCached = max(expectedCached, rendezvousHitProbability*float64(shared))
		}
		perToken := res.group.msPerThousandTokens() / 1000
		cost -= (expectedCached - float64(cached)) * perToken
		cost += cacheMissCost * perToken * max(float64(shared)-expectedCached, 0)
	}
	if d.uses(SizeIntervals) {
		cost += sizeMismatchCostMS * res.sizeInterval.distance(r.sizeInterval)
	}
	if d.uses(UtilizationCost) {
		used, _ := d.load(e)
		cost += utilizationCostMS * (used + 1) / float64(e.slotCount())
	}
	if !e.sameZone && d.uses(ZonePreference) {
		cost += crossZoneCostMS
	}
	if len(e.inFlight) >= e.openConnections || d.now-e.lastUsedAt > connectionIdleTimeout {
		cost += dialCostMS
	}
	if d.possiblyDown(e) {
		cost += possiblyDownCostMS
	}
	if e.health.maxProbes > 0 && !r.Retryable {
		cost += recoveringCostMS
	}
	cost += tieBreakCostMS * float64(mixHash(e.hash^d.seed)>>11) / (1 << 53)
	return ms, cost
}

// availabilityOf returns how well the residency can serve the request now; ms is the predicted time to the first
// byte.
func (d *Decider) availabilityOf(res *residency, r *request, ms float64) availability {
	e := res.endpoint
	if _, ok := d.usable(e); !ok || res.notBefore > d.now || res.awaitsVerification(r.Adapter) {
		return unavailable
	}
	if len(e.inFlight) >= d.maxConnections(e.service) || d.schedule.AtSlotLimit(e) {
		return unavailable
	}
	if d.meetsTarget(r, ms) || d.underutilized(e) {
		return availableNow
	}
	return availablePastTarget
}

// meetsTarget reports whether a predicted time to the first byte, in milliseconds, is short enough for the request.
// It always is for an exploratory request, and for a stream that broke off, which is resumed wherever possible.
func (d *Decider) meetsTarget(r *request, ms float64) bool {
	if r.answerStarted || r.exploratory {
		return true
	}
	return ms <= targetFraction*milliseconds(r.latencyTarget-d.now)
}

// underutilized reports whether, with one more request, at most about half of the endpoint's slots are in use, and no
// request waits there. Requests for such an endpoint are neither queued nor rejected because of a predicted time.
func (d *Decider) underutilized(e *endpoint) bool {
	used, waiting := d.load(e)
	return 2*(used+waiting+1) <= float64(e.slotCount())+1 && waiting < 1
}

// recordPrefix adds the request's prompt parts to the prefix cache of the residency that it is sent to.
func (d *Decider) recordPrefix(res *residency, r *request) {
	if len(r.PromptParts) == 0 {
		return
	}
	maxTokens := math.MaxInt32
	if engine := res.group.service.engine(); engine != nil && engine.KVTokens > 0 {
		models := max(len(res.endpoint.residencies)-1, 1) // without the residency for requests that name no model
		maxTokens = int(engine.KVTokens) / models
	}
	res.prefixCache.add(r.prefixChain(), r.PromptParts, d.now, maxTokens)
}
