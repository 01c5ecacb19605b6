package raventrestle

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// simulatedHost plays random events of all kinds. They depend only on the seed and on what the policy sent.
type simulatedHost struct {
	policy   *Policy
	rng      *rand.Rand
	now      time.Duration
	inFlight []Send
	attempts map[MessageID]int
	lastID   int
	trace    []Action
}

func observationSettings() Settings {
	return Settings{
		Forwarders: 3, MinBatchInterval: 5 * time.Millisecond, CallSlots: 6, MaxMessages: 40, MaxAttempts: 6,
		IdleTimeout: 10 * time.Second, ConnectTimeout: time.Second,
		Classes: []Class{
			{Name: "a", SoftDeadline: time.Second, Deadline: 10 * time.Second, Value: 1},
			{Name: "b", SoftDeadline: time.Second, Deadline: 8 * time.Second, Value: 2, Idempotency: NonIdempotent},
		},
		Kinds:          []DestinationKind{{MaxBatch: 1}, {MaxBatch: 2, RoutePerTarget: true}},
		OverloadFactor: 2.5, OverloadDuration: 1500 * time.Millisecond, WarmupDuration: 11 * time.Second, InitialCapacityShare: 0.18,
	}
}

func newSimulatedHost(seed uint64) *simulatedHost {
	p, err := New(observationSettings(), seed)
	if err != nil {
		panic(err)
	}
	h := &simulatedHost{policy: p, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, attempts: map[MessageID]int{}}
	h.step(ListUpdate{Kind: ListSnapshot, Entries: []Entry{
		{Target: "a", Dest: 1, Zone: -1},
		{Target: "b", Dest: 1, Zone: -1},
		{Target: "c", Dest: 2, Kind: 1, Zone: -1},
		{Target: "d", Dest: 2, Kind: 1, Zone: -1, JoinedAt: h.now - time.Second},
	}})
	return h
}

func (h *simulatedHost) step(events ...Event) {
	for _, a := range h.policy.Step(h.now, events) {
		if s, ok := a.(Send); ok {
			h.inFlight = append(h.inFlight, s)
		}
		h.trace = append(h.trace, a)
	}
}

func (h *simulatedHost) run(steps int) {
	for range steps {
		h.now += time.Duration(h.rng.IntN(150)) * time.Millisecond
		events := []Event{Wake{}}
		for range h.rng.IntN(3) {
			h.lastID++
			events = append(events, Arrival{
				ID: MessageID(strconv.Itoa(h.lastID)), Class: h.rng.IntN(2), Tenant: -1,
				Dest: DestID(1 + h.rng.IntN(2)), Budget: 8 * time.Second,
			})
		}
		for len(h.inFlight) > 0 && h.rng.IntN(3) > 0 {
			s := h.inFlight[0]
			h.inFlight = h.inFlight[1:]
			o := Outcome{ID: s.ID, Target: s.Target, Attempt: h.attempts[s.ID], Duration: 50 * time.Millisecond}
			h.attempts[s.ID]++
			switch h.rng.IntN(9) {
			case 0:
				o.Status = Error
			case 1:
				o.Status, o.RetryAfter = Rejected, time.Duration(h.rng.IntN(2000))*time.Millisecond
			case 2:
				o.Status, o.Report = Rejected, LimitReport{Remaining: 0.1, Limit: 20}
			case 3:
				o.Status, o.Duration = TimedOut, s.Timeout
			default:
				o.Final = true
			}
			events = append(events, o)
		}
		h.step(events...)
	}
}

// Empty observations change no action.
func TestEmptyObservationsChangeNothing(t *testing.T) {
	for seed := range uint64(20) {
		plain, observed := newSimulatedHost(seed), newSimulatedHost(seed)
		for range 60 {
			plain.run(5)
			observed.policy.ApplyObservations(observed.now, nil)
			observed.policy.ApplyObservations(observed.now, []PeerObservation{{Target: "a"}, {Target: "d"}, {Target: "unknown", WaitUntil: time.Hour * 9, Limit: 1, LimitAt: 1}})
			observed.run(5)
		}
		if diff := cmp.Diff(plain.trace, observed.trace); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
		if len(plain.trace) < 100 {
			t.Fatal("too few actions")
		}
	}
}

