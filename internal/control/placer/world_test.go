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

// The test world: engines, routers, demand and troubles in virtual time. It judges LIMIT and CEILING from the
// endpoints' own point of view and counts what the clients got. Its figures are of the kind that the users'
// sheets give; none is taken from a day.

const tick = 20 * time.Millisecond

// shape is a kind of fleet.
type shape struct {
	name        string
	endpoints   int
	zones       int
	routers     int
	memory      float64
	places      int
	slots       int
	perSecond   float64 // loads_per_s
	atOnce      int
	models      []shapeModel
	windowed    int // the first so many models take turns at being busy
	busy        int // so many of them are busy at a time
	classes     []class
	prefill     float64 // tokens a ms at pace 1
	step        float64 // ms
	length      time.Duration
	resident    int // models that an endpoint holds at the start
	crashShare  float64
	lookSupport bool
}

type shapeModel struct {
	spec configuration.Model
	warm float64
	pace float64
}

type class struct {
	name     string
	rate     float64
	aim      time.Duration
	deadline time.Duration
	worth    float64
	late     float64
	prompt   float64
	output   float64
	spread   float64
	adapters float64 // share that names one
	rare     bool    // asks for the models that take no turns
	priority int
}

func bookingFleet() shape {
	s := shape{
		name: "booking", endpoints: 12, zones: 3, routers: 9, memory: 180000, places: 8, slots: 64, perSecond: 2.8,
		atOnce: 14, windowed: 5, busy: 2, prefill: 19.2, step: 10.5, length: 34 * time.Second, resident: 2, crashShare: 0.17,
		lookSupport: true,
	}
	heavy := func(adapters int) shapeModel {
		return shapeModel{configuration.Model{WeightsMB: 72700, LoadTimeSeconds: 5.7, AdapterCount: adapters, AdapterSizeMB: 66}, 1.3, 1}
	}
	light := shapeModel{configuration.Model{WeightsMB: 42700, LoadTimeSeconds: 3.3, AdapterSizeMB: 66}, 0.89, 0.6}
	fast := shapeModel{configuration.Model{WeightsMB: 65100, LoadTimeSeconds: 5.1, AdapterSizeMB: 12}, 1.2, 0.11}
	s.models = []shapeModel{heavy(37), heavy(0), heavy(20), heavy(0), heavy(20)}
	for _, kind := range "lhhfhhlhhlhlhllflf" {
		s.models = append(s.models, map[rune]shapeModel{'l': light, 'h': heavy(0), 'f': fast}[kind])
	}
	s.classes = []class{
		{"brief", 26.4, 500 * time.Millisecond, 15 * time.Second, 2, 0.6, 1460, 172, 0.7, 0.1, false, 1},
		{"rewrite", 2.53, 8 * time.Second, 30 * time.Second, 3, 0.9, 1460, 172, 0.7, 0, true, 0},
		{"reply", 15.9, 400 * time.Millisecond, 10 * time.Second, 1, 0.3, 646, 70, 0.7, 0.5, false, 2},
	}
	return s.named()
}

func walletFleet() shape {
	s := bookingFleet()
	s.name, s.zones, s.routers, s.memory, s.atOnce, s.resident = "wallet", 4, 8, 230000, 16, 3
	s.prefill, s.step = 20.4, 11
	heavy := func(adapters int) shapeModel {
		return shapeModel{configuration.Model{WeightsMB: 72700, LoadTimeSeconds: 6, AdapterCount: adapters, AdapterSizeMB: 66}, 1.2, 1}
	}
	fast := shapeModel{configuration.Model{WeightsMB: 65100, LoadTimeSeconds: 5.4, AdapterSizeMB: 12}, 1.1, 0.13}
	s.models = []shapeModel{heavy(37), heavy(0), heavy(20), heavy(0), heavy(20)}
	for _, kind := range "fffffhffffhhhhfhffffffhhfhfhffhfhhh"[:34] {
		s.models = append(s.models, map[rune]shapeModel{'h': heavy(0), 'f': fast}[kind])
	}
	s.classes = []class{
		{"draft", 32.4, 500 * time.Millisecond, 15 * time.Second, 2, 1, 1460, 172, 0.7, 0.1, false, 1},
		{"review", 2.31, 10 * time.Second, 30 * time.Second, 3, 1.5, 1460, 172, 0.7, 0, true, 0},
		{"lookup", 19.4, 400 * time.Millisecond, 8 * time.Second, 1, 0.5, 646, 70, 0.7, 0.5, false, 2},
	}
	return s.named()
}

