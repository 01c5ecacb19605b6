package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"raventrestle/internal/configuration"
)

// A simulation of one allocator, routers with token buckets as the dispatcher keeps them (simulated_router_test.go),
// clients, and messages that are late or lost. After each spending the rule QUOTA is checked from what was really spent.

const (
	tick       = 10 * time.Millisecond
	warmUpTime = 10 * time.Second // before clients send requests
)

// client is the load of one tenant and what became of it.
type client struct {
	tenant          configuration.Tenant
	demand          float64 // tokens a second
	size            float64 // mean of a request, in tokens
	surgeFrom       time.Duration
	surgeUntil      time.Duration
	surgeFactor     float64 // of the demand, during a surge
	spent           []spending
	requests        []spending
	requested       float64
	rejected        float64
	wronglyRejected float64 // rejected although all requests were below the limit
	largeRequests   int
	largeRejected   int
}

type spending struct {
	at     time.Duration
	amount float64
}

type event struct {
	at time.Duration
	do func()
}

type simulation struct {
	random           *rand.Rand
	now              time.Duration
	epoch            time.Time
	routers          []*simulatedRouter
	clients          []*client
	queue            []event
	config           Config
	allocator        *Allocator    // nil: that of the next leader has not begun
	observeFrom      time.Duration // when the next leader begins to observe
	actFrom          time.Duration // and when it may grant
	withoutAllocator bool          // the floors only
	usesCredits      bool          // routers report shortfalls and keep requests waiting for credit
	in               Input         // of the next step
	messages         int
	grants           int
	window           time.Duration
	violation        string // of the rule, empty: none
}

// newSimulation makes a simulation with this many routers, and tenants whose demand is a fraction of their limit.
func newSimulation(seed uint64, routers, tenants int, demandFraction float64, usesCredits bool) *simulation {
	s := &simulation{
		random:      rand.New(rand.NewPCG(seed, 3)),
		epoch:       time.Unix(1e9, 0),
		window:      8 * time.Second,
		usesCredits: usesCredits,
		config:      Config{OvershootFraction: 0.1, OvershootSlack: 11000},
	}
	for i := range routers {
		s.routers = append(s.routers, &simulatedRouter{
			id:         Router{fmt.Sprintf("r%02d", i), 1},
			nextReport: time.Duration(s.random.IntN(50)) * tick,
		})
	}
	for i := range tenants {
		rate := 35000 * math.Pow(0.45, float64(i)) * (0.7 + 0.6*s.random.Float64())
		rate = math.Max(rate, 2600)
		s.clients = append(s.clients, &client{
			demand: rate * demandFraction,
			size:   1400,
			tenant: configuration.Tenant{
				Name: fmt.Sprintf("t%d", i), Unit: configuration.UnitTokens, RatePerSecond: rate, Burst: rate,
			},
		})
	}
	s.start()
	for _, c := range s.clients {
		sum := 0.0
		for _, r := range s.routers {
			share := s.random.ExpFloat64()
			if s.random.IntN(4) == 0 {
				share = 0
			}
			r.buckets[c.tenant.Name].trafficShare = share
			sum += share
		}
		for _, r := range s.routers {
			r.buckets[c.tenant.Name].trafficShare /= sum
		}
	}
	return s
}

func (s *simulation) start() {
	for _, r := range s.routers {
		r.buckets = map[string]*bucket{}
		for _, c := range s.clients {
			r.buckets[c.tenant.Name] = &bucket{level: c.tenant.Burst / float64(len(s.routers))}
		}
	}
	s.in.Configuration = s.configuration()
}

func (s *simulation) configuration() *configuration.Configuration {
	c := &configuration.Configuration{Generation: 1}
	for _, client := range s.clients {
		c.Tenants = append(c.Tenants, client.tenant)
	}
	return c
}

func (s *simulation) schedule(after time.Duration, do func()) {
	s.queue = append(s.queue, event{s.now + after, do})
}

// run advances the simulation until a time, or until the rule is violated.
func (s *simulation) run(until time.Duration) {
	for ; s.now < until && s.violation == ""; s.now += tick {
		due := s.queue
		s.queue = nil
		for _, e := range due {
			if e.at > s.now {
				s.queue = append(s.queue, e)
				continue
			}
			e.do()
		}
		s.generateLoad()
		for _, r := range s.routers {
			s.refill(r)
			s.serve(r)
			s.report(r)
		}
		if s.now%(20*time.Millisecond) == 0 {
			s.stepAllocator()
		}
	}
}

