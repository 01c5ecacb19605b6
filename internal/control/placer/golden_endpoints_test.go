package placer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// goldenEndpoint is a simulated endpoint.
type goldenEndpoint struct {
	id, service, address, zone   string
	slots                        int
	up, draining, heartbeatsLost bool
	restartsAt                   time.Duration // when it restarts after a crash
	heartbeat                    uint64
	nextHeartbeat                time.Duration
	revision                     uint64
	models                       map[string][]string // adapters by model
	onDisk                       map[string]bool
	order                        *Order
	ends                         time.Duration
}

func (f *goldenFleet) startEndpoint(e *goldenEndpoint) {
	f.started++
	e.id = fmt.Sprintf("i-%03d", f.started)
	e.up, e.draining, e.heartbeatsLost = true, false, false
	e.heartbeat, e.revision, e.order = 0, 0, nil
	e.models = map[string][]string{}
	e.nextHeartbeat = f.now
}

// loadInitialModels loads a few models at an endpoint before the run.
func (f *goldenFleet) loadInitialModels(e *goldenEndpoint, engine *configuration.Engine, from int) {
	freeMB := engine.WeightMemoryMB * 0.8
	for i := range engine.Models {
		model := engine.Models[(i+from)%len(engine.Models)]
		if model.WeightsMB <= freeMB {
			e.models[model.Name] = nil
			e.onDisk[model.Name] = true
			freeMB -= model.WeightsMB
		}
	}
}

// injectFaults starts the endpoint faults of one tick, and restarts crashed endpoints.
func (f *goldenFleet) injectFaults() {
	for _, e := range f.endpoints {
		if !e.up && f.now >= e.restartsAt {
			f.startEndpoint(e)
		}
	}
	if !f.chance(f.scenario.faultRate * goldenTick.Seconds()) {
		return
	}
	e := f.endpoints[f.random.IntN(len(f.endpoints))]
	if !e.up {
		return
	}
	switch f.random.IntN(7) {
	case 0, 1: // the endpoint crashes and restarts without models and with a new ID
		f.crash(e, time.Duration(500+f.random.IntN(4000))*time.Millisecond)
	case 2: // it drains and stops
		e.draining, e.nextHeartbeat = true, f.now
		f.after(2*time.Second, func() { f.crash(e, time.Second) })
	case 3: // its heartbeats are lost for some time
		e.heartbeatsLost = true
		f.after(time.Duration(1+f.random.IntN(5))*time.Second, func() { e.heartbeatsLost = false })
	case 4: // it loses a model that nobody unloaded
		if names := slices.Sorted(maps.Keys(e.models)); len(names) > 0 && e.order == nil {
			delete(e.models, names[f.random.IntN(len(names))])
		}
	case 5: // somebody else orders an unload
		if names := slices.Sorted(maps.Keys(e.models)); len(names) > 0 && e.order == nil {
			f.beginOrder(e, Order{Model: names[f.random.IntN(len(names))], Unload: true})
		}
	case 6: // somebody else orders a load
		if e.order == nil {
			f.beginForeignLoad(e)
		}
	}
}

// beginForeignLoad makes the endpoint start a load that this placer has not ordered, if there is enough memory.
func (f *goldenFleet) beginForeignLoad(e *goldenEndpoint) {
	for _, service := range f.configuration.Services {
		if service.Name != e.service || service.Engine == nil {
			continue
		}
		freeMB := service.Engine.WeightMemoryMB
		for _, model := range service.Engine.Models {
			if adapters, there := e.models[model.Name]; there {
				freeMB -= model.WeightsMB + float64(len(adapters))*model.AdapterSizeMB
			}
		}
		model := service.Engine.Models[f.random.IntN(len(service.Engine.Models))]
		if _, there := e.models[model.Name]; !there && model.WeightsMB <= freeMB {
			f.beginOrder(e, Order{Model: model.Name})
		}
	}
}

func (f *goldenFleet) crash(e *goldenEndpoint, down time.Duration) {
	if e.up {
		e.up, e.order, e.restartsAt = false, nil, f.now+down
	}
}