func (s shape) named() shape {
	for i := range s.models {
		s.models[i].spec.Name = fmt.Sprintf("m%02d", i)
	}
	return s
}

func (s shape) configuration() *configuration.Configuration {
	engine := &configuration.Engine{Slots: s.slots, WeightMemoryMB: s.memory, AdapterSlots: s.places, LoadsPerSecond: s.perSecond}
	for _, model := range s.models {
		engine.Models = append(engine.Models, model.spec)
	}
	return &configuration.Configuration{Generation: 1, Services: []configuration.Service{{Name: "lm", Engine: engine}}}
}

// decider is what the world drives: the Placer or a baseline.
type decider interface {
	Step(now time.Time, in Input) Output
}

// troubles of a day.
type troubles struct {
	bursts, crashes, shifts, changes, losses, releases bool
}

var allTroubles = troubles{true, true, true, true, true, true}

type call struct {
	class    *class
	model    int
	adapter  string
	arrived  time.Duration
	router   int
	prompt   float64
	output   float64
	endpoint *engine
	first    bool
	done     bool
}

type orderUnder struct {
	order Order
	ends  time.Duration
}

type engine struct {
	id       string
	index    int
	zone     string
	up       bool
	draining bool
	back     time.Duration
	models   map[string]map[string]bool
	disk     map[string]bool
	order    *orderUnder
	seq      uint64
	beat     uint64
	prefills []*call
	decodes  []*call
	nextBeat time.Duration
	history  []report
}

type report struct {
	at   time.Duration
	look Inspection
}

type delivery struct {
	at time.Duration
	do func()
}

type stats struct {
	owed, earned        float64
	asked, missed, late int
	rareAsked, rareMiss int
	starved, models     int
	loads, warm         int
	orders, looks       int
	refused             int
	limit, ceiling      string // what was broken
}

func (s stats) share() float64 { return s.earned / s.owed }

type world struct {
	shape     shape
	random    *rand.Rand
	now       time.Duration
	engines   []*engine
	byModel   map[string]int
	table     map[string]protocol.Endpoint
	heard     map[string]time.Duration
	queue     []delivery
	held      []*call // waiting at routers
	decider   decider
	fresh     func(quiet time.Duration) decider
	results   []Result
	looks     []Inspection
	reports   []protocol.Report
	sentUp    map[string]uint64
	asked     []map[[2]string]*protocol.ModelDemand
	nextFull  []time.Duration
	first     bool
	pauseTill time.Duration
	lead      time.Duration
	begins    []time.Duration
	plan      dayPlan
	stats     stats
	servedOf  map[string]int
	askedOf   map[string][]time.Duration
	ids       int
	epoch     time.Time
	trouble   troubles
}

type dayPlan struct {
	scale   float64
	shifts  []time.Duration
	bursts  []burst
	crashes []time.Duration
	changes []time.Duration
	release []time.Duration
}

type burst struct {
	class    int
	from, to time.Duration
	x        float64
}

func newWorld(s shape, seed uint64, trouble troubles, fresh func(quiet time.Duration) decider) *world {
	w := &world{
		shape: s, random: rand.New(rand.NewPCG(seed, 7)), byModel: map[string]int{},
		table: map[string]protocol.Endpoint{}, heard: map[string]time.Duration{}, fresh: fresh, lead: 10 * time.Second,
		servedOf: map[string]int{}, askedOf: map[string][]time.Duration{}, sentUp: map[string]uint64{},
		epoch: time.Unix(1e9, 0), trouble: trouble, first: true,
	}
	for i, model := range s.models {
		w.byModel[model.spec.Name] = i
	}
	for i := range s.endpoints {
		w.engines = append(w.engines, &engine{index: i, zone: fmt.Sprintf("z%d", i%s.zones), disk: map[string]bool{}})
		w.boot(w.engines[i])
		w.engines[i].nextBeat = time.Duration(w.random.IntN(1200)) * time.Millisecond
	}
	for i := range s.routers {
		w.asked = append(w.asked, map[[2]string]*protocol.ModelDemand{})
		w.nextFull = append(w.nextFull, time.Duration(500*i/s.routers)*time.Millisecond)
	}
	w.initial()
	w.planDay()
	w.decider = fresh(0)
	return w
}

