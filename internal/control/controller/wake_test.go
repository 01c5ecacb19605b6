package controller

import (
	"testing"
	"time"

	"raventrestle/internal/control/distribution"
	"raventrestle/internal/control/registry"
)

// Guards against answers to endpoints after their time: the registry's tick waited for the hub's beacons, and so did what
// was due between the two.
func TestOnlyTheTickWaitsForBeacons(t *testing.T) {
	tick := start.Add(time.Second)
	at := func(offset time.Duration) time.Time { return tick.Add(offset) }
	for name, c := range map[string]struct{ hub, wake, deadline, want time.Time }{
		"no router":                       {wake: tick, want: tick},
		"the hub first":                   {hub: at(-time.Millisecond), wake: tick, want: at(-time.Millisecond)},
		"a tick":                          {hub: at(200 * time.Millisecond), wake: tick, want: at(200 * time.Millisecond)},
		"a tick long before the beacons":  {hub: at(distribution.BeaconInterval + time.Millisecond), wake: tick, want: tick},
		"a deadline before the tick":      {hub: at(200 * time.Millisecond), wake: at(-50 * time.Millisecond), deadline: at(-50 * time.Millisecond), want: at(-50 * time.Millisecond)},
		"a deadline with the tick":        {hub: at(200 * time.Millisecond), wake: tick, deadline: tick, want: tick},
		"a deadline between tick and hub": {hub: at(200 * time.Millisecond), wake: tick, deadline: at(50 * time.Millisecond), want: tick},
		"a deadline after the hub":        {hub: at(200 * time.Millisecond), wake: tick, deadline: at(300 * time.Millisecond), want: at(200 * time.Millisecond)},
	} {
		if got := mergeWakes(c.hub, registry.Output{WakeAt: c.wake, DeadlineAt: c.deadline}); !got.Equal(c.want) {
			t.Errorf("%s: got %v after the tick, want %v", name, got.Sub(tick), c.want.Sub(tick))
		}
	}
}
