package roles

import (
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

func TestRouterSetCountsTheMinimumThatARouterMayAssume(t *testing.T) {
	s := newRouterSet()
	for _, step := range []struct {
		name   string
		after  time.Duration
		newest int
		want   int
	}{
		{"unknown", 0, 0, 0},
		{"first count", 0, 5, 5},
		{"just after a rise", time.Second, 9, 5},
		{"long after a rise", countTTL + 1200*time.Millisecond, 9, 9},
		{"after a fall", 10 * time.Second, 4, 4},
	} {
		if got := s.minCount(begin.Add(step.after), step.newest); got != step.want {
			t.Errorf("%s: %d, want %d", step.name, got, step.want)
		}
	}
}

func TestRouterSetRemovesRoutersWithoutReports(t *testing.T) {
	s := newRouterSet()
	s.observe(begin, "a", &protocol.Report{Node: "r1", Incarnation: 1})
	s.observe(begin.Add(5*time.Second), "b", &protocol.Report{Node: "r2", Incarnation: 1})
	if got := s.active(begin.Add(11 * time.Second)); len(got) != 1 || got[0].Node != "r2" {
		t.Errorf("active routers are %+v, want r2 only", got)
	}
}
