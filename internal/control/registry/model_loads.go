package registry

import (
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// loadingTable is the newest table of the placer's orders in flight: loads and unloads of models. The higher epoch wins,
// then the higher sequence, so that the table of a former placer does not replace that of its successor.
type loadingTable struct {
	epoch    uint64
	sequence uint64
	loads    map[string][]expectedLoad // by endpoint
}

// expectedLoad is an order and when it is expected to be done.
type expectedLoad struct {
	load protocol.ModelLoad
	due  time.Time
}

// remaining returns an endpoint's orders with the time that each is expected to take from now on.
func (t *loadingTable) remaining(id string, now time.Time) []protocol.ModelLoad {
	expected := t.loads[id]
	if len(expected) == 0 {
		return nil
	}
	loads := make([]protocol.ModelLoad, len(expected))
	for i, item := range expected {
		loads[i] = item.load
		loads[i].Remaining = max(0, item.due.Sub(now))
	}
	return loads
}

// isSupersededBy returns whether a table that arrived replaces this one.
func (t *loadingTable) isSupersededBy(table *protocol.LoadingTable) bool {
	if table.Epoch != t.epoch {
		return table.Epoch > t.epoch
	}
	return table.Sequence > t.sequence
}

// handleLocalLoading takes in the table of this instance's placer and sends it to the peers.
func (r *Registry) handleLocalLoading(now time.Time, table protocol.LoadingTable) {
	if !r.applyLoading(now, &table) {
		return
	}
	r.localLoading = &table
	r.broadcastLoading(now)
}

// applyLoading replaces the table if it is superseded, and returns whether it was.
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

// queueLoadingUpdates has the routers notified of endpoints whose orders differ from those before.
func (r *Registry) queueLoadingUpdates(before map[string][]expectedLoad) {
	for id, loads := range r.loads.loads {
		if !slices.EqualFunc(before[id], loads, sameOrder) {
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
	if e := r.table.byID[id]; e != nil && !e.tombstone {
		r.queueUpdate(e, false)
	}
}

// sameOrder compares orders without their expected ends.
func sameOrder(a, b expectedLoad) bool {
	return a.load.Model == b.load.Model && a.load.Adapter == b.load.Adapter && a.load.Unload == b.load.Unload
}

func (r *Registry) broadcastLoading(now time.Time) {
	r.loadingSentAt = now
	for _, p := range r.peersByAddress {
		if p.reachable {
			r.sendLoading(now, p)
		}
	}
}

// resendLoading sends the table again while it has orders: a message may have been lost.
func (r *Registry) resendLoading(now time.Time) {
	if r.localLoading != nil && len(r.localLoading.Loading) > 0 && now.Sub(r.loadingSentAt) >= loadingResendInterval {
		r.broadcastLoading(now)
	}
}

// sendLoading sends a peer the table of this instance's placer, if it is in force, with the remaining times.
func (r *Registry) sendLoading(now time.Time, p *peer) {
	if r.localLoading == nil {
		return
	}
	table := &protocol.LoadingTable{
		Origin: r.config.Origin, Epoch: r.localLoading.Epoch, Sequence: r.localLoading.Sequence,
	}
	for _, endpoint := range r.localLoading.Loading {
		table.Loading = append(table.Loading, protocol.EndpointLoading{
			Endpoint: endpoint.Endpoint, Loads: r.loads.remaining(endpoint.Endpoint, now),
		})
	}
	r.send(p.address, table)
}

// expireLoading drops overdue orders, which a placer that failed leaves behind.
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
