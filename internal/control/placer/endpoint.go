package placer

import (
	"slices"
	"strings"
	"time"

	"raventrestle/internal/protocol"
)

// Times within which an endpoint's knowledge is refreshed.
const (
	inspectionInterval       = 300 * time.Millisecond // a look is asked again when no answer came or it told nothing new
	firstInspectionDelay     = 120 * time.Millisecond // after an order: a report is about 100 ms old
	adapterLoadTime          = 200 * time.Millisecond // an adapter arrives within some ms, and a heartbeat says so
	adapterLoadTimeout       = time.Second            // without one it is taken as there
	answerTimeout            = 3 * time.Second        // an order without a result for so long has none
	lateArrivalWindow        = time.Second            // an order without an answer may still arrive for so long
	busyBackoff              = 300 * time.Millisecond // after 409
	invalidBackoff           = 2 * time.Second        // after another 4xx
	inheritedOrderWindow     = 15 * time.Second       // without looks: an earlier holder's order is over by then
	inheritedOrderHeartbeats = 2                      // without looks: heartbeats that must have followed
	unloadHeartbeats         = 2                      // heartbeats without the model after an unload's answer, one may be older
	missingHeartbeats        = 4                      // heartbeats without a model that nobody unloaded
	loadTimeoutFactor        = 3                      // an unanswered load is over after so many load times
	unloadStallTimeout       = 700 * time.Millisecond // an unload that lasts longer waits for runs
	planTimeout              = 4 * time.Second        // a plan that could not begin for so long is decided anew
)

// orderPhase says how far an order is.
type orderPhase uint8

const (
	orderSent      orderPhase = iota // no result yet
	orderAccepted                    // accepted
	orderUncertain                   // no answer: it may have been taken
)

// pendingOrder is the one order that an endpoint may be carrying out.
type pendingOrder struct {
	order            Order
	phase            orderPhase
	sentAt           time.Time
	answeredAt       time.Time
	sequenceAtAnswer uint64 // of the newest heartbeat when it was answered
	expectedAt       time.Time
	effectSeen       bool // a heartbeat showed the effect before the answer came
	adapterSeen      bool // of an adapter to be unloaded: a heartbeat had shown it
}

// loadedModel is a model in an endpoint's memory.
type loadedModel struct {
	model            string
	adapters         []string // sorted
	loadedAt         time.Time
	missedHeartbeats int                  // heartbeats in a row that did not show it
	confirmed        bool                 // a heartbeat showed it: one without it is newer than its end
	reportedAdapters []string             // its adapters in the newest heartbeat that showed it
	adapterLoadedAt  map[string]time.Time // when its adapters came, where that was seen
}

// plan is what is to become of an endpoint in several orders: victims make way, then the target is loaded.
type plan struct {
	target         string
	victims        []string
	decidedAt      time.Time
	lastProgressAt time.Time // when its last order was sent
	score          float64
	reason         string
}

// endpoint is what the placer believes of one endpoint. It errs on the side of less room: copies holds everything
// that may be there, pending what may be arriving.
type endpoint struct {
	protocol.Endpoint
	models              []loadedModel // sorted by model
	pending             *pendingOrder
	plan                *plan
	firstSeenAt         time.Time
	heartbeats          int // heartbeats seen
	revision            uint64
	stateKnown          bool // revision and copies are exact, but for pending
	inheritedOrdersOver bool // without looks: nobody else's order can be under way
	inspectAt           time.Time
	inspecting          bool
	backoffUntil        time.Time
	onDisk              map[string]bool // models this incarnation has surely held: its own disk has them
	utilization         float64         // share of its time in use, as estimated
	adapterReservation  reservation     // a place for an adapter
}

func (e *endpoint) isReady() bool { return e.State == protocol.Ready }

func (e *endpoint) find(model string) *loadedModel {
	for i := range e.models {
		if e.models[i].model == model {
			return &e.models[i]
		}
	}
	return nil
}

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
	e.models = slices.DeleteFunc(e.models, func(c loadedModel) bool { return c.model == model })
}

func (c *loadedModel) hasAdapter(adapter string) bool { return slices.Contains(c.adapters, adapter) }

func (c *loadedModel) addAdapter(adapter string) {
	if c.hasAdapter(adapter) {
		return
	}
	c.adapters = append(c.adapters, adapter)
	slices.Sort(c.adapters)
}

func (c *loadedModel) setAdapterLoadedAt(adapter string, now time.Time) {
	if c.adapterLoadedAt == nil {
		c.adapterLoadedAt = map[string]time.Time{}
	}
	c.adapterLoadedAt[adapter] = now
}

// adapterSince is when the adapter came, zero if it was always there.
func (c *loadedModel) adapterSince(adapter string) time.Time { return c.adapterLoadedAt[adapter] }

func (c *loadedModel) removeAdapter(adapter string) {
	c.adapters = slices.DeleteFunc(c.adapters, func(a string) bool { return a == adapter })
}

// willServe tells whether requests for the model can go there now or after a load that is under way.
func (e *endpoint) willServe(model string) bool {
	if !e.isReady() {
		return false
	}
	if e.isUnloading(model) {
		return false
	}
	return e.find(model) != nil || e.isLoading(model)
}

// isServing tells whether the endpoint has the model and keeps it.
func (e *endpoint) isServing(model string) bool {
	return e.isReady() && e.find(model) != nil && !e.isUnloading(model)
}

