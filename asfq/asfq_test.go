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

// all offers every flow.
func all(*flow) (float64, bool) { return 0, true }

// world plays random callers against a scheduler, beside a second reckoning of the tags.
type world struct {
	s        *Scheduler[*flow]
	flows    []*flow
	now      time.Duration
	calls    []call
	starts   map[*flow][]float64 // as reckoned here
	finishes map[*flow][]float64
	last     map[*flow]float64
	v        float64 // largest seen
	finish   float64 // largest finish tag sent
	tickAt   time.Duration
	began    time.Duration     // of the monitor's period
	used     map[*flow]float64 // slot-seconds of the calls that ended in it
	delta    map[*flow]float64
}

type call struct {
	of *flow
	at time.Duration
}

func newWorld(t *rapid.T) *world {
	w := &world{
		s:      newScheduler(rapid.IntRange(1, 9).Draw(t, "slots")),
		starts: map[*flow][]float64{}, finishes: map[*flow][]float64{}, last: map[*flow]float64{},
		used: map[*flow]float64{}, delta: map[*flow]float64{},
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "flows") {
		weight := rapid.SampledFrom([]float64{0, 0.5, 1, 3}).Draw(t, "weight")
		w.flows = append(w.flows, &flow{Flow: Flow{Weight: weight}, name: fmt.Sprint("f", i)})
	}
	return w
}

func (w *world) pick(t *rapid.T) *flow { return rapid.SampledFrom(w.flows).Draw(t, "flow") }

func (w *world) hold(t *rapid.T) {
	f, cost := w.pick(t), rapid.Float64Range(0.25, 8).Draw(t, "cost")
	v := w.s.v
	if len(w.calls) == 0 {
		v = max(v, w.finish)
	}
	if w.s.AddTurn(f, cost, w.now); w.s.v != v {
		t.Fatalf("virtual time is %v, want %v", w.s.v, v)
	}
	start := max(v, w.last[f])
	w.last[f] = start + cost/cmp.Or(f.Weight, 1)
	w.starts[f], w.finishes[f] = append(w.starts[f], start), append(w.finishes[f], w.last[f])
}

func (w *world) unhold(t *rapid.T) {
	f := w.pick(t)
	n := f.QueuedTurns() - 1
	if n < 0 {
		t.Skip("nothing held")
	}
	w.s.RemoveLastTurn(f)
	w.last[f] = w.starts[f][n]
	w.starts[f], w.finishes[f] = w.starts[f][:n], w.finishes[f][:n]
}

// dispatch sends while it finds a turn, with some flows refused and some put back by the caller.
func (w *world) dispatch(t *rapid.T) {
	refused, later := map[*flow]bool{}, map[*flow]float64{}
	for _, f := range w.flows {
		refused[f] = rapid.IntRange(0, 3).Draw(t, "refused") == 0
		later[f] = rapid.SampledFrom([]float64{0, 0, 1, 2.5}).Draw(t, "later")
	}
	for {
		var want *flow
		least := math.Inf(1)
		for _, f := range w.s.ActiveFlows {
			most := max(w.s.Slots*3/4, 1)
			if f.Degraded {
				most = max(w.s.Slots/2, 1)
			}
			if len(w.starts[f]) == 0 || refused[f] || w.out(f) >= most || len(w.calls) >= w.s.Slots {
				continue
			}
			if key := w.starts[f][0] + f.Penalty() + later[f]; key < least {
				want, least = f, key
			}
		}
		least = math.Inf(1)
		got, found := w.s.Next(func(f *flow) (float64, bool) {
			if w.starts[f][0]+f.Penalty() >= least {
				t.Fatalf("%s was asked about though it can't come first", f.name)
			}
			if !refused[f] {
				least = min(least, w.starts[f][0]+f.Penalty()+later[f])
			}
			return later[f], !refused[f]
		})
		if found != (want != nil) || found && got != want {
			t.Fatalf("next is %v, want %v", got, want)
		}
		if !found {
			return
		}
		w.s.StartCall(got, w.now)
		w.calls = append(w.calls, call{got, w.now})
		w.finish = max(w.finish, w.finishes[got][0])
		w.starts[got], w.finishes[got] = w.starts[got][1:], w.finishes[got][1:]
		if w.s.BusySlots > w.s.Slots {
			t.Fatalf("%d slots of %d in use", w.s.BusySlots, w.s.Slots)
		}
	}
}

