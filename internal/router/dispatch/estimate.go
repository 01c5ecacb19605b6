package dispatch

import (
	"math"
	"time"
)

// Estimates of the time to the first byte, learned from this router's own timing: a straight line over the
// tokens to be read before it, for each model; how much slower one endpoint is than its peers; and the load
// that others put on it. Times are in ms, tokens in thousands.
const (
	regressionDecay            = 0.98 // weight of what was seen before, at each new answer
	regressionTimeConstant     = 10 * time.Second
	regressionDecayInterval    = 250 * time.Millisecond
	priorWeight                = 0.3  // of the assumed line, in answers
	priorFirstByteMS           = 15.0 // ms until an endpoint at rest answers
	priorMSPerThousandTokens   = 50.0 // ms to read a thousand tokens
	priorDurationMS            = 20.0 // ms of a whole call
	outlierFactor              = 4.0  // an answer that took longer than so many times the expected counts as that
	durationSmoothing          = 0.05 // weight of a new call in the mean duration
	prefillSmoothing           = 0.05
	pastTargetSmoothing        = 0.05
	slownessSmoothing          = 0.2  // weight of a new answer in an endpoint's slowness
	slownessNoise              = 0.25 // of the logarithm, that may be chance
	slownessTimeConstant       = 8 * time.Second
	minSlownessRatio           = 0.1
	maxSlownessRatio           = 50.0
	maxLogSlowness             = 3.0 // natural logarithm of the slowness, at most
	advertisedLoadTimeConstant = 1500 * time.Millisecond
	maxAssumedUtilization      = 0.4  // of the places of an endpoint that has told nothing, that others are taken to use
	maxKVUtilization           = 0.95 // of an endpoint's memory, that running requests may take
	errorBuckets               = 64
	errorBucketSize            = 0.125 // in powers of two
)

// regression is a straight line fitted to what was seen, with a fading memory. It fades with time as well: one that
// keeps everything away would else never be put right.
type regression struct {
	n, x, y, xx, xy float64
	decayedAt       time.Duration
}

// decay forgets with time.
func (l *regression) decay(now time.Duration) {
	if now-l.decayedAt < regressionDecayInterval {
		return
	}
	f := math.Exp(-float64(now-l.decayedAt) / float64(regressionTimeConstant))
	l.n, l.x, l.y, l.xx, l.xy, l.decayedAt = l.n*f, l.x*f, l.y*f, l.xx*f, l.xy*f, now
}

func (l *regression) add(now time.Duration, x, y float64) {
	l.decay(now)
	l.n = l.n*regressionDecay + 1
	l.x = l.x*regressionDecay + x
	l.y = l.y*regressionDecay + y
	l.xx = l.xx*regressionDecay + x*x
	l.xy = l.xy*regressionDecay + x*y
}

// fit returns the line's start and slope, given what is assumed of it.
func (l *regression) fit(start, slope float64) (a, b float64) {
	far := 2.0
	n := l.n + 2*priorWeight
	x := l.x + priorWeight*far
	y := l.y + priorWeight*(start+start+slope*far)
	xx := l.xx + priorWeight*far*far
	xy := l.xy + priorWeight*far*(start+slope*far)
	b = (n*xy - x*y) / (n*xx - x*x)
	b = min(max(b, slope/8), slope*16)
	a = max((y-b*x)/n, 0.2)
	return a, b
}

// slowness is how much slower an endpoint is than expected, as a logarithm that fades.
type slowness struct {
	logarithm float64
	updatedAt time.Duration
}

func (s *slowness) current(now time.Duration) float64 {
	if s.logarithm == 0 {
		return 0
	}
	return s.logarithm * math.Exp(-float64(now-s.updatedAt)/float64(slownessTimeConstant))
}

// factor is how many times slower the endpoint is than its peers; what may be chance is left out.
func (s *slowness) factor(now time.Duration) float64 {
	value := s.current(now)
	if value > 0 {
		return math.Exp(max(value-slownessNoise, 0))
	}
	return math.Exp(min(value+slownessNoise, 0))
}

func (s *slowness) add(now time.Duration, ratio float64) {
	value := s.current(now)
	value += (math.Log(ratio) - value) * slownessSmoothing
	s.logarithm = min(max(value, -1), maxLogSlowness)
	s.updatedAt = now
}

