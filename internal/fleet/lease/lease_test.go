package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

var rateID, countID = ID{"peer-1", "limit"}, ID{"peer-1", "cold"}

type node struct {
	cfg                        Config
	allocator                  *Allocator
	epoch                      uint64
	clockRate                  float64
	clockOffset                time.Duration
	paused                     bool
	snapshot                   *Snapshot
	inbox                      []Event
	knownList, knownGeneration uint64 // versions that the current or the next incarnation uses
}

func (n *node) clock(t time.Duration) time.Duration {
	return n.clockOffset + time.Duration(float64(t)*n.clockRate)
}

// oldestKnown returns the oldest list and generation that the current or the next incarnation may use. An authority that
// only knows acknowledgements must assume that a process may end before it has stored what it received.
func (n *node) oldestKnown() (list, gen uint64) {
	if n.snapshot == nil {
		return n.knownList, n.knownGeneration
	}
	return n.snapshot.Lists[len(n.snapshot.Lists)-1].Version, n.snapshot.Quotas[0].Quota.Generation
}

type delayedMessage struct {
	at time.Duration
	Outgoing
}

type usage struct {
	at     time.Duration
	amount float64
}

// simulation is a simulated fleet and network in real time.
type simulation struct {
	r                    *rand.Rand
	now                  time.Duration
	nodes                map[string]*node
	names                []string
	inFlight             []delayedMessage
	lists                []List
	sizes                []float64
	partitioned          map[string]bool // members on one side of the partition
	lossProbability      float64
	longDelayProbability float64 // probability of a delay up to 2 s
	uses                 []usage
	disabled             disabledRules
	versionOrder         *rand.Rand // shuffles the order in which versions are announced; nil: oldest first
}

func testConfig(name string) Config {
	c := Default(name)
	c.MaxLoanDuration, c.MaxClockDrift, c.ClockMargin, c.RequestTimeout, c.RetryBackoff, c.StateInterval = 500*ms, 0.2, ms, 450*ms, 40*ms, 100*ms
	return c
}