func (w *world) end(t *rapid.T) {
	if len(w.calls) == 0 {
		t.Skip("no call out")
	}
	i := rapid.IntRange(0, len(w.calls)-1).Draw(t, "call")
	c := w.calls[i]
	w.calls = append(w.calls[:i], w.calls[i+1:]...)
	seconds := (w.now - c.at).Seconds()
	own, all := mean(c.of.MeanSlotSeconds, seconds, 8), mean(w.s.MeanSlotSeconds, seconds, 32)
	if w.s.EndCall(c.of, seconds, w.now); c.of.MeanSlotSeconds != own || w.s.MeanSlotSeconds != all {
		t.Fatalf("means are %v and %v, want %v and %v", c.of.MeanSlotSeconds, w.s.MeanSlotSeconds, own, all)
	}
	w.used[c.of] += (w.now - max(c.at, w.began)).Seconds()
}

func mean(before, x, n float64) float64 {
	if before == 0 {
		return x
	}
	return before + (x-before)/n
}

func (w *world) pass(t *rapid.T) {
	w.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
	if due := w.now >= w.tickAt; w.s.Tick(w.now) != due {
		t.Fatalf("at %v a period ended: want %v", w.now, due)
	} else if !due {
		return
	}
	w.tickAt = w.now + w.s.MonitorPeriod
	for _, c := range w.calls {
		w.used[c.of] += (w.now - max(c.at, w.began)).Seconds()
	}
	least := math.Inf(1)
	for _, f := range w.flows {
		if f.QueuedTurns() > 0 {
			least = min(least, w.used[f]/cmp.Or(f.Weight, 1))
		}
	}
	for _, f := range w.flows {
		w.judge(t, f, w.used[f]/cmp.Or(f.Weight, 1)-least)
	}
	w.began, w.used = w.now, map[*flow]float64{}
}

// judge says what the monitor owes a flow that used so much more than the least used one.
func (w *world) judge(t *rapid.T, f *flow, gap float64) {
	bound := w.s.Tolerance * w.s.MeanSlotSeconds
	if math.Abs(gap-bound) < 1e-9 { // rounding decides
		w.delta[f] = f.Penalty()
	} else if gap > bound && f.MeanSlotSeconds > 0 {
		w.delta[f] = gap * cmp.Or(f.Weight, 1) / f.MeanSlotSeconds
	} else if w.delta[f] /= 2; w.delta[f] < 0.5 {
		w.delta[f] = 0
	}
	if f.QueuedTurns()+f.InFlight() == 0 {
		w.delta[f], w.last[f] = 0, 0
	}
	if math.Abs(f.Penalty()-w.delta[f]) > 1e-6*max(1, w.delta[f]) {
		t.Fatalf("%s is set back by %v calls, want %v", f.name, f.Penalty(), w.delta[f])
	}
}

func (w *world) trouble(t *rapid.T) {
	f := w.pick(t)
	f.Degraded = !f.Degraded
}

func (w *world) out(f *flow) int {
	n := 0
	for _, c := range w.calls {
		if c.of == f {
			n++
		}
	}
	return n
}

func (w *world) check(t *rapid.T) {
	if w.s.v < w.v {
		t.Fatalf("virtual time fell from %v to %v", w.v, w.s.v)
	}
	w.v = w.s.v
	listed := map[*flow]int{}
	for _, f := range w.s.ActiveFlows {
		listed[f]++
	}
	for _, f := range w.flows {
		if f.QueuedTurns() != len(w.starts[f]) || f.InFlight() != w.out(f) {
			t.Fatalf("%s has %d turns and %d calls, want %d and %d", f.name, f.QueuedTurns(), f.InFlight(), len(w.starts[f]), w.out(f))
		}
		for i, turn := range f.turns {
			if turn.start != w.starts[f][i] || turn.finish != w.finishes[f][i] {
				t.Fatalf("%s has %v, want from %v to %v", f.name, turn, w.starts[f][i], w.finishes[f][i])
			}
		}
		if f.QueuedTurns()+f.InFlight() > 0 && listed[f] == 0 || listed[f] > 1 {
			t.Fatalf("%s is listed %d times", f.name, listed[f])
		}
		if listed[f] == 0 && (f.lastF != 0 || f.delta != 0 || f.use != 0) {
			t.Fatalf("%s is idle and kept its state: %+v", f.name, f.Flow)
		}
	}
}

