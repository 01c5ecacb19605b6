package asfq

import (
	"cmp"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// flow is a caller's record of a destination.
type flow struct {
	Flow
	name string
}

func newScheduler(slots int) *Scheduler[*flow] {
	return &Scheduler[*flow]{Slots: slots, MonitorPeriod: time.Second, Tolerance: 2}
}

// offerAll makes every flow eligible.
func offerAll(*flow) (float64, bool) { return 0, true }

// model calls the scheduler at random and computes tags and penalties a second time, independently.
type model struct {
	scheduler   *Scheduler[*flow]
	flows       []*flow
	now         time.Duration
	calls       []call
	startTags   map[*flow][]float64 // expected start tags of the queued turns
	finishTags  map[*flow][]float64
	lastFinish  map[*flow]float64
	virtualTime float64 // largest value seen
	maxFinish   float64 // largest finish tag of the calls started
	periodEnd   time.Duration
	periodStart time.Duration
	slotSeconds map[*flow]float64 // slot-seconds of the calls that ended in this period
	penalty     map[*flow]float64
}

type call struct {
	flow      *flow
	startedAt time.Duration
}

func newModel(t *rapid.T) *model {
	m := &model{
		scheduler: newScheduler(rapid.IntRange(1, 9).Draw(t, "slots")),
		startTags: map[*flow][]float64{}, finishTags: map[*flow][]float64{}, lastFinish: map[*flow]float64{},
		slotSeconds: map[*flow]float64{}, penalty: map[*flow]float64{},
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "flows") {
		weight := rapid.SampledFrom([]float64{0, 0.5, 1, 3}).Draw(t, "weight")
		m.flows = append(m.flows, &flow{Flow: Flow{Weight: weight}, name: fmt.Sprint("f", i)})
	}
	return m
}

func (m *model) drawFlow(t *rapid.T) *flow { return rapid.SampledFrom(m.flows).Draw(t, "flow") }

func (m *model) addTurn(t *rapid.T) {
	f, cost := m.drawFlow(t), rapid.Float64Range(0.25, 8).Draw(t, "cost")
	v := m.scheduler.virtualTime
	if len(m.calls) == 0 {
		v = max(v, m.maxFinish)
	}
	if m.scheduler.AddTurn(f, cost, m.now); m.scheduler.virtualTime != v {
		t.Fatalf("virtual time is %v, want %v", m.scheduler.virtualTime, v)
	}
	start := max(v, m.lastFinish[f])
	m.lastFinish[f] = start + cost/cmp.Or(f.Weight, 1)
	m.startTags[f], m.finishTags[f] = append(m.startTags[f], start), append(m.finishTags[f], m.lastFinish[f])
}

func (m *model) removeLastTurn(t *rapid.T) {
	f := m.drawFlow(t)
	n := f.QueuedTurns() - 1
	if n < 0 {
		t.Skip("no turn queued")
	}
	m.scheduler.RemoveLastTurn(f)
	m.lastFinish[f] = m.startTags[f][n]
	m.startTags[f], m.finishTags[f] = m.startTags[f][:n], m.finishTags[f][:n]
}

// dispatch starts calls until no flow is next. Some flows are not eligible, others get extra turns.
func (m *model) dispatch(t *rapid.T) {
	ineligible, extraTurns := map[*flow]bool{}, map[*flow]float64{}
	for _, f := range m.flows {
		ineligible[f] = rapid.IntRange(0, 3).Draw(t, "ineligible") == 0
		extraTurns[f] = rapid.SampledFrom([]float64{0, 0, 1, 2.5}).Draw(t, "extra turns")
	}
	for {
		var want *flow
		lowest := math.Inf(1)
		for _, f := range m.scheduler.ActiveFlows {
			limit := max(m.scheduler.Slots*3/4, 1)
			if f.Degraded {
				limit = max(m.scheduler.Slots/2, 1)
			}
			if len(m.startTags[f]) == 0 || ineligible[f] || m.inFlight(f) >= limit || len(m.calls) >= m.scheduler.Slots {
				continue
			}
			if tag := m.startTags[f][0] + f.Penalty() + extraTurns[f]; tag < lowest {
				want, lowest = f, tag
			}
		}
		lowest = math.Inf(1)
		got, found := m.scheduler.Next(func(f *flow) (float64, bool) {
			if m.startTags[f][0]+f.Penalty() >= lowest {
				t.Fatalf("%s was offered though it can't be next", f.name)
			}
			if !ineligible[f] {
				lowest = min(lowest, m.startTags[f][0]+f.Penalty()+extraTurns[f])
			}
			return extraTurns[f], !ineligible[f]
		})
		if found != (want != nil) || found && got != want {
			t.Fatalf("next is %v, want %v", got, want)
		}
		if !found {
			return
		}
		m.scheduler.StartCall(got, m.now)
		m.calls = append(m.calls, call{got, m.now})
		m.maxFinish = max(m.maxFinish, m.finishTags[got][0])
		m.startTags[got], m.finishTags[got] = m.startTags[got][1:], m.finishTags[got][1:]
		if m.scheduler.BusySlots > m.scheduler.Slots {
			t.Fatalf("%d slots of %d in use", m.scheduler.BusySlots, m.scheduler.Slots)
		}
	}
}

func (m *model) endCall(t *rapid.T) {
	if len(m.calls) == 0 {
		t.Skip("no call in flight")
	}
	i := rapid.IntRange(0, len(m.calls)-1).Draw(t, "call")
	c := m.calls[i]
	m.calls = append(m.calls[:i], m.calls[i+1:]...)
	seconds := (m.now - c.startedAt).Seconds()
	wantOwn, wantAll := mean(c.flow.MeanSlotSeconds, seconds, 8), mean(m.scheduler.MeanSlotSeconds, seconds, 32)
	if m.scheduler.EndCall(c.flow, seconds, m.now); c.flow.MeanSlotSeconds != wantOwn || m.scheduler.MeanSlotSeconds != wantAll {
		t.Fatalf("means are %v and %v, want %v and %v", c.flow.MeanSlotSeconds, m.scheduler.MeanSlotSeconds, wantOwn, wantAll)
	}
	m.slotSeconds[c.flow] += (m.now - max(c.startedAt, m.periodStart)).Seconds()
}

func mean(previous, x, n float64) float64 {
	if previous == 0 {
		return x
	}
	return previous + (x-previous)/n
}

func (m *model) advanceTime(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
	if periodEnded := m.now >= m.periodEnd; m.scheduler.Tick(m.now) != periodEnded {
		t.Fatalf("at %v: period ended: want %v", m.now, periodEnded)
	} else if !periodEnded {
		return
	}
	m.periodEnd = m.now + m.scheduler.MonitorPeriod
	for _, c := range m.calls {
		m.slotSeconds[c.flow] += (m.now - max(c.startedAt, m.periodStart)).Seconds()
	}
	minUse := math.Inf(1)
	for _, f := range m.flows {
		if f.QueuedTurns() > 0 {
			minUse = min(minUse, m.slotSeconds[f]/cmp.Or(f.Weight, 1))
		}
	}
	for _, f := range m.flows {
		m.checkPenalty(t, f, m.slotSeconds[f]/cmp.Or(f.Weight, 1)-minUse)
	}
	m.periodStart, m.slotSeconds = m.now, map[*flow]float64{}
}

// checkPenalty checks the penalty of a flow whose use per weight exceeds that of the least used flow by excess.
func (m *model) checkPenalty(t *rapid.T, f *flow, excess float64) {
	tolerance := m.scheduler.Tolerance * m.scheduler.MeanSlotSeconds
	if math.Abs(excess-tolerance) < 1e-9 { // too close to the tolerance: rounding decides
		m.penalty[f] = f.Penalty()
	} else if excess > tolerance && f.MeanSlotSeconds > 0 {
		m.penalty[f] = excess * cmp.Or(f.Weight, 1) / f.MeanSlotSeconds
	} else if m.penalty[f] /= 2; m.penalty[f] < 0.5 {
		m.penalty[f] = 0
	}
	if f.QueuedTurns()+f.InFlight() == 0 {
		m.penalty[f], m.lastFinish[f] = 0, 0
	}
	if math.Abs(f.Penalty()-m.penalty[f]) > 1e-6*max(1, m.penalty[f]) {
		t.Fatalf("%s has a penalty of %v calls, want %v", f.name, f.Penalty(), m.penalty[f])
	}
}

func (m *model) toggleDegraded(t *rapid.T) {
	f := m.drawFlow(t)
	f.Degraded = !f.Degraded
}

func (m *model) inFlight(f *flow) int {
	n := 0
	for _, c := range m.calls {
		if c.flow == f {
			n++
		}
	}
	return n
}

func (m *model) checkInvariants(t *rapid.T) {
	if m.scheduler.virtualTime < m.virtualTime {
		t.Fatalf("virtual time decreased from %v to %v", m.virtualTime, m.scheduler.virtualTime)
	}
	m.virtualTime = m.scheduler.virtualTime
	activeCount := map[*flow]int{}
	for _, f := range m.scheduler.ActiveFlows {
		activeCount[f]++
	}
	for _, f := range m.flows {
		if f.QueuedTurns() != len(m.startTags[f]) || f.InFlight() != m.inFlight(f) {
			t.Fatalf("%s has %d turns and %d calls, want %d and %d", f.name, f.QueuedTurns(), f.InFlight(), len(m.startTags[f]), m.inFlight(f))
		}
		for i, turn := range f.turns {
			if turn.start != m.startTags[f][i] || turn.finish != m.finishTags[f][i] {
				t.Fatalf("%s has turn %v, want tags %v and %v", f.name, turn, m.startTags[f][i], m.finishTags[f][i])
			}
		}
		if f.QueuedTurns()+f.InFlight() > 0 && activeCount[f] == 0 || activeCount[f] > 1 {
			t.Fatalf("%s is active %d times", f.name, activeCount[f])
		}
		if activeCount[f] == 0 && (f.lastFinish != 0 || f.penalty != 0 || f.slotSeconds != 0) {
			t.Fatalf("%s is idle but kept its state: %+v", f.name, f.Flow)
		}
	}
}

// TestSchedulerMatchesModel checks at random that the next flow is the eligible one with the lowest start tag plus
// penalty, that calls start while a slot is free and a flow is eligible, that the slot limit holds, that tags and
// penalties have their defined values, that virtual time never decreases, and that idle flows lose their state.
func TestSchedulerMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.checkInvariants, "new turn": m.addTurn, "new turn again": m.addTurn, "undo last turn": m.removeLastTurn,
			"dispatch": m.dispatch, "end call": m.endCall, "pass time": m.advanceTime, "toggle degraded": m.toggleDegraded,
		})
	})
}