// advanceEndpoint completes an endpoint's order and sends its heartbeat when they are due.
func (f *goldenFleet) advanceEndpoint(e *goldenEndpoint) {
	if !e.up {
		return
	}
	if e.order != nil && f.now >= e.ends {
		f.finishOrder(e)
	}
	if f.now >= e.nextHeartbeat {
		f.sendHeartbeat(e)
	}
}

func (f *goldenFleet) loadedModels(e *goldenEndpoint) []protocol.LoadedModel {
	var loaded []protocol.LoadedModel
	for _, name := range slices.Sorted(maps.Keys(e.models)) {
		loaded = append(loaded, protocol.LoadedModel{Name: name, Generation: 1, Adapters: slices.Clone(e.models[name])})
	}
	return loaded
}

func (f *goldenFleet) sendHeartbeat(e *goldenEndpoint) {
	e.nextHeartbeat = f.now + 1200*time.Millisecond
	e.heartbeat++
	entry := protocol.Endpoint{
		ID: e.id, Service: e.service, Address: e.address, Zone: e.zone, Slots: e.slots,
		Sequence: e.heartbeat, Models: f.loadedModels(e),
	}
	if e.draining {
		entry.State = protocol.Draining
	}
	delay := time.Duration(0)
	if f.chance(0.1) {
		delay = time.Duration(f.random.IntN(900)) * time.Millisecond
	}
	if e.heartbeatsLost {
		return
	}
	f.after(delay, func() {
		if old, exists := f.table[entry.ID]; exists && old.Sequence > entry.Sequence {
			return
		}
		f.table[entry.ID] = entry
		f.heardAt[entry.ID] = f.now
	})
}

// receiveOrder returns the endpoint's answer to an order.
func (f *goldenFleet) receiveOrder(order Order) Outcome {
	at := slices.IndexFunc(f.endpoints, func(e *goldenEndpoint) bool { return e.up && e.id == order.Endpoint })
	if at < 0 {
		return Unknown
	}
	e := f.endpoints[at]
	if e.order != nil || (order.Revision != nil && *order.Revision != e.revision) {
		return Busy
	}
	adapters, there := e.models[order.Model]
	has := slices.Contains(adapters, order.Adapter)
	switch {
	case order.Adapter != "" && !there, order.Unload && !there:
		return Invalid
	case order.Adapter != "" && has != order.Unload, order.Adapter == "" && !order.Unload && there:
		return AlreadyApplied
	}
	f.beginOrder(e, order)
	return Accepted
}

// beginOrder starts an order at an endpoint.
func (f *goldenFleet) beginOrder(e *goldenEndpoint, order Order) {
	e.revision++
	e.order = &order
	duration := 20 * time.Millisecond
	switch {
	case order.Adapter != "":
	case order.Unload:
		if f.chance(0.4) {
			duration = time.Duration(100+f.random.IntN(2400)) * time.Millisecond // the unload waits for running requests
		}
		if f.chance(0.02) {
			duration = 50 * time.Second // one of the running requests does not end
		}
	default:
		seconds := 5.0
		for _, service := range f.configuration.Services {
			if service.Name == e.service && service.Engine != nil {
				for _, model := range service.Engine.Models {
					if model.Name == order.Model {
						seconds = model.LoadTimeSeconds
					}
				}
			}
		}
		if e.onDisk[order.Model] {
			seconds *= 0.23
		}
		duration = time.Duration(seconds * (0.9 + 0.3*f.random.Float64()) * float64(time.Second))
	}
	e.ends = f.now + duration
}

func (f *goldenFleet) finishOrder(e *goldenEndpoint) {
	order := *e.order
	e.order, e.nextHeartbeat = nil, f.now
	adapters, there := e.models[order.Model]
	switch {
	case order.Adapter != "" && there && order.Unload:
		e.models[order.Model] = slices.DeleteFunc(slices.Clone(adapters), func(a string) bool { return a == order.Adapter })
	case order.Adapter != "" && there:
		e.models[order.Model] = append(slices.Clone(adapters), order.Adapter)
	case order.Adapter != "":
	case order.Unload:
		delete(e.models, order.Model)
	default:
		e.models[order.Model] = nil
		e.onDisk[order.Model] = true
	}
}
