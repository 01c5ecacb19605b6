package placer

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// goldenTick is the resolution of the golden fleet's simulated time.
const goldenTick = 50 * time.Millisecond

// goldenScenario is one seeded run of the golden fleet. Its fields may not be changed: the recorded decisions in
// testdata/golden follow from them.
type goldenScenario struct {
	name      string
	seed      uint64
	inspect   bool            // the placer may ask endpoints for their reports
	length    time.Duration   // simulated time of the run
	services  []goldenService // services of the first configuration
	faultRate float64         // faults a second over the whole fleet
	loss      float64         // share of orders whose delivery or answer is disturbed
	takeovers []time.Duration // when a new placer takes over
	quiet     time.Duration   // QuietBefore of those that take over
	changes   map[time.Duration]func(c *configuration.Configuration)
}

// goldenService is a service with its endpoints and the demand for its models.
type goldenService struct {
	name      string
	endpoints int
	zones     int
	engine    configuration.Engine
	perSecond float64 // requests a second
	hot       int     // models that are asked for most, at a time
	never     int     // the last so many models are never asked for
	phase     time.Duration
}

// goldenEndpoint is a simulated endpoint.
type goldenEndpoint struct {
	id, service, address, zone string
	slots                      int
	up, draining, mute         bool
	back                       time.Duration // when it starts again after a crash
	heartbeat                  uint64
	nextHeartbeat              time.Duration
	revision                   uint64
	models                     map[string][]string // adapters by model
	disk                       map[string]bool
	order                      *Order
	ends                       time.Duration
}

// goldenKey names a model's or an adapter's demand at one router.
type goldenKey struct {
	router                  int
	service, model, adapter string
}

func (k goldenKey) compare(other goldenKey) int {
	return cmp.Or(cmp.Compare(k.router, other.router), cmp.Compare(k.service, other.service),
		cmp.Compare(k.model, other.model), cmp.Compare(k.adapter, other.adapter))
}

// goldenDemand is what one router has counted for one key.
type goldenDemand struct {
	row              protocol.ModelDemand // since its last report
	waiting, running int
}

type goldenDelivery struct {
	at time.Duration
	do func()
}

// goldenFleet simulates endpoints, routers and clients around one placer. Everything is iterated in a fixed order, so
// that a seed gives one run.
type goldenFleet struct {
	scenario      goldenScenario
	random        *rand.Rand
	now           time.Duration
	configuration *configuration.Configuration
	changed       bool // the placer has not seen the configuration yet
	endpoints     []*goldenEndpoint
	started       int // endpoints, for their IDs
	table         map[string]protocol.Endpoint
	heard         map[string]time.Duration
	demand        map[goldenKey]*goldenDemand
	queue         []goldenDelivery
	input         Input
	placer        *Placer
	generation    int // of placers
	wakeAt        time.Time
	lastWake      time.Duration
	lines         []string
}

// goldenRouters is how many routers report.
const goldenRouters = 3

func newGoldenFleet(s goldenScenario) *goldenFleet {
	f := &goldenFleet{
		scenario: s, random: rand.New(rand.NewPCG(s.seed, 11)), table: map[string]protocol.Endpoint{},
		heard: map[string]time.Duration{}, demand: map[goldenKey]*goldenDemand{}, changed: true,
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
				zone: fmt.Sprintf("z%d", i%service.zones), slots: engine.Slots, disk: map[string]bool{},
			}
			f.start(e)
			f.fill(e, &engine, i)
			e.nextHeartbeat = time.Duration(f.random.IntN(800)) * time.Millisecond
			f.endpoints = append(f.endpoints, e)
		}
	}
	f.configuration.Services = append(f.configuration.Services, configuration.Service{Name: "plain"})
	f.placer = New(Config{InspectEndpoints: s.inspect, HandoverGap: time.Minute})
	return f
}

func (f *goldenFleet) start(e *goldenEndpoint) {
	f.started++
	e.id = fmt.Sprintf("i-%03d", f.started)
	e.up, e.draining, e.mute = true, false, false
	e.heartbeat, e.revision, e.order = 0, 0, nil
	e.models = map[string][]string{}
	e.nextHeartbeat = f.now
}

// fill puts a few models on an endpoint before the run.
func (f *goldenFleet) fill(e *goldenEndpoint, engine *configuration.Engine, from int) {
	room := engine.WeightMemoryMB * 0.8
	for i := range engine.Models {
		model := engine.Models[(i+from)%len(engine.Models)]
		if model.WeightsMB <= room {
			e.models[model.Name] = nil
			e.disk[model.Name] = true
			room -= model.WeightsMB
		}
	}
}

func (f *goldenFleet) chance(p float64) bool { return f.random.Float64() < p }

