// Package spread measures how facts spread in a fleet of couriers, in virtual time: the real stores, tables, codec and
// traffic budgets of internal/fleet, on a modelled network. Nothing is copied from there: rates, sizes and intervals are
// members.TrafficModel, and the passes are the store's own.
//
// The invariant: a run is a function of its Config alone (TestSameRun), and what it plays may not break what the tables
// promise: no table states an age further from the truth than the clocks' drift below it, and than drift, the time on
// the way and a millisecond a telling above it (checked at each telling, Result.AgeWrong); and once telling has stopped, all that can reach one
// another hold the same facts (TestSameEvidence, Config.Cut).
//
// # The model
//
// A datagram is lost with the run's chance, else takes 1 to 30 ms, drawn evenly, so that datagrams overtake one another;
// one in a hundred arrives twice. An exchange is a stream: each loss of one of its packets costs 200 ms, doubled each
// time, and beyond the figures' time it is given up by both sides. A cut parts the members below the middle from the
// others, for datagrams and streams. Members start their rounds anywhere, their clocks read anything and run apart by up
// to one in a thousand. The list of members is whole throughout: a cut of 10 s is shorter than the 30 s for which
// memberlist goes on gossiping to those that it takes for dead. Bytes are those of packets and streams without the
// system's own headers (28 a datagram).
//
// # The load
//
// A share of the endpoints is busy. A busy one tells one courier a wait each 1 to 2 s: calls that were turned away are
// what is told on, and a courier heeds the wait for all. Its limit changes each 3 to 7 s. In the fleet, an outage is
// seen each 10 s and its end 5 s later. Whoever learns it is drawn anew each time. A fact lives for half a minute, a wait is of up to 10 s. What
// is told counts as being at a member when that, or what its origin told later about the same, has come.
package spread

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"raventrestle/internal/fleet/facts"
	"raventrestle/internal/fleet/members"
	"raventrestle/internal/fleet/store"
)

const (
	doubled   = 0.01
	resend    = 200 * time.Millisecond // of a stream
	segment   = 1400
	leastWay  = time.Millisecond
	mostWay   = 30 * time.Millisecond
	drift     = 0.0005            // of each clock, either way
	epoch     = 1_790_000_000_000 // milliseconds, as one drawn from a clock
	batchHead = 8                 // around the facts of a batch
	cut       = time.Millisecond  // a told age is cut to whole ones
)

// Config of a run. Zero means none.
type Config struct {
	Members, Endpoints int
	Busy               float64 // share of the endpoints
	Loss               float64 // chance of a packet
	Tell, After        time.Duration
	TTL                time.Duration // 30 s if 0
	CutAt, CutFor      time.Duration // between halves, or of the coordinator
	Passes             int           // the store's default if 0
	Coordinator        bool          // all tell member 0, and it tells all; no gossip and no exchanges
	Seed               uint64
}

// Result of a run.
type Result struct {
	Told           int             // facts
	Spread         []time.Duration // till at all others, sorted; of those that got there
	Missed         int             // facts that were not at all others before they ended
	Unheard        float64         // share of (fact, other member) that never came
	InTime         float64         // share of (wait, other member) that came while the wait was on
	Mean, Worst    int             // bytes a second sent by a member: on average, in the worst second of any
	Hub            int             // by the coordinator, on average
	AgeP99, AgeTop time.Duration   // true age less the age stated, at each telling
	AgeLow         time.Duration   // the least; below 0 by drift only
	AgeWrong       int             // outside the bound
	Dropped        uint64          // facts lost to a bound: full mailbox, queue or table, or refused
	Equal          time.Duration   // from the end of the cut, or of telling if later, till all held the same; -1 never
	Differ         int             // keys of which two members read other evidence than births closer than AgeTop explain
}

type record struct {
	fact    facts.Fact
	origin  int
	born    time.Duration
	way     []time.Duration // by member, the least time that a copy was on its way; -1 for none
	got     []bool          // by member: it, or what its origin told later
	reached int
	full    time.Duration
	prev    *record // what its origin told before about the same
}

