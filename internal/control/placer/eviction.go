package placer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// evictableModel is a copy that may make way.
type evictableModel struct {
	model     string
	weightsMB float64
	loss      float64
}

// chooseEvictions finds the copies whose loss is least and that make enough room; false if there are none.
func (p *Placer) chooseEvictions(now time.Time, f *fleet, b *placements, c *candidate) bool {
	model := f.models[c.placement.model]
	need := model.WeightsMB + f.adapterReserveMB(model) - f.freeMemoryMB(c.endpoint)
	if need <= 0 {
		return true
	}
	possible := p.evictableModels(now, f, b, c.endpoint)
	found := false
	for set := 1; set < 1<<len(possible); set++ {
		size, loss := 0.0, 0.0
		for i, v := range possible {
			if set&(1<<i) != 0 {
				size += v.weightsMB
				loss += v.loss
			}
		}
		if size < need || (found && loss >= c.loss) {
			continue
		}
		found = true
		c.loss = loss
		c.victims = c.victims[:0]
		for i, v := range possible {
			if set&(1<<i) != 0 {
				c.victims = append(c.victims, v.model)
			}
		}
	}
	return found
}

// evictableModels lists the copies on the endpoint that may make way, those that are lost least first where there are many. It
// is the same for every load that looks for room, and is found once.
func (p *Placer) evictableModels(now time.Time, f *fleet, b *placements, e *endpoint) []evictableModel {
	if known, found := b.evictable[e]; found {
		return known
	}
	var possible []evictableModel
	for i := range e.models {
		if v, ok := p.evictionLoss(now, f, b, e, &e.models[i]); ok {
			possible = append(possible, v)
		}
	}
	if len(possible) > maxEvictable {
		slices.SortFunc(possible, func(x, y evictableModel) int { return cmp.Compare(x.loss/x.weightsMB, y.loss/y.weightsMB) })
		possible = possible[:maxEvictable]
	}
	b.evictable[e] = possible
	return possible
}

// evictionLoss tells what is lost when the copy makes way, and whether it may.
func (p *Placer) evictionLoss(now time.Time, f *fleet, b *placements, e *endpoint, held *loadedModel) (evictableModel, bool) {
	v := evictableModel{model: held.model, weightsMB: f.modelMemoryMB(held)}
	l := b.byModel[held.model]
	if l == nil { // not in the configuration any more
		return v, true
	}
	if now.Sub(p.startedAt) < minObservation || p.demand.observedFor(now) < minObservation {
		return v, false
	}
	last := b.servingReplicas[held.model] == 0 || b.servingReplicas[held.model] == 1 && e.isServing(held.model)
	if now.Sub(held.loadedAt) < minResidency && (last || l.demand == nil) {
		return v, false
	}
	if last && l.demand != nil && l.demand.isRecent(now) {
		return v, false
	}
	v.loss = p.replicaLoss(now, l, e, held, last)
	return v, true
}

// replicasServingElsewhere counts the endpoints other than this that serve the model now.
func (f *fleet) replicasServingElsewhere(model string, but *endpoint) int {
	count := 0
	for _, e := range f.sortedEndpoints {
		if e != but && e.isServing(model) {
			count++
		}
	}
	return count
}

// replicaLoss is what the copy's leaving costs.
func (p *Placer) replicaLoss(now time.Time, l *modelPlacement, e *endpoint, held *loadedModel, last bool) float64 {
	if last {
		return p.lastReplicaLoss(now, l)
	}
	d := l.demand
	if d == nil {
		return 0
	}
	rate := l.projectedRate * d.value * (valueAt(l.fairLevel) - valueAt(l.fairLevelWithout(e)))
	if len(l.replicas) == 2 {
		rate += redundancyShare * l.projectedRate * d.value
	}
	sum := planningHorizon * rate
	if out := float64(d.running) / float64(max(1, len(l.replicas))); out > 0.5 {
		sum += runningRequestLoss*math.Min(out, maxRunningRequests) + prefixCacheLoss
	}
	for _, name := range held.adapters {
		if a := d.adapters[name]; a != nil {
			sum += (adapterMoveLoss + p.config.OrderCost) * math.Min(1, a.slowRate.rate(p.demand.observedFor(now), slowTimeConstant)*planningHorizon)
		}
	}
	return sum
}

// lastReplicaLoss is what it costs to have no copy of the model: its next requests wait for a load. Of a model that nobody
// asked for yet nothing is known, except that somebody put it there: it may be the next that is asked for much.
func (p *Placer) lastReplicaLoss(now time.Time, l *modelPlacement) float64 {
	if l.demand == nil || l.demand.lastRequestAt.IsZero() {
		return dormantModelValue * math.Exp(-now.Sub(p.startedAt).Seconds()/dormantTimeConstant.Seconds())
	}
	return planningHorizon * math.Max(l.projectedRate, l.longTermRate) * (missLoss*l.demand.value + p.config.LoadCost)
}
