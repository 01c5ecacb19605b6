package placer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// How an engine's time is estimated. Routers tell how many requests are out; an engine that reads prompts for the
// share u of its time holds x = r·u/(1-u) requests, where r is how many prompts it could read in the time in which one
// answer is put out undisturbed. Hence u = x/(x+r).
const (
	promptsPerSlot          = 0.375      // r by the slots of the engine
	initialSecondsPerToken  = 1.0 / 25e3 // seconds of an endpoint for one token of prompt and answer, before it is learned
	learningTimeConstant    = 4 * time.Second
	minLearningRate         = 1.0 // requests a second: below, the figures are too few
	maxLearningFactor       = 8.0 // a learned cost stays within this factor of the service's
	defaultTokensPerRequest = 1000
)

// The worth of being served, by the share of time in use of the endpoints that serve.
const (
	latenessLoss  = 0.6 // what a late answer loses
	latenessSlope = 5.0 // objective against the time of reading one prompt: how steeply waiting grows
	overloadValue = 0.4 // what is left of the worth when everything is late
)

// valueAt is the share of their worth that requests earn at endpoints in use for the share u of their time.
func valueAt(u float64) float64 {
	if u < 1 {
		return 1 - latenessLoss*u*math.Exp(-latenessSlope*(1-u))
	}
	return overloadValue / u
}

// replica is a model's use of one endpoint.
type replica struct {
	endpoint *endpoint
	share    float64 // of the endpoint's time
}

// modelPlacement is one model's demand in endpoint seconds a second, and where it goes.
type modelPlacement struct {
	model         string
	demand        *demand // nil: nobody ever asked
	projectedRate float64 // projected requests a second
	longTermRate  float64
	offeredLoad   float64   // endpoint seconds a second
	replicas      []replica // by endpoint ID
	fairLevel     float64   // share of time in use of the endpoints it uses

	unloadStalled bool    // an unload that makes room for it waits for runs
	adapterGain   float64 // what places for adapters on one copy more are worth a second
}

// placements holds all loads of a fleet for one step.
type placements struct {
	all     []*modelPlacement // by model
	byModel map[string]*modelPlacement

	servingReplicas  map[string]int                 // endpoints that offer a model now, for one choice
	evictable        map[*endpoint][]evictableModel // that may make way, for one choice
	storeLoadAllowed bool                           // one more load from the store may begin
}

// beginChoice counts what one choice looks at again and again.
func (b *placements) beginChoice(f *fleet, allowed bool) {
	b.storeLoadAllowed = allowed
	b.evictable = make(map[*endpoint][]evictableModel)
	b.servingReplicas = make(map[string]int, len(b.all))
	for _, e := range f.sortedEndpoints {
		for i := range e.models {
			if model := e.models[i].model; e.isServing(model) {
				b.servingReplicas[model]++
			}
		}
	}
}

// currentPlacements makes the book: who serves what, how much is asked, and how busy that makes the endpoints.
func (p *Placer) currentPlacements(now time.Time, f *fleet) *placements {
	b := &placements{byModel: make(map[string]*modelPlacement, len(f.models))}
	age := p.demand.observedFor(now)
	whole := p.demand.totalOf(f.name)
	for name, model := range f.models {
		ahead := time.Duration(model.LoadTimeSeconds * float64(time.Second))
		l := &modelPlacement{model: name, demand: p.demand.models[f.name][name], longTermRate: initialRate}
		if d := l.demand; d != nil {
			l.projectedRate = d.projectedRate(whole.fastRate, whole.slowRate, age, ahead)
			l.longTermRate = d.longTermRate(age)
			l.offeredLoad = l.projectedRate * f.requestTime(d, age)
		}
		b.all = append(b.all, l)
		b.byModel[name] = l
	}
	slices.SortFunc(b.all, func(x, y *modelPlacement) int { return cmp.Compare(x.model, y.model) })
	for _, e := range f.sortedEndpoints {
		e.utilization = 0
		if e.unloadStalled(now) && b.byModel[e.plan.target] != nil {
			b.byModel[e.plan.target].unloadStalled = true
		}
		f.forEachServedModel(now, e, func(model string) {
			if l := b.byModel[model]; l != nil {
				l.replicas = append(l.replicas, replica{endpoint: e})
			}
		})
	}
	for _, l := range b.all {
		if l.demand != nil {
			l.adapterGain = p.adapterSlotValue(now, f, l, age)
		}
	}
	b.distributeLoads()
	return b
}

// forEachServedModel calls with every model that requests may go to the endpoint for, now or soon.
func (f *fleet) forEachServedModel(now time.Time, e *endpoint, call func(string)) {
	if !e.isReady() {
		return
	}
	for i := range e.models {
		if e.willServe(e.models[i].model) {
			call(e.models[i].model)
		}
	}
	if target := e.incomingModel(); target != "" && e.find(target) == nil && !e.unloadStalled(now) {
		call(target)
	}
}

// incomingModel is the model that is on its way, or empty.
func (e *endpoint) incomingModel() string {
	if e.plan != nil {
		return e.plan.target
	}
	if e.pending != nil && !e.pending.order.Unload && e.pending.order.Adapter == "" {
		return e.pending.order.Model
	}
	return ""
}

// hasRunningRequests tells that the model's copies have requests out.
func (l *modelPlacement) hasRunningRequests() bool {
	return l.demand != nil && float64(l.demand.running) > 0.5*float64(len(l.replicas))
}