func (f *goldenFleet) later(after time.Duration, do func()) {
	f.queue = append(f.queue, goldenDelivery{f.now + after, do})
}

// run plays the scenario and returns the recorded lines.
func (f *goldenFleet) run() []string {
	for ; f.now < f.scenario.length; f.now += goldenTick {
		f.deliver()
		f.change()
		f.faults()
		for _, e := range f.endpoints {
			f.work(e)
		}
		f.traffic()
		f.report()
		f.step()
		if f.now > 0 && f.now%(10*time.Second) == 0 {
			f.recordState()
		}
	}
	f.recordState()
	return f.lines
}

func (f *goldenFleet) deliver() {
	due := f.queue
	f.queue = nil
	for _, d := range due {
		if d.at > f.now {
			f.queue = append(f.queue, d)
			continue
		}
		d.do()
	}
}

func (f *goldenFleet) change() {
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
		f.configuration, f.changed = next, true
	}
	if slices.Contains(f.scenario.takeovers, f.now) {
		f.placer = New(Config{InspectEndpoints: f.scenario.inspect, HandoverGap: f.scenario.quiet})
		f.generation++
		f.input, f.changed, f.wakeAt = Input{}, true, time.Time{}
		f.record("takeover %d", f.generation)
	}
}

// faults begins the tick's faults of endpoints.
func (f *goldenFleet) faults() {
	for _, e := range f.endpoints {
		if !e.up && f.now >= e.back {
			f.start(e)
		}
	}
	if !f.chance(f.scenario.faultRate * goldenTick.Seconds()) {
		return
	}
	e := f.endpoints[f.random.IntN(len(f.endpoints))]
	if !e.up {
		return
	}
	switch f.random.IntN(7) {
	case 0, 1: // it crashes and starts again, empty and under a new ID
		f.crash(e, time.Duration(500+f.random.IntN(4000))*time.Millisecond)
	case 2: // it drains and ends
		e.draining, e.nextHeartbeat = true, f.now
		f.later(2*time.Second, func() { f.crash(e, time.Second) })
	case 3: // its heartbeats are lost for a time
		e.mute = true
		f.later(time.Duration(1+f.random.IntN(5))*time.Second, func() { e.mute = false })
	case 4: // it loses a model that nobody unloaded
		if names := slices.Sorted(maps.Keys(e.models)); len(names) > 0 && e.order == nil {
			delete(e.models, names[f.random.IntN(len(names))])
		}
	case 5: // somebody else orders an unload
		if names := slices.Sorted(maps.Keys(e.models)); len(names) > 0 && e.order == nil {
			f.begin(e, Order{Model: names[f.random.IntN(len(names))], Unload: true})
		}
	case 6: // somebody else orders a load
		if e.order == nil {
			f.loadOfAnother(e)
		}
	}
}

// loadOfAnother has the endpoint begin a load that this placer has not ordered, if there is room.
func (f *goldenFleet) loadOfAnother(e *goldenEndpoint) {
	for _, service := range f.configuration.Services {
		if service.Name != e.service || service.Engine == nil {
			continue
		}
		room := service.Engine.WeightMemoryMB
		for _, model := range service.Engine.Models {
			if adapters, there := e.models[model.Name]; there {
				room -= model.WeightsMB + float64(len(adapters))*model.AdapterSizeMB
			}
		}
		model := service.Engine.Models[f.random.IntN(len(service.Engine.Models))]
		if _, there := e.models[model.Name]; !there && model.WeightsMB <= room {
			f.begin(e, Order{Model: model.Name})
		}
	}
}

func (f *goldenFleet) crash(e *goldenEndpoint, down time.Duration) {
	if e.up {
		e.up, e.order, e.back = false, nil, f.now+down
	}
}

// work lets an endpoint go on with its order and send its heartbeat.
func (f *goldenFleet) work(e *goldenEndpoint) {
	if !e.up {
		return
	}
	if e.order != nil && f.now >= e.ends {
		f.finish(e)
	}
	if f.now >= e.nextHeartbeat {
		f.sendHeartbeat(e)
	}
}

func (f *goldenFleet) finish(e *goldenEndpoint) {
	order := *e.order
	e.order, e.nextHeartbeat = nil, f.now
	adapters, there := e.models[order.Model]
	switch {
	case order.Adapter != "" && there && order.Unload:
		e.models[order.Model] = slices.DeleteFunc(slices.Clone(adapters), func(a string) bool { return a == order.Adapter })
	case order.Adapter != "" && there:
		e.models[order.Model] = append(slices.Clone(adapters), order.Adapter)
	case order.Adapter != "":
	case order.Unload:
		delete(e.models, order.Model)
	default:
		e.models[order.Model] = nil
		e.disk[order.Model] = true
	}
}

