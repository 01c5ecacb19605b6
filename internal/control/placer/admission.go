package placer

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Reasons why an order is not admissible.
var (
	errOrderPending         = errors.New("an order may be under way, or the backoff after a rejection is not over")
	errStateUnknown         = errors.New("the endpoint's state is not known exactly")
	errMemoryExceeded       = errors.New("weights_mb would be exceeded")
	errAdapterSlotsExceeded = errors.New("adapter_slots would be exceeded")
	errNotConfigured        = errors.New("the model is not in the configuration")
	errNotLoaded            = errors.New("the model or adapter is not loaded")
	errAlreadyLoaded        = errors.New("the model is loaded already")
	errLoadRateExceeded     = errors.New("the load rate limit would be exceeded")
)

// checkAdmissible checks an order immediately before it is issued: one order at a time at an endpoint, the rules
// LIMIT and CEILING. It relies on nothing that the planning concluded.
func (p *Placer) checkAdmissible(now time.Time, f *fleet, e *endpoint, order Order) error {
	if e.pending != nil || now.Before(e.backoffUntil) {
		return errOrderPending
	}
	if p.config.InspectEndpoints && !e.stateKnown {
		return errStateUnknown
	}
	switch {
	case order.Unload:
		return f.checkUnload(e, order)
	case order.Adapter != "":
		return f.checkAdapterLoad(e, order)
	}
	return p.checkModelLoad(now, f, e, order)
}

func (p *Placer) checkModelLoad(now time.Time, f *fleet, e *endpoint, order Order) error {
	model, configured := f.models[order.Model]
	if !configured {
		return fmt.Errorf("load %s: %w", order.Model, errNotConfigured)
	}
	if e.find(order.Model) != nil {
		return fmt.Errorf("load %s: %w", order.Model, errAlreadyLoaded)
	}
	if f.freeMemoryMB(e) < model.WeightsMB {
		return errMemoryExceeded
	}
	if !e.onDisk[order.Model] && !p.loadLimiter.allows(now) {
		return errLoadRateExceeded
	}
	return nil
}

func (f *fleet) checkUnload(e *endpoint, order Order) error {
	found := e.find(order.Model)
	if found == nil || (order.Adapter != "" && !found.hasAdapter(order.Adapter)) {
		return errNotLoaded
	}
	return nil
}

func (f *fleet) checkAdapterLoad(e *endpoint, order Order) error {
	model, configured := f.models[order.Model]
	if !configured {
		return errNotConfigured
	}
	if e.find(order.Model) == nil {
		return errNotLoaded
	}
	if f.freeMemoryMB(e) < model.AdapterSizeMB {
		return errMemoryExceeded
	}
	if f.freeAdapterSlots(e) < 1 {
		return errAdapterSlotsExceeded
	}
	return nil
}

// issue adds an admissible order to the output and makes it the endpoint's pending one. It reports false, and counts
// a defect of the planning, if the order is not admissible.
func (p *Placer) issue(now time.Time, f *fleet, e *endpoint, order Order, out *Output) bool {
	if err := p.checkAdmissible(now, f, e, order); err != nil {
		p.counters.Inadmissible++
		return false
	}
	p.lastOrderID++
	order.ID = p.lastOrderID
	order.Endpoint, order.Address = e.ID, e.Address
	if p.config.InspectEndpoints {
		revision := e.revision
		order.Revision = &revision
	}
	e.pending = &pendingOrder{order: order, sentAt: now, expectedAt: now.Add(p.expectedDuration(f, e, order))}
	if found := e.find(order.Model); found != nil && order.Unload {
		e.pending.adapterSeen = slices.Contains(found.reportedAdapters, order.Adapter)
	}
	p.unanswered[order.ID] = e
	p.countOrder(e, order)
	out.Orders = append(out.Orders, order)
	return true
}

// countOrder counts an issued order, a load from the store in the load rate limit too.
func (p *Placer) countOrder(e *endpoint, order Order) {
	switch {
	case order.Adapter != "":
		p.counters.Adapters++
	case order.Unload:
		p.counters.Unloads++
	default:
		p.counters.Loads++
		if e.onDisk[order.Model] {
			p.counters.WarmLoads++
			return
		}
		p.loadLimiter.addOrdered(order.ID)
	}
}

// expectedDuration is how long an order should take, until it is asked for by an inspection.
func (p *Placer) expectedDuration(f *fleet, e *endpoint, order Order) time.Duration {
	switch {
	case order.Adapter != "":
		return adapterLoadTime
	case order.Unload:
		return firstInspectionDelay
	default:
		return p.loadTime(f, e, order.Model)
	}
}
