package dispatch

import "raventrestle/internal/protocol"

// mostGraves bounds how many endpoints that left are remembered.
const maxTombstones = 1024

// tombstones remembers endpoints that left the table, so that late news don't bring them back.
type tombstones struct {
	byID  map[string]tombstone
	order []string
}

type tombstone struct {
	sequence uint64
	explicit bool // that it is gone; else it only was missing in a whole table
	draining bool
}

// add notes an endpoint that left.
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

// isStale says whether the news are older than the endpoint's leaving.
func (g *tombstones) isStale(news *protocol.Endpoint) bool {
	past, ok := g.byID[news.ID]
	if !ok {
		return false
	}
	return news.Sequence < past.sequence || past.explicit && news.Sequence == past.sequence
}

// wasDraining says whether the endpoint was draining when it left: it takes no requests if it comes back.
func (g *tombstones) wasDraining(id string) bool { return g.byID[id].draining }
