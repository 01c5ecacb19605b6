package placer

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// What a copy is worth. All is in requests of usual worth; a rate counts over the horizon.
const (
	planningHorizon     = 10.0 // seconds for which the present demand is believed to last
	missLoss            = 0.4  // what a request loses that finds no copy and waits for one
	redundancyShare     = 0.05 // share of a model's demand at stake while a single endpoint serves it
	adapterMissLoss     = 0.3  // what a request loses that finds no place with its adapter
	adapterMoveLoss     = 0.15 // bringing an adapter in use elsewhere, besides the order
	prefixCacheLoss     = 0.2  // prompts kept by a copy in use
	runningRequestLoss  = 0.2  // an unload waits for runs: for each on the copy
	maxRunningRequests  = 8.0  // that count
	minNetGain          = 0.4  // a change must bring so much more than it costs
	delayLossPerS       = 0.03 // each second until the copy serves
	packingBonus        = 0.05 // for filling the room whole
	zoneBonus           = 0.1  // for the first copy in a zone
	waitingGrowthPerS   = 0.5  // each second of waiting makes a request weigh so much more
	maxUnmetRequests    = 5.0  // refused requests that count as coming back
	dormantModelValue   = 3.0  // the last copy of a model that nobody asked for yet
	dormantTimeConstant = 10 * time.Minute
	minResidency        = 4 * time.Second
	maxEvictable        = 8 // copies on an endpoint that are tried in all combinations
	maxPlansPerStep     = 8
	concurrentLoadShare = 0.85 // of loads_per_s × window: loads under way at the same moment
)

// decide carries on with what is under way and begins what is worth it.
func (p *Placer) decide(now time.Time, f *fleet, out *Output) {
	b := p.currentPlacements(now, f)
	p.learnSecondsPerToken(now, f, b, now.Sub(f.decidedAt))
	f.decidedAt = now
	for _, e := range f.sortedEndpoints {
		if e.plan != nil {
			p.advancePlan(now, f, b, e, out)
		}
	}
	onlyUrgent := now.Sub(p.startedAt) < urgentOnlyWindow || p.demand.observedFor(now) < urgentOnlyWindow
	p.placeAdapters(now, f, b, true, out) // first: these take a moment only, loads seconds
	for range maxPlansPerStep {
		if !p.placeBest(now, f, b, onlyUrgent, out) {
			break
		}
	}
	p.placeAdapters(now, f, b, false, out)
	if !onlyUrgent || p.demand.observedSince.IsZero() {
		p.fillFreeSlots(now, f, b, out)
	}
}

// candidate is a change that may be made: the target comes to the endpoint, the victims leave.
type candidate struct {
	placement *modelPlacement
	endpoint  *endpoint
	victims   []string
	gain      float64
	loss      float64
	score     float64
}

// placeBest makes the most valuable change; false if none is worth it.
func (p *Placer) placeBest(now time.Time, f *fleet, b *placements, onlyUrgent bool, out *Output) bool {
	if f.loadsUnderWay() >= f.maxLoadsUnderWay(p.config.LoadRateWindow) {
		return false
	}
	var chosen *candidate
	b.beginChoice(f, p.loadLimiter.allows(now))
	for _, l := range b.all {
		if !p.mayGain(l, onlyUrgent) {
			continue
		}
		if found := p.bestCandidate(now, f, b, l); found != nil && (chosen == nil || found.score > chosen.score) {
			chosen = found
		}
	}
	if chosen == nil {
		return false
	}
	p.bind(now, f, b, chosen, out)
	return true
}