func newSimulation(seed uint64, size int, disabled disabledRules) *simulation {
	sim := &simulation{r: rand.New(rand.NewPCG(seed, 24)), nodes: map[string]*node{}, partitioned: map[string]bool{}, disabled: disabled, sizes: []float64{0, 100}}
	l := List{Version: 1}
	for i := range size {
		name := fmt.Sprintf("m%02d", i)
		sim.names = append(sim.names, name)
		l.Members = append(l.Members, Member{Name: name})
		sim.nodes[name] = &node{
			cfg: testConfig(name), epoch: 1, clockRate: 1 + (sim.r.Float64()-0.5)*0.18,
			clockOffset: time.Duration(sim.r.Int64N(int64(time.Hour))) - 30*time.Minute, knownList: 1, knownGeneration: 1,
		}
	}
	sim.lists = []List{{}, l}
	for _, name := range sim.names {
		n := sim.nodes[name]
		n.allocator, _ = New(n.cfg, 1, n.clock(0), false)
		n.allocator.disabled = disabled
		sim.announce(n, 1, 1, 1, 1)
	}
	return sim
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func (sim *simulation) announce(n *node, gen, oldestGen, list, oldestList uint64) {
	n.knownList, n.knownGeneration = list, gen
	var calls []func()
	for g := oldestGen; g <= gen; g++ {
		for _, quota := range []Quota{{ID: rateID}, {ID: countID, Kind: Count, Window: 300 * ms}} {
			quota.Size, quota.Generation, quota.OldestInUse = sim.sizes[g], g, oldestGen
			calls = append(calls, func() { must(n.allocator.SetQuota(n.clock(sim.now), quota)) })
		}
	}
	for v := oldestList; v <= list; v++ {
		l := sim.lists[v]
		l.OldestInUse = oldestList
		calls = append(calls, func() { must(n.allocator.SetMembers(l)) })
	}
	if sim.versionOrder != nil {
		sim.versionOrder.Shuffle(len(calls), func(i, j int) { calls[i], calls[j] = calls[j], calls[i] })
	}
	for _, call := range calls {
		call()
	}
}

func (sim *simulation) step(n *node) {
	t := n.clock(sim.now)
	sends := n.allocator.Step(t, sim.r.Float64(), n.inbox)
	n.inbox = nil
	durable := slices.ContainsFunc(sends, func(s Outgoing) bool { return s.Durable })
	if durable {
		s := n.allocator.Snapshot(t)
		n.snapshot = &s
	}
	for _, s := range sends {
		for _, to := range sim.names {
			if s.To != "" && s.To != to || s.From == to {
				continue
			}
			for copies := 1 + sim.r.IntN(2); copies > 0; copies-- {
				delay := time.Duration(sim.r.Int64N(int64(20 * ms)))
				if sim.r.Float64() < sim.longDelayProbability {
					delay = time.Duration(sim.r.Int64N(int64(2 * time.Second)))
				}
				if sim.r.Float64() >= sim.lossProbability && sim.partitioned[s.From] == sim.partitioned[to] {
					c := s
					c.To = to
					sim.inFlight = append(sim.inFlight, delayedMessage{sim.now + delay, c})
				}
			}
		}
	}
}

func (sim *simulation) tick(dt time.Duration) {
	sim.now += dt
	sim.inFlight = slices.DeleteFunc(sim.inFlight, func(p delayedMessage) bool {
		n := sim.nodes[p.To]
		if p.at > sim.now || n.paused && n.allocator != nil { // the packet waits in the socket of the paused process
			return false
		}
		if n.allocator != nil {
			n.inbox = append(n.inbox, Event{Message: &p.Message})
		}
		return true
	})
}

func (sim *simulation) violation() string {
	oldest := uint64(len(sim.sizes))
	for _, n := range sim.nodes {
		if n.allocator != nil {
			n.allocator.recompute(n.clock(sim.now)) // as every use does
		}
		// A member that is not on the list, or joined it with an older generation than the others have, uses nothing.
		if n.allocator != nil && n.allocator.shares[n.cfg.Self] > 0 && n.knownGeneration >= n.allocator.quotas[rateID].minGeneration {
			oldest = min(oldest, n.knownGeneration)
		}
	}
	for _, id := range []ID{rateID, countID} {
		sum := 0.0
		for _, n := range sim.nodes {
			if n.allocator != nil {
				sum += n.allocator.Rights(n.clock(sim.now), id)
			}
		}
		if sum > 0 && sum > sim.sizes[oldest]*(1+1e-9) {
			var parts []string
			for _, name := range sim.names {
				if n := sim.nodes[name]; n.allocator != nil {
					parts = append(parts, fmt.Sprintf("%s %.3f (epoch %d list %d gen %d)",
						name, n.allocator.Rights(n.clock(sim.now), id), n.epoch, n.knownList, n.knownGeneration))
				}
			}
			return fmt.Sprintf("at %v %v: %.4f in use, quota %.4f: %s", sim.now, id.Name, sum, sim.sizes[oldest], strings.Join(parts, ", "))
		}
	}
	if len(sim.sizes) == 2 { // the size never changes: check that no window of real time has more uses
		sim.uses = slices.DeleteFunc(sim.uses, func(u usage) bool { return u.at <= sim.now-300*ms })
		sum := 0.0
		for _, u := range sim.uses {
			sum += u.amount
		}
		if sum > sim.sizes[1]*(1+1e-9) {
			return fmt.Sprintf("at %v: %.3f uses in a window, quota %.0f", sim.now, sum, sim.sizes[1])
		}
	}
	return ""
}

// stopOrStart ends a member's process, or starts its next incarnation.
func (sim *simulation) stopOrStart(n *node) {
	if n.allocator != nil {
		n.allocator, n.inbox, n.paused = nil, nil, false
		if sim.r.IntN(2) == 0 {
			n.snapshot = nil
		}
		n.knownList, n.knownGeneration = n.oldestKnown() // versions received after the snapshot and acknowledged to no one are lost
		return
	}
	n.epoch++
	n.clockOffset += time.Duration(sim.r.Int64N(int64(time.Minute))) - 30*time.Second
	if n.snapshot != nil {
		a, err := Restore(n.cfg, n.epoch, n.clock(sim.now), *n.snapshot)
		must(err)
		n.allocator = a
		n.knownList, n.knownGeneration = a.newestList, a.quotas[rateID].Generation
		a.disabled = sim.disabled
		return
	}
	a, err := New(n.cfg, n.epoch, n.clock(sim.now), !sim.disabled.startUsable)
	must(err)
	a.disabled = sim.disabled
	n.allocator = a
	n.knownList, n.knownGeneration = uint64(len(sim.lists)-1), uint64(len(sim.sizes)-1)
	list, gen := n.knownList, n.knownGeneration
	for _, o := range sim.nodes {
		l, g := o.oldestKnown()
		list, gen = min(list, l), min(gen, g)
	}
	sim.announce(n, n.knownGeneration, gen, n.knownList, list)
}

func (sim *simulation) injectFault(sizes, lists bool) {
	n := sim.nodes[sim.names[sim.r.IntN(len(sim.names))]]
	switch sim.r.IntN(12) {
	case 0:
		n.paused = !n.paused
	case 1:
		sim.stopOrStart(n)
	case 2:
		sim.partitioned[n.cfg.Self] = !sim.partitioned[n.cfg.Self]
	case 3:
		clear(sim.partitioned)
		for _, name := range sim.names {
			n := sim.nodes[name]
			n.paused = false
			if n.allocator == nil {
				sim.stopOrStart(n)
			}
		}
	case 4:
		if sizes {
			sim.sizes = append(sim.sizes, float64(10+sim.r.IntN(200)))
		}
	case 5:
		if lists {
			l := List{Version: uint64(len(sim.lists))}
			for _, name := range sim.names {
				if sim.r.IntN(4) > 0 {
					l.Members = append(l.Members, Member{Name: name})
				}
			}
			sim.lists = append(sim.lists, l)
		}
	case 6, 7, 8:
		if n.allocator != nil && !n.paused {
			gen := min(n.knownGeneration+uint64(sim.r.IntN(2)), uint64(len(sim.sizes)-1))
			list := min(n.knownList+uint64(sim.r.IntN(2)), uint64(len(sim.lists)-1))
			sim.announce(n, gen, 1, list, 1)
		}
	default:
		for _, id := range []ID{rateID, countID} {
			n.inbox = append(n.inbox, Event{Demand: &Demand{id, float64(sim.r.IntN(4) * 40)}})
		}
	}
}

// simulate runs one simulation and returns the first violation.
func simulate(seed uint64, size, steps int, sizes, lists bool, disabled disabledRules) string {
	return newSimulation(seed, size, disabled).run(steps, sizes, lists)
}

func (sim *simulation) run(steps int, sizes, lists bool) string {
	sim.lossProbability, sim.longDelayProbability = sim.r.Float64()*0.3, sim.r.Float64()*0.2
	for range steps {
		sim.tick(time.Duration(sim.r.Int64N(int64(10 * ms))))
		if sim.r.IntN(10) == 0 {
			sim.injectFault(sizes, lists)
		}
		for _, name := range sim.names {
			n := sim.nodes[name]
			if n.allocator == nil || n.paused {
				continue
			}
			if len(n.inbox) > 0 || sim.r.IntN(4) == 0 {
				sim.step(n)
				if v := sim.violation(); v != "" {
					return v
				}
			}
			if k := float64(sim.r.IntN(6)); n.allocator.Use(n.clock(sim.now), countID, k) {
				sim.uses = append(sim.uses, usage{sim.now, k})
			}
		}
		if v := sim.violation(); v != "" {
			return v
		}
	}
	return ""
}

func TestRightsNeverExceedQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		size := rapid.IntRange(2, 12).Draw(t, "members")
		sizes, lists := rapid.Bool().Draw(t, "sizes change"), rapid.Bool().Draw(t, "lists change")
		sim := newSimulation(seed, size, disabledRules{})
		if rapid.Bool().Draw(t, "versions in random order") {
			sim.versionOrder = rand.New(rand.NewPCG(seed, 25))
		}
		if v := sim.run(2000, sizes, lists); v != "" {
			t.Fatal(v)
		}
	})
}