// msPerThousandTokens is the time to read a thousand tokens, in ms.
func (g *modelGroup) msPerThousandTokens() float64 {
	start, slope := g.service.firstByteLine.fit(priorFirstByteMS, priorMSPerThousandTokens)
	_, b := g.firstByteLine.fit(start, slope)
	return b
}

// firstByteMS returns the time to the first byte of an endpoint at rest with so many thousand tokens to read.
func (g *modelGroup) firstByteMS(thousands float64) float64 {
	start, slope := g.service.firstByteLine.fit(priorFirstByteMS, priorMSPerThousandTokens)
	a, b := g.firstByteLine.fit(start, slope)
	return a + b*thousands
}

// othersLoad estimates the calls of other routers at the endpoint, running and waiting: what it told, fading
// towards what is to be expected of others that do as this router does.
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
	fresh := math.Exp(-float64(d.now-e.advertised.receivedAt) / float64(advertisedLoadTimeConstant))
	running = fresh*float64(e.advertised.running) + (1-fresh)*expected
	waiting = fresh * float64(e.advertised.waiting)
	return running, waiting
}

// load is how many places of the endpoint are taken and how many requests wait there, as far as can be told.
func (d *Decider) load(e *endpoint) (taken, waiting float64) {
	running, others := d.othersLoad(e)
	if e.service.engine() == nil { // a call runs from its arrival
		return running + float64(len(e.inFlight)), others
	}
	return running + float64(len(e.inFlight)-len(e.awaitingFirstByte)), others + float64(len(e.awaitingFirstByte))
}

// capacity is how many requests the endpoint runs at once: its places, or fewer where its memory is the limit.
func (e *endpoint) capacity(mean float64) float64 {
	places := float64(e.slotCount())
	engine := e.service.engine()
	if engine == nil || engine.KVTokens <= 0 || mean <= 0 {
		return places
	}
	return min(places, max(1, maxKVUtilization*float64(engine.KVTokens)/mean))
}

// predict estimates the time from sending to the first byte, in ms, and how much of it is the request's own.
func (d *Decider) predict(h *residency, r *request) (ms float64, kept int) {
	e, g := h.endpoint, h.group
	g.firstByteLine.decay(d.now)
	g.service.firstByteLine.decay(d.now)
	kept = min(h.prefixCache.cachedTokens(r.prefixChain(), r.PromptParts, d.now), r.PromptTokens)
	running, othersWaiting := d.othersLoad(e)
	ahead := e.backlog
	calls := float64(len(e.inFlight))
	if !r.pastTarget { // the late ones stand behind
		ahead.tokens -= e.pastTargetBacklog.tokens
		calls -= float64(e.pastTargetBacklog.calls)
		othersWaiting *= 1 - g.service.pastTargetFraction
	}
	ms = g.firstByteMS((float64(r.prefillBeyond(kept)+ahead.tokens) + othersWaiting*g.meanPrefillTokens) / 1000)
	taken := running + othersWaiting + calls
	capacity := e.capacity(g.meanKVTokens)
	if over := taken + 1 - capacity; over > 0 {
		ms += over / capacity * g.service.meanDuration()
	}
	ms *= e.slowness.factor(d.now)
	if d.now < e.slowStartUntil {
		ms *= 1.5
	}
	return ms, kept
}

// prefillBeyond is how many tokens an endpoint must read for the request; none where there is no engine.
func (r *request) prefillBeyond(kept int) int {
	if r.group.service.engine() == nil {
		return 0
	}
	return r.PromptTokens - kept
}

func (s *service) meanDuration() float64 {
	if s.durationMS == 0 {
		return priorDurationMS
	}
	return s.durationMS
}

// backlog is what this router has unanswered at an endpoint.
type backlog struct{ calls, tokens int }

func (b *backlog) add(calls, tokens int) {
	b.calls += calls
	b.tokens += tokens
}

// addBacklog counts a call that is sent among the unanswered ones.
func (d *Decider) addBacklog(e *endpoint, r *request) {
	e.awaitingFirstByte = append(e.awaitingFirstByte, r)
	e.backlog.add(1, r.prefillTokens)
	behind := 0.0
	if r.pastTarget {
		e.pastTargetBacklog.add(1, r.prefillTokens)
		behind = 1
	}
	s := r.group.service
	if late := float64(e.pastTargetBacklog.calls) / float64(e.backlog.calls); late > behind {
		behind = late
	}
	s.pastTargetFraction += (behind - s.pastTargetFraction) * pastTargetSmoothing
}