// No observation lifts a retry-after time, raises a rate, improves a target's health or resets its failures, and no
// target gets a call that it would not get without observations.
func TestObservationsNeverPermitMoreCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		steps := rapid.IntRange(0, 120).Draw(t, "steps")
		plain, observed := newSimulatedHost(seed), newSimulatedHost(seed)
		plain.run(steps)
		observed.run(steps)
		before := observed.policy.Learned()
		var observations []PeerObservation
		at := func(name string) time.Duration {
			return observed.now - time.Duration(rapid.IntRange(-2000, 20_000).Draw(t, name))*time.Millisecond
		}
		for range rapid.IntRange(1, 6).Draw(t, "n") {
			observations = append(observations, PeerObservation{
				Target: rapid.SampledFrom([]TargetID{"a", "b", "c", "d"}).Draw(t, "target"), WaitUntil: at("until"),
				Limit: rapid.SampledFrom([]float64{0, 1e-9, 0.5, 5, 50, 1e9}).Draw(t, "limit"), LimitAt: at("limit at"), OutageAt: at("out at"),
			})
		}
		observed.policy.ApplyObservations(observed.now, observations)
		after := observed.policy.Learned()
		checkRoute := func(x, y *LearnedRoute) {
			if x != nil && (y.WaitUntil < x.WaitUntil || x.Rate > 0 && y.Rate > x.Rate || x.Limit > 0 && y.Limit > x.Limit || x.LimitReported && y.Limit != x.Limit ||
				y.NextAt < x.NextAt ||
				y.Fails < x.Fails || y.LimitReported != x.LimitReported || y.AllSuspended != x.AllSuspended) {
				t.Fatalf("less restrictive: %+v, was %+v", *y, *x)
			}
		}
		for i, d := range before.Dests {
			checkRoute(d.Route, after.Dests[i].Route)
			for j, x := range d.Targets {
				y := after.Dests[i].Targets[j]
				if checkRoute(x.Route, y.Route); y.Health != x.Health || y.Fails < x.Fails || y.LastOK != x.LastOK {
					t.Fatalf("less restrictive: %+v, was %+v", y, x)
				}
			}
		}
		for _, id := range []TargetID{"a", "b", "c", "d"} {
			for _, p := range []*Policy{plain.policy, observed.policy} {
				p.now, p.wakeAt = observed.now, 1<<62
			}
			if observed.policy.canSendTo(observed.policy.targets[id]) && !plain.policy.canSendTo(plain.policy.targets[id]) {
				t.Fatalf("%s accepts a call because of observations", id)
			}
		}
	})
}

// Each kind of observation restricts sending for as long as it counts.
func TestObservationsRestrictSending(t *testing.T) {
	const now, sec = time.Hour, time.Second
	for _, c := range []struct {
		name        string
		observation PeerObservation
		answeredAt  time.Duration // when a call was answered there, 0 for never
		delay       time.Duration
		sends       int // of five messages that arrive together
	}{
		{name: "none", sends: 4}, // three quarters of the slots
		{name: "retry-after", observation: PeerObservation{WaitUntil: now + 2*sec}, delay: sec},
		{name: "retry-after that has passed", observation: PeerObservation{WaitUntil: now + 2*sec}, delay: 3 * sec, sends: 4},
		{name: "limit", observation: PeerObservation{Limit: 4, LimitAt: now - sec}, sends: 1},
		{name: "limit too old", observation: PeerObservation{Limit: 4, LimitAt: now - 11*sec}, sends: 4},
		{name: "outage", observation: PeerObservation{OutageAt: now - sec}, sends: 1},
		{name: "outage before the last answer", observation: PeerObservation{OutageAt: now - sec}, answeredAt: now - sec/2, sends: 4},
		{name: "outage after the last answer", observation: PeerObservation{OutageAt: now - sec}, answeredAt: now - 2*sec, sends: 1},
		{name: "outage too old", observation: PeerObservation{OutageAt: now - 12*sec}, sends: 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, err := New(observationSettings(), 1)
			if err != nil {
				t.Fatal(err)
			}
			p.Step(now-10*sec, []Event{ListUpdate{Kind: ListSnapshot, Entries: []Entry{{Target: "a", Dest: 1, Zone: -1}}}})
			if c.answeredAt > 0 {
				p.targets["a"].lastAnsweredAt = c.answeredAt
			}
			c.observation.Target = "a"
			p.ApplyObservations(now, []PeerObservation{c.observation})
			var events []Event
			for i := range 5 {
				events = append(events, Arrival{ID: MessageID(strconv.Itoa(i)), Tenant: -1, Dest: 1, Budget: 9 * sec})
			}
			sends := 0
			for _, a := range p.Step(now+c.delay, events) {
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