func TestEachRuleIsNeeded(t *testing.T) {
	for name, disabled := range map[string]disabledRules{
		"loan measured from receipt": {durationFromReceipt: true}, "lender without margin": {noMargin: true}, "grant counted twice": {duplicateGrant: true},
		"new incarnation does not wait for earlier loans": {startUsable: true}, "rights not checked after a pause": {staleTime: true}, "waits for no acknowledgement": {ignorePeers: true},
		"lender uses a returned count at once": {noWindowWait: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				if v := simulate(seed, 2+int(seed%5), 2000, disabled.ignorePeers, disabled.ignorePeers, disabled); v != "" {
					t.Logf("seed %d: %s", seed, v)
					return
				}
			}
			t.Fatal("no violation in 200 simulations without this rule")
		})
	}
}

// runWithoutFaults steps every member each 5 ms without faults.
func (sim *simulation) runWithoutFaults(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.tick(5 * ms)
		for _, name := range sim.names {
			if n := sim.nodes[name]; n.allocator != nil && !n.paused {
				sim.step(n)
			}
		}
	}
}

func (sim *simulation) rateRights(i int) float64 {
	n := sim.nodes[sim.names[i]]
	return n.allocator.Rights(n.clock(sim.now), rateID)
}

// A member with demand borrows at least 0.8 of the quota within the given round trips and keeps it. In a partition all
// members keep their shares. Loans return when the demand ends. A round trip takes at most 50 ms here; the State
// messages have to arrive first.
func TestBorrowsUnusedShares(t *testing.T) {
	for _, size := range []int{2, 8, 32} {
		sim := newSimulation(1, size, disabledRules{})
		sim.runWithoutFaults(200 * ms)
		sim.nodes["m00"].inbox = append(sim.nodes["m00"].inbox, Event{Demand: &Demand{rateID, 100}})
		start := sim.now
		for sim.rateRights(0) < 80 && sim.now-start < time.Minute {
			sim.runWithoutFaults(5 * ms)
		}
		roundTrips := (sim.now - start).Seconds() / 0.05
		t.Logf("%d members: 0.8 of the quota after %.1f round trips", size, roundTrips)
		if roundTrips > 2+float64(size)/2 {
			t.Errorf("%d members: %.1f round trips", size, roundTrips)
		}
		lowest := 100.0
		for range 600 {
			sim.runWithoutFaults(5 * ms)
			lowest = min(lowest, sim.rateRights(0))
		}
		t.Logf("%d members: lowest in the next 3 s: %.1f", size, lowest)
		if lowest < 80 {
			t.Errorf("%d members: rights fell to %.1f", size, lowest)
		}
		for _, name := range sim.names[1:] { // partition: the borrower keeps its own share and the others get theirs back
			sim.partitioned[name] = true
		}
		sim.runWithoutFaults(2 * time.Second)
		for i := range size {
			if got, share := sim.rateRights(i), 100/float64(size); got < share*0.999 || got > share*1.001 {
				t.Errorf("%d members, partition: m%02d has %.2f, its share is %.2f", size, i, got, share)
			}
		}
		clear(sim.partitioned)
		sim.runWithoutFaults(time.Duration(size)*50*ms + time.Second)
		if got := sim.rateRights(0); got < 80 {
			t.Errorf("%d members: %.1f after the partition healed", size, got)
		}
		sim.nodes["m00"].inbox = append(sim.nodes["m00"].inbox, Event{Demand: &Demand{rateID, 0}})
		sim.runWithoutFaults(time.Second)
		if got := sim.rateRights(size - 1); got < 99.9/float64(size) {
			t.Errorf("%d members: lender has %.2f after the loans ended", size, got)
		}
	}
}

