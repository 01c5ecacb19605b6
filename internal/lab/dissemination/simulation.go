// Package dissemination simulates how facts spread in a fleet of couriers, in virtual time. It runs the real stores,
// tables, codec and traffic budgets of internal/fleet on a modelled network. Rates, sizes and intervals come from
// members.TrafficModel, and the number of sends of a fact from the store, so that no value is duplicated here.
//
// A run depends on its Config only (TestSameConfigGivesSameResult). Each run also checks what the tables guarantee:
//
//   - No member states an age that differs too much from the true age. A stated age may be too high by the clocks' drift,
//     and too low by the drift, the time in transit and one millisecond per transmission. This is checked at each
//     transmission (Result.InvalidAges).
//   - After the load and the partition have ended, all members that can reach one another store the same facts
//     (TestMembersConverge, Config.PartitionStart).
//
// # Network model
//
// A datagram is lost with probability Config.PacketLoss. Otherwise it takes 1 to 30 ms, from a uniform distribution, so
// datagrams overtake one another. One in a hundred arrives twice. An exchange is a stream: the loss of a packet costs
// 200 ms, doubled for each further loss of the same packet, and after members.TrafficModel's StreamTimeout both sides
// abort the exchange. A partition separates the lower half of the members from the others, for datagrams and streams.
// Members start their rounds at random times. Their clocks have random offsets and drift from one another by up to one in
// a thousand. Every member knows all members throughout the run: a partition of 10 s is shorter than the 30 s for which
// memberlist continues to gossip to members that it considers dead. Byte counts include packets and streams without the
// operating system's headers (28 bytes per datagram).
//
// # Load
//
// A share of the endpoints is busy. Every 1 to 2 s, one courier learns a wait of a busy endpoint. The interval is that long
// because couriers only share the waits of rejected calls, and a courier that knows of a wait sends no calls until it is
// over. The limit of a busy endpoint changes every 3 to 7 s. In the whole fleet, an outage begins every 9 to 11 s and ends 5 s later. The courier that learns a fact is drawn
// at random each time. A fact expires after half a minute by default, and a wait lasts for up to 10 s. A member counts as
// having a fact when it has received that fact or a later one of the same origin and key.
package dissemination

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
	duplicateProbability = 0.01
	retransmitTimeout    = 200 * time.Millisecond // first retransmission of a packet in a stream
	segmentBytes         = 1400
	minDelay             = time.Millisecond
	maxDelay             = 30 * time.Millisecond
	maxClockDrift        = 0.0005            // largest deviation of a clock's rate from 1, in both directions
	epoch                = 1_790_000_000_000 // milliseconds since 1970, as a courier derives it from its clock
	batchHeaderBytes     = 8                 // bytes of a batch besides its facts
	ageResolution        = time.Millisecond  // a transmitted age is truncated to a multiple of this
)

// Config describes a run. Zero values mean none, unless stated otherwise.
type Config struct {
	Members, Endpoints                int
	BusyShare                         float64 // share of the endpoints that are busy
	PacketLoss                        float64 // probability that a packet is lost
	LoadDuration, TimeAfterLoad       time.Duration
	TTL                               time.Duration // 30 s if 0
	PartitionStart, PartitionDuration time.Duration // separates the halves of the members, or the coordinator from all others
	MaxSends                          int           // number of sends of a fact; the store's default if 0
	Coordinator                       bool          // all members send to member 0, which sends to all, without gossip and exchanges
	Seed                              uint64
}

// Result contains the measurements of a run. Rates are in bytes per second and include probes.
type Result struct {
	Facts                     int             // number of facts that the load produced
	DeliveryTimes             []time.Duration // time until a fact was at all other members, sorted; only of facts that reached all
	Incomplete                int             // facts that did not reach all other members before the end of the run
	UndeliveredShare          float64         // share of the pairs of a fact and another member that the fact never reached
	TimelyWaitShare           float64         // share of the pairs of a wait and another member that it reached before the wait was over
	MeanByteRate, MaxByteRate int             // sent by a member: on average, and the highest in one second by any member
	CoordinatorByteRate       int             // sent by the coordinator, on average
	AgeErrorP99, MaxAgeError  time.Duration   // true age minus stated age, over all transmissions of facts by members other than the origin
	MinAgeError               time.Duration   // lowest value; negative only because of clock drift
	InvalidAges               int             // transmissions with an age error outside the guaranteed bounds
	Dropped                   uint64          // facts that a store rejected, or dropped because a mailbox, queue or table was full
	ConvergenceTime           time.Duration   // from the end of the load and the partition until all members had received the same facts; -1 if never
	Differences               int             // disagreements between members' stores at the end, as countDifferences counts them
}

// factRecord tracks the dissemination of one fact.
type factRecord struct {
	fact           facts.Fact
	origin         int
	created        time.Duration
	minTransit     []time.Duration // by member: the shortest time in transit of a copy; -1 without a copy
	received       []bool          // by member: whether it has this fact or a later one of the same origin and key
	reachedMembers int
	deliveryTime   time.Duration
	previous       *factRecord // the preceding fact of the same origin and key
}

