package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// carefulTime is how long a new holder only does what is urgent: it has not heard from all routers yet.
const urgentOnlyWindow = 2 * time.Second

// hearTime is how long a new holder hears reports before it takes a copy away: all routers have told by then what
// they have out and were asked for.
const minObservation = time.Second

// leastLoad is the least time of a load from the store, against load_time_s.
const minLoadTimeShare = 0.9

// idleWake is when the next step is due while nothing is under way.
const idleStepInterval = time.Second

// busyWake is when the next step is due while orders or plans are under way.
const busyStepInterval = 50 * time.Millisecond

// Counters count what happened since the start, for people and tests.
type Counters struct {
	Loads        int `json:"loads"`
	WarmLoads    int `json:"warm_loads"`
	Unloads      int `json:"unloads"`
	Adapters     int `json:"adapters"`
	Inspections  int `json:"looks"`
	Rejected     int `json:"refused"`    // orders that the endpoint refused
	Unanswered   int `json:"unanswered"` // orders without an answer
	Inadmissible int `json:"dropped"`    // orders that the last gate held back: a defect in the planning
}

// Placer decides which endpoint holds which models and adapters.
type Placer struct {
	config      Config
	startedAt   time.Time
	fleets      map[string]*fleet
	demand      *demandTable
	loadLimiter *loadRateLimiter
	lastOrderID uint64
	unanswered  map[uint64]*endpoint // orders without a result
	counters    Counters
	warmModels  map[string]map[string]bool // by service and address: models that stand on that disk
}

// New makes a placer that knows nothing yet. The first Step is its start.
func New(options Config) *Placer {
	return &Placer{
		config:     options.withDefaults(),
		fleets:     map[string]*fleet{},
		demand:     newDemandTable(),
		unanswered: map[uint64]*endpoint{},
		warmModels: map[string]map[string]bool{},
	}
}

// fleet is one service with an engine, and its endpoints.
type fleet struct {
	name             string
	engine           configuration.Engine
	models           map[string]configuration.Model
	endpoints        map[string]*endpoint
	sortedEndpoints  []*endpoint              // by ID
	maxModelMB       float64                  // model, in MB: the most that an earlier holder's order may be bringing
	secondsPerToken  float64                  // endpoint seconds of one token over all models, learned
	decidedAt        time.Time                // last step
	adapterEvictedAt map[adapterKey]time.Time // when adapters last made way for others
}

// Step takes in what is new and returns what is to be done.
func (p *Placer) Step(now time.Time, in Input) Output {
	p.begin(now)
	if in.Configuration != nil {
		p.configure(in.Configuration)
	}
	p.updateEndpoints(now, in.Endpoints)
	for _, result := range in.Results {
		p.handleResult(now, result)
	}
	for _, look := range in.Inspections {
		p.handleInspection(now, look)
	}
	p.demand.advance(now)
	for _, report := range in.Reports {
		p.demand.addReport(now, report)
	}
	out := Output{}
	for _, f := range p.sortedFleets() {
		p.expireOrders(now, f)
		p.decide(now, f, &out)
		p.requestInspections(now, f, &out)
	}
	p.setWakeAt(now, &out)
	return out
}

func (p *Placer) begin(now time.Time) {
	if !p.startedAt.IsZero() {
		return
	}
	p.startedAt = now
	p.loadLimiter = newLoadRateLimiter(now, p.config.LoadRateWindow, p.config.HandoverGap)
}

// configure takes a configuration; what endpoints hold stays known.
func (p *Placer) configure(next *configuration.Configuration) {
	perSecond := 0.0
	seen := map[string]bool{}
	for _, service := range next.Services {
		if service.Engine == nil {
			continue
		}
		seen[service.Name] = true
		f := p.fleets[service.Name]
		if f == nil {
			f = &fleet{
				name: service.Name, endpoints: map[string]*endpoint{}, secondsPerToken: initialSecondsPerToken,
				adapterEvictedAt: map[adapterKey]time.Time{},
			}
			p.fleets[service.Name] = f
		}
		f.engine = *service.Engine
		f.models = make(map[string]configuration.Model, len(service.Engine.Models))
		f.maxModelMB = 0
		for _, model := range service.Engine.Models {
			f.models[model.Name] = model
			f.maxModelMB = max(f.maxModelMB, model.WeightsMB)
		}
		if perSecond == 0 || service.Engine.LoadsPerSecond < perSecond {
			perSecond = service.Engine.LoadsPerSecond
		}
	}
	for name := range p.fleets {
		if !seen[name] {
			delete(p.fleets, name)
		}
	}
	p.loadLimiter.setRate(perSecond, p.config.LoadRateFactor, p.config.LoadRateWindow)
}

