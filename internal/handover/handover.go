// Package handover decides what of an earlier life's messages this one owns, where both processes of a
// courier run for a while. It is pure: it goes by what the earlier journal tells and by whether its writer
// still runs.
//
// At each instant one process owns a message: the one that took it on, until its journal says "handed over"
// or its lock is free; from then on the one that follows, which adopts it once. And one process begins calls:
// the earlier one, until its journal says "closing" or its lock is free.
package handover

import (
	"raventrestle/internal/journal"
)

// Plan is what follows from a look at the earlier life.
type Plan struct {
	Begin bool                   // this life may take clients and begin calls
	Adopt []journal.MessageState // messages that are its own from now on, each told once
	Busy  []string               // messages that the earlier life still has out
	Calls int                    // that these are on: slots of the courier that are not this life's
}

// Heir follows one earlier life. The zero value is not ready for use, see New.
type Heir struct{ taken map[string]bool }

// New returns the heir of a life. Known are ids that are not taken up in any case: a life between has.
func New(known map[string]bool) *Heir {
	h := &Heir{taken: map[string]bool{}}
	for id := range known {
		h.taken[id] = true
	}
	return h
}

// Look takes what the journal tells, and whether its writer has gone.
func (h *Heir) Look(l journal.Snapshot, gone bool) Plan {
	p := Plan{Begin: l.Closing || gone}
	calls := map[journal.Attempt]bool{}
	for _, k := range l.Messages {
		switch {
		case h.taken[k.ID]:
		case gone || k.HandedOver:
			p.Adopt = append(p.Adopt, k)
		case k.PendingNotice == nil:
			p.Busy = append(p.Busy, k.ID)
			if k.InFlight != nil { // mates of a call were sent at one time to one peer
				calls[*k.InFlight] = true
			}
		}
	}
	p.Calls = len(calls)
	return p
}

// Adopted says that the messages stand in this life's journal.
func (h *Heir) Adopted(kept []journal.MessageState) {
	for _, k := range kept {
		h.taken[k.ID] = true
	}
}
