package controller

import (
	"time"

	"raventrestle/internal/control/departures"
	"raventrestle/internal/control/registry"
	"raventrestle/internal/protocol"
)

// RecordTimeout bounds how long the host waits for the commitment of a departure. After it the call is rejected, and the
// endpoint asks another instance.
const RecordTimeout = registry.QuorumConfirmTimeout

// observeDepartures gives the registry, and the hub what it changes, the departures that were committed since the last
// step. This comes before the contact with a majority: whoever relies on that must know of every departure that was
// acknowledged anywhere before.
func (c *Controller) observeDepartures(now time.Time, table departures.Table) {
	known := c.replica.departures.Sequence
	if table.Sequence == known {
		return
	}
	if table.Sequence < known {
		known = 0 // it comes from a member that kept no departures
	}
	c.replica.departures = table
	var recorded registry.RecordedDepartures
	for _, departure := range table.Since(known) {
		age := c.timeOfDay.Sub(time.UnixMilli(departure.RecordedAt))
		recorded.Departures = append(recorded.Departures, registry.RecordedDeparture{Departure: departure, Age: max(0, age)})
	}
	out := c.registry.Step(now, recorded)
	if c.mustAdvertise(out) {
		c.toHub(changedEndpoints(out))
	}
	c.collectEndpoints(now, out)
}

// heartbeatReceived passes a heartbeat on. That an endpoint drains is recorded.
func (c *Controller) heartbeatReceived(event HeartbeatReceived) {
	requestID := c.calls.add(event.Caller)
	c.toRegistry(registry.Heartbeat{RequestID: requestID, Endpoint: event.Endpoint})
	if event.Endpoint.State == protocol.Draining {
		c.record(requestID, departures.Departure{
			ID: event.Endpoint.ID, Sequence: event.Endpoint.Sequence, RecordedAt: c.timeOfDay.UnixMilli(),
		})
	}
}

// deregistrationReceived passes a deregistration on and has it recorded.
func (c *Controller) deregistrationReceived(event DeregistrationReceived) {
	requestID := c.calls.add(event.Caller)
	c.toRegistry(registry.Deregister{RequestID: requestID, ID: event.ID})
	c.record(requestID, departures.Departure{ID: event.ID, Deregistered: true, RecordedAt: c.timeOfDay.UnixMilli()})
}

// record has a call wait until the departure is committed, unless it is.
func (c *Controller) record(requestID uint64, departure departures.Departure) {
	if c.replica.departures.Covers(departure) {
		return
	}
	c.calls.await(requestID)
	c.out.Proposals = append(c.out.Proposals, Proposal{RequestID: requestID, Departure: departure})
}

func (c *Controller) finishRecord(event DepartureRecorded) {
	if answer, answered := c.calls.recorded(event.RequestID, event.Succeeded); answered {
		c.out.Answers = append(c.out.Answers, answer)
	}
}
