package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// endpointTable holds the entries, tombstones included, with its indexes.
type endpointTable struct {
	byID      map[string]*entry
	byHash    map[uint32]*entry // by NameHash of the ID
	byAddress map[string]*entry // the newest entry of each address
}

func newEndpointTable() endpointTable {
	return endpointTable{
		byID:      make(map[string]*entry),
		byHash:    make(map[uint32]*entry),
		byAddress: make(map[string]*entry),
	}
}

// findOrInsert returns the entry of an ID, a new one if there is none.
func (t *endpointTable) findOrInsert(id string) *entry {
	if e := t.byID[id]; e != nil {
		return e
	}
	e := &entry{idHash: NameHash(id)}
	e.endpoint.ID = id
	t.byID[id] = e
	t.byHash[e.idHash] = e
	return e
}

func (t *endpointTable) remove(e *entry) {
	delete(t.byID, e.endpoint.ID)
	if t.byHash[e.idHash] == e {
		delete(t.byHash, e.idHash)
	}
	if t.byAddress[e.endpoint.Address] == e {
		delete(t.byAddress, e.endpoint.Address)
	}
}

// sortedIDs returns the IDs of all entries in order.
func (t *endpointTable) sortedIDs() []string { return slices.Sorted(maps.Keys(t.byID)) }

// contentHash covers the contents of all entries but tombstones. Instances compare it in digests.
func (t *endpointTable) contentHash() uint64 {
	var sum uint64
	for _, e := range t.byID {
		if !e.tombstone {
			sum ^= e.contentHash
		}
	}
	return sum
}

// updateQueue collects the endpoints that changed in a step, for the routers.
type updateQueue struct {
	ids      map[string]struct{}
	urgent   bool
	revision uint64 // of the newest update; each step with changes makes one
}

func newUpdateQueue() updateQueue { return updateQueue{ids: make(map[string]struct{})} }

// queueUpdate has the routers notified of an entry at the end of this step.
func (r *Registry) queueUpdate(e *entry, urgent bool) {
	r.updates.ids[e.endpoint.ID] = struct{}{}
	r.updates.urgent = r.updates.urgent || urgent
}

// publishUpdates gives the changes of this step a revision and puts them into the output. Endpoints that may have
// departed unnoticed get the revision but are not shown: see partition_recovery.go.
func (r *Registry) publishUpdates(now time.Time) {
	if len(r.updates.ids) == 0 {
		return
	}
	r.updates.revision++
	for _, id := range slices.Sorted(maps.Keys(r.updates.ids)) {
		e := r.table.byID[id]
		e.revision = r.updates.revision
		if r.hiddenWhileStale(now, e) {
			continue
		}
		r.output.Changed = append(r.output.Changed, r.routerView(now, e))
	}
	r.output.Urgent = r.updates.urgent
	r.updates.urgent = false
	clear(r.updates.ids)
}

// tableSnapshot is the table that Endpoints returned last.
type tableSnapshot struct {
	endpoints []protocol.Endpoint // nil: there is none yet
	takenAt   time.Time
	revision  uint64
}

// Endpoints returns the table as routers see it, sorted by ID, without tombstones. Warm-up times and sequences may be
// up to tableCacheTTL old. The caller must not change the slice.
func (r *Registry) Endpoints(now time.Time) []protocol.Endpoint {
	last := &r.tableSnapshot
	unchanged := last.revision == r.updates.revision && len(r.updates.ids) == 0
	if last.endpoints == nil || !unchanged || now.Sub(last.takenAt) >= tableCacheTTL {
		last.endpoints = r.routerViews(now, func(e *entry) bool { return !e.tombstone })
		last.takenAt, last.revision = now, r.updates.revision
	}
	return last.endpoints
}

// EndpointsAndTombstones returns a new table that has tombstones as well, in state Departed.
func (r *Registry) EndpointsAndTombstones(now time.Time) []protocol.Endpoint {
	return r.routerViews(now, func(*entry) bool { return true })
}

func (r *Registry) routerViews(now time.Time, included func(e *entry) bool) []protocol.Endpoint {
	views := make([]protocol.Endpoint, 0, len(r.table.byID))
	for _, e := range r.table.byID {
		if included(e) && !r.hiddenWhileStale(now, e) {
			views = append(views, r.routerView(now, e))
		}
	}
	slices.SortFunc(views, func(a, b protocol.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return views
}