func TestLostStateWaitsForEarlierLoans(t *testing.T) {
	cfg := testConfig("m00")
	a, _ := New(cfg, 2, 0, true)
	must(a.SetQuota(0, Quota{ID: rateID, Size: 10, Generation: 3, OldestInUse: 3}))
	must(a.SetMembers(List{Version: 2, OldestInUse: 2, Members: []Member{{Name: "m00"}, {Name: "m01"}}}))
	loansEnd := cfg.MaxLoanDuration*6/5 + cfg.ClockMargin
	got := []float64{a.Rights(loansEnd-1, rateID), a.Rights(loansEnd, rateID)}
	if d := cmp.Diff([]float64{0, 5}, got); d != "" {
		t.Error(d)
	}
	requestTo := func(epoch uint64) Event {
		return Event{Message: &Message{
			From: "m01", FromEpoch: 1, To: "m00", ToEpoch: epoch,
			Request: &Request{Quota: rateID, Number: 1, Loan: 1, Fraction: 0.5, Duration: cfg.MaxLoanDuration},
		}}
	}
	a.Step(loansEnd, 0, []Event{requestTo(1)})
	if r := a.Rights(loansEnd, rateID); r != 5 {
		t.Errorf("a request to the earlier epoch was granted: rights %v", r)
	}
	a.Step(loansEnd, 0, []Event{requestTo(2), requestTo(2), {Message: &Message{From: "m01", FromEpoch: 1, To: "m00", ToEpoch: 1, Return: &Return{rateID, 1}}}})
	if r := a.Rights(loansEnd, rateID); r != 2.5 {
		t.Errorf("rights %v: want 2.5, as a duplicate request counts once and a return to the earlier epoch is dropped", r)
	}
}