// backlog keeps every flow's queue filled, gives each flow's calls a fixed duration and counts the calls.
type backlog struct {
	scheduler   *Scheduler[*flow]
	now         time.Duration
	calls       []call
	callTimes   map[*flow]time.Duration
	callCounts  map[*flow]float64
	slotSeconds map[*flow]float64
	cost        float64 // cost of each turn; 0: Scheduler.Cost of the flow
}

func newBacklog(slots int) *backlog {
	return &backlog{scheduler: newScheduler(slots), callTimes: map[*flow]time.Duration{}, callCounts: map[*flow]float64{}, slotSeconds: map[*flow]float64{}}
}

func (b *backlog) addFlow(name string, weight float64, callTime time.Duration) *flow {
	f := &flow{Flow: Flow{Weight: weight}, name: name}
	b.callTimes[f] = callTime
	return f
}

// run keeps these flows backlogged for the given time.
func (b *backlog) run(length time.Duration, flows ...*flow) {
	for end := b.now + length; b.now < end; b.now += 10 * time.Millisecond {
		for i := 0; i < len(b.calls); i++ {
			if c := b.calls[i]; b.now-c.startedAt >= b.callTimes[c.flow] {
				b.calls = append(b.calls[:i], b.calls[i+1:]...)
				b.scheduler.EndCall(c.flow, (b.now - c.startedAt).Seconds(), b.now)
				b.slotSeconds[c.flow] += (b.now - c.startedAt).Seconds()
				i--
			}
		}
		b.scheduler.Tick(b.now)
		for _, f := range flows {
			for f.QueuedTurns() < b.scheduler.Slots { // enough for all slots that become free at once
				b.scheduler.AddTurn(f, cmp.Or(b.cost, b.scheduler.Cost(f)), b.now)
			}
		}
		for f, found := b.scheduler.Next(offerAll); found; f, found = b.scheduler.Next(offerAll) {
			b.scheduler.StartCall(f, b.now)
			b.callCounts[f]++
			b.calls = append(b.calls, call{f, b.now})
		}
	}
}

func TestCallsAreProportionalToWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newBacklog(rapid.IntRange(1, 12).Draw(t, "slots"))
		d.cost, d.scheduler.Tolerance = 1, math.Inf(1) // only the tags decide
		var flows []*flow
		for i := range rapid.IntRange(3, 5).Draw(t, "flows") { // with three flows, no share exceeds the slot limit
			weight := rapid.SampledFrom([]float64{1, 1.5, 2}).Draw(t, "weight")
			flows = append(flows, d.addFlow(fmt.Sprint("f", i), weight, 50*time.Millisecond))
		}
		d.run(20*time.Second, flows...)
		for _, a := range flows {
			for _, b := range flows {
				// Start-time fair queuing allows a difference of one call per slot for each flow.
				if difference := d.callCounts[a]/a.Weight - d.callCounts[b]/b.Weight; difference > 2*float64(d.scheduler.Slots) {
					t.Fatalf("%s started %v calls at weight %v, %s %v at weight %v", a.name, d.callCounts[a], a.Weight, b.name, d.callCounts[b], b.Weight)
				}
			}
		}
	})
}

// TestMonitorPenalizesOverusersUntilUseIsEven: a flow whose call took long waits until each other flow has had as many
// calls as the excess corresponds to. Once the use is even, the penalty is halved each period.
func TestMonitorPenalizesOverusersUntilUseIsEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScheduler(1)
		s.Tick(0)
		overuser, others := &flow{name: "over"}, []*flow{}
		for i := range rapid.IntRange(1, 4).Draw(t, "other flows") {
			others = append(others, &flow{name: fmt.Sprint("f", i)})
		}
		for _, f := range append(others, overuser) {
			for range 200 {
				s.AddTurn(f, 1, 0)
			}
		}
		callTime := time.Duration(rapid.IntRange(50, 900).Draw(t, "call ms")) * time.Millisecond
		callSeconds := callTime.Seconds()
		s.StartCall(overuser, 0)
		s.EndCall(overuser, callSeconds, callTime)
		s.MeanSlotSeconds = rapid.Float64Range(0.001, 0.5).Draw(t, "mean") // mean of all flows, which scales the tolerance
		overuser.MeanSlotSeconds = rapid.Float64Range(0.01, 0.5).Draw(t, "own mean")
		s.Tick(time.Second)
		want := callSeconds / overuser.MeanSlotSeconds
		if callSeconds <= 2*s.MeanSlotSeconds {
			want = 0
		}
		if math.Abs(overuser.Penalty()-want) > 1e-9 {
			t.Fatalf("penalty of %v calls, want %v", overuser.Penalty(), want)
		}
		turnsBefore := map[*flow]float64{}
		for f, _ := s.Next(offerAll); f != overuser; f, _ = s.Next(offerAll) {
			s.StartCall(f, time.Second)
			s.EndCall(f, 0.01, time.Second)
			turnsBefore[f]++
		}
		for _, f := range others {
			if turnsBefore[f] < want || turnsBefore[f] > want+2 { // the finished call also delays it by one turn
				t.Fatalf("%s started %v calls before it, want about %v", f.name, turnsBefore[f], want)
			}
		}
		for i := 0; overuser.Penalty() > 0; i++ {
			previous := overuser.Penalty()
			if s.Tick(time.Duration(2+i) * time.Second); overuser.Penalty() > previous/2 {
				t.Fatalf("penalty of %v calls after %v, though the use is even", overuser.Penalty(), previous)
			}
		}
	})
}

