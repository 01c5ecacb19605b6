package dispatch

import (
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// Residencies: which models are in the memory of which endpoints.

// residency is one model in the memory of one endpoint, with what this router has learned about it.
type residency struct {
	group            *modelGroup
	endpoint         *endpoint
	adapters         []string
	misdirections    map[string]misdirection // answers 421, by adapter
	prefixCache      prefixCache
	misdirectionTTL  time.Duration
	unverified       []string      // adapters that are assumed to be loaded by now; "" for the model itself
	verifications    int           // calls in flight that verify an assumption
	rejectionBackoff time.Duration // after rejections that concern only this model
	notBefore        time.Duration // no call is sent earlier
	sizeInterval     sizeInterval  // of the prompts that it prefers
}

// misdirection is an answer 421. It overrides the table until an update that is newer than sequence arrives after
// expiresAt.
type misdirection struct {
	sequence  uint64
	expiresAt time.Duration
}

// updateResidencies replaces the endpoint's residencies by those of an update. newer is true if the update is newer
// than the known state.
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
		g.sizeIntervalsStale = true
	}
	if newer || len(res.unverified) == 0 {
		res.adapters = adapters
	}
	if newer {
		res.unverified = nil
		d.expireMisdirections(res)
	}
}

// expireMisdirections removes answers 421 that have expired and are older than the table.
func (d *Decider) expireMisdirections(res *residency) {
	for adapter, answer := range res.misdirections {
		if res.endpoint.sequence > answer.sequence && d.now >= answer.expiresAt {
			delete(res.misdirections, adapter)
		}
	}
}

// removeResidency removes a residency with its prefix cache, because the endpoint no longer has the model.
func (d *Decider) removeResidency(e *endpoint, res *residency) {
	e.residencies = remove(e.residencies, res)
	res.group.residencies = remove(res.group.residencies, res)
	res.group.sizeIntervalsStale = true
	res.group.version++
}

// residencyOf returns the endpoint's residency of a model, or nil.
func (e *endpoint) residencyOf(model string) *residency {
	for _, res := range e.residencies {
		if res.group.model == model {
			return res
		}
	}
	return nil
}

// serves reports whether the residency has the adapter, as far as this router knows.
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

// remove returns the list without x. It reuses the list's array.
func remove[T comparable](list []T, x T) []T {
	i := slices.Index(list, x)
	if i < 0 {
		return list
	}
	return slices.Delete(list, i, i+1)
}
