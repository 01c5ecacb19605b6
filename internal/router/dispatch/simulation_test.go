package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// simulatedClient is one attempt of a client, with what the checks of the invariants need.
type simulatedClient struct {
	request                Request
	router                 int
	endCount               int
	runs                   map[string]bool // endpoints on which it may have executed
	arrivals               int
	call                   *simulatedCall
	kind                   *requestKind
	served                 bool
	inTime                 bool
	rejected               bool
	canceled               bool
	rejectedNow            bool
	reason                 Reason
	rejectedAt, retryAfter time.Duration

	longestGap  time.Duration // between two events of its stream
	answerBegan bool
	retried     bool // another attempt followed and counts instead
}

type simulatedCall struct {
	client *simulatedClient
	server *simulatedEndpoint
	links  []promptPrefix
	begun  bool
	lost   time.Duration // when the caller reports ConnectionLost, 0: not
}

type promptPrefix struct {
	key    uint64
	tokens float64
}

// requestKind is a kind of request.
type requestKind struct {
	name                   string
	model, adapter         string
	perSecond              float64
	latencyTarget, timeout time.Duration
	prompt, output         int
	retryable              bool
	clientRetries          int
	tenant                 string
	rank                   int
	gapTarget              time.Duration // between two events of a stream, 0: none

	paused                                                              int // served with a longer gap
	offeredValue, servedValue                                           float64
	requested, inTime, served, rejected, failed, retried, rejectedTwice int
}

// simulation is a simulation of several routers with the same endpoints.
type simulation struct {
	t                testing.TB
	rng              *rand.Rand
	zero             time.Time
	now              time.Duration
	routers          []*Decider
	inputs           [][]Input
	clients          []map[RequestID]*simulatedClient
	servers          []*simulatedEndpoint
	kinds            []*requestKind
	config           *configuration.Configuration
	nextID           RequestID
	returningClients []returning // clients that come back

	further               map[string][]time.Duration // retries, by service
	requestTimes          map[string][]time.Duration
	spent                 map[string][]spending // by tenant
	issuer                *creditIssuer
	unissued              bool // no answers to requests for credit
	delayedCredit         []delayedCredit
	lag                   time.Duration // of views
	delayedViews          []delayedView
	events                []scheduledEvent
	live                  []*simulatedCall
	disconnected          []bool          // routers whose calls reach no endpoint
	loading               map[string]bool // nil: no placer
	rejectedWhileHalfFree int             // rejections while half of the slots were free
}

type returning struct {
	at     time.Duration
	client *simulatedClient
}

type spending struct {
	at     time.Duration
	charge float64
}

type delayedView struct {
	at   time.Duration
	view ViewChanged
}

// delayedCredit is an answer on its way to a router.
type delayedCredit struct {
	at     time.Duration
	router int
	grant  *protocol.CreditGrant
}

type scheduledEvent struct {
	at time.Duration
	do func(*simulation)
}

func newSimulation(tb testing.TB, seed uint64, routers int) *simulation {
	tb.Helper()
	w := &simulation{
		t: tb, rng: rand.New(rand.NewPCG(seed, 7)), zero: time.Now(), config: testConfiguration(),
		further: map[string][]time.Duration{}, requestTimes: map[string][]time.Duration{}, spent: map[string][]spending{},
		lag: 5 * time.Millisecond, issuer: newCreditIssuer(),
	}
	for i := range routers {
		w.routers = append(w.routers, New(Config{
			Node: fmt.Sprint("r", i), Seed: seed + uint64(i), Zone: "z",
			RouterCount: routers, RetryBudgetRatio: 0.2, RetryBudgetSlack: 56, QuotaOvershootFraction: 0.1, QuotaOvershootSlack: 11000,
		}))
		w.clients = append(w.clients, map[RequestID]*simulatedClient{})
	}
	w.inputs = make([][]Input, routers)
	w.disconnected = make([]bool, routers)
	return w
}

func (w *simulation) addEngine(models ...string) *simulatedEndpoint {
	row := modelEndpoint(fmt.Sprint("e", len(w.servers)), 1, models...)
	for i := range row.Models {
		row.Models[i].Adapters = []string{"a1", "a2"}
	}
	return w.add(&simulatedEndpoint{row: row, engine: true, maxQueue: 192})
}

func (w *simulation) addPlain(slots int) *simulatedEndpoint {
	return w.add(&simulatedEndpoint{row: plainEndpoint(fmt.Sprint("p", len(w.servers)), slots), maxQueue: 4 * slots})
}

func (w *simulation) add(s *simulatedEndpoint) *simulatedEndpoint {
	s.slow, s.cached = 1, map[uint64]bool{}
	w.servers = append(w.servers, s)
	return s
}

// announce sends the routers an update of an endpoint.
func (w *simulation) announce(s *simulatedEndpoint) {
	s.row.Sequence++
	row := s.row
	row.Loading = s.loading(w.now)
	w.delayedViews = append(w.delayedViews, delayedView{w.now + w.lag, ViewChanged{Endpoints: []protocol.Endpoint{row}}})
}

func (w *simulation) start() {
	var rows []protocol.Endpoint
	for _, s := range w.servers {
		rows = append(rows, s.row)
	}
	for i := range w.routers {
		w.inputs[i] = append(w.inputs[i], ViewChanged{
			Configuration: w.config, Full: true, Endpoints: rows,
			RouterCount: len(w.routers),
		})
	}
}

func (w *simulation) at(at time.Duration, do func(*simulation)) {
	w.events = append(w.events, scheduledEvent{at, do})
}