// initial puts every rare model on one endpoint and fills up with the busy ones.
func (w *world) initial() {
	put := func(i int, from int) bool {
		for j := range w.engines {
			e := w.engines[(from+j)%len(w.engines)]
			name := w.shape.models[i].spec.Name
			if e.models[name] == nil && w.used(e)+w.shape.models[i].spec.WeightsMB <= w.shape.memory &&
				len(e.models) < w.shape.resident {
				e.models[name] = map[string]bool{}
				e.disk[name] = true
				return true
			}
		}
		return false
	}
	for i := range w.engines {
		if i%2 == 0 || w.shape.resident > 2 {
			put(i/2%w.shape.busy, i)
		}
	}
	for i := range w.shape.models {
		if i >= w.shape.busy {
			put(i, i)
		}
	}
	for i := range 2 * len(w.engines) {
		put(i%w.shape.busy, i)
	}
}

func (w *world) planDay() {
	r := w.random
	span := func(from, to float64) time.Duration {
		return w.lead + time.Duration((from+r.Float64()*(to-from))*float64(time.Second))
	}
	p := dayPlan{scale: 0.8 + 0.5*r.Float64()}
	if w.trouble.shifts {
		p.shifts = []time.Duration{span(1, 2), span(12, 17), span(23, 25)}
	}
	if w.trouble.bursts {
		for range 1 + r.IntN(2) {
			from := span(8, 24)
			p.bursts = append(p.bursts, burst{r.IntN(len(w.shape.classes)), from, from + 4500*time.Millisecond, 1.5 + r.Float64()})
		}
	}
	if w.trouble.crashes {
		p.crashes = append(p.crashes, span(8, 22))
	}
	if w.trouble.changes {
		p.changes = append(p.changes, span(3, 14), span(15, 28))
	}
	if w.trouble.releases && r.IntN(3) == 0 {
		p.release = append(p.release, span(2, 12))
	}
	w.plan = p
}

func (w *world) boot(e *engine) {
	w.ids++
	e.id = fmt.Sprintf("i-%04d", w.ids)
	e.up, e.draining = true, false
	e.models, e.order, e.seq, e.beat = map[string]map[string]bool{}, nil, 0, 0
	e.nextBeat = w.now
	e.history = nil
}

func (w *world) used(e *engine) float64 {
	sum := 0.0
	for name, adapters := range e.models {
		spec := w.shape.models[w.byModel[name]].spec
		sum += spec.WeightsMB + float64(len(adapters))*spec.AdapterSizeMB
	}
	return sum
}

func (w *world) later(after time.Duration, do func()) {
	w.queue = append(w.queue, delivery{w.now + after, do})
}

func (w *world) run() stats {
	w.runUntil(w.lead + w.shape.length + 5*time.Second)
	w.finish()
	return w.stats
}

func (w *world) runUntil(until time.Duration) {
	end := w.lead + w.shape.length
	for ; w.now < until; w.now += tick {
		w.deliver()
		w.troubles()
		if w.now >= w.lead && w.now < end {
			w.traffic()
		}
		for _, e := range w.engines {
			w.engine(e)
		}
		w.route()
		w.report()
		w.step()
	}
}

func (w *world) deliver() {
	due := w.queue
	w.queue = nil
	for _, d := range due {
		if d.at > w.now {
			w.queue = append(w.queue, d)
			continue
		}
		d.do()
	}
}

func (w *world) due(times *[]time.Duration) bool {
	if len(*times) == 0 || w.now < (*times)[0] {
		return false
	}
	*times = (*times)[1:]
	return true
}

