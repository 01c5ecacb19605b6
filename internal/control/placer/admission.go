package placer

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"raventrestle/internal/configuration"
)

// Reasons why the last gate holds an order back.
var (
	errOrderPending         = errors.New("an order may be under way")
	errStateUnknown         = errors.New("what the endpoint holds is not surely known")
	errMemoryExceeded       = errors.New("beyond weights_mb")
	errAdapterSlotsExceeded = errors.New("beyond adapter_slots")
	errNotLoaded            = errors.New("not there")
	errAlreadyLoaded        = errors.New("held already")
	errLoadRateExceeded     = errors.New("beyond the ceiling of loads")
)

// checkAdmissible is the last look at an order before it leaves: LIMIT, CEILING, one order at a time. It relies on
// nothing that the planning concluded.
func (p *Placer) checkAdmissible(now time.Time, f *fleet, e *endpoint, order Order) error {
	if e.pending != nil || now.Before(e.backoffUntil) {
		return errOrderPending
	}
	if p.config.InspectEndpoints && !e.stateKnown {
		return errStateUnknown
	}
	if order.Unload {
		return f.checkUnload(e, order)
	}
	if order.Adapter != "" {
		return f.checkAdapterLoad(e, order)
	}
	model, exists := f.models[order.Model]
	if !exists {
		return fmt.Errorf("load %s: %w", order.Model, errNotLoaded)
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
	model, exists := f.models[order.Model]
	if !exists || e.find(order.Model) == nil {
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

// freeMemoryMB is what is surely free of weights_mb: everything counts that may be there or may be arriving.
func (f *fleet) freeMemoryMB(e *endpoint) float64 {
	room := f.engine.WeightMemoryMB
	for i := range e.models {
		room -= f.modelMemoryMB(&e.models[i])
	}
	if e.pending != nil && !e.pending.order.Unload {
		room -= f.orderMemoryMB(e.pending.order)
	}
	if !e.stateKnown && !e.inheritedOrdersOver {
		room -= f.maxModelMB
	}
	return room
}

// modelMemoryMB is what a copy takes with its adapters. A model that the configuration does not know may take everything.
func (f *fleet) modelMemoryMB(c *loadedModel) float64 {
	model, exists := f.models[c.model]
	if !exists {
		return f.engine.WeightMemoryMB
	}
	return model.WeightsMB + float64(len(c.adapters))*model.AdapterSizeMB
}

func (f *fleet) orderMemoryMB(order Order) float64 {
	model := f.models[order.Model]
	if order.Adapter != "" {
		return model.AdapterSizeMB
	}
	return model.WeightsMB
}

// freeAdapterSlots is how many adapters more the endpoint surely takes.
func (f *fleet) freeAdapterSlots(e *endpoint) int {
	free := f.engine.AdapterSlots
	for i := range e.models {
		free -= len(e.models[i].adapters)
	}
	if e.pending != nil && !e.pending.order.Unload && e.pending.order.Adapter != "" {
		free--
	}
	if !e.stateKnown && !e.inheritedOrdersOver {
		free--
	}
	return free
}

// adapterReserveMB is the room that a model's adapters may take beside its weights.
func (f *fleet) adapterReserveMB(model configuration.Model) float64 {
	return float64(min(model.AdapterCount, f.engine.AdapterSlots)) * model.AdapterSizeMB
}

// issue sends an order through the gate; false if it was held back.
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
	p.countOrder(f, e, order)
	out.Orders = append(out.Orders, order)
	return true
}

func (p *Placer) countOrder(f *fleet, e *endpoint, order Order) {
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

// expectedDuration is how long an order should take.
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

// warmShare is how long a load from the endpoint's own disk lasts, against one from the store.
const warmLoadShare = 0.23

func (p *Placer) loadTime(f *fleet, e *endpoint, model string) time.Duration {
	seconds := f.models[model].LoadTimeSeconds
	if p.likelyWarm(f, e, model) {
		seconds *= warmLoadShare
	}
	return time.Duration(seconds * float64(time.Second))
}
