package systemsim

import (
	"testing"
	"time"
)

// lateHeartbeats is how many heartbeats from before its end arrive after an endpoint's end was acknowledged.
const lateHeartbeats = 12

// acknowledgementTime is how long endpoints and operators go on before all faults are healed.
const acknowledgementTime = 40 * time.Second

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

// TestAcknowledgedVersionsOutliveAllProcesses ends all processes at the moment at which a version's acknowledgement leaves an
// instance, twice. It must be what each instance answers at the end, and no other change may be accepted on its base.
func TestAcknowledgedVersionsOutliveAllProcesses(t *testing.T) {
	const maxVersions = 30 // before each end of all; about 100 are acknowledged in a run
	for name, end := range endsOfAll {
		t.Run(name, func(t *testing.T) {
			eachSeed(*firstSeed, *scenarioCount, func(seed uint64) {
				w := end.newWorld(seed, NoMutant)
				versions, ends, next := 0, 0, w.random.IntN(maxVersions)
				w.observeVersion = func(*change) {
					if versions++; versions <= next || ends == 2 {
						return
					}
					ends++
					next = versions + w.random.IntN(maxVersions)
					end.endAll(w)
				}
				if err := w.Run(acknowledgementTime); err != nil {
					t.Error(err)
					return
				}
				if ends != 2 {
					t.Errorf("seed %d: all processes ended %d times, want 2 (%d versions, next after %d)", seed, ends, versions, next)
				}
				if err := w.Finish(); err != nil {
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

func (c endOfAll) newWorld(seed uint64, mutant Mutant) *World {
	setup := SetupOf(seed)
	setup.Mutant, setup.Trace = mutant, tracer(seed)
	return NewWorld(setup)
}

// run ends all processes at the first two acknowledgements of an endpoint's end.
func (c endOfAll) run(seed uint64, mutant Mutant) (*World, error) {
	w := c.newWorld(seed, mutant)
	ends := 0
	w.observeDrain = func(e *endpoint) {
		if ends++; ends > 2 {
			return
		}
		e.repeatHeartbeats()
		c.endAll(w)
	}
	if err := w.Run(acknowledgementTime); err != nil {
		return w, err
	}
	w.observeDrain = nil
	return w, w.Finish()
}

// endAll ends all processes within a millisecond; they start again within 1.2 s.
func (c endOfAll) endAll(w *World) {
	w.endInstances(c.power)
	if c.routers {
		w.endRouters()
	}
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
