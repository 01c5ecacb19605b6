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
	balance        = 0.375      // r by the slots of the engine
	priorTokenTime = 1.0 / 25e3 // seconds of an endpoint for one token of prompt and answer, before it is learned
	learnTime      = 4 * time.Second
	learnFrom      = 1.0 // requests a second: below, the figures are too few
	learnRange     = 8.0 // a learned cost stays within this factor of the service's
	usualTokens    = 1000
)

// The worth of being served, by the share of time in use of the endpoints that serve.
const (
	lateLoss  = 0.6 // what a late answer loses
	lateSlope = 5.0 // objective against the time of reading one prompt: how steeply waiting grows
	fullWorth = 0.4 // what is left of the worth when everything is late
)

// worthAt is the share of their worth that requests earn at endpoints in use for the share u of their time.
func worthAt(u float64) float64 {
	if u < 1 {
		return 1 - lateLoss*u*math.Exp(-lateSlope*(1-u))
	}
	return fullWorth / u
}

// site is a model's use of one endpoint.
type site struct {
	at    *endpoint
	share float64 // of the endpoint's time
}

// load is one model's demand in endpoint seconds a second, and where it goes.
type load struct {
	model  string
	demand *demand // nil: nobody ever asked
	rate   float64 // projected requests a second
	steady float64
	time   float64 // endpoint seconds a second
	sites  []site  // by endpoint ID
	level  float64 // share of time in use of the endpoints it uses

	dragging    bool    // an unload that makes room for it waits for runs
	adapterGain float64 // what places for adapters on one copy more are worth a second
}

// book holds all loads of a fleet for one step.
type book struct {
	loads []*load // by model
	by    map[string]*load

	present map[string]int         // endpoints that offer a model now, for one choice
	victims map[*endpoint][]victim // that may make way, for one choice
	allowed bool                   // one more load from the store may begin
}

// prepare counts what one choice looks at again and again.
func (b *book) prepare(f *fleet, allowed bool) {
	b.allowed = allowed
	b.victims = make(map[*endpoint][]victim)
	b.present = make(map[string]int, len(b.loads))
	for _, e := range f.sortedEndpoints {
		for i := range e.models {
			if model := e.models[i].model; e.isServing(model) {
				b.present[model]++
			}
		}
	}
}

// survey makes the book: who serves what, how much is asked, and how busy that makes the endpoints.
func (p *Placer) survey(now time.Time, f *fleet) *book {
	b := &book{by: make(map[string]*load, len(f.models))}
	age := p.demand.observedFor(now)
	whole := p.demand.totalOf(f.name)
	for name, model := range f.models {
		ahead := time.Duration(model.LoadTimeSeconds * float64(time.Second))
		l := &load{model: name, demand: p.demand.models[f.name][name], steady: initialRate}
		if d := l.demand; d != nil {
			l.rate = d.projectedRate(whole.fastRate, whole.slowRate, age, ahead)
			l.steady = d.longTermRate(age)
			l.time = l.rate * f.requestTime(d, age)
		}
		b.loads = append(b.loads, l)
		b.by[name] = l
	}
	slices.SortFunc(b.loads, func(x, y *load) int { return cmp.Compare(x.model, y.model) })
	for _, e := range f.sortedEndpoints {
		e.utilization = 0
		if e.unloadStalled(now) && b.by[e.plan.target] != nil {
			b.by[e.plan.target].dragging = true
		}
		f.eachServed(now, e, func(model string) {
			if l := b.by[model]; l != nil {
				l.sites = append(l.sites, site{at: e})
			}
		})
	}
	for _, l := range b.loads {
		if l.demand != nil {
			l.adapterGain = p.adapterWorth(now, f, l, age)
		}
	}
	b.level()
	return b
}

// eachServed calls with every model that requests may go to the endpoint for, now or soon.
func (f *fleet) eachServed(now time.Time, e *endpoint, call func(string)) {
	if !e.isReady() {
		return
	}
	for i := range e.models {
		if e.willServe(e.models[i].model) {
			call(e.models[i].model)
		}
	}
	if target := e.target(); target != "" && e.find(target) == nil && !e.unloadStalled(now) {
		call(target)
	}
}