func TestMonitorDividesUseByWeight(t *testing.T) {
	s := newScheduler(8)
	heavy, light := &flow{Flow: Flow{Weight: 3}, name: "heavy"}, &flow{Flow: Flow{Weight: 1}, name: "light"}
	s.Tick(0)
	for range 3 {
		s.AddTurn(heavy, 1, 0)
		s.StartCall(heavy, 0)
	}
	s.AddTurn(light, 1, 0)
	s.AddTurn(light, 1, 0)
	s.StartCall(light, 0)
	s.MeanSlotSeconds, heavy.MeanSlotSeconds, light.MeanSlotSeconds = 0.1, 0.1, 0.1
	if s.Tick(time.Second); heavy.Penalty() != 0 || light.Penalty() != 0 { // 3 s at weight 3 equal 1 s at weight 1
		t.Fatalf("penalties of %v and %v, though both use their share", heavy.Penalty(), light.Penalty())
	}
	s.AddTurn(heavy, 1, time.Second)
	s.StartCall(heavy, time.Second)
	s.Tick(2 * time.Second)
	if want := (4.0/3 - 1) * 3 / 0.1; math.Abs(heavy.Penalty()-want) > 1e-9 {
		t.Fatalf("penalty of %v calls, want %v", heavy.Penalty(), want)
	}
	for i, want := range []float64{5, 2.5, 1.25, 0.625, 0} { // within the tolerance: halved, then 0
		s.Tolerance = math.Inf(1)
		if s.Tick(time.Duration(3+i) * time.Second); math.Abs(heavy.Penalty()-want) > 1e-9 {
			t.Fatalf("penalty of %v calls, want %v", heavy.Penalty(), want)
		}
	}
}

