package placer

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// What a copy is worth. All is in requests of usual worth; a rate counts over the horizon.
const (
	horizon        = 10.0 // seconds for which the present demand is believed to last
	missLoss       = 0.4  // what a request loses that finds no copy and waits for one
	redundancy     = 0.05 // share of a model's demand at stake while a single endpoint serves it
	adapterLoss    = 0.3  // what a request loses that finds no place with its adapter
	adapterMove    = 0.15 // bringing an adapter in use elsewhere, besides the order
	cacheLoss      = 0.2  // prompts kept by a copy in use
	runLoss        = 0.2  // an unload waits for runs: for each on the copy
	mostRuns       = 8.0  // that count
	hysteresis     = 0.4  // a change must bring so much more than it costs
	delayLoss      = 0.03 // each second until the copy serves
	fitBonus       = 0.05 // for filling the room whole
	zoneBonus      = 0.1  // for the first copy in a zone
	waitGrowth     = 0.5  // each second of waiting makes a request weigh so much more
	mostUnmet      = 5.0  // refused requests that count as coming back
	dormantWorth   = 3.0  // the last copy of a model that nobody asked for yet
	dormantTime    = 10 * time.Minute
	residence      = 4 * time.Second
	mostVictims    = 8 // copies on an endpoint that are tried in all combinations
	plansPerStep   = 8
	concurrentPart = 0.85 // of loads_per_s × window: loads under way at the same moment
)

// decide carries on with what is under way and begins what is worth it.
func (p *Placer) decide(now time.Time, f *fleet, out *Output) {
	b := p.currentPlacements(now, f)
	p.learnSecondsPerToken(now, f, b, now.Sub(f.decidedAt))
	f.decidedAt = now
	for _, e := range f.sortedEndpoints {
		if e.plan != nil {
			p.proceed(now, f, b, e, out)
		}
	}
	onlyUrgent := now.Sub(p.startedAt) < urgentOnlyWindow || p.demand.observedFor(now) < urgentOnlyWindow
	p.adapters(now, f, b, true, out) // first: these take a moment only, loads seconds
	for range plansPerStep {
		if !p.best(now, f, b, onlyUrgent, out) {
			break
		}
	}
	p.adapters(now, f, b, false, out)
	if !onlyUrgent || p.demand.observedSince.IsZero() {
		p.fillPlaces(now, f, b, out)
	}
}

// choice is a change that may be made: the target comes to the endpoint, the victims leave.
type choice struct {
	load    *modelPlacement
	at      *endpoint
	victims []string
	gain    float64
	loss    float64
	score   float64
}

// best makes the most valuable change; false if none is worth it.
func (p *Placer) best(now time.Time, f *fleet, b *placements, onlyUrgent bool, out *Output) bool {
	if f.loadsUnderWay() >= f.mostLoads(p.config.LoadRateWindow) {
		return false
	}
	var chosen *choice
	b.beginChoice(f, p.loadLimiter.allows(now))
	for _, l := range b.all {
		if !p.candidate(l, onlyUrgent) {
			continue
		}
		if found := p.bestFor(now, f, b, l); found != nil && (chosen == nil || found.score > chosen.score) {
			chosen = found
		}
	}
	if chosen == nil {
		return false
	}
	p.adopt(now, f, b, chosen, out)
	return true
}

// candidate tells whether one copy more of the model may be worth its load at all.
func (p *Placer) candidate(l *modelPlacement, onlyUrgent bool) bool {
	if l.demand == nil {
		return false
	}
	if len(l.replicas) == 0 {
		return l.demand.hasUnmetRequests() || !onlyUrgent
	}
	if onlyUrgent {
		return false
	}
	most := l.projectedRate*l.demand.value*(1-valueAt(l.fairLevel)) + p.redundant(l) + l.adapterGain
	return most*horizon+zoneBonus+fitBonus > p.config.LoadCost+p.config.OrderCost+hysteresis
}

func (f *fleet) loadsUnderWay() int {
	count := 0
	for _, e := range f.sortedEndpoints {
		if e.incomingModel() != "" {
			count++
		}
	}
	return count
}

func (f *fleet) mostLoads(window time.Duration) int {
	return max(2, int(f.engine.LoadsPerSecond*window.Seconds()*concurrentPart))
}

func (p *Placer) bestFor(now time.Time, f *fleet, b *placements, l *modelPlacement) *choice {
	var chosen *choice
	bases := l.utilizationByOthers(nil)
	slices.Sort(bases)
	for _, e := range f.sortedEndpoints {
		if !p.takes(now, e, l.model, b.storeLoadAllowed) {
			continue
		}
		c := &choice{load: l, at: e, gain: p.gain(now, l, e, bases)}
		most := c.gain + fitBonus - p.config.LoadCost - p.config.OrderCost - hysteresis
		if most <= 0 || chosen != nil && most <= chosen.score || !p.victims(now, f, b, c) {
			continue
		}
		if l.unloadStalled && b.waitsToo(c) {
			continue // one copy in use that leaves for it is enough
		}
		price := p.config.LoadCost + p.config.OrderCost*float64(1+len(c.victims))
		c.score = c.gain - c.loss - price - hysteresis
		c.score -= delayLoss * p.loadTime(f, e, l.model).Seconds() * (1 + p.pressing(l))
		c.score += p.fit(f, e, l, c.victims)
		if c.score > 0 && (chosen == nil || c.score > chosen.score) {
			chosen = c
		}
	}
	return chosen
}

// waitsToo tells that a victim of the choice has runs to wait for.
func (b *placements) waitsToo(c *choice) bool {
	return slices.ContainsFunc(c.victims, func(model string) bool { return b.byModel[model] != nil && b.byModel[model].hasRunningRequests() })
}

