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
	sizes            sizeInterval  // of the prompts that it prefers
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
		res := e.residencies[i]
		loaded := func(m protocol.LoadedModel) bool { return m.Name == res.group.model }
		if res.group.model != "" && !slices.ContainsFunc(models, loaded) {
			d.removeResidency(e, res)
		}
	}
	for i := range models {
		d.ensureResidency(e, models[i].Name, models[i].Adapters, newer)
	}
}

// ensureResidency adds or updates the residency of a model.
func (d *Decider) ensureResidency(e *endpoint, model string, adapters []string, newer bool) {
	res := e.residencyOf(model)
	if res == nil {
		g := e.service.ensureGroup(model)
		res = &residency{group: g, endpoint: e}
		e.residencies = append(e.residencies, res)
		g.residencies = append(g.residencies, res)
		g.sizeOrderStale = true
	}
	if newer || len(res.unverified) == 0 {
		res.adapters = adapters
	}
	if newer {
		res.unverified = nil
		d.expireMisdirections(res)
	}
}

// expireMisdirections forgets answers 421 that are older than the table.
func (d *Decider) expireMisdirections(res *residency) {
	for adapter, w := range res.misdirections {
		if res.endpoint.sequence > w.sequence && d.now >= w.expiresAt {
			delete(res.misdirections, adapter)
		}
	}
}

// removeResidency removes a residency with its prefix cache: the endpoint no longer has the model.
func (d *Decider) removeResidency(e *endpoint, res *residency) {
	e.residencies = remove(e.residencies, res)
	res.group.residencies = remove(res.group.residencies, res)
	res.group.sizeOrderStale = true
	res.group.version++
}

// residencyOf returns the endpoint's residency of a model, nil without.
func (e *endpoint) residencyOf(model string) *residency {
	for _, res := range e.residencies {
		if res.group.model == model {
			return res
		}
	}
	return nil
}

// serves reports whether the residency has the adapter, as far as is known.
func (res *residency) serves(adapter string) bool {
	if len(res.misdirections) > 0 {
		if _, misdirected := res.misdirections[adapter]; misdirected {
			return false
		}
		if _, misdirected := res.misdirections[""]; misdirected {
			return false
		}
	}
	return adapter == "" || slices.Contains(res.adapters, adapter) || res.isUnverified(adapter)
}

// remove returns the list without its member x. The list's array is reused.
func remove[T comparable](list []T, x T) []T {
	i := slices.Index(list, x)
	if i < 0 {
		return list
	}
	return slices.Delete(list, i, i+1)
}
