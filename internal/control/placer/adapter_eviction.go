package placer

import (
	"fmt"
	"slices"
	"time"
)

const (
	// adapterIdleTimeout is how long after its last request an adapter becomes idle and may be evicted at once.
	adapterIdleTimeout = 2500 * time.Millisecond
	// minAdapterResidency is how long an adapter in use stays loaded before it may be evicted for an adapter that is
	// loaded nowhere.
	minAdapterResidency = 2 * time.Second
	// adapterReservationTTL is how long a freed slot is reserved for the adapter that it was freed for.
	adapterReservationTTL = time.Second
)

// loadedAdapter is an adapter loaded at an endpoint.
type loadedAdapter struct {
	adapterKey
	endpoint      *endpoint
	lastRequestAt time.Time // zero: it has not been requested
	loadedAt      time.Time // zero: this placer did not load it
	running       int       // requests in flight or waiting
	replicated    bool      // the adapter is also loaded at another endpoint
}

// isIdle reports whether the adapter has no requests and had none within adapterIdleTimeout.
func (a loadedAdapter) isIdle(now time.Time) bool {
	return a.running == 0 && now.Sub(a.lastRequestAt) >= adapterIdleTimeout
}

// isEvictedBefore reports whether the adapter is evicted before the other one. Idle adapters come first, the longest
// idle first; then adapters that are also loaded elsewhere; then adapters without current requests; then the adapters
// that were loaded first.
func (a loadedAdapter) isEvictedBefore(now time.Time, other loadedAdapter) bool {
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

// adapterToEvict returns the adapter that the endpoint evicts first, false if there is none. An adapter in use may be
// evicted only with mayEvictActive, and only after minAdapterResidency.
func (p *Placer) adapterToEvict(now time.Time, f *fleet, e *endpoint, mayEvictActive bool) (loadedAdapter, bool) {
	victim := loadedAdapter{}
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
			if victim.endpoint == nil || a.isEvictedBefore(now, victim) {
				victim = a
			}
		}
	}
	return victim, victim.endpoint != nil
}

// isAdapterLoadedElsewhere reports whether an endpoint other than the excluded one has the adapter loaded and keeps its
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

// evictAdapter evicts an adapter to free its slot for the needed adapter, and reserves the slot.
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

// adapterReservation reserves a slot of an endpoint for an adapter.
type adapterReservation struct {
	adapterKey
	until time.Time
}

// isReserved reports whether any endpoint has a slot reserved for the adapter.
func (f *fleet) isReserved(now time.Time, key adapterKey) bool {
	return slices.ContainsFunc(f.sortedEndpoints, func(e *endpoint) bool {
		return now.Before(e.adapterReservation.until) && e.adapterReservation.adapterKey == key
	})
}

// slotAvailableTo reports whether a free slot of the endpoint may be used for the adapter: it is not reserved for
// another one.
func (e *endpoint) slotAvailableTo(now time.Time, key adapterKey) bool {
	return !now.Before(e.adapterReservation.until) || e.adapterReservation.adapterKey == key
}
