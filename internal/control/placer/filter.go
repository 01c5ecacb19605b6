package placer

import "time"

// mayGain reports whether one more replica of the model may gain more than its load costs. Until all routers have
// been heard only models that have no replica, and whose requests wait, may.
func (p *Placer) mayGain(m *modelPlacement, onlyUrgent bool) bool {
	if m.demand == nil {
		return false
	}
	if len(m.replicas) == 0 {
		return m.demand.hasUnmetRequests() || !onlyUrgent
	}
	if onlyUrgent {
		return false
	}
	highest := m.projectedRate*m.demand.value*(1-valueAt(m.fairLevel)) + p.redundancyGain(m) + m.adapterGain
	return highest*planningHorizonS+zoneBonus+packingBonus > p.config.LoadCost+p.config.OrderCost+minNetGain
}

// isFeasible reports whether a plan to load the model may begin at the endpoint. An order for an adapter that is
// under way does not prevent it, as it takes only a moment. A load from the endpoint's own disk needs no load from
// the store to be allowed.
func (p *Placer) isFeasible(now time.Time, e *endpoint, model string, storeLoadAllowed bool) bool {
	if !e.isReady() || e.plan != nil || now.Before(e.backoffUntil) || e.find(model) != nil {
		return false
	}
	if e.pending != nil && e.pending.order.Adapter == "" {
		return false
	}
	if p.config.InspectEndpoints && !e.stateKnown {
		return false
	}
	return storeLoadAllowed || e.onDisk[model]
}
