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

// add remembers an endpoint that departed.
func (g *tombstones) add(e *endpoint, told bool) {
	if g.byID == nil {
		g.byID = map[string]tombstone{}
	}
	if _, again := g.byID[e.id]; !again {
		g.order = append(g.order, e.id)
	}
	g.byID[e.id] = tombstone{sequence: e.sequence, explicit: told, draining: e.drainingAtDeparture}
	if len(g.order) > maxTombstones {
		delete(g.byID, g.order[0])
		g.order = g.order[1:]
	}
}

// isStale reports whether the update is older than the endpoint's departure.
func (g *tombstones) isStale(update *protocol.Endpoint) bool {
	last, ok := g.byID[update.ID]
	if !ok {
		return false
	}
	return update.Sequence < last.sequence || last.explicit && update.Sequence == last.sequence
}

// wasDraining reports whether the endpoint was draining when it departed: it takes no requests if it comes back.
func (g *tombstones) wasDraining(id string) bool { return g.byID[id].draining }
