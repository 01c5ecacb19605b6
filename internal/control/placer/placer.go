package placer

import (
	"time"
)

// busyStepInterval is the time until the next step while an order, a plan or an inspection is in progress. Package
// roles never steps more often than this.
const busyStepInterval = 50 * time.Millisecond

// idleStepInterval is the time until the next step otherwise.
const idleStepInterval = time.Second

// Counters counts events since New, for diagnostics and tests.
type Counters struct {
	Loads        int `json:"loads"`      // model loads
	WarmLoads    int `json:"warm_loads"` // of those, loads from the endpoint's own disk
	Unloads      int `json:"unloads"`    // model unloads
	Adapters     int `json:"adapters"`   // adapter loads and unloads
	Inspections  int `json:"looks"`      // requested inspections
	Rejected     int `json:"refused"`    // orders that the endpoint rejected
	Unanswered   int `json:"unanswered"` // orders without an answer
	Inadmissible int `json:"dropped"`    // orders that the admission check rejected; each one shows a bug in the planning
}

// Placer decides which endpoint loads which models and adapters. It is not safe for concurrent use.
type Placer struct {
	config      Config
	startedAt   time.Time                  // time of the first step
	fleets      map[string]*fleet          // by service
	demand      *demandTable               // aggregated router reports
	loadLimiter *loadRateLimiter           // limits loads from the store, over all services
	lastOrderID uint64                     // ID of the last order issued
	unanswered  map[uint64]*endpoint       // endpoints of the orders without a result, by order ID
	counters    Counters                   // since New
	warmModels  map[string]map[string]bool // by service and address: models that are probably on the disk there
}

// New returns a Placer without any knowledge. Its first Step counts as the start of its leadership.
func New(config Config) *Placer {
	return &Placer{
		config:     config.withDefaults(),
		fleets:     map[string]*fleet{},
		demand:     newDemandTable(),
		unanswered: map[uint64]*endpoint{},
		warmModels: map[string]map[string]bool{},
	}
}

// Step processes the input and returns the orders to send and the endpoints to inspect. The time must not go backwards
// from one step to the next.
func (p *Placer) Step(now time.Time, in Input) Output {
	p.initialize(now)
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

// initialize records the time of the first step and starts the load rate limit, which includes loads that earlier
// leaders may have started.
func (p *Placer) initialize(now time.Time) {
	if !p.startedAt.IsZero() {
		return
	}
	p.startedAt = now
	p.loadLimiter = newLoadRateLimiter(now, p.config.LoadRateWindow, p.config.HandoverGap)
}

// observe updates the state from the input. Heartbeats are processed before answers to orders and inspections, because
// a heartbeat often shows the effect of an order before its answer arrives.
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

// nextStepAt returns when the next step may have something to decide without new input.
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
