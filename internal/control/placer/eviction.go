package placer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Constants of the choice of models to evict. Losses are in requests of middle priority, as in score.go.
const (
	// minObservation is how long reports must have been heard before anything is evicted, by a new leader or one that
	// leads again: all routers have reported by then. Without reports nothing seems to be in use.
	minObservation = time.Second
	// minResidency is how long a model that was just loaded stays if it is the last replica or nobody has asked for
	// it.
	minResidency = 4 * time.Second
	// maxEvictable is how many of an endpoint's models are considered, as all their combinations are compared.
	maxEvictable = 8

	runningRequestLoss = 0.2  // for each running request of the replica, as its unload waits for them
	maxRunningRequests = 8.0  // running requests that count
	prefixCacheLoss    = 0.2  // of the cached prompts of a replica in use
	adapterMoveLoss    = 0.15 // of loading an adapter in use elsewhere, besides the order

	// dormantModelValue is the loss of the last replica of a model that nobody has asked for yet; it decays over
	// dormantTimeConstant from the first step on.
	dormantModelValue   = 3.0
	dormantTimeConstant = 10 * time.Minute
)

// evictableModel is a model that may be evicted from an endpoint.
type evictableModel struct {
	model    string
	memoryMB float64
	loss     float64
}

// chooseEvictions chooses the evictions with the least loss that free memory for the candidate's model and its
// adapters, out of all combinations. It reports false if no combination frees enough.
func (p *Placer) chooseEvictions(now time.Time, f *fleet, table *placementTable, c *candidate) bool {
	model := f.models[c.placement.model]
	needMB := model.WeightsMB + f.adapterReserveMB(model) - f.freeMemoryMB(c.endpoint)
	if needMB <= 0 {
		return true
	}
	evictable := p.evictableModels(now, f, table, c.endpoint)
	best := 0 // set of evictable models, one bit each
	for set := 1; set < 1<<len(evictable); set++ {
		memoryMB, loss := 0.0, 0.0
		for i, v := range evictable {
			if set&(1<<i) != 0 {
				memoryMB += v.memoryMB
				loss += v.loss
			}
		}
		if memoryMB < needMB || (best != 0 && loss >= c.loss) {
			continue
		}
		best, c.loss = set, loss
	}
	for i, v := range evictable {
		if best&(1<<i) != 0 {
			c.evictions = append(c.evictions, v.model)
		}
	}
	return best != 0
}

// evictableModels lists the endpoint's models that may be evicted, where there are many those that lose least by
// memory. The list is the same for all models that need memory in one choice, and is made once.
func (p *Placer) evictableModels(now time.Time, f *fleet, table *placementTable, e *endpoint) []evictableModel {
	if known, found := table.evictable[e]; found {
		return known
	}
	var evictable []evictableModel
	for i := range e.models {
		loaded := &e.models[i]
		if loss, allowed := p.evictionLoss(now, table, e, loaded); allowed {
			evictable = append(evictable, evictableModel{loaded.model, f.modelMemoryMB(loaded), loss})
		}
	}
	if len(evictable) > maxEvictable {
		slices.SortFunc(evictable, func(x, y evictableModel) int { return cmp.Compare(x.loss/x.memoryMB, y.loss/y.memoryMB) })
		evictable = evictable[:maxEvictable]
	}
	table.evictable[e] = evictable
	return evictable
}

// evictionLoss is what the eviction of a model from the endpoint costs, and whether it is allowed. A model that the
// configuration does not have any more goes for nothing; the last replica of a model in use stays.
func (p *Placer) evictionLoss(now time.Time, table *placementTable, e *endpoint, loaded *loadedModel) (float64, bool) {
	m := table.byModel[loaded.model]
	if m == nil {
		return 0, true
	}
	if now.Sub(p.startedAt) < minObservation || p.demand.observedFor(now) < minObservation {
		return 0, false
	}
	serving := table.serving[loaded.model]
	last := serving == 0 || serving == 1 && e.isServing(loaded.model)
	if now.Sub(loaded.loadedAt) < minResidency && (last || m.demand == nil) {
		return 0, false
	}
	if last && m.demand != nil && m.demand.isRecent(now) {
		return 0, false
	}
	if last {
		return p.lastReplicaLoss(now, m), true
	}
	return p.replicaLoss(now, m, e, loaded), true
}

// replicaLoss is what the eviction of one of several replicas costs: the requests that are late at the others, what
// is lost of redundancy, the wait for its running requests, its cached prompts, and the adapters in use.
func (p *Placer) replicaLoss(now time.Time, m *modelPlacement, e *endpoint, loaded *loadedModel) float64 {
	d := m.demand
	if d == nil {
		return 0
	}
	rate := m.projectedRate * d.value * (valueAt(m.fairLevel) - valueAt(m.fairLevelWithout(e)))
	if len(m.replicas) == 2 && p.uses(Redundancy) {
		rate += redundancyShare * m.projectedRate * d.value
	}
	sum := planningHorizonS * rate
	if running := float64(d.running) / float64(max(1, len(m.replicas))); running > 0.5 {
		sum += runningRequestLoss*math.Min(running, maxRunningRequests) + prefixCacheLoss
	}
	for _, name := range loaded.adapters {
		if adapter := d.adapters[name]; adapter != nil {
			adapterRate := adapter.slowRate.rate(p.demand.observedFor(now), slowTimeConstant)
			sum += (adapterMoveLoss + p.config.OrderCost) * math.Min(1, adapterRate*planningHorizonS)
		}
	}
	return sum
}

// lastReplicaLoss is what it costs to have no replica of the model: its next requests wait for a load. Of a model
// that nobody has asked for yet nothing is known, except that somebody placed it: it may be the next to be asked for
// much.
func (p *Placer) lastReplicaLoss(now time.Time, m *modelPlacement) float64 {
	if m.demand == nil || m.demand.lastRequestAt.IsZero() {
		if !p.uses(DormantValue) {
			return 0
		}
		return dormantModelValue * math.Exp(-now.Sub(p.startedAt).Seconds()/dormantTimeConstant.Seconds())
	}
	return planningHorizonS * math.Max(m.projectedRate, m.longTermRate) * (missLoss*m.demand.value + p.config.LoadCost)
}

// evictsRunningRequests reports whether the candidate evicts a model whose running requests it has to wait for.
func (t *placementTable) evictsRunningRequests(c *candidate) bool {
	return slices.ContainsFunc(c.evictions, func(model string) bool {
		return t.byModel[model] != nil && t.byModel[model].hasRunningRequests()
	})
}

// servedElsewhere reports whether an endpoint other than the given one serves the model now.
func (f *fleet) servedElsewhere(model string, excluded *endpoint) bool {
	return slices.ContainsFunc(f.sortedEndpoints, func(e *endpoint) bool { return e != excluded && e.isServing(model) })
}
