package store

import (
	"slices"

	"raventrestle/internal/fleet/facts"
)

// registerID identifies a register: its key and its origin.
type registerID struct {
	key    facts.Key
	origin string
}

// gossipQueue contains the registers to send. It stores ids and not facts: a send uses the fact that the table has at
// that time, with its current age, and nothing if the fact has expired, is retired or was removed.
//
// There is one FIFO queue for each number of sends so far. They are served in ascending order, so that new facts precede
// repeated ones. A register that changes returns to the first queue.
type gossipQueue struct {
	maxEntries int
	positions  map[registerID]position // current position of each register
	bySends    [][]queueEntry          // FIFO queues by number of sends; an entry whose number is not the register's current one is skipped
	lastNumber uint64
}

type position struct {
	sends  int
	number uint64
}

type queueEntry struct {
	registerID
	number uint64
}

func newGossipQueue(maxEntries, maxSends int) gossipQueue {
	return gossipQueue{maxEntries: maxEntries, positions: map[registerID]position{}, bySends: make([][]queueEntry, maxSends)}
}

// add puts the register into the queue for its number of sends, and returns the number of other registers dropped for
// it: of those with the most sends, the one that has waited longest.
func (g *gossipQueue) add(id registerID, sends int) (dropped int) {
	if sends >= len(g.bySends) {
		delete(g.positions, id)
		return 0
	}
	if _, present := g.positions[id]; !present && len(g.positions) >= g.maxEntries {
		for n := len(g.bySends) - 1; n >= 0; n-- {
			if q, ok := g.pop(n); ok {
				delete(g.positions, q)
				dropped++
				break
			}
		}
	}
	g.lastNumber++
	g.positions[id] = position{sends, g.lastNumber}
	g.bySends[sends] = append(g.bySends[sends], queueEntry{id, g.lastNumber})
	if entries := g.bySends[sends]; len(entries) > 2*g.maxEntries+16 { // mostly skipped entries: keep only the current ones
		kept := entries[:0]
		for _, q := range entries {
			if g.positions[q.registerID].number == q.number {
				kept = append(kept, q)
			}
		}
		clear(entries[len(kept):])
		g.bySends[sends] = kept
	}
	return dropped
}

// putBack returns an entry from pop to the head of its queue, unless the register was added again meanwhile.
func (g *gossipQueue) putBack(id registerID, sends int, number uint64) {
	if g.positions[id].number == number {
		g.bySends[sends] = slices.Insert(g.bySends[sends], 0, queueEntry{id, number})
	}
}

// pop removes and returns the first register of a queue; the caller must call add or putBack afterwards.
func (g *gossipQueue) pop(sends int) (registerID, bool) {
	for len(g.bySends[sends]) > 0 {
		q := g.bySends[sends][0]
		g.bySends[sends][0] = queueEntry{}
		g.bySends[sends] = g.bySends[sends][1:]
		if g.positions[q.registerID].number == q.number {
			return q.registerID, true
		}
	}
	return registerID{}, false
}