// unqueue: it is answered, or over.
func (e *endpoint) removeBacklog(r *request) {
	e.awaitingFirstByte = remove(e.awaitingFirstByte, r)
	e.backlog.add(-1, -r.prefillTokens)
	if r.pastTarget {
		e.pastTargetBacklog.add(-1, -r.prefillTokens)
	}
}

// writeOff: nothing waits any more for what was unanswered when the endpoint was left.
func (e *endpoint) clearBacklogTokens() {
	for _, r := range e.awaitingFirstByte {
		r.prefillTokens = 0
	}
	e.backlog.tokens, e.pastTargetBacklog.tokens = 0, 0
}

// recordPrediction writes down what was predicted for a call, to be held against what is seen.
func (d *Decider) recordPrediction(e *endpoint, h *residency, r *request, ms float64, kept int) {
	g := h.group
	r.predictedMS = ms
	r.prefillTokens = r.prefillBeyond(kept)
	r.prefillAtSend = float64(r.prefillTokens+e.backlog.tokens-e.pastTargetBacklog.tokens) / 1000
	r.slownessAtSend = e.slowness.factor(d.now)
	taken, waiting := d.load(e)
	r.uncontended = !r.pastTarget && taken+waiting+1 <= e.capacity(g.meanKVTokens)
	d.addBacklog(e, r)
	g.meanPrefillTokens += (float64(r.prefillTokens) - g.meanPrefillTokens) * prefillSmoothing
	g.meanKVTokens += (float64(r.PromptTokens) + float64(r.OutputTokens)/2 - g.meanKVTokens) * prefillSmoothing
}

// learnFirstByte learns from a first byte.
func (d *Decider) learnFirstByte(r *request, e *endpoint) {
	seen := milliseconds(d.now - r.sentAt)
	d.predictionErrors.add(r.predictedMS, seen)
	if !r.uncontended && seen >= r.predictedMS {
		return // it waited for a place, or behind others: only what was quick tells something
	}
	e.slowness.add(d.now, min(max(seen/max(r.predictedMS, 0.1)*r.slownessAtSend, minSlownessRatio), maxSlownessRatio))
	seen = min(seen, outlierFactor*max(r.predictedMS, 1)) / r.slownessAtSend
	r.group.firstByteLine.add(d.now, r.prefillAtSend, seen)
	r.group.service.firstByteLine.add(d.now, r.prefillAtSend, seen)
}

// learnDuration learns from a call that succeeded.
func (d *Decider) learnDuration(r *request) {
	s := r.group.service
	took := milliseconds(d.now - r.sentAt)
	if s.durationMS == 0 {
		s.durationMS = took
	}
	s.durationMS += (took - s.durationMS) * durationSmoothing
	d.learnDurationBound(r)
}

func milliseconds(t time.Duration) float64 { return float64(t) / float64(time.Millisecond) }

// PredictionErrors tells how good the predictions of the time to the first byte were: the seen part of the predicted.
type PredictionErrors struct {
	Count            int
	MedianRatio      float64
	Percentile95     float64
	MeanAbsoluteMS   float64
	MeanPredictedMS  float64
	buckets          [errorBuckets]int
	sumAbs, sumTotal float64
}

func (x *PredictionErrors) add(predicted, seen float64) {
	x.Count++
	x.sumAbs += math.Abs(predicted - seen)
	x.sumTotal += predicted
	at := int(math.Log2(max(seen, 0.01)/max(predicted, 0.01))/errorBucketSize) + errorBuckets/2
	x.buckets[min(max(at, 0), errorBuckets-1)]++
}

// PredictionErrors returns how good the predictions were since the start.
func (d *Decider) PredictionErrors() PredictionErrors {
	x := d.predictionErrors
	if x.Count == 0 {
		return x
	}
	x.MeanAbsoluteMS = x.sumAbs / float64(x.Count)
	x.MeanPredictedMS = x.sumTotal / float64(x.Count)
	x.MedianRatio = x.quantile(0.5)
	x.Percentile95 = x.quantile(0.95)
	return x
}

func (x *PredictionErrors) quantile(part float64) float64 {
	want := part * float64(x.Count)
	sum := 0
	for i, n := range x.buckets {
		sum += n
		if float64(sum) >= want {
			return math.Exp2(float64(i-errorBuckets/2) * errorBucketSize)
		}
	}
	return math.Inf(1)
}