func (w *world) troubles() {
	if w.due(&w.plan.crashes) {
		for range max(1, int(w.shape.crashShare*float64(len(w.engines)))) {
			w.crash(w.engines[w.random.IntN(len(w.engines))], time.Duration(3000+w.random.IntN(2000))*time.Millisecond)
		}
	}
	if w.due(&w.plan.changes) {
		w.decider = nil
		w.pauseTill = w.now + time.Duration(1000+w.random.IntN(4000))*time.Millisecond
	}
	if w.due(&w.plan.release) {
		for i := range 2 {
			e := w.engines[(i*5+3)%len(w.engines)]
			w.later(time.Duration(i)*6*time.Second, func() {
				e.draining = true
				e.nextBeat = w.now
				w.later(3*time.Second, func() { w.crash(e, 500*time.Millisecond) })
			})
		}
	}
	for _, e := range w.engines {
		if !e.up && w.now >= e.back {
			w.boot(e)
		}
	}
}

func (w *world) crash(e *engine, down time.Duration) {
	if !e.up {
		return
	}
	e.up = false
	e.back = w.now + down
	e.order = nil
	for _, c := range append(e.prefills, e.decodes...) {
		if !c.first {
			c.endpoint = nil
			w.held = append(w.held, c)
		}
	}
	e.prefills, e.decodes = nil, nil
}

// window gives the first busy model and how far demand has moved to the next.
func (w *world) busyShare() []float64 {
	weights := []float64{0.648, 0.352}
	shares := make([]float64, w.shape.windowed)
	first, moved := 0, 0.0
	for _, at := range w.plan.shifts {
		if w.now >= at+5500*time.Millisecond {
			first++
		} else if w.now >= at {
			moved = float64(w.now-at) / float64(5500*time.Millisecond)
		}
	}
	for i := range w.shape.busy {
		shares[(first+i)%len(shares)] += weights[i%2] * (1 - moved)
		shares[(first+1+i)%len(shares)] += weights[i%2] * moved
	}
	return shares
}

func (w *world) traffic() {
	shares := w.busyShare()
	for i := range w.shape.classes {
		c := &w.shape.classes[i]
		rate := c.rate * w.plan.scale
		for _, b := range w.plan.bursts {
			if b.class == i && w.now >= b.from && w.now < b.to {
				rate *= b.x
			}
		}
		for n := w.poisson(rate * tick.Seconds()); n > 0; n-- {
			w.arrive(c, shares)
		}
	}
}

func (w *world) poisson(mean float64) int {
	limit, product := math.Exp(-mean), w.random.Float64()
	n := 0
	for product > limit {
		n++
		product *= w.random.Float64()
	}
	return n
}

func (w *world) arrive(c *class, shares []float64) {
	r := w.random
	model := 0
	if c.rare {
		model = w.shape.windowed + int(float64(len(w.shape.models)-w.shape.windowed)*math.Pow(r.Float64(), 1.2))
	} else {
		pick := r.Float64()
		for model < len(shares)-1 && pick >= shares[model] {
			pick -= shares[model]
			model++
		}
	}
	size := func(mean float64) float64 {
		return mean * math.Exp(c.spread*r.NormFloat64()-c.spread*c.spread/2)
	}
	request := &call{
		class: c, model: model, arrived: w.now, router: r.IntN(w.shape.routers),
		prompt: math.Max(20, size(c.prompt)), output: math.Max(4, size(c.output)),
	}
	if count := w.shape.models[model].spec.AdapterCount; count > 0 && r.Float64() < c.adapters {
		request.adapter = fmt.Sprintf("a%d", 1+int(float64(count)*math.Pow(r.Float64(), 1.2)))
	}
	name := w.shape.models[model].spec.Name
	w.askedOf[name] = append(w.askedOf[name], w.now)
	if request.adapter != "" {
		w.askedOf[name+"/"+request.adapter] = append(w.askedOf[name+"/"+request.adapter], w.now)
	}
	w.stats.asked++
	w.stats.owed += c.worth
	if c.rare {
		w.stats.rareAsked++
	}
	row := w.row(request)
	row.Requests++
	row.Tokens += int64(request.prompt + request.output)
	row.Value += int64(10 - c.priority)
	w.held = append(w.held, request)
}

