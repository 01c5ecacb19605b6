package systemsim

import (
	"raventrestle/internal/protocol"
	"raventrestle/internal/router/dispatch"
)

// table is a router's view of the endpoints. It merges as package dispatch does.
type table struct {
	entries    map[string]tableEntry
	tombstones map[string]tombstone
}

type tableEntry struct {
	state    protocol.EndpointState
	sequence uint64
}

type tombstone struct {
	sequence uint64
	explicit bool
	drained  bool
}

func newTable() table {
	return table{entries: make(map[string]tableEntry), tombstones: make(map[string]tombstone)}
}

func (t *table) merge(change *dispatch.ViewChanged) {
	if change.Full {
		t.removeUnlisted(change.Endpoints)
	}
	for _, news := range change.Endpoints {
		t.update(news)
	}
}

func (t *table) removeUnlisted(whole []protocol.Endpoint) {
	named := make(map[string]bool, len(whole))
	for _, e := range whole {
		named[e.ID] = true
	}
	for id := range t.entries {
		if !named[id] {
			t.remove(id, false)
		}
	}
}

func (t *table) remove(id string, told bool) {
	former := t.entries[id]
	delete(t.entries, id)
	t.tombstones[id] = tombstone{sequence: former.sequence, explicit: told, drained: former.state == protocol.Draining}
}

func (t *table) update(news protocol.Endpoint) {
	known, isListed := t.entries[news.ID]
	past, isBuried := t.tombstones[news.ID]
	switch {
	case news.State == protocol.Departed:
		if isListed && news.Sequence >= known.sequence {
			t.entries[news.ID] = tableEntry{state: known.state, sequence: news.Sequence}
			t.remove(news.ID, true)
		}
		return
	case isListed && news.Sequence < known.sequence:
		return
	case !isListed && isBuried && (news.Sequence < past.sequence || past.explicit && news.Sequence == past.sequence):
		return
	case isListed && known.state == protocol.Draining, !isListed && past.drained:
		news.State = protocol.Draining
	}
	t.entries[news.ID] = tableEntry{state: news.State, sequence: news.Sequence}
}

// eligible tells whether the endpoint may get new requests.
func (t *table) eligible(id string) bool {
	r, isListed := t.entries[id]
	return isListed && (r.state == protocol.Ready || r.state == protocol.Unresponsive)
}