func TestCostOfTurn(t *testing.T) {
	s := newScheduler(1)
	for _, c := range []struct{ own, all, want float64 }{{0, 0, 1}, {0, 2, 1}, {3, 2, 1.5}, {1, 2, 0.5}, {0.1, 2, 0.25}} {
		s.MeanSlotSeconds = c.all
		if got := s.Cost(&flow{Flow: Flow{MeanSlotSeconds: c.own}}); got != c.want {
			t.Errorf("a call of %v s, with a mean of %v s, costs %v, want %v", c.own, c.all, got, c.want)
		}
	}
}

func TestSlotLimitPerFlow(t *testing.T) {
	for _, c := range []struct {
		slots    int
		degraded bool
		want     int
	}{{8, false, 6}, {8, true, 4}, {4, false, 3}, {4, true, 2}, {1, false, 1}, {1, true, 1}} {
		d := newBacklog(c.slots)
		f := d.addFlow("alone", 1, time.Hour)
		f.Degraded = c.degraded
		if d.run(time.Second, f); f.InFlight() != c.want {
			t.Errorf("%d of %d slots, want %d (degraded %v)", f.InFlight(), c.slots, c.want, c.degraded)
		}
	}
}

// TestIdleFlowEarnsNoCredit: a flow that was idle while others were busy gets its share from then on, not more.
func TestIdleFlowEarnsNoCredit(t *testing.T) {
	d := newBacklog(2)
	d.cost, d.scheduler.Tolerance = 1, math.Inf(1)
	busy, idle := d.addFlow("worker", 1, 50*time.Millisecond), d.addFlow("idler", 1, 50*time.Millisecond)
	d.run(time.Second, busy, idle)
	d.run(30*time.Second, busy)
	busyBefore, idleBefore := d.callCounts[busy], d.callCounts[idle]
	d.run(2*time.Second, busy, idle)
	if difference := d.callCounts[idle] - idleBefore - (d.callCounts[busy] - busyBefore); math.Abs(difference) > 4 { // two slots, and two queued turns
		t.Fatalf("after its idle time the flow started %v more calls than the other", difference)
	}
}

func BenchmarkNext(b *testing.B) {
	for _, n := range []int{12, 300, 2900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newScheduler(n)
			for i := range n {
				s.AddTurn(&flow{Flow: Flow{lastFinish: float64((i * 7919) % n)}}, 1, 0)
			}
			for b.Loop() {
				f, _ := s.Next(offerAll)
				s.AddTurn(f, 1, 0)
				s.StartCall(f, 0)
				s.EndCall(f, 0.1, 0)
			}
		})
	}
}
