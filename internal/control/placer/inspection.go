package placer

import (
	"math"
	"time"

	"raventrestle/internal/protocol"
)

const (
	// inspectionInterval is the time until an inspection is repeated that brought no answer or nothing new.
	inspectionInterval = 300 * time.Millisecond
	// firstInspectionDelay is the time from an order without an answer, or an unload, to the first inspection: an
	// endpoint's report is about 100 ms old.
	firstInspectionDelay = 120 * time.Millisecond
	// lateArrivalWindow is how long an order without an answer may still arrive at its endpoint.
	lateArrivalWindow = time.Second
	// minLoadTimeShare is the shortest time of a load from the store, as a share of load_time_s.
	minLoadTimeShare = 0.9
)

// requestInspections asks for the inspections that are due.
func (p *Placer) requestInspections(now time.Time, f *fleet, out *Output) {
	if !p.config.InspectEndpoints {
		return
	}
	for _, e := range f.sortedEndpoints {
		if e.State == protocol.Unresponsive || e.inspectAt.IsZero() || now.Before(e.inspectAt) {
			continue
		}
		e.inspectAt = now.Add(inspectionInterval)
		p.counters.Inspections++
		out.Inspect = append(out.Inspect, e.ID)
	}
}

// handleInspection takes an endpoint's own report in, or that none came.
func (p *Placer) handleInspection(now time.Time, inspection Inspection) {
	for _, f := range p.fleets {
		e := f.endpoints[inspection.Endpoint]
		if e == nil {
			continue
		}
		if !inspection.Failed && !inspection.Busy {
			p.loadLimiter.observeIdle(now, inspection.Endpoint, f.minLoadTime(inspection.Models))
		}
		e.observeInspection(now, inspection)
		p.recordWarmModels(f, e)
		return
	}
}

// minLoadTime is the shortest time that a load of one of these models from the store lasts; the longest duration that
// there is if there are none.
func (f *fleet) minLoadTime(models []protocol.LoadedModel) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, loaded := range models {
		loadTime := time.Duration(minLoadTimeShare * f.models[loaded.Name].LoadTimeSeconds * float64(time.Second))
		shortest = min(shortest, loadTime)
	}
	return shortest
}

// observeInspection takes the endpoint's own report in. While an order is sent but not answered it may be from before
// or after the order, and is ignored; so is one that is older than an accepted order, or that can't show yet whether
// an uncertain one arrives.
func (e *endpoint) observeInspection(now time.Time, inspection Inspection) {
	e.inspectAt = now.Add(inspectionInterval)
	if inspection.Failed || (e.pending != nil && e.pending.phase == orderSent) {
		return
	}
	if e.stateKnown && inspection.Revision < e.revision {
		return // older than an order that was accepted
	}
	if e.pending != nil && e.pending.phase == orderUncertain && inspection.Revision == e.revision &&
		now.Sub(e.pending.answeredAt) < lateArrivalWindow {
		return // the order may still arrive
	}
	for _, model := range inspection.Models {
		e.add(model.Name, now)
	}
	if inspection.Busy {
		return
	}
	e.replaceState(now, inspection)
}

// replaceState takes a report without an order under way as the endpoint's exact state.
func (e *endpoint) replaceState(now time.Time, inspection Inspection) {
	e.pending = nil
	e.stateKnown = true
	e.revision = inspection.Revision
	e.inspectAt = time.Time{}
	before := e.models
	e.models = nil
	for _, model := range inspection.Models {
		loaded := e.add(model.Name, now)
		for _, old := range before {
			if old.model == model.Name {
				loaded.loadedAt, loaded.confirmed = old.loadedAt, old.confirmed
				loaded.reportedAdapters, loaded.adapterLoadedAt = old.reportedAdapters, old.adapterLoadedAt
			}
		}
		for _, adapter := range model.Adapters {
			loaded.addAdapter(adapter)
		}
	}
}