func (f *goldenFleet) holdings(e *goldenEndpoint) []protocol.LoadedModel {
	var held []protocol.LoadedModel
	for _, name := range slices.Sorted(maps.Keys(e.models)) {
		held = append(held, protocol.LoadedModel{Name: name, Generation: 1, Adapters: slices.Clone(e.models[name])})
	}
	return held
}

func (f *goldenFleet) sendHeartbeat(e *goldenEndpoint) {
	e.nextHeartbeat = f.now + 1200*time.Millisecond
	e.heartbeat++
	entry := protocol.Endpoint{
		ID: e.id, Service: e.service, Address: e.address, Zone: e.zone, Slots: e.slots,
		Sequence: e.heartbeat, Models: f.holdings(e),
	}
	if e.draining {
		entry.State = protocol.Draining
	}
	delay := time.Duration(0)
	if f.chance(0.1) {
		delay = time.Duration(f.random.IntN(900)) * time.Millisecond
	}
	if e.mute {
		return
	}
	f.later(delay, func() {
		if old, exists := f.table[entry.ID]; exists && old.Sequence > entry.Sequence {
			return
		}
		f.table[entry.ID] = entry
		f.heard[entry.ID] = f.now
	})
}

// rate is how many requests a second ask for the service's model at this time.
func (f *goldenFleet) rate(s goldenService, index int) float64 {
	models := len(s.engine.Models)
	if index >= models-s.never {
		return 0
	}
	phase := int(f.now / s.phase)
	if place := (index + models - phase%models) % models; place < s.hot {
		return s.perSecond * 0.85 / float64(s.hot)
	}
	if index%2 == 0 {
		return s.perSecond * 0.01
	}
	return s.perSecond * 0.12 / float64(models)
}

func (f *goldenFleet) poisson(mean float64) int {
	limit, product, n := math.Exp(-mean), f.random.Float64(), 0
	for product > limit {
		n++
		product *= f.random.Float64()
	}
	return n
}

// traffic lets requests come, wait, run and end.
func (f *goldenFleet) traffic() {
	for _, key := range slices.SortedFunc(maps.Keys(f.demand), goldenKey.compare) {
		d := f.demand[key]
		for range d.running {
			if f.chance(0.03) {
				d.running--
			}
		}
		for range d.waiting {
			switch {
			case f.served(key):
				d.waiting--
				d.running++
			case f.chance(0.02):
				d.waiting--
				d.row.Unserved++
			}
		}
	}
	for _, s := range f.scenario.services {
		for i, model := range s.engine.Models {
			for range f.poisson(f.rate(s, i) * goldenTick.Seconds()) {
				f.arrive(s, model)
			}
		}
	}
}

func (f *goldenFleet) arrive(s goldenService, model configuration.Model) {
	key := goldenKey{router: f.random.IntN(goldenRouters), service: s.name, model: model.Name}
	if model.AdapterCount > 0 && f.chance(0.5) {
		key.adapter = fmt.Sprintf("a%d", 1+int(float64(model.AdapterCount)*math.Pow(f.random.Float64(), 1.5)))
	}
	d := f.demand[key]
	if d == nil {
		d = &goldenDemand{}
		f.demand[key] = d
	}
	d.row.Requests++
	d.row.Tokens += int64(200 + f.random.IntN(1500))
	d.row.Value += int64(1 + f.random.IntN(10))
	switch {
	case f.served(key):
		d.running++
	case f.chance(0.5):
		d.waiting++
	default:
		d.row.Unserved++
	}
}

// served tells whether an endpoint offers what the key names.
func (f *goldenFleet) served(key goldenKey) bool {
	for _, e := range f.endpoints {
		adapters, there := e.models[key.model]
		if e.up && !e.draining && e.service == key.service && there &&
			(key.adapter == "" || slices.Contains(adapters, key.adapter)) {
			return true
		}
	}
	return false
}

// report sends each router's report every half second; all are silent for four seconds of each 70.
func (f *goldenFleet) report() {
	if f.now%(70*time.Second) > 66*time.Second {
		return
	}
	for router := range goldenRouters {
		if (f.now+time.Duration(router)*3*goldenTick)%(500*time.Millisecond) != 0 {
			continue
		}
		report := protocol.Report{Node: fmt.Sprintf("r%d", router), Sequence: uint64(f.now), Window: 500 * time.Millisecond}
		for _, key := range slices.SortedFunc(maps.Keys(f.demand), goldenKey.compare) {
			if key.router != router {
				continue
			}
			d := f.demand[key]
			row := d.row
			row.Service, row.Model, row.Adapter = key.service, key.model, key.adapter
			row.Queued, row.InFlight = d.waiting, d.running
			d.row = protocol.ModelDemand{}
			if row.Requests+row.Unserved+row.Queued+row.InFlight > 0 {
				report.Models = append(report.Models, row)
			}
		}
		f.later(0, func() { f.input.Reports = append(f.input.Reports, report) })
	}
}

