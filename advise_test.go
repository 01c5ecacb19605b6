package raventrestle

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// world plays random events of all kinds to a policy: what comes depends on the seed and on what was sent alone.
type world struct {
	p     *Policy
	rng   *rand.Rand
	now   time.Duration
	out   []Send
	tries map[MessageID]int
	n     int
	trace []Action
}

func adviseSettings() Settings {
	return Settings{
		Forwarders: 3, Tick: 5 * time.Millisecond, CallSlots: 6, MostHeld: 40, SendCap: 6,
		IdleClose: 10 * time.Second, ConnectWithin: time.Second,
		Classes: []Class{
			{Name: "a", Aim: time.Second, Deadline: 10 * time.Second, Credit: 1},
			{Name: "b", Aim: time.Second, Deadline: 8 * time.Second, Credit: 2, Effect: Unsafe},
		},
		Kinds:       []Kind{{BundleMax: 1}, {BundleMax: 2, Apart: true}},
		TipMultiple: 2.5, TipAfter: 1500 * time.Millisecond, ColdFor: 11 * time.Second, StartCapacity: 0.18,
	}
}

func newWorld(seed uint64) *world {
	p, err := New(adviseSettings(), seed)
	if err != nil {
		panic(err)
	}
	w := &world{p: p, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, tries: map[MessageID]int{}}
	w.step(Listing{How: ListWhole, Entries: []Entry{
		{Target: "a", Dest: 1, Zone: -1},
		{Target: "b", Dest: 1, Zone: -1},
		{Target: "c", Dest: 2, Kind: 1, Zone: -1},
		{Target: "d", Dest: 2, Kind: 1, Zone: -1, Joined: w.now - time.Second},
	}})
	return w
}

func (w *world) step(events ...Event) {
	for _, a := range w.p.Step(w.now, events) {
		if s, ok := a.(Send); ok {
			w.out = append(w.out, s)
		}
		w.trace = append(w.trace, a)
	}
}

func (w *world) play(steps int) {
	for range steps {
		w.now += time.Duration(w.rng.IntN(150)) * time.Millisecond
		events := []Event{Wake{}}
		for range w.rng.IntN(3) {
			w.n++
			events = append(events, Arrival{
				ID: MessageID(strconv.Itoa(w.n)), Class: w.rng.IntN(2), Tenant: -1,
				Dest: DestID(1 + w.rng.IntN(2)), Budget: 8 * time.Second,
			})
		}
		for len(w.out) > 0 && w.rng.IntN(3) > 0 {
			s := w.out[0]
			w.out = w.out[1:]
			o := Outcome{ID: s.ID, Target: s.Target, Try: w.tries[s.ID], Took: 50 * time.Millisecond}
			w.tries[s.ID]++
			switch w.rng.IntN(9) {
			case 0:
				o.Status = Error
			case 1:
				o.Status, o.Wait = Full, time.Duration(w.rng.IntN(2000))*time.Millisecond
			case 2:
				o.Status, o.Report = Full, Report{Left: 0.1, Limit: 20}
			case 3:
				o.Status, o.Took = TimedOut, s.Timeout
			default:
				o.Closed = true
			}
			events = append(events, o)
		}
		w.step(events...)
	}
}

// With nothing told the module decides the same, action for action.
func TestEmptyAdvice(t *testing.T) {
	for seed := range uint64(20) {
		plain, advised := newWorld(seed), newWorld(seed)
		for range 60 {
			plain.play(5)
			advised.p.Advise(advised.now, nil)
			advised.p.Advise(advised.now, []Advice{{Target: "a"}, {Target: "d"}, {Target: "unknown", Until: time.Hour * 9, Limit: 1, LimitAt: 1}})
			advised.play(5)
		}
		if diff := cmp.Diff(plain.trace, advised.trace); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
		if len(plain.trace) < 100 {
			t.Fatal("little was decided")
		}
	}
}

