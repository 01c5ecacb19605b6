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
	periodStart time.Duration     // start of the monitor's period
	slotSeconds map[*flow]float64 // slot-seconds of the calls that ended in this period
	penalty     map[*flow]float64
}

type call struct {
	flow      *flow
	startedAt time.Duration
}

func newModel(t *rapid.T) *model {
	w := &model{
		scheduler: newScheduler(rapid.IntRange(1, 9).Draw(t, "slots")),
		startTags: map[*flow][]float64{}, finishTags: map[*flow][]float64{}, lastFinish: map[*flow]float64{},
		slotSeconds: map[*flow]float64{}, penalty: map[*flow]float64{},
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "flows") {
		weight := rapid.SampledFrom([]float64{0, 0.5, 1, 3}).Draw(t, "weight")
		w.flows = append(w.flows, &flow{Flow: Flow{Weight: weight}, name: fmt.Sprint("f", i)})
	}
	return w
}

func (w *model) drawFlow(t *rapid.T) *flow { return rapid.SampledFrom(w.flows).Draw(t, "flow") }

func (w *model) addTurn(t *rapid.T) {
	f, cost := w.drawFlow(t), rapid.Float64Range(0.25, 8).Draw(t, "cost")
	v := w.scheduler.virtualTime
	if len(w.calls) == 0 {
		v = max(v, w.maxFinish)
	}
	if w.scheduler.AddTurn(f, cost, w.now); w.scheduler.virtualTime != v {
		t.Fatalf("virtual time is %v, want %v", w.scheduler.virtualTime, v)
	}
	start := max(v, w.lastFinish[f])
	w.lastFinish[f] = start + cost/cmp.Or(f.Weight, 1)
	w.startTags[f], w.finishTags[f] = append(w.startTags[f], start), append(w.finishTags[f], w.lastFinish[f])
}

func (w *model) removeLastTurn(t *rapid.T) {
	f := w.drawFlow(t)
	n := f.QueuedTurns() - 1
	if n < 0 {
		t.Skip("no turn queued")
	}
	w.scheduler.RemoveLastTurn(f)
	w.lastFinish[f] = w.startTags[f][n]
	w.startTags[f], w.finishTags[f] = w.startTags[f][:n], w.finishTags[f][:n]
}

// dispatch starts calls until no flow is next. Some flows are not eligible, others get extra turns.
func (w *model) dispatch(t *rapid.T) {
	ineligible, extraTurns := map[*flow]bool{}, map[*flow]float64{}
	for _, f := range w.flows {
		ineligible[f] = rapid.IntRange(0, 3).Draw(t, "ineligible") == 0
		extraTurns[f] = rapid.SampledFrom([]float64{0, 0, 1, 2.5}).Draw(t, "extra turns")
	}
	for {
		var want *flow
		lowest := math.Inf(1)
		for _, f := range w.scheduler.ActiveFlows {
			limit := max(w.scheduler.Slots*3/4, 1)
			if f.Degraded {
				limit = max(w.scheduler.Slots/2, 1)
			}
			if len(w.startTags[f]) == 0 || ineligible[f] || w.inFlight(f) >= limit || len(w.calls) >= w.scheduler.Slots {
				continue
			}
			if tag := w.startTags[f][0] + f.Penalty() + extraTurns[f]; tag < lowest {
				want, lowest = f, tag
			}
		}
		lowest = math.Inf(1)
		got, found := w.scheduler.Next(func(f *flow) (float64, bool) {
			if w.startTags[f][0]+f.Penalty() >= lowest {
				t.Fatalf("%s was offered though it can't be next", f.name)
			}
			if !ineligible[f] {
				lowest = min(lowest, w.startTags[f][0]+f.Penalty()+extraTurns[f])
			}
			return extraTurns[f], !ineligible[f]
		})
		if found != (want != nil) || found && got != want {
			t.Fatalf("next is %v, want %v", got, want)
		}
		if !found {
			return
		}
		w.scheduler.StartCall(got, w.now)
		w.calls = append(w.calls, call{got, w.now})
		w.maxFinish = max(w.maxFinish, w.finishTags[got][0])
		w.startTags[got], w.finishTags[got] = w.startTags[got][1:], w.finishTags[got][1:]
		if w.scheduler.BusySlots > w.scheduler.Slots {
			t.Fatalf("%d slots of %d in use", w.scheduler.BusySlots, w.scheduler.Slots)
		}
	}
}

func (w *model) endCall(t *rapid.T) {
	if len(w.calls) == 0 {
		t.Skip("no call in flight")
	}
	i := rapid.IntRange(0, len(w.calls)-1).Draw(t, "call")
	c := w.calls[i]
	w.calls = append(w.calls[:i], w.calls[i+1:]...)
	seconds := (w.now - c.startedAt).Seconds()
	wantOwn, wantAll := mean(c.flow.MeanSlotSeconds, seconds, 8), mean(w.scheduler.MeanSlotSeconds, seconds, 32)
	if w.scheduler.EndCall(c.flow, seconds, w.now); c.flow.MeanSlotSeconds != wantOwn || w.scheduler.MeanSlotSeconds != wantAll {
		t.Fatalf("means are %v and %v, want %v and %v", c.flow.MeanSlotSeconds, w.scheduler.MeanSlotSeconds, wantOwn, wantAll)
	}
	w.slotSeconds[c.flow] += (w.now - max(c.startedAt, w.periodStart)).Seconds()
}

func mean(previous, x, n float64) float64 {
	if previous == 0 {
		return x
	}
	return previous + (x-previous)/n
}

