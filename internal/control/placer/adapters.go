package placer

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"
)

const (
	// adapterUtilizationShare is the share of an endpoint's time that one adapter's requests may take before the adapter
	// is loaded at one more endpoint.
	adapterUtilizationShare = 0.3
	// adapterActiveWindow is how long after its last request an adapter counts as in use.
	adapterActiveWindow = 10 * time.Second
	// adapterReloadBackoff is how long an evicted adapter is not loaded again, at any endpoint.
	adapterReloadBackoff = time.Second
	// maxAdapterOrdersPerStep limits the adapter orders in one phase of a decision.
	maxAdapterOrdersPerStep = 16
	// unplacedAdapterWeight ranks adapters that are loaded nowhere above the others.
	unplacedAdapterWeight = 100
)

// adapterKey identifies an adapter.
type adapterKey struct{ model, adapter string }

// adapterNeed is an adapter that should be loaded at one more endpoint.
type adapterNeed struct {
	adapterKey
	demand   *demand
	weight   float64 // needs with a higher weight are met first
	unplaced bool    // the adapter is loaded nowhere
}

// placeAdapters gives slots to requested adapters. With onlyUrgent, it places only adapters that are loaded nowhere, in
// slots that are free or whose adapters are idle.
func (p *Placer) placeAdapters(now time.Time, f *fleet, table *placementTable, onlyUrgent bool, out *Output) {
	count := 0
	for _, need := range p.adapterNeeds(now, f, table) {
		if count >= maxAdapterOrdersPerStep {
			return
		}
		if onlyUrgent && !need.unplaced {
			continue
		}
		if p.placeAdapter(now, f, table.byModel[need.model], need, !onlyUrgent, out) {
			count++
		}
	}
}

// adapterNeeds lists the adapters in use that are loaded at too few endpoints, highest weight first.
func (p *Placer) adapterNeeds(now time.Time, f *fleet, table *placementTable) []adapterNeed {
	observed := p.demand.observedFor(now)
	var needs []adapterNeed
	for _, m := range table.placements {
		if m.demand == nil || len(m.replicas) == 0 {
			continue
		}
		requestTime := f.requestTime(m.demand, observed)
		for name, d := range m.demand.adapters {
			if now.Sub(d.lastRequestAt) > adapterActiveWindow && d.waiting == 0 {
				continue
			}
			rate := d.slowRate.rate(observed, slowTimeConstant)
			neededReplicas := 1 + int(rate*requestTime/adapterUtilizationShare)
			loaded := m.adapterReplicas(name)
			if loaded >= neededReplicas {
				continue
			}
			key := adapterKey{m.model, name}
			weight := rate
			if loaded == 0 {
				weight += unplacedAdapterWeight * (1 + float64(d.waiting) + d.unmet) * (1 + f.unplacedFor(now, key).Seconds())
			}
			needs = append(needs, adapterNeed{key, d, weight, loaded == 0})
		}
	}
	slices.SortFunc(needs, func(x, y adapterNeed) int {
		return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.model, y.model), cmp.Compare(x.adapter, y.adapter))
	})
	return needs
}

// unplacedFor returns how long ago the adapter was last evicted, at most adapterActiveWindow. It returns
// adapterActiveWindow if no eviction is known.
func (f *fleet) unplacedFor(now time.Time, key adapterKey) time.Duration {
	if evictedAt, known := f.adapterEvictedAt[key]; known {
		return min(adapterActiveWindow, now.Sub(evictedAt))
	}
	return adapterActiveWindow
}

// adapterReplicas returns the number of endpoints where the adapter is loaded or being loaded.
func (m *modelPlacement) adapterReplicas(adapter string) int {
	count := 0
	for _, r := range m.replicas {
		loaded := r.endpoint.find(m.model)
		if loaded == nil {
			continue
		}
		pending := r.endpoint.pending
		ordered := pending != nil && pending.order.Model == m.model && pending.order.Adapter == adapter
		switch {
		case ordered && pending.order.Unload:
		case ordered, loaded.hasAdapter(adapter):
			count++
		}
	}
	return count
}

// placeAdapter loads the adapter into a free slot, or evicts another adapter for it. It reports whether an order was
// issued.
func (p *Placer) placeAdapter(
	now time.Time, f *fleet, m *modelPlacement, need adapterNeed, mayEvictActive bool, out *Output,
) bool {
	unplaced := m.adapterReplicas(need.adapter) == 0 // earlier orders of this step may have changed it
	backoffOver := f.unplacedFor(now, need.adapterKey) >= adapterReloadBackoff
	free, victim := p.findAdapterSlot(now, f, m, need, unplaced && mayEvictActive)
	if free != nil {
		if unplaced && !backoffOver {
			return false
		}
		reason := fmt.Sprintf("%d waiting, %.1f refused, a place is free", need.demand.waiting, need.demand.unmet)
		return p.issue(now, f, free, Order{Model: need.model, Adapter: need.adapter, Reason: reason}, out)
	}
	idle := need.demand.waiting == 0 && now.Sub(need.demand.lastRequestAt) >= adapterIdleTimeout
	if victim.endpoint == nil || !unplaced || idle || !backoffOver || f.isReserved(now, need.adapterKey) {
		return false
	}
	return p.evictAdapter(now, f, victim, need, out)
}

