package dispatch

import (
	"math"
	"slices"

	"raventrestle/internal/protocol"
)

// connectionShare is the part of an endpoint's connections that all routers together open: shares of
// traffic aren't even, and an endpoint resets what goes beyond.
const routerConnectionFraction = 0.8

// updateResidencies makes the endpoint's holdings those that were told.
func (d *Decider) updateResidencies(e *endpoint, models []protocol.LoadedModel, newer bool) {
	d.ensureResidency(e, "", nil, newer) // requests that name no model go to any endpoint
	for i := len(e.residencies) - 1; i >= 0; i-- {
		h := e.residencies[i]
		named := func(m protocol.LoadedModel) bool { return m.Name == h.group.model }
		if h.group.model != "" && !slices.ContainsFunc(models, named) {
			d.removeResidency(e, h)
		}
	}
	for i := range models {
		d.ensureResidency(e, models[i].Name, models[i].Adapters, newer)
	}
}

func (d *Decider) ensureResidency(e *endpoint, model string, adapters []string, newer bool) {
	h := e.residencyOf(model)
	if h == nil {
		g := e.service.ensureGroup(model)
		h = &residency{group: g, endpoint: e}
		e.residencies = append(e.residencies, h)
		g.residencies = append(g.residencies, h)
	}
	if newer || len(h.unverified) == 0 {
		h.adapters = adapters
	}
	if newer {
		h.unverified = nil
		d.expireMisdirections(h)
	}
}

// believe: newer news of the table count again, after what was told to the contrary.
func (d *Decider) expireMisdirections(h *residency) {
	for adapter, w := range h.misdirections {
		if h.endpoint.sequence > w.sequence && d.now >= w.expiresAt {
			delete(h.misdirections, adapter)
		}
	}
}

// removeResidency takes a holding away: the endpoint no longer has the model, nor what it kept of its prompts.
func (d *Decider) removeResidency(e *endpoint, h *residency) {
	e.residencies = remove(e.residencies, h)
	h.group.residencies = remove(h.group.residencies, h)
	h.group.version++
}

// remove returns the list less its member x.
func remove[T comparable](list []T, x T) []T {
	i := slices.Index(list, x)
	if i < 0 {
		return list
	}
	return slices.Delete(list, i, i+1)
}

// takesRequests: it neither drains nor is gone.
func (e *endpoint) acceptsRequests() bool {
	return e.state != protocol.Draining && e.state != protocol.Departed
}

// residencyOf returns what the endpoint holds of a model, nil if nothing.
func (e *endpoint) residencyOf(model string) *residency {
	for _, h := range e.residencies {
		if h.group.model == model {
			return h
		}
	}
	return nil
}

// serves says whether the holding serves the adapter, as far as is known.
func (h *residency) serves(adapter string) bool {
	if len(h.misdirections) > 0 {
		if _, told := h.misdirections[adapter]; told {
			return false
		}
		if _, told := h.misdirections[""]; told {
			return false
		}
	}
	return adapter == "" || slices.Contains(h.adapters, adapter) || h.isUnverified(adapter)
}

// changed: a place may have become free for all that the endpoint holds.
func (e *endpoint) capacityChanged() {
	for _, h := range e.residencies {
		h.group.version++
	}
}

// slotCount is how many requests the endpoint works on at once.
func (e *endpoint) slotCount() int {
	if e.slots > 0 {
		return e.slots
	}
	if engine := e.service.engine(); engine != nil && engine.Slots > 0 {
		return engine.Slots
	}
	return 1
}

// maxConnections is how many connections this router may have open to the endpoint.
func (d *Decider) maxConnections(s *service) int {
	if s.config == nil || s.config.MaxConnections <= 0 {
		return math.MaxInt32
	}
	return max(1, int(float64(s.config.MaxConnections)/float64(d.routerCount)*routerConnectionFraction))
}

// recordAdvertisedLoad takes over what an endpoint said of its load. This router's own calls are taken off.
func (d *Decider) recordAdvertisedLoad(e *endpoint, load *AdvertisedLoad) {
	if load == nil {
		return
	}
	if load.Slots > 0 {
		e.slots = load.Slots
	}
	own := len(e.inFlight) - len(e.awaitingFirstByte)
	e.advertised = advertisedLoad{
		running:    max(load.Running-own, 0),
		waiting:    max(load.Waiting-len(e.awaitingFirstByte), 0),
		receivedAt: d.now,
		known:      true,
	}
}
