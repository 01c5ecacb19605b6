package emulator

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"raventrestle/internal/emulator/model"
)

func testSpec() Spec {
	return Spec{
		Seed: 5, Couriers: 3, Rate: 50, Traffic: 40 * time.Second, Tenants: []string{"h", "i"}, TenantShares: []float64{0.7, 0.3},
		Classes:  []ClassSpec{{Name: "a", Share: 0.5, Deadline: time.Second}, {Name: "b", Share: 0.5, Kind: "k", Deadline: time.Second}},
		Channels: []ChannelSpec{{Dest: 1, Kind: "k", Floors: []string{"x", "y"}}, {Dest: 2, Kind: "k", Floors: []string{"x"}, Weight: 3}, {Dest: 3, Kind: "l", Floors: []string{"y"}}},
	}
}

// A plan depends on its seed only, is ordered by time, and assigns classes to channels of their kind.
func TestPlanIsDeterministic(t *testing.T) {
	s := testSpec()
	plan := s.Plan()
	if diff := cmp.Diff(plan, s.Plan()); diff != "" {
		t.Fatal(diff)
	}
	if n := float64(len(plan)); n < 1800 || n > 2200 {
		t.Fatalf("%v messages, want about 2000", n)
	}
	if !slices.IsSortedFunc(plan, func(a, b Arrival) int { return int(a.At - b.At) }) {
		t.Fatal("the plan is not ordered by time")
	}
	keys := map[string]bool{}
	for _, a := range plan {
		if keys[a.Key] || a.Class.Name == "b" && a.Dest == 3 || a.Courier < 0 || a.Courier > 2 {
			t.Fatalf("%+v", a)
		}
		keys[a.Key] = true
	}
	s.Seed++
	if cmp.Equal(plan, s.Plan()) {
		t.Fatal("another seed gives the same plan")
	}
}

// A hot spot multiplies the messages of its channel during its interval; the messages of other channels do not change.
func TestHotSpotAddsMessages(t *testing.T) {
	s := testSpec()
	count := func(plan []Arrival, dest int64, hot bool) (n int) {
		for _, a := range plan {
			if a.Dest == dest && hot == (a.At >= 10*time.Second && a.At < 30*time.Second) {
				n++
			}
		}
		return n
	}
	before := s.Plan()
	s.Hot = []HotSpot{{Dest: 1, At: 10 * time.Second, For: 20 * time.Second, Factor: 4}}
	after := s.Plan()
	if without, with := count(before, 1, true), count(after, 1, true); float64(with) < 3.4*float64(without) || float64(with) > 4.6*float64(without) {
		t.Errorf("%d messages with the hot spot and %d without, want four times as many", with, without)
	}
	if without, with := count(before, 1, false), count(after, 1, false); without != with {
		t.Errorf("%d messages outside the interval, want %d", with, without)
	}
	base := slices.DeleteFunc(after, func(a Arrival) bool { return a.Dest == 1 })
	rest := slices.DeleteFunc(before, func(a Arrival) bool { return a.Dest == 1 })
	if diff := cmp.Diff(rest, base); diff != "" {
		t.Error(diff)
	}
}

// The balancer connects to a stopped courier until it detects that, then to the next one that is up.
func TestBalancerAvoidsFailedCouriers(t *testing.T) {
	b := NewBalancer(3, [2]time.Duration{time.Second, 3 * time.Second}, 1)
	if b.Down(1, atSecond(10)); b.Pick(1, atSecond(10.9)) != 1 {
		t.Error("failure detected before the minimum delay")
	}
	if n := b.Pick(1, atSecond(13)); n != 2 {
		t.Errorf("connected to %d after the maximum delay, want 2", n)
	}
	b.Down(2, atSecond(10))
	if n := b.Pick(1, atSecond(13)); n != 0 {
		t.Errorf("connected to %d, want 0, the only one that is up", n)
	}
	if b.Down(0, atSecond(10)); b.Pick(1, atSecond(13)) != 1 {
		t.Error("with all couriers down, the connection does not go to the first choice")
	}
	if b.Up(1); b.Pick(1, atSecond(13)) != 1 {
		t.Error("not connected to a courier that is up again")
	}
}

// Clients retry three times after a rejection. They resubmit a deferred message only before its deadline and only a
// limited number of times.
func TestClientRetries(t *testing.T) {
	n := 0
	for attempt := 0; ; attempt++ {
		if _, retry := RetryDelay(attempt); !retry {
			break
		}
		n++
	}
	if n != 3 {
		t.Errorf("%d retries, want 3", n)
	}
	for _, c := range []struct {
		after       time.Duration
		submissions int
		until       time.Time
		ok          bool
	}{{time.Second, 1, atSecond(2), true}, {time.Second, 1, atSecond(0.5), false}, {time.Second, 7, atSecond(9), false}, {0, 1, atSecond(0.05), false}} {
		if _, ok := ResubmitAt(c.after, c.submissions, atSecond(0), c.until); ok != c.ok {
			t.Errorf("%+v", c)
		}
	}
}

// During an outage discovery rejects requests and ends its watches; afterwards it reports the changes made meanwhile.
func TestDiscoveryOutage(t *testing.T) {
	recorder := NewRecorder(time.Now())
	ch, err := NewChannel(ChannelSpec{Dest: 7, Floors: []string{"a"}, Capacity: 1}, 1, recorder, 1, func(string) (string, EffectLimit) { return "", model.Unlimited })
	if err != nil {
		t.Fatal(err)
	}
	defer ch.Close()
	d, err := NewDiscovery(1, []*Channel{ch}, recorder)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	watch := make(chan int)
	go func() { watch <- fetch(t, d.Addr(0), "?index=1&wait=30000") }()
	d.SetOutage(true)
	if code := <-watch; code != 503 {
		t.Errorf("the watch ended with status %d", code)
	}
	if code := fetch(t, d.Addr(0), ""); code != 503 {
		t.Errorf("the list request returned status %d", code)
	}
	d.SetStatus(ch.Endpoints[0], "DRAINING")
	d.SetOutage(false)
	if code := fetch(t, d.Addr(0), "?index=1&wait=10"); code != 200 {
		t.Errorf("the watch returned status %d", code)
	}
	if !ch.Endpoints[0].KnownDraining(0) {
		t.Error("the drain was not recorded")
	}
	d.SetStatus(ch.Endpoints[0], "SERVING")
	fetch(t, d.Addr(0), "?index=2&wait=10")
	if ch.Endpoints[0].KnownDraining(0) {
		t.Error("the drain is still recorded after the endpoint serves again")
	}
}