// stepAllocator steps the leader's allocator.
func (s *simulation) stepAllocator() {
	if s.withoutAllocator || s.now < s.observeFrom {
		s.in.Reports, s.in.Confirmations = nil, nil
		return
	}
	if s.allocator == nil {
		s.allocator = New(s.config)
		s.in.Configuration = s.configuration()
	}
	in := s.in
	s.in = Input{}
	in.ObserveOnly = s.now < s.actFrom
	in.MinRouterCount = len(s.routers)
	for _, r := range s.routers {
		if r.partitionedUntil <= s.now {
			in.Routers = append(in.Routers, r.id)
		}
	}
	out := s.allocator.Step(s.epoch.Add(s.now), in)
	sender := s.allocator
	for _, batch := range out.Batches {
		s.messages++
		s.grants += len(batch.Grants)
		s.deliver(sender, batch)
	}
}

// deliver takes a batch to its router and the confirmation back to the allocator that sent it, if it still acts.
func (s *simulation) deliver(sender *Allocator, batch GrantBatch) {
	r := s.find(batch.Router)
	if r == nil || r.partitionedUntil > s.now || s.random.IntN(500) == 0 {
		return
	}
	s.schedule(s.delay(), func() {
		for _, g := range batch.Grants {
			b := r.buckets[g.Tenant]
			b.rate, b.depth, b.grantUntil = g.RatePerSecond, g.Burst, s.now+g.TTL
			b.level = math.Min(b.level, b.depth)
			if s.usesCredits {
				b.credit += g.Credit
			}
		}
		s.serve(r)
		s.schedule(s.delay(), func() {
			if s.allocator == sender {
				s.in.Confirmations = append(s.in.Confirmations, Confirmation{batch.Router, batch.ID})
			}
		})
	})
}

// delay draws the delay of a message: one in 300 takes up to 700 ms.
func (s *simulation) delay() time.Duration {
	if s.random.IntN(300) == 0 {
		return time.Duration(s.random.IntN(700)) * time.Millisecond
	}
	return 2 * time.Millisecond
}

func (s *simulation) find(id Router) *simulatedRouter {
	for _, r := range s.routers {
		if r.id == id {
			return r
		}
	}
	return nil
}

// generateLoad has the clients send the requests of one tick.
func (s *simulation) generateLoad() {
	if s.now < warmUpTime {
		return
	}
	for _, c := range s.clients {
		rate := c.demand
		if s.now >= c.surgeFrom && s.now < c.surgeUntil {
			rate *= c.surgeFactor
		}
		for expected := rate * tick.Seconds() / c.size; expected > 0; expected-- {
			if s.random.Float64() >= expected {
				continue
			}
			charge := c.size * math.Exp(0.8*s.random.NormFloat64()-0.32)
			b := s.pick(c)
			b.requested += charge
			c.requested += charge
			c.requests = append(c.requests, spending{s.now, charge})
			b.waiting = append(b.waiting, pendingRequest{charge, s.now + 120*time.Millisecond})
		}
	}
}

// pick draws the router of a request, by the routers' shares of the tenant's traffic.
func (s *simulation) pick(c *client) *bucket {
	pick := s.random.Float64()
	for _, r := range s.routers {
		b := r.buckets[c.tenant.Name]
		if pick < b.trafficShare {
			return b
		}
		pick -= b.trafficShare
	}
	return s.routers[0].buckets[c.tenant.Name]
}

// checkWindow compares what was spent in the window that ends now with the bound of the rule QUOTA.
func (s *simulation) checkWindow(c *client) {
	bound := (c.tenant.RatePerSecond*s.window.Seconds()+c.tenant.Burst)*(1+s.config.OvershootFraction) + s.config.OvershootSlack
	sum := 0.0
	for i := len(c.spent) - 1; i >= 0 && s.now-c.spent[i].at <= s.window; i-- {
		sum += c.spent[i].amount
	}
	if sum > bound {
		s.violation = fmt.Sprintf("%v: %s spent %.0f, want no more than %.0f", s.now, c.tenant.Name, sum, bound)
	}
}

// belowLimit reports whether all that the tenant requested in the window that ends now was below its limit.
func (s *simulation) belowLimit(c *client) bool {
	sum := 0.0
	for i := len(c.requests) - 1; i >= 0 && s.now-c.requests[i].at <= s.window; i-- {
		sum += c.requests[i].amount
	}
	return sum <= c.tenant.RatePerSecond*s.window.Seconds()+c.tenant.Burst
}

// changeLeader ends the leader's allocator; the next leader's observes after one delay and may grant after the other.
func (s *simulation) changeLeader(observeAfter, actAfter time.Duration) {
	s.allocator, s.observeFrom, s.actFrom = nil, s.now+observeAfter, s.now+actAfter
	s.config.IdleBefore = 3 * time.Second
}
