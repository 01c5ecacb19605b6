package courier

// Maintains the endpoint list and a peer for each listed endpoint.

import (
	"context"
	"maps"
	"slices"
	"time"

	"raventrestle"
	"raventrestle/internal/lifecycle"
	"raventrestle/internal/net/discovery"
	"raventrestle/internal/net/peer"
)

// applyList starts, stops and blocks peers according to the endpoint list.
func (c *Courier) applyList(ctx context.Context, u discovery.Update) raventrestle.ListUpdate {
	l := raventrestle.ListUpdate{Kind: u.Kind}
	if stale := u.Kind == raventrestle.ListFailed; u.Kind != raventrestle.ListCached {
		if stale && !c.listStale {
			c.OnLifecycleEvent(lifecycle.FaultBegan{Fault: lifecycle.ListStale})
		} else if !stale && c.listStale {
			c.OnLifecycleEvent(lifecycle.FaultEnded{Fault: lifecycle.ListStale})
		}
		if c.listStale = stale; !stale {
			c.listedAt, c.listIndex = time.Now(), u.Index
		}
	}
	listed := map[raventrestle.TargetID]bool{}
	for _, e := range u.Entries {
		l.Entries = append(l.Entries, e.Entry)
		r := c.peers[e.Target]
		if e.State == raventrestle.Removed {
			continue
		}
		listed[e.Target] = true
		previousState := e.State
		if r != nil {
			previousState = r.entry.State
		}
		if r != nil && r.entry.Addr == e.Addr {
			switch r.entry = e; {
			case e.State == raventrestle.Draining:
				r.BlockUntil(peer.Never)
			case previousState == raventrestle.Draining:
				r.BlockUntil(time.Time{})
			}
			continue
		}
		if r != nil {
			r.Stop()
		}
		c.peers[e.Target] = &listedPeer{entry: e, Peer: c.startPeer(ctx, e)}
	}
	for id, r := range c.peers {
		complete := u.Kind == raventrestle.ListSnapshot || u.Kind == raventrestle.ListCached
		removed := slices.ContainsFunc(u.Entries, func(e discovery.Entry) bool {
			return e.Target == id && e.State == raventrestle.Removed
		})
		if removed || complete && !listed[id] {
			r.Stop()
			delete(c.peers, id)
		}
	}
	c.updateDestinations(time.Now())
	return l
}

// updateDestinations notes which destinations the list names. Messages for a destination that lost its last endpoint are
// accepted for another maxDeadline, the longest that a message may wait for a new endpoint.
func (c *Courier) updateDestinations(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.peers {
		c.destsLastListed[int64(r.entry.Dest)] = t
	}
	if !c.listKnown && len(c.destsLastListed) > 0 {
		c.listKnown = true
		defer c.OnLifecycleEvent(lifecycle.StepDone{Step: lifecycle.List})
	}
	maps.DeleteFunc(c.destsLastListed, func(_ int64, last time.Time) bool { return t.Sub(last) > c.maxDeadline })
}

// destinationKind returns the kind of the peer's destination. A destination of an unknown kind shares one limit between
// its targets and takes one message per call.
func (c *Courier) destinationKind(r *listedPeer) raventrestle.DestinationKind {
	if k := r.entry.Kind; k >= 0 {
		return c.conf.Settings.Kinds[k]
	}
	return raventrestle.DestinationKind{MaxBatch: 1}
}

// blockRoute blocks the peers that share the target's route until the given time. Otherwise calls that still wait for their
// connection would be written during the wait.
func (c *Courier) blockRoute(target raventrestle.TargetID, until time.Time) {
	waiting := c.peers[target]
	if waiting == nil {
		return
	}
	for id, r := range c.peers {
		if id == target || r.entry.Dest == waiting.entry.Dest && !c.destinationKind(r).RoutePerTarget {
			r.BlockUntil(until)
			c.recordWait(id, until)
		}
	}
}
