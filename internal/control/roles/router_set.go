package roles

import (
	"cmp"
	"slices"
	"time"

	"raventrestle/internal/control/quota"
	"raventrestle/internal/protocol"
)

const (
	routerTimeout = 10 * time.Second // a router without a report for this long needs no grants
	countTTL      = 3 * time.Second  // a router may still assume a count of routers that is this old
)

// routerSet is the set of routers that report, and the instance that each is connected to. It is pure.
type routerSet struct {
	reports map[quota.Router]lastReport
	counts  []countObservation // of the fleet's routers, oldest first
}

type lastReport struct {
	at       time.Time
	instance string // address of the instance that it came through
}

type countObservation struct {
	at    time.Time // when it was last the newest count
	count int
}

func newRouterSet() *routerSet { return &routerSet{reports: make(map[quota.Router]lastReport)} }

func (s *routerSet) observe(now time.Time, instance string, report *protocol.Report) {
	id := quota.Router{Node: report.Node, Incarnation: report.Incarnation}
	s.reports[id] = lastReport{at: now, instance: instance}
}

// active returns the routers with a recent report in order, and forgets the others.
func (s *routerSet) active(now time.Time) []quota.Router {
	active := make([]quota.Router, 0, len(s.reports))
	for id, last := range s.reports {
		if now.Sub(last.at) > routerTimeout {
			delete(s.reports, id)
			continue
		}
		active = append(active, id)
	}
	slices.SortFunc(active, func(a, b quota.Router) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return active
}

// minCount takes in how many routers all instances have now, and returns the smallest count that a router may still
// assume. 0: the count is unknown.
func (s *routerSet) minCount(now time.Time, newest int) int {
	if newest == 0 {
		return 0
	}
	if last := len(s.counts) - 1; last < 0 || s.counts[last].count != newest {
		if last >= 0 {
			s.counts[last].at = now // it was in force until now
		}
		s.counts = append(s.counts, countObservation{at: now, count: newest})
	}
	s.counts = slices.DeleteFunc(s.counts, func(c countObservation) bool {
		return c.count != newest && now.Sub(c.at) > countTTL
	})
	smallest := newest
	for _, c := range s.counts {
		smallest = min(smallest, c.count)
	}
	return smallest
}

// byInstance groups grants by the instance that each router is connected to. Those of unknown routers are left out.
func (s *routerSet) byInstance(batches []quota.GrantBatch, epoch uint64) map[string][]protocol.RouterGrants {
	grouped := make(map[string][]protocol.RouterGrants)
	for _, batch := range batches {
		last, known := s.reports[batch.Router]
		if !known {
			continue
		}
		grouped[last.instance] = append(grouped[last.instance], protocol.RouterGrants{
			Node:        batch.Node,
			Incarnation: batch.Incarnation,
			Grants:      batch.Grants,
			Epoch:       epoch,
			Batch:       batch.ID,
		})
	}
	return grouped
}