type member struct {
	i       int
	name    string
	store   *store.Store
	budget  *members.Budget
	offset  time.Duration
	pace    float64
	sent    []int     // bytes, by second
	records []*record // told by it, by seq
	last    map[facts.Key]*record
	out     map[int][]*record // with a coordinator, by receiver: what is not yet acknowledged
}

func (m *member) clock(now time.Duration) time.Duration {
	return m.offset + time.Duration(float64(now)*m.pace)
}

func (m *member) wall(now time.Duration) time.Time { return time.Unix(0, 0).Add(m.clock(now)) }

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].order, e[j].order)) < 0
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

type fleet struct {
	Config
	figures       members.TrafficModel
	now           time.Duration
	queue         events
	order         uint64
	chance        *rand.Rand // of the network
	load          *rand.Rand
	codec         *facts.Codec
	members       []*member
	index         map[string]int
	all           []*record
	missing       int // pairs of (last fact of its register, member)
	equal         time.Duration
	ages          []time.Duration
	ageWrong      int
	timely, waits int
	last          time.Duration
}

func (f *fleet) at(t time.Duration, do func()) {
	f.order++
	heap.Push(&f.queue, event{t, f.order, do})
}

// Run plays one fleet.
func Run(cfg Config) (Result, error) {
	cfg.TTL = cmp.Or(cfg.TTL, 30*time.Second)
	if cfg.Members < 2 || cfg.Endpoints < 1 {
		return Result{}, fmt.Errorf("spread: %d members and %d endpoints: at least 2 and 1", cfg.Members, cfg.Endpoints)
	}
	codec, err := facts.NewCodec(1<<17, 2<<20)
	if err != nil {
		return Result{}, err
	}
	f := &fleet{
		Config: cfg, figures: members.Config{}.TrafficModel(cfg.Members), chance: rand.New(rand.NewPCG(cfg.Seed, 1)),
		load: rand.New(rand.NewPCG(cfg.Seed, 2)), codec: codec, index: map[string]int{}, equal: -1,
	}
	f.last = max(cfg.Tell, cfg.CutAt+cfg.CutFor)
	if err := f.start(); err != nil {
		return Result{}, err
	}
	f.tell()
	for end := f.last + cfg.After; len(f.queue) > 0; {
		e := heap.Pop(&f.queue).(event)
		if e.at > end {
			break
		}
		f.now = e.at
		e.do()
	}
	return f.result(), nil
}

func (f *fleet) start() error {
	for i := range f.Members {
		m := &member{
			i: i, name: fmt.Sprintf("courier-%03d", i), last: map[facts.Key]*record{}, out: map[int][]*record{},
			offset: time.Duration(f.chance.Int64N(int64(1000 * time.Hour))), pace: 1 + drift*(2*f.chance.Float64()-1),
		}
		c := store.DefaultConfig(m.name, epoch)
		c.MaxSends = cmp.Or(f.Passes, c.MaxSends)
		var err error
		if m.store, err = store.New(c); err != nil {
			return err
		}
		if f.Passes == 0 {
			m.store.SetMemberCount(f.Members)
		}
		m.budget = members.NewBudget(m.wall(0), members.Config{})
		f.members, f.index[m.name] = append(f.members, m), i
		if f.Coordinator {
			f.every(m, f.figures.GossipInterval, func() { f.report(m) })
			continue
		}
		f.every(m, f.figures.GossipInterval, func() { f.gossip(m) })
		f.every(m, f.figures.ExchangeInterval, func() { f.exchange(m) })
		f.every(m, 5*time.Second, func() { m.store.Sweep(m.clock(f.now)); m.store.Drain() })
	}
	return nil
}

// every calls at the member's own pace, beginning anywhere in the first interval.
func (f *fleet) every(m *member, interval time.Duration, do func()) {
	step := time.Duration(float64(interval) / m.pace)
	var round func()
	round = func() { do(); f.at(f.now+step, round) }
	f.at(time.Duration(f.chance.Int64N(int64(step))), round)
}