// TestTagsAndOrder: lowest start tag plus delta among the eligible, work conserving (whatever is eligible
// goes while a slot is free), the slot cap, tags and setbacks by their definition, virtual time never falls, the idle are dropped.
func TestTagsAndOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"": w.check, "hold": w.hold, "hold more": w.hold, "unhold": w.unhold,
			"dispatch": w.dispatch, "end": w.end, "pass": w.pass, "trouble": w.trouble,
		})
	})
}

// day keeps every flow's queue filled while calls take their flows' times, and counts what is sent.
type day struct {
	s       *Scheduler[*flow]
	now     time.Duration
	calls   []call
	takes   map[*flow]time.Duration
	sent    map[*flow]float64
	seconds map[*flow]float64
	cost    float64 // of each turn, by its flow's mean if 0
}

func newDay(slots int) *day {
	return &day{s: newScheduler(slots), takes: map[*flow]time.Duration{}, sent: map[*flow]float64{}, seconds: map[*flow]float64{}}
}

func (d *day) add(name string, weight float64, takes time.Duration) *flow {
	f := &flow{Flow: Flow{Weight: weight}, name: name}
	d.takes[f] = takes
	return f
}

// play goes on for so long with these flows backlogged.
func (d *day) play(length time.Duration, flows ...*flow) {
	for end := d.now + length; d.now < end; d.now += 10 * time.Millisecond {
		for i := 0; i < len(d.calls); i++ {
			if c := d.calls[i]; d.now-c.at >= d.takes[c.of] {
				d.calls = append(d.calls[:i], d.calls[i+1:]...)
				d.s.EndCall(c.of, (d.now - c.at).Seconds(), d.now)
				d.seconds[c.of] += (d.now - c.at).Seconds()
				i--
			}
		}
		d.s.Tick(d.now)
		for _, f := range flows {
			for f.QueuedTurns() < d.s.Slots { // enough for all that frees at once
				d.s.AddTurn(f, cmp.Or(d.cost, d.s.Cost(f)), d.now)
			}
		}
		for f, found := d.s.Next(all); found; f, found = d.s.Next(all) {
			d.s.StartCall(f, d.now)
			d.sent[f]++
			d.calls = append(d.calls, call{f, d.now})
		}
	}
}

func TestSharesByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDay(rapid.IntRange(1, 12).Draw(t, "slots"))
		d.cost, d.s.Tolerance = 1, math.Inf(1) // tags alone
		var flows []*flow
		for i := range rapid.IntRange(3, 5).Draw(t, "flows") { // none would get more than the slot cap
			weight := rapid.SampledFrom([]float64{1, 1.5, 2}).Draw(t, "weight")
			flows = append(flows, d.add(fmt.Sprint("f", i), weight, 50*time.Millisecond))
		}
		d.play(20*time.Second, flows...)
		for _, a := range flows {
			for _, b := range flows {
				// One slot's worth of rounding each, as start-time fair queuing bounds it.
				if apart := d.sent[a]/a.Weight - d.sent[b]/b.Weight; apart > 2*float64(d.s.Slots) {
					t.Fatalf("%s sent %v by weight %v, %s %v by %v", a.name, d.sent[a], a.Weight, b.name, d.sent[b], b.Weight)
				}
			}
		}
	})
}

// TestMonitorPushesBackOverusersAndLetsGo: one flow's calls took long; the others get as many turns before
// its next one as it used more, in calls of its own. With even use the setback goes.
func TestMonitorPushesBackOverusersAndLetsGo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScheduler(1)
		s.Tick(0)
		over, others := &flow{name: "over"}, []*flow{}
		for i := range rapid.IntRange(1, 4).Draw(t, "others") {
			others = append(others, &flow{name: fmt.Sprint("f", i)})
		}
		for _, f := range append(others, over) {
			for range 200 {
				s.AddTurn(f, 1, 0)
			}
		}
		long := time.Duration(rapid.IntRange(50, 900).Draw(t, "ms")) * time.Millisecond
		took := long.Seconds()
		s.StartCall(over, 0)
		s.EndCall(over, took, long)
		s.MeanSlotSeconds = rapid.Float64Range(0.001, 0.5).Draw(t, "mean") // of all, which the tolerance goes by
		over.MeanSlotSeconds = rapid.Float64Range(0.01, 0.5).Draw(t, "own mean")
		s.Tick(time.Second)
		want := took / over.MeanSlotSeconds
		if took <= 2*s.MeanSlotSeconds {
			want = 0
		}
		if math.Abs(over.Penalty()-want) > 1e-9 {
			t.Fatalf("set back by %v calls, want %v", over.Penalty(), want)
		}
		ahead := map[*flow]float64{}
		for f, _ := s.Next(all); f != over; f, _ = s.Next(all) {
			s.StartCall(f, time.Second)
			s.EndCall(f, 0.01, time.Second)
			ahead[f]++
		}
		for _, f := range others {
			if ahead[f] < want || ahead[f] > want+2 { // the one sent put it a turn behind as well
				t.Fatalf("%s sent %v before it, want about %v", f.name, ahead[f], want)
			}
		}
		for i := 0; over.Penalty() > 0; i++ {
			was := over.Penalty()
			if s.Tick(time.Duration(2+i) * time.Second); over.Penalty() > was/2 {
				t.Fatalf("set back by %v calls after %v, though use is even", over.Penalty(), was)
			}
		}
	})
}