func (w *world) row(c *call) *protocol.ModelDemand {
	key := [2]string{w.shape.models[c.model].spec.Name, c.adapter}
	found := w.asked[c.router][key]
	if found == nil {
		found = &protocol.ModelDemand{Service: "lm", Model: key[0], Adapter: key[1]}
		w.asked[c.router][key] = found
	}
	return found
}

// engine lets one endpoint work for a tick.
func (w *world) engine(e *engine) {
	if !e.up {
		return
	}
	w.carryOut(e)
	left := float64(tick) / float64(time.Millisecond)
	for len(e.prefills) > 0 && left > 0 && len(e.decodes) < w.shape.slots {
		c := e.prefills[0]
		speed := w.shape.prefill / w.shape.models[c.model].pace
		part := math.Min(left, c.prompt/speed)
		c.prompt -= part * speed
		left -= part
		if c.prompt > 1e-6 {
			break
		}
		e.prefills = e.prefills[1:]
		e.decodes = append(e.decodes, c)
		w.firstToken(c)
	}
	if len(e.decodes) > 0 {
		steps := left / w.shape.step
		kept := e.decodes[:0]
		for _, c := range e.decodes {
			c.output -= steps / math.Max(0.3, w.shape.models[c.model].pace)
			if c.output > 0 {
				kept = append(kept, c)
			} else {
				c.done = true
			}
		}
		e.decodes = kept
	}
	if w.now >= e.nextBeat {
		w.sendBeat(e)
	}
	e.history = append(e.history, report{w.now, Inspection{Endpoint: e.id, Busy: e.order != nil, Revision: e.seq, Models: w.holdings(e)}})
	if len(e.history) > 8 {
		e.history = e.history[len(e.history)-8:]
	}
}

func (w *world) firstToken(c *call) {
	c.first = true
	took := w.now + tick - c.arrived
	name := w.shape.models[c.model].spec.Name
	w.servedOf[name]++
	w.servedOf[name+"/"+c.adapter]++
	switch {
	case took <= c.class.aim:
		w.stats.earned += c.class.worth
	default:
		w.stats.earned += c.class.late
		w.stats.late++
	}
}

// carryOut ends the order under way when its time has come.
func (w *world) carryOut(e *engine) {
	under := e.order
	if under == nil || w.now < under.ends {
		return
	}
	o := under.order
	if o.Unload && o.Adapter == "" && w.runs(e, o.Model) > 0 {
		return
	}
	switch {
	case o.Adapter != "" && o.Unload:
		delete(e.models[o.Model], o.Adapter)
	case o.Adapter != "":
		e.models[o.Model][o.Adapter] = true
	case o.Unload:
		delete(e.models, o.Model)
	default:
		e.models[o.Model] = map[string]bool{}
		e.disk[o.Model] = true
	}
	e.order = nil
	e.nextBeat = w.now // endpoints tell at once what has changed
}

func (w *world) runs(e *engine, model string) int {
	n := 0
	for _, c := range append(slices.Clone(e.prefills), e.decodes...) {
		if w.shape.models[c.model].spec.Name == model {
			n++
		}
	}
	return n
}

func (w *world) holdings(e *engine) []protocol.LoadedModel {
	held := make([]protocol.LoadedModel, 0, len(e.models))
	for _, name := range slices.Sorted(maps.Keys(e.models)) {
		held = append(held, protocol.LoadedModel{
			Name: name, Generation: 1,
			Adapters: slices.Sorted(maps.Keys(e.models[name])),
		})
	}
	return held
}

func (w *world) sendBeat(e *engine) {
	e.nextBeat = w.now + 1200*time.Millisecond
	e.beat++
	told := protocol.Endpoint{
		ID: e.id, Service: "lm", Address: fmt.Sprintf("10.0.0.%d:80", e.index), Zone: e.zone,
		Slots: w.shape.slots, Sequence: e.beat, Models: w.holdings(e),
	}
	if e.draining {
		told.State = protocol.Draining
	}
	delay := 10 * time.Millisecond
	if w.random.IntN(20) == 0 {
		delay = time.Duration(w.random.IntN(700)) * time.Millisecond
	}
	w.later(delay, func() {
		if old, exists := w.table[told.ID]; exists && old.Sequence > told.Sequence {
			return
		}
		w.table[told.ID] = told
		w.heard[told.ID] = w.now
	})
}