func (w *model) advanceTime(t *rapid.T) {
	w.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
	if periodEnded := w.now >= w.periodEnd; w.scheduler.Tick(w.now) != periodEnded {
		t.Fatalf("at %v: period ended: want %v", w.now, periodEnded)
	} else if !periodEnded {
		return
	}
	w.periodEnd = w.now + w.scheduler.MonitorPeriod
	for _, c := range w.calls {
		w.slotSeconds[c.flow] += (w.now - max(c.startedAt, w.periodStart)).Seconds()
	}
	minUse := math.Inf(1)
	for _, f := range w.flows {
		if f.QueuedTurns() > 0 {
			minUse = min(minUse, w.slotSeconds[f]/cmp.Or(f.Weight, 1))
		}
	}
	for _, f := range w.flows {
		w.checkPenalty(t, f, w.slotSeconds[f]/cmp.Or(f.Weight, 1)-minUse)
	}
	w.periodStart, w.slotSeconds = w.now, map[*flow]float64{}
}

// checkPenalty checks the penalty of a flow whose use per weight exceeds that of the least used flow by excess.
func (w *model) checkPenalty(t *rapid.T, f *flow, excess float64) {
	tolerance := w.scheduler.Tolerance * w.scheduler.MeanSlotSeconds
	if math.Abs(excess-tolerance) < 1e-9 { // too close to the tolerance: rounding decides
		w.penalty[f] = f.Penalty()
	} else if excess > tolerance && f.MeanSlotSeconds > 0 {
		w.penalty[f] = excess * cmp.Or(f.Weight, 1) / f.MeanSlotSeconds
	} else if w.penalty[f] /= 2; w.penalty[f] < 0.5 {
		w.penalty[f] = 0
	}
	if f.QueuedTurns()+f.InFlight() == 0 {
		w.penalty[f], w.lastFinish[f] = 0, 0
	}
	if math.Abs(f.Penalty()-w.penalty[f]) > 1e-6*max(1, w.penalty[f]) {
		t.Fatalf("%s has a penalty of %v calls, want %v", f.name, f.Penalty(), w.penalty[f])
	}
}

func (w *model) toggleDegraded(t *rapid.T) {
	f := w.drawFlow(t)
	f.Degraded = !f.Degraded
}

func (w *model) inFlight(f *flow) int {
	n := 0
	for _, c := range w.calls {
		if c.flow == f {
			n++
		}
	}
	return n
}

func (w *model) checkInvariants(t *rapid.T) {
	if w.scheduler.virtualTime < w.virtualTime {
		t.Fatalf("virtual time decreased from %v to %v", w.virtualTime, w.scheduler.virtualTime)
	}
	w.virtualTime = w.scheduler.virtualTime
	listed := map[*flow]int{}
	for _, f := range w.scheduler.ActiveFlows {
		listed[f]++
	}
	for _, f := range w.flows {
		if f.QueuedTurns() != len(w.startTags[f]) || f.InFlight() != w.inFlight(f) {
			t.Fatalf("%s has %d turns and %d calls, want %d and %d", f.name, f.QueuedTurns(), f.InFlight(), len(w.startTags[f]), w.inFlight(f))
		}
		for i, turn := range f.turns {
			if turn.start != w.startTags[f][i] || turn.finish != w.finishTags[f][i] {
				t.Fatalf("%s has turn %v, want tags %v and %v", f.name, turn, w.startTags[f][i], w.finishTags[f][i])
			}
		}
		if f.QueuedTurns()+f.InFlight() > 0 && listed[f] == 0 || listed[f] > 1 {
			t.Fatalf("%s is active %d times", f.name, listed[f])
		}
		if listed[f] == 0 && (f.lastFinish != 0 || f.penalty != 0 || f.slotSeconds != 0) {
			t.Fatalf("%s is idle but kept its state: %+v", f.name, f.Flow)
		}
	}
}

// TestSchedulerMatchesModel checks at random that the next flow is the eligible one with the lowest start tag plus
// penalty, that calls start while a slot is free and a flow is eligible, that the slot limit holds, that tags and
// penalties have their defined values, that virtual time never decreases, and that idle flows lose their state.
func TestSchedulerMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"": w.checkInvariants, "new turn": w.addTurn, "new turn again": w.addTurn, "undo last turn": w.removeLastTurn,
			"dispatch": w.dispatch, "end call": w.endCall, "pass time": w.advanceTime, "toggle degraded": w.toggleDegraded,
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

func (d *backlog) addFlow(name string, weight float64, callTime time.Duration) *flow {
	f := &flow{Flow: Flow{Weight: weight}, name: name}
	d.callTimes[f] = callTime
	return f
}

// run keeps these flows backlogged for the given time.
func (d *backlog) run(length time.Duration, flows ...*flow) {
	for end := d.now + length; d.now < end; d.now += 10 * time.Millisecond {
		for i := 0; i < len(d.calls); i++ {
			if c := d.calls[i]; d.now-c.startedAt >= d.callTimes[c.flow] {
				d.calls = append(d.calls[:i], d.calls[i+1:]...)
				d.scheduler.EndCall(c.flow, (d.now - c.startedAt).Seconds(), d.now)
				d.slotSeconds[c.flow] += (d.now - c.startedAt).Seconds()
				i--
			}
		}
		d.scheduler.Tick(d.now)
		for _, f := range flows {
			for f.QueuedTurns() < d.scheduler.Slots { // enough for all slots that become free at once
				d.scheduler.AddTurn(f, cmp.Or(d.cost, d.scheduler.Cost(f)), d.now)
			}
		}
		for f, found := d.scheduler.Next(offerAll); found; f, found = d.scheduler.Next(offerAll) {
			d.scheduler.StartCall(f, d.now)
			d.callCounts[f]++
			d.calls = append(d.calls, call{f, d.now})
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
