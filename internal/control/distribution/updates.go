package distribution

import (
	"maps"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

const (
	batchWindow   = 4 * time.Millisecond  // ordinary changes wait so long for others
	flushInterval = 40 * time.Millisecond // and are sent no more often than this
)

// configure takes in a committed version. An older one is ignored: routers' versions only rise.
func (h *Hub) configure(now time.Time, in Configuration) {
	if in.Generation <= h.generation {
		return
	}
	h.generation, h.document = in.Generation, in.Document
	h.scheduleFlush(now, 0)
}

// setMembers takes in which control instances are known.
func (h *Hub) setMembers(now time.Time, members []protocol.Member) {
	if slices.Equal(h.members, members) {
		return
	}
	h.members = members
	for _, s := range h.sorted {
		s.needsMembers = true
	}
	h.scheduleFlush(now, batchWindow)
}

// changeEndpoints takes in the registry's changes. Without a router they need not be kept: who subscribes gets the
// table.
func (h *Hub) changeEndpoints(now time.Time, in Endpoints) {
	h.revision, h.complete = in.Revision, in.Complete
	if len(h.subscribers) == 0 {
		h.routerCount = in.RouterCount
		return
	}
	for _, endpoint := range in.Changed {
		h.changed[endpoint.ID] = endpoint
	}
	switch {
	case len(in.Changed) > 0 && in.Urgent:
		h.scheduleFlush(now, 0)
	case len(in.Changed) > 0:
		h.scheduleFlush(now, batchWindow)
	}
	if in.RouterCount != h.routerCount {
		h.routerCount = in.RouterCount
		h.advertiseRouterCount(now)
	}
}

func (h *Hub) advertiseRouterCount(now time.Time) {
	for _, s := range h.sorted {
		s.needsRouterCount = true
	}
	h.scheduleFlush(now, batchWindow)
}

// dropChanges forgets what gathered while no router was subscribed.
func (h *Hub) dropChanges() {
	h.flushAt = time.Time{}
	clear(h.changed)
}

// scheduleFlush has changes sent after the wait at the latest. Ordinary ones, which wait, keep the flush interval.
func (h *Hub) scheduleFlush(now time.Time, wait time.Duration) {
	at := now.Add(wait)
	if next := h.flushedAt.Add(flushInterval); wait > 0 && next.After(at) {
		at = next
	}
	if h.flushAt.IsZero() || at.Before(h.flushAt) {
		h.flushAt = at
	}
}

// flush sends what has gathered to the routers that lack any of it.
func (h *Hub) flush(now time.Time) {
	h.flushAt, h.flushedAt = time.Time{}, now
	endpoints := make([]protocol.Endpoint, 0, len(h.changed))
	for _, id := range slices.Sorted(maps.Keys(h.changed)) {
		endpoints = append(endpoints, h.changed[id])
	}
	clear(h.changed)
	for _, s := range h.sorted {
		if len(endpoints) == 0 && s.generation >= h.generation && !s.needsMembers && !s.needsRouterCount {
			continue
		}
		update := h.newUpdate(now, s)
		update.Endpoints = endpoints
		h.send(now, s, update)
	}
}

// newUpdate begins an update with the configuration, members and router count, where the router lacks them.
func (h *Hub) newUpdate(now time.Time, s *subscriber) *protocol.Update {
	update := &protocol.Update{Generation: h.generation, Freshness: h.freshnessProof(now, s.connection), IssuesCredit: true}
	if h.generation > s.generation {
		update.Document = h.document
	}
	if s.needsMembers {
		update.Members = h.members
	}
	if s.needsRouterCount {
		update.RouterCount = h.routerCount
	}
	s.needsMembers, s.needsRouterCount = false, false
	return update
}

// send numbers an update, sends it and remembers what it carries until the router confirms it.
func (h *Hub) send(now time.Time, s *subscriber, update *protocol.Update) {
	s.sequence++
	update.Sequence = s.sequence
	s.generation = max(s.generation, update.Generation)
	s.sentAt, s.advertisedStale = now, !h.fresh(now)
	revision := h.revision
	if len(h.changed) > 0 && !update.Snapshot {
		revision = s.newestSentRevision() // changes still wait here
	}
	s.unconfirmed = append(s.unconfirmed, sentUpdate{sequence: s.sequence, revision: revision, sentAt: now})
	h.out.Messages = append(h.out.Messages, Message{Connection: s.connection, Content: update})
}

// sendSnapshots has routers whose table was sent for merging replace it, once the instance's own is complete.
func (h *Hub) sendSnapshots(now time.Time, table Table) {
	if !h.complete {
		return
	}
	merging := 0
	for _, s := range h.sorted {
		if s.merging {
			merging++
		}
	}
	if merging == 0 {
		return
	}
	if merging == len(h.sorted) {
		clear(h.changed) // the snapshots have them all
	}
	for _, s := range h.sorted {
		if !s.merging {
			continue
		}
		s.merging = false
		update := h.newUpdate(now, s)
		update.Snapshot, update.Endpoints = true, table(false)
		h.send(now, s, update)
	}
}
