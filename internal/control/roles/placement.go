package roles

import (
	"slices"
	"strings"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/control/placer"
	"raventrestle/internal/protocol"
)

// placement is one placer with its inputs, and the orders and inspections in progress. It does no I/O and reads no clock.
type placement struct {
	placer      Placer
	input       placer.Input // gathered since the placer's last step
	loads       *loadTracker
	inspections *inspectionQueue
	orders      map[uint64]placer.Order // orders without a result, by ID
	endpoints   []protocol.Endpoint     // input of the placer's last step, ordered by ID
}

func newPlacement(decider Placer) *placement {
	return &placement{
		placer:      decider,
		loads:       newLoadTracker(),
		inspections: newInspectionQueue(),
		orders:      make(map[uint64]placer.Order),
	}
}

func (p *placement) configure(c *configuration.Configuration) {
	p.loads.configure(c)
	p.input.Configuration = c
}

// gather stores what has arrived for the placer's next step.
func (p *placement) gather(now time.Time, arrived arrivals, reports []protocol.Report) {
	for _, result := range arrived.results {
		order, known := p.orders[result.ID]
		delete(p.orders, result.ID)
		if known && result.Outcome == placer.Accepted {
			p.loads.begin(now, order)
		}
	}
	for _, inspection := range arrived.inspections {
		p.inspections.done(inspection.Endpoint)
	}
	p.input.Reports = append(p.input.Reports, reports...)
	p.input.Results = append(p.input.Results, arrived.results...)
	p.input.Inspections = append(p.input.Inspections, arrived.inspections...)
}

// step steps the placer and queues the inspections that it requests. The caller sends the orders of the output.
func (p *placement) step(now time.Time, endpoints []protocol.Endpoint, recovering bool) placer.Output {
	in := p.input
	p.input = placer.Input{}
	p.endpoints = endpoints
	p.loads.observe(now, endpoints)
	in.Endpoints = endpoints
	in.Recovering = recovering
	out := p.placer.Step(now, in)
	for _, order := range out.Orders {
		p.orders[order.ID] = order
	}
	p.inspections.add(out.Inspect)
	return out
}

// addressOf returns the address that the endpoint had in the placer's last step.
func (p *placement) addressOf(id string) (address string, known bool) {
	index, known := slices.BinarySearchFunc(p.endpoints, id, func(e protocol.Endpoint, id string) int {
		return strings.Compare(e.ID, id)
	})
	if !known {
		return "", false
	}
	return p.endpoints[index].Address, true
}