type member struct {
	index          int
	name           string
	store          *store.Store
	budget         *members.Budget
	clockOffset    time.Duration
	clockRate      float64
	sentBytes      []int         // by second of the run
	records        []*factRecord // facts with this member as their origin, in the order of their sequence numbers
	latest         map[facts.Key]*factRecord
	unacknowledged map[int][]*factRecord // by index of the receiver; only used with a coordinator
}

func (m *member) localTime(now time.Duration) time.Duration {
	return m.clockOffset + time.Duration(float64(now)*m.clockRate)
}

func (m *member) wallClock(now time.Duration) time.Time { return time.Unix(0, 0).Add(m.localTime(now)) }

type event struct {
	at       time.Duration
	sequence uint64
	action   func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].sequence, e[j].sequence)) < 0
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
	traffic                    members.TrafficModel
	now                        time.Duration
	queue                      events
	sequence                   uint64
	networkRNG                 *rand.Rand // draws loss, delays and peers
	loadRNG                    *rand.Rand
	codec                      *facts.Codec
	members                    []*member
	memberIndex                map[string]int
	records                    []*factRecord
	missingPairs               int // pairs of the latest fact of an origin and key, and a member that has not received it
	convergenceTime            time.Duration
	ageErrors                  []time.Duration
	invalidAges                int
	timelyWaits, expectedWaits int
	disturbanceEnd             time.Duration
}

func (f *fleet) schedule(t time.Duration, action func()) {
	f.sequence++
	heap.Push(&f.queue, event{t, f.sequence, action})
}

// Run simulates one fleet and returns the measurements. It ends at TimeAfterLoad after the end of the load and the
// partition.
func Run(cfg Config) (Result, error) {
	cfg.TTL = cmp.Or(cfg.TTL, 30*time.Second)
	if cfg.Members < 2 || cfg.Endpoints < 1 {
		return Result{}, fmt.Errorf("dissemination: %d members and %d endpoints, want at least 2 and 1", cfg.Members, cfg.Endpoints)
	}
	codec, err := facts.NewCodec(1<<17, 2<<20)
	if err != nil {
		return Result{}, err
	}
	f := &fleet{
		Config: cfg, traffic: members.Config{}.TrafficModel(cfg.Members), networkRNG: rand.New(rand.NewPCG(cfg.Seed, 1)),
		loadRNG: rand.New(rand.NewPCG(cfg.Seed, 2)), codec: codec, memberIndex: map[string]int{}, convergenceTime: -1,
	}
	f.disturbanceEnd = max(cfg.LoadDuration, cfg.PartitionStart+cfg.PartitionDuration)
	if err := f.startMembers(); err != nil {
		return Result{}, err
	}
	f.scheduleLoad()
	for end := f.disturbanceEnd + cfg.TimeAfterLoad; len(f.queue) > 0; {
		e := heap.Pop(&f.queue).(event)
		if e.at > end {
			break
		}
		f.now = e.at
		e.action()
	}
	return f.result(), nil
}

func (f *fleet) startMembers() error {
	for i := range f.Members {
		m := &member{
			index: i, name: fmt.Sprintf("courier-%03d", i), latest: map[facts.Key]*factRecord{}, unacknowledged: map[int][]*factRecord{},
			clockOffset: time.Duration(f.networkRNG.Int64N(int64(1000 * time.Hour))), clockRate: 1 + maxClockDrift*(2*f.networkRNG.Float64()-1),
		}
		config := store.DefaultConfig(m.name, epoch)
		config.MaxSends = cmp.Or(f.MaxSends, config.MaxSends)
		var err error
		if m.store, err = store.New(config); err != nil {
			return err
		}
		if f.MaxSends == 0 {
			m.store.SetMemberCount(f.Members)
		}
		m.budget = members.NewBudget(m.wallClock(0), members.Config{})
		f.members, f.memberIndex[m.name] = append(f.members, m), i
		if f.Coordinator {
			f.repeat(m, f.traffic.GossipInterval, func() { f.coordinatorRound(m) })
			continue
		}
		f.repeat(m, f.traffic.GossipInterval, func() { f.gossipRound(m) })
		f.repeat(m, f.traffic.ExchangeInterval, func() { f.exchangeState(m) })
		f.repeat(m, 5*time.Second, func() { m.store.Sweep(m.localTime(f.now)); m.store.Drain() })
	}
	return nil
}

// repeat calls action at the given interval by the member's clock, beginning at a random time in the first interval.
func (f *fleet) repeat(m *member, interval time.Duration, action func()) {
	localInterval := time.Duration(float64(interval) / m.clockRate)
	var round func()
	round = func() { action(); f.schedule(f.now+localInterval, round) }
	f.schedule(time.Duration(f.networkRNG.Int64N(int64(localInterval))), round)
}

