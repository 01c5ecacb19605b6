package systemsim

import (
	"testing"
	"time"
)

// lateHeartbeats is how many heartbeats from before its end arrive after an endpoint's end was acknowledged.
const lateHeartbeats = 12

// endOfAll is how all processes end at once.
type endOfAll struct {
	power   bool // they lose power; else they are killed
	routers bool // the routers end too
}

var endsOfAll = map[string]endOfAll{
	"kill of the instances":              {},
	"kill of all":                        {routers: true},
	"loss of power of the instances":     {power: true},
	"loss of power at once, and routers": {power: true, routers: true},
}

// TestAcknowledgedEndsOutliveAllProcesses ends all processes at the moment at which the end of an endpoint, its draining
// or its deregistration, is acknowledged; heartbeats that the endpoint sent before arrive later. No router may send to it
// (rule "drain bound"). It came about because ends were kept in memory alone (review/2). At the end the routers must know
// every endpoint that goes on.
func TestAcknowledgedEndsOutliveAllProcesses(t *testing.T) {
	for name, end := range endsOfAll {
		t.Run(name, func(t *testing.T) {
			eachSeed(*firstSeed, *scenarioCount, func(seed uint64) {
				if w, err := end.run(seed, NoMutant); err != nil {
					t.Error(err)
				} else {
					w.requireEndpointsAreKnown(t)
				}
			})
		})
	}
}

// TestForgottenEndsAreFound plays the same with instances that forget: the rule must be seen broken in half of the runs
// at least, whose late heartbeats come in time for it.
func TestForgottenEndsAreFound(t *testing.T) {
	for name, end := range endsOfAll {
		found := make(chan bool, *scenarioCount)
		eachSeed(*firstSeed, *scenarioCount, func(seed uint64) {
			_, err := end.run(seed, ForgetDepartures)
			found <- err != nil
		})
		count := 0
		for range *scenarioCount {
			if <-found {
				count++
			}
		}
		t.Logf("%s: a rule is broken in %d of %d runs", name, count, *scenarioCount)
		if end.routers && 2*count < *scenarioCount {
			t.Errorf("%s: a rule is broken in %d of %d runs, want half of them at least", name, count, *scenarioCount)
		}
	}
}

func (c endOfAll) run(seed uint64, mutant Mutant) (*World, error) {
	setup := SetupOf(seed)
	setup.Mutant, setup.Trace = mutant, tracer(seed)
	w := NewWorld(setup)
	ends := 0
	w.observeDrain = func(e *endpoint) {
		if ends++; ends > 2 { // two ends in a row, the second one perhaps while the system starts again
			return
		}
		e.repeatHeartbeats()
		w.endInstances(c.power)
		if c.routers {
			w.endRouters()
		}
	}
	for length := 40 * time.Second; length > 0; length -= time.Second {
		if err := w.Run(time.Second); err != nil {
			return w, err
		}
	}
	w.observeDrain = nil
	return w, w.Finish()
}

// repeatHeartbeats has heartbeats in state ready arrive late that were sent before the endpoint's first call about its
// end.
func (e *endpoint) repeatHeartbeats() {
	reported := e.newestReady
	for range lateHeartbeats {
		e.sendLate(reported, e.world.between(0, maxLateness))
	}
}

// requireEndpointsAreKnown requires that each router may send to every endpoint that has not begun to end.
func (w *World) requireEndpointsAreKnown(t *testing.T) {
	t.Helper()
	for _, e := range w.endpoints {
		if e.endingSince > 0 || w.Now()-e.since < 2*heartbeatInterval+livenessBound {
			continue
		}
		for _, r := range w.routers {
			if !r.table.eligible(e.id) {
				t.Errorf("seed %d: %s does not send to %s, which goes on", w.Seed, r.address, e.id)
			}
		}
	}
}
