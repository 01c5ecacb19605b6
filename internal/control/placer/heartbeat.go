package placer

import (
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// Numbers of heartbeats after which an effect is assumed that no answer to an order or inspection has confirmed.
const (
	// unloadConfirmations applies to an unloaded model that no heartbeat has ever shown. A heartbeat without the model
	// confirms the unload only if it is at least this many heartbeats newer than the answer to the unload, because the
	// first heartbeat after the answer may have been sent before the unload.
	unloadConfirmations = 2
	// maxMissedHeartbeats is the number of consecutive heartbeats without a model after which the model counts as lost
	// although nobody has unloaded it.
	maxMissedHeartbeats = 4
)

// observeHeartbeat stores the endpoint's registration. It evaluates the registration's models only if the registration
// is newer than the last one.
func (e *endpoint) observeHeartbeat(now time.Time, registration protocol.Endpoint) {
	newer := registration.Sequence > e.Sequence || e.heartbeats == 0
	e.Endpoint = registration
	if !newer {
		return
	}
	e.heartbeats++
	for _, model := range registration.Models {
		e.observeModel(now, model)
	}
	for i := range e.models {
		e.models[i].missedHeartbeats++
		if indexOf(registration.Models, e.models[i].model) >= 0 {
			e.models[i].missedHeartbeats = 0
		}
	}
	e.observeUnloadEffect(now, registration)
	e.removeMissingModels(now)
}

// indexOf returns the index of the model in the list, or -1 if it is not in the list.
func indexOf(models []protocol.LoadedModel, model string) int {
	return slices.IndexFunc(models, func(m protocol.LoadedModel) bool { return m.Name == model })
}

// observeModel processes a model that a heartbeat shows. If the model was neither loaded nor being loaded, somebody else
// has loaded it, so the endpoint's revision is no longer known.
func (e *endpoint) observeModel(now time.Time, reported protocol.LoadedModel) {
	if e.find(reported.Name) == nil {
		if e.heartbeats > 1 && !e.isLoading(reported.Name) {
			e.invalidateState(now)
		}
		e.add(reported.Name, now)
	}
	found := e.find(reported.Name)
	found.confirmed, found.reportedAdapters = true, reported.Adapters
	for _, adapter := range reported.Adapters {
		found.addAdapter(adapter)
	}
	pending := e.pending
	if pending == nil || pending.order.Unload || pending.order.Model != reported.Name {
		return
	}
	if pending.order.Adapter == "" || slices.Contains(reported.Adapters, pending.order.Adapter) {
		e.observeEffect(now)
	}
}

// observeEffect records that a heartbeat shows the effect of the pending order. An order without an answer stays
// pending: the revision is only incremented by the answer, so the next order would name a revision that is one too low,
// and the endpoint would reject it.
func (e *endpoint) observeEffect(now time.Time) {
	if e.pending.phase == orderSent {
		e.pending.effectSeen = true
		return
	}
	e.completeOrder(now)
}

// observeUnloadEffect checks whether a heartbeat shows the effect of a pending unload. A heartbeat may be older than the
// unload, but not if it lacks something that an earlier heartbeat has shown.
func (e *endpoint) observeUnloadEffect(now time.Time, registration protocol.Endpoint) {
	pending := e.pending
	if pending == nil || !pending.order.Unload {
		return
	}
	index := indexOf(registration.Models, pending.order.Model)
	if pending.order.Adapter != "" {
		if index >= 0 && pending.adapterSeen && !slices.Contains(registration.Models[index].Adapters, pending.order.Adapter) {
			e.observeEffect(now)
		}
		return
	}
	found := e.find(pending.order.Model)
	if found == nil {
		e.observeEffect(now)
		return
	}
	isAfterUnload := pending.phase != orderSent && registration.Sequence >= pending.sequenceAtAnswer+unloadConfirmations
	if index < 0 && (found.confirmed || isAfterUnload) {
		e.observeEffect(now)
	}
}

// removeMissingModels removes the models that maxMissedHeartbeats consecutive heartbeats did not show, except for the
// model of the pending order.
func (e *endpoint) removeMissingModels(now time.Time) {
	for _, m := range slices.Clone(e.models) {
		if m.missedHeartbeats >= maxMissedHeartbeats && (e.pending == nil || e.pending.order.Model != m.model) {
			e.remove(m.model)
			e.invalidateState(now)
		}
	}
}