// scheduleLoad schedules the facts that the fleet learns, as the package comment describes.
func (f *fleet) scheduleLoad() {
	randomTime := func(a, b time.Duration) time.Duration { return a + time.Duration(f.loadRNG.Int64N(int64(b-a))) }
	repeatUntilEnd := func(from, to time.Duration, action func()) {
		for t := randomTime(0, to); t < f.LoadDuration; t += randomTime(from, to) {
			f.schedule(t, action)
		}
	}
	subject := func(i int) facts.Subject { return facts.Subject{Dest: 7, Endpoint: fmt.Sprintf("endpoint-%02d", i)} }
	for i := range max(1, int(f.BusyShare*float64(f.Endpoints)+0.5)) {
		s := subject(i)
		repeatUntilEnd(time.Second, 2*time.Second, func() {
			f.addFact(s, facts.Wait, facts.Value{For: randomTime(500*time.Millisecond, f.TTL/3).Truncate(time.Millisecond)})
		})
		repeatUntilEnd(3*time.Second, 7*time.Second, func() {
			f.addFact(s, facts.Limit, facts.Value{Number: float64(10 + f.loadRNG.IntN(90)), For: time.Second})
		})
	}
	repeatUntilEnd(9*time.Second, 11*time.Second, func() {
		s := subject(f.loadRNG.IntN(f.Endpoints))
		f.addFact(s, facts.Outage, facts.Value{Number: 1, For: time.Second})
		if f.now+5*time.Second < f.LoadDuration {
			f.schedule(f.now+5*time.Second, func() { f.addFact(s, facts.OutageEnd, facts.Value{For: 6 * time.Second}) })
		}
	})
}

// addFact has a random member learn the fact.
func (f *fleet) addFact(subject facts.Subject, kind facts.Kind, value facts.Value) {
	m := f.members[f.loadRNG.IntN(f.Members)]
	if err := m.store.Learn(m.localTime(f.now), subject, kind, value, f.TTL); err != nil {
		panic(err) // the load only contains valid facts
	}
	m.store.Drain()
	r := &factRecord{
		fact:   facts.Fact{Subject: subject, Kind: kind, Value: value, Origin: m.name, Epoch: epoch, Seq: uint64(len(m.records) + 1), TTL: f.TTL},
		origin: m.index, created: f.now, minTransit: slices.Repeat([]time.Duration{-1}, f.Members), received: make([]bool, f.Members), deliveryTime: -1,
	}
	r.minTransit[m.index], r.received[m.index] = 0, true
	key := r.fact.Key()
	if r.previous = m.latest[key]; r.previous != nil {
		f.missingPairs -= f.Members - 1 - r.previous.reachedMembers
	}
	f.missingPairs += f.Members - 1
	m.latest[key] = r
	m.records, f.records = append(m.records, r), append(f.records, r)
	if kind == facts.Wait {
		f.expectedWaits += f.Members - 1
	}
	if f.Coordinator {
		f.enqueue(m, r)
	}
}

// delivery is a batch of facts in transit. transits contains, for each fact, how long its copy was in transit until it
// reached the sender, plus the truncation of its age.
type delivery struct {
	facts    []facts.Fact
	transits []time.Duration
}

// prepareDelivery returns the batch as a delivery and checks the ages that the member states in it.
func (f *fleet) prepareDelivery(m *member, batch []facts.Fact) delivery {
	prepared := delivery{batch, make([]time.Duration, len(batch))}
	for i := range batch {
		r := f.recordOf(&batch[i])
		prepared.transits[i] = r.minTransit[m.index] + ageResolution
		ageError := f.now - r.created - batch[i].Age
		tolerance := time.Duration(maxClockDrift*float64(f.now-r.created)) + 2*time.Duration(len(f.members))*time.Nanosecond
		if ageError < -tolerance || ageError > r.minTransit[m.index]+ageResolution+tolerance {
			f.invalidAges++
		}
		if m.index != r.origin {
			f.ageErrors = append(f.ageErrors, ageError)
		}
	}
	return prepared
}

func (f *fleet) recordOf(fact *facts.Fact) *factRecord {
	return f.members[f.memberIndex[fact.Origin]].records[fact.Seq-1]
}

// receive delivers the facts to the store of a member and records that they reached it. The delivery was in transit for
// the given time.
func (f *fleet) receive(m *member, received delivery, transit time.Duration) {
	for i := range received.facts {
		r := f.recordOf(&received.facts[i])
		if total := received.transits[i] + transit; r.minTransit[m.index] < 0 || total < r.minTransit[m.index] {
			r.minTransit[m.index] = total
		}
		for p := r; p != nil && f.recordReceipt(p, m); p = p.previous {
		}
	}
	m.store.Receive(m.localTime(f.now), slices.Clone(received.facts))
	m.store.Drain()
	if f.missingPairs == 0 && f.convergenceTime < 0 && f.now >= f.disturbanceEnd {
		f.convergenceTime = f.now - f.disturbanceEnd
	}
}
