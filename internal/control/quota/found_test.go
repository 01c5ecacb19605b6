package quota

import (
	"testing"
	"time"
)

// A case that TestNoWindowExceedsItsAllowance found (rapid's seed 11939902571948904): the only router is partitioned during all
// of the observation of the next leader, which takes the missing reports for modest demand.
func TestTenantNeverExceedsItsAllowanceIfTheNextLeaderObservesNoRouter(t *testing.T) {
	s := newSimulation(0, 1, 2, 0.77, true)
	seconds := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	for i, surge := range []struct{ from, length float64 }{{13.4, 4.0}, {11.0, 2.1}} {
		c := s.clients[i]
		c.surgeFactor, c.surgeFrom, c.surgeUntil = 4, seconds(surge.from), seconds(surge.from+surge.length)
	}
	for _, partition := range []struct{ at, length float64 }{{11.3, 1.0}, {11.9, 3.9}} {
		s.schedule(seconds(partition.at), func() { s.routers[0].partitionedUntil = s.now + seconds(partition.length) })
	}
	s.schedule(seconds(11.1), func() { s.changeLeader(time.Second, 4*time.Second) })
	s.run(28 * time.Second)
	if s.violation != "" {
		t.Error(s.violation)
	}
}
