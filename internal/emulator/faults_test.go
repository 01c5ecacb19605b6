package emulator

import (
	"testing"
	"time"

	"raventrestle/internal/emulator/link"
)

// The rules forgive what follows from the plan, and nothing beside it.
func TestExcuses(t *testing.T) {
	down := link.Fault{Cut: true}
	plan := link.Plan{
		Links: []link.LinkEvent{
			{At: 10 * time.Second, For: 2 * time.Second, Fault: down, Pairs: []link.Pair{{From: "n0", To: "discovery"}}},
			{At: 15 * time.Second, For: time.Second, Fault: down, Pairs: []link.Pair{{From: "discovery", To: "n0"}}},
			{At: 10 * time.Second, For: 2 * time.Second, Fault: down, Pairs: []link.Pair{{From: "endpoint a", To: "n1"}}},
		},
		Processes: []link.ProcessEvent{
			{At: 5 * time.Second, For: time.Second, How: link.SuspendProcess, Courier: "n2"},
			{At: 5 * time.Second, For: time.Second, How: link.KillProcess, Courier: "n1"},
		},
	}
	x := excuses(plan, start)
	for _, c := range []struct {
		courier   int
		due, want float64
	}{{0, 9, 9}, {0, 11, 20}, {0, 17, 20}, {0, 21, 21}, {1, 11, 11}, {1, 5.5, 5.5}, {2, 5.5, 7.5}, {2, 8, 8}} {
		if got := x.Mute(c.courier, at(c.due)); !got.Equal(at(c.want)) {
			t.Errorf("n%d, due at %v: excused until %v, want %v", c.courier, c.due, got.Sub(start), c.want)
		}
	}
	for _, c := range []struct {
		courier  int
		floor    string
		from, to float64
		want     bool
	}{{1, "a", 8, 9, false}, {1, "a", 9, 11, true}, {1, "a", 13, 15, true}, {1, "a", 17, 18, false}, {1, "b", 9, 11, false}, {0, "a", 9, 11, false}} {
		if got := x.Unseen(c.courier, c.floor, at(c.from), at(c.to)); got != c.want {
			t.Errorf("n%d, %s from %v to %v: unseen %v", c.courier, c.floor, c.from, c.to, got)
		}
	}
	if !x.Unheard(0, at(9), at(10.5)) || x.Unheard(0, at(2), at(9)) || x.Unheard(1, at(9), at(11)) {
		t.Error("who may not have heard the platform's answer")
	}
}

// What a lost folder held needs no end; what came after does, and an end still counts once.
func TestForgotten(t *testing.T) {
	l := NewLedger(start)
	l.Ready(0, at(-1))
	for i, id := range []string{"before", "after"} {
		m := &Message{Key: id, Dest: 7, Born: at(float64(i)), Until: at(10)}
		l.Submit(m, id, 0, at(float64(i)))
		l.Answered(id, 202, at(float64(i)))
		if i == 0 {
			l.Forgot(0, at(0.5))
		}
	}
	all := l.Check(at(60))
	if len(all) != 1 || all[0].Rule != "one final answer" || all[0].Text[:len(" after")] != " after" {
		t.Fatalf("%v", all)
	}
}

// A swapped folder's messages are the other courier's to send, and no longer its own courier's.
func TestSwapped(t *testing.T) {
	l := NewLedger(start)
	for n, id := range []string{"x", "y"} {
		l.Ready(n, at(-1))
		l.Submit(&Message{Key: id, Dest: 7, Born: at(0), Until: at(10)}, id, n, at(0))
		l.Answered(id, 202, at(0))
	}
	l.Swapped(0, 1, at(1))
	for n, id := range []string{"x", "y"} {
		call, _, _ := l.Begin(id, 7, "s", "a", 1, at(2)) // the first is its own now, the second was
		l.End(id, call, 200, at(3))
		if got := len(l.Check(at(3))); got != n {
			t.Fatalf("%s sent by n1: %d violations, want %d", id, got, n)
		}
	}
}

// A day that can't be judged, or whose faults would outlast it, is refused.
func TestCheckFaults(t *testing.T) {
	cut := link.LinkFault{Between: "courier <-> discovery", At: link.Range{1, 1}, For: link.Range{2, 2}, Cut: true}
	for name, c := range map[string]struct {
		change func(*Spec)
		wrong  bool
	}{
		"well":            {func(*Spec) {}, false},
		"drain beside":    {func(s *Spec) { s.Troubles = []Trouble{{Dest: 1, Drain: true}} }, true},
		"waits beside":    {func(s *Spec) { s.Channels[0].RetryAfterShare = 0.5 }, true},
		"ends too late":   {func(s *Spec) { s.Faults.Links[0].For = link.Range{5, 5} }, true},
		"unknown party":   {func(s *Spec) { s.Faults.Links[0].Between = "courier <-> platform" }, true},
		"drains, no link": {func(s *Spec) { s.Troubles, s.Faults.Links = []Trouble{{Dest: 1, Drain: true}}, nil }, false},
	} {
		s := Spec{
			Couriers: 2, Traffic: 5 * time.Second, Channels: []ChannelSpec{{Dest: 1, Floors: []string{"a", "b"}}},
			Faults: link.FaultSpec{Links: []link.LinkFault{cut}},
		}
		c.change(&s)
		if err := s.CheckFaults(); (err != nil) != c.wrong {
			t.Errorf("%s: %v", name, err)
		}
	}
}
