package dispatch

import (
	"math"
	"time"

	"raventrestle/internal/protocol"
)

// The choice among the endpoints that hold a request's model: what is kept of its prompt and the expected
// time to the first byte count together, in ms. The shared ring breaks ties, so that routers agree on where
// a session's parts are kept without telling each other.
const (
	rendezvousHitProbability = 0.9 // chance that the ring's endpoint keeps the shared parts, though not sent by us
	relaxedFraction          = 0.4 // of the time left until the objective, below which time costs less
	relaxedTimeCost          = 0.4
	cacheMissCost            = 3.0   // of tokens read again that some endpoint keeps, in times of their reading
	utilizationCostMS        = 30.0  // ms, of the last place of an endpoint
	crossZoneCostMS          = 1.0   // ms, of an endpoint in another zone
	dialCostMS               = 3.0   // ms, of a connection that must be made
	possiblyDownCostMS       = 400.0 // ms, of an endpoint whose heartbeats stopped
	recoveringCostMS         = 100.0 // ms, of an endpoint that just failed, for what can't be sent again
	tieBreakCostMS           = 0.5   // ms, between endpoints that are alike
	targetFraction           = 0.8   // of the time left until the objective, that the expected time may fill
	connectionIdleTimeout    = 8 * time.Second
)

// availability is how good an endpoint is for a request, the lower the better.
type availability uint8

const (
	availableNow        availability = iota // in time, or while it has plenty of places free
	availablePastTarget                     // it can take the request, which would hardly be in time
	unavailable                             // it can't take one more now
	noCandidate
)

// choose returns the best holder for the request.
func (d *Decider) choose(r *request) (best *residency, how availability) {
	how = noCandidate
	least := math.Inf(1)
	parts, shared := r.sharedPrefix()
	ring := d.rendezvousChoice(r, parts)
	for _, h := range r.group.residencies {
		if !d.eligible(h, r) {
			continue
		}
		ms, cost := d.cost(h, r, shared, h == ring)
		c := d.availabilityOf(h, r, ms)
		if c < how || c == how && cost < least {
			best, how, least = h, c, cost
		}
	}
	if how == unavailable {
		if h := d.lastResort(r); h != nil {
			return h, availableNow
		}
	}
	return best, how
}

// eligible says whether the request may go to the holder at all, now or later.
func (d *Decider) eligible(h *residency, r *request) bool {
	e := h.endpoint
	if !e.acceptsRequests() || !h.serves(r.Adapter) {
		return false
	}
	if len(r.attempted) > 0 && r.hasAttempted(e) {
		return false
	}
	return !e.isUnloading(r.Model, r.Adapter)
}

// isUnloading says whether the endpoint was ordered to drop what the request needs.
func (e *endpoint) isUnloading(model, adapter string) bool {
	for i := range e.pendingLoads {
		l := &e.pendingLoads[i]
		if l.Unload && l.Model == model && (l.Adapter == "" || l.Adapter == adapter) {
			return true
		}
	}
	return false
}

// timeCost weighs the time to the first byte: what is far within the objective matters little.
func timeCost(ms, left float64) float64 {
	easy := max(left*relaxedFraction, 0)
	return relaxedTimeCost*min(ms, easy) + max(ms-easy, 0)
}

// sharedPrefix is how many of the request's parts others may share, and their tokens. Where the parts are
// the whole prompt, the last one is the request's own.
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

// rendezvousChoice is the holder that the ring gives the request's shared parts.
func (d *Decider) rendezvousChoice(r *request, shared int) *residency {
	if shared == 0 {
		return nil
	}
	key := r.prefixChain()[shared-1]
	var top *residency
	most := uint64(0)
	for _, h := range r.group.residencies {
		if score := mixHash(h.endpoint.hash ^ key); top == nil || score > most {
			if h.endpoint.state != protocol.Draining && h.serves(r.Adapter) {
				top, most = h, score
			}
		}
	}
	return top
}

// cost weighs a holder: the expected time to the first byte, and what else speaks against it.
func (d *Decider) cost(h *residency, r *request, shared int, ring bool) (ms, cost float64) {
	e := h.endpoint
	ms, kept := d.predict(h, r)
	cost = timeCost(ms, milliseconds(r.latencyTarget-d.now))
	if shared > 0 {
		likely := float64(kept)
		if ring {
			likely = max(likely, rendezvousHitProbability*float64(shared))
		}
		perToken := h.group.msPerThousandTokens() / 1000
		cost -= (likely - float64(kept)) * perToken
		cost += cacheMissCost * perToken * max(float64(shared)-likely, 0)
	}
	taken, _ := d.load(e)
	cost += utilizationCostMS * (taken + 1) / float64(e.slotCount())
	if !e.sameZone {
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

// availabilityOf says how the request would fare at the holder now.
func (d *Decider) availabilityOf(h *residency, r *request, ms float64) availability {
	e := h.endpoint
	if _, ok := d.usable(e); !ok || h.notBefore > d.now || h.awaitsVerification(r.Adapter) {
		return unavailable
	}
	if len(e.inFlight) >= d.maxConnections(e.service) || d.schedule.Full(e) {
		return unavailable
	}
	if d.withinTarget(r, ms) || d.underutilized(e) {
		return availableNow
	}
	return availablePastTarget
}

// withinTarget says whether a request that gets its first byte after so many ms is to be sent. A stream that
// broke off goes on wherever it can.
func (d *Decider) withinTarget(r *request, ms float64) bool {
	if r.answerStarted || r.exploratory {
		return true
	}
	return ms <= targetFraction*milliseconds(r.latencyTarget-d.now)
}

// plenty: under half of its places are taken and nothing waits there. Then nothing is held or refused.
func (d *Decider) underutilized(e *endpoint) bool {
	taken, waiting := d.load(e)
	return 2*(taken+waiting+1) <= float64(e.slotCount())+1 && waiting < 1
}

// recordPrefix notes the request in the memory of the holder that it is sent to.
func (d *Decider) recordPrefix(h *residency, r *request) {
	if len(r.PromptParts) == 0 {
		return
	}
	most := math.MaxInt32
	if engine := h.group.service.engine(); engine != nil && engine.KVTokens > 0 {
		most = int(engine.KVTokens) / max(len(h.endpoint.residencies)-1, 1) // all but the one for requests without a model
	}
	h.prefixCache.add(r.prefixChain(), r.PromptParts, d.now, most)
}
