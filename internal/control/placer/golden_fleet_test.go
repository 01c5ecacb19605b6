package placer

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// goldenTick is the time step of the simulation.
const goldenTick = 50 * time.Millisecond

// goldenScenario is one seeded run of the golden fleet. Its fields must not be changed, because the decisions recorded in
// testdata/golden depend on them.
type goldenScenario struct {
	name        string
	seed        uint64
	inspect     bool            // the placer may inspect endpoints
	length      time.Duration   // simulated duration of the run
	services    []goldenService // services of the first configuration
	faultRate   float64         // faults per second in the fleet
	orderLoss   float64         // share of orders whose delivery or answer is disturbed
	takeovers   []time.Duration // times at which a new placer takes over
	handoverGap time.Duration   // HandoverGap of the placers that take over
	changes     map[time.Duration]func(c *configuration.Configuration)
}

// goldenService is a service with its endpoints and the demand for its models.
type goldenService struct {
	name              string
	endpoints         int
	zones             int
	engine            configuration.Engine
	requestsPerSecond float64
	busyModels        int           // number of models that are busy at the same time
	dormantModels     int           // number of models at the end of the list that are never requested
	phase             time.Duration // time after which the next models become busy
}

// goldenFleet simulates endpoints, routers and clients around one placer. Everything is iterated in a fixed order, so
// that a seed always gives the same run.
type goldenFleet struct {
	scenario         goldenScenario
	random           *rand.Rand
	now              time.Duration
	configuration    *configuration.Configuration
	configurationDue bool // the placer has not received the current configuration yet
	endpoints        []*goldenEndpoint
	started          int // number of endpoints started, for their IDs
	table            map[string]protocol.Endpoint
	heardAt          map[string]time.Duration
	demand           map[goldenKey]*goldenDemand
	events           []goldenEvent
	input            Input
	placer           *Placer
	generation       int // number of takeovers so far
	wakeAt           time.Time
	lastWake         time.Duration
	lines            []string
}

// goldenEvent is a message in transit or a scheduled change.
type goldenEvent struct {
	at time.Duration
	do func()
}

func newGoldenFleet(s goldenScenario) *goldenFleet {
	f := &goldenFleet{
		scenario: s, random: rand.New(rand.NewPCG(s.seed, 11)), table: map[string]protocol.Endpoint{},
		heardAt: map[string]time.Duration{}, demand: map[goldenKey]*goldenDemand{}, configurationDue: true,
		configuration: &configuration.Configuration{Generation: 1},
	}
	for _, service := range s.services {
		engine := service.engine
		engine.Models = slices.Clone(engine.Models)
		f.configuration.Services = append(f.configuration.Services,
			configuration.Service{Name: service.name, Engine: &engine})
		for i := range service.endpoints {
			e := &goldenEndpoint{
				service: service.name, address: fmt.Sprintf("%s-%d:80", service.name, i),
				zone: fmt.Sprintf("z%d", i%service.zones), slots: engine.Slots, onDisk: map[string]bool{},
			}
			f.startEndpoint(e)
			f.loadInitialModels(e, &engine, i)
			e.nextHeartbeat = time.Duration(f.random.IntN(800)) * time.Millisecond
			f.endpoints = append(f.endpoints, e)
		}
	}
	f.configuration.Services = append(f.configuration.Services, configuration.Service{Name: "plain"})
	f.placer = New(Config{InspectEndpoints: s.inspect, HandoverGap: time.Minute})
	return f
}

// run simulates the scenario and returns the recorded lines.
func (f *goldenFleet) run() []string {
	for ; f.now < f.scenario.length; f.now += goldenTick {
		f.runDueEvents()
		f.applyChanges()
		f.injectFaults()
		for _, e := range f.endpoints {
			f.advanceEndpoint(e)
		}
		f.generateTraffic()
		f.sendReports()
		f.step()
		if f.now > 0 && f.now%(10*time.Second) == 0 {
			f.recordState()
		}
	}
	f.recordState()
	return f.lines
}

func (f *goldenFleet) chance(p float64) bool { return f.random.Float64() < p }

func (f *goldenFleet) after(after time.Duration, do func()) {
	f.events = append(f.events, goldenEvent{f.now + after, do})
}

