package roles

import (
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/control/quota"
	"raventrestle/internal/protocol"
)

// allocation is one quota allocator and the routers that it grants to. It is pure.
type allocation struct {
	allocator     Allocator
	routers       *routerSet
	configuration *configuration.Configuration // that the allocator has
}

func newAllocation(decider Allocator) *allocation {
	return &allocation{allocator: decider, routers: newRouterSet()}
}

// observe takes in which routers have reported through which instance, and returns their reports.
func (a *allocation) observe(now time.Time, batches []*protocol.ReportBatch) []protocol.Report {
	var reports []protocol.Report
	for _, batch := range batches {
		for i := range batch.Reports {
			a.routers.observe(now, batch.Origin.Address, &batch.Reports[i])
		}
		reports = append(reports, batch.Reports...)
	}
	return reports
}

// step has the allocator decide. While the number of routers is unknown it does nothing, and all routers keep to their
// floors.
func (a *allocation) step(now time.Time, newest *configuration.Configuration, routerCount int, in quota.Input) (out quota.Output, stepped bool) {
	in.Routers = a.routers.active(now)
	in.MinRouterCount = a.routers.minCount(now, routerCount)
	if in.MinRouterCount == 0 {
		return quota.Output{}, false
	}
	if a.configuration != newest {
		a.configuration = newest
		in.Configuration = newest
	}
	return a.allocator.Step(now, in), len(in.Routers) > 0
}

// confirmations returns those of grants of this epoch; the batch numbers of other epochs are another leader's.
func confirmations(batches []*protocol.ReportBatch, epoch uint64) []quota.Confirmation {
	var confirmed []quota.Confirmation
	for _, batch := range batches {
		for _, ack := range batch.GrantAcks {
			if ack.Epoch == epoch {
				router := quota.Router{Node: ack.Node, Incarnation: ack.Incarnation}
				confirmed = append(confirmed, quota.Confirmation{Router: router, BatchID: ack.Batch})
			}
		}
	}
	return confirmed
}
