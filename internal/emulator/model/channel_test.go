package model

import (
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func spec() ChannelSpec {
	return ChannelSpec{
		Dest: 7, Floors: []string{"a", "b"}, Capacity: 1, Queue: 100, ColdFor: time.Minute, StartShare: 0.15,
		Service: map[string][2]time.Duration{"c": {100 * time.Millisecond, 101 * time.Millisecond}},
	}
}

// A channel that comes back is cold; pushed too hard it falls over, and the rule is broken if those
// who push had seen it fail, in whichever life of theirs.
func TestPushedOver(t *testing.T) {
	for name, c := range map[string]struct {
		before, restart bool
		broken          bool
	}{"knew": {true, false, true}, "knew, in an earlier life": {true, true, true}, "did not know": {false, false, false}} {
		ch := New(spec(), 1)
		e := ch.Endpoints[0]
		e.Set(Shut, at(0))
		if c.before {
			e.Call(0, []Part{{Class: "c"}}, at(1), at(1))
		}
		if c.restart {
			e.Restarted(0)
		}
		e.Set(Well, at(2))
		var broken []Breach
		for i := range 200 {
			_, b := e.Call(0, []Part{{Class: "c"}}, at(4+0.02*float64(i)), at(4+0.02*float64(i)))
			broken = append(broken, b...)
		}
		if !e.Fell() {
			t.Fatal("50 calls a second did not push over what can do 2")
		}
		if got := len(broken) > 0; got != c.broken {
			t.Errorf("%s: broken %v", name, broken)
		}
	}
}

// Calls are served first come, first served, by as many places as there are.
func TestQueue(t *testing.T) {
	s := spec()
	s.Capacity, s.Queue, s.Service["c"] = 2, 1, [2]time.Duration{time.Second, time.Second}
	e := New(s, 1).Endpoints[0]
	for i, want := range []float64{1, 1.1, 2, 0, 2.1} {
		now := at(0.1 * float64(i))
		if i == 4 { // one has ended
			now = at(1.05)
		}
		f, _ := e.Call(0, []Part{{Class: "c"}}, now, now)
		if want == 0 && f.Code != 503 || want > 0 && !f.At.Equal(at(want)) {
			t.Errorf("call %d: %+v, want its end at %v", i, f, want)
		}
	}
}

// Waits bind the couriers that were told, at all endpoints that share the limit, until they restart;
// drains bind a second after they were told.
func TestToldIsChecked(t *testing.T) {
	s := spec()
	s.TellsWait, s.Wait, s.Capacity = 1, 10*time.Second, 100
	call := func(e *Endpoint, courier int, s float64) int {
		_, b := e.Call(courier, []Part{{Class: "c"}}, at(s), at(s))
		return len(b)
	}
	for _, apart := range []bool{false, true} {
		s.Apart = apart
		c := New(s, 1)
		one, two := c.Endpoints[0], c.Endpoints[1]
		one.Set(Shut, at(0))
		for i, x := range []struct {
			e       *Endpoint
			courier int
			at      float64
			broken  bool
		}{{one, 0, 1, false}, {one, 0, 1.05, false}, {one, 1, 2, false}, {two, 0, 2, !apart}, {one, 0, 3, true}, {two, 0, 20, false}} {
			if got := call(x.e, x.courier, x.at) > 0; got != x.broken {
				t.Errorf("apart %v, call %d: broken %v", apart, i, got)
			}
		}
		one.Restarted(0)
		if call(one, 0, 4) > 0 {
			t.Error("a wait outlived the restart")
		}
		two.Drain(0, at(30))
		if call(two, 0, 30.9) > 0 || call(two, 0, 31.2) == 0 || call(two, 1, 31.2) > 0 {
			t.Error("drains are not kept by their second")
		}
		if two.Serving(0); call(two, 0, 32) > 0 {
			t.Error("a drain outlived the endpoint's return")
		}
	}
}

// Answers report the limit and what is left of it; where there is no limit they report nothing.
func TestReports(t *testing.T) {
	s := spec()
	s.Reports, s.Limit, s.Capacity = true, 10, 100
	e := New(s, 1).Endpoints[0]
	last := 1.1
	for i := range 12 {
		f, _ := e.Call(0, []Part{{Class: "c"}}, at(0.001*float64(i)), at(0.001*float64(i)))
		if f.Report.Limit != 10 || f.Report.Left < 0 || f.Report.Left > 1 || f.Report.Left >= last && last > 0.01 {
			t.Fatalf("call %d: %+v after %v", i, f.Report, last)
		}
		if last = f.Report.Left; (i >= 10) != (f.Code == 429) {
			t.Fatalf("call %d: code %d", i, f.Code)
		}
	}
	s.Limit = 0
	if f, _ := New(s, 1).Endpoints[0].Call(0, []Part{{Class: "c"}}, at(0), at(0)); f.Report != (Report{}) {
		t.Errorf("%+v", f.Report)
	}
}
