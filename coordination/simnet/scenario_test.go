package simnet

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"raventrestle/coordination/internal/mutation"
)

// latencySample collects durations of several histories, which may run at once.
type latencySample struct {
	lock      sync.Mutex
	durations []time.Duration
}

func (s *latencySample) add(d time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.durations = append(s.durations, d)
}

// check logs the percentiles, and fails when there is no duration or the p99 is above the bound.
func (s *latencySample) check(t *testing.T, name string, bound time.Duration) {
	t.Helper()
	slices.Sort(s.durations)
	if len(s.durations) == 0 {
		t.Errorf("%s: got no durations, want some", name)
		return
	}
	p50, p99 := s.durations[len(s.durations)/2], s.durations[(len(s.durations)-1)*99/100]
	t.Logf("%s: p50 %v, p99 %v, max %v of %d", name, p50, p99, s.durations[len(s.durations)-1], len(s.durations))
	if p99 > bound {
		t.Errorf("%s: p99 is %v, want at most %v", name, p99, bound)
	}
}

// healthyWorld returns a world after its startup.
func healthyWorld(t *testing.T, seed uint64, machines int, mutant mutation.Set) *World {
	t.Helper()
	w := NewWorld(Config{Seed: seed, Machines: machines, Seeds: 3, FaultTolerance: 1, Mutation: mutant})
	if err := w.Run(startupDuration); err != nil {
		t.Errorf("startup: %v, want nil", err)
	}
	return w
}

// awaitAcknowledgement has all running machines propose a new command at intervals of 20 ms, and returns how long the first
// acknowledgement takes. It reports false after the timeout.
func (w *World) awaitAcknowledgement(timeout time.Duration) (time.Duration, bool) {
	beganAt := w.now
	number := 0
	for w.now-beganAt < timeout && w.failure == nil {
		for _, m := range w.machines {
			if m.engine != nil && !m.frozen {
				number++
				w.propose(m, fmt.Sprintf("next %d %d", beganAt, number))
			}
		}
		_ = w.Run(20 * time.Millisecond)
		if w.model.acknowledgedAt > beganAt {
			return w.model.acknowledgedAt - beganAt, true
		}
	}
	return timeout, false
}

// checkScenario plays act on healthy groups, and checks that the next acknowledgement after it comes within the bound and
// that all invariants hold to the end of the history.
func checkScenario(t *testing.T, bound time.Duration, machines int, act func(w *World)) {
	t.Helper()
	var delays latencySample
	eachSeed(1, scenarioHistories, func(seed uint64) {
		w := healthyWorld(t, seed, machines, mutation.Set{})
		w.startClients(w.now+time.Second, 5*time.Millisecond, 50*time.Millisecond)
		_ = w.Run(w.between(500*time.Millisecond, 1500*time.Millisecond))
		act(w)
		delay, _ := w.awaitAcknowledgement(10 * time.Second)
		delays.add(delay)
		_ = w.Run(2 * time.Second)
		if err := w.Finish(); err != nil {
			t.Errorf("seed %d: %v, want nil", seed, err)
		}
	})
	delays.check(t, t.Name(), bound)
}
