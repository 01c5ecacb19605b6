package placer

import (
	"math"
	"time"

	"raventrestle/internal/protocol"
)

const (
	// inspectionInterval is the time until an inspection is repeated that brought no answer or nothing new.
	inspectionInterval = 300 * time.Millisecond
	// firstInspectionDelay is the time from an unanswered order, or from an unload, to the first inspection. It allows
	// for the age of an endpoint's report, about 100 ms.
	firstInspectionDelay = 120 * time.Millisecond
	// lateArrivalWindow is how long an unanswered order may still arrive at its endpoint.
	lateArrivalWindow = time.Second
	// minLoadTimeShare is the minimum duration of a load from the store, as a share of load_time_s.
	minLoadTimeShare = 0.9
)

// requestInspections requests the inspections that are due.
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

// handleInspection processes an endpoint's own report, or the failure to get one.
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

// minLoadTime returns the minimum duration of a load from the store over the given models, or the maximum
// time.Duration if there are none.
func (f *fleet) minLoadTime(models []protocol.LoadedModel) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, loaded := range models {
		loadTime := time.Duration(minLoadTimeShare * f.models[loaded.Name].LoadTimeSeconds * float64(time.Second))
		shortest = min(shortest, loadTime)
	}
	return shortest
}

// observeInspection updates the state from the endpoint's own report. It ignores the report in three cases: an order has
// been sent but not answered, so the report may be from before or after it; the report is older than an accepted order;
// or an order without an answer may still arrive.
func (e *endpoint) observeInspection(now time.Time, inspection Inspection) {
	e.inspectAt = now.Add(inspectionInterval)
	if inspection.Failed || (e.pending != nil && e.pending.phase == orderSent) {
		return
	}
	if e.stateKnown && inspection.Revision < e.revision {
		return // older than an accepted order
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

// replaceState makes a report without an order in progress the endpoint's exact state.
func (e *endpoint) replaceState(now time.Time, inspection Inspection) {
	e.pending = nil
	e.stateKnown = true
	e.revision = inspection.Revision
	e.inspectAt = time.Time{}
	previous := e.models
	e.models = nil
	for _, model := range inspection.Models {
		loaded := e.add(model.Name, now)
		for _, old := range previous {
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