// tell plans the load.
func (f *fleet) tell() {
	between := func(a, b time.Duration) time.Duration { return a + time.Duration(f.load.Int64N(int64(b-a))) }
	stream := func(from, to time.Duration, do func()) {
		for t := between(0, to); t < f.Tell; t += between(from, to) {
			f.at(t, do)
		}
	}
	subject := func(i int) facts.Subject { return facts.Subject{Dest: 7, Endpoint: fmt.Sprintf("endpoint-%02d", i)} }
	for i := range max(1, int(f.Busy*float64(f.Endpoints)+0.5)) {
		s := subject(i)
		stream(time.Second, 2*time.Second, func() {
			f.learn(s, facts.Wait, facts.Value{For: between(500*time.Millisecond, f.TTL/3).Truncate(time.Millisecond)})
		})
		stream(3*time.Second, 7*time.Second, func() {
			f.learn(s, facts.Limit, facts.Value{Number: float64(10 + f.load.IntN(90)), For: time.Second})
		})
	}
	stream(9*time.Second, 11*time.Second, func() {
		s := subject(f.load.IntN(f.Endpoints))
		f.learn(s, facts.Outage, facts.Value{Number: 1, For: time.Second})
		if f.now+5*time.Second < f.Tell {
			f.at(f.now+5*time.Second, func() { f.learn(s, facts.OutageEnd, facts.Value{For: 6 * time.Second}) })
		}
	})
}

func (f *fleet) learn(s facts.Subject, k facts.Kind, v facts.Value) {
	m := f.members[f.load.IntN(f.Members)]
	if err := m.store.Learn(m.clock(f.now), s, k, v, f.TTL); err != nil {
		panic(err) // the load is this package's own
	}
	m.store.Drain()
	r := &record{
		fact:   facts.Fact{Subject: s, Kind: k, Value: v, Origin: m.name, Epoch: epoch, Seq: uint64(len(m.records) + 1), TTL: f.TTL},
		origin: m.i, born: f.now, way: slices.Repeat([]time.Duration{-1}, f.Members), got: make([]bool, f.Members), full: -1,
	}
	r.way[m.i], r.got[m.i] = 0, true
	key := r.fact.Key()
	if r.prev = m.last[key]; r.prev != nil {
		f.missing -= f.Members - 1 - r.prev.reached
	}
	f.missing += f.Members - 1
	m.last[key] = r
	m.records, f.all = append(m.records, r), append(f.all, r)
	if k == facts.Wait {
		f.waits += f.Members - 1
	}
	if f.Coordinator {
		f.queueFor(m, r)
	}
}

// cargo is facts on their way, with how long each was under way until its sender had it.
type cargo struct {
	facts []facts.Fact
	ways  []time.Duration
}

// loaded notes what a member tells, and checks the ages it states.
func (f *fleet) loaded(m *member, batch []facts.Fact) cargo {
	c := cargo{batch, make([]time.Duration, len(batch))}
	for i := range batch {
		r := f.record(&batch[i])
		c.ways[i] = r.way[m.i] + cut
		wrong := f.now - r.born - batch[i].Age
		slack := time.Duration(drift*float64(f.now-r.born)) + 2*time.Duration(len(f.members))*time.Nanosecond
		if wrong < -slack || wrong > r.way[m.i]+cut+slack {
			f.ageWrong++
		}
		if m.i != r.origin {
			f.ages = append(f.ages, wrong)
		}
	}
	return c
}

func (f *fleet) record(x *facts.Fact) *record { return f.members[f.index[x.Origin]].records[x.Seq-1] }

// arrive hands a cargo to its receiver.
func (f *fleet) arrive(m *member, c cargo, way time.Duration) {
	for i := range c.facts {
		r := f.record(&c.facts[i])
		if w := c.ways[i] + way; r.way[m.i] < 0 || w < r.way[m.i] {
			r.way[m.i] = w
		}
		for p := r; p != nil && f.reach(p, m); p = p.prev {
		}
	}
	m.store.Receive(m.clock(f.now), slices.Clone(c.facts))
	m.store.Drain()
	if f.missing == 0 && f.equal < 0 && f.now >= f.last {
		f.equal = f.now - f.last
	}
}
