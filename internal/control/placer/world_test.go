package placer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"raventrestle/internal/protocol"
)

// The simulated world consists of endpoints, routers, clients and faults around one placer, in virtual time. It checks
// LIMIT and CEILING from the endpoints' point of view and counts what clients get. Its parts are in the files
// world_*_test.go. Its parameters are of the kind that the users' data sheets give; none is taken from a recorded day.

// tick is the time step of the simulation.
const tick = 20 * time.Millisecond

// world simulates one fleet with its routers and clients for one day: a period of traffic with the length that the
// fleet's shape gives.
type world struct {
	shape    fleetShape
	faults   faultKinds
	schedule daySchedule
	random   *rand.Rand
	epoch    time.Time     // time on the policy's clock at which the world's time is zero
	now      time.Duration // time since epoch
	events   []event
	outcomes outcomes

	// Endpoints.
	endpoints        []*worldEndpoint
	endpointsStarted int            // number of endpoints started, for their IDs
	byModel          map[string]int // index of each model in the shape, by name
	table            map[string]protocol.Endpoint
	heartbeatAt      map[string]time.Duration // when the newest heartbeat arrived, by ID
	loadStarts       []time.Duration          // start times of loads from the store

	// Routers and clients.
	trafficFrom    time.Duration
	waiting        []*request                            // requests waiting at routers
	demandRows     []map[[2]string]*protocol.ModelDemand // rows of the next report; by router, then by model and adapter
	nextReport     []time.Duration                       // by router
	reportSequence map[string]uint64                     // by router name
	servedRequests map[string]int                        // requests with a first token, by model and by model/adapter
	requestTimes   map[string][]time.Duration            // arrival times, by the same keys

	// The policy, and the input of its next step.
	newPolicy        func(gap time.Duration) policy
	policy           policy // nil: there is no leader
	leaderlessUntil  time.Duration
	configurationDue bool
	results          []Result
	inspections      []Inspection
	reports          []protocol.Report
}

// event is a message in transit or a scheduled change.
type event struct {
	at time.Duration
	do func()
}

// newWorld returns a world whose day depends only on the seed. newPolicy creates the policy at the start and at each
// change of leader.
func newWorld(s fleetShape, seed uint64, faults faultKinds, newPolicy func(gap time.Duration) policy) *world {
	w := &world{
		shape: s, random: rand.New(rand.NewPCG(seed, 7)), byModel: map[string]int{},
		table: map[string]protocol.Endpoint{}, heartbeatAt: map[string]time.Duration{},
		newPolicy: newPolicy, trafficFrom: 10 * time.Second,
		servedRequests: map[string]int{}, requestTimes: map[string][]time.Duration{}, reportSequence: map[string]uint64{},
		epoch: time.Unix(1e9, 0), faults: faults, configurationDue: true,
	}
	for i, model := range s.models {
		w.byModel[model.configuration.Name] = i
	}
	for i := range s.endpoints {
		e := &worldEndpoint{index: i, zone: fmt.Sprintf("z%d", i%s.zones), onDisk: map[string]bool{}}
		w.endpoints = append(w.endpoints, e)
		w.startEndpoint(e)
		e.nextHeartbeat = time.Duration(w.random.IntN(1200)) * time.Millisecond
	}
	for i := range s.routers {
		w.demandRows = append(w.demandRows, map[[2]string]*protocol.ModelDemand{})
		w.nextReport = append(w.nextReport, time.Duration(500*i/s.routers)*time.Millisecond)
	}
	w.loadInitialModels()
	w.scheduleDay()
	w.policy = newPolicy(0)
	return w
}

// run simulates the complete day and returns its outcomes.
func (w *world) run() outcomes {
	w.runUntil(w.trafficFrom + w.shape.length + 5*time.Second)
	w.countUnfinished()
	return w.outcomes
}

// runUntil simulates until the given time.
func (w *world) runUntil(until time.Duration) {
	end := w.trafficFrom + w.shape.length
	for ; w.now < until; w.now += tick {
		w.runDueEvents()
		w.injectFaults()
		if w.now >= w.trafficFrom && w.now < end {
			w.generateTraffic()
		}
		for _, e := range w.endpoints {
			w.advanceEndpoint(e)
		}
		w.routeRequests()
		w.sendReports()
		w.stepPolicy()
	}
}

// after schedules do to be called after the delay.
func (w *world) after(delay time.Duration, do func()) {
	w.events = append(w.events, event{w.now + delay, do})
}

// runDueEvents runs the events that are due, in the order in which they were scheduled.
func (w *world) runDueEvents() {
	due := w.events
	w.events = nil
	for _, d := range due {
		if d.at > w.now {
			w.events = append(w.events, d)
			continue
		}
		d.do()
	}
}