func (p *Placer) sortedFleets() []*fleet {
	fleets := make([]*fleet, 0, len(p.fleets))
	for _, f := range p.fleets {
		fleets = append(fleets, f)
	}
	slices.SortFunc(fleets, func(a, b *fleet) int { return cmp.Compare(a.name, b.name) })
	return fleets
}

// updateEndpoints takes the registry's table.
func (p *Placer) updateEndpoints(now time.Time, table []protocol.Endpoint) {
	present := make(map[string]bool, len(table))
	for _, told := range table {
		f := p.fleets[told.Service]
		if f == nil || told.State == protocol.Departed {
			continue
		}
		present[told.ID] = true
		e := f.endpoints[told.ID]
		if e == nil {
			e = p.addEndpoint(now, f, told)
		}
		e.observeHeartbeat(now, told)
		p.recordWarmModels(f, e)
	}
	for _, f := range p.fleets {
		f.removeAbsent(present)
	}
}

// addEndpoint begins to know an endpoint. One that comes later than an earlier holder's last order has had none.
func (p *Placer) addEndpoint(now time.Time, f *fleet, told protocol.Endpoint) *endpoint {
	e := &endpoint{firstSeenAt: now, onDisk: map[string]bool{}, inspectAt: now}
	f.endpoints[told.ID] = e
	f.sortedEndpoints = append(f.sortedEndpoints, e)
	fresh := now.Sub(p.startedAt) > answerTimeout && len(told.Models) == 0
	if !fresh {
		p.loadLimiter.addInherited(now, told.ID)
	}
	if fresh {
		e.stateKnown, e.inheritedOrdersOver, e.inspectAt = true, true, time.Time{}
	}
	e.ID = told.ID
	slices.SortFunc(f.sortedEndpoints, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return e
}

// recordWarmModels notes what an address's disk holds; a later incarnation there may load it faster.
func (p *Placer) recordWarmModels(f *fleet, e *endpoint) {
	key := f.name + " " + e.Address
	for i := range e.models {
		if p.warmModels[key] == nil {
			p.warmModels[key] = map[string]bool{}
		}
		p.warmModels[key][e.models[i].model] = true
	}
}

// likelyWarm tells whether the endpoint's disk probably has the model. Only held is sure: the address may have
// been given to a new machine.
func (p *Placer) likelyWarm(f *fleet, e *endpoint, model string) bool {
	return e.onDisk[model] || p.warmModels[f.name+" "+e.Address][model]
}

func (f *fleet) removeAbsent(present map[string]bool) {
	f.sortedEndpoints = slices.DeleteFunc(f.sortedEndpoints, func(e *endpoint) bool {
		if present[e.ID] {
			return false
		}
		delete(f.endpoints, e.ID)
		return true
	})
}

// handleResult takes the answer to an order.
func (p *Placer) handleResult(now time.Time, result Result) {
	e := p.unanswered[result.ID]
	if e == nil {
		return
	}
	delete(p.unanswered, result.ID)
	order := e.pending
	if order == nil || order.order.ID != result.ID {
		p.loadLimiter.resolve(result.ID, now, result.Outcome == Accepted || result.Outcome == Unknown)
		return
	}
	order.answeredAt, order.sequenceAtAnswer = now, e.Sequence
	began := false
	switch result.Outcome {
	case Accepted:
		began = true
		order.phase = orderAccepted
		e.revision++
		e.inspectAt = order.expectedAt
		if order.effectSeen {
			e.completeOrder(now)
		}
	case AlreadyApplied:
		e.completeOrder(now)
		e.invalidateState(now)
	case Unknown:
		began = true
		order.phase = orderUncertain
		p.counters.Unanswered++
		e.inspectAt = now.Add(firstInspectionDelay)
		if order.effectSeen {
			e.completeOrder(now)
			e.invalidateState(now)
		}
	default:
		p.handleRejection(now, e, result.Outcome)
	}
	p.loadLimiter.resolve(result.ID, now, began)
}

func (p *Placer) handleRejection(now time.Time, e *endpoint, outcome Outcome) {
	p.counters.Rejected++
	e.pending = nil
	e.invalidateState(now)
	pause := busyBackoff
	if outcome == Invalid {
		pause = invalidBackoff
		e.plan = nil
	}
	e.backoffUntil = now.Add(pause)
}

func (p *Placer) handleInspection(now time.Time, told Inspection) {
	for _, f := range p.fleets {
		if e := f.endpoints[told.Endpoint]; e != nil {
			if !told.Failed && !told.Busy {
				p.loadLimiter.observeIdle(now, told.Endpoint, f.minLoadTime(told.Models))
			}
			e.observeInspection(now, told)
			p.recordWarmModels(f, e)
			return
		}
	}
}

// minLoadTime is the least time that a load from the store of one of these models lasts.
func (f *fleet) minLoadTime(models []protocol.LoadedModel) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, held := range models {
		lasts := time.Duration(minLoadTimeShare * f.models[held.Name].LoadTimeSeconds * float64(time.Second))
		shortest = min(shortest, lasts)
	}
	return shortest
}

