package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// goldenRun runs a scenario with simulated clients and endpoints, which react to the decider's outputs.
type goldenRun struct {
	goldenScenario
	random    *rand.Rand
	decider   *Decider
	zero      time.Time
	now       time.Duration
	lastWake  time.Duration
	events    []goldenEvent // in order of time
	sequence  int
	nextID    RequestID
	requests  map[RequestID]*goldenRequest
	endpoints []*goldenEndpoint
	inputs    []Input
	lines     []string
	number    int // of the next endpoint
	change    int // number of the current configuration
	issuer    *creditIssuer
}

type goldenEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

type goldenRequest struct {
	request Request
	call    *goldenCall
	left    bool
}

// goldenCall is a call in flight.
type goldenCall struct {
	endpoint *goldenEndpoint
	waiting  bool
}

// goldenEndpoint is a simulated endpoint.
type goldenEndpoint struct {
	row              protocol.Endpoint
	running, waiting int
	unreachable      bool
	unresponsive     bool
	misdirected      bool    // another instance has its address
	failures         float64 // fraction of the calls that fail
	resets           float64 // fraction of the calls that are reset
	slow             float64
	departed         bool
}

func newGoldenRun(s goldenScenario) *goldenRun {
	return &goldenRun{
		goldenScenario: s, random: rand.New(rand.NewPCG(s.seed, 5)), decider: New(s.config),
		zero: time.Unix(1e9, 0), requests: map[RequestID]*goldenRequest{}, issuer: newCreditIssuer(),
	}
}

// after schedules an event.
func (g *goldenRun) after(wait time.Duration, do func()) {
	g.sequence++
	event := goldenEvent{at: g.now + wait, sequence: g.sequence, do: do}
	at, _ := slices.BinarySearchFunc(g.events, event, func(a, b goldenEvent) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sequence, b.sequence))
	})
	g.events = slices.Insert(g.events, at, event)
}

// every repeats an event at random intervals with the given mean until the scenario ends.
func (g *goldenRun) every(mean time.Duration, do func()) {
	g.after(time.Duration(float64(mean)*g.random.ExpFloat64())+time.Microsecond, func() {
		if g.now < g.length {
			if !g.resting() {
				do()
			}
			g.every(mean, do)
		}
	})
}

func (g *goldenRun) resting() bool { return g.now >= restAfter && g.now < restAfter+g.rest }

func (g *goldenRun) input(input Input) { g.inputs = append(g.inputs, input) }

func (g *goldenRun) clock() time.Time { return g.zero.Add(g.now) }

// run runs the scenario to its end, until all requests have ended, and returns the record.
func (g *goldenRun) run() []string {
	g.start()
	for len(g.events) > 0 {
		next := g.events[0].at
		if wake := g.decider.NextWake(); !wake.IsZero() && wake.Sub(g.zero) < next {
			g.now = max(g.now, wake.Sub(g.zero))
			g.step()
			continue
		}
		g.now = next
		for len(g.events) > 0 && g.events[0].at <= g.now {
			do := g.events[0].do
			g.events = g.events[1:]
			do()
		}
		g.step()
	}
	g.recordState()
	return g.lines
}

// start schedules the events that are not reactions to outputs.
func (g *goldenRun) start() {
	for range 4 {
		g.addEndpoint("lm", 12, "m")
	}
	g.addEndpoint("lm", 12, "n")
	g.addEndpoint("lm", 0, "m", "n")
	for range 3 {
		g.addEndpoint("app", 4)
	}
	g.addEndpoint("bare", 2)
	g.input(ViewChanged{Configuration: goldenConfiguration(g.quota, 0), Full: true, Endpoints: g.rows(), RouterCount: 3})
	g.every(time.Duration(float64(4*time.Millisecond)/g.load), g.arrive)
	g.every(60*time.Millisecond, g.heartbeat)
	g.every(1700*time.Millisecond, g.fullTable)
	g.every(3100*time.Millisecond, g.lateUpdate)
	if g.faults > 0 {
		g.every(time.Duration(float64(time.Second)/g.faults), g.fault)
	}
	if g.loads > 0 {
		g.every(time.Duration(float64(time.Second)/g.loads), g.orderLoad)
	}
	if g.stale > 0 {
		g.every(time.Duration(float64(time.Second)/g.stale), g.loseModel)
	}
	if g.changes {
		g.after(g.length/3, func() { g.configure(1, 5) })
		g.after(2*g.length/3, func() { g.configure(2, 2) })
	}
	if g.outage > 0 {
		g.after(g.outage, g.failAll)
	}
	if g.closing > 0 {
		g.after(g.closing, g.shutDown)
	}
	for at := time.Second; at < g.length+2*time.Second; at += time.Second {
		g.after(at, func() {
			if !g.resting() {
				g.recordState()
			}
		})
	}
}

func (g *goldenRun) configure(change, routers int) {
	g.change = change
	g.input(ViewChanged{Configuration: goldenConfiguration(g.quota, change), RouterCount: routers})
}