// isLoading tells whether the model is being loaded or is the target of a plan.
func (e *endpoint) isLoading(model string) bool {
	if e.plan != nil && e.plan.target == model {
		return true
	}
	return e.pending != nil && !e.pending.order.Unload && e.pending.order.Model == model && e.pending.order.Adapter == ""
}

// unloadStalled tells that an unload of the endpoint's plan waits for runs: another place may be sooner.
func (e *endpoint) unloadStalled(now time.Time) bool {
	return e.plan != nil && e.pending != nil && e.pending.order.Unload && now.Sub(e.pending.sentAt) > unloadStallTimeout
}

// isUnloading tells whether the model is being unloaded or is a victim of a plan.
func (e *endpoint) isUnloading(model string) bool {
	if e.plan != nil && slices.Contains(e.plan.victims, model) {
		return true
	}
	return e.pending != nil && e.pending.order.Unload && e.pending.order.Model == model && e.pending.order.Adapter == ""
}

// observeHeartbeat takes a registration that is newer than the last one.
func (e *endpoint) observeHeartbeat(now time.Time, told protocol.Endpoint) {
	newer := told.Sequence > e.Sequence || e.heartbeats == 0
	e.Endpoint = told
	if !newer {
		return
	}
	e.heartbeats++
	for _, model := range told.Models {
		e.observeModel(now, model)
	}
	for i := range e.models {
		e.models[i].missedHeartbeats++
		if slices.ContainsFunc(told.Models, func(m protocol.LoadedModel) bool { return m.Name == e.models[i].model }) {
			e.models[i].missedHeartbeats = 0
		}
	}
	e.observeUnloadEffect(now, told)
	e.removeMissingModels(now)
}

// observeModel takes in that the model is there.
func (e *endpoint) observeModel(now time.Time, told protocol.LoadedModel) {
	if e.find(told.Name) == nil {
		if e.heartbeats > 1 && !e.isLoading(told.Name) {
			e.invalidateState(now)
		}
		e.add(told.Name, now)
	}
	found := e.find(told.Name)
	found.confirmed, found.reportedAdapters = true, told.Adapters
	for _, adapter := range told.Adapters {
		found.addAdapter(adapter)
	}
	order := e.pending
	if order == nil || order.order.Unload || order.order.Model != told.Name {
		return
	}
	if order.order.Adapter == "" || slices.Contains(told.Adapters, order.order.Adapter) {
		e.observeEffect(now)
	}
}

// observeEffect takes in that a heartbeat shows the pending order's effect. An answer that is still to come counts in the
// revision, so the order is not over before it.
func (e *endpoint) observeEffect(now time.Time) {
	if e.pending.phase == orderSent {
		e.pending.effectSeen = true
		return
	}
	e.completeOrder(now)
}

// observeUnloadEffect ends an unload that a heartbeat shows as done.
func (e *endpoint) observeUnloadEffect(now time.Time, told protocol.Endpoint) {
	order := e.pending
	if order == nil || !order.order.Unload {
		return
	}
	at := slices.IndexFunc(told.Models, func(m protocol.LoadedModel) bool { return m.Name == order.order.Model })
	if order.order.Adapter != "" {
		if at >= 0 && !slices.Contains(told.Models[at].Adapters, order.order.Adapter) && order.adapterSeen {
			e.observeEffect(now)
		}
		return
	}
	found := e.find(order.order.Model)
	if found == nil || (at < 0 && (found.confirmed || (order.phase != orderSent && told.Sequence >= order.sequenceAtAnswer+unloadHeartbeats))) {
		e.observeEffect(now)
	}
}

// removeMissingModels drops copies that several heartbeats in a row did not show.
func (e *endpoint) removeMissingModels(now time.Time) {
	for _, c := range slices.Clone(e.models) {
		if c.missedHeartbeats >= missingHeartbeats && (e.pending == nil || e.pending.order.Model != c.model) {
			e.remove(c.model)
			e.invalidateState(now)
		}
	}
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

// invalidateState gives up exact knowledge until the next look.
func (e *endpoint) invalidateState(now time.Time) {
	e.stateKnown = false
	e.inspectAt = now
}

// observeInspection takes the endpoint's own report.
func (e *endpoint) observeInspection(now time.Time, told Inspection) {
	e.inspecting = false
	e.inspectAt = now.Add(inspectionInterval)
	if told.Failed || (e.pending != nil && e.pending.phase == orderSent) {
		return
	}
	if e.stateKnown && told.Revision < e.revision {
		return // older than an order that was taken
	}
	order := e.pending
	if order != nil && order.phase == orderUncertain && told.Revision == e.revision && now.Sub(order.answeredAt) < lateArrivalWindow {
		return // may still arrive
	}
	for _, model := range told.Models {
		e.add(model.Name, now)
	}
	if told.Busy {
		return
	}
	e.replaceState(now, told)
}

// replaceState takes a report without an order under way as the truth.
func (e *endpoint) replaceState(now time.Time, told Inspection) {
	e.pending = nil
	e.stateKnown = true
	e.revision = told.Revision
	e.inspectAt = time.Time{}
	before := e.models
	e.models = nil
	for _, model := range told.Models {
		found := e.add(model.Name, now)
		for _, old := range before {
			if old.model == model.Name {
				found.loadedAt, found.confirmed, found.reportedAdapters, found.adapterLoadedAt = old.loadedAt, old.confirmed, old.reportedAdapters, old.adapterLoadedAt
			}
		}
		for _, adapter := range model.Adapters {
			found.addAdapter(adapter)
		}
	}
}
