package placer

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// plan is a change of an endpoint that takes several orders: evictions, then the load of the target.
type plan struct {
	target         string
	evictions      []string  // models still to be unloaded
	lastProgressAt time.Time // when its last order was issued, or it was made
	score          float64
	reason         string // for people
}

// bind makes the candidate its endpoint's plan, enters it in the table, and issues its first order. A plan elsewhere
// for the same model whose unload is stalled ends; its unload goes on, and the memory is then free for the best
// change at that moment.
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

// reason says for people why the change is made.
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

// advancePlan issues the next order of the endpoint's plan, or ends the plan: when the target's load is issued, or
// when the plan can't be carried out any more.
func (p *Placer) advancePlan(now time.Time, f *fleet, e *endpoint, out *Output) {
	if e.pending != nil || now.Before(e.backoffUntil) || (p.config.InspectEndpoints && !e.stateKnown) {
		return
	}
	current := e.plan
	current.evictions = slices.DeleteFunc(current.evictions, func(model string) bool { return e.find(model) == nil })
	switch {
	case e.find(current.target) != nil:
		e.plan = nil // somebody else has loaded it
	case f.freeMemoryMB(e) >= f.models[current.target].WeightsMB:
		p.loadTarget(now, f, e, out)
	case len(current.evictions) == 0:
		e.plan = nil // what is evicted does not free enough memory any more
	default:
		p.evictNext(now, f, e, out)
	}
}

// loadTarget issues the load that ends the endpoint's plan, as soon as the load rate limit allows it.
func (p *Placer) loadTarget(now time.Time, f *fleet, e *endpoint, out *Output) {
	current := e.plan
	if !e.onDisk[current.target] && !p.loadLimiter.allows(now) {
		return
	}
	e.plan = nil
	p.issue(now, f, e, Order{Model: current.target, Reason: current.reason}, out)
}

// evictNext issues the next unload of the endpoint's plan. The plan ends if the model has come into use and is served
// nowhere else.
func (p *Placer) evictNext(now time.Time, f *fleet, e *endpoint, out *Output) {
	current := e.plan
	model := current.evictions[0]
	if d := p.demand.models[f.name][model]; d != nil && d.isRecent(now) && !f.servedElsewhere(model, e) {
		e.plan = nil
		return
	}
	current.lastProgressAt = now
	reason := "room for " + current.target + ": " + current.reason
	p.issue(now, f, e, Order{Model: model, Unload: true, Reason: reason}, out)
}