// target is the model that is on its way, or empty.
func (e *endpoint) target() string {
	if e.plan != nil {
		return e.plan.target
	}
	if e.pending != nil && !e.pending.order.Unload && e.pending.order.Adapter == "" {
		return e.pending.order.Model
	}
	return ""
}

// runs tells that the model's copies have requests out.
func (l *load) runs() bool {
	return l.demand != nil && float64(l.demand.running) > 0.5*float64(len(l.sites))
}

// requestTime is how long one request of the model keeps an endpoint busy.
func (f *fleet) requestTime(d *demand, age time.Duration) float64 {
	tokens := usualTokens * 1.0
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
const sweeps = 2

// level spreads all loads so that each fills its least used endpoints.
func (b *book) level() {
	order := slices.Clone(b.loads)
	slices.SortStableFunc(order, func(x, y *load) int { return cmp.Compare(len(x.sites), len(y.sites)) })
	for range sweeps {
		for _, l := range order {
			l.respread(l.time)
		}
	}
}

// respread takes the load off its endpoints and pours it on them again.
func (l *load) respread(amount float64) {
	for i := range l.sites {
		l.sites[i].at.utilization -= l.sites[i].share
		l.sites[i].share = 0
	}
	if len(l.sites) == 0 {
		l.level = math.Inf(1)
		return
	}
	bases := make([]float64, len(l.sites))
	for i := range l.sites {
		bases[i] = l.sites[i].at.utilization
	}
	l.level = waterline(bases, amount)
	for i := range l.sites {
		share := max(0, l.level-l.sites[i].at.utilization)
		l.sites[i].share = share
		l.sites[i].at.utilization += share
	}
}

// waterline is the level to which the amount fills vessels with these bases. It sorts the bases.
func waterline(bases []float64, amount float64) float64 {
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

// waterlineWith is waterline with one vessel more, for bases that are sorted already.
func waterlineWith(bases []float64, more, amount float64) float64 {
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

// levelWithout is the level with one endpoint less.
func (l *load) levelWithout(e *endpoint) float64 {
	bases := l.bases(e)
	if len(bases) == 0 {
		return math.Inf(1)
	}
	return waterline(bases, l.time)
}

func (l *load) bases(but *endpoint) []float64 {
	bases := make([]float64, 0, len(l.sites)+1)
	for _, s := range l.sites {
		if s.at != but {
			bases = append(bases, s.at.utilization-s.share)
		}
	}
	return bases
}

// learn compares the requests that are out with the rate, and so learns what a request costs.
func (p *Placer) learn(now time.Time, f *fleet, b *book, elapsed time.Duration) {
	age := p.demand.observedFor(now)
	r := balance * float64(max(1, f.engine.Slots))
	out := f.outPerEndpoint(b)
	by := 1 - math.Exp(-elapsed.Seconds()/learnTime.Seconds())
	busy, tokens := 0.0, 0.0
	for _, l := range b.loads {
		d := l.demand
		if d == nil || d.running <= 0 || d.slowRate.rate(age, slowTimeConstant) < learnFrom || d.waiting > d.running {
			continue
		}
		seen := 0.0
		for _, s := range l.sites {
			part := float64(d.running) / float64(len(l.sites))
			seen += part / (out[s.at] + r)
		}
		rate := d.tokenRate.rate(age, slowTimeConstant)
		if rate <= 0 || seen <= 0 {
			continue
		}
		busy += seen
		tokens += rate
		cost := min(max(seen/rate, f.secondsPerToken/learnRange), f.secondsPerToken*learnRange)
		if d.secondsPerToken == 0 {
			d.secondsPerToken = f.secondsPerToken
		}
		d.secondsPerToken += (cost - d.secondsPerToken) * by
	}
	if tokens > 0 {
		cost := min(max(busy/tokens, priorTokenTime/learnRange), priorTokenTime*learnRange)
		f.secondsPerToken += (cost - f.secondsPerToken) * by
	}
}

// outPerEndpoint spreads the requests that are out over the endpoints that serve them.
func (f *fleet) outPerEndpoint(b *book) map[*endpoint]float64 {
	out := make(map[*endpoint]float64, len(f.sortedEndpoints))
	for _, l := range b.loads {
		if l.demand == nil || len(l.sites) == 0 {
			continue
		}
		part := float64(l.demand.running) / float64(len(l.sites))
		for _, s := range l.sites {
			out[s.at] += part
		}
	}
	return out
}