// takes tells whether a new plan may begin at the endpoint. Allowed: one more load from the store may begin.
func (p *Placer) takes(now time.Time, e *endpoint, model string, allowed bool) bool {
	if !e.isReady() || e.plan != nil || now.Before(e.backoffUntil) || e.find(model) != nil {
		return false
	}
	if e.pending != nil && e.pending.order.Adapter == "" {
		return false // an adapter takes a moment only
	}
	if p.config.InspectEndpoints && !e.stateKnown {
		return false
	}
	return allowed || e.onDisk[model]
}

// pressing is how much somebody waits for the model's first copy.
func (p *Placer) pressing(l *modelPlacement) float64 {
	if len(l.replicas) > 0 {
		return 0
	}
	return math.Min(mostUnmet, l.demand.unmet+float64(l.demand.waiting))
}

// gain is what one more copy at the endpoint brings. Bases are those of the load, sorted.
func (p *Placer) gain(now time.Time, l *modelPlacement, e *endpoint, bases []float64) float64 {
	d := l.demand
	after := valueAt(fairLevelWith(bases, e.utilization, l.offeredLoad))
	if len(l.replicas) == 0 {
		waited := 1.0
		if !d.waitingSince.IsZero() {
			waited += waitGrowth * now.Sub(d.waitingSince).Seconds()
		}
		now := p.pressing(l) * d.value * waited
		return now + horizon*math.Max(l.projectedRate, l.longTermRate)*(missLoss*d.value+p.config.LoadCost)*after
	}
	rate := l.projectedRate * d.value * (after - valueAt(l.fairLevel))
	sum := horizon * (rate + p.redundant(l) + l.adapterGain)
	if !l.inZone(e.Zone) {
		sum += zoneBonus
	}
	return sum
}

// redundant is what a second copy is worth a second.
func (p *Placer) redundant(l *modelPlacement) float64 {
	if len(l.replicas) != 1 {
		return 0
	}
	return redundancy * l.projectedRate * l.demand.value
}

func (l *modelPlacement) inZone(zone string) bool {
	return slices.ContainsFunc(l.replicas, func(s replica) bool { return s.endpoint.Zone == zone })
}

// fit prefers the endpoint whose room is filled best.
func (p *Placer) fit(f *fleet, e *endpoint, l *modelPlacement, victims []string) float64 {
	left := f.room(e) - f.models[l.model].WeightsMB
	for _, victim := range victims {
		left += f.weight(e.find(victim))
	}
	return fitBonus * (1 - left/f.engine.WeightMemoryMB)
}

// adopt makes the choice the endpoint's plan and takes it into the book.
func (p *Placer) adopt(now time.Time, f *fleet, b *placements, c *choice, out *Output) {
	c.at.plan = &plan{
		target: c.load.model, victims: slices.Clone(c.victims), decidedAt: now, lastProgressAt: now, score: c.score,
		reason: p.reason(c),
	}
	for _, e := range f.sortedEndpoints {
		if e != c.at && e.unloadStalled(now) && e.plan.target == c.load.model {
			e.plan = nil // its unload goes on, and the room is for what is best then
		}
	}
	for _, victim := range c.victims {
		if l := b.byModel[victim]; l != nil {
			l.leave(c.at)
		}
	}
	c.load.replicas = append(c.load.replicas, replica{endpoint: c.at})
	b.distributeLoads()
	p.proceed(now, f, b, c.at, out)
}

func (l *modelPlacement) leave(e *endpoint) {
	l.replicas = slices.DeleteFunc(l.replicas, func(s replica) bool {
		if s.endpoint == e {
			e.utilization -= s.share
		}
		return s.endpoint == e
	})
}

func (p *Placer) reason(c *choice) string {
	l := c.load
	d := l.demand
	if len(l.replicas) == 0 {
		return fmt.Sprintf("first copy: %d waiting, %.1f refused, %.2f asked/s; gain %.2f, loss %.2f",
			d.waiting, d.unmet, math.Max(l.projectedRate, l.longTermRate), c.gain, c.loss)
	}
	return fmt.Sprintf("copy %d: %.1f asked/s expected, endpoints %.0f%% in use; gain %.2f, loss %.2f",
		len(l.replicas)+1, l.projectedRate, 100*l.fairLevel, c.gain, c.loss)
}

// proceed sends the next order of an endpoint's plan.
func (p *Placer) proceed(now time.Time, f *fleet, b *placements, e *endpoint, out *Output) {
	if e.pending != nil || now.Before(e.backoffUntil) || (p.config.InspectEndpoints && !e.stateKnown) {
		return
	}
	current := e.plan
	current.victims = slices.DeleteFunc(current.victims, func(v string) bool { return e.find(v) == nil })
	if e.find(current.target) != nil {
		e.plan = nil
		return
	}
	if f.room(e) >= f.models[current.target].WeightsMB {
		if !e.onDisk[current.target] && !p.loadLimiter.allows(now) {
			return
		}
		e.plan = nil
		p.issue(now, f, e, Order{Model: current.target, Reason: current.reason}, out)
		return
	}
	if len(current.victims) == 0 {
		e.plan = nil
		return
	}
	victim := current.victims[0]
	if d := p.demand.models[f.name][victim]; d != nil && d.isRecent(now) && f.present(victim, e) == 0 {
		e.plan = nil
		return
	}
	current.lastProgressAt = now
	reason := "room for " + current.target + ": " + current.reason
	p.issue(now, f, e, Order{Model: victim, Unload: true, Reason: reason}, out)
}
