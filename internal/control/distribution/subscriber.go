package distribution

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// subscriber is one router's connection.
type subscriber struct {
	connection   ConnectionID
	router       protocol.Subscribe
	arrival      uint64 // number of its subscription
	sequence     uint64
	generation   int64 // newest configuration it has, or was sent
	told         bool  // Confirmed was sent
	needsMembers bool
	needsRouters bool
	lastSent     time.Time
	toldStale    bool   // the newest message told no fresh contact
	waiting      []mark // sent and not confirmed yet, in order
	confirmed    uint64 // revision of the table that is in force there
	merging      bool   // its table was for merging: it lacks one that replaces its own
}

// mark remembers what an update carried.
type mark struct {
	sequence uint64
	revision uint64
	sent     time.Time
	grants   *protocol.RouterGrants // nil: none
}

// confirm takes in that an update is in force, and with it all before.
func (h *Hub) confirm(s *subscriber, sequence uint64) {
	for len(s.waiting) > 0 && s.waiting[0].sequence <= sequence {
		done := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.confirmed = done.revision
		if done.grants == nil {
			continue
		}
		h.out.Granted = append(h.out.Granted, protocol.GrantAck{
			Node:        s.router.Node,
			Incarnation: s.router.Incarnation,
			Epoch:       done.grants.Epoch,
			Batch:       done.grants.Batch,
		})
	}
}

// subscribe takes a router in and sends it everything that it lacks.
func (h *Hub) subscribe(now time.Time, table Table, in Subscribed) {
	h.replaceEarlier(in)
	h.noteMark(in.Connection, in.Router.EchoSequence)
	replaces := h.whole && h.fresh(now)
	h.arrivals++
	s := &subscriber{
		connection: in.Connection,
		router:     in.Router,
		arrival:    h.arrivals,
		generation: in.Router.Generation,
		merging:    !replaces,
	}
	if len(h.subscribers) == 0 {
		h.beaconAt = now.Add(BeaconEvery)
		h.flushAt = time.Time{} // nobody was there to be told
		clear(h.changed)
	}
	h.subscribers[in.Connection] = s
	h.order = append(h.order, s)
	slices.SortFunc(h.order, func(a, b *subscriber) int { return cmp.Compare(a.connection, b.connection) })
	h.out.Routers = true
	h.out.Joined = append(h.out.Joined, in.Router)
	update := h.update(now, s)
	update.Snapshot, update.Endpoints = replaces, table(!replaces)
	update.Members = h.members
	update.RouterCount = h.routers
	h.send(now, s, update)
}

// replaceEarlier ends an earlier connection of the same router, which it has given up.
func (h *Hub) replaceEarlier(in Subscribed) {
	for _, s := range h.order {
		id := s.connection
		if s.router.Node != in.Router.Node && id != in.Connection {
			continue
		}
		h.forget(id)
		if id != in.Connection {
			h.close(id, s.router.Node, Replaced)
		}
	}
}

func (h *Hub) forget(id ConnectionID) {
	if _, known := h.subscribers[id]; !known {
		return
	}
	delete(h.subscribers, id)
	h.order = slices.DeleteFunc(slices.Clone(h.order), func(s *subscriber) bool { return s.connection == id })
	h.out.Routers = true
}

func (h *Hub) close(id ConnectionID, node, reason string) {
	delete(h.marks, id)
	h.out.Close = append(h.out.Close, Closing{Connection: id, Node: node, Reason: reason})
}

// update begins an update with the configuration, where the router's is older.
func (h *Hub) update(now time.Time, s *subscriber) *protocol.Update {
	update := &protocol.Update{Generation: h.generation, Freshness: h.standing(now, s.connection)}
	if h.generation > s.generation {
		update.Document = h.document
	}
	if s.needsMembers {
		update.Members = h.members
	}
	if s.needsRouters {
		update.RouterCount = h.routers
	}
	s.needsMembers, s.needsRouters = false, false
	return update
}

func (h *Hub) send(now time.Time, s *subscriber, update *protocol.Update) {
	s.sequence++
	update.Sequence = s.sequence
	s.generation = max(s.generation, update.Generation)
	s.lastSent, s.toldStale = now, !h.fresh(now)
	revision := h.revision
	if len(h.changed) > 0 && !update.Snapshot {
		revision = h.sentRevision(s)
	}
	s.waiting = append(s.waiting, mark{sequence: s.sequence, revision: revision, sent: now})
	h.out.Send = append(h.out.Send, Send{Connection: s.connection, Message: update})
}

// sentRevision is the newest revision that the router was sent as a whole: changes still wait here.
func (h *Hub) sentRevision(s *subscriber) uint64 {
	if last := len(s.waiting) - 1; last >= 0 {
		return s.waiting[last].revision
	}
	return s.confirmed
}

// flush sends what has gathered.
func (h *Hub) flush(now time.Time) {
	h.flushAt, h.flushed = time.Time{}, now
	endpoints := make([]protocol.Endpoint, 0, len(h.changed))
	for _, id := range slices.Sorted(maps.Keys(h.changed)) {
		endpoints = append(endpoints, h.changed[id])
	}
	clear(h.changed)
	for _, s := range h.order {
		if len(endpoints) == 0 && s.generation >= h.generation && !s.needsMembers && !s.needsRouters {
			continue
		}
		update := h.update(now, s)
		update.Endpoints = endpoints
		h.send(now, s, update)
	}
}

// beacons speaks to the routers that nothing was sent to, and sends the slow ones away.
func (h *Hub) beacons(now time.Time) {
	h.beaconAt = now.Add(BeaconEvery)
	for _, s := range h.order {
		id := s.connection
		switch {
		case len(s.waiting) > 0 && now.Sub(s.waiting[0].sent) > confirmWithin:
			h.forget(id)
			h.close(id, s.router.Node, Slow)
		case now.Sub(s.lastSent) >= BeaconEvery-beaconSlack:
			h.beacon(now, s)
		}
	}
}

func (h *Hub) beacon(now time.Time, s *subscriber) {
	s.lastSent, s.toldStale = now, !h.fresh(now)
	message := &protocol.Beacon{Sequence: s.sequence, Generation: h.generation, Freshness: h.standing(now, s.connection)}
	h.out.Send = append(h.out.Send, Send{Connection: s.connection, Message: message})
}

// floor is the revision that every router has in force.
func (h *Hub) floor() uint64 {
	lowest := ^uint64(0)
	for _, s := range h.order {
		lowest = min(lowest, s.confirmed)
	}
	return lowest
}

// Connected returns the names of the routers.
func (h *Hub) Connected() []string {
	nodes := make([]string, 0, len(h.subscribers))
	for _, s := range h.order {
		nodes = append(nodes, s.router.Node)
	}
	return nodes
}
