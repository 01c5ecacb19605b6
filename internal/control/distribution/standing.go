package distribution

import (
	"time"

	"raventrestle/internal/protocol"
)

// fresh says whether this instance has had contact with a majority of the voters lately.
func (h *Hub) fresh(now time.Time) bool {
	return !h.contact.ConfirmedAt.IsZero() && now.Sub(h.contact.ConfirmedAt) <= FreshFor
}

// standing is what a message that is decided now states on a connection.
func (h *Hub) standing(now time.Time, connection ConnectionID) protocol.FreshnessProof {
	standing := protocol.FreshnessProof{
		Epoch:              h.contact.Epoch,
		HasMajorityContact: !h.contact.ConfirmedAt.IsZero(),
		SentAt:             now.Sub(h.started),
		EchoedSequence:     h.marks[connection],
	}
	if standing.HasMajorityContact {
		standing.MajorityContactAge = max(0, now.Sub(h.contact.ConfirmedAt))
	}
	return standing
}

// noteMark keeps the newest mark of a connection: marks only rise.
func (h *Hub) noteMark(connection ConnectionID, mark uint64) {
	if mark > h.marks[connection] {
		h.marks[connection] = mark
	}
}

// probed answers at once, whoever asks.
func (h *Hub) probed(now time.Time, in Probed) {
	h.noteMark(in.Connection, in.Mark)
	answer := &protocol.ProbeReply{Generation: h.generation, Freshness: h.standing(now, in.Connection)}
	h.out.Send = append(h.out.Send, Send{Connection: in.Connection, Message: answer})
}

// tellContact has routers know at once that the contact is fresh, where they were last told otherwise, or where it
// has just become so and nothing was sent to them in this step.
func (h *Hub) tellContact(now time.Time, wasStale bool) {
	for _, s := range h.order {
		if s.toldStale || wasStale && s.lastSent.Before(now) {
			h.beacon(now, s)
		}
	}
}
