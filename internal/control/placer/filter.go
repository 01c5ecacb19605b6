package placer

import "time"

// mayBenefit reports whether one more replica of the model may gain more than its load costs. With onlyUrgent, that is,
// until all routers have reported, it is true only for models that have no replica and unmet requests.
func (p *Placer) mayBenefit(m *modelPlacement, onlyUrgent bool) bool {
	if m.demand == nil {
		return false
	}
	if len(m.replicas) == 0 {
		return m.demand.hasUnmetRequests() || !onlyUrgent
	}
	if onlyUrgent {
		return false
	}
	upperBound := m.projectedRate*m.demand.value*(1-valueAt(m.fairLevel)) + p.redundancyGain(m) + m.adapterGain
	return upperBound*planningHorizonS+zoneBonus+packingBonus > p.config.LoadCost+p.config.OrderCost+minNetGain
}

// isFeasible reports whether a plan to load the model may start at the endpoint. An adapter order in progress does not
// prevent it, because such an order takes only a moment. If storeLoadAllowed is false, only a load from the endpoint's
// own disk is feasible.
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
