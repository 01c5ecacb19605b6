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
	name      string
	config    *configuration.Service // nil until the configuration names it
	endpoints int                    // in the table
	down      int                    // of those, that failed and are on trial
	out       int                    // this router's calls
	groups    map[string]*group      // by model; "" for a service without models
	budget    budget
	fairness  fairness
	behind    float64 // part of the unanswered calls that go as late ones
	duration  float64 // mean of a call, ms
	line      line    // of times to the first byte, over all its groups
	lengths   lengths // of whole calls, over all its groups
}

// group is the endpoints that hold one model, or all endpoints of a service without models.
type group struct {
	service  *service
	model    string
	loadTime time.Duration // as configured
	adapters int           // as configured
	holders  []*holding
	targets  map[string]*target // by adapter
	line     line               // of times to the first byte
	lengths  lengths            // of whole calls
	prompt   float64            // mean tokens to be read of a prompt
	kvTokens float64            // mean tokens that a request takes of an endpoint's memory
	expected []arrival          // loads on their way
	overAt   time.Duration      // when it was last refused for want of time
	overFrom time.Duration      // since when again and again
	sentAt   time.Duration      // of the last request that was to be in time
	resortAt time.Duration      // when a failed one was tried for want of others
	changes  int                // rises when a place may have become free
	homeless []*request         // held without an endpoint, in order of arrival
}

// holding is one model in one endpoint.
type holding struct {
	group    *group
	at       *endpoint
	adapters []string
	wrong    map[string]wrong // by adapter: told not to be there
	kept     prefixes
	distrust time.Duration
	presumed []string      // adapters that should be loaded by now; "": the model itself
	trying   int           // calls out that try what is presumed
	pause    time.Duration // after refusals that concern the model alone
	until    time.Duration // no call before
}

// wrong notes an answer 421: it counts more than the table, until that has newer news.
type wrong struct {
	sequence uint64
	until    time.Duration
}

// endpoint is one incarnation of a server.
type endpoint struct {
	id, address string
	hash        uint64
	service     *service
	state       protocol.EndpointState
	sequence    uint64
	slots       int
	near        bool // in this router's zone
	listed      bool
	holdings    []*holding
	loading     []protocol.ModelLoad
	loadingAt   time.Duration // when loading was told
	awaited     []*group      // whose models it loads
	suspected   bool          // in Decider.suspects
	drained     bool          // was draining when it left
	coldUntil   time.Duration

	asfq.Flow
	held       []*request // its turns are these, the order is that of pick
	sends      int        // turns taken, for the share of the patient ones
	calls      []*request // out
	unanswered []*request // of calls, those without a first byte, in order of sending
	backlog    backlog    // of those
	behind     backlog    // of those, the late ones
	opened     int        // connections that seem to be open
	usedAt     time.Duration
	evidence   evidence
	told       told
	slow       slowness
}

// told is the newest load that the endpoint told of.
type told struct {
	running, waiting int // of others than this router
	at               time.Duration
	ever             bool
}

// view takes over what the control plane sent.
func (d *Decider) view(change ViewChanged) {
	if change.RouterCount > 0 {
		d.routers = change.RouterCount
	}
	if change.Configuration != nil {
		d.configure(change.Configuration)
	}
	for i := range change.Quotas {
		d.grant(change.Quotas[i])
	}
	if change.Full {
		d.dropUnlisted(change.Endpoints)
	}
	for i := range change.Endpoints {
		d.update(&change.Endpoints[i])
	}
	for i := range change.Quotas {
		if t := d.tenants[change.Quotas[i].Tenant]; t != nil {
			d.payHeld(t)
		}
	}
}

// configure takes over a configuration.
func (d *Decider) configure(config *configuration.Configuration) {
	d.configureTenants(config.Tenants)
	named := make(map[string]bool, len(config.Services))
	for i := range config.Services {
		set := &config.Services[i]
		named[set.Name] = true
		s := d.serviceNamed(set.Name)
		s.config = set
		if set.Engine == nil {
			continue
		}
		for j := range set.Engine.Models {
			model := &set.Engine.Models[j]
			g := s.groupNamed(model.Name)
			g.loadTime = seconds(model.LoadTimeSeconds)
			g.adapters = model.AdapterCount
		}
	}
	for name, s := range d.services {
		if !named[name] {
			s.config = nil
		}
	}
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

func (d *Decider) serviceNamed(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{name: name, groups: map[string]*group{}}
		d.services[name] = s
	}
	return s
}

func (s *service) groupNamed(model string) *group {
	g := s.groups[model]
	if g == nil {
		g = &group{service: s, model: model, targets: map[string]*target{}}
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
func (d *Decider) dropUnlisted(table []protocol.Endpoint) {
	listed := make(map[string]bool, len(table))
	for i := range table {
		listed[table[i].ID] = true
	}
	for id, e := range d.endpoints {
		if !listed[id] {
			d.gone = append(d.gone, e)
		}
	}
	slices.SortFunc(d.gone, func(a, b *endpoint) int { return compareStrings(a.id, b.id) })
	for _, e := range d.gone {
		d.leave(e)
		d.graves.bury(e, false)
	}
	d.gone = d.gone[:0]
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

// update takes over one endpoint's newest state. Older news than what is known is dropped. An incarnation
// that drains never takes requests again, whatever is told of it later.
func (d *Decider) update(news *protocol.Endpoint) {
	e := d.endpoints[news.ID]
	if news.State == protocol.Departed {
		if e != nil && news.Sequence >= e.sequence {
			e.sequence = news.Sequence
			d.leave(e)
			d.graves.bury(e, true)
		}
		return
	}
	if e != nil && news.Sequence < e.sequence || e == nil && d.graves.outdated(news) {
		return
	}
	if e == nil {
		e = &endpoint{id: news.ID, service: d.serviceNamed(news.Service)}
		e.hash = stringHash(news.ID)
		if d.graves.drained(news.ID) {
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
	e.near = news.Zone == d.options.Zone
	e.loading = news.Loading
	e.loadingAt = d.now
	e.coldUntil = d.now + news.WarmUpRemaining
	d.hold(e, news.Models, newer)
	d.expect(e)
	d.moveOn(e)
	d.mark(e)
	e.changed()
}

// leave takes an endpoint out of the table. Its calls that are out keep their record until they end.
func (d *Decider) leave(e *endpoint) {
	if e.listed {
		e.listed = false
		e.service.endpoints--
		if e.evidence.most > 0 {
			e.service.down--
			e.evidence = evidence{}
		}
	}
	e.drained = e.state == protocol.Draining
	e.state = protocol.Departed
	e.loading = nil
	for len(e.holdings) > 0 {
		d.release(e, e.holdings[len(e.holdings)-1])
	}
	d.expect(e)
	d.moveOn(e)
	if len(e.calls) == 0 {
		delete(d.endpoints, e.id)
	}
}
