package roles

import (
	"cmp"
	"slices"
	"time"

	"raventrestle/internal/control/quota"
	"raventrestle/internal/protocol"
)

const (
	routerLasts = 10 * time.Second // a router that reported nothing for so long needs no grants
	countLasts  = 3 * time.Second  // a router may believe in a count of routers that is so old
)

// roster knows the routers that report, and where each is connected. It is pure.
type roster struct {
	seen   map[quota.Router]sighting
	counts []countAt
}

type sighting struct {
	at      time.Time
	through string // the instance that it is connected to
}

type countAt struct {
	at    time.Time
	count int
}

func newRoster() *roster { return &roster{seen: make(map[quota.Router]sighting)} }

func (r *roster) see(now time.Time, through string, report *protocol.Report) {
	r.seen[quota.Router{Node: report.Node, Incarnation: report.Incarnation}] = sighting{at: now, through: through}
}

// routers returns all that are there.
func (r *roster) routers(now time.Time) []quota.Router {
	there := make([]quota.Router, 0, len(r.seen))
	for id, last := range r.seen {
		if now.Sub(last.at) > routerLasts {
			delete(r.seen, id)
			continue
		}
		there = append(there, id)
	}
	slices.SortFunc(there, func(a, b quota.Router) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return there
}

// count takes in how many routers all instances have, and returns the least number that a router may have been told
// lately. 0: that is unknown.
func (r *roster) count(now time.Time, newest int) int {
	if newest == 0 {
		return 0
	}
	if last := len(r.counts) - 1; last < 0 || r.counts[last].count != newest {
		if last >= 0 {
			r.counts[last].at = now // it was in force until now
		}
		r.counts = append(r.counts, countAt{at: now, count: newest})
	}
	r.counts = slices.DeleteFunc(r.counts, func(c countAt) bool {
		return c.count != newest && now.Sub(c.at) > countLasts
	})
	least := newest
	for _, c := range r.counts {
		least = min(least, c.count)
	}
	return least
}

// batches turns grants into one batch for each instance.
func (r *roster) batches(grants []quota.GrantBatch, epoch uint64) map[string][]protocol.RouterGrants {
	batches := make(map[string][]protocol.RouterGrants)
	for _, grant := range grants {
		last, known := r.seen[grant.Router]
		if !known {
			continue
		}
		batches[last.through] = append(batches[last.through], protocol.RouterGrants{
			Node: grant.Node, Incarnation: grant.Incarnation, Grants: grant.Grants, Epoch: epoch, Batch: grant.ID,
		})
	}
	return batches
}
