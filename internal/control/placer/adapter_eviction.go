package placer

import (
	"fmt"
	"slices"
	"time"
)

const (
	// adapterIdleTimeout is how long after its last request an adapter may be evicted at once.
	adapterIdleTimeout = 2500 * time.Millisecond
	// minAdapterResidency is how long an adapter in use stays before it may be evicted for one that is loaded
	// nowhere.
	minAdapterResidency = 2 * time.Second
	// adapterReservationTTL is how long a slot that was freed is kept for the adapter it was freed for.
	adapterReservationTTL = time.Second
)

// loadedAdapter is an adapter loaded at an endpoint.
type loadedAdapter struct {
	adapterKey
	endpoint      *endpoint
	lastRequestAt time.Time // zero: nobody has asked for it
	loadedAt      time.Time // zero: before it was observed
	running       int       // requests in flight or waiting
	replicated    bool      // another endpoint has it loaded too
}

// isIdle reports whether nobody has asked for the adapter lately.
func (a loadedAdapter) isIdle(now time.Time) bool {
	return a.running == 0 && now.Sub(a.lastRequestAt) >= adapterIdleTimeout
}

// evictBefore is the order of eviction: idle adapters first, by their last request; then those that are loaded
// elsewhere too; then those without requests at the moment; then by the time since they were loaded, the longest
// first.
func (a loadedAdapter) evictBefore(now time.Time, other loadedAdapter) bool {
	if idle := a.isIdle(now); idle != other.isIdle(now) {
		return idle
	} else if idle {
		return a.lastRequestAt.Before(other.lastRequestAt)
	}
	if a.replicated != other.replicated {
		return a.replicated
	}
	if unused := a.running == 0; unused != (other.running == 0) {
		return unused
	}
	return a.loadedAt.Before(other.loadedAt)
}

// adapterToEvict returns the endpoint's adapter that is the first to evict, false if there is none. An adapter in use
// may be evicted only where mayEvictActive allows it, and after minAdapterResidency.
func (p *Placer) adapterToEvict(now time.Time, f *fleet, e *endpoint, mayEvictActive bool) (loadedAdapter, bool) {
	first := loadedAdapter{}
	for i := range e.models {
		m := &e.models[i]
		for _, adapter := range m.adapters {
			a := loadedAdapter{adapterKey: adapterKey{m.model, adapter}, endpoint: e, loadedAt: m.adapterSince(adapter)}
			if d := p.demand.adapterDemandOf(f.name, m.model, adapter); d != nil {
				a.lastRequestAt, a.running = d.lastRequestAt, d.running+d.waiting
			}
			if !a.isIdle(now) && (!mayEvictActive || now.Sub(a.loadedAt) < minAdapterResidency) {
				continue
			}
			a.replicated = f.isAdapterLoadedElsewhere(a.adapterKey, e)
			if first.endpoint == nil || a.evictBefore(now, first) {
				first = a
			}
		}
	}
	return first, first.endpoint != nil
}

// isAdapterLoadedElsewhere reports whether an endpoint other than the given one has the adapter loaded and keeps its
// model.
func (f *fleet) isAdapterLoadedElsewhere(key adapterKey, excluded *endpoint) bool {
	return slices.ContainsFunc(f.sortedEndpoints, func(e *endpoint) bool {
		if e == excluded || !e.isReady() || e.isUnloading(key.model) {
			return false
		}
		loaded := e.find(key.model)
		return loaded != nil && loaded.hasAdapter(key.adapter)
	})
}

// evictAdapter evicts an adapter for another one, and reserves the slot for that.
func (p *Placer) evictAdapter(now time.Time, f *fleet, victim loadedAdapter, need adapterNeed, out *Output) bool {
	reason := fmt.Sprintf("place for %s of %s: %d waiting, %.1f refused", need.adapter, need.model, need.demand.waiting,
		need.demand.unmet)
	order := Order{Model: victim.model, Adapter: victim.adapter, Unload: true, Reason: reason}
	if !p.issue(now, f, victim.endpoint, order, out) {
		return false
	}
	victim.endpoint.adapterReservation = adapterReservation{need.adapterKey, now.Add(adapterReservationTTL)}
	f.adapterEvictedAt[victim.adapterKey] = now
	return true
}

// adapterReservation keeps a slot of an endpoint for an adapter.
type adapterReservation struct {
	adapterKey
	until time.Time
}

// isReserved reports whether a slot is reserved for the adapter somewhere.
func (f *fleet) isReserved(now time.Time, key adapterKey) bool {
	return slices.ContainsFunc(f.sortedEndpoints, func(e *endpoint) bool {
		return now.Before(e.adapterReservation.until) && e.adapterReservation.adapterKey == key
	})
}

// slotAvailableTo reports whether a free slot of the endpoint may go to the adapter: no other one has it reserved.
func (e *endpoint) slotAvailableTo(now time.Time, key adapterKey) bool {
	return !now.Before(e.adapterReservation.until) || e.adapterReservation.adapterKey == key
}
