package dispatch

import (
	"raventrestle/internal/protocol"
)

// maxTombstones is the maximum number of departed endpoints that are remembered.
const maxTombstones = 1024

// tombstones remembers endpoints that have departed, so that late updates don't add them again.
type tombstones struct {
	byID  map[string]tombstone
	order []string // oldest first
}

// tombstone is the last state of a departed endpoint.
type tombstone struct {
	sequence uint64
	explicit bool // the departure was announced; otherwise the endpoint was only missing in a complete table
	draining bool
}

// add remembers an endpoint that has departed. If a departure is reported twice, the tombstone combines both reports.
func (t *tombstones) add(e *endpoint, explicit bool) {
	if t.byID == nil {
		t.byID = map[string]tombstone{}
	}
	previous, known := t.byID[e.id]
	if !known {
		t.order = append(t.order, e.id)
	}
	t.byID[e.id] = tombstone{
		sequence: e.sequence,
		explicit: explicit || previous.explicit && previous.sequence == e.sequence,
		draining: e.drainingAtDeparture || previous.draining,
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

// wasDraining reports whether the endpoint was draining when it departed. Such an endpoint accepts no requests if it
// comes back.
func (t *tombstones) wasDraining(id string) bool { return t.byID[id].draining }
