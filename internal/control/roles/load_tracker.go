package roles

import (
	"slices"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/control/placer"
	"raventrestle/internal/protocol"
)

const (
	adapterLoadTime    = 500 * time.Millisecond // an adapter is loaded within milliseconds, and the next heartbeat shows it
	unloadTime         = 5 * time.Second        // an unload waits for the model's running requests
	defaultLoadTime    = 10 * time.Second       // for a model that is no longer configured
	loadOverdueTimeout = 20 * time.Second       // time after its expected end at which an order counts as failed
)

// loadTracker tracks which accepted orders are in progress at which endpoint. It does no I/O and reads no clock.
type loadTracker struct {
	loadTimes  map[string]time.Duration    // by model
	inProgress map[string][]loadInProgress // by endpoint
	sequence   uint64                      // sequence number of the newest table
	changed    bool                        // since the newest table
}

type loadInProgress struct {
	load       protocol.ModelLoad
	expectedAt time.Time // expected end
}

// newLoadTracker returns a tracker without loads. Its empty table must still be published, because it replaces an earlier
// leader's table at the other instances.
func newLoadTracker() *loadTracker {
	return &loadTracker{
		loadTimes:  make(map[string]time.Duration),
		inProgress: make(map[string][]loadInProgress),
		changed:    true,
	}
}

// configure sets the load times of the configured models.
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

// begin adds an order that an endpoint has accepted.
func (l *loadTracker) begin(now time.Time, order placer.Order) {
	load := protocol.ModelLoad{Model: order.Model, Adapter: order.Adapter, Unload: order.Unload}
	expectedAt := now.Add(l.expectedDuration(order))
	l.inProgress[order.Endpoint] = append(l.inProgress[order.Endpoint], loadInProgress{load: load, expectedAt: expectedAt})
	l.changed = true
}

func (l *loadTracker) expectedDuration(order placer.Order) time.Duration {
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

// observe removes the orders that are completed or overdue, and those whose endpoint is gone.
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

// completed reports whether the models that the endpoint reports show the effect of the load.
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

// table returns the current table if it has changed since the last call.
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