// play advances the simulation to the given time.
func (w *simulation) play(until time.Duration) {
	for ; w.now < until; w.now += simulationTick {
		w.processEvents()
		if w.idle() {
			continue
		}
		w.arrive()
		w.serve()
		w.endOverdueCalls()
		for i := range w.routers {
			w.step(i)
		}
	}
}

// idle reports whether nothing happens until a router wakes.
func (w *simulation) idle() bool {
	if len(w.live)+len(w.returningClients)+len(w.delayedCredit) > 0 {
		return false
	}
	for _, k := range w.kinds {
		if k.perSecond > 0 {
			return false
		}
	}
	for i, d := range w.routers {
		if wake := d.NextWake(); len(w.inputs[i]) > 0 || !wake.IsZero() && !wake.After(w.clock()) {
			return false
		}
	}
	return true
}

// finish ends all load and checks that every request has ended.
func (w *simulation) finish() {
	for _, k := range w.kinds {
		k.perSecond = 0
	}
	w.play(w.now + 40*time.Second)
	for i, list := range w.clients {
		for _, c := range list {
			if c.endCount != 1 {
				w.t.Errorf("router %d: request %d has %d ends, want 1", i, c.request.ID, c.endCount)
			}
		}
		if d := w.routers[i]; len(d.requests) > 0 || d.schedule.BusySlots != 0 || len(d.unassignedGroups) > 0 {
			w.t.Errorf("router %d: %d requests, %d slots in use, %d unassigned; want none", i, len(d.requests), d.schedule.BusySlots,
				len(d.unassignedGroups))
		}
	}
	w.checkWindows()
}

func (w *simulation) processEvents() {
	for i := 0; i < len(w.events); i++ {
		if w.events[i].at <= w.now {
			do := w.events[i].do
			w.events = slices.Delete(w.events, i, i+1)
			i--
			do(w)
		}
	}
	w.delayedCredit = slices.DeleteFunc(w.delayedCredit, func(c delayedCredit) bool {
		if c.at > w.now {
			return false
		}
		w.inputs[c.router] = append(w.inputs[c.router], CreditGranted{c.grant})
		return true
	})
	for len(w.delayedViews) > 0 && w.delayedViews[0].at <= w.now {
		view := w.delayedViews[0].view
		w.delayedViews = w.delayedViews[1:]
		for i := range w.routers {
			w.inputs[i] = append(w.inputs[i], view)
		}
		for _, row := range view.Endpoints {
			w.noteDelivered(row)
		}
	}
}

func (w *simulation) noteDelivered(row protocol.Endpoint) {
	for _, s := range w.servers {
		if s.row.ID == row.ID && row.State == protocol.Draining {
			s.drainAt = w.now
		}
	}
}

func (w *simulation) arrive() {
	for _, k := range w.kinds {
		for n := w.poisson(k.perSecond * simulationTick.Seconds()); n > 0; n-- {
			w.sendRequest(k, k.clientRetries, nil)
		}
	}
	w.returningClients = slices.DeleteFunc(w.returningClients, func(l returning) bool {
		if l.at > w.now {
			return false
		}
		w.sendRequest(l.client.kind, 0, l.client)
		return true
	})
}

func (w *simulation) poisson(mean float64) int {
	n, p := 0, math.Exp(-mean)
	for u := w.rng.Float64(); u > p; n++ {
		u *= w.rng.Float64()
	}
	return n
}

// sendRequest sends a request to a random router; with before, a retry of that client's request.
func (w *simulation) sendRequest(k *requestKind, clientRetries int, before *simulatedClient) {
	w.nextID++
	c := &simulatedClient{kind: k, router: w.rng.IntN(len(w.routers)), runs: map[string]bool{}}
	spread := math.Exp(w.rng.NormFloat64()*0.7 - 0.245)
	prompt := int(float64(k.prompt) * min(spread, 3))
	r := Request{
		ID: w.nextID, Service: "lm", Model: k.model, Adapter: k.adapter, PromptTokens: prompt,
		OutputTokens: int(float64(k.output) * (0.2 + 1.6*w.rng.Float64())), Tenant: k.tenant, RoutePriority: k.rank,
		Streaming: k.model != "", Retryable: k.retryable, MaxEndpoints: 2, ArrivedAt: w.clock(), LatencyTarget: w.clock().Add(k.latencyTarget),
		Deadline: w.clock().Add(k.timeout),
	}
	if k.model == "" {
		r.Service, r.PromptTokens, r.MaxEndpoints = "app", 0, 1
	} else {
		r.OutputTokens = max(r.OutputTokens, 1)
		r.PromptParts = []PromptPart{
			{Hash: uint64(1 + w.rng.IntN(3)), Tokens: min(210, prompt/4)},
			{Hash: uint64(10 + w.rng.IntN(100)), Tokens: min(140, prompt/4)},
		}
	}
	r.Charge = float64(r.PromptTokens + r.OutputTokens)
	if k.model == "" {
		r.Charge = 200
	}
	if before != nil {
		deadline := before.request.Deadline
		r.ClientRetry, r.Deadline = true, deadline
		r.PromptTokens, r.OutputTokens = before.request.PromptTokens, before.request.OutputTokens
		r.PromptParts = before.request.PromptParts
		r.Charge = before.request.Charge
	} else {
		k.requested++
		c.request = r
		k.offeredValue += k.weight(c)
	}
	if clientRetries == 0 {
		c.rejected = true // does not retry
	}
	c.request = r
	w.clients[c.router][r.ID] = c
	w.requestTimes[r.Service] = append(w.requestTimes[r.Service], w.now)
	w.inputs[c.router] = append(w.inputs[c.router], RequestArrived{r})
}

func (w *simulation) clock() time.Time { return w.zero.Add(w.now) }
