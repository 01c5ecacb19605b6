package placer

import (
	"time"
)

// busyStepInterval is the time until the next step while orders, plans or inspections are under way. Package roles
// steps no more often than this.
const busyStepInterval = 50 * time.Millisecond

// idleStepInterval is the time until the next step otherwise.
const idleStepInterval = time.Second

// Counters count what happened since New, for people and tests.
type Counters struct {
	Loads        int `json:"loads"`      // loads of models
	WarmLoads    int `json:"warm_loads"` // of those, loads from the endpoint's own disk
	Unloads      int `json:"unloads"`    // unloads of models
	Adapters     int `json:"adapters"`   // loads and unloads of adapters
	Inspections  int `json:"looks"`      // inspections requested
	Rejected     int `json:"refused"`    // orders that the endpoint rejected
	Unanswered   int `json:"unanswered"` // orders without an answer
	Inadmissible int `json:"dropped"`    // orders that the admission check stopped: a defect in the planning
}

// Placer decides which endpoint loads which models and adapters. It is not safe for concurrent use.
type Placer struct {
	config      Config
	startedAt   time.Time                  // time of the first step
	fleets      map[string]*fleet          // by service
	demand      *demandTable               // what routers report
	loadLimiter *loadRateLimiter           // of loads from the store, over all services
	lastOrderID uint64                     // of the order issued last
	unanswered  map[uint64]*endpoint       // endpoints of orders without a result, by order ID
	counters    Counters                   // since New
	warmModels  map[string]map[string]bool // by service and address: models that its disk probably has
}

// New returns a Placer that knows nothing yet. Its first Step counts as the beginning of its leadership.
func New(config Config) *Placer {
	return &Placer{
		config:     config.withDefaults(),
		fleets:     map[string]*fleet{},
		demand:     newDemandTable(),
		unanswered: map[uint64]*endpoint{},
		warmModels: map[string]map[string]bool{},
	}
}

// Step takes in what is new and returns what is to be done. The time must not go back from one step to the next.
func (p *Placer) Step(now time.Time, in Input) Output {
	p.begin(now)
	p.observe(now, in)
	out := Output{}
	for _, f := range p.sortedFleets() {
		p.expireOrders(now, f)
		p.decide(now, f, &out)
		p.requestInspections(now, f, &out)
	}
	out.WakeAt = p.nextStepAt(now)
	return out
}

// begin notes the time of the first step, from which the loads of earlier leaders are counted.
func (p *Placer) begin(now time.Time) {
	if !p.startedAt.IsZero() {
		return
	}
	p.startedAt = now
	p.loadLimiter = newLoadRateLimiter(now, p.config.LoadRateWindow, p.config.HandoverGap)
}

// observe takes in the input. Heartbeats come before answers to orders and inspections: a heartbeat often shows an
// order's effect before its answer arrives.
func (p *Placer) observe(now time.Time, in Input) {
	if in.Configuration != nil {
		p.configure(in.Configuration)
	}
	p.updateEndpoints(now, in.Endpoints)
	for _, result := range in.Results {
		p.handleResult(now, result)
	}
	for _, inspection := range in.Inspections {
		p.handleInspection(now, inspection)
	}
	p.demand.advance(now)
	for _, report := range in.Reports {
		p.demand.addReport(now, report)
	}
}

// nextStepAt is when the next step may decide something without new input.
func (p *Placer) nextStepAt(now time.Time) time.Time {
	for _, f := range p.fleets {
		for _, e := range f.sortedEndpoints {
			if e.pending != nil || e.plan != nil || !e.inspectAt.IsZero() {
				return now.Add(busyStepInterval)
			}
		}
	}
	return now.Add(idleStepInterval)
}