// Whatever is told and whenever: no wait, pace, health or failure of one's own is lifted, and no target takes a call that
// it would not take without.
func TestAdviceNeverPermits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		steps := rapid.IntRange(0, 120).Draw(t, "steps")
		plain, w := newWorld(seed), newWorld(seed)
		plain.play(steps)
		w.play(steps)
		before := w.p.Learned()
		var told []Advice
		at := func(name string) time.Duration {
			return w.now - time.Duration(rapid.IntRange(-2000, 20_000).Draw(t, name))*time.Millisecond
		}
		for range rapid.IntRange(1, 6).Draw(t, "n") {
			told = append(told, Advice{
				Target: rapid.SampledFrom([]TargetID{"a", "b", "c", "d"}).Draw(t, "target"), Until: at("until"),
				Limit: rapid.SampledFrom([]float64{0, 1e-9, 0.5, 5, 50, 1e9}).Draw(t, "limit"), LimitAt: at("limit at"), OutAt: at("out at"),
			})
		}
		w.p.Advise(w.now, told)
		after := w.p.Learned()
		route := func(x, y *LearnedRoute) {
			if x != nil && (y.Until < x.Until || x.Rate > 0 && y.Rate > x.Rate || x.Size > 0 && y.Size > x.Size || x.Told && y.Size != x.Size ||
				y.NextAt < x.NextAt ||
				y.Fails < x.Fails || y.Told != x.Told || y.Shut != x.Shut) {
				t.Fatalf("lifted: %+v, was %+v", *y, *x)
			}
		}
		for i, d := range before.Dests {
			route(d.Route, after.Dests[i].Route)
			for j, x := range d.Targets {
				y := after.Dests[i].Targets[j]
				if route(x.Route, y.Route); y.Health != x.Health || y.Fails < x.Fails || y.LastOK != x.LastOK {
					t.Fatalf("lifted: %+v, was %+v", y, x)
				}
			}
		}
		for _, id := range []TargetID{"a", "b", "c", "d"} {
			for _, p := range []*Policy{plain.p, w.p} {
				p.now, p.wakeAt = w.now, 1<<62
			}
			if w.p.usable(w.p.targets[id]) && !plain.p.usable(plain.p.targets[id]) {
				t.Fatalf("%s takes a call by what others told", id)
			}
		}
	})
}

// Each kind of advice holds back, for as long as it counts.
func TestAdviceRestrains(t *testing.T) {
	const now, sec = time.Hour, time.Second
	for _, c := range []struct {
		name  string
		told  Advice
		well  time.Duration // when a call was answered there, 0 for never
		later time.Duration
		sends int // of five messages at once
	}{
		{name: "nothing", sends: 4}, // three quarters of the slots
		{name: "a wait", told: Advice{Until: now + 2*sec}, later: sec},
		{name: "a wait that is over", told: Advice{Until: now + 2*sec}, later: 3 * sec, sends: 4},
		{name: "a limit", told: Advice{Limit: 4, LimitAt: now - sec}, sends: 1},
		{name: "a limit too old", told: Advice{Limit: 4, LimitAt: now - 11*sec}, sends: 4},
		{name: "an outage", told: Advice{OutAt: now - sec}, sends: 1},
		{name: "an outage before the last answer", told: Advice{OutAt: now - sec}, well: now - sec/2, sends: 4},
		{name: "an outage after the last answer", told: Advice{OutAt: now - sec}, well: now - 2*sec, sends: 1},
		{name: "an outage too old", told: Advice{OutAt: now - 12*sec}, sends: 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, err := New(adviseSettings(), 1)
			if err != nil {
				t.Fatal(err)
			}
			p.Step(now-10*sec, []Event{Listing{How: ListWhole, Entries: []Entry{{Target: "a", Dest: 1, Zone: -1}}}})
			if c.well > 0 {
				p.targets["a"].lastOK = c.well
			}
			c.told.Target = "a"
			p.Advise(now, []Advice{c.told})
			var events []Event
			for i := range 5 {
				events = append(events, Arrival{ID: MessageID(strconv.Itoa(i)), Tenant: -1, Dest: 1, Budget: 9 * sec})
			}
			sends := 0
			for _, a := range p.Step(now+c.later, events) {
				if _, ok := a.(Send); ok {
					sends++
				}
			}
			if sends != c.sends {
				t.Errorf("%d sent, want %d", sends, c.sends)
			}
		})
	}
}
