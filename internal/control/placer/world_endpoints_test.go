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
	restartsAt    time.Duration              // when it starts again after a crash
	models        map[string]map[string]bool // in memory, with their adapters
	onDisk        map[string]bool            // models
	order         *orderInProgress           // nil: none
	revision      uint64                     // orders accepted by this incarnation
	heartbeat     uint64                     // heartbeats sent by it
	nextHeartbeat time.Duration
	prefills      []*request   // queued for prefill, the first one in progress
	decodes       []*request   // in decode
	reports       []Inspection // what inspections of the last ticks would have shown, the newest last
}

// orderInProgress is the order that an endpoint carries out.
type orderInProgress struct {
	order Order
	ends  time.Duration
}

// startEndpoint starts an endpoint, empty and under a new ID; its disk keeps what it had.
func (w *world) startEndpoint(e *worldEndpoint) {
	w.endpointsStarted++
	e.id = fmt.Sprintf("i-%04d", w.endpointsStarted)
	e.up, e.draining = true, false
	e.models, e.order, e.revision, e.heartbeat = map[string]map[string]bool{}, nil, 0, 0
	e.nextHeartbeat = w.now
	e.reports = nil
}

// usedMemoryMB is what the endpoint's models and adapters take.
func (w *world) usedMemoryMB(e *worldEndpoint) float64 {
	sum := 0.0
	for name, adapters := range e.models {
		spec := w.shape.models[w.byModel[name]].configuration
		sum += spec.WeightsMB + float64(len(adapters))*spec.AdapterSizeMB
	}
	return sum
}

// loadedModels is what the endpoint reports as loaded.
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

// runningRequests is the number of requests for the model at the endpoint.
func (w *world) runningRequests(e *worldEndpoint, model string) int {
	n := 0
	for _, c := range append(slices.Clone(e.prefills), e.decodes...) {
		if w.shape.models[c.model].configuration.Name == model {
			n++
		}
	}
	return n
}

// advanceEndpoint lets one endpoint work for a tick: its order, prefill, then decode with the time that is left.
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

// prefill reads prompts for the milliseconds and returns those that are left.
func (w *world) prefill(e *worldEndpoint, left float64) float64 {
	for len(e.prefills) > 0 && left > 0 && len(e.decodes) < w.shape.slots {
		c := e.prefills[0]
		speed := w.shape.prefillTokensPerMS / w.shape.models[c.model].relativeTime
		part := math.Min(left, c.promptTokens/speed)
		c.promptTokens -= part * speed
		left -= part
		if c.promptTokens > 1e-6 {
			break
		}
		e.prefills = e.prefills[1:]
		e.decodes = append(e.decodes, c)
		w.countFirstToken(c)
	}
	return left
}

// decode puts tokens out for the milliseconds, all running requests in step.
func (w *world) decode(e *worldEndpoint, left float64) {
	if len(e.decodes) == 0 {
		return
	}
	steps := left / w.shape.decodeStepMS
	kept := e.decodes[:0]
	for _, c := range e.decodes {
		c.outputTokens -= steps / math.Max(0.3, w.shape.models[c.model].relativeTime)
		if c.outputTokens > 0 {
			kept = append(kept, c)
		}
	}
	e.decodes = kept
}

// sendHeartbeat sends the endpoint's registration; one in twenty is late.
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
		w.heardAt[registration.ID] = w.now
	})
}

// receiveOrder is the endpoint's answer to an order.
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

// beginOrder starts an order at the endpoint and checks it against the rules from the endpoint's own point of view.
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

// modelLoadsInProgress is the number of endpoints that load a model.
func (w *world) modelLoadsInProgress() int {
	count := 0
	for _, e := range w.endpoints {
		if e.order != nil && !e.order.order.Unload && e.order.order.Adapter == "" {
			count++
		}
	}
	return count
}

// finishOrder ends the order in progress when its time has come; an unload waits for the model's requests.
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
