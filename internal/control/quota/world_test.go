package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// The test world: routers with buckets as the dispatcher keeps them, clients, and messages that are late or lost.
// It judges QUOTA over every window from what was truly spent.

const tick = 10 * time.Millisecond

// quietLead passes before clients ask.
const quietLead = 10 * time.Second

// bucket is one router's bucket of one tenant.
type bucket struct {
	router     *node
	rate       float64
	depth      float64
	ends       time.Duration
	level      float64
	credit     float64 // lent, good until ends, spent first
	asked      float64
	given      float64
	lacking    float64
	waiting    []want
	usualShare float64
}

type want struct {
	charge float64
	until  time.Duration
}

type node struct {
	id       Router
	sequence uint64
	cutUntil time.Duration
	next     time.Duration
	urgent   time.Duration
	buckets  map[string]*bucket
}

type party struct {
	tenant   configuration.Tenant
	demand   float64 // tokens a second
	size     float64
	hotFrom  time.Duration
	hotUntil time.Duration
	hot      float64
	spent    []spending
	asks     []spending
	asked    float64
	refused  float64
	owed     float64 // refused although within the limit
	largeAsk int
	largeNo  int
}

type spending struct {
	at     time.Duration
	amount float64
}

type event struct {
	at time.Duration
	do func()
}

type world struct {
	random    *rand.Rand
	now       time.Duration
	epoch     time.Time
	nodes     []*node
	parties   []*party
	queue     []event
	options   Config
	allocator *Allocator
	gatherAt  time.Duration
	holderAt  time.Duration
	idle      bool // no allocator at all
	credits   bool
	in        Input
	messages  int
	grants    int
	window    time.Duration
	broken    string
}

func (w *world) later(after time.Duration, do func()) {
	w.queue = append(w.queue, event{w.now + after, do})
}

func (w *world) configuration() *configuration.Configuration {
	c := &configuration.Configuration{Generation: 1}
	for _, p := range w.parties {
		c.Tenants = append(c.Tenants, p.tenant)
	}
	return c
}

func (w *world) start() {
	for _, n := range w.nodes {
		n.buckets = map[string]*bucket{}
		for _, p := range w.parties {
			n.buckets[p.tenant.Name] = &bucket{router: n, level: p.tenant.Burst / float64(len(w.nodes))}
		}
	}
	w.in.Configuration = w.configuration()
}

func (w *world) run(length time.Duration) {
	for ; w.now < length && w.broken == ""; w.now += tick {
		due := w.queue
		w.queue = nil
		for _, e := range due {
			if e.at > w.now {
				w.queue = append(w.queue, e)
				continue
			}
			e.do()
		}
		w.clients()
		for _, n := range w.nodes {
			w.refill(n)
			w.serve(n)
			w.report(n)
		}
		if w.now%(20*time.Millisecond) == 0 {
			w.hold()
		}
	}
}

// hold is one step of the allocator that holds the role.
func (w *world) hold() {
	if w.idle || w.now < w.gatherAt {
		w.in.Reports, w.in.Confirmations = nil, nil
		return
	}
	if w.allocator == nil {
		w.allocator = New(w.options)
		w.in.Configuration = w.configuration()
	}
	in := w.in
	w.in = Input{}
	in.ObserveOnly = w.now < w.holderAt
	in.MinRouterCount = len(w.nodes)
	for _, n := range w.nodes {
		if n.cutUntil <= w.now {
			in.Routers = append(in.Routers, n.id)
		}
	}
	out := w.allocator.Step(w.epoch.Add(w.now), in)
	holder := w.allocator
	for _, message := range out.Batches {
		w.messages++
		w.grants += len(message.Grants)
		w.deliver(holder, message)
	}
}

