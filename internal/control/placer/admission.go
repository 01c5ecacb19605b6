package placer

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Reasons why an order is inadmissible.
var (
	errOrderPending         = errors.New("an order may be in progress, or the backoff after a rejection has not ended")
	errStateUnknown         = errors.New("the endpoint's state is not exactly known")
	errMemoryExceeded       = errors.New("weights_mb would be exceeded")
	errAdapterSlotsExceeded = errors.New("adapter_slots would be exceeded")
	errNotConfigured        = errors.New("the model is not in the configuration")
	errNotLoaded            = errors.New("the model or adapter is not loaded")
	errAlreadyLoaded        = errors.New("the model is already loaded")
	errLoadRateExceeded     = errors.New("the load rate limit would be exceeded")
)

// checkAdmissible checks an order immediately before it is issued: at most one order at a time per endpoint, and the
// rules LIMIT and CEILING. It does not rely on any result of the planning.
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

// issue adds an admissible order to the output and makes it the endpoint's pending order. An inadmissible order shows a
// bug in the planning: issue counts it and reports false.
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

// countOrder counts an issued order. It also counts a load from the store in the load rate limit.
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

// expectedDuration returns how long an order should take. An inspection is due when this time has passed.
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