func (f *goldenFleet) runDueEvents() {
	due := f.events
	f.events = nil
	for _, d := range due {
		if d.at > f.now {
			f.events = append(f.events, d)
			continue
		}
		d.do()
	}
}

func (f *goldenFleet) applyChanges() {
	if change := f.scenario.changes[f.now]; change != nil {
		next := &configuration.Configuration{Generation: f.configuration.Generation + 1}
		for _, service := range f.configuration.Services {
			if service.Engine != nil {
				engine := *service.Engine
				engine.Models = slices.Clone(engine.Models)
				service.Engine = &engine
			}
			next.Services = append(next.Services, service)
		}
		change(next)
		f.configuration, f.configurationDue = next, true
	}
	if slices.Contains(f.scenario.takeovers, f.now) {
		f.placer = New(Config{InspectEndpoints: f.scenario.inspect, HandoverGap: f.scenario.handoverGap})
		f.generation++
		f.input, f.configurationDue, f.wakeAt = Input{}, true, time.Time{}
		f.record("takeover %d", f.generation)
	}
}

// step steps the placer if input has arrived or its wake-up time has come.
func (f *goldenFleet) step() {
	in := f.input
	now := time.Unix(1e9, 0).Add(f.now)
	if now.Before(f.wakeAt) && len(in.Results)+len(in.Inspections)+len(in.Reports) == 0 && !f.configurationDue {
		return
	}
	f.input = Input{}
	if f.configurationDue {
		in.Configuration, f.configurationDue = f.configuration, false
	}
	in.Recovering = f.now%(30*time.Second) < 3*time.Second
	for _, id := range slices.Sorted(maps.Keys(f.table)) {
		entry := f.table[id]
		switch quiet := f.now - f.heardAt[id]; {
		case quiet > 7*time.Second:
			delete(f.table, id)
			continue
		case quiet > 6*time.Second:
			entry.State = protocol.Departed
		case quiet > 2500*time.Millisecond:
			entry.State = protocol.Unresponsive
		}
		in.Endpoints = append(in.Endpoints, entry)
	}
	out := f.placer.Step(now, in)
	f.wakeAt = out.WakeAt
	f.recordOutput(now, out)
	for _, order := range out.Orders {
		f.sendOrder(order)
	}
	for _, id := range out.Inspect {
		f.inspect(id)
	}
}

// inspect sends back the endpoint's own report, or a failed inspection.
func (f *goldenFleet) inspect(id string) {
	generation := f.generation
	answer := Inspection{Endpoint: id, Failed: true}
	for _, e := range f.endpoints {
		if e.id == id && e.up && !f.chance(0.05) {
			answer = Inspection{Endpoint: id, Busy: e.order != nil, Revision: e.revision, Models: f.loadedModels(e)}
		}
	}
	f.after(time.Duration(f.random.IntN(120))*time.Millisecond, func() {
		if f.generation == generation {
			f.input.Inspections = append(f.input.Inspections, answer)
		}
	})
}

// sendOrder delivers an order to its endpoint and returns the answer, with the losses and delays of the scenario.
func (f *goldenFleet) sendOrder(order Order) {
	disturbed := f.chance(f.scenario.orderLoss)
	kind := f.random.IntN(5)
	after := time.Duration(0)
	if disturbed && kind == 0 {
		after = 700 * time.Millisecond // the order arrives late
	}
	generation := f.generation
	f.after(after, func() {
		outcome := Unknown
		if !disturbed || kind != 1 { // 1: the order never arrives
			outcome = f.receiveOrder(order)
		}
		back := time.Duration(f.random.IntN(100)) * time.Millisecond
		if disturbed && kind != 4 {
			outcome, back = Unknown, time.Second // the answer is lost
		}
		if disturbed && kind == 3 {
			return // the order never gets a result
		}
		answer := func() {
			if f.generation == generation {
				f.input.Results = append(f.input.Results, Result{ID: order.ID, Outcome: outcome})
			}
		}
		f.after(back, answer)
		if disturbed && kind == 4 {
			f.after(2*back, answer) // the answer arrives twice
		}
	})
}