func newLoadedAllocator(members, quotas int) (*Allocator, []Event) {
	a, _ := New(Default("m000"), 1, 0, false)
	l, s := List{Version: 1}, &State{List: 1}
	for i := range quotas {
		id := ID{fmt.Sprintf("peer-%02d", i), "limit"}
		must(a.SetQuota(0, Quota{ID: id, Size: 1000, Generation: 1}))
		s.Quotas = append(s.Quotas, QuotaStatus{id, 1, 0.5})
	}
	for i := range members {
		l.Members = append(l.Members, Member{Name: fmt.Sprintf("m%03d", i)})
	}
	must(a.SetMembers(l))
	var events []Event
	for _, m := range l.Members[1:] {
		events = append(events, Event{Message: &Message{From: m.Name, FromEpoch: 1, State: s}})
	}
	return a, events
}

func BenchmarkUse(b *testing.B) {
	allocator, events := newLoadedAllocator(300, 60)
	allocator.Step(0, 0, events)
	id := allocator.sortedQuotas[7].ID
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		allocator.Use(now, id, 1)
	}
}

func BenchmarkStep(b *testing.B) {
	for _, states := range []int{0, 10} {
		b.Run(fmt.Sprintf("states=%d", states), func(b *testing.B) {
			allocator, events := newLoadedAllocator(300, 60)
			for _, qs := range allocator.sortedQuotas {
				qs.demand = 30
			}
			allocator.Step(0, 0, events)
			now := time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				now += 10 * ms
				allocator.Step(now, 0.5, events[:states])
			}
		})
	}
}