// route sends held requests to endpoints that can run them.
func (w *world) route() {
	kept := w.held[:0]
	for _, c := range w.held {
		if w.now-c.arrived > c.class.deadline {
			w.row(c).Unserved++
			w.stats.missed++
			if c.class.rare {
				w.stats.rareMiss++
			}
			continue
		}
		if e := w.choose(c); e != nil {
			c.endpoint = e
			e.prefills = append(e.prefills, c)
			continue
		}
		kept = append(kept, c)
	}
	w.held = kept
}

func (w *world) choose(c *call) *engine {
	name := w.shape.models[c.model].spec.Name
	var best *engine
	least := 0.0
	for _, e := range w.engines {
		adapters, holds := e.models[name]
		if !e.up || e.draining || !holds || (c.adapter != "" && !adapters[c.adapter]) {
			continue
		}
		if e.order != nil && e.order.order.Model == name && (e.order.order.Adapter == "" || e.order.order.Adapter == c.adapter) {
			continue
		}
		queued := 0.0
		for _, other := range e.prefills {
			queued += other.prompt
		}
		queued += 20 * float64(len(e.decodes))
		if len(e.prefills)+len(e.decodes) >= w.shape.slots {
			continue
		}
		if best == nil || queued < least {
			best, least = e, queued
		}
	}
	return best
}

// report sends each router's demand every half second.
func (w *world) report() {
	for i := range w.asked {
		if w.now < w.nextFull[i] {
			continue
		}
		w.nextFull[i] = w.now + 500*time.Millisecond
		node := fmt.Sprintf("r%d", i)
		w.sentUp[node]++
		for _, c := range w.held {
			if c.router == i {
				w.row(c).Queued++
			}
		}
		for _, e := range w.engines {
			for _, c := range append(slices.Clone(e.prefills), e.decodes...) {
				if c.router == i {
					w.row(c).InFlight++
				}
			}
		}
		told := protocol.Report{Node: node, Sequence: w.sentUp[node], Window: 500 * time.Millisecond}
		for _, key := range slices.SortedFunc(maps.Keys(w.asked[i]), compareRows) {
			told.Models = append(told.Models, *w.asked[i][key])
		}
		w.asked[i] = map[[2]string]*protocol.ModelDemand{}
		w.later(20*time.Millisecond, func() { w.reports = append(w.reports, told) })
	}
}

// step runs the holder, four times a second or when something came.
func (w *world) step() {
	if w.now < w.pauseTill {
		w.results, w.looks, w.reports = nil, nil, nil
		return
	}
	if w.decider == nil {
		w.decider = w.fresh(time.Second)
		w.first = true
	}
	if w.now%(100*time.Millisecond) != 0 && len(w.results)+len(w.looks) == 0 {
		return
	}
	in := Input{Reports: w.reports, Results: w.results, Inspections: w.looks}
	w.reports, w.results, w.looks = nil, nil, nil
	if w.first {
		in.Configuration = w.shape.configuration()
		w.first = false
	}
	for id, told := range w.table {
		switch quiet := w.now - w.heard[id]; {
		case quiet > 6*time.Second:
			delete(w.table, id)
			continue
		case quiet > 2500*time.Millisecond:
			told.State = protocol.Unresponsive
		}
		in.Endpoints = append(in.Endpoints, told)
	}
	slices.SortFunc(in.Endpoints, func(a, b protocol.Endpoint) int { return compareIDs(a.ID, b.ID) })
	holder := w.decider
	out := holder.Step(w.epoch.Add(w.now), in)
	for _, order := range out.Orders {
		w.send(holder, order)
	}
	for _, id := range out.Inspect {
		w.askLook(holder, id)
	}
}

func compareRows(a, b [2]string) int { return cmp.Or(cmp.Compare(a[0], b[0]), cmp.Compare(a[1], b[1])) }

