package placer

import (
	"slices"
	"strings"
	"time"

	"raventrestle/internal/protocol"
)

// orderPhase is the progress of an order.
type orderPhase uint8

const (
	orderSent      orderPhase = iota // no result yet
	orderAccepted                    // the endpoint carries it out
	orderUncertain                   // no answer: the endpoint may have accepted it
)

// pendingOrder is the order that an endpoint may be carrying out, at most one per endpoint. It ends when both its answer
// and its effect are known.
type pendingOrder struct {
	order            Order
	phase            orderPhase
	sentAt           time.Time
	answeredAt       time.Time
	sequenceAtAnswer uint64    // sequence of the newest heartbeat when the answer arrived
	expectedAt       time.Time // when the effect is expected
	effectSeen       bool      // a heartbeat showed the effect before the answer arrived
	adapterSeen      bool      // for an adapter unload: a heartbeat has shown the adapter before
}

// loadsModel reports whether the order is a load of a model rather than of an adapter.
func (o *pendingOrder) loadsModel() bool { return !o.order.Unload && o.order.Adapter == "" }

// unloadsModel reports whether the order is an unload of a model rather than of an adapter.
func (o *pendingOrder) unloadsModel() bool { return o.order.Unload && o.order.Adapter == "" }

// loadedModel is a model in an endpoint's memory.
type loadedModel struct {
	model            string
	adapters         []string // sorted
	loadedAt         time.Time
	missedHeartbeats int                  // consecutive heartbeats that did not show the model
	confirmed        bool                 // a heartbeat has shown the model: the first one without it is newer than its unload
	reportedAdapters []string             // its adapters in the newest heartbeat that showed the model
	adapterLoadedAt  map[string]time.Time // load times of the adapters that this placer loaded
}

func (m *loadedModel) hasAdapter(adapter string) bool { return slices.Contains(m.adapters, adapter) }

func (m *loadedModel) addAdapter(adapter string) {
	if m.hasAdapter(adapter) {
		return
	}
	m.adapters = append(m.adapters, adapter)
	slices.Sort(m.adapters)
}

func (m *loadedModel) removeAdapter(adapter string) {
	m.adapters = slices.DeleteFunc(m.adapters, func(a string) bool { return a == adapter })
}

func (m *loadedModel) setAdapterLoadedAt(adapter string, now time.Time) {
	if m.adapterLoadedAt == nil {
		m.adapterLoadedAt = map[string]time.Time{}
	}
	m.adapterLoadedAt[adapter] = now
}

// adapterSince returns when the adapter was loaded, zero if this placer did not load it.
func (m *loadedModel) adapterSince(adapter string) time.Time { return m.adapterLoadedAt[adapter] }

// endpoint is the placer's knowledge of one endpoint. In case of doubt it assumes less free memory: models contains
// every model that may be loaded, and pending is an order that may still arrive.
type endpoint struct {
	protocol.Endpoint                      // newest registration
	models              []loadedModel      // by name
	pending             *pendingOrder      // nil: no order is in progress
	plan                *plan              // nil: none
	heartbeats          int                // number of heartbeats seen
	revision            uint64             // number of orders accepted by this incarnation; exact while stateKnown
	stateKnown          bool               // revision and models are exact, except for the effect of pending
	inheritedOrdersOver bool               // without inspections: no order of an earlier leader can be in progress
	inspectAt           time.Time          // when the next inspection is due; zero: none
	backoffUntil        time.Time          // no orders before this time
	onDisk              map[string]bool    // models that this incarnation has had in memory and therefore has on its disk
	utilization         float64            // estimated share of its time in use, from the placement table of the current step
	adapterReservation  adapterReservation // slot that was freed for an adapter
}

func (e *endpoint) isReady() bool { return e.State == protocol.Ready }

// find returns the loaded model, nil if the model is not loaded at the endpoint.
func (e *endpoint) find(model string) *loadedModel {
	for i := range e.models {
		if e.models[i].model == model {
			return &e.models[i]
		}
	}
	return nil
}

// add returns the loaded model, adding it if it was not loaded. Adding a model invalidates pointers that were returned
// before.
func (e *endpoint) add(model string, now time.Time) *loadedModel {
	if found := e.find(model); found != nil {
		return found
	}
	e.models = append(e.models, loadedModel{model: model, loadedAt: now})
	slices.SortFunc(e.models, func(a, b loadedModel) int { return strings.Compare(a.model, b.model) })
	e.onDisk[model] = true
	return e.find(model)
}

func (e *endpoint) remove(model string) {
	e.models = slices.DeleteFunc(e.models, func(m loadedModel) bool { return m.model == model })
}

// willServe reports whether the endpoint can serve requests for the model, now or after a load that is in progress or
// planned.
func (e *endpoint) willServe(model string) bool {
	if !e.isReady() || e.isUnloading(model) {
		return false
	}
	return e.find(model) != nil || e.isLoading(model)
}

// isServing reports whether the endpoint has the model loaded and is going to keep it.
func (e *endpoint) isServing(model string) bool {
	return e.isReady() && e.find(model) != nil && !e.isUnloading(model)
}

// isLoading reports whether the model is being loaded or is the target of the endpoint's plan.
func (e *endpoint) isLoading(model string) bool {
	if e.plan != nil && e.plan.target == model {
		return true
	}
	return e.pending != nil && e.pending.loadsModel() && e.pending.order.Model == model
}

// isUnloading reports whether the model is being unloaded or is going to be evicted by the endpoint's plan.
func (e *endpoint) isUnloading(model string) bool {
	if e.plan != nil && slices.Contains(e.plan.evictions, model) {
		return true
	}
	return e.pending != nil && e.pending.unloadsModel() && e.pending.order.Model == model
}

// incomingModel returns the model that the endpoint is loading or has a plan to load, empty if there is none.
func (e *endpoint) incomingModel() string {
	if e.plan != nil {
		return e.plan.target
	}
	if e.pending != nil && e.pending.loadsModel() {
		return e.pending.order.Model
	}
	return ""
}

// unloadStallTimeout is how long an unload of a plan may take before other endpoints are considered for the plan's
// target. An unload waits for the model's running requests, which can take seconds if they stream.
const unloadStallTimeout = 700 * time.Millisecond

// unloadStalled reports whether an unload of the endpoint's plan has taken longer than unloadStallTimeout, so that
// another endpoint may be able to load the target sooner.
func (e *endpoint) unloadStalled(now time.Time) bool {
	return e.plan != nil && e.pending != nil && e.pending.order.Unload && now.Sub(e.pending.sentAt) > unloadStallTimeout
}

// invalidateState marks the endpoint's state as uncertain and makes an inspection due at once.
func (e *endpoint) invalidateState(now time.Time) {
	e.stateKnown = false
	e.inspectAt = now
}

// completeOrder ends the pending order and applies its effect to the state.
func (e *endpoint) completeOrder(now time.Time) {
	order := e.pending.order
	e.pending = nil
	if e.stateKnown {
		e.inspectAt = time.Time{} // no inspection is needed any more
	}
	switch {
	case order.Adapter == "" && order.Unload:
		e.remove(order.Model)
	case order.Adapter == "":
		e.add(order.Model, now).loadedAt = now
	case order.Unload:
		if found := e.find(order.Model); found != nil {
			found.removeAdapter(order.Adapter)
		}
	default:
		if found := e.find(order.Model); found != nil {
			found.addAdapter(order.Adapter)
			found.setAdapterLoadedAt(order.Adapter, now)
		}
	}
}
