package distribution

import "time"

// sentUpdate is what an update carried that the router has not confirmed yet.
type sentUpdate struct {
	sequence uint64
	revision uint64 // of the table of endpoints that is in force with it
	sentAt   time.Time
}

// confirm takes in that an update is in force, and with it all before.
func (h *Hub) confirm(s *subscriber, sequence uint64) {
	for len(s.unconfirmed) > 0 && s.unconfirmed[0].sequence <= sequence {
		confirmed := s.unconfirmed[0]
		s.unconfirmed = s.unconfirmed[1:]
		s.confirmedRevision = confirmed.revision
	}
}

// newestSentRevision is the newest revision of the table that the router was sent with all its changes.
func (s *subscriber) newestSentRevision() uint64 {
	if last := len(s.unconfirmed) - 1; last >= 0 {
		return s.unconfirmed[last].revision
	}
	return s.confirmedRevision
}

// minConfirmedRevision is the revision of the table that all routers have in force; without routers, the largest
// number.
func (h *Hub) minConfirmedRevision() uint64 {
	lowest := ^uint64(0)
	for _, s := range h.sorted {
		lowest = min(lowest, s.confirmedRevision)
	}
	return lowest
}

// neededBarrier names the barrier that routers wait for, by the number of subscriptions so far; 0: none waits.
func (h *Hub) neededBarrier() uint64 {
	if h.confirmedSubscriptions >= h.subscriptions {
		return 0
	}
	for _, s := range h.sorted {
		if !s.confirmedSent && s.number > h.confirmedSubscriptions {
			return h.subscriptions
		}
	}
	return 0
}

// barrierPassed confirms the configuration to the routers that had subscribed when the barrier began.
func (h *Hub) barrierPassed(now time.Time, number uint64) {
	h.confirmedSubscriptions = max(h.confirmedSubscriptions, number)
	for _, s := range h.sorted {
		if s.confirmedSent || s.number > h.confirmedSubscriptions {
			continue
		}
		s.confirmedSent = true
		update := h.newUpdate(now, s)
		update.GenerationConfirmed = true
		h.send(now, s, update)
	}
}