func (g *goldenRun) shutDown() {
	end := ShutdownStarted{QueueDeadline: g.clock().Add(300 * time.Millisecond)}
	if !g.partial {
		end.SelectiveAdmissionFrom = g.clock().Add(700 * time.Millisecond)
		end.ShutdownDeadline = g.clock().Add(4 * time.Second)
	}
	g.input(end)
}

func (g *goldenRun) step() {
	inputs := g.inputs
	g.inputs = nil
	for _, output := range g.decider.Step(g.clock(), inputs) {
		g.recordOutput(output)
		g.carryOut(output)
	}
	wake := time.Duration(0)
	if at := g.decider.NextWake(); !at.IsZero() {
		wake = at.Sub(g.zero)
	}
	if wake != g.lastWake {
		g.lastWake = wake
		g.record("wake at %v", wake)
	}
}

// arrive sends a random request.
func (g *goldenRun) arrive() {
	x := g.random
	r := Request{
		Service: "lm", Model: "m", PromptTokens: 50 + x.IntN(1500), OutputTokens: 10 + x.IntN(150), Retryable: x.IntN(4) > 0,
		Streaming: x.IntN(3) > 0, Tenant: []string{"t", "u", "open", "unknown"}[x.IntN(4)], RoutePriority: x.IntN(6),
		TenantPriority: x.IntN(8) / 7, MaxEndpoints: 1 + x.IntN(3),
	}
	objective, deadline := 150+x.IntN(500), 1000+x.IntN(6000)
	switch x.IntN(10) {
	case 0:
		r.Model = "n"
	case 1:
		r.Model, r.Adapter = "rare", ""
	case 2, 3:
		r.Adapter = fmt.Sprintf("a%d", x.IntN(3))
	case 4, 5:
		r.Service, r.Model, r.PromptTokens, r.OutputTokens = "app", "", 0, 0
		r.Retryable, r.Streaming = x.IntN(2) == 0, false
		objective, deadline = 60+x.IntN(100), 300+x.IntN(900)
	case 6:
		r.Service, r.Model, r.Streaming = "bare", "", false
	}
	if x.IntN(60) == 0 {
		r.Model, r.Service = "unknown", "lm"
	}
	if x.IntN(12) == 0 {
		r.PromptTokens *= 4
	}
	if r.Model != "" && x.IntN(4) > 0 {
		r.PromptParts = []PromptPart{{Hash: uint64(1 + x.IntN(3)), Tokens: r.PromptTokens / 4}, {Hash: uint64(10 + x.IntN(20)), Tokens: r.PromptTokens / 3}}
		if x.IntN(3) == 0 {
			r.PromptParts = append(r.PromptParts, PromptPart{Hash: x.Uint64(), Tokens: r.PromptTokens - r.PromptTokens/4 - r.PromptTokens/3})
		}
	}
	r.Charge = float64(r.PromptTokens+r.OutputTokens) + 0.3
	if r.Service != "lm" {
		r.Charge = 20.7
	}
	if x.IntN(5) > 0 {
		r.ArrivedAt = g.clock().Add(-time.Duration(x.IntN(2000)) * time.Microsecond)
	}
	r.LatencyTarget = g.clock().Add(time.Duration(objective) * time.Millisecond)
	r.Deadline = g.clock().Add(time.Duration(deadline) * time.Millisecond)
	g.send(r)
}

// send passes a request to the decider. A few of the clients disconnect before it ends.
func (g *goldenRun) send(r Request) {
	g.nextID++
	r.ID = g.nextID
	client := &goldenRequest{request: r}
	g.requests[r.ID] = client
	g.input(RequestArrived{r})
	if g.random.IntN(300) == 0 {
		g.input(RequestArrived{r}) // sent twice, must have no effect
	}
	g.after(r.Deadline.Sub(g.clock()), func() { g.leave(client) })
	if g.random.IntN(15) == 0 {
		g.after(time.Duration(g.random.IntN(200))*time.Millisecond, func() { g.leave(client) })
	}
}

// leave makes the client disconnect.
func (g *goldenRun) leave(client *goldenRequest) {
	if g.requests[client.request.ID] != client || client.left {
		return
	}
	client.left = true
	g.input(RequestCanceled{ID: client.request.ID})
	if client.call != nil {
		g.finish(client, client.call, Canceled, false)
		return
	}
	delete(g.requests, client.request.ID)
}

