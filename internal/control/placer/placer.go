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
const carefulTime = 2 * time.Second

// hearTime is how long a new holder hears reports before it takes a copy away: all routers have told by then what
// they have out and were asked for.
const hearTime = time.Second

// leastLoad is the least time of a load from the store, against load_time_s.
const leastLoad = 0.9

// idleWake is when the next step is due while nothing is under way.
const idleWake = time.Second

// busyWake is when the next step is due while orders or plans are under way.
const busyWake = 50 * time.Millisecond

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
	options   Config
	start     time.Time
	fleets    map[string]*fleet
	demand    *tally
	ledger    *ledger
	nextOrder uint64
	awaited   map[uint64]*endpoint // orders without a result
	counters  Counters
	warm      map[string]map[string]bool // by service and address: models that stand on that disk
}

// New makes a placer that knows nothing yet. The first Step is its start.
func New(options Config) *Placer {
	return &Placer{
		options: options.withDefaults(),
		fleets:  map[string]*fleet{},
		demand:  newTally(),
		awaited: map[uint64]*endpoint{},
		warm:    map[string]map[string]bool{},
	}
}

// fleet is one service with an engine, and its endpoints.
type fleet struct {
	name      string
	engine    configuration.Engine
	models    map[string]configuration.Model
	endpoints map[string]*endpoint
	order     []*endpoint              // by ID
	heaviest  float64                  // model, in MB: the most that an earlier holder's order may be bringing
	tokenTime float64                  // endpoint seconds of one token over all models, learned
	decided   time.Time                // last step
	madeWay   map[adapterKey]time.Time // when adapters last made way for others
}

// Step takes in what is new and returns what is to be done.
func (p *Placer) Step(now time.Time, in Input) Output {
	p.begin(now)
	if in.Configuration != nil {
		p.configure(in.Configuration)
	}
	p.tableOf(now, in.Endpoints)
	for _, result := range in.Results {
		p.result(now, result)
	}
	for _, look := range in.Inspections {
		p.look(now, look)
	}
	p.demand.advance(now)
	for _, report := range in.Reports {
		p.demand.take(now, report)
	}
	out := Output{}
	for _, f := range p.sorted() {
		p.expire(now, f)
		p.decide(now, f, &out)
		p.looks(now, f, &out)
	}
	p.wake(now, &out)
	return out
}

func (p *Placer) begin(now time.Time) {
	if !p.start.IsZero() {
		return
	}
	p.start = now
	p.ledger = newLedger(now, p.options.LoadRateWindow, p.options.HandoverGap)
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
				name: service.Name, endpoints: map[string]*endpoint{}, tokenTime: priorTokenTime,
				madeWay: map[adapterKey]time.Time{},
			}
			p.fleets[service.Name] = f
		}
		f.engine = *service.Engine
		f.models = make(map[string]configuration.Model, len(service.Engine.Models))
		f.heaviest = 0
		for _, model := range service.Engine.Models {
			f.models[model.Name] = model
			f.heaviest = max(f.heaviest, model.WeightsMB)
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
	p.ledger.setRate(perSecond, p.options.LoadRateFactor, p.options.LoadRateWindow)
}

func (p *Placer) sorted() []*fleet {
	fleets := make([]*fleet, 0, len(p.fleets))
	for _, f := range p.fleets {
		fleets = append(fleets, f)
	}
	slices.SortFunc(fleets, func(a, b *fleet) int { return cmp.Compare(a.name, b.name) })
	return fleets
}

// tableOf takes the registry's table.
func (p *Placer) tableOf(now time.Time, table []protocol.Endpoint) {
	present := make(map[string]bool, len(table))
	for _, told := range table {
		f := p.fleets[told.Service]
		if f == nil || told.State == protocol.Departed {
			continue
		}
		present[told.ID] = true
		e := f.endpoints[told.ID]
		if e == nil {
			e = p.meet(now, f, told)
		}
		e.beat(now, told)
		p.remember(f, e)
	}
	for _, f := range p.fleets {
		f.dropAbsent(present)
	}
}

