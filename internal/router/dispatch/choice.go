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
	ringTrust      = 0.9 // chance that the ring's endpoint keeps the shared parts, though not sent by us
	easyShare      = 0.4 // of the time left until the objective, below which time costs less
	easyPrice      = 0.4
	rereadPrice    = 3.0   // of tokens read again that some endpoint keeps, in times of their reading
	loadPrice      = 30.0  // ms, of the last place of an endpoint
	farPrice       = 1.0   // ms, of an endpoint in another zone
	newPrice       = 3.0   // ms, of a connection that must be made
	doubtPrice     = 400.0 // ms, of an endpoint whose heartbeats stopped
	trialPrice     = 100.0 // ms, of an endpoint that just failed, for what can't be sent again
	tiePrice       = 0.5   // ms, between endpoints that are alike
	objectiveShare = 0.8   // of the time left until the objective, that the expected time may fill
	idleConnection = 8 * time.Second
)

// class is how good an endpoint is for a request, the lower the better.
type class uint8

const (
	goesNow  class = iota // in time, or while it has plenty of places free
	goesLate              // it can take the request, which would hardly be in time
	goesNot               // it can't take one more now
	goesNowhere
)

// choose returns the best holder for the request.
func (d *Decider) choose(r *request) (best *holding, how class) {
	how = goesNowhere
	least := math.Inf(1)
	parts, shared := r.sharedParts()
	ring := d.ringTop(r, parts)
	for _, h := range r.group.holders {
		if !d.eligible(h, r) {
			continue
		}
		ms, cost := d.cost(h, r, shared, h == ring)
		c := d.classify(h, r, ms)
		if c < how || c == how && cost < least {
			best, how, least = h, c, cost
		}
	}
	if how == goesNot {
		if h := d.lastResort(r); h != nil {
			return h, goesNow
		}
	}
	return best, how
}

// eligible says whether the request may go to the holder at all, now or later.
func (d *Decider) eligible(h *holding, r *request) bool {
	e := h.at
	if !e.takesRequests() || !h.has(r.Adapter) {
		return false
	}
	if len(r.tried) > 0 && r.hasTried(e) {
		return false
	}
	return !e.unloads(r.Model, r.Adapter)
}

// unloads says whether the endpoint was ordered to drop what the request needs.
func (e *endpoint) unloads(model, adapter string) bool {
	for i := range e.loading {
		l := &e.loading[i]
		if l.Unload && l.Model == model && (l.Adapter == "" || l.Adapter == adapter) {
			return true
		}
	}
	return false
}

// timePrice weighs the time to the first byte: what is far within the objective matters little.
func timePrice(ms, left float64) float64 {
	easy := max(left*easyShare, 0)
	return easyPrice*min(ms, easy) + max(ms-easy, 0)
}

// sharedParts is how many of the request's parts others may share, and their tokens. Where the parts are
// the whole prompt, the last one is the request's own.
func (r *request) sharedParts() (count, tokens int) {
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

// ringTop is the holder that the ring gives the request's shared parts.
func (d *Decider) ringTop(r *request, shared int) *holding {
	if shared == 0 {
		return nil
	}
	key := r.chain()[shared-1]
	var top *holding
	most := uint64(0)
	for _, h := range r.group.holders {
		if score := mix(h.at.hash ^ key); top == nil || score > most {
			if h.at.state != protocol.Draining && h.has(r.Adapter) {
				top, most = h, score
			}
		}
	}
	return top
}

// cost weighs a holder: the expected time to the first byte, and what else speaks against it.
func (d *Decider) cost(h *holding, r *request, shared int, ring bool) (ms, cost float64) {
	e := h.at
	ms, kept := d.predict(h, r)
	cost = timePrice(ms, milliseconds(r.objective-d.now))
	if shared > 0 {
		likely := float64(kept)
		if ring {
			likely = max(likely, ringTrust*float64(shared))
		}
		perToken := h.group.perThousand() / 1000
		cost -= (likely - float64(kept)) * perToken
		cost += rereadPrice * perToken * max(float64(shared)-likely, 0)
	}
	taken, _ := d.load(e)
	cost += loadPrice * (taken + 1) / float64(e.places())
	if !e.near {
		cost += farPrice
	}
	if len(e.calls) >= e.opened || d.now-e.usedAt > idleConnection {
		cost += newPrice
	}
	if d.doubtful(e) {
		cost += doubtPrice
	}
	if e.evidence.most > 0 && !r.Retryable {
		cost += trialPrice
	}
	cost += tiePrice * float64(mix(e.hash^d.seed)>>11) / (1 << 53)
	return ms, cost
}

// classify says how the request would fare at the holder now.
func (d *Decider) classify(h *holding, r *request, ms float64) class {
	e := h.at
	if _, ok := d.usable(e); !ok || h.until > d.now || h.tries(r.Adapter) {
		return goesNot
	}
	if len(e.calls) >= d.connections(e.service) || d.schedule.Full(e) {
		return goesNot
	}
	if d.inTime(r, ms) || d.plenty(e) {
		return goesNow
	}
	return goesLate
}

// inTime says whether a request that gets its first byte after so many ms is to be sent. A stream that
// broke off goes on wherever it can.
func (d *Decider) inTime(r *request, ms float64) bool {
	if r.answering || r.explores {
		return true
	}
	return ms <= objectiveShare*milliseconds(r.objective-d.now)
}

// plenty: under half of its places are taken and nothing waits there. Then nothing is held or refused.
func (d *Decider) plenty(e *endpoint) bool {
	taken, waiting := d.load(e)
	return 2*(taken+waiting+1) <= float64(e.places())+1 && waiting < 1
}

// remember notes the request in the memory of the holder that it is sent to.
func (d *Decider) remember(h *holding, r *request) {
	if len(r.PromptParts) == 0 {
		return
	}
	most := math.MaxInt32
	if engine := h.group.service.engine(); engine != nil && engine.KVTokens > 0 {
		most = int(engine.KVTokens) / max(len(h.at.holdings)-1, 1) // all but the one for requests without a model
	}
	h.kept.add(r.chain(), r.PromptParts, d.now, most)
}
