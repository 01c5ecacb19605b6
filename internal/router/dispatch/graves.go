package dispatch

import "raventrestle/internal/protocol"

// mostGraves bounds how many endpoints that left are remembered.
const mostGraves = 1024

// graves remembers endpoints that left the table, so that late news don't bring them back.
type graves struct {
	of    map[string]grave
	order []string
}

type grave struct {
	sequence uint64
	told     bool // that it is gone; else it only was missing in a whole table
	drained  bool
}

// bury notes an endpoint that left.
func (g *graves) bury(e *endpoint, told bool) {
	if g.of == nil {
		g.of = map[string]grave{}
	}
	if _, again := g.of[e.id]; !again {
		g.order = append(g.order, e.id)
	}
	g.of[e.id] = grave{sequence: e.sequence, told: told, drained: e.drained}
	if len(g.order) > mostGraves {
		delete(g.of, g.order[0])
		g.order = g.order[1:]
	}
}

// outdated says whether the news are older than the endpoint's leaving.
func (g *graves) outdated(news *protocol.Endpoint) bool {
	past, ok := g.of[news.ID]
	if !ok {
		return false
	}
	return news.Sequence < past.sequence || past.told && news.Sequence == past.sequence
}

// drained says whether the endpoint was draining when it left: it takes no requests if it comes back.
func (g *graves) drained(id string) bool { return g.of[id].drained }
