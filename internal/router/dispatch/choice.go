package dispatch

import (
	"math"
	"time"

	"raventrestle/internal/protocol"
)

// Choice among the endpoints that have a request's model, by cost in milliseconds: the expected time to the first byte, what is cached of
// the prompt, and smaller terms. Rendezvous hashing of the shared parts makes routers agree, without communication, on the endpoint
// that caches them.

const (
	rendezvousHitProbability = 0.9 // that the endpoint of the rendezvous hash has the shared parts, though this router didn't send them
	relaxedFraction          = 0.4 // of the time left until the target: time below it has a lower cost
	relaxedTimeCost          = 0.4
	cacheMissCost            = 3.0   // of tokens that some endpoint has cached, in times of their prefill
	utilizationCostMS        = 400.0 // of an endpoint's last slot
	sizeMismatchCostMS       = 300.0 // of an endpoint that prefers prompts of the other end of all sizes
	crossZoneCostMS          = 1.0   // of an endpoint in another zone
	dialCostMS               = 3.0   // of a new connection
	possiblyDownCostMS       = 400.0 // of an endpoint whose heartbeats stopped
	recoveringCostMS         = 100.0 // of an endpoint that just failed, for requests that can't be retried
	tieBreakCostMS           = 0.5   // between equal endpoints
	targetFraction           = 0.8   // of the time left until the target that the predicted time may take
	connectionIdleTimeout    = 8 * time.Second
)

// availability says how well an endpoint can serve a request, best first.
type availability uint8

const (
	availableNow        availability = iota // within the target, or while most of its slots are free
	availablePastTarget                     // it can take the request, which would probably miss its target
	unavailable                             // it can't take one more now
	noCandidate                             // no endpoint has what the request needs
)

// choose returns the best residency for the request and how available it is.
func (d *Decider) choose(r *request) (best *residency, status availability) {
	status = noCandidate
	lowestCost := math.Inf(1)
	parts, shared := r.sharedPrefix()
	preferred := d.rendezvousChoice(r, parts)
	r.sizes = r.group.service.promptSizes.interval(r.prefillBeyond(0))
	if r.sizes != allSizes {
		r.group.orderBySize()
	}
	for _, res := range r.group.residencies {
		if !d.eligible(res, r) {
			continue
		}
		ms, cost := d.cost(res, r, shared, res == preferred)
		c := d.availabilityOf(res, r, ms)
		if c < status || c == status && cost < lowestCost {
			best, status, lowestCost = res, c, cost
		}
	}
	if status == unavailable {
		if res := d.lastResort(r); res != nil {
			return res, availableNow
		}
	}
	return best, status
}

// eligible reports whether the request may be sent to the residency at all, now or later.
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

// isUnloading reports whether the endpoint was ordered to unload what the request needs.
func (e *endpoint) isUnloading(model, adapter string) bool {
	for i := range e.pendingLoads {
		l := &e.pendingLoads[i]
		if l.Unload && l.Model == model && (l.Adapter == "" || l.Adapter == adapter) {
			return true
		}
	}
	return false
}

// timeCost weighs the time to the first byte: what is far within the target matters little.
func timeCost(ms, left float64) float64 {
	easy := max(left*relaxedFraction, 0)
	return relaxedTimeCost*min(ms, easy) + max(ms-easy, 0)
}

// sharedPrefix returns how many of the request's parts other requests may share, and their tokens. If the parts are the complete prompt,
// the last one is the request's own.
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

// rendezvousChoice returns the residency that the rendezvous hash of the request's shared parts names.
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

// cost returns the predicted time to the first byte and the cost of sending the request to the residency, both in ms.
func (d *Decider) cost(res *residency, r *request, shared int, preferred bool) (ms, cost float64) {
	e := res.endpoint
	ms, cached := d.predict(res, r)
	cost = timeCost(ms, milliseconds(r.latencyTarget-d.now))
	if shared > 0 && d.uses(PrefixCaching) {
		likely := float64(cached)
		if preferred {
			likely = max(likely, rendezvousHitProbability*float64(shared))
		}
		perToken := res.group.msPerThousandTokens() / 1000
		cost -= (likely - float64(cached)) * perToken
		cost += cacheMissCost * perToken * max(float64(shared)-likely, 0)
	}
	if d.uses(SizeIntervals) {
		cost += sizeMismatchCostMS * res.sizes.distance(r.sizes)
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

// availabilityOf says how well the residency can serve the request now.
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

// meetsTarget reports whether a request whose first byte is predicted after so many ms is to be sent. A stream that broke off continues
// wherever it can.
func (d *Decider) meetsTarget(r *request, ms float64) bool {
	if r.answerStarted || r.exploratory {
		return true
	}
	return ms <= targetFraction*milliseconds(r.latencyTarget-d.now)
}

// underutilized reports whether less than half of the endpoint's slots are in use and nothing waits there. Then nothing is queued or
// rejected.
func (d *Decider) underutilized(e *endpoint) bool {
	used, waiting := d.load(e)
	return 2*(used+waiting+1) <= float64(e.slotCount())+1 && waiting < 1
}

// recordPrefix notes the request's parts in the prefix cache of the residency to which it is sent.
func (d *Decider) recordPrefix(res *residency, r *request) {
	if len(r.PromptParts) == 0 {
		return
	}
	maxTokens := math.MaxInt32
	if engine := res.group.service.engine(); engine != nil && engine.KVTokens > 0 {
		models := max(len(res.endpoint.residencies)-1, 1) // without the residency of requests that name no model
		maxTokens = int(engine.KVTokens) / models
	}
	res.prefixCache.add(r.prefixChain(), r.PromptParts, d.now, maxTokens)
}
