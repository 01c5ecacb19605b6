package dispatch

import (
	"slices"
	"time"

	"raventrestle/asfq"
	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// service is one service with what this router learned of it.
type service struct {
	name               string
	config             *configuration.Service // nil until the configuration names it
	endpoints          int                    // in the table
	ejected            int                    // of those, that failed and are on trial
	inFlight           int                    // this router's calls
	groups             map[string]*modelGroup // by model; "" for a service without models
	budget             retryBudget
	fairness           fairness
	pastTargetFraction float64        // part of the unanswered calls that go as late ones
	durationMS         float64        // mean of a call, ms
	firstByteLine      regression     // of times to the first byte, over all its groups
	durationBounds     durationBounds // of whole calls, over all its groups
}

// modelGroup is the endpoints that hold one model, or all endpoints of a service without models.
type modelGroup struct {
	service            *service
	model              string
	loadTime           time.Duration // as configured
	adapterCount       int           // as configured
	residencies        []*residency
	targets            map[string]*demandTarget // by adapter
	firstByteLine      regression               // of times to the first byte
	durationBounds     durationBounds           // of whole calls
	meanPrefillTokens  float64                  // mean tokens to be read of a prompt
	meanKVTokens       float64                  // mean tokens that a request takes of an endpoint's memory
	expectedLoads      []expectedLoad           // loads on their way
	overloadedAt       time.Duration            // when it was last refused for want of time
	overloadedSince    time.Duration            // since when again and again
	lastOnTargetSendAt time.Duration            // of the last request that was to be in time
	lastResortAt       time.Duration            // when a failed one was tried for want of others
	version            int                      // rises when a place may have become free
	unassigned         []*request               // held without an endpoint, in order of arrival
}

// residency is one model in one endpoint.
type residency struct {
	group            *modelGroup
	endpoint         *endpoint
	adapters         []string
	misdirections    map[string]misdirection // by adapter: told not to be there
	prefixCache      prefixCache
	misdirectionTTL  time.Duration
	unverified       []string      // adapters that should be loaded by now; "": the model itself
	verifications    int           // calls out that try what is presumed
	rejectionBackoff time.Duration // after refusals that concern the model alone
	notBefore        time.Duration // no call before
}

// misdirection notes an answer 421: it counts more than the table, until that has newer news.
type misdirection struct {
	sequence  uint64
	expiresAt time.Duration
}

// endpoint is one incarnation of a server.
type endpoint struct {
	id, address         string
	hash                uint64
	service             *service
	state               protocol.EndpointState
	sequence            uint64
	slots               int
	sameZone            bool // in this router's zone
	listed              bool
	residencies         []*residency
	pendingLoads        []protocol.ModelLoad
	loadsReceivedAt     time.Duration // when loading was told
	loadingGroups       []*modelGroup // whose models it loads
	inSuspects          bool          // in Decider.suspects
	drainingAtDeparture bool          // was draining when it left
	slowStartUntil      time.Duration

	asfq.Flow
	queue             []*request // its turns are these, the order is that of pick
	dispatched        int        // turns taken, for the share of the patient ones
	inFlight          []*request // out
	awaitingFirstByte []*request // of calls, those without a first byte, in order of sending
	backlog           backlog    // of those
	pastTargetBacklog backlog    // of those, the late ones
	openConnections   int        // connections that seem to be open
	lastUsedAt        time.Duration
	health            health
	advertised        advertisedLoad
	slowness          slowness
}

// advertisedLoad is the newest load that the endpoint told of.
type advertisedLoad struct {
	running, waiting int // of others than this router
	receivedAt       time.Duration
	known            bool
}

// applyView takes over what the control plane sent.
func (d *Decider) applyView(change ViewChanged) {
	if change.RouterCount > 0 {
		d.routerCount = change.RouterCount
	}
	if change.Configuration != nil {
		d.applyConfiguration(change.Configuration)
	}
	for i := range change.Quotas {
		d.applyGrant(change.Quotas[i])
	}
	if change.Full {
		d.removeUnlisted(change.Endpoints)
	}
	for i := range change.Endpoints {
		d.updateEndpoint(&change.Endpoints[i])
	}
	for i := range change.Quotas {
		if t := d.tenants[change.Quotas[i].Tenant]; t != nil {
			d.admitAffordable(t)
		}
	}
}

// applyConfiguration takes over a configuration.
func (d *Decider) applyConfiguration(config *configuration.Configuration) {
	d.configureTenants(config.Tenants)
	named := make(map[string]bool, len(config.Services))
	for i := range config.Services {
		set := &config.Services[i]
		named[set.Name] = true
		s := d.ensureService(set.Name)
		s.config = set
		if set.Engine == nil {
			continue
		}
		for j := range set.Engine.Models {
			model := &set.Engine.Models[j]
			g := s.ensureGroup(model.Name)
			g.loadTime = seconds(model.LoadTimeSeconds)
			g.adapterCount = model.AdapterCount
		}
	}
	for name, s := range d.services {
		if !named[name] {
			s.config = nil
		}
	}
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

func (d *Decider) ensureService(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{name: name, groups: map[string]*modelGroup{}}
		d.services[name] = s
	}
	return s
}

func (s *service) ensureGroup(model string) *modelGroup {
	g := s.groups[model]
	if g == nil {
		g = &modelGroup{service: s, model: model, targets: map[string]*demandTarget{}}
		s.groups[model] = g
	}
	return g
}

// engine says whether the service's endpoints hold models.
func (s *service) engine() *configuration.Engine {
	if s.config == nil {
		return nil
	}
	return s.config.Engine
}

// dropUnlisted: what is not in the whole table is gone.
func (d *Decider) removeUnlisted(table []protocol.Endpoint) {
	listed := make(map[string]bool, len(table))
	for i := range table {
		listed[table[i].ID] = true
	}
	for id, e := range d.endpoints {
		if !listed[id] {
			d.departing = append(d.departing, e)
		}
	}
	slices.SortFunc(d.departing, func(a, b *endpoint) int { return compareStrings(a.id, b.id) })
	for _, e := range d.departing {
		d.removeEndpoint(e)
		d.tombstones.add(e, false)
	}
	d.departing = d.departing[:0]
}

func compareStrings(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// updateEndpoint takes over one endpoint's newest state. Older news than what is known is dropped. An incarnation
// that drains never takes requests again, whatever is told of it later.
func (d *Decider) updateEndpoint(news *protocol.Endpoint) {
	e := d.endpoints[news.ID]
	if news.State == protocol.Departed {
		if e != nil && news.Sequence >= e.sequence {
			e.sequence = news.Sequence
			d.removeEndpoint(e)
			d.tombstones.add(e, true)
		}
		return
	}
	if e != nil && news.Sequence < e.sequence || e == nil && d.tombstones.isStale(news) {
		return
	}
	if e == nil {
		e = &endpoint{id: news.ID, service: d.ensureService(news.Service)}
		e.hash = stringHash(news.ID)
		if d.tombstones.wasDraining(news.ID) {
			e.state = protocol.Draining
		}
		d.endpoints[news.ID] = e
	}
	if !e.listed {
		e.listed = true
		e.service.endpoints++
	}
	newer := news.Sequence > e.sequence
	e.address = news.Address
	if e.state != protocol.Draining {
		e.state = news.State
	}
	e.sequence = news.Sequence
	e.slots = news.Slots
	e.sameZone = news.Zone == d.config.Zone
	e.pendingLoads = news.Loading
	e.loadsReceivedAt = d.now
	e.slowStartUntil = d.now + news.WarmUpRemaining
	d.updateResidencies(e, news.Models, newer)
	d.updateExpectedLoads(e)
	d.reassignQueued(e)
	d.addSuspect(e)
	e.capacityChanged()
}

// removeEndpoint takes an endpoint out of the table. Its calls that are out keep their record until they end.
func (d *Decider) removeEndpoint(e *endpoint) {
	if e.listed {
		e.listed = false
		e.service.endpoints--
		if e.health.maxProbes > 0 {
			e.service.ejected--
			e.health = health{}
		}
	}
	e.drainingAtDeparture = e.state == protocol.Draining
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
