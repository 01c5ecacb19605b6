package dispatch

import (
	"math"
	"time"
)

// Estimates of the time to the first byte, learned from this router's own timing: a straight line over the
// tokens to be read before it, for each model; how much slower one endpoint is than its peers; and the load
// that others put on it. Times are in ms, tokens in thousands.
const (
	lineMemory      = 0.98 // weight of what was seen before, at each new answer
	lineFades       = 10 * time.Second
	lineFadeStep    = 250 * time.Millisecond
	priorWeight     = 0.3  // of the assumed line, in answers
	priorFirst      = 15.0 // ms until an endpoint at rest answers
	priorPerToken   = 50.0 // ms to read a thousand tokens
	priorDuration   = 20.0 // ms of a whole call
	outlier         = 4.0  // an answer that took longer than so many times the expected counts as that
	durationMemory  = 0.05 // weight of a new call in the mean duration
	promptMemory    = 0.05
	behindMemory    = 0.05
	slowMemory      = 0.2  // weight of a new answer in an endpoint's slowness
	slowChance      = 0.25 // of the logarithm, that may be chance
	slowFades       = 8 * time.Second
	leastRatio      = 0.1
	mostRatio       = 50.0
	mostSlow        = 3.0 // natural logarithm of the slowness, at most
	toldFades       = 1500 * time.Millisecond
	mostGuessed     = 0.4  // of the places of an endpoint that has told nothing, that others are taken to use
	roomForMemory   = 0.95 // of an endpoint's memory, that running requests may take
	errorBuckets    = 64
	errorBucketSize = 0.125 // in powers of two
)

// line is a straight line fitted to what was seen, with a fading memory. It fades with time as well: one that
// keeps everything away would else never be put right.
type line struct {
	n, x, y, xx, xy float64
	at              time.Duration
}

// fade forgets with time.
func (l *line) fade(now time.Duration) {
	if now-l.at < lineFadeStep {
		return
	}
	f := math.Exp(-float64(now-l.at) / float64(lineFades))
	l.n, l.x, l.y, l.xx, l.xy, l.at = l.n*f, l.x*f, l.y*f, l.xx*f, l.xy*f, now
}

func (l *line) add(now time.Duration, x, y float64) {
	l.fade(now)
	l.n = l.n*lineMemory + 1
	l.x = l.x*lineMemory + x
	l.y = l.y*lineMemory + y
	l.xx = l.xx*lineMemory + x*x
	l.xy = l.xy*lineMemory + x*y
}

// fit returns the line's start and slope, given what is assumed of it.
func (l *line) fit(start, slope float64) (a, b float64) {
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
	value float64
	at    time.Duration
}

func (s *slowness) now(now time.Duration) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp(-float64(now-s.at)/float64(slowFades))
}

// factor is how many times slower the endpoint is than its peers; what may be chance is left out.
func (s *slowness) factor(now time.Duration) float64 {
	value := s.now(now)
	if value > 0 {
		return math.Exp(max(value-slowChance, 0))
	}
	return math.Exp(min(value+slowChance, 0))
}

func (s *slowness) add(now time.Duration, ratio float64) {
	value := s.now(now)
	value += (math.Log(ratio) - value) * slowMemory
	s.value = min(max(value, -1), mostSlow)
	s.at = now
}

// perThousand is the time to read a thousand tokens, in ms.
func (g *group) perThousand() float64 {
	start, slope := g.service.line.fit(priorFirst, priorPerToken)
	_, b := g.line.fit(start, slope)
	return b
}

// first returns the time to the first byte of an endpoint at rest with so many thousand tokens to read.
func (g *group) first(thousands float64) float64 {
	start, slope := g.service.line.fit(priorFirst, priorPerToken)
	a, b := g.line.fit(start, slope)
	return a + b*thousands
}

// othersLoad estimates the calls of other routers at the endpoint, running and waiting: what it told, fading
// towards what is to be expected of others that do as this router does.
func (d *Decider) othersLoad(e *endpoint) (running, waiting float64) {
	others := float64(d.routers - 1)
	expected := 0.0
	if s := e.service; s.endpoints > 0 {
		expected = float64(s.out) / float64(s.endpoints) * others
		expected = min(expected, mostGuessed*float64(e.places()))
	}
	if !e.told.ever {
		return expected, 0
	}
	fresh := math.Exp(-float64(d.now-e.told.at) / float64(toldFades))
	running = fresh*float64(e.told.running) + (1-fresh)*expected
	waiting = fresh * float64(e.told.waiting)
	return running, waiting
}

// load is how many places of the endpoint are taken and how many requests wait there, as far as can be told.
func (d *Decider) load(e *endpoint) (taken, waiting float64) {
	running, others := d.othersLoad(e)
	if e.service.engine() == nil { // a call runs from its arrival
		return running + float64(len(e.calls)), others
	}
	return running + float64(len(e.calls)-len(e.unanswered)), others + float64(len(e.unanswered))
}