func (w *world) deliver(holder *Allocator, message GrantBatch) {
	n := w.find(message.Router)
	if n == nil || n.cutUntil > w.now || w.random.IntN(500) == 0 {
		return
	}
	w.later(w.delay(), func() {
		for _, g := range message.Grants {
			b := n.buckets[g.Tenant]
			b.rate, b.depth, b.ends = g.RatePerS, g.Burst, w.now+g.For
			b.level = math.Min(b.level, b.depth)
			if w.credits {
				b.credit += g.Credit
			}
		}
		w.serve(n)
		w.later(w.delay(), func() {
			if w.allocator == holder {
				w.in.Confirmations = append(w.in.Confirmations, Confirmation{message.Router, message.ID})
			}
		})
	})
}

func (w *world) delay() time.Duration {
	if w.random.IntN(300) == 0 {
		return time.Duration(w.random.IntN(700)) * time.Millisecond
	}
	return 2 * time.Millisecond
}

func (w *world) find(id Router) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// clients ask.
func (w *world) clients() {
	if w.now < quietLead {
		return
	}
	for _, p := range w.parties {
		rate := p.demand
		if w.now >= p.hotFrom && w.now < p.hotUntil {
			rate *= p.hot
		}
		for rest := rate * tick.Seconds() / p.size; rest > 0; rest-- {
			if w.random.Float64() >= rest {
				continue
			}
			charge := p.size * math.Exp(0.8*w.random.NormFloat64()-0.32)
			b := w.pick(p)
			b.asked += charge
			p.asked += charge
			p.asks = append(p.asks, spending{w.now, charge})
			b.waiting = append(b.waiting, want{charge, w.now + 120*time.Millisecond})
		}
	}
}

func (w *world) pick(p *party) *bucket {
	pick := w.random.Float64()
	for _, n := range w.nodes {
		b := n.buckets[p.tenant.Name]
		if pick < b.usualShare {
			return b
		}
		pick -= b.usualShare
	}
	return w.nodes[0].buckets[p.tenant.Name]
}

func (w *world) refill(n *node) {
	for _, p := range w.parties {
		b := n.buckets[p.tenant.Name]
		rate, depth := p.tenant.RatePerS*protocol.QuotaFloorShare/float64(len(w.nodes)), p.tenant.Burst/float64(len(w.nodes))
		if w.now < b.ends {
			rate, depth = math.Min(b.rate, p.tenant.RatePerS), b.depth
		}
		if b.level < depth {
			b.level = math.Min(depth, b.level+rate*tick.Seconds())
		}
		if w.now >= b.ends {
			b.credit = 0
		}
	}
}

func (w *world) debt(p *party) float64 {
	whole := p.tenant.RatePerS*w.window.Seconds() + p.tenant.Burst
	return (whole*w.options.OvershootFraction + w.options.OvershootSlack) * protocol.QuotaDebtShare / float64(len(w.nodes))
}

// serve spends for those who wait; without credits a request is refused at once.
func (w *world) serve(n *node) {
	for _, p := range w.parties {
		b := n.buckets[p.tenant.Name]
		kept := b.waiting[:0]
		b.lacking = 0
		for _, request := range b.waiting {
			large := request.charge > 2.5*p.size
			lacking := request.charge - b.credit - b.level - w.debt(p)
			switch {
			case lacking <= 0:
				lent := math.Min(b.credit, request.charge)
				b.credit -= lent
				b.level -= request.charge - lent
				b.given += request.charge
				p.spent = append(p.spent, spending{w.now, request.charge})
				w.judge(p)
				if large {
					p.largeAsk++
				}
			case w.credits && w.now < request.until && n.cutUntil <= w.now:
				b.lacking += request.charge
				kept = append(kept, request)
			default:
				p.refused += request.charge
				if w.within(p) {
					p.owed += request.charge
				}
				if large {
					p.largeAsk++
					p.largeNo++
				}
			}
		}
		if b.lacking > 0 {
			b.lacking = math.Max(1, b.lacking-b.credit-b.level-w.debt(p))
		}
		b.waiting = kept
	}
}

