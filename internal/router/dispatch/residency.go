package dispatch

import (
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// Residencies: which endpoint has which model in memory.

// residency is one model in the memory of one endpoint, with what this router learned of it.
type residency struct {
	group            *modelGroup
	endpoint         *endpoint
	adapters         []string
	misdirections    map[string]misdirection // by adapter: 421 was answered
	prefixCache      prefixCache
	misdirectionTTL  time.Duration
	unverified       []string      // adapters assumed to be loaded by now; "": the model itself
	verifications    int           // calls in flight that verify the assumption
	rejectionBackoff time.Duration // after rejections that concern this model alone
	notBefore        time.Duration // no call earlier
}

// misdirection is an answer 421: it outweighs the table until a newer update arrives after expiresAt.
type misdirection struct {
	sequence  uint64
	expiresAt time.Duration
}

// updateResidencies makes the endpoint's residencies those of an update; newer: the update is newer than what was known.
func (d *Decider) updateResidencies(e *endpoint, models []protocol.LoadedModel, newer bool) {
	d.ensureResidency(e, "", nil, newer) // requests that name no model may be sent to any endpoint
	for i := len(e.residencies) - 1; i >= 0; i-- {
		h := e.residencies[i]
		loaded := func(m protocol.LoadedModel) bool { return m.Name == h.group.model }
		if h.group.model != "" && !slices.ContainsFunc(models, loaded) {
			d.removeResidency(e, h)
		}
	}
	for i := range models {
		d.ensureResidency(e, models[i].Name, models[i].Adapters, newer)
	}
}

// ensureResidency adds or updates the residency of a model.
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

// expireMisdirections forgets answers 421 that are older than the table.
func (d *Decider) expireMisdirections(h *residency) {
	for adapter, w := range h.misdirections {
		if h.endpoint.sequence > w.sequence && d.now >= w.expiresAt {
			delete(h.misdirections, adapter)
		}
	}
}

// removeResidency removes a residency with its prefix cache: the endpoint no longer has the model.
func (d *Decider) removeResidency(e *endpoint, h *residency) {
	e.residencies = remove(e.residencies, h)
	h.group.residencies = remove(h.group.residencies, h)
	h.group.version++
}

// residencyOf returns the endpoint's residency of a model, nil without.
func (e *endpoint) residencyOf(model string) *residency {
	for _, h := range e.residencies {
		if h.group.model == model {
			return h
		}
	}
	return nil
}

// serves reports whether the residency has the adapter, as far as is known.
func (h *residency) serves(adapter string) bool {
	if len(h.misdirections) > 0 {
		if _, misdirected := h.misdirections[adapter]; misdirected {
			return false
		}
		if _, misdirected := h.misdirections[""]; misdirected {
			return false
		}
	}
	return adapter == "" || slices.Contains(h.adapters, adapter) || h.isUnverified(adapter)
}

// remove returns the list without its member x. The list's array is reused.
func remove[T comparable](list []T, x T) []T {
	i := slices.Index(list, x)
	if i < 0 {
		return list
	}
	return slices.Delete(list, i, i+1)
}
