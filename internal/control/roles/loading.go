package roles

import (
	"slices"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/control/placer"
	"raventrestle/internal/protocol"
)

const (
	adapterTime = 500 * time.Millisecond // an adapter arrives within some milliseconds and the next heartbeat
	unloadTime  = 5 * time.Second        // an unload waits for the model's requests
	defaultLoad = 10 * time.Second       // of a model that the configuration doesn't know any more
	lateLoad    = 20 * time.Second       // beyond the expected end an order counts as failed
)

// loadings knows which orders are under way at which endpoint. It is pure.
type loadings struct {
	times    map[string]time.Duration // of a load, by service and model
	byID     map[string][]underWay    // by endpoint
	sequence uint64
	changed  bool
}

type underWay struct {
	load protocol.ModelLoad
	due  time.Time
}

func newLoadings() *loadings {
	return &loadings{times: make(map[string]time.Duration), byID: make(map[string][]underWay)}
}

// configure learns how long loads take.
func (l *loadings) configure(c *configuration.Configuration) {
	clear(l.times)
	for _, service := range c.Services {
		if service.Engine == nil {
			continue
		}
		for _, model := range service.Engine.Models {
			l.times[model.Name] = time.Duration(model.LoadTimeSeconds * float64(time.Second))
		}
	}
}

// begin notes an order that an endpoint took.
func (l *loadings) begin(now time.Time, order placer.Order) {
	load := protocol.ModelLoad{Model: order.Model, Adapter: order.Adapter, Unload: order.Unload}
	due := now.Add(l.expected(order))
	l.byID[order.Endpoint] = append(l.byID[order.Endpoint], underWay{load: load, due: due})
	l.changed = true
}

func (l *loadings) expected(order placer.Order) time.Duration {
	switch {
	case order.Unload:
		return unloadTime
	case order.Adapter != "":
		return adapterTime
	}
	if known := l.times[order.Model]; known > 0 {
		return known
	}
	return defaultLoad
}

// observe removes what endpoints have done, or what will not be done any more.
func (l *loadings) observe(now time.Time, endpoints []protocol.Endpoint) {
	present := make(map[string]*protocol.Endpoint, len(l.byID))
	for i := range endpoints {
		if _, waits := l.byID[endpoints[i].ID]; waits {
			present[endpoints[i].ID] = &endpoints[i]
		}
	}
	for id, orders := range l.byID {
		endpoint := present[id]
		kept := slices.DeleteFunc(orders, func(order underWay) bool {
			return endpoint == nil || done(endpoint, order.load) || now.Sub(order.due) > lateLoad
		})
		if len(kept) == len(orders) {
			continue
		}
		l.changed = true
		l.byID[id] = kept
		if len(kept) == 0 {
			delete(l.byID, id)
		}
	}
}

// done says whether an endpoint's own account shows the order's effect.
func done(endpoint *protocol.Endpoint, load protocol.ModelLoad) bool {
	return holds(endpoint, load.Model, load.Adapter) != load.Unload
}

func holds(endpoint *protocol.Endpoint, model, adapter string) bool {
	for _, held := range endpoint.Models {
		if held.Name == model {
			return adapter == "" || slices.Contains(held.Adapters, adapter)
		}
	}
	return false
}

// table returns the newest table if it changed since the last call.
func (l *loadings) table(now time.Time, epoch uint64) (protocol.LoadingTable, bool) {
	if !l.changed {
		return protocol.LoadingTable{}, false
	}
	l.changed = false
	l.sequence++
	table := protocol.LoadingTable{Epoch: epoch, Sequence: l.sequence}
	for id, orders := range l.byID {
		loading := protocol.EndpointLoading{Endpoint: id}
		for _, order := range orders {
			load := order.load
			load.Remaining = max(0, order.due.Sub(now))
			loading.Loads = append(loading.Loads, load)
		}
		table.Loading = append(table.Loading, loading)
	}
	return table, true
}
