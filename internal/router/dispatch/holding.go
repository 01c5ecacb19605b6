package dispatch

import (
	"math"
	"slices"

	"raventrestle/internal/protocol"
)

// connectionShare is the part of an endpoint's connections that all routers together open: shares of
// traffic aren't even, and an endpoint resets what goes beyond.
const connectionShare = 0.8

// hold makes the endpoint's holdings those that were told.
func (d *Decider) hold(e *endpoint, models []protocol.LoadedModel, newer bool) {
	d.holdOne(e, "", nil, newer) // requests that name no model go to any endpoint
	for i := len(e.holdings) - 1; i >= 0; i-- {
		h := e.holdings[i]
		named := func(m protocol.LoadedModel) bool { return m.Name == h.group.model }
		if h.group.model != "" && !slices.ContainsFunc(models, named) {
			d.release(e, h)
		}
	}
	for i := range models {
		d.holdOne(e, models[i].Name, models[i].Adapters, newer)
	}
}

func (d *Decider) holdOne(e *endpoint, model string, adapters []string, newer bool) {
	h := e.holding(model)
	if h == nil {
		g := e.service.groupNamed(model)
		h = &holding{group: g, at: e}
		e.holdings = append(e.holdings, h)
		g.holders = append(g.holders, h)
	}
	if newer || len(h.presumed) == 0 {
		h.adapters = adapters
	}
	if newer {
		h.presumed = nil
		d.believe(h)
	}
}

// believe: newer news of the table count again, after what was told to the contrary.
func (d *Decider) believe(h *holding) {
	for adapter, w := range h.wrong {
		if h.at.sequence > w.sequence && d.now >= w.until {
			delete(h.wrong, adapter)
		}
	}
}

// release takes a holding away: the endpoint no longer has the model, nor what it kept of its prompts.
func (d *Decider) release(e *endpoint, h *holding) {
	e.holdings = without(e.holdings, h)
	h.group.holders = without(h.group.holders, h)
	h.group.changes++
}

// without returns the list less its member x.
func without[T comparable](list []T, x T) []T {
	i := slices.Index(list, x)
	if i < 0 {
		return list
	}
	return slices.Delete(list, i, i+1)
}

// takesRequests: it neither drains nor is gone.
func (e *endpoint) takesRequests() bool {
	return e.state != protocol.Draining && e.state != protocol.Departed
}

// holding returns what the endpoint holds of a model, nil if nothing.
func (e *endpoint) holding(model string) *holding {
	for _, h := range e.holdings {
		if h.group.model == model {
			return h
		}
	}
	return nil
}

// has says whether the holding serves the adapter, as far as is known.
func (h *holding) has(adapter string) bool {
	if len(h.wrong) > 0 {
		if _, told := h.wrong[adapter]; told {
			return false
		}
		if _, told := h.wrong[""]; told {
			return false
		}
	}
	return adapter == "" || slices.Contains(h.adapters, adapter) || h.unproven(adapter)
}

// changed: a place may have become free for all that the endpoint holds.
func (e *endpoint) changed() {
	for _, h := range e.holdings {
		h.group.changes++
	}
}

// places is how many requests the endpoint works on at once.
func (e *endpoint) places() int {
	if e.slots > 0 {
		return e.slots
	}
	if engine := e.service.engine(); engine != nil && engine.Slots > 0 {
		return engine.Slots
	}
	return 1
}

// connections is how many connections this router may have open to the endpoint.
func (d *Decider) connections(s *service) int {
	if s.config == nil || s.config.MaxConnections <= 0 {
		return math.MaxInt32
	}
	return max(1, int(float64(s.config.MaxConnections)/float64(d.routers)*connectionShare))
}

// heard takes over what an endpoint said of its load. This router's own calls are taken off.
func (d *Decider) heard(e *endpoint, load *AdvertisedLoad) {
	if load == nil {
		return
	}
	if load.Slots > 0 {
		e.slots = load.Slots
	}
	own := len(e.calls) - len(e.unanswered)
	e.told = told{
		running: max(load.Running-own, 0),
		waiting: max(load.Waiting-len(e.unanswered), 0),
		at:      d.now,
		ever:    true,
	}
}
