package registry

import (
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// loadingTable is the placer's newest table of orders under way, with the time at which it came.
type loadingTable struct {
	epoch    uint64
	sequence uint64
	loads    map[string][]timedLoad
}

type timedLoad struct {
	load protocol.ModelLoad
	due  time.Time
}

// overdue is how long an order is shown beyond its expected end, should its holder not speak any more.
const overdue = 30 * time.Second

func (t *loadingTable) of(id string, now time.Time) []protocol.ModelLoad {
	timed := t.loads[id]
	if len(timed) == 0 {
		return nil
	}
	shown := make([]protocol.ModelLoad, len(timed))
	for i, item := range timed {
		shown[i] = item.load
		shown[i].Remaining = max(0, item.due.Sub(now))
	}
	return shown
}

// newer says whether the table is to replace this one.
func (t *loadingTable) newer(table *protocol.LoadingTable) bool {
	if table.Epoch != t.epoch {
		return table.Epoch > t.epoch
	}
	return table.Sequence > t.sequence
}

// ownLoading takes in the table of this instance's placer and tells the others.
func (r *Registry) ownLoading(now time.Time, table protocol.LoadingTable) {
	if !r.takeLoading(now, &table) {
		return
	}
	r.ownLoads = &table
	r.tellLoading(now)
}

func (r *Registry) tellLoading(now time.Time) {
	r.loadsTold = now
	for _, p := range r.order {
		if p.reachable {
			r.sendLoading(now, p)
		}
	}
}

// repeatLoading tells the table again while there is something in it: a message may have been lost.
func (r *Registry) repeatLoading(now time.Time) {
	if r.ownLoads != nil && len(r.ownLoads.Loading) > 0 && now.Sub(r.loadsTold) >= loadingEvery {
		r.tellLoading(now)
	}
}

// sendLoading sends the table with the times that are left.
func (r *Registry) sendLoading(now time.Time, p *peer) {
	if r.ownLoads == nil {
		return
	}
	table := &protocol.LoadingTable{Origin: r.settings.Origin, Epoch: r.ownLoads.Epoch, Sequence: r.ownLoads.Sequence}
	for _, endpoint := range r.ownLoads.Loading {
		table.Loading = append(table.Loading,
			protocol.EndpointLoading{Endpoint: endpoint.Endpoint, Loads: r.loading.of(endpoint.Endpoint, now)})
	}
	r.send(p.address, table)
}

func (r *Registry) takeLoading(now time.Time, table *protocol.LoadingTable) bool {
	if !r.loading.newer(table) {
		return false
	}
	r.ownLoads = nil
	before := r.loading.loads
	r.loading = loadingTable{epoch: table.Epoch, sequence: table.Sequence, loads: make(map[string][]timedLoad)}
	for _, endpoint := range table.Loading {
		for _, load := range endpoint.Loads {
			r.loading.loads[endpoint.Endpoint] = append(r.loading.loads[endpoint.Endpoint],
				timedLoad{load: load, due: now.Add(load.Remaining)})
		}
	}
	r.changeLoading(before)
	return true
}

// changeLoading has the routers told of endpoints whose orders under way are others than before.
func (r *Registry) changeLoading(before map[string][]timedLoad) {
	for id, loads := range r.loading.loads {
		if !slices.EqualFunc(before[id], loads, sameLoad) {
			r.changeIfPresent(id)
		}
	}
	for id := range before {
		if _, still := r.loading.loads[id]; !still {
			r.changeIfPresent(id)
		}
	}
}

func (r *Registry) changeIfPresent(id string) {
	if e := r.entries[id]; e != nil && !e.gone {
		r.change(e, false)
	}
}

func sameLoad(a, b timedLoad) bool {
	return a.load.Model == b.load.Model && a.load.Adapter == b.load.Adapter && a.load.Unload == b.load.Unload
}

// forgetLoading drops what a holder that fell silent left behind.
func (r *Registry) forgetLoading(now time.Time) {
	for id, loads := range r.loading.loads {
		kept := slices.DeleteFunc(loads, func(item timedLoad) bool { return now.Sub(item.due) > overdue })
		if len(kept) == len(loads) {
			continue
		}
		r.changeIfPresent(id)
		if len(kept) == 0 {
			delete(r.loading.loads, id)
			continue
		}
		r.loading.loads[id] = kept
	}
}
