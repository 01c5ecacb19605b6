package systemsim

import (
	"raventrestle/internal/protocol"
	"raventrestle/internal/router/dispatch"
)

// table is a router's view of the endpoints. It merges updates as package dispatch does.
type table struct {
	entries    map[string]tableEntry
	tombstones map[string]tombstone
}

// tableEntry is an endpoint as the newest record states it.
type tableEntry struct {
	state    protocol.EndpointState
	sequence uint64
}

// tombstone is what is kept of a removed endpoint: an older record must not bring it back.
type tombstone struct {
	sequence uint64
	explicit bool // its departure was stated; false: a snapshot lacked it
	drained  bool // it was draining
}

func newTable() table {
	return table{entries: make(map[string]tableEntry), tombstones: make(map[string]tombstone)}
}

// merge puts a change into the table.
func (t *table) merge(change *dispatch.ViewChanged) {
	if change.Full {
		t.removeUnlisted(change.Endpoints)
	}
	for _, record := range change.Endpoints {
		t.update(record)
	}
}

// removeUnlisted removes the endpoints that a snapshot lacks.
func (t *table) removeUnlisted(snapshot []protocol.Endpoint) {
	listed := make(map[string]bool, len(snapshot))
	for _, e := range snapshot {
		listed[e.ID] = true
	}
	for id := range t.entries {
		if !listed[id] {
			t.remove(id, false)
		}
	}
}

// remove turns an entry into a tombstone.
func (t *table) remove(id string, explicit bool) {
	former := t.entries[id]
	delete(t.entries, id)
	t.tombstones[id] = tombstone{sequence: former.sequence, explicit: explicit, drained: former.state == protocol.Draining}
}

// update puts one record into the table, unless it is older than what is known. A drain is never taken back.
func (t *table) update(record protocol.Endpoint) {
	known, isListed := t.entries[record.ID]
	past, wasRemoved := t.tombstones[record.ID]
	switch {
	case record.State == protocol.Departed:
		if isListed && record.Sequence >= known.sequence {
			t.entries[record.ID] = tableEntry{state: known.state, sequence: record.Sequence}
			t.remove(record.ID, true)
		}
		return
	case isListed && record.Sequence < known.sequence:
		return
	case !isListed && wasRemoved && (record.Sequence < past.sequence || past.explicit && record.Sequence == past.sequence):
		return
	case isListed && known.state == protocol.Draining, !isListed && past.drained:
		record.State = protocol.Draining
	}
	t.entries[record.ID] = tableEntry{state: record.State, sequence: record.Sequence}
}

// eligible says whether the endpoint may get new requests.
func (t *table) eligible(id string) bool {
	r, isListed := t.entries[id]
	return isListed && (r.state == protocol.Ready || r.state == protocol.Unresponsive)
}
