package placer

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// plan is a change of an endpoint that takes several orders: first the evictions, then the load of the target.
type plan struct {
	target         string
	evictions      []string  // models still to unload
	lastProgressAt time.Time // when the plan was made or its last unload was issued
	score          float64
	reason         string // human-readable
}

// bind makes the candidate the plan of its endpoint, enters it in the table, and issues its first order. If another
// endpoint has a plan for the same model with a stalled unload, that plan ends. Its unload continues, and the memory it
// frees is available for whichever change is best at that time.
func (p *Placer) bind(now time.Time, f *fleet, table *placementTable, c *candidate, out *Output) {
	c.endpoint.plan = &plan{
		target:         c.placement.model,
		evictions:      slices.Clone(c.evictions),
		lastProgressAt: now,
		score:          c.score,
		reason:         c.reason(),
	}
	for _, e := range f.sortedEndpoints {
		if e != c.endpoint && e.unloadStalled(now) && e.plan.target == c.placement.model {
			e.plan = nil
		}
	}
	for _, model := range c.evictions {
		if m := table.byModel[model]; m != nil {
			m.removeReplica(c.endpoint)
		}
	}
	c.placement.replicas = append(c.placement.replicas, replica{endpoint: c.endpoint})
	table.distributeLoads()
	p.advancePlan(now, f, c.endpoint, out)
}

// reason returns a human-readable reason for the change.
func (c *candidate) reason() string {
	m := c.placement
	d := m.demand
	if len(m.replicas) == 0 {
		return fmt.Sprintf("first copy: %d waiting, %.1f refused, %.2f asked/s; gain %.2f, loss %.2f",
			d.waiting, d.unmet, math.Max(m.projectedRate, m.longTermRate), c.gain, c.loss)
	}
	return fmt.Sprintf("copy %d: %.1f asked/s expected, endpoints %.0f%% in use; gain %.2f, loss %.2f",
		len(m.replicas)+1, m.projectedRate, 100*m.fairLevel, c.gain, c.loss)
}

// advancePlan issues the next order of the endpoint's plan. The plan ends when the load of its target is issued, or
// when it cannot be carried out any more.
func (p *Placer) advancePlan(now time.Time, f *fleet, e *endpoint, out *Output) {
	if e.pending != nil || now.Before(e.backoffUntil) || (p.config.InspectEndpoints && !e.stateKnown) {
		return
	}
	current := e.plan
	current.evictions = slices.DeleteFunc(current.evictions, func(model string) bool { return e.find(model) == nil })
	switch {
	case e.find(current.target) != nil:
		e.plan = nil // somebody else has loaded the target
	case f.freeMemoryMB(e) >= f.models[current.target].WeightsMB:
		p.loadTarget(now, f, e, out)
	case len(current.evictions) == 0:
		e.plan = nil // the remaining evictions no longer free enough memory
	default:
		p.evictNext(now, f, e, out)
	}
}

// loadTarget issues the load that completes the endpoint's plan, as soon as the load rate limit allows it.
func (p *Placer) loadTarget(now time.Time, f *fleet, e *endpoint, out *Output) {
	current := e.plan
	if !e.onDisk[current.target] && !p.loadLimiter.allows(now) {
		return
	}
	e.plan = nil
	p.issue(now, f, e, Order{Model: current.target, Reason: current.reason}, out)
}

// evictNext issues the next unload of the endpoint's plan. The plan ends instead if the model to unload is in use again
// and no other endpoint serves it.
func (p *Placer) evictNext(now time.Time, f *fleet, e *endpoint, out *Output) {
	current := e.plan
	model := current.evictions[0]
	if d := p.demand.models[f.name][model]; d != nil && d.isInUse(now) && !f.isServedElsewhere(model, e) {
		e.plan = nil
		return
	}
	current.lastProgressAt = now
	reason := "room for " + current.target + ": " + current.reason
	p.issue(now, f, e, Order{Model: model, Unload: true, Reason: reason}, out)
}
