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
		Forwarders: 3, MinBatchInterval: 5 * time.Millisecond, CallSlots: 6, MaxMessages: 40, MaxAttempts: 6,
		IdleTimeout: 10 * time.Second, ConnectTimeout: time.Second,
		Classes: []Class{
			{Name: "a", SoftDeadline: time.Second, Deadline: 10 * time.Second, Value: 1},
			{Name: "b", SoftDeadline: time.Second, Deadline: 8 * time.Second, Value: 2, Idempotency: NonIdempotent},
		},
		Kinds:          []DestinationKind{{MaxBatch: 1}, {MaxBatch: 2, RoutePerTarget: true}},
		OverloadFactor: 2.5, OverloadDuration: 1500 * time.Millisecond, WarmupDuration: 11 * time.Second, ColdCapacityShare: 0.18,
	}
}

func newWorld(seed uint64) *world {
	p, err := New(adviseSettings(), seed)
	if err != nil {
		panic(err)
	}
	w := &world{p: p, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, tries: map[MessageID]int{}}
	w.step(ListUpdate{Kind: ListSnapshot, Entries: []Entry{
		{Target: "a", Dest: 1, Zone: -1},
		{Target: "b", Dest: 1, Zone: -1},
		{Target: "c", Dest: 2, Kind: 1, Zone: -1},
		{Target: "d", Dest: 2, Kind: 1, Zone: -1, JoinedAt: w.now - time.Second},
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
			o := Outcome{ID: s.ID, Target: s.Target, Attempt: w.tries[s.ID], Duration: 50 * time.Millisecond}
			w.tries[s.ID]++
			switch w.rng.IntN(9) {
			case 0:
				o.Status = Error
			case 1:
				o.Status, o.RetryAfter = Rejected, time.Duration(w.rng.IntN(2000))*time.Millisecond
			case 2:
				o.Status, o.Report = Rejected, LimitReport{Remaining: 0.1, Limit: 20}
			case 3:
				o.Status, o.Duration = TimedOut, s.Timeout
			default:
				o.Final = true
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
			advised.p.ApplyObservations(advised.now, nil)
			advised.p.ApplyObservations(advised.now, []PeerObservation{{Target: "a"}, {Target: "d"}, {Target: "unknown", WaitUntil: time.Hour * 9, Limit: 1, LimitAt: 1}})
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
		var told []PeerObservation
		at := func(name string) time.Duration {
			return w.now - time.Duration(rapid.IntRange(-2000, 20_000).Draw(t, name))*time.Millisecond
		}
		for range rapid.IntRange(1, 6).Draw(t, "n") {
			told = append(told, PeerObservation{
				Target: rapid.SampledFrom([]TargetID{"a", "b", "c", "d"}).Draw(t, "target"), WaitUntil: at("until"),
				Limit: rapid.SampledFrom([]float64{0, 1e-9, 0.5, 5, 50, 1e9}).Draw(t, "limit"), LimitAt: at("limit at"), OutageAt: at("out at"),
			})
		}
		w.p.ApplyObservations(w.now, told)
		after := w.p.Learned()
		route := func(x, y *LearnedRoute) {
			if x != nil && (y.WaitUntil < x.WaitUntil || x.Rate > 0 && y.Rate > x.Rate || x.Limit > 0 && y.Limit > x.Limit || x.LimitReported && y.Limit != x.Limit ||
				y.NextAt < x.NextAt ||
				y.Fails < x.Fails || y.LimitReported != x.LimitReported || y.AllSuspended != x.AllSuspended) {
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
		told  PeerObservation
		well  time.Duration // when a call was answered there, 0 for never
		later time.Duration
		sends int // of five messages at once
	}{
		{name: "nothing", sends: 4}, // three quarters of the slots
		{name: "a wait", told: PeerObservation{WaitUntil: now + 2*sec}, later: sec},
		{name: "a wait that is over", told: PeerObservation{WaitUntil: now + 2*sec}, later: 3 * sec, sends: 4},
		{name: "a limit", told: PeerObservation{Limit: 4, LimitAt: now - sec}, sends: 1},
		{name: "a limit too old", told: PeerObservation{Limit: 4, LimitAt: now - 11*sec}, sends: 4},
		{name: "an outage", told: PeerObservation{OutageAt: now - sec}, sends: 1},
		{name: "an outage before the last answer", told: PeerObservation{OutageAt: now - sec}, well: now - sec/2, sends: 4},
		{name: "an outage after the last answer", told: PeerObservation{OutageAt: now - sec}, well: now - 2*sec, sends: 1},
		{name: "an outage too old", told: PeerObservation{OutageAt: now - 12*sec}, sends: 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, err := New(adviseSettings(), 1)
			if err != nil {
				t.Fatal(err)
			}
			p.Step(now-10*sec, []Event{ListUpdate{Kind: ListSnapshot, Entries: []Entry{{Target: "a", Dest: 1, Zone: -1}}}})
			if c.well > 0 {
				p.targets["a"].lastOK = c.well
			}
			c.told.Target = "a"
			p.ApplyObservations(now, []PeerObservation{c.told})
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
