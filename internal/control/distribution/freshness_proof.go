package distribution

import (
	"time"

	"raventrestle/internal/protocol"
)

const (
	// QuorumContactTTL is how long a contact with a majority counts as fresh.
	QuorumContactTTL = time.Second

	contactPollInterval = 50 * time.Millisecond // between steps while routers wait for a fresh contact
)

// fresh says whether this instance has had contact with a majority of the voters in the last QuorumContactTTL.
func (h *Hub) fresh(now time.Time) bool {
	return !h.contact.ConfirmedAt.IsZero() && now.Sub(h.contact.ConfirmedAt) <= QuorumContactTTL
}

// freshnessProof is the freshness proof that a message which is decided now carries on a connection.
func (h *Hub) freshnessProof(now time.Time, connection ConnectionID) protocol.FreshnessProof {
	proof := protocol.FreshnessProof{
		Epoch:              h.contact.Epoch,
		HasMajorityContact: !h.contact.ConfirmedAt.IsZero(),
		SentAt:             now.Sub(h.started),
		EchoedSequence:     h.echoes[connection],
	}
	if proof.HasMajorityContact {
		proof.MajorityContactAge = max(0, now.Sub(h.contact.ConfirmedAt))
	}
	return proof
}

// noteEcho keeps the newest echo of a connection: echoes only rise.
func (h *Hub) noteEcho(connection ConnectionID, echo uint64) {
	if echo > h.echoes[connection] {
		h.echoes[connection] = echo
	}
}

// answerProbe answers at once, whoever asks.
func (h *Hub) answerProbe(now time.Time, in Probed) {
	h.noteEcho(in.Connection, in.Echo)
	answer := &protocol.ProbeReply{Generation: h.generation, Freshness: h.freshnessProof(now, in.Connection)}
	h.out.Messages = append(h.out.Messages, Message{Connection: in.Connection, Content: answer})
}

// advertiseContact sends beacons at once where the contact has become fresh: to routers whose newest message stated
// otherwise, and, where it became fresh in this step, to all that were sent nothing in it.
func (h *Hub) advertiseContact(now time.Time, wasStale bool) {
	for _, s := range h.sorted {
		if s.advertisedStale || wasStale && s.sentAt.Before(now) {
			h.sendBeacon(now, s)
		}
	}
}