func (g *goldenRun) carryOut(output Output) {
	switch o := output.(type) {
	case Send:
		client := g.requests[o.ID]
		if client == nil {
			return
		}
		g.call(client, g.endpointNamed(o.Endpoint))
	case Reject:
		client := g.requests[o.ID]
		delete(g.requests, o.ID)
		if client != nil && o.RetryAfter > 0 && g.random.IntN(3) > 0 {
			again := client.request
			again.ClientRetry = true
			again.ArrivedAt = time.Time{}
			g.after(o.RetryAfter, func() {
				if left := again.Deadline.Sub(g.clock()); left > 0 {
					again.LatencyTarget = g.clock().Add(client.request.LatencyTarget.Sub(client.request.ArrivedAt) / 2)
					if client.request.ArrivedAt.IsZero() {
						again.LatencyTarget = g.clock().Add(200 * time.Millisecond)
					}
					g.send(again)
				}
			})
		}
	case Abandon:
		client := g.requests[o.ID]
		if client != nil && client.call != nil {
			call := client.call
			g.after(50*time.Microsecond, func() { g.finish(client, call, ConnectionLost, true) })
		}
	case RequestCredit:
		g.answerCredit(o.Request)
	case Report:
		g.placeOnDemand(o.Report)
	}
}

// finish ends a call if it is still in flight.
func (g *goldenRun) finish(client *goldenRequest, call *goldenCall, result Result, more bool) {
	if client.call != call {
		return
	}
	client.call = nil
	e := call.endpoint
	if call.waiting {
		e.waiting--
	} else {
		e.running--
	}
	finished := AttemptFinished{ID: client.request.ID, Endpoint: e.row.ID, Result: result, NeedsRetry: more}
	if result == Succeeded || result == Rejected || result == Failed {
		finished.Load = e.load()
	}
	g.input(finished)
	if !more || client.left {
		delete(g.requests, client.request.ID)
	}
}

func (e *goldenEndpoint) load() *AdvertisedLoad {
	if e.row.Service == "bare" {
		return nil
	}
	return &AdvertisedLoad{Running: e.running, Waiting: e.waiting, Slots: e.row.Slots}
}

// call makes an endpoint handle a request.
func (g *goldenRun) call(client *goldenRequest, e *goldenEndpoint) {
	x := g.random
	call := &goldenCall{endpoint: e, waiting: true}
	client.call = call
	e.waiting++
	end := func(wait time.Duration, result Result, more bool) {
		g.after(wait, func() { g.finish(client, call, result, more) })
	}
	again := client.request.Retryable
	switch {
	case e.departed || e.unreachable:
		end(time.Millisecond, NotSent, true)
	case e.unresponsive:
		end(3*time.Second, ConnectionLost, again)
	case e.misdirected || !e.serves(client.request.Model, client.request.Adapter):
		end(900*time.Microsecond, Misdirected, true)
	case e.waiting > max(e.row.Slots/2, 1) || e.row.State == protocol.Draining || x.IntN(80) == 0:
		end(700*time.Microsecond, Rejected, true)
	case x.Float64() < e.failures:
		end(time.Duration(1+x.IntN(30))*time.Millisecond, Failed, again)
	case x.Float64() < e.resets:
		end(time.Duration(1+x.IntN(90))*time.Millisecond, ConnectionLost, again)
	default:
		g.serve(client, call)
	}
}

// serve makes an endpoint answer a request, with events if it is a stream.
func (g *goldenRun) serve(client *goldenRequest, call *goldenCall) {
	x := g.random
	e, r := call.endpoint, &client.request
	first := (4 + 0.05*float64(r.PromptTokens) + 6*float64(e.waiting) + 2*float64(e.running)) * e.slow * (0.7 + 0.6*x.Float64())
	g.after(time.Duration(first*float64(time.Millisecond)), func() {
		if client.call != call {
			return
		}
		if e.unresponsive {
			return // the deadline or Abandon ends the call
		}
		call.waiting = false
		e.waiting--
		e.running++
		length := time.Duration((5 + 4*float64(r.OutputTokens)*(0.3+0.7*x.Float64())) * e.slow * float64(time.Millisecond))
		if !r.Streaming {
			g.after(length/4, func() { g.finish(client, call, Succeeded, false) })
			return
		}
		g.input(FirstByteReceived{ID: r.ID, Endpoint: e.row.ID, Load: e.load()})
		g.stream(client, call, length)
	})
}

func (g *goldenRun) stream(client *goldenRequest, call *goldenCall, left time.Duration) {
	r, e := &client.request, call.endpoint
	const gap = 100 * time.Millisecond
	switch chance := g.random.IntN(60); {
	case chance == 0:
		g.after(gap/2, func() { g.finish(client, call, ConnectionLost, r.Retryable) })
	case chance < 3 && r.Retryable:
		g.after(gap, func() {
			if client.call == call {
				g.input(StreamStalled{ID: r.ID, Endpoint: e.row.ID})
				g.stream(client, call, left)
			}
		})
	case left <= gap:
		g.after(left, func() { g.finish(client, call, Succeeded, false) })
	default:
		g.after(gap, func() {
			if client.call == call {
				g.input(StreamProgress{ID: r.ID, Endpoint: e.row.ID, Events: 1 + g.random.IntN(9)})
				g.stream(client, call, left-gap)
			}
		})
	}
}
