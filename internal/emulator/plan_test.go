package emulator

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"raventrestle/internal/emulator/model"
)

func planned() Spec {
	return Spec{
		Seed: 5, Couriers: 3, Rate: 50, Traffic: 40 * time.Second, Hotels: []string{"h", "i"}, HotelShares: []float64{0.7, 0.3},
		Classes:  []ClassSpec{{Name: "a", Share: 0.5, Deadline: time.Second}, {Name: "b", Share: 0.5, Kind: "k", Deadline: time.Second}},
		Channels: []ChannelSpec{{Dest: 1, Kind: "k", Floors: []string{"x", "y"}}, {Dest: 2, Kind: "k", Floors: []string{"x"}, Weight: 3}, {Dest: 3, Kind: "l", Floors: []string{"y"}}},
	}
}

// A plan follows its seed, is in order of time, and keeps classes to their kind of channel.
func TestPlan(t *testing.T) {
	s := planned()
	plan := s.Plan()
	if diff := cmp.Diff(plan, s.Plan()); diff != "" {
		t.Fatal(diff)
	}
	if n := float64(len(plan)); n < 1800 || n > 2200 {
		t.Fatalf("%v messages, want about 2000", n)
	}
	if !slices.IsSortedFunc(plan, func(a, b Arrival) int { return int(a.At - b.At) }) {
		t.Fatal("not in order of time")
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

// A hot channel gets the multiple of its messages while it is hot; the others' messages stay as they were.
func TestHot(t *testing.T) {
	s := planned()
	count := func(plan []Arrival, dest int64, hot bool) (n int) {
		for _, a := range plan {
			if a.Dest == dest && hot == (a.At >= 10*time.Second && a.At < 30*time.Second) {
				n++
			}
		}
		return n
	}
	before := s.Plan()
	s.Hot = []Hot{{Dest: 1, At: 10 * time.Second, For: 20 * time.Second, Times: 4}}
	after := s.Plan()
	if was, is := count(before, 1, true), count(after, 1, true); float64(is) < 3.4*float64(was) || float64(is) > 4.6*float64(was) {
		t.Errorf("%d messages where %d came before, want four times as many", is, was)
	}
	if was, is := count(before, 1, false), count(after, 1, false); was != is {
		t.Errorf("%d messages beside the heat, want %d", is, was)
	}
	base := slices.DeleteFunc(after, func(a Arrival) bool { return a.Dest == 1 })
	rest := slices.DeleteFunc(before, func(a Arrival) bool { return a.Dest == 1 })
	if diff := cmp.Diff(rest, base); diff != "" {
		t.Error(diff)
	}
}

// The front layer leads connections to a dead courier until it notices, then to the next living one.
func TestFront(t *testing.T) {
	f := NewFront(3, [2]time.Duration{time.Second, 3 * time.Second}, 1)
	if f.Down(1, at(10)); f.Pick(1, at(10.9)) != 1 {
		t.Error("noticed before the least time")
	}
	if n := f.Pick(1, at(13)); n != 2 {
		t.Errorf("led to %d after the longest time", n)
	}
	f.Down(2, at(10))
	if n := f.Pick(1, at(13)); n != 0 {
		t.Errorf("led to %d, want the only living one", n)
	}
	if f.Down(0, at(10)); f.Pick(1, at(13)) != 1 {
		t.Error("with none alive, connections lead where they would")
	}
	if f.Up(1); f.Pick(1, at(13)) != 1 {
		t.Error("not led back to one that is up")
	}
}

// Clients come back three times after a refusal, and only while their message's time lasts when they were told to.
func TestComingBack(t *testing.T) {
	n := 0
	for try := 0; ; try++ {
		if _, again := Comeback(try); !again {
			break
		}
		n++
	}
	if n != 3 {
		t.Errorf("%d times", n)
	}
	for _, c := range []struct {
		after       time.Duration
		submissions int
		until       time.Time
		again       bool
	}{{time.Second, 1, at(2), true}, {time.Second, 1, at(0.5), false}, {time.Second, 7, at(9), false}, {0, 1, at(0.05), false}} {
		if _, again := Recall(c.after, c.submissions, at(0), c.until); again != c.again {
			t.Errorf("%+v", c)
		}
	}
}

// Discovery that is out answers nothing and ends its watches; back again it tells what changed meanwhile.
func TestDiscoveryOut(t *testing.T) {
	ledger := NewLedger(time.Now())
	ch, err := NewChannel(ChannelSpec{Dest: 7, Floors: []string{"a"}, Capacity: 1}, 1, ledger, 1, func(string) (string, EffectLimit) { return "", model.Unlimited })
	if err != nil {
		t.Fatal(err)
	}
	defer ch.Close()
	d, err := NewDiscovery(1, []*Channel{ch}, ledger)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	watch := make(chan int)
	go func() { watch <- fetch(t, d.Addr(0), "?index=1&wait=30000") }()
	d.Out(true)
	if code := <-watch; code != 503 {
		t.Errorf("the watch ended with %d", code)
	}
	if code := fetch(t, d.Addr(0), ""); code != 503 {
		t.Errorf("the list came with %d", code)
	}
	d.Mark(ch.Endpoints[0], "DRAINING")
	d.Out(false)
	if code := fetch(t, d.Addr(0), "?index=1&wait=10"); code != 200 {
		t.Errorf("the watch came with %d", code)
	}
	if !ch.Endpoints[0].Drains(0) {
		t.Error("the drain was not told")
	}
	d.Mark(ch.Endpoints[0], "SERVING")
	fetch(t, d.Addr(0), "?index=2&wait=10")
	if ch.Endpoints[0].Drains(0) {
		t.Error("the drain outlived the endpoint's return")
	}
}