// requestTime is how long one request of the model keeps an endpoint busy.
func (f *fleet) requestTime(d *demand, age time.Duration) float64 {
	tokens := defaultTokensPerRequest * 1.0
	if rate := d.slowRate.rate(age, slowTimeConstant); rate > 0 {
		tokens = max(1, d.tokenRate.rate(age, slowTimeConstant)/rate)
	}
	cost := d.secondsPerToken
	if cost == 0 {
		cost = f.secondsPerToken
	}
	return cost * tokens
}

// sweeps is how often the loads are spread anew, each among the others.
const distributionPasses = 2

// distributeLoads spreads all loads so that each fills its least used endpoints.
func (b *placements) distributeLoads() {
	order := slices.Clone(b.all)
	slices.SortStableFunc(order, func(x, y *modelPlacement) int { return cmp.Compare(len(x.replicas), len(y.replicas)) })
	for range distributionPasses {
		for _, l := range order {
			l.distribute(l.offeredLoad)
		}
	}
}

// distribute takes the load off its endpoints and pours it on them again.
func (l *modelPlacement) distribute(amount float64) {
	for i := range l.replicas {
		l.replicas[i].endpoint.utilization -= l.replicas[i].share
		l.replicas[i].share = 0
	}
	if len(l.replicas) == 0 {
		l.fairLevel = math.Inf(1)
		return
	}
	bases := make([]float64, len(l.replicas))
	for i := range l.replicas {
		bases[i] = l.replicas[i].endpoint.utilization
	}
	l.fairLevel = fairLevel(bases, amount)
	for i := range l.replicas {
		share := max(0, l.fairLevel-l.replicas[i].endpoint.utilization)
		l.replicas[i].share = share
		l.replicas[i].endpoint.utilization += share
	}
}

// fairLevel is the level to which the amount fills vessels with these bases. It sorts the bases.
func fairLevel(bases []float64, amount float64) float64 {
	slices.Sort(bases)
	sum := 0.0
	for i, base := range bases {
		sum += base
		level := (amount + sum) / float64(i+1)
		if i+1 == len(bases) || level <= bases[i+1] {
			return level
		}
	}
	return math.Inf(1)
}

// fairLevelWith is waterline with one vessel more, for bases that are sorted already.
func fairLevelWith(bases []float64, more, amount float64) float64 {
	at, _ := slices.BinarySearch(bases, more)
	base := func(vessel int) float64 {
		switch {
		case vessel < at:
			return bases[vessel]
		case vessel == at:
			return more
		}
		return bases[vessel-1]
	}
	sum := 0.0
	for vessel := 0; ; vessel++ {
		sum += base(vessel)
		level := (amount + sum) / float64(vessel+1)
		if vessel == len(bases) || level <= base(vessel+1) {
			return level
		}
	}
}

// fairLevelWithout is the level with one endpoint less.
func (l *modelPlacement) fairLevelWithout(e *endpoint) float64 {
	bases := l.utilizationByOthers(e)
	if len(bases) == 0 {
		return math.Inf(1)
	}
	return fairLevel(bases, l.offeredLoad)
}

func (l *modelPlacement) utilizationByOthers(but *endpoint) []float64 {
	bases := make([]float64, 0, len(l.replicas)+1)
	for _, s := range l.replicas {
		if s.endpoint != but {
			bases = append(bases, s.endpoint.utilization-s.share)
		}
	}
	return bases
}

// learnSecondsPerToken compares the requests that are out with the rate, and so learns what a request costs.
func (p *Placer) learnSecondsPerToken(now time.Time, f *fleet, b *placements, elapsed time.Duration) {
	age := p.demand.observedFor(now)
	r := promptsPerSlot * float64(max(1, f.engine.Slots))
	out := f.runningPerEndpoint(b)
	by := 1 - math.Exp(-elapsed.Seconds()/learningTimeConstant.Seconds())
	busy, tokens := 0.0, 0.0
	for _, l := range b.all {
		d := l.demand
		if d == nil || d.running <= 0 || d.slowRate.rate(age, slowTimeConstant) < minLearningRate || d.waiting > d.running {
			continue
		}
		seen := 0.0
		for _, s := range l.replicas {
			part := float64(d.running) / float64(len(l.replicas))
			seen += part / (out[s.endpoint] + r)
		}
		rate := d.tokenRate.rate(age, slowTimeConstant)
		if rate <= 0 || seen <= 0 {
			continue
		}
		busy += seen
		tokens += rate
		cost := min(max(seen/rate, f.secondsPerToken/maxLearningFactor), f.secondsPerToken*maxLearningFactor)
		if d.secondsPerToken == 0 {
			d.secondsPerToken = f.secondsPerToken
		}
		d.secondsPerToken += (cost - d.secondsPerToken) * by
	}
	if tokens > 0 {
		cost := min(max(busy/tokens, initialSecondsPerToken/maxLearningFactor), initialSecondsPerToken*maxLearningFactor)
		f.secondsPerToken += (cost - f.secondsPerToken) * by
	}
}

// runningPerEndpoint spreads the requests that are out over the endpoints that serve them.
func (f *fleet) runningPerEndpoint(b *placements) map[*endpoint]float64 {
	out := make(map[*endpoint]float64, len(f.sortedEndpoints))
	for _, l := range b.all {
		if l.demand == nil || len(l.replicas) == 0 {
			continue
		}
		part := float64(l.demand.running) / float64(len(l.replicas))
		for _, s := range l.replicas {
			out[s.endpoint] += part
		}
	}
	return out
}
