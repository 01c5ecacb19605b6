// Package handover decides which messages of the previous process of a courier its successor owns, while both run for a
// while. It does no I/O; its inputs are what the previous process's journal says and whether that process has exited.
//
// One process owns each message at any time: the one that accepted it, until its journal says "handed over" or its lock
// is free, and then the successor, which adopts it once. And one process at a time starts calls: the previous one, until
// its journal says "closing" or its lock is free, and then the successor.
package handover

import (
	"raventrestle/internal/journal"
)

// Plan is what the successor may do, given the state of the previous process.
type Plan struct {
	MayStart      bool                   // the successor may accept clients and start calls
	Adopt         []journal.MessageState // messages that the successor owns from now on
	InFlight      []string               // messages that the previous process is still delivering
	CallsInFlight int                    // number of calls that these messages are in; they occupy call slots of the courier
}

// Successor tracks which messages of one previous process have been adopted. Use [New]; the zero value is not usable.
type Successor struct{ adopted map[string]bool }

// New returns the successor of a previous process. It never adopts the messages with the known IDs, because a process
// between the two has adopted them.
func New(known map[string]bool) *Successor {
	s := &Successor{adopted: map[string]bool{}}
	for id := range known {
		s.adopted[id] = true
	}
	return s
}

// Update returns the plan for the content of the previous process's journal. The argument exited says whether that
// process has exited.
func (s *Successor) Update(l journal.Snapshot, exited bool) Plan {
	p := Plan{MayStart: l.Closing || exited}
	calls := map[journal.Attempt]bool{}
	for _, k := range l.Messages {
		switch {
		case s.adopted[k.ID]:
		case exited || k.HandedOver:
			p.Adopt = append(p.Adopt, k)
		case k.PendingNotice == nil:
			p.InFlight = append(p.InFlight, k.ID)
			if k.InFlight != nil { // messages of one call have the same time and target
				calls[*k.InFlight] = true
			}
		}
	}
	p.CallsInFlight = len(calls)
	return p
}

// SetAdopted records that the messages are in the successor's own journal.
func (s *Successor) SetAdopted(kept []journal.MessageState) {
	for _, k := range kept {
		s.adopted[k.ID] = true
	}
}