// expireOrders ends what took too long and settles endpoints that no other holder can have orders at.
func (p *Placer) expireOrders(now time.Time, f *fleet) {
	for _, e := range f.sortedEndpoints {
		if !e.inheritedOrdersOver && e.heartbeats > inheritedOrderHeartbeats && now.Sub(p.startedAt) > inheritedOrderWindow {
			e.inheritedOrdersOver = true
		}
		if e.plan != nil && (!e.isReady() || (e.pending == nil && now.Sub(e.plan.lastProgressAt) > planTimeout)) {
			e.plan = nil
		}
		order := e.pending
		if order == nil {
			continue
		}
		switch {
		case order.phase == orderSent && now.Sub(order.sentAt) > answerTimeout:
			p.handleResult(now, Result{ID: order.order.ID, Outcome: Unknown})
		case order.phase == orderAccepted && order.order.Adapter != "" && now.Sub(order.answeredAt) >= adapterLoadTimeout:
			e.completeOrder(now)
		case !p.config.InspectEndpoints && order.phase != orderSent && now.Sub(order.sentAt) > f.orderTimeout(order.order):
			p.abandonOrder(now, e)
		}
	}
}

// orderTimeout is when an order that no heartbeat shows as done is taken as done or as never taken.
func (f *fleet) orderTimeout(order Order) time.Duration {
	if order.Unload {
		return 30 * time.Second
	}
	return time.Duration(loadTimeoutFactor*f.models[order.Model].LoadTimeSeconds*float64(time.Second)) + answerTimeout
}

// abandonOrder ends an order that nothing more will be heard of.
func (p *Placer) abandonOrder(now time.Time, e *endpoint) {
	if e.pending.order.Unload && e.pending.order.Adapter == "" {
		e.pending = nil // what is there counts on
		return
	}
	e.pending = nil
	e.invalidateState(now)
}

// requestInspections asks for the reports that are due.
func (p *Placer) requestInspections(now time.Time, f *fleet, out *Output) {
	if !p.config.InspectEndpoints {
		return
	}
	for _, e := range f.sortedEndpoints {
		if e.State == protocol.Unresponsive || e.inspectAt.IsZero() || now.Before(e.inspectAt) {
			continue
		}
		e.inspectAt = now.Add(inspectionInterval)
		e.inspecting = true
		p.counters.Inspections++
		out.Inspect = append(out.Inspect, e.ID)
	}
}

func (p *Placer) setWakeAt(now time.Time, out *Output) {
	at := now.Add(idleStepInterval)
	for _, f := range p.fleets {
		for _, e := range f.sortedEndpoints {
			if e.pending != nil || e.plan != nil || !e.inspectAt.IsZero() {
				at = now.Add(busyStepInterval)
			}
		}
	}
	out.WakeAt = at
}
