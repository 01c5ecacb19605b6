package courier

// The list of endpoints, and the peers that stand for it.

import (
	"context"
	"maps"
	"slices"
	"time"

	"raventrestle"
	"raventrestle/internal/lifecycle"
	"raventrestle/internal/net/peer"
	"raventrestle/internal/net/upstream"
)

// update brings the peers up to date with the list.
func (c *Courier) update(ctx context.Context, u upstream.Update) raventrestle.ListUpdate {
	l := raventrestle.ListUpdate{Kind: u.How}
	if stale := u.How == raventrestle.ListFailed; u.How != raventrestle.ListCached {
		if stale && !c.listStale {
			c.Tell(lifecycle.FaultBegan{Fault: lifecycle.ListStale})
		} else if !stale && c.listStale {
			c.Tell(lifecycle.FaultEnded{Fault: lifecycle.ListStale})
		}
		if c.listStale = stale; !stale {
			c.listed, c.index = time.Now(), u.Index
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
		was := e.State
		if r != nil {
			was = r.entry.State
		}
		if r != nil && r.entry.Addr == e.Addr {
			switch r.entry = e; {
			case e.State == raventrestle.Draining:
				r.Hold(peer.Never)
			case was == raventrestle.Draining:
				r.Hold(time.Time{})
			}
			continue
		}
		if r != nil {
			r.Stop()
		}
		c.peers[e.Target] = &ref{entry: e, Peer: c.peer(ctx, e)}
	}
	for id, r := range c.peers {
		whole := u.How == raventrestle.ListSnapshot || u.How == raventrestle.ListCached
		gone := slices.ContainsFunc(u.Entries, func(e upstream.Entry) bool {
			return e.Target == id && e.State == raventrestle.Removed
		})
		if gone || whole && !listed[id] {
			r.Stop()
			delete(c.peers, id)
		}
	}
	c.serve(time.Now())
	return l
}

// serve notes which destinations the list names. One that lost its last peer is served on for as
// long as a message may wait for another.
func (c *Courier) serve(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.peers {
		c.dests[int64(r.entry.Dest)] = t
	}
	if !c.listKnown && len(c.dests) > 0 {
		c.listKnown = true
		defer c.Tell(lifecycle.StepDone{Step: lifecycle.List})
	}
	maps.DeleteFunc(c.dests, func(_ int64, last time.Time) bool { return t.Sub(last) > c.longest })
}

// kind is that of the peer's destination; one of an unknown kind shares its limit and takes single calls.
func (c *Courier) kind(r *ref) raventrestle.DestinationKind {
	if k := r.entry.Kind; k >= 0 {
		return c.conf.Settings.Kinds[k]
	}
	return raventrestle.DestinationKind{MaxBatch: 1}
}

// hold tells the peers of the target's route that it was told to wait: calls whose connection is
// still coming up would else be written within the wait.
func (c *Courier) hold(target raventrestle.TargetID, until time.Time) {
	told := c.peers[target]
	if told == nil {
		return
	}
	for id, r := range c.peers {
		if id == target || r.entry.Dest == told.entry.Dest && !c.kind(r).RoutePerTarget {
			r.Hold(until)
			c.waits(id, until)
		}
	}
}
