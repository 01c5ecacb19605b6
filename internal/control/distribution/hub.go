package distribution

import (
	"time"

	"raventrestle/internal/protocol"
)

// Hub has the subscriptions of one instance. It is not safe for concurrent use.
type Hub struct {
	subscribers map[ConnectionID]*subscriber
	sorted      []*subscriber           // by connection: what is sent must not depend on the order of a map
	echoes      map[ConnectionID]uint64 // number to be returned on each connection, subscribed or not
	started     time.Time
	contact     QuorumContact

	// What routers are to know, beside the endpoints.
	generation  int64
	document    []byte
	members     []protocol.Member
	routerCount int

	// Changes of endpoints that gather for the next flush.
	changed   map[string]protocol.Endpoint // by ID, not sent yet
	revision  uint64                       // of the table of endpoints, with changed
	complete  bool                         // the table lacks nothing that other instances know
	flushAt   time.Time                    // zero: nothing waits
	flushedAt time.Time
	beaconAt  time.Time // next look at who needs a beacon

	subscriptions          uint64 // so far
	confirmedSubscriptions uint64 // a barrier has passed that began after this many

	out Output // of the step in progress
}

// New returns a hub without routers. Its messages state the time since it started.
func New(started time.Time) *Hub {
	return &Hub{
		subscribers: make(map[ConnectionID]*subscriber),
		echoes:      make(map[ConnectionID]uint64),
		started:     started,
		changed:     make(map[string]protocol.Endpoint),
	}
}

// Step takes in what happened and returns what is to be done. Times of successive steps must not decrease.
func (h *Hub) Step(now time.Time, table Table, inputs ...Input) Output {
	h.out = Output{}
	wasStale := !h.fresh(now)
	for _, in := range inputs {
		h.apply(now, table, in)
	}
	if h.fresh(now) {
		h.sendSnapshots(now, table)
	}
	if !h.flushAt.IsZero() && !now.Before(h.flushAt) {
		h.flush(now)
	}
	if len(h.subscribers) > 0 && !now.Before(h.beaconAt) {
		h.sendBeacons(now)
	}
	if h.fresh(now) {
		h.advertiseContact(now, wasStale)
	}
	h.out.MinConfirmedRevision = h.minConfirmedRevision()
	h.out.StartBarrier = h.neededBarrier()
	h.out.WakeAt = h.wakeAt(now)
	return h.out
}

func (h *Hub) apply(now time.Time, table Table, in Input) {
	switch in := in.(type) {
	case Subscribed:
		h.subscribe(now, table, in)
	case UpdateConfirmed:
		if s := h.subscribers[in.Connection]; s != nil {
			h.confirm(s, in.Sequence)
			h.noteEcho(in.Connection, in.Echo)
		}
	case Probed:
		h.answerProbe(now, in)
	case ConnectionClosed:
		h.forget(in.Connection)
		delete(h.echoes, in.Connection)
	case Configuration:
		h.configure(now, in)
	case BarrierPassed:
		h.barrierPassed(now, in.Barrier)
	case Members:
		h.setMembers(now, in.Members)
	case QuorumContact:
		h.contact = in
	case Endpoints:
		h.changeEndpoints(now, in)
	}
}

// wakeAt is when the next step is due; zero: at the next input.
func (h *Hub) wakeAt(now time.Time) time.Time {
	if len(h.subscribers) == 0 {
		return time.Time{}
	}
	wake := h.beaconAt
	if !h.flushAt.IsZero() && h.flushAt.Before(wake) {
		wake = h.flushAt
	}
	if poll := now.Add(contactPollInterval); !h.fresh(now) && poll.Before(wake) {
		wake = poll // the host gives the newest contact in each step
	}
	return wake
}
