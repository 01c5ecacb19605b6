package dispatch

import (
	"time"

	"raventrestle/internal/portablemath"
)

// Estimates of the time to the first byte, learned from this router's own calls: a linear regression per model over
// the tokens that are prefilled before it, how much slower an endpoint is than its peers, and the load that other
// routers cause. Times are in milliseconds, tokens in thousands.

const (
	priorDurationMS            = 20.0             // duration of a complete call, until one has ended
	outlierFactor              = 4.0              // longer times are clipped to this multiple of the prediction
	durationSmoothing          = 0.05             // weight of a new sample in the mean duration of calls
	prefillSmoothing           = 0.05             // weight of a new sample in the mean tokens of requests
	advertisedLoadTimeConstant = 12 * time.Second // time constant with which an advertised load loses its weight
	maxAssumedUtilization      = 0.4              // maximum fraction of an endpoint's slots that other routers are assumed to use while it advertises nothing
	maxKVUtilization           = 0.95             // maximum fraction of an endpoint's KV cache that running requests take
)

// msPerThousandTokens returns the time to prefill a thousand tokens, in ms.
func (g *modelGroup) msPerThousandTokens() float64 {
	intercept, slope := g.service.firstByteRegression.fit(priorFirstByteMS, priorMSPerThousandTokens)
	_, b := g.firstByteRegression.fit(intercept, slope)
	return b
}

// firstByteMS returns the time to the first byte at an idle endpoint that prefills the given thousands of tokens, in
// ms.
func (g *modelGroup) firstByteMS(thousandTokens float64) float64 {
	intercept, slope := g.service.firstByteRegression.fit(priorFirstByteMS, priorMSPerThousandTokens)
	a, b := g.firstByteRegression.fit(intercept, slope)
	return a + b*thousandTokens
}

// otherRoutersLoad estimates how many calls of other routers run and wait at the endpoint. The estimate is the load
// that the endpoint advertised. With its age it approaches the load that is expected if other routers behave like
// this one.
func (d *Decider) otherRoutersLoad(e *endpoint) (running, waiting float64) {
	others := float64(d.routerCount - 1)
	expected := 0.0
	if s := e.service; s.endpoints > 0 {
		expected = float64(s.inFlight) / float64(s.endpoints) * others
		expected = min(expected, maxAssumedUtilization*float64(e.slotCount()))
	}
	if !e.advertised.known {
		return expected, 0
	}
	weight := portablemath.Exp(-float64(d.now-e.advertised.receivedAt) / float64(advertisedLoadTimeConstant))
	running = weight*float64(e.advertised.running) + (1-weight)*expected
	waiting = weight * float64(e.advertised.waiting)
	return running, waiting
}

// load estimates how many slots of the endpoint are in use and how many requests wait there.
func (d *Decider) load(e *endpoint) (used, waiting float64) {
	running, others := d.otherRoutersLoad(e)
	if e.service.engine() == nil { // without an engine a call executes as soon as it arrives
		return running + float64(len(e.inFlight)), others
	}
	return running + float64(len(e.inFlight)-len(e.awaitingFirstByte)), others + float64(len(e.awaitingFirstByte))
}

// capacity returns how many requests the endpoint can execute concurrently: its slots, or fewer if its KV cache is
// the limit. meanKVTokens is how many tokens of the cache a request takes on average.
func (e *endpoint) capacity(meanKVTokens float64) float64 {
	slots := float64(e.slotCount())
	engine := e.service.engine()
	if engine == nil || engine.KVTokens <= 0 || meanKVTokens <= 0 {
		return slots
	}
	return min(slots, max(1, maxKVUtilization*float64(engine.KVTokens)/meanKVTokens))
}

// predict estimates the time from sending to the first byte, in ms, and how many tokens of the prompt are cached.
func (d *Decider) predict(res *residency, r *request) (ms float64, cached int) {
	e, g := res.endpoint, res.group
	g.firstByteRegression.decay(d.now)
	g.service.firstByteRegression.decay(d.now)
	cached = min(res.prefixCache.cachedTokens(r.prefixChain(), r.PromptParts, d.now), r.PromptTokens)
	running, othersWaiting := d.otherRoutersLoad(e)
	precedingBacklog := e.backlog
	calls := float64(len(e.inFlight))
	if !r.pastTarget { // requests past their target are served after this one
		precedingBacklog.tokens -= e.pastTargetBacklog.tokens
		calls -= float64(e.pastTargetBacklog.calls)
		othersWaiting *= 1 - g.service.pastTargetFraction
	}
	ms = g.firstByteMS((float64(r.uncachedTokens(cached)+precedingBacklog.tokens) + othersWaiting*g.meanPrefillTokens) / 1000)
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

// uncachedTokens returns how many prompt tokens an endpoint has to prefill for the request if it has cached the given
// number of tokens; 0 without an engine.
func (r *request) uncachedTokens(cached int) int {
	if r.group.service.engine() == nil {
		return 0
	}
	return r.PromptTokens - cached
}

// meanDuration returns the mean duration of a call, in ms.
func (s *service) meanDuration() float64 {
	if s.durationMS == 0 {
		return priorDurationMS
	}
	return s.durationMS
}

// recordPrediction stores the prediction for an attempt, which learnFirstByte compares with the observed time, and
// adds the attempt to the endpoint's backlog and to the means of its model.
func (d *Decider) recordPrediction(e *endpoint, res *residency, r *request, ms float64, cached int) {
	g := res.group
	r.predictedMS = ms
	r.prefillTokens = r.uncachedTokens(cached)
	r.prefillAtSend = float64(r.prefillTokens+e.backlog.tokens-e.pastTargetBacklog.tokens) / 1000
	r.slownessAtSend = e.slowness.factor(d.now)
	used, waiting := d.load(e)
	r.uncontended = !r.pastTarget && used+waiting+1 <= e.capacity(g.meanKVTokens)
	d.addBacklog(e, r)
	g.meanPrefillTokens += (float64(r.prefillTokens) - g.meanPrefillTokens) * prefillSmoothing
	g.meanKVTokens += (float64(r.PromptTokens) + float64(r.OutputTokens)/2 - g.meanKVTokens) * prefillSmoothing
}

// learnFirstByte updates the estimates with the observed time to the first byte.
func (d *Decider) learnFirstByte(r *request, e *endpoint) {
	observed := milliseconds(d.now - r.sentAt)
	d.predictionErrors.add(r.predictedMS, observed)
	if !r.uncontended && observed >= r.predictedMS {
		return // it waited for a slot or for other requests: only an answer faster than predicted is informative
	}
	ratio := observed / max(r.predictedMS, 0.1) * r.slownessAtSend
	if d.uses(SlownessLearning) {
		e.slowness.add(d.now, min(max(ratio, minSlownessRatio), maxSlownessRatio))
	}
	observed = min(observed, outlierFactor*max(r.predictedMS, 1)) / r.slownessAtSend
	r.group.firstByteRegression.add(d.now, r.prefillAtSend, observed)
	r.group.service.firstByteRegression.add(d.now, r.prefillAtSend, observed)
}

// learnDuration updates the estimates with the duration of a successful attempt.
func (d *Decider) learnDuration(r *request) {
	s := r.group.service
	elapsed := milliseconds(d.now - r.sentAt)
	if s.durationMS == 0 {
		s.durationMS = elapsed
	}
	s.durationMS += (elapsed - s.durationMS) * durationSmoothing
	d.learnDurationBound(r)
}

// milliseconds converts a duration to milliseconds.
func milliseconds(t time.Duration) float64 { return float64(t) / float64(time.Millisecond) }
