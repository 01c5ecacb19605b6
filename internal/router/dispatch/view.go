package dispatch

import (
	"slices"
	"strings"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// Updates from the control plane: endpoints and configuration. They are unrelated to the group's view (package view).

// applyView applies an update from the control plane.
func (d *Decider) applyView(change ViewChanged) {
	if change.RouterCount > 0 {
		d.routerCount = change.RouterCount
	}
	if change.Configuration != nil {
		d.applyConfiguration(change.Configuration)
	}
	if change.Full {
		d.removeUnlisted(change.Endpoints)
	}
	for i := range change.Endpoints {
		d.updateEndpoint(&change.Endpoints[i])
	}
}

// applyConfiguration applies a new configuration.
func (d *Decider) applyConfiguration(config *configuration.Configuration) {
	d.configureTenants(config.Tenants)
	configured := make(map[string]bool, len(config.Services))
	for i := range config.Services {
		settings := &config.Services[i]
		configured[settings.Name] = true
		s := d.ensureService(settings.Name)
		s.config = settings
		if settings.Engine == nil {
			continue
		}
		for j := range settings.Engine.Models {
			model := &settings.Engine.Models[j]
			g := s.ensureGroup(model.Name)
			g.loadTime = seconds(model.LoadTimeSeconds)
			g.adapterCount = model.AdapterCount
		}
	}
	for name, s := range d.services {
		if !configured[name] {
			s.config = nil
		}
	}
}

// seconds converts a configured number of seconds to a duration.
func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// removeUnlisted removes endpoints that are missing in a complete table.
func (d *Decider) removeUnlisted(table []protocol.Endpoint) {
	listed := make(map[string]bool, len(table))
	for i := range table {
		listed[table[i].ID] = true
	}
	for id, e := range d.endpoints {
		if !listed[id] && e.state != protocol.Departed {
			d.departing = append(d.departing, e)
		}
	}
	slices.SortFunc(d.departing, func(a, b *endpoint) int { return strings.Compare(a.id, b.id) })
	for _, e := range d.departing {
		d.removeEndpoint(e)
		d.tombstones.add(e, false)
	}
	d.departing = d.departing[:0]
}

// updateEndpoint applies the latest state of one endpoint. An update that is older than the known state is ignored.
// An incarnation that has begun to drain never accepts requests again, whatever later updates say.
func (d *Decider) updateEndpoint(update *protocol.Endpoint) {
	e := d.endpoints[update.ID]
	if update.State == protocol.Departed {
		if e != nil && update.Sequence >= e.sequence {
			e.sequence = update.Sequence
			d.removeEndpoint(e)
			d.tombstones.add(e, true)
		}
		return
	}
	if e != nil && update.Sequence < e.sequence {
		return
	}
	if (e == nil || e.state == protocol.Departed) && d.tombstones.isStale(update) {
		return
	}
	if e == nil {
		e = d.addEndpoint(update)
	}
	if e.drainingAtDeparture {
		e.state = protocol.Draining
	}
	if !e.listed {
		e.listed = true
		e.service.endpoints++
	}
	newer := update.Sequence > e.sequence
	e.address = update.Address
	if e.state != protocol.Draining {
		e.state = update.State
	}
	e.sequence = update.Sequence
	e.slots = update.Slots
	e.sameZone = update.Zone == d.config.Zone
	e.pendingLoads = update.Loading
	e.loadsReceivedAt = d.now
	e.slowStartUntil = d.now + update.WarmUpRemaining
	d.updateResidencies(e, update.Models, newer)
	d.updateExpectedLoads(e)
	d.reassignQueued(e)
	d.addSuspect(e)
	e.recordCapacityChange()
}

// addEndpoint adds an endpoint that the decider does not know, or no longer knows.
func (d *Decider) addEndpoint(update *protocol.Endpoint) *endpoint {
	e := &endpoint{id: update.ID, service: d.ensureService(update.Service)}
	e.hash = stringHash(update.ID)
	e.drainingAtDeparture = d.tombstones.wasDraining(update.ID)
	d.endpoints[update.ID] = e
	return e
}

// removeEndpoint removes an endpoint from the table. Its record remains while it has calls in flight.
func (d *Decider) removeEndpoint(e *endpoint) {
	if e.listed {
		e.listed = false
		e.service.endpoints--
		if e.health.maxProbes > 0 {
			e.service.ejected--
			e.health = health{}
		}
	}
	e.drainingAtDeparture = e.drainingAtDeparture || e.state == protocol.Draining
	e.state = protocol.Departed
	e.pendingLoads = nil
	for len(e.residencies) > 0 {
		d.removeResidency(e, e.residencies[len(e.residencies)-1])
	}
	d.updateExpectedLoads(e)
	d.reassignQueued(e)
	if len(e.inFlight) == 0 {
		delete(d.endpoints, e.id)
	}
}
