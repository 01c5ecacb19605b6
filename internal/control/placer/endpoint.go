package placer

import (
	"slices"
	"strings"
	"time"

	"raventrestle/internal/protocol"
)

// orderPhase is how far an order has come.
type orderPhase uint8

const (
	orderSent      orderPhase = iota // no result yet
	orderAccepted                    // the endpoint carries it out
	orderUncertain                   // no answer: the endpoint may have accepted it
)

// pendingOrder is the one order that an endpoint may be carrying out. It is over when both its answer and its effect
// are known.
type pendingOrder struct {
	order            Order
	phase            orderPhase
	sentAt           time.Time
	answeredAt       time.Time
	sequenceAtAnswer uint64    // sequence of the newest heartbeat when the answer came
	expectedAt       time.Time // when the effect is expected
	effectSeen       bool      // a heartbeat showed the effect before the answer came
	adapterSeen      bool      // of an unload of an adapter: a heartbeat before it showed the adapter
}

// loadsModel reports whether the order is a load of a model, not of an adapter.
func (o *pendingOrder) loadsModel() bool { return !o.order.Unload && o.order.Adapter == "" }

// unloadsModel reports whether the order is an unload of a model, not of an adapter.
func (o *pendingOrder) unloadsModel() bool { return o.order.Unload && o.order.Adapter == "" }

// loadedModel is a model in an endpoint's memory.
type loadedModel struct {
	model            string
	adapters         []string // sorted
	loadedAt         time.Time
	missedHeartbeats int                  // heartbeats in a row that did not show it
	confirmed        bool                 // a heartbeat has shown it: the first one without it is newer than its unload
	reportedAdapters []string             // its adapters in the newest heartbeat that showed it
	adapterLoadedAt  map[string]time.Time // when its adapters were loaded, as far as this placer ordered it
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

// adapterSince is when the adapter was loaded, zero if this placer has not seen it come.
func (m *loadedModel) adapterSince(adapter string) time.Time { return m.adapterLoadedAt[adapter] }

// endpoint is what the placer knows of one endpoint. Where it is uncertain it assumes less free memory: models has
// all that may be loaded, pending what may be arriving.
type endpoint struct {
	protocol.Endpoint                      // newest registration
	models              []loadedModel      // by name
	pending             *pendingOrder      // nil: no order is under way
	plan                *plan              // nil: none
	heartbeats          int                // number seen
	revision            uint64             // number of orders accepted by this incarnation; exact while stateKnown
	stateKnown          bool               // revision and models are exact, except for the effect of pending
	inheritedOrdersOver bool               // without inspections: no order of an earlier leader can be under way
	inspectAt           time.Time          // when the next inspection is due; zero: none
	backoffUntil        time.Time          // no order before then
	onDisk              map[string]bool    // models that this incarnation has had in memory, so that its disk has them
	utilization         float64            // estimated share of its time in use, by the table of the current step
	adapterReservation  adapterReservation // slot that was freed for an adapter
}

func (e *endpoint) isReady() bool { return e.State == protocol.Ready }

// find returns the model as loaded on the endpoint, nil if it is not.
func (e *endpoint) find(model string) *loadedModel {
	for i := range e.models {
		if e.models[i].model == model {
			return &e.models[i]
		}
	}
	return nil
}

// add returns the model as loaded on the endpoint, adding it if it was not. Pointers returned before are invalid
// then.
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

// willServe reports whether requests for the model can go to the endpoint, now or after a load that is under way or
// planned.
func (e *endpoint) willServe(model string) bool {
	if !e.isReady() || e.isUnloading(model) {
		return false
	}
	return e.find(model) != nil || e.isLoading(model)
}

// isServing reports whether the endpoint has the model loaded and is to keep it.
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

// isUnloading reports whether the model is being unloaded or is to be evicted by the endpoint's plan.
func (e *endpoint) isUnloading(model string) bool {
	if e.plan != nil && slices.Contains(e.plan.evictions, model) {
		return true
	}
	return e.pending != nil && e.pending.unloadsModel() && e.pending.order.Model == model
}

// incomingModel is the model that the endpoint loads or is to load, empty if there is none.
func (e *endpoint) incomingModel() string {
	if e.plan != nil {
		return e.plan.target
	}
	if e.pending != nil && e.pending.loadsModel() {
		return e.pending.order.Model
	}
	return ""
}

// unloadStallTimeout is how long an unload of a plan may last until other endpoints are considered for the plan's
// target. An unload waits for the model's running requests, for seconds where they stream.
const unloadStallTimeout = 700 * time.Millisecond

// unloadStalled reports whether an unload of the endpoint's plan waits for running requests, so that another endpoint
// may load the target sooner.
func (e *endpoint) unloadStalled(now time.Time) bool {
	return e.plan != nil && e.pending != nil && e.pending.order.Unload && now.Sub(e.pending.sentAt) > unloadStallTimeout
}

// invalidateState gives exact knowledge up until the next inspection, which is due at once.
func (e *endpoint) invalidateState(now time.Time) {
	e.stateKnown = false
	e.inspectAt = now
}

// completeOrder ends the pending order: its effect is there.
func (e *endpoint) completeOrder(now time.Time) {
	order := e.pending.order
	e.pending = nil
	if e.stateKnown {
		e.inspectAt = time.Time{} // nothing is left to ask
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
