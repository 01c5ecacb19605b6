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
	loads    map[string][]expectedLoad
}

type expectedLoad struct {
	load protocol.ModelLoad
	due  time.Time
}

// overdue is how long an order is shown beyond its expected end, should its holder not speak any more.
const loadOverdueTTL = 30 * time.Second

func (t *loadingTable) remaining(id string, now time.Time) []protocol.ModelLoad {
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

// isSupersededBy says whether the table is to replace this one.
func (t *loadingTable) isSupersededBy(table *protocol.LoadingTable) bool {
	if table.Epoch != t.epoch {
		return table.Epoch > t.epoch
	}
	return table.Sequence > t.sequence
}

// handleLocalLoading takes in the table of this instance's placer and tells the others.
func (r *Registry) handleLocalLoading(now time.Time, table protocol.LoadingTable) {
	if !r.applyLoading(now, &table) {
		return
	}
	r.localLoading = &table
	r.broadcastLoading(now)
}

func (r *Registry) broadcastLoading(now time.Time) {
	r.loadingSentAt = now
	for _, p := range r.peersByAddress {
		if p.reachable {
			r.sendLoading(now, p)
		}
	}
}

// resendLoading tells the table again while there is something in it: a message may have been lost.
func (r *Registry) resendLoading(now time.Time) {
	if r.localLoading != nil && len(r.localLoading.Loading) > 0 && now.Sub(r.loadingSentAt) >= loadingResendInterval {
		r.broadcastLoading(now)
	}
}

// sendLoading sends the table with the times that are left.
func (r *Registry) sendLoading(now time.Time, p *peer) {
	if r.localLoading == nil {
		return
	}
	table := &protocol.LoadingTable{Origin: r.config.Origin, Epoch: r.localLoading.Epoch, Sequence: r.localLoading.Sequence}
	for _, endpoint := range r.localLoading.Loading {
		table.Loading = append(table.Loading,
			protocol.EndpointLoading{Endpoint: endpoint.Endpoint, Loads: r.loads.remaining(endpoint.Endpoint, now)})
	}
	r.send(p.address, table)
}

func (r *Registry) applyLoading(now time.Time, table *protocol.LoadingTable) bool {
	if !r.loads.isSupersededBy(table) {
		return false
	}
	r.localLoading = nil
	before := r.loads.loads
	r.loads = loadingTable{epoch: table.Epoch, sequence: table.Sequence, loads: make(map[string][]expectedLoad)}
	for _, endpoint := range table.Loading {
		for _, load := range endpoint.Loads {
			r.loads.loads[endpoint.Endpoint] = append(r.loads.loads[endpoint.Endpoint],
				expectedLoad{load: load, due: now.Add(load.Remaining)})
		}
	}
	r.queueLoadingUpdates(before)
	return true
}

// queueLoadingUpdates has the routers told of endpoints whose orders under way are others than before.
func (r *Registry) queueLoadingUpdates(before map[string][]expectedLoad) {
	for id, loads := range r.loads.loads {
		if !slices.EqualFunc(before[id], loads, sameLoad) {
			r.queueUpdateIfPresent(id)
		}
	}
	for id := range before {
		if _, still := r.loads.loads[id]; !still {
			r.queueUpdateIfPresent(id)
		}
	}
}

func (r *Registry) queueUpdateIfPresent(id string) {
	if e := r.entries[id]; e != nil && !e.tombstone {
		r.queueUpdate(e, false)
	}
}

func sameLoad(a, b expectedLoad) bool {
	return a.load.Model == b.load.Model && a.load.Adapter == b.load.Adapter && a.load.Unload == b.load.Unload
}

// expireLoading drops what a holder that fell silent left behind.
func (r *Registry) expireLoading(now time.Time) {
	for id, loads := range r.loads.loads {
		kept := slices.DeleteFunc(loads, func(item expectedLoad) bool { return now.Sub(item.due) > loadOverdueTTL })
		if len(kept) == len(loads) {
			continue
		}
		r.queueUpdateIfPresent(id)
		if len(kept) == 0 {
			delete(r.loads.loads, id)
			continue
		}
		r.loads.loads[id] = kept
	}
}
