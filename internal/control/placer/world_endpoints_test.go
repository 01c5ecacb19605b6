package placer

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// worldEndpoint is a simulated endpoint.
type worldEndpoint struct {
	id            string // of this incarnation
	index         int    // of its address
	zone          string
	up            bool
	draining      bool
	restartsAt    time.Duration              // when it restarts after a crash
	models        map[string]map[string]bool // in memory, with their adapters
	onDisk        map[string]bool            // models
	order         *orderInProgress           // nil: none
	revision      uint64                     // number of orders accepted by this incarnation
	heartbeat     uint64                     // number of heartbeats sent by this incarnation
	nextHeartbeat time.Duration
	prefills      []*request   // queued for prefill; the first one is in progress
	decodes       []*request   // in decode
	reports       []Inspection // what inspections would have shown in the last ticks, newest last
}

// orderInProgress is the order that an endpoint is carrying out.
type orderInProgress struct {
	order Order
	ends  time.Duration
}

// startEndpoint starts an endpoint without models in memory and with a new ID. Its disk keeps its contents.
func (w *world) startEndpoint(e *worldEndpoint) {
	w.endpointsStarted++
	e.id = fmt.Sprintf("i-%04d", w.endpointsStarted)
	e.up, e.draining = true, false
	e.models, e.order, e.revision, e.heartbeat = map[string]map[string]bool{}, nil, 0, 0
	e.nextHeartbeat = w.now
	e.reports = nil
}

// usedMemoryMB returns the memory that the endpoint's models and adapters take.
func (w *world) usedMemoryMB(e *worldEndpoint) float64 {
	sum := 0.0
	for name, adapters := range e.models {
		spec := w.shape.models[w.byModel[name]].configuration
		sum += spec.WeightsMB + float64(len(adapters))*spec.AdapterSizeMB
	}
	return sum
}

// loadedModels returns the models that the endpoint reports as loaded.
func (w *world) loadedModels(e *worldEndpoint) []protocol.LoadedModel {
	loaded := make([]protocol.LoadedModel, 0, len(e.models))
	for _, name := range slices.Sorted(maps.Keys(e.models)) {
		loaded = append(loaded, protocol.LoadedModel{
			Name: name, Generation: 1,
			Adapters: slices.Sorted(maps.Keys(e.models[name])),
		})
	}
	return loaded
}

// runningRequests returns the number of requests for the model at the endpoint.
func (w *world) runningRequests(e *worldEndpoint, model string) int {
	n := 0
	for _, req := range append(slices.Clone(e.prefills), e.decodes...) {
		if w.shape.models[req.model].configuration.Name == model {
			n++
		}
	}
	return n
}

// advanceEndpoint simulates one tick of an endpoint: its order, prefill, then decode in the remaining time.
func (w *world) advanceEndpoint(e *worldEndpoint) {
	if !e.up {
		return
	}
	w.finishOrder(e)
	w.decode(e, w.prefill(e, float64(tick)/float64(time.Millisecond)))
	if w.now >= e.nextHeartbeat {
		w.sendHeartbeat(e)
	}
	e.reports = append(e.reports, Inspection{
		Endpoint: e.id, Busy: e.order != nil, Revision: e.revision, Models: w.loadedModels(e),
	})
	if len(e.reports) > 8 {
		e.reports = e.reports[len(e.reports)-8:]
	}
}

// prefill processes prompts for at most budgetMS milliseconds, and returns the unused milliseconds.
func (w *world) prefill(e *worldEndpoint, budgetMS float64) float64 {
	for len(e.prefills) > 0 && budgetMS > 0 && len(e.decodes) < w.shape.slots {
		req := e.prefills[0]
		speed := w.shape.prefillTokensPerMS / w.shape.models[req.model].relativeDuration
		usedMS := math.Min(budgetMS, req.promptTokens/speed)
		req.promptTokens -= usedMS * speed
		budgetMS -= usedMS
		if req.promptTokens > 1e-6 {
			break
		}
		e.prefills = e.prefills[1:]
		e.decodes = append(e.decodes, req)
		w.countFirstToken(req)
	}
	return budgetMS
}

// decode generates tokens for budgetMS milliseconds, for all running requests in parallel.
func (w *world) decode(e *worldEndpoint, budgetMS float64) {
	if len(e.decodes) == 0 {
		return
	}
	steps := budgetMS / w.shape.decodeStepMS
	kept := e.decodes[:0]
	for _, req := range e.decodes {
		req.outputTokens -= steps / math.Max(0.3, w.shape.models[req.model].relativeDuration)
		if req.outputTokens > 0 {
			kept = append(kept, req)
		}
	}
	e.decodes = kept
}

