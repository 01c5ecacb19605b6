package distribution

import (
	"time"

	"raventrestle/internal/protocol"
)

const (
	// BeaconInterval is the time after which a router to which nothing else was sent is sent a beacon.
	BeaconInterval = 250 * time.Millisecond

	beaconTolerance = 60 * time.Millisecond // a message that is younger by this than the interval needs no beacon beside it
	confirmTimeout  = 3 * time.Second       // the connection of a router that is slower is closed
)

// sendBeacons sends beacons to the routers that nothing was sent to, and closes the connections of slow ones.
func (h *Hub) sendBeacons(now time.Time) {
	h.beaconAt = now.Add(BeaconInterval)
	for _, s := range h.sorted {
		switch {
		case s.isSlow(now):
			h.forget(s.connection)
			h.close(s.connection, s.router.Node, ReasonSlow)
		case now.Sub(s.sentAt) >= BeaconInterval-beaconTolerance:
			h.sendBeacon(now, s)
		}
	}
}

// isSlow says whether the oldest unconfirmed update was sent longer ago than confirmTimeout.
func (s *subscriber) isSlow(now time.Time) bool {
	return len(s.unconfirmed) > 0 && now.Sub(s.unconfirmed[0].sentAt) > confirmTimeout
}

func (h *Hub) sendBeacon(now time.Time, s *subscriber) {
	s.sentAt, s.advertisedStale = now, !h.fresh(now)
	beacon := &protocol.Beacon{Sequence: s.sequence, Generation: h.generation, Freshness: h.freshnessProof(now, s.connection)}
	h.out.Messages = append(h.out.Messages, Message{Connection: s.connection, Content: beacon})
}
