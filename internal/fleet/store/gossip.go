package store

import (
	"slices"

	"raventrestle/internal/fleet/facts"
)

// one register: what its origin last told under a key.
type told struct {
	key    facts.Key
	origin string
}

// gossip is the queue of registers to pass on. It holds names and not facts: what is passed on is what the table holds
// at that moment, with its age of that moment, and nothing if it has expired, is dead or is gone.
//
// There is one line for each number of times passed on so far; lines are served from the first, so that news goes
// before repeats. A register that changes again goes back to the first line.
type gossip struct {
	most  int
	turn  map[told]turn // where each stands
	lines [][]queued    // first in, first out; entries whose turn is another are skipped
	last  uint64
}

type turn struct {
	line   int
	number uint64
}

type queued struct {
	told
	number uint64
}

func newGossip(most, passes int) gossip {
	return gossip{most: most, turn: map[told]turn{}, lines: make([][]queued, passes)}
}

// add puts the register in a line and gives the number of others that were dropped for it: of those passed on most,
// the one that has waited longest.
func (g *gossip) add(w told, line int) (dropped int) {
	if line >= len(g.lines) {
		delete(g.turn, w)
		return 0
	}
	if _, in := g.turn[w]; !in && len(g.turn) >= g.most {
		for l := len(g.lines) - 1; l >= 0; l-- {
			if q, ok := g.pop(l); ok {
				delete(g.turn, q)
				dropped++
				break
			}
		}
	}
	g.last++
	g.turn[w] = turn{line, g.last}
	g.lines[line] = append(g.lines[line], queued{w, g.last})
	if n := g.lines[line]; len(n) > 2*g.most+16 { // mostly skipped entries: keep those that count
		kept := n[:0]
		for _, q := range n {
			if g.turn[q.told].number == q.number {
				kept = append(kept, q)
			}
		}
		clear(n[len(kept):])
		g.lines[line] = kept
	}
	return dropped
}

// again puts what was taken from the line and not handed out at its head, unless it was added anew meanwhile.
func (g *gossip) again(w told, line int, number uint64) {
	if g.turn[w].number == number {
		g.lines[line] = slices.Insert(g.lines[line], 0, queued{w, number})
	}
}

// pop takes the first of the line; add or again follows.
func (g *gossip) pop(line int) (told, bool) {
	for len(g.lines[line]) > 0 {
		q := g.lines[line][0]
		g.lines[line][0] = queued{}
		g.lines[line] = g.lines[line][1:]
		if g.turn[q.told].number == q.number {
			return q.told, true
		}
	}
	return told{}, false
}