// capacity is how many requests the endpoint runs at once: its places, or fewer where its memory is the limit.
func (e *endpoint) capacity(mean float64) float64 {
	places := float64(e.places())
	engine := e.service.engine()
	if engine == nil || engine.KVTokens <= 0 || mean <= 0 {
		return places
	}
	return min(places, max(1, roomForMemory*float64(engine.KVTokens)/mean))
}

// predict estimates the time from sending to the first byte, in ms, and how much of it is the request's own.
func (d *Decider) predict(h *holding, r *request) (ms float64, kept int) {
	e, g := h.at, h.group
	g.line.fade(d.now)
	g.service.line.fade(d.now)
	kept = min(h.kept.length(r.chain(), r.PromptParts, d.now), r.PromptTokens)
	running, othersWaiting := d.othersLoad(e)
	ahead := e.backlog
	calls := float64(len(e.calls))
	if !r.late { // the late ones stand behind
		ahead.tokens -= e.behind.tokens
		calls -= float64(e.behind.calls)
		othersWaiting *= 1 - g.service.behind
	}
	ms = g.first((float64(r.reads(kept)+ahead.tokens) + othersWaiting*g.prompt) / 1000)
	taken := running + othersWaiting + calls
	capacity := e.capacity(g.kvTokens)
	if over := taken + 1 - capacity; over > 0 {
		ms += over / capacity * g.service.meanDuration()
	}
	ms *= e.slow.factor(d.now)
	if d.now < e.coldUntil {
		ms *= 1.5
	}
	return ms, kept
}

// reads is how many tokens an endpoint must read for the request; none where there is no engine.
func (r *request) reads(kept int) int {
	if r.group.service.engine() == nil {
		return 0
	}
	return r.PromptTokens - kept
}

func (s *service) meanDuration() float64 {
	if s.duration == 0 {
		return priorDuration
	}
	return s.duration
}

// backlog is what this router has unanswered at an endpoint.
type backlog struct{ calls, tokens int }

func (b *backlog) add(calls, tokens int) {
	b.calls += calls
	b.tokens += tokens
}

// queue counts a call that is sent among the unanswered ones.
func (d *Decider) queue(e *endpoint, r *request) {
	e.unanswered = append(e.unanswered, r)
	e.backlog.add(1, r.toRead)
	behind := 0.0
	if r.late {
		e.behind.add(1, r.toRead)
		behind = 1
	}
	s := r.group.service
	if late := float64(e.behind.calls) / float64(e.backlog.calls); late > behind {
		behind = late
	}
	s.behind += (behind - s.behind) * behindMemory
}

// unqueue: it is answered, or over.
func (e *endpoint) unqueue(r *request) {
	e.unanswered = without(e.unanswered, r)
	e.backlog.add(-1, -r.toRead)
	if r.late {
		e.behind.add(-1, -r.toRead)
	}
}

// writeOff: nothing waits any more for what was unanswered when the endpoint was left.
func (e *endpoint) writeOff() {
	for _, r := range e.unanswered {
		r.toRead = 0
	}
	e.backlog.tokens, e.behind.tokens = 0, 0
}

// note writes down what was predicted for a call, to be held against what is seen.
func (d *Decider) note(e *endpoint, h *holding, r *request, ms float64, kept int) {
	g := h.group
	r.expected = ms
	r.toRead = r.reads(kept)
	r.readAtSend = float64(r.toRead+e.backlog.tokens-e.behind.tokens) / 1000
	r.slowAtSend = e.slow.factor(d.now)
	taken, waiting := d.load(e)
	r.plain = !r.late && taken+waiting+1 <= e.capacity(g.kvTokens)
	d.queue(e, r)
	g.prompt += (float64(r.toRead) - g.prompt) * promptMemory
	g.kvTokens += (float64(r.PromptTokens) + float64(r.OutputTokens)/2 - g.kvTokens) * promptMemory
}

// answered learns from a first byte.
func (d *Decider) answered(r *request, e *endpoint) {
	seen := milliseconds(d.now - r.sentAt)
	d.errors.add(r.expected, seen)
	if !r.plain && seen >= r.expected {
		return // it waited for a place, or behind others: only what was quick tells something
	}
	e.slow.add(d.now, min(max(seen/max(r.expected, 0.1)*r.slowAtSend, leastRatio), mostRatio))
	seen = min(seen, outlier*max(r.expected, 1)) / r.slowAtSend
	r.group.line.add(d.now, r.readAtSend, seen)
	r.group.service.line.add(d.now, r.readAtSend, seen)
}

// ended learns from a call that succeeded.
func (d *Decider) ended(r *request) {
	s := r.group.service
	took := milliseconds(d.now - r.sentAt)
	if s.duration == 0 {
		s.duration = took
	}
	s.duration += (took - s.duration) * durationMemory
	d.lasted(r)
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
	x := d.errors
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