// findAdapterSlot returns the least utilized endpoint with a free slot for the adapter, nil if there is none. It also
// returns the adapter to evict if no slot is free; its endpoint is nil if there is none.
func (p *Placer) findAdapterSlot(
	now time.Time, f *fleet, m *modelPlacement, need adapterNeed, mayEvictActive bool,
) (*endpoint, loadedAdapter) {
	var free *endpoint
	var victim loadedAdapter
	for _, r := range m.replicas {
		e := r.endpoint
		loaded := e.find(need.model)
		if loaded == nil || loaded.hasAdapter(need.adapter) || !p.acceptsAdapterOrder(now, e) {
			continue
		}
		if f.hasAdapterSlot(e, need.model) && e.slotAvailableTo(now, need.adapterKey) {
			if free == nil || e.utilization < free.utilization {
				free = e
			}
			continue
		}
		found, ok := p.adapterToEvict(now, f, e, mayEvictActive)
		if ok && (victim.endpoint == nil || found.isEvictedBefore(now, victim)) {
			victim = found
		}
	}
	return free, victim
}

// hasAdapterSlot reports whether the endpoint has a free slot and enough memory for one more adapter of the model.
func (f *fleet) hasAdapterSlot(e *endpoint, model string) bool {
	return f.freeAdapterSlots(e) > 0 && f.freeMemoryMB(e) >= f.models[model].AdapterSizeMB
}

// acceptsAdapterOrder reports whether an adapter order may be sent to the endpoint.
func (p *Placer) acceptsAdapterOrder(now time.Time, e *endpoint) bool {
	if !e.isReady() || e.plan != nil || e.pending != nil || now.Before(e.backoffUntil) {
		return false
	}
	return e.stateKnown || (!p.config.InspectEndpoints && e.inheritedOrdersOver)
}

// preloadAdapters loads adapters that have not been requested yet into free slots, so that their first requests find
// them loaded. It loads only adapters that are loaded nowhere.
func (p *Placer) preloadAdapters(now time.Time, f *fleet, table *placementTable, out *Output) {
	for _, m := range table.placements {
		if f.models[m.model].AdapterCount > 0 {
			p.preloadAdaptersOf(now, f, m, out)
		}
	}
}

// preloadAdaptersOf preloads the adapters of one model. The first unplaced adapter is determined again only after an
// order, because nothing else changes it.
func (p *Placer) preloadAdaptersOf(now time.Time, f *fleet, m *modelPlacement, out *Output) {
	count := f.models[m.model].AdapterCount
	name := m.firstUnplacedAdapter(count)
	for _, r := range m.replicas {
		e := r.endpoint
		if name == "" {
			return
		}
		if e.find(m.model) == nil || !p.acceptsAdapterOrder(now, e) || !f.hasAdapterSlot(e, m.model) {
			continue
		}
		if p.issue(now, f, e, Order{Model: m.model, Adapter: name, Reason: "a place is free"}, out) {
			name = m.firstUnplacedAdapter(count)
		}
	}
}

// firstUnplacedAdapter returns the first of the model's adapters, which are named a1, a2 and so on, that is loaded
// nowhere. It returns an empty string if there is none.
func (m *modelPlacement) firstUnplacedAdapter(count int) string {
	for i := 1; i <= count; i++ {
		name := "a" + strconv.Itoa(i)
		if m.adapterReplicas(name) == 0 {
			return name
		}
	}
	return ""
}

// adapterSlotValue returns the value per second of the adapter slots that one more replica of the model brings.
func (p *Placer) adapterSlotValue(now time.Time, f *fleet, m *modelPlacement, observed time.Duration) float64 {
	inUse, rate := 0, 0.0
	for _, d := range m.demand.adapters {
		if now.Sub(d.lastRequestAt) <= adapterActiveWindow {
			inUse++
			rate += d.slowRate.rate(observed, slowTimeConstant)
		}
	}
	if inUse == 0 {
		return 0
	}
	slots := f.engine.AdapterSlots * len(m.replicas)
	added := min(inUse, slots+f.engine.AdapterSlots) - min(inUse, slots)
	return adapterMissLoss * rate * m.demand.value * float64(added) / float64(inUse)
}
