package emulator

import (
	"testing"
	"time"

	"raventrestle/internal/emulator/link"
)

// The rules allow the deviations that follow from the fault plan, and no others.
func TestAllowancesFollowFromPlan(t *testing.T) {
	partition := link.Fault{Cut: true}
	plan := link.Plan{
		Links: []link.FaultEvent{
			{At: 10 * time.Second, For: 2 * time.Second, Fault: partition, Pairs: []link.Pair{{From: "n0", To: "discovery"}}},
			{At: 15 * time.Second, For: time.Second, Fault: partition, Pairs: []link.Pair{{From: "discovery", To: "n0"}}},
			{At: 10 * time.Second, For: 2 * time.Second, Fault: partition, Pairs: []link.Pair{{From: "endpoint a", To: "n1"}}},
		},
		Processes: []link.ProcessEvent{
			{At: 5 * time.Second, For: time.Second, How: link.SuspendProcess, Courier: "n2"},
			{At: 5 * time.Second, For: time.Second, How: link.KillProcess, Courier: "n1"},
		},
	}
	allowances := allowancesFor(plan, startTime)
	for _, c := range []struct {
		courier   int
		due, want float64
	}{{0, 9, 9}, {0, 11, 20}, {0, 17, 20}, {0, 21, 21}, {1, 11, 11}, {1, 5.5, 5.5}, {2, 5.5, 7.5}, {2, 8, 8}} {
		if got := allowances.NoticeDelayedUntil(c.courier, atSecond(c.due)); !got.Equal(atSecond(c.want)) {
			t.Errorf("n%d, due at %v: allowed until %v, want %v", c.courier, c.due, got.Sub(startTime), c.want)
		}
	}
	for _, c := range []struct {
		courier  int
		floor    string
		from, to float64
		want     bool
	}{{1, "a", 8, 9, false}, {1, "a", 9, 11, true}, {1, "a", 13, 15, true}, {1, "a", 17, 18, false}, {1, "b", 9, 11, false}, {0, "a", 9, 11, false}} {
		if got := allowances.CallEndMayBeLate(c.courier, c.floor, atSecond(c.from), atSecond(c.to)); got != c.want {
			t.Errorf("n%d, %s from %v to %v: call end may be late: %v", c.courier, c.floor, c.from, c.to, got)
		}
	}
	if !allowances.AckMayBeLost(0, atSecond(9), atSecond(10.5)) || allowances.AckMayBeLost(0, atSecond(2), atSecond(9)) || allowances.AckMayBeLost(1, atSecond(9), atSecond(11)) {
		t.Error("wrong couriers or times for a lost acknowledgement")
	}
}

// A message whose courier lost its state directory needs no final result, but one accepted afterwards does. A final
// result that arrives nevertheless still counts only once.
func TestLostStateNeedsNoFinalAnswer(t *testing.T) {
	r := NewRecorder(startTime)
	r.CourierReady(0, atSecond(-1))
	for i, id := range []string{"before", "after"} {
		m := &Message{Key: id, Dest: 7, CreatedAt: atSecond(float64(i)), Deadline: atSecond(10)}
		r.Submit(m, id, 0, atSecond(float64(i)))
		r.ClientAnswered(id, 202, atSecond(float64(i)))
		if i == 0 {
			r.StateLost(0, atSecond(0.5))
		}
	}
	violations := r.Check(atSecond(60))
	if len(violations) != 1 || violations[0].Rule != "one final answer" || violations[0].Text[:len(" after")] != " after" {
		t.Fatalf("%v", violations)
	}
}

// After a swap of state directories each courier may send the other's messages, and no longer its own.
func TestSwappedStateMovesMessages(t *testing.T) {
	r := NewRecorder(startTime)
	for n, id := range []string{"x", "y"} {
		r.CourierReady(n, atSecond(-1))
		r.Submit(&Message{Key: id, Dest: 7, CreatedAt: atSecond(0), Deadline: atSecond(10)}, id, n, atSecond(0))
		r.ClientAnswered(id, 202, atSecond(0))
	}
	r.StateSwapped(0, 1, atSecond(1))
	for n, id := range []string{"x", "y"} {
		call, _, _ := r.BeginCall(id, 7, "s", "a", 1, atSecond(2)) // n1 now has x, and no longer y
		r.EndCall(id, call, 200, atSecond(3))
		if got := len(r.Check(atSecond(3))); got != n {
			t.Fatalf("%s sent by n1: %d violations, want %d", id, got, n)
		}
	}
}

// A run is rejected if its results could not be checked or its faults would outlast the traffic.
func TestCheckFaults(t *testing.T) {
	partition := link.LinkFault{Between: "courier <-> discovery", At: link.Range{1, 1}, For: link.Range{2, 2}, Cut: true}
	for name, c := range map[string]struct {
		change   func(*Spec)
		rejected bool
	}{
		"valid":                      {func(*Spec) {}, false},
		"link fault and drain":       {func(s *Spec) { s.ChannelFaults = []ChannelFault{{Dest: 1, Drain: true}} }, true},
		"link fault and waits":       {func(s *Spec) { s.Channels[0].RetryAfterShare = 0.5 }, true},
		"fault outlasts the traffic": {func(s *Spec) { s.Faults.Links[0].For = link.Range{5, 5} }, true},
		"unknown node":               {func(s *Spec) { s.Faults.Links[0].Between = "courier <-> platform" }, true},
		"drain without link fault":   {func(s *Spec) { s.ChannelFaults, s.Faults.Links = []ChannelFault{{Dest: 1, Drain: true}}, nil }, false},
	} {
		s := Spec{
			Couriers: 2, Traffic: 5 * time.Second, Channels: []ChannelSpec{{Dest: 1, Floors: []string{"a", "b"}}},
			Faults: link.FaultSpec{Links: []link.LinkFault{partition}},
		}
		c.change(&s)
		if err := s.CheckFaults(); (err != nil) != c.rejected {
			t.Errorf("%s: %v", name, err)
		}
	}
}
