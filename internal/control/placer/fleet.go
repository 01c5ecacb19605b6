package placer

import (
	"cmp"
	"slices"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// fleet is a service with an engine, and its endpoints.
type fleet struct {
	name             string
	engine           configuration.Engine
	models           map[string]configuration.Model // by name
	endpoints        map[string]*endpoint           // by ID
	sortedEndpoints  []*endpoint                    // by ID
	maxModelMB       float64                        // size of the largest model, which is the most that an unknown order may load
	secondsPerToken  float64                        // endpoint time per token, learned over all models
	decidedAt        time.Time                      // time of the last decision
	adapterEvictedAt map[adapterKey]time.Time       // time of each adapter's last eviction
}

// configure applies a configuration. The state of the endpoints is kept.
func (p *Placer) configure(next *configuration.Configuration) {
	loadsPerSecond := 0.0
	configured := map[string]bool{}
	for _, service := range next.Services {
		if service.Engine == nil {
			continue
		}
		configured[service.Name] = true
		p.fleetOf(service.Name).configure(service.Engine)
		if loadsPerSecond == 0 || service.Engine.LoadsPerSecond < loadsPerSecond {
			loadsPerSecond = service.Engine.LoadsPerSecond
		}
	}
	for name := range p.fleets {
		if !configured[name] {
			delete(p.fleets, name)
		}
	}
	p.loadLimiter.setRate(loadsPerSecond, p.config.LoadRateFactor, p.config.LoadRateWindow)
}

// fleetOf returns the service's fleet, a new one if there was none.
func (p *Placer) fleetOf(service string) *fleet {
	f := p.fleets[service]
	if f == nil {
		f = &fleet{
			name: service, endpoints: map[string]*endpoint{}, secondsPerToken: initialSecondsPerToken,
			adapterEvictedAt: map[adapterKey]time.Time{},
		}
		p.fleets[service] = f
	}
	return f
}

func (f *fleet) configure(engine *configuration.Engine) {
	f.engine = *engine
	f.models = make(map[string]configuration.Model, len(engine.Models))
	f.maxModelMB = 0
	for _, model := range engine.Models {
		f.models[model.Name] = model
		f.maxModelMB = max(f.maxModelMB, model.WeightsMB)
	}
}

// sortedFleets returns the fleets by name, so that decisions do not depend on the iteration order of a map.
func (p *Placer) sortedFleets() []*fleet {
	fleets := make([]*fleet, 0, len(p.fleets))
	for _, f := range p.fleets {
		fleets = append(fleets, f)
	}
	slices.SortFunc(fleets, func(a, b *fleet) int { return cmp.Compare(a.name, b.name) })
	return fleets
}

// updateEndpoints applies the registry's table. Endpoints that have departed or are missing from the table are removed.
func (p *Placer) updateEndpoints(now time.Time, table []protocol.Endpoint) {
	present := make(map[string]bool, len(table))
	for _, registration := range table {
		f := p.fleets[registration.Service]
		if f == nil || registration.State == protocol.Departed {
			continue
		}
		present[registration.ID] = true
		e := f.endpoints[registration.ID]
		if e == nil {
			e = p.addEndpoint(now, f, registration)
		}
		e.observeHeartbeat(now, registration)
		p.recordWarmModels(f, e)
	}
	for _, f := range p.fleets {
		f.removeAbsent(present)
	}
}

// addEndpoint adds an endpoint to the fleet. If it registers without models, and so late that no order of an earlier
// leader can still arrive, it has never had an order and its state is known. Any other endpoint may be carrying out an
// order of an earlier leader.
func (p *Placer) addEndpoint(now time.Time, f *fleet, registration protocol.Endpoint) *endpoint {
	e := &endpoint{onDisk: map[string]bool{}, inspectAt: now}
	e.ID = registration.ID
	if now.Sub(p.startedAt) > answerTimeout && len(registration.Models) == 0 {
		e.stateKnown, e.inheritedOrdersOver, e.inspectAt = true, true, time.Time{}
	} else {
		p.loadLimiter.addInherited(now, registration.ID)
	}
	f.endpoints[registration.ID] = e
	f.sortedEndpoints = append(f.sortedEndpoints, e)
	slices.SortFunc(f.sortedEndpoints, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return e
}

func (f *fleet) removeAbsent(present map[string]bool) {
	f.sortedEndpoints = slices.DeleteFunc(f.sortedEndpoints, func(e *endpoint) bool {
		if present[e.ID] {
			return false
		}
		delete(f.endpoints, e.ID)
		return true
	})
}

// recordWarmModels records the endpoint's models for its address, because a later incarnation at this address may load
// them from its disk.
func (p *Placer) recordWarmModels(f *fleet, e *endpoint) {
	key := f.name + " " + e.Address
	for i := range e.models {
		if p.warmModels[key] == nil {
			p.warmModels[key] = map[string]bool{}
		}
		p.warmModels[key][e.models[i].model] = true
	}
}

// likelyWarm reports whether the model is probably on the endpoint's disk. This is certain only for models that this
// incarnation has loaded, because the address may have been reassigned to a new machine.
func (p *Placer) likelyWarm(f *fleet, e *endpoint, model string) bool {
	return e.onDisk[model] || p.warmModels[f.name+" "+e.Address][model]
}

// warmLoadShare is the duration of a load from the endpoint's own disk, as a share of a load from the store.
const warmLoadShare = 0.23

// loadTime returns the expected duration of a load of the model at the endpoint.
func (p *Placer) loadTime(f *fleet, e *endpoint, model string) time.Duration {
	seconds := f.models[model].LoadTimeSeconds
	if p.likelyWarm(f, e, model) {
		seconds *= warmLoadShare
	}
	return time.Duration(seconds * float64(time.Second))
}