// step has the placer decide when something came or it asked to be woken.
func (f *goldenFleet) step() {
	in := f.input
	now := time.Unix(1e9, 0).Add(f.now)
	if now.Before(f.wakeAt) && len(in.Results)+len(in.Inspections)+len(in.Reports) == 0 && !f.changed {
		return
	}
	f.input = Input{}
	if f.changed {
		in.Configuration, f.changed = f.configuration, false
	}
	in.Recovering = f.now%(30*time.Second) < 3*time.Second
	for _, id := range slices.Sorted(maps.Keys(f.table)) {
		entry := f.table[id]
		switch quiet := f.now - f.heard[id]; {
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
		f.send(order)
	}
	for _, id := range out.Inspect {
		f.inspect(id)
	}
}

// inspect answers with the endpoint's own report, or that none came.
func (f *goldenFleet) inspect(id string) {
	generation := f.generation
	answer := Inspection{Endpoint: id, Failed: true}
	for _, e := range f.endpoints {
		if e.id == id && e.up && !f.chance(0.05) {
			answer = Inspection{Endpoint: id, Busy: e.order != nil, Revision: e.revision, Models: f.holdings(e)}
		}
	}
	f.later(time.Duration(f.random.IntN(120))*time.Millisecond, func() {
		if f.generation == generation {
			f.input.Inspections = append(f.input.Inspections, answer)
		}
	})
}

// send carries an order to its endpoint and the answer back, as the scenario's losses allow.
func (f *goldenFleet) send(order Order) {
	disturbed := f.chance(f.scenario.loss)
	kind := f.random.IntN(5)
	after := time.Duration(0)
	if disturbed && kind == 0 {
		after = 700 * time.Millisecond // it arrives late
	}
	generation := f.generation
	f.later(after, func() {
		outcome := Unknown
		if !disturbed || kind != 1 { // 1: it never arrives
			outcome = f.take(order)
		}
		back := time.Duration(f.random.IntN(100)) * time.Millisecond
		if disturbed && kind != 4 {
			outcome, back = Unknown, time.Second // its answer is lost
		}
		if disturbed && kind == 3 {
			return // nobody ever says what became of it
		}
		answer := func() {
			if f.generation == generation {
				f.input.Results = append(f.input.Results, Result{ID: order.ID, Outcome: outcome})
			}
		}
		f.later(back, answer)
		if disturbed && kind == 4 {
			f.later(2*back, answer) // the answer comes twice
		}
	})
}

// take is the endpoint's answer to an order.
func (f *goldenFleet) take(order Order) Outcome {
	at := slices.IndexFunc(f.endpoints, func(e *goldenEndpoint) bool { return e.up && e.id == order.Endpoint })
	if at < 0 {
		return Unknown
	}
	e := f.endpoints[at]
	if e.order != nil || (order.Revision != nil && *order.Revision != e.revision) {
		return Busy
	}
	adapters, there := e.models[order.Model]
	has := slices.Contains(adapters, order.Adapter)
	switch {
	case order.Adapter != "" && !there, order.Unload && !there:
		return Invalid
	case order.Adapter != "" && has != order.Unload, order.Adapter == "" && !order.Unload && there:
		return AlreadyApplied
	}
	f.begin(e, order)
	return Accepted
}

// begin starts an order at an endpoint.
func (f *goldenFleet) begin(e *goldenEndpoint, order Order) {
	e.revision++
	e.order = &order
	lasts := 20 * time.Millisecond
	switch {
	case order.Adapter != "":
	case order.Unload:
		if f.chance(0.4) {
			lasts = time.Duration(100+f.random.IntN(2400)) * time.Millisecond // it waits for its requests
		}
		if f.chance(0.02) {
			lasts = 50 * time.Second // one of them doesn't end
		}
	default:
		seconds := 5.0
		for _, service := range f.configuration.Services {
			if service.Name == e.service && service.Engine != nil {
				for _, model := range service.Engine.Models {
					if model.Name == order.Model {
						seconds = model.LoadTimeSeconds
					}
				}
			}
		}
		if e.disk[order.Model] {
			seconds *= 0.23
		}
		lasts = time.Duration(seconds * (0.9 + 0.3*f.random.Float64()) * float64(time.Second))
	}
	e.ends = f.now + lasts
}
