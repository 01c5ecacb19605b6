package dispatch

import (
	"raventrestle/internal/protocol"
)

// maxTombstones bounds how many departed endpoints are remembered.
const maxTombstones = 1024

// tombstones remember endpoints that departed, so that late updates don't bring them back.
type tombstones struct {
	byID  map[string]tombstone
	order []string // oldest first
}

// tombstone is the last state of a departed endpoint.
type tombstone struct {
	sequence uint64
	explicit bool // its departure was announced; else it was only missing in a complete table
	draining bool
}

// add remembers an endpoint that departed. Where that is said twice, what either said holds.
func (t *tombstones) add(e *endpoint, explicit bool) {
	if t.byID == nil {
		t.byID = map[string]tombstone{}
	}
	earlier, again := t.byID[e.id]
	if !again {
		t.order = append(t.order, e.id)
	}
	t.byID[e.id] = tombstone{
		sequence: e.sequence,
		explicit: explicit || earlier.explicit && earlier.sequence == e.sequence,
		draining: e.drainingAtDeparture || earlier.draining,
	}
	if len(t.order) > maxTombstones {
		delete(t.byID, t.order[0])
		t.order = t.order[1:]
	}
}

// isStale reports whether the update is older than the endpoint's departure.
func (t *tombstones) isStale(update *protocol.Endpoint) bool {
	last, ok := t.byID[update.ID]
	if !ok {
		return false
	}
	return update.Sequence < last.sequence || last.explicit && update.Sequence == last.sequence
}

// wasDraining reports whether the endpoint was draining when it departed: it takes no requests if it comes back.
func (t *tombstones) wasDraining(id string) bool { return t.byID[id].draining }
