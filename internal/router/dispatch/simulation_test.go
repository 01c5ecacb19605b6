package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/portablemath"
	"raventrestle/internal/protocol"
)

// simulatedClient is one attempt of a client, with the state that the checks of the invariants need.
type simulatedClient struct {
	request                Request
	router                 int
	endCount               int
	executedOn             map[string]bool // endpoints on which it may have executed
	deliveries             int
	call                   *simulatedCall
	kind                   *requestKind
	served                 bool
	inTime                 bool
	lastAttempt            bool // the client does not retry
	canceled               bool
	wasRejected            bool
	reason                 Reason
	rejectedAt, retryAfter time.Duration

	longestGap  time.Duration // between two events of its stream
	answerBegan bool          // the first byte has arrived
	retried     bool          // the client's next attempt counts instead
}

type simulatedCall struct {
	client   *simulatedClient
	server   *simulatedEndpoint
	prefixes []promptPrefix
	begun    bool
	lostAt   time.Duration // when the connection is lost; 0: never
}

type promptPrefix struct {
	key    uint64
	tokens float64
}

// requestKind is a kind of request, with its statistics.
type requestKind struct {
	name                   string
	model, adapter         string
	perSecond              float64
	latencyTarget, timeout time.Duration
	prompt, output         int
	retryable              bool
	clientRetries          int
	tenant                 string
	routePriority          int
	gapTarget              time.Duration // between two events of a stream; 0: none

	longGaps                                                            int // served with a gap above the target
	offeredValue, servedValue                                           float64
	requested, inTime, served, rejected, failed, retried, rejectedTwice int
}

// simulation simulates several routers with the same endpoints.
type simulation struct {
	t                testing.TB
	rng              *rand.Rand
	startTime        time.Time
	now              time.Duration
	routers          []*Decider
	inputs           [][]Input
	clients          []map[RequestID]*simulatedClient
	servers          []*simulatedEndpoint
	kinds            []*requestKind
	config           *configuration.Configuration
	nextID           RequestID
	returningClients []returningClient // clients that will retry

	retryTimes            map[string][]time.Duration // retries, by service
	requestTimes          map[string][]time.Duration
	spent                 map[string][]spending // charges, by tenant
	issuer                *creditIssuer
	creditUnanswered      bool // credit requests are not answered
	delayedCredit         []delayedCredit
	viewDelay             time.Duration // of updates from the control plane
	delayedViews          []delayedView
	events                []scheduledEvent
	liveCalls             []*simulatedCall
	disconnected          []bool          // whether a router's calls reach no endpoint
	orderedLoads          map[string]bool // models and adapters whose load was ordered; nil: there is no placer
	rejectedWhileHalfFree int             // rejections while less than half of the slots were in use
}

type returningClient struct {
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

// delayedCredit is an answer to a credit request that has not reached its router yet.
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
		t: tb, rng: rand.New(rand.NewPCG(seed, 7)), startTime: time.Now(), config: testConfiguration(),
		retryTimes: map[string][]time.Duration{}, requestTimes: map[string][]time.Duration{}, spent: map[string][]spending{},
		viewDelay: 5 * time.Millisecond, issuer: newCreditIssuer(),
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
	row.Loading = s.pendingLoads(w.now)
	w.delayedViews = append(w.delayedViews, delayedView{w.now + w.viewDelay, ViewChanged{Endpoints: []protocol.Endpoint{row}}})
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

// run runs the simulation until the given time.
func (w *simulation) run(until time.Duration) {
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
	if len(w.liveCalls)+len(w.returningClients)+len(w.delayedCredit) > 0 {
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

// finish stops all arrivals, runs the simulation until the requests have ended, and checks the invariants at the end.
func (w *simulation) finish() {
	for _, k := range w.kinds {
		k.perSecond = 0
	}
	w.run(w.now + 40*time.Second)
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
			w.recordDrainNotification(row)
		}
	}
}

// recordDrainNotification records when the routers were informed that an endpoint drains.
func (w *simulation) recordDrainNotification(row protocol.Endpoint) {
	for _, s := range w.servers {
		if s.row.ID == row.ID && row.State == protocol.Draining {
			s.drainNotifiedAt = w.now
		}
	}
}

func (w *simulation) arrive() {
	for _, k := range w.kinds {
		for n := w.poisson(k.perSecond * simulationTick.Seconds()); n > 0; n-- {
			w.sendRequest(k, k.clientRetries, nil)
		}
	}
	w.returningClients = slices.DeleteFunc(w.returningClients, func(returning returningClient) bool {
		if returning.at > w.now {
			return false
		}
		w.sendRequest(returning.client.kind, 0, returning.client)
		return true
	})
}

func (w *simulation) poisson(mean float64) int {
	n, p := 0, portablemath.Exp(-mean)
	for u := w.rng.Float64(); u > p; n++ {
		u *= w.rng.Float64()
	}
	return n
}

// sendRequest sends a request to a random router. If previous is given, it is a retry of that client's request.
func (w *simulation) sendRequest(k *requestKind, clientRetries int, previous *simulatedClient) {
	w.nextID++
	c := &simulatedClient{kind: k, router: w.rng.IntN(len(w.routers)), executedOn: map[string]bool{}}
	spread := portablemath.Exp(w.rng.NormFloat64()*0.7 - 0.245)
	prompt := int(float64(k.prompt) * min(spread, 3))
	r := Request{
		ID: w.nextID, Service: "lm", Model: k.model, Adapter: k.adapter, PromptTokens: prompt,
		OutputTokens: int(float64(k.output) * (0.2 + 1.6*w.rng.Float64())), Tenant: k.tenant, RoutePriority: k.routePriority,
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
	if previous != nil {
		deadline := previous.request.Deadline
		r.ClientRetry, r.Deadline = true, deadline
		r.PromptTokens, r.OutputTokens = previous.request.PromptTokens, previous.request.OutputTokens
		r.PromptParts = previous.request.PromptParts
		r.Charge = previous.request.Charge
	} else {
		k.requested++
		c.request = r
		k.offeredValue += k.relativeValue(c)
	}
	if clientRetries == 0 {
		c.lastAttempt = true // the client does not retry
	}
	c.request = r
	w.clients[c.router][r.ID] = c
	w.requestTimes[r.Service] = append(w.requestTimes[r.Service], w.now)
	w.inputs[c.router] = append(w.inputs[c.router], RequestArrived{r})
}

func (w *simulation) clock() time.Time { return w.startTime.Add(w.now) }
