package distribution

import (
	"cmp"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// subscriber is one router's subscription on its connection.
type subscriber struct {
	connection ConnectionID
	router     protocol.Subscribe
	number     uint64 // of its subscription, in the order in which they came

	sequence          uint64       // of the newest update
	generation        int64        // newest configuration that it has, or was sent
	unconfirmed       []sentUpdate // in the order of sending
	confirmedRevision uint64       // of the table that is in force there
	confirmedSent     bool         // an update marked Confirmed was sent

	needsMembers     bool
	needsRouterCount bool
	merging          bool // its table was sent for merging: it lacks a snapshot

	sentAt          time.Time // newest message
	advertisedStale bool      // the newest message stated no fresh contact
}

// subscribe takes a router in and sends it everything that it lacks.
func (h *Hub) subscribe(now time.Time, table Table, in Subscribed) {
	h.replaceEarlier(in)
	h.noteEcho(in.Connection, in.Router.EchoSequence)
	isSnapshot := h.complete && h.fresh(now)
	if len(h.subscribers) == 0 {
		h.beaconAt = now.Add(BeaconInterval)
		h.dropChanges()
	}
	s := h.add(in, !isSnapshot)
	h.out.RoutersChanged = true
	h.out.Subscribed = append(h.out.Subscribed, in.Router)
	update := h.newUpdate(now, s)
	update.Snapshot, update.Endpoints = isSnapshot, table(!isSnapshot)
	update.Members = h.members
	update.RouterCount = h.routerCount
	h.send(now, s, update)
}

// add makes the subscription.
func (h *Hub) add(in Subscribed, merging bool) *subscriber {
	h.subscriptions++
	s := &subscriber{
		connection: in.Connection,
		router:     in.Router,
		number:     h.subscriptions,
		generation: in.Router.Generation,
		merging:    merging,
	}
	h.subscribers[in.Connection] = s
	h.sorted = append(h.sorted, s)
	slices.SortFunc(h.sorted, func(a, b *subscriber) int { return cmp.Compare(a.connection, b.connection) })
	return s
}

// replaceEarlier ends earlier subscriptions of the same router, whose connections it has given up, and of the same
// connection.
func (h *Hub) replaceEarlier(in Subscribed) {
	for _, s := range h.sorted {
		id := s.connection
		if s.router.Node != in.Router.Node && id != in.Connection {
			continue
		}
		h.forget(id)
		if id != in.Connection {
			h.close(id, s.router.Node, ReasonReplaced)
		}
	}
}

// forget ends the subscription on a connection, if there is one.
func (h *Hub) forget(id ConnectionID) {
	if _, known := h.subscribers[id]; !known {
		return
	}
	delete(h.subscribers, id)
	// A copy: the caller may be going through the list.
	h.sorted = slices.DeleteFunc(slices.Clone(h.sorted), func(s *subscriber) bool { return s.connection == id })
	h.out.RoutersChanged = true
}

// close has the host close a connection; no ConnectionClosed need follow.
func (h *Hub) close(id ConnectionID, node, reason string) {
	delete(h.echoes, id)
	h.out.Close = append(h.out.Close, Closing{Connection: id, Node: node, Reason: reason})
}

// Connected returns the names of the subscribed routers, in the order of their connections.
func (h *Hub) Connected() []string {
	nodes := make([]string, 0, len(h.subscribers))
	for _, s := range h.sorted {
		nodes = append(nodes, s.router.Node)
	}
	return nodes
}