func TestMonitorByWeight(t *testing.T) {
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
	if s.Tick(time.Second); heavy.Penalty() != 0 || light.Penalty() != 0 { // 3 s by 3 is 1 s by 1
		t.Fatalf("set back by %v and %v though both use their part", heavy.Penalty(), light.Penalty())
	}
	s.AddTurn(heavy, 1, time.Second)
	s.StartCall(heavy, time.Second)
	s.Tick(2 * time.Second)
	if want := (4.0/3 - 1) * 3 / 0.1; math.Abs(heavy.Penalty()-want) > 1e-9 {
		t.Fatalf("set back by %v calls, want %v", heavy.Penalty(), want)
	}
	for i, want := range []float64{5, 2.5, 1.25, 0.625, 0} { // not above the tolerance: halved, then let go
		s.Tolerance = math.Inf(1)
		if s.Tick(time.Duration(3+i) * time.Second); math.Abs(heavy.Penalty()-want) > 1e-9 {
			t.Fatalf("set back by %v calls, want %v", heavy.Penalty(), want)
		}
	}
}

func TestCost(t *testing.T) {
	s := newScheduler(1)
	for _, c := range []struct{ own, all, want float64 }{{0, 0, 1}, {0, 2, 1}, {3, 2, 1.5}, {1, 2, 0.5}, {0.1, 2, 0.25}} {
		s.MeanSlotSeconds = c.all
		if got := s.Cost(&flow{Flow: Flow{MeanSlotSeconds: c.own}}); got != c.want {
			t.Errorf("a call of %v s among those of %v s costs %v, want %v", c.own, c.all, got, c.want)
		}
	}
}

func TestSlotCap(t *testing.T) {
	for _, c := range []struct {
		slots   int
		trouble bool
		want    int
	}{{8, false, 6}, {8, true, 4}, {4, false, 3}, {4, true, 2}, {1, false, 1}, {1, true, 1}} {
		d := newDay(c.slots)
		f := d.add("alone", 1, time.Hour)
		f.Degraded = c.trouble
		if d.play(time.Second, f); f.InFlight() != c.want {
			t.Errorf("%d of %d slots, want %d (trouble %v)", f.InFlight(), c.slots, c.want, c.trouble)
		}
	}
}

// TestIdleEarnsNoCredit: a flow that was idle while the others worked gets its part from then on and no more.
func TestIdleEarnsNoCredit(t *testing.T) {
	d := newDay(2)
	d.cost, d.s.Tolerance = 1, math.Inf(1)
	worker, idler := d.add("worker", 1, 50*time.Millisecond), d.add("idler", 1, 50*time.Millisecond)
	d.play(time.Second, worker, idler)
	d.play(30*time.Second, worker)
	before, had := d.sent[worker], d.sent[idler]
	d.play(2*time.Second, worker, idler)
	if ahead := d.sent[idler] - had - (d.sent[worker] - before); math.Abs(ahead) > 4 { // two slots, and two turns held
		t.Fatalf("after its idle time it sent %v more than the other", ahead)
	}
}

func BenchmarkNext(b *testing.B) {
	for _, n := range []int{12, 300, 2900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newScheduler(n)
			for i := range n {
				s.AddTurn(&flow{Flow: Flow{lastF: float64((i * 7919) % n)}}, 1, 0)
			}
			for b.Loop() {
				f, _ := s.Next(all)
				s.AddTurn(f, 1, 0)
				s.StartCall(f, 0)
				s.EndCall(f, 0.1, 0)
			}
		})
	}
}