// mayGain tells whether one copy more of the model may be worth its load at all.
func (p *Placer) mayGain(l *modelPlacement, onlyUrgent bool) bool {
	if l.demand == nil {
		return false
	}
	if len(l.replicas) == 0 {
		return l.demand.hasUnmetRequests() || !onlyUrgent
	}
	if onlyUrgent {
		return false
	}
	most := l.projectedRate*l.demand.value*(1-valueAt(l.fairLevel)) + p.redundancyGain(l) + l.adapterGain
	return most*planningHorizon+zoneBonus+packingBonus > p.config.LoadCost+p.config.OrderCost+minNetGain
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

func (f *fleet) maxLoadsUnderWay(window time.Duration) int {
	return max(2, int(f.engine.LoadsPerSecond*window.Seconds()*concurrentLoadShare))
}

func (p *Placer) bestCandidate(now time.Time, f *fleet, b *placements, l *modelPlacement) *candidate {
	var chosen *candidate
	bases := l.utilizationByOthers(nil)
	slices.Sort(bases)
	for _, e := range f.sortedEndpoints {
		if !p.isFeasible(now, e, l.model, b.storeLoadAllowed) {
			continue
		}
		c := &candidate{placement: l, endpoint: e, gain: p.gain(now, l, e, bases)}
		most := c.gain + packingBonus - p.config.LoadCost - p.config.OrderCost - minNetGain
		if most <= 0 || chosen != nil && most <= chosen.score || !p.chooseEvictions(now, f, b, c) {
			continue
		}
		if l.unloadStalled && b.evictsRunningRequests(c) {
			continue // one copy in use that leaves for it is enough
		}
		price := p.config.LoadCost + p.config.OrderCost*float64(1+len(c.victims))
		c.score = c.gain - c.loss - price - minNetGain
		c.score -= delayLossPerS * p.loadTime(f, e, l.model).Seconds() * (1 + p.waitingRequests(l))
		c.score += p.packingScore(f, e, l, c.victims)
		if c.score > 0 && (chosen == nil || c.score > chosen.score) {
			chosen = c
		}
	}
	return chosen
}

// evictsRunningRequests tells that a victim of the choice has runs to wait for.
func (b *placements) evictsRunningRequests(c *candidate) bool {
	return slices.ContainsFunc(c.victims, func(model string) bool { return b.byModel[model] != nil && b.byModel[model].hasRunningRequests() })
}

// isFeasible tells whether a new plan may begin at the endpoint. Allowed: one more load from the store may begin.
func (p *Placer) isFeasible(now time.Time, e *endpoint, model string, allowed bool) bool {
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

// waitingRequests is how much somebody waits for the model's first copy.
func (p *Placer) waitingRequests(l *modelPlacement) float64 {
	if len(l.replicas) > 0 {
		return 0
	}
	return math.Min(maxUnmetRequests, l.demand.unmet+float64(l.demand.waiting))
}

// gain is what one more copy at the endpoint brings. Bases are those of the load, sorted.
func (p *Placer) gain(now time.Time, l *modelPlacement, e *endpoint, bases []float64) float64 {
	d := l.demand
	after := valueAt(fairLevelWith(bases, e.utilization, l.offeredLoad))
	if len(l.replicas) == 0 {
		waited := 1.0
		if !d.waitingSince.IsZero() {
			waited += waitingGrowthPerS * now.Sub(d.waitingSince).Seconds()
		}
		now := p.waitingRequests(l) * d.value * waited
		return now + planningHorizon*math.Max(l.projectedRate, l.longTermRate)*(missLoss*d.value+p.config.LoadCost)*after
	}
	rate := l.projectedRate * d.value * (after - valueAt(l.fairLevel))
	sum := planningHorizon * (rate + p.redundancyGain(l) + l.adapterGain)
	if !l.hasReplicaInZone(e.Zone) {
		sum += zoneBonus
	}
	return sum
}

// redundancyGain is what a second copy is worth a second.
func (p *Placer) redundancyGain(l *modelPlacement) float64 {
	if len(l.replicas) != 1 {
		return 0
	}
	return redundancyShare * l.projectedRate * l.demand.value
}

func (l *modelPlacement) hasReplicaInZone(zone string) bool {
	return slices.ContainsFunc(l.replicas, func(s replica) bool { return s.endpoint.Zone == zone })
}

// packingScore prefers the endpoint whose room is filled best.
func (p *Placer) packingScore(f *fleet, e *endpoint, l *modelPlacement, victims []string) float64 {
	left := f.freeMemoryMB(e) - f.models[l.model].WeightsMB
	for _, victim := range victims {
		left += f.modelMemoryMB(e.find(victim))
	}
	return packingBonus * (1 - left/f.engine.WeightMemoryMB)
}

// bind makes the choice the endpoint's plan and takes it into the book.
func (p *Placer) bind(now time.Time, f *fleet, b *placements, c *candidate, out *Output) {
	c.endpoint.plan = &plan{
		target: c.placement.model, victims: slices.Clone(c.victims), decidedAt: now, lastProgressAt: now, score: c.score,
		reason: p.reason(c),
	}
	for _, e := range f.sortedEndpoints {
		if e != c.endpoint && e.unloadStalled(now) && e.plan.target == c.placement.model {
			e.plan = nil // its unload goes on, and the room is for what is best then
		}
	}
	for _, victim := range c.victims {
		if l := b.byModel[victim]; l != nil {
			l.removeReplica(c.endpoint)
		}
	}
	c.placement.replicas = append(c.placement.replicas, replica{endpoint: c.endpoint})
	b.distributeLoads()
	p.advancePlan(now, f, b, c.endpoint, out)
}

func (l *modelPlacement) removeReplica(e *endpoint) {
	l.replicas = slices.DeleteFunc(l.replicas, func(s replica) bool {
		if s.endpoint == e {
			e.utilization -= s.share
		}
		return s.endpoint == e
	})
}

func (p *Placer) reason(c *candidate) string {
	l := c.placement
	d := l.demand
	if len(l.replicas) == 0 {
		return fmt.Sprintf("first copy: %d waiting, %.1f refused, %.2f asked/s; gain %.2f, loss %.2f",
			d.waiting, d.unmet, math.Max(l.projectedRate, l.longTermRate), c.gain, c.loss)
	}
	return fmt.Sprintf("copy %d: %.1f asked/s expected, endpoints %.0f%% in use; gain %.2f, loss %.2f",
		len(l.replicas)+1, l.projectedRate, 100*l.fairLevel, c.gain, c.loss)
}

// advancePlan sends the next order of an endpoint's plan.
func (p *Placer) advancePlan(now time.Time, f *fleet, b *placements, e *endpoint, out *Output) {
	if e.pending != nil || now.Before(e.backoffUntil) || (p.config.InspectEndpoints && !e.stateKnown) {
		return
	}
	current := e.plan
	current.victims = slices.DeleteFunc(current.victims, func(v string) bool { return e.find(v) == nil })
	if e.find(current.target) != nil {
		e.plan = nil
		return
	}
	if f.freeMemoryMB(e) >= f.models[current.target].WeightsMB {
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
	if d := p.demand.models[f.name][victim]; d != nil && d.isRecent(now) && f.replicasServingElsewhere(victim, e) == 0 {
		e.plan = nil
		return
	}
	current.lastProgressAt = now
	reason := "room for " + current.target + ": " + current.reason
	p.issue(now, f, e, Order{Model: victim, Unload: true, Reason: reason}, out)
}