func compareIDs(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

func (w *world) askLook(holder decider, id string) {
	w.stats.looks++
	w.later(5*time.Millisecond, func() {
		answer := Inspection{Endpoint: id, Failed: true}
		for _, e := range w.engines {
			if e.id == id && e.up && len(e.history) > 0 {
				answer = e.history[max(0, len(e.history)-6)].look
			}
		}
		w.later(5*time.Millisecond, func() {
			if w.decider == holder {
				w.looks = append(w.looks, answer)
			}
		})
	})
}

func (w *world) send(holder decider, order Order) {
	w.stats.orders++
	lost := w.trouble.losses && w.random.IntN(33) == 0
	after := 3 * time.Millisecond
	if lost && w.random.IntN(3) == 0 {
		after = time.Duration(w.random.IntN(900)) * time.Millisecond
	}
	dropped := lost && w.random.IntN(2) == 0
	w.later(after, func() {
		outcome := Unknown
		if !dropped {
			outcome = w.take(order)
		}
		back := 3 * time.Millisecond
		if lost {
			outcome, back = Unknown, time.Second
		}
		w.later(back, func() {
			if w.decider == holder {
				w.results = append(w.results, Result{ID: order.ID, Outcome: outcome})
			}
		})
	})
}

// take is the endpoint's own view of an order. It notes broken rules.
func (w *world) take(order Order) Outcome {
	var e *engine
	for _, candidate := range w.engines {
		if candidate.id == order.Endpoint && candidate.up {
			e = candidate
		}
	}
	if e == nil {
		return Unknown
	}
	if e.order != nil || (order.Revision != nil && *order.Revision != e.seq) {
		w.stats.refused++
		return Busy
	}
	adapters, holds := e.models[order.Model]
	switch {
	case order.Adapter != "" && !holds, order.Unload && !holds:
		w.stats.refused++
		return Invalid
	case order.Unload && order.Adapter != "" && !adapters[order.Adapter]:
		return AlreadyApplied
	case !order.Unload && order.Adapter == "" && holds, !order.Unload && order.Adapter != "" && adapters[order.Adapter]:
		return AlreadyApplied
	}
	e.seq++
	w.begin(e, order)
	return Accepted
}

func (w *world) begin(e *engine, order Order) {
	under := &orderUnder{order: order, ends: w.now + 20*time.Millisecond}
	e.order = under
	spec := w.shape.models[w.byModel[order.Model]]
	switch {
	case order.Unload:
		return
	case order.Adapter != "":
		count := 0
		for _, adapters := range e.models {
			count += len(adapters)
		}
		if count+1 > w.shape.places || w.used(e)+spec.spec.AdapterSizeMB > w.shape.memory {
			w.stats.limit = fmt.Sprintf("%v: %s gets adapter %+v beyond its limits", w.now, e.id, order)
		}
		return
	}
	if w.used(e)+spec.spec.WeightsMB > w.shape.memory {
		w.stats.limit = fmt.Sprintf("%v: %s gets %+v beyond its memory", w.now, e.id, order)
	}
	w.stats.loads++
	seconds := spec.spec.LoadTimeSeconds * (1 + 0.3*float64(len(e.decodes))/float64(w.shape.slots))
	if e.disk[order.Model] {
		seconds = spec.warm
		w.stats.warm++
	} else {
		w.begins = append(w.begins, w.now)
		loading := 0
		for _, other := range w.engines {
			if other.order != nil && !other.order.order.Unload && other.order.order.Adapter == "" {
				loading++
			}
		}
		seconds *= math.Max(1, float64(loading)/float64(w.shape.atOnce))
		w.checkCeiling()
	}
	under.ends = w.now + time.Duration(seconds*float64(time.Second))
}

func (w *world) checkCeiling() {
	most := w.shape.perSecond*5*1.1 + 3
	count := 0
	for _, at := range w.begins {
		if w.now-at <= 5*time.Second {
			count++
		}
	}
	if float64(count) > most {
		w.stats.ceiling = fmt.Sprintf("%v: %d loads began within 5 s", w.now, count)
	}
}

func (w *world) finish() {
	for _, c := range w.held {
		_ = c
		w.stats.missed++
	}
	for name, times := range w.askedOf {
		if len(times) >= 4 && times[len(times)-1]-times[0] > 8*time.Second {
			w.stats.models++
			if w.servedOf[name] == 0 {
				w.stats.starved++
			}
		}
	}
}