// meet begins to know an endpoint. One that comes later than an earlier holder's last order has had none.
func (p *Placer) meet(now time.Time, f *fleet, told protocol.Endpoint) *endpoint {
	e := &endpoint{firstSeen: now, held: map[string]bool{}, lookAt: now}
	f.endpoints[told.ID] = e
	f.order = append(f.order, e)
	fresh := now.Sub(p.start) > answerTime && len(told.Models) == 0
	if !fresh {
		p.ledger.met(now, told.ID)
	}
	if fresh {
		e.known, e.settled, e.lookAt = true, true, time.Time{}
	}
	e.ID = told.ID
	slices.SortFunc(f.order, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return e
}

// remember notes what an address's disk holds; a later incarnation there may load it faster.
func (p *Placer) remember(f *fleet, e *endpoint) {
	key := f.name + " " + e.Address
	for i := range e.copies {
		if p.warm[key] == nil {
			p.warm[key] = map[string]bool{}
		}
		p.warm[key][e.copies[i].model] = true
	}
}

// likelyWarm tells whether the endpoint's disk probably has the model. Only held is sure: the address may have
// been given to a new machine.
func (p *Placer) likelyWarm(f *fleet, e *endpoint, model string) bool {
	return e.held[model] || p.warm[f.name+" "+e.Address][model]
}

func (f *fleet) dropAbsent(present map[string]bool) {
	f.order = slices.DeleteFunc(f.order, func(e *endpoint) bool {
		if present[e.ID] {
			return false
		}
		delete(f.endpoints, e.ID)
		return true
	})
}

// result takes the answer to an order.
func (p *Placer) result(now time.Time, result Result) {
	e := p.awaited[result.ID]
	if e == nil {
		return
	}
	delete(p.awaited, result.ID)
	order := e.pending
	if order == nil || order.order.ID != result.ID {
		p.ledger.answered(result.ID, now, result.Outcome == Accepted || result.Outcome == Unknown)
		return
	}
	order.answered, order.sequence = now, e.Sequence
	began := false
	switch result.Outcome {
	case Accepted:
		began = true
		order.phase = running
		e.revision++
		e.lookAt = order.expected
		if order.shown {
			e.done(now)
		}
	case AlreadyApplied:
		e.done(now)
		e.doubts(now)
	case Unknown:
		began = true
		order.phase = doubted
		p.counters.Unanswered++
		e.lookAt = now.Add(firstLook)
		if order.shown {
			e.done(now)
			e.doubts(now)
		}
	default:
		p.refused(now, e, result.Outcome)
	}
	p.ledger.answered(result.ID, now, began)
}

func (p *Placer) refused(now time.Time, e *endpoint, outcome Outcome) {
	p.counters.Rejected++
	e.pending = nil
	e.doubts(now)
	pause := refusedPause
	if outcome == Invalid {
		pause = invalidPause
		e.plan = nil
	}
	e.pauseUntil = now.Add(pause)
}

func (p *Placer) look(now time.Time, told Inspection) {
	for _, f := range p.fleets {
		if e := f.endpoints[told.Endpoint]; e != nil {
			if !told.Failed && !told.Busy {
				p.ledger.idle(now, told.Endpoint, f.shortestLoad(told.Models))
			}
			e.look(now, told)
			p.remember(f, e)
			return
		}
	}
}

// shortestLoad is the least time that a load from the store of one of these models lasts.
func (f *fleet) shortestLoad(models []protocol.LoadedModel) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, held := range models {
		lasts := time.Duration(leastLoad * f.models[held.Name].LoadTimeSeconds * float64(time.Second))
		shortest = min(shortest, lasts)
	}
	return shortest
}

// expire ends what took too long and settles endpoints that no other holder can have orders at.
func (p *Placer) expire(now time.Time, f *fleet) {
	for _, e := range f.order {
		if !e.settled && e.beats > settleBeats && now.Sub(p.start) > settleTime {
			e.settled = true
		}
		if e.plan != nil && (!e.live() || (e.pending == nil && now.Sub(e.plan.touched) > decidedWithin)) {
			e.plan = nil
		}
		order := e.pending
		if order == nil {
			continue
		}
		switch {
		case order.phase == sent && now.Sub(order.issued) > answerTime:
			p.result(now, Result{ID: order.order.ID, Outcome: Unknown})
		case order.phase == running && order.order.Adapter != "" && now.Sub(order.answered) >= adapterLate:
			e.done(now)
		case !p.options.InspectEndpoints && order.phase != sent && now.Sub(order.issued) > f.over(order.order):
			p.assume(now, e)
		}
	}
}

// over is when an order that no heartbeat shows as done is taken as done or as never taken.
func (f *fleet) over(order Order) time.Duration {
	if order.Unload {
		return 30 * time.Second
	}
	return time.Duration(loadLate*f.models[order.Model].LoadTimeSeconds*float64(time.Second)) + answerTime
}

// assume ends an order that nothing more will be heard of.
func (p *Placer) assume(now time.Time, e *endpoint) {
	if e.pending.order.Unload && e.pending.order.Adapter == "" {
		e.pending = nil // what is there counts on
		return
	}
	e.pending = nil
	e.doubts(now)
}

// looks asks for the reports that are due.
func (p *Placer) looks(now time.Time, f *fleet, out *Output) {
	if !p.options.InspectEndpoints {
		return
	}
	for _, e := range f.order {
		if e.State == protocol.Unresponsive || e.lookAt.IsZero() || now.Before(e.lookAt) {
			continue
		}
		e.lookAt = now.Add(lookAgain)
		e.looking = true
		p.counters.Inspections++
		out.Inspect = append(out.Inspect, e.ID)
	}
}

func (p *Placer) wake(now time.Time, out *Output) {
	at := now.Add(idleWake)
	for _, f := range p.fleets {
		for _, e := range f.order {
			if e.pending != nil || e.plan != nil || !e.lookAt.IsZero() {
				at = now.Add(busyWake)
			}
		}
	}
	out.WakeAt = at
}
