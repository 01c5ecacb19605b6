package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"raventrestle/internal/portablemath"
)

// Constants for choosing the models to evict. Losses are in requests of middle priority, as in score.go.
const (
	// minObservation is how long a leader must have led, and received reports without a gap, before it evicts anything: by
	// then all routers have reported. Without their reports, no model would seem to be in use.
	minObservation = time.Second
	// minResidency is how long a newly loaded model stays if it is the last replica or has not been requested yet.
	minResidency = 4 * time.Second
	// maxEvictable is the maximum number of an endpoint's models that are considered for eviction, because all their
	// combinations are compared.
	maxEvictable = 8

	runningRequestLoss = 0.2  // for each running request of the replica, because its unload waits for them
	maxRunningRequests = 8.0  // maximum number of running requests that count
	prefixCacheLoss    = 0.2  // for the prefix cache of a replica in use
	adapterMoveLoss    = 0.15 // for each adapter in use, which must be loaded elsewhere; the cost of that order is added

	// dormantModelValue is the loss of evicting the last replica of a model that has not been requested yet. It decays
	// with dormantTimeConstant from the first step on.
	dormantModelValue   = 3.0
	dormantTimeConstant = 10 * time.Minute
)

// evictableModel is a model that may be evicted from an endpoint.
type evictableModel struct {
	model    string
	memoryMB float64
	loss     float64
}

// chooseEvictions compares all combinations of evictable models and chooses the one with the lowest loss that frees
// enough memory for the candidate's model and its adapters. It reports false if no combination frees enough.
func (p *Placer) chooseEvictions(now time.Time, f *fleet, table *placementTable, c *candidate) bool {
	model := f.models[c.placement.model]
	needMB := model.WeightsMB + f.adapterReserveMB(model) - f.freeMemoryMB(c.endpoint)
	if needMB <= 0 {
		return true
	}
	evictable := p.evictableModels(now, f, table, c.endpoint)
	bestSet := 0 // bit set of indexes into evictable
	for set := 1; set < 1<<len(evictable); set++ {
		memoryMB, loss := 0.0, 0.0
		for i, v := range evictable {
			if set&(1<<i) != 0 {
				memoryMB += v.memoryMB
				loss += v.loss
			}
		}
		if memoryMB < needMB || (bestSet != 0 && loss >= c.loss) {
			continue
		}
		bestSet, c.loss = set, loss
	}
	for i, v := range evictable {
		if bestSet&(1<<i) != 0 {
			c.evictions = append(c.evictions, v.model)
		}
	}
	return bestSet != 0
}

// evictableModels lists the models that may be evicted from the endpoint. If there are more than maxEvictable, it lists
// those with the lowest loss per MB. The list does not depend on the model that needs memory, so it is computed once per
// selection.
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

// evictionLoss returns the loss of evicting a model from the endpoint, and whether the eviction is allowed. Evicting a
// model that is no longer configured loses nothing. The last replica of a model in use must not be evicted.
func (p *Placer) evictionLoss(now time.Time, table *placementTable, e *endpoint, loaded *loadedModel) (float64, bool) {
	m := table.byModel[loaded.model]
	if m == nil {
		return 0, true
	}
	if now.Sub(p.startedAt) < minObservation || p.demand.observedFor(now) < minObservation {
		return 0, false
	}
	serving := table.serving[loaded.model]
	isLast := serving == 0 || serving == 1 && e.isServing(loaded.model)
	if now.Sub(loaded.loadedAt) < minResidency && (isLast || m.demand == nil) {
		return 0, false
	}
	if isLast && m.demand != nil && m.demand.isInUse(now) {
		return 0, false
	}
	if isLast {
		return p.lastReplicaLoss(now, m), true
	}
	return p.replicaLoss(now, m, e, loaded), true
}

// replicaLoss returns the loss of evicting one of several replicas: requests that become late at the other replicas,
// lost redundancy, the wait for running requests, the prefix cache, and the adapters in use.
func (p *Placer) replicaLoss(now time.Time, m *modelPlacement, e *endpoint, loaded *loadedModel) float64 {
	d := m.demand
	if d == nil {
		return 0
	}
	rate := m.projectedRate * d.value * (valueAt(m.fairLevel) - valueAt(m.fairLevelWithout(e)))
	if len(m.replicas) == 2 && p.uses(Redundancy) {
		rate += redundancyShare * m.projectedRate * d.value
	}
	loss := planningHorizonS * rate
	if running := float64(d.running) / float64(max(1, len(m.replicas))); running > 0.5 {
		loss += runningRequestLoss*math.Min(running, maxRunningRequests) + prefixCacheLoss
	}
	for _, name := range loaded.adapters {
		if adapter := d.adapters[name]; adapter != nil {
			adapterRate := adapter.slowRate.rate(p.demand.observedFor(now), slowTimeConstant)
			loss += (adapterMoveLoss + p.config.OrderCost) * math.Min(1, adapterRate*planningHorizonS)
		}
	}
	return loss
}

// lastReplicaLoss returns the loss of evicting the last replica of a model, whose next requests then wait for a load.
// All that is known of a model that has not been requested yet is that somebody placed it, so demand for it may follow.
func (p *Placer) lastReplicaLoss(now time.Time, m *modelPlacement) float64 {
	if m.demand == nil || m.demand.lastRequestAt.IsZero() {
		if !p.uses(DormantValue) {
			return 0
		}
		return dormantModelValue * portablemath.Exp(-now.Sub(p.startedAt).Seconds()/dormantTimeConstant.Seconds())
	}
	return planningHorizonS * math.Max(m.projectedRate, m.longTermRate) * (missLoss*m.demand.value + p.config.LoadCost)
}

// evictsRunningRequests reports whether the candidate evicts a model with running requests, for which the unload would
// have to wait.
func (t *placementTable) evictsRunningRequests(c *candidate) bool {
	return slices.ContainsFunc(c.evictions, func(model string) bool {
		return t.byModel[model] != nil && t.byModel[model].hasRunningRequests()
	})
}

// isServedElsewhere reports whether an endpoint other than the excluded one serves the model now.
func (f *fleet) isServedElsewhere(model string, excluded *endpoint) bool {
	return slices.ContainsFunc(f.sortedEndpoints, func(e *endpoint) bool { return e != excluded && e.isServing(model) })
}
