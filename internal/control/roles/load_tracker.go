package roles

import (
	"slices"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/control/placer"
	"raventrestle/internal/protocol"
)

const (
	adapterLoadTime    = 500 * time.Millisecond // an adapter arrives after milliseconds and shows in the next heartbeat
	unloadTime         = 5 * time.Second        // an unload waits for the model's running requests
	defaultLoadTime    = 10 * time.Second       // of a model that the configuration no longer contains
	loadOverdueTimeout = 20 * time.Second       // after the expected end an order counts as failed
)

// loadTracker knows which accepted orders are in progress at which endpoint. It is pure.
type loadTracker struct {
	loadTimes  map[string]time.Duration    // by model
	inProgress map[string][]loadInProgress // by endpoint
	sequence   uint64                      // of the newest table
	changed    bool                        // since the newest table
}

type loadInProgress struct {
	load       protocol.ModelLoad
	expectedAt time.Time // end
}

// newLoadTracker makes a tracker without loads, whose empty table is still to be published: the other instances replace
// that of an earlier leader by it.
func newLoadTracker() *loadTracker {
	return &loadTracker{
		loadTimes:  make(map[string]time.Duration),
		inProgress: make(map[string][]loadInProgress),
		changed:    true,
	}
}

// configure takes in how long loads take.
func (l *loadTracker) configure(c *configuration.Configuration) {
	clear(l.loadTimes)
	for _, service := range c.Services {
		if service.Engine == nil {
			continue
		}
		for _, model := range service.Engine.Models {
			l.loadTimes[model.Name] = time.Duration(model.LoadTimeSeconds * float64(time.Second))
		}
	}
}

// begin takes in an order that an endpoint has accepted.
func (l *loadTracker) begin(now time.Time, order placer.Order) {
	load := protocol.ModelLoad{Model: order.Model, Adapter: order.Adapter, Unload: order.Unload}
	expectedAt := now.Add(l.expectedTime(order))
	l.inProgress[order.Endpoint] = append(l.inProgress[order.Endpoint], loadInProgress{load: load, expectedAt: expectedAt})
	l.changed = true
}

func (l *loadTracker) expectedTime(order placer.Order) time.Duration {
	switch {
	case order.Unload:
		return unloadTime
	case order.Adapter != "":
		return adapterLoadTime
	}
	if known := l.loadTimes[order.Model]; known > 0 {
		return known
	}
	return defaultLoadTime
}

// observe removes what endpoints have completed, what is overdue, and what ended with its endpoint.
func (l *loadTracker) observe(now time.Time, endpoints []protocol.Endpoint) {
	present := make(map[string]*protocol.Endpoint, len(l.inProgress))
	for i := range endpoints {
		if _, tracked := l.inProgress[endpoints[i].ID]; tracked {
			present[endpoints[i].ID] = &endpoints[i]
		}
	}
	for id, loads := range l.inProgress {
		endpoint := present[id]
		remaining := slices.DeleteFunc(loads, func(load loadInProgress) bool {
			return endpoint == nil || completed(endpoint, load.load) || now.Sub(load.expectedAt) > loadOverdueTimeout
		})
		if len(remaining) == len(loads) {
			continue
		}
		l.changed = true
		l.inProgress[id] = remaining
		if len(remaining) == 0 {
			delete(l.inProgress, id)
		}
	}
}

// completed reports whether the models that the endpoint reports show the load's effect.
func completed(endpoint *protocol.Endpoint, load protocol.ModelLoad) bool {
	return hasModel(endpoint, load.Model, load.Adapter) != load.Unload
}

func hasModel(endpoint *protocol.Endpoint, model, adapter string) bool {
	for _, loaded := range endpoint.Models {
		if loaded.Name == model {
			return adapter == "" || slices.Contains(loaded.Adapters, adapter)
		}
	}
	return false
}

// table returns the newest table if it has changed since the last call.
func (l *loadTracker) table(now time.Time, epoch uint64) (table protocol.LoadingTable, changed bool) {
	if !l.changed {
		return protocol.LoadingTable{}, false
	}
	l.changed = false
	l.sequence++
	table = protocol.LoadingTable{Epoch: epoch, Sequence: l.sequence}
	for id, loads := range l.inProgress {
		endpoint := protocol.EndpointLoading{Endpoint: id}
		for _, inProgress := range loads {
			load := inProgress.load
			load.Remaining = max(0, inProgress.expectedAt.Sub(now))
			endpoint.Loads = append(endpoint.Loads, load)
		}
		table.Loading = append(table.Loading, endpoint)
	}
	return table, true
}