func (w *world) judge(p *party) {
	most := (p.tenant.RatePerS*w.window.Seconds()+p.tenant.Burst)*(1+w.options.OvershootFraction) + w.options.OvershootSlack
	sum := 0.0
	for i := len(p.spent) - 1; i >= 0 && w.now-p.spent[i].at <= w.window; i-- {
		sum += p.spent[i].amount
	}
	if sum > most {
		w.broken = fmt.Sprintf("%v: %s spent %.0f of %.0f", w.now, p.tenant.Name, sum, most)
	}
}

// within tells whether all that the tenant asked for in the last window was within its limit.
func (w *world) within(p *party) bool {
	sum := 0.0
	for i := len(p.asks) - 1; i >= 0 && w.now-p.asks[i].at <= w.window; i-- {
		sum += p.asks[i].amount
	}
	return sum <= p.tenant.RatePerS*w.window.Seconds()+p.tenant.Burst
}

func (w *world) report(n *node) {
	urgent := false
	for _, b := range n.buckets {
		urgent = urgent || b.lacking > 0
	}
	if w.now < n.next && !(urgent && w.now >= n.urgent) {
		return
	}
	n.next, n.urgent = w.now+500*time.Millisecond, w.now+50*time.Millisecond
	n.sequence++
	told := protocol.Report{Node: n.id.Node, Incarnation: n.id.Incarnation, Sequence: n.sequence}
	told.Over = 500 * time.Millisecond
	for _, p := range w.parties {
		b := n.buckets[p.tenant.Name]
		row := protocol.TenantDemand{Tenant: p.tenant.Name, Asked: b.asked, Granted: b.given}
		if w.credits {
			row.Lacking, row.Credit = b.lacking, b.credit
		}
		if row.Asked == 0 && row.Granted == 0 && row.Lacking == 0 {
			continue
		}
		told.Tenants = append(told.Tenants, row)
		b.asked, b.given = 0, 0
	}
	if len(told.Tenants) == 0 || n.cutUntil > w.now {
		return
	}
	w.later(w.delay(), func() { w.in.Reports = append(w.in.Reports, told) })
}

// town is a world with this many routers and tenants whose usual demand is part of their limit.
func town(seed uint64, routers, tenants int, usual float64, credits bool) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 3)), epoch: time.Unix(1e9, 0), window: 8 * time.Second,
		credits: credits,
		options: Config{OvershootFraction: 0.1, OvershootSlack: 11000, Confirms: true},
	}
	for i := range routers {
		w.nodes = append(w.nodes, &node{
			id:   Router{fmt.Sprintf("r%02d", i), 1},
			next: time.Duration(w.random.IntN(50)) * tick,
		})
	}
	for i := range tenants {
		rate := 35000 * math.Pow(0.45, float64(i)) * (0.7 + 0.6*w.random.Float64())
		rate = math.Max(rate, 2600)
		w.parties = append(w.parties, &party{
			demand: rate * usual, size: 1400,
			tenant: configuration.Tenant{
				Name: fmt.Sprintf("t%d", i), Unit: configuration.TokenCount, RatePerS: rate,
				Burst: rate,
			},
		})
	}
	w.start()
	for _, p := range w.parties {
		sum := 0.0
		for _, n := range w.nodes {
			share := w.random.ExpFloat64()
			if w.random.IntN(4) == 0 {
				share = 0
			}
			n.buckets[p.tenant.Name].usualShare = share
			sum += share
		}
		for _, n := range w.nodes {
			n.buckets[p.tenant.Name].usualShare /= sum
		}
	}
	return w
}

// changeHolder takes the role away; another instance learns after a while and acts later.
func (w *world) changeHolder(gathers, acts time.Duration) {
	w.allocator, w.gatherAt, w.holderAt = nil, w.now+gathers, w.now+acts
	w.options.IdleBefore = 3 * time.Second
}