// sendHeartbeat sends the endpoint's registration. One in twenty is late.
func (w *world) sendHeartbeat(e *worldEndpoint) {
	e.nextHeartbeat = w.now + 1200*time.Millisecond
	e.heartbeat++
	registration := protocol.Endpoint{
		ID: e.id, Service: "lm", Address: fmt.Sprintf("10.0.0.%d:80", e.index), Zone: e.zone,
		Slots: w.shape.slots, Sequence: e.heartbeat, Models: w.loadedModels(e),
	}
	if e.draining {
		registration.State = protocol.Draining
	}
	delay := 10 * time.Millisecond
	if w.random.IntN(20) == 0 {
		delay = time.Duration(w.random.IntN(700)) * time.Millisecond
	}
	w.after(delay, func() {
		if old, exists := w.table[registration.ID]; exists && old.Sequence > registration.Sequence {
			return
		}
		w.table[registration.ID] = registration
		w.heartbeatAt[registration.ID] = w.now
	})
}

// receiveOrder returns the endpoint's answer to an order.
func (w *world) receiveOrder(order Order) Outcome {
	var e *worldEndpoint
	for _, candidate := range w.endpoints {
		if candidate.id == order.Endpoint && candidate.up {
			e = candidate
		}
	}
	if e == nil {
		return Unknown
	}
	if e.order != nil || (order.Revision != nil && *order.Revision != e.revision) {
		w.outcomes.rejected++
		return Busy
	}
	adapters, loaded := e.models[order.Model]
	switch {
	case order.Adapter != "" && !loaded, order.Unload && !loaded:
		w.outcomes.rejected++
		return Invalid
	case order.Unload && order.Adapter != "" && !adapters[order.Adapter]:
		return AlreadyApplied
	case !order.Unload && order.Adapter == "" && loaded, !order.Unload && order.Adapter != "" && adapters[order.Adapter]:
		return AlreadyApplied
	}
	e.revision++
	w.beginOrder(e, order)
	return Accepted
}

// beginOrder starts an order at the endpoint and checks it against LIMIT and CEILING, from the endpoint's point of view.
func (w *world) beginOrder(e *worldEndpoint, order Order) {
	e.order = &orderInProgress{order: order, ends: w.now + 20*time.Millisecond}
	if order.Unload {
		return
	}
	w.checkMemory(e, order)
	if order.Adapter != "" {
		return
	}
	w.outcomes.loads++
	model := w.shape.models[w.byModel[order.Model]]
	seconds := model.configuration.LoadTimeSeconds * (1 + 0.3*float64(len(e.decodes))/float64(w.shape.slots))
	if e.onDisk[order.Model] {
		seconds = model.warmLoadSeconds
		w.outcomes.warmLoads++
	} else {
		w.loadStarts = append(w.loadStarts, w.now)
		seconds *= math.Max(1, float64(w.modelLoadsInProgress())/float64(w.shape.concurrentLoads))
		w.checkLoadRate()
	}
	e.order.ends = w.now + time.Duration(seconds*float64(time.Second))
}

// modelLoadsInProgress returns the number of endpoints that are loading a model.
func (w *world) modelLoadsInProgress() int {
	count := 0
	for _, e := range w.endpoints {
		if e.order != nil && !e.order.order.Unload && e.order.order.Adapter == "" {
			count++
		}
	}
	return count
}

// finishOrder completes the order in progress when it is due. An unload of a model waits for the model's requests.
func (w *world) finishOrder(e *worldEndpoint) {
	if e.order == nil || w.now < e.order.ends {
		return
	}
	o := e.order.order
	if o.Unload && o.Adapter == "" && w.runningRequests(e, o.Model) > 0 {
		return
	}
	switch {
	case o.Adapter != "" && o.Unload:
		delete(e.models[o.Model], o.Adapter)
	case o.Adapter != "":
		e.models[o.Model][o.Adapter] = true
	case o.Unload:
		delete(e.models, o.Model)
	default:
		e.models[o.Model] = map[string]bool{}
		e.onDisk[o.Model] = true
	}
	e.order = nil
	e.nextHeartbeat = w.now // endpoints report changes at once
}
