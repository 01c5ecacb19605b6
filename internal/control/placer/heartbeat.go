package placer

import (
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// Heartbeats that must agree before an effect is assumed without an order's or inspection's confirmation.
const (
	// unloadConfirmations is how many heartbeats later than the answer to an unload must lack the model if none has
	// shown it before; the first of them may have been sent before the unload.
	unloadConfirmations = 2
	// maxMissedHeartbeats is how many heartbeats in a row may lack a model that nobody unloaded, until it is taken
	// for lost.
	maxMissedHeartbeats = 4
)

// observeHeartbeat takes the endpoint's registration over. Its models are looked at only if it is newer than the last
// one.
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

// indexOf returns the model's place in the list, -1 if it is not there.
func indexOf(models []protocol.LoadedModel, model string) int {
	return slices.IndexFunc(models, func(m protocol.LoadedModel) bool { return m.Name == model })
}

// observeModel takes in that a heartbeat shows the model. One that was neither there nor on its way has been loaded
// by somebody else, so that the revision is not known any more.
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

// observeEffect takes in that a heartbeat shows the pending order's effect. The revision counts orders by their
// answers, so the order is not over before its answer: the next order would name a revision that is one too low, and
// be rejected.
func (e *endpoint) observeEffect(now time.Time) {
	if e.pending.phase == orderSent {
		e.pending.effectSeen = true
		return
	}
	e.completeOrder(now)
}

// observeUnloadEffect looks whether a heartbeat shows the effect of a pending unload. A heartbeat may be older than
// the unload; one that lacks what an earlier heartbeat has shown is not.
func (e *endpoint) observeUnloadEffect(now time.Time, registration protocol.Endpoint) {
	pending := e.pending
	if pending == nil || !pending.order.Unload {
		return
	}
	at := indexOf(registration.Models, pending.order.Model)
	if pending.order.Adapter != "" {
		if at >= 0 && pending.adapterSeen && !slices.Contains(registration.Models[at].Adapters, pending.order.Adapter) {
			e.observeEffect(now)
		}
		return
	}
	found := e.find(pending.order.Model)
	if found == nil {
		e.observeEffect(now)
		return
	}
	answeredLongAgo := pending.phase != orderSent && registration.Sequence >= pending.sequenceAtAnswer+unloadConfirmations
	if at < 0 && (found.confirmed || answeredLongAgo) {
		e.observeEffect(now)
	}
}

// removeMissingModels removes models that several heartbeats in a row did not show, unless the pending order is for
// them.
func (e *endpoint) removeMissingModels(now time.Time) {
	for _, m := range slices.Clone(e.models) {
		if m.missedHeartbeats >= maxMissedHeartbeats && (e.pending == nil || e.pending.order.Model != m.model) {
			e.remove(m.model)
			e.invalidateState(now)
		}
	}
}
