package dispatch

import (
	"math"
	"time"
)

// Estimates of the time to the first byte, learned from this router's own calls: per model a linear regression over the tokens that are
// read before it, how much slower one endpoint is than its peers, and the load that other routers cause. Times are in ms, tokens in
// thousands.

const (
	priorDurationMS            = 20.0 // of a complete call
	outlierFactor              = 4.0  // times the prediction to which longer times are clipped
	durationSmoothing          = 0.05 // weight of a new call in the mean duration
	prefillSmoothing           = 0.05
	advertisedLoadTimeConstant = 12 * time.Second
	maxAssumedUtilization      = 0.4  // of the slots of an endpoint that has advertised nothing, assumed to be used by other routers
	maxKVUtilization           = 0.95 // of an endpoint's KV cache that running requests may take
)

// msPerThousandTokens returns the time of the prefill of a thousand tokens, in ms.
func (g *modelGroup) msPerThousandTokens() float64 {
	start, slope := g.service.firstByteLine.fit(priorFirstByteMS, priorMSPerThousandTokens)
	_, b := g.firstByteLine.fit(start, slope)
	return b
}

// firstByteMS returns the time to the first byte of an idle endpoint that has so many thousand tokens to read, in ms.
func (g *modelGroup) firstByteMS(thousands float64) float64 {
	start, slope := g.service.firstByteLine.fit(priorFirstByteMS, priorMSPerThousandTokens)
	a, b := g.firstByteLine.fit(start, slope)
	return a + b*thousands
}

// othersLoad estimates the calls of other routers at the endpoint, running and waiting: what it advertised, decaying towards what is
// expected if other routers behave like this one.
func (d *Decider) othersLoad(e *endpoint) (running, waiting float64) {
	others := float64(d.routerCount - 1)
	expected := 0.0
	if s := e.service; s.endpoints > 0 {
		expected = float64(s.inFlight) / float64(s.endpoints) * others
		expected = min(expected, maxAssumedUtilization*float64(e.slotCount()))
	}
	if !e.advertised.known {
		return expected, 0
	}
	weight := math.Exp(-float64(d.now-e.advertised.receivedAt) / float64(advertisedLoadTimeConstant))
	running = weight*float64(e.advertised.running) + (1-weight)*expected
	waiting = weight * float64(e.advertised.waiting)
	return running, waiting
}

// load estimates how many slots of the endpoint are in use and how many requests wait there.
func (d *Decider) load(e *endpoint) (used, waiting float64) {
	running, others := d.othersLoad(e)
	if e.service.engine() == nil { // without an engine a call executes from its arrival
		return running + float64(len(e.inFlight)), others
	}
	return running + float64(len(e.inFlight)-len(e.awaitingFirstByte)), others + float64(len(e.awaitingFirstByte))
}

// capacity returns how many requests the endpoint executes at once: its slots, or fewer if its KV cache is the limit. mean is the mean of
// tokens that a request takes of it.
func (e *endpoint) capacity(mean float64) float64 {
	places := float64(e.slotCount())
	engine := e.service.engine()
	if engine == nil || engine.KVTokens <= 0 || mean <= 0 {
		return places
	}
	return min(places, max(1, maxKVUtilization*float64(engine.KVTokens)/mean))
}

// predict estimates the time from sending to the first byte, in ms, and the cached tokens of the prompt.
func (d *Decider) predict(res *residency, r *request) (ms float64, cached int) {
	e, g := res.endpoint, res.group
	g.firstByteLine.decay(d.now)
	g.service.firstByteLine.decay(d.now)
	cached = min(res.prefixCache.cachedTokens(r.prefixChain(), r.PromptParts, d.now), r.PromptTokens)
	running, othersWaiting := d.othersLoad(e)
	ahead := e.backlog
	calls := float64(len(e.inFlight))
	if !r.pastTarget { // requests past their target are served after it
		ahead.tokens -= e.pastTargetBacklog.tokens
		calls -= float64(e.pastTargetBacklog.calls)
		othersWaiting *= 1 - g.service.pastTargetFraction
	}
	ms = g.firstByteMS((float64(r.prefillBeyond(cached)+ahead.tokens) + othersWaiting*g.meanPrefillTokens) / 1000)
	used := running + othersWaiting + calls
	capacity := e.capacity(g.meanKVTokens)
	if excess := used + 1 - capacity; excess > 0 {
		ms += excess / capacity * g.service.meanDuration()
	}
	ms *= e.slowness.factor(d.now)
	if d.now < e.slowStartUntil {
		ms *= 1.5
	}
	return ms, cached
}

// prefillBeyond returns how many tokens an endpoint must read for the request if so many are cached; none without an engine.
func (r *request) prefillBeyond(cached int) int {
	if r.group.service.engine() == nil {
		return 0
	}
	return r.PromptTokens - cached
}

// meanDuration returns the mean duration of a call in ms.
func (s *service) meanDuration() float64 {
	if s.durationMS == 0 {
		return priorDurationMS
	}
	return s.durationMS
}

// recordPrediction stores what was predicted for an attempt, to be compared with what is observed.
func (d *Decider) recordPrediction(e *endpoint, res *residency, r *request, ms float64, cached int) {
	g := res.group
	r.predictedMS = ms
	r.prefillTokens = r.prefillBeyond(cached)
	r.prefillAtSend = float64(r.prefillTokens+e.backlog.tokens-e.pastTargetBacklog.tokens) / 1000
	r.slownessAtSend = e.slowness.factor(d.now)
	used, waiting := d.load(e)
	r.uncontended = !r.pastTarget && used+waiting+1 <= e.capacity(g.meanKVTokens)
	d.addBacklog(e, r)
	g.meanPrefillTokens += (float64(r.prefillTokens) - g.meanPrefillTokens) * prefillSmoothing
	g.meanKVTokens += (float64(r.PromptTokens) + float64(r.OutputTokens)/2 - g.meanKVTokens) * prefillSmoothing
}

// learnFirstByte learns from the time to the first byte.
func (d *Decider) learnFirstByte(r *request, e *endpoint) {
	observed := milliseconds(d.now - r.sentAt)
	d.predictionErrors.add(r.predictedMS, observed)
	if !r.uncontended && observed >= r.predictedMS {
		return // it waited for a slot or behind others: only a fast answer is informative
	}
	ratio := observed / max(r.predictedMS, 0.1) * r.slownessAtSend
	if d.uses(SlownessLearning) {
		e.slowness.add(d.now, min(max(ratio, minSlownessRatio), maxSlownessRatio))
	}
	observed = min(observed, outlierFactor*max(r.predictedMS, 1)) / r.slownessAtSend
	r.group.firstByteLine.add(d.now, r.prefillAtSend, observed)
	r.group.service.firstByteLine.add(d.now, r.prefillAtSend, observed)
}

// learnDuration learns from the duration of a successful attempt.
func (d *Decider) learnDuration(r *request) {
	s := r.group.service
	took := milliseconds(d.now - r.sentAt)
	if s.durationMS == 0 {
		s.durationMS = took
	}
	s.durationMS += (took - s.durationMS) * durationSmoothing
	d.learnDurationBound(r)
}

// milliseconds converts a duration.
func milliseconds(t time.Duration) float64 { return float64(t) / float64(time.Millisecond) }
