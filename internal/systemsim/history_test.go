package systemsim

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

var (
	firstSeed      = flag.Uint64("first-seed", 1, "the first seed that is simulated")
	seedCount      = flag.Int("seeds", historySeeds, "how many histories are simulated")
	scenarioCount  = flag.Int("course-seeds", scenarioSeeds, "how often each scenario is simulated")
	measuredCount  = flag.Int("measured", measuredSeeds, "over how many seeds times are measured")
	rules          = flag.String("rules", "", "the rules that are checked, with commas; all if empty")
	traceHistories = flag.Bool("tell", false, "trace what happens in the histories")
)

// parallelHistories is how many histories are simulated at once.
const parallelHistories = 8

// eachSeed calls simulate with count seeds from first on, some at once.
func eachSeed(first uint64, count int, simulate func(seed uint64)) {
	var next atomic.Int64
	var group sync.WaitGroup
	for range parallelHistories {
		group.Go(func() {
			for at := next.Add(1) - 1; at < int64(count); at = next.Add(1) - 1 {
				simulate(first + uint64(at))
			}
		})
	}
	group.Wait()
}

// simulated simulates a seed's history as the flags say.
func simulated(seed uint64, mutant Mutant) (*World, error) {
	setup := SetupOf(seed)
	setup.Mutant, setup.Trace = mutant, tracer(seed)
	if *rules != "" {
		setup.Rules = strings.Split(*rules, ",")
	}
	return Simulate(setup)
}

func tracer(seed uint64) func(string) {
	if !*traceHistories {
		return nil
	}
	return func(line string) { fmt.Println(seed, line) }
}

func TestHistories(t *testing.T) {
	var steps, acks, drains, checks, checksIsolated atomic.Int64
	var lock sync.Mutex
	violations := map[string]int{}
	eachSeed(*firstSeed, *seedCount, func(seed uint64) {
		w, err := simulated(seed, NoMutant)
		if err != nil {
			t.Error(err)
			var found *Violation
			if errors.As(err, &found) {
				lock.Lock()
				violations[found.Rule]++
				lock.Unlock()
			}
		}
		steps.Add(int64(w.steps))
		acks.Add(int64(len(w.model.acks)))
		drains.Add(int64(len(w.model.drained)))
		checks.Add(int64(w.model.checks))
		checksIsolated.Add(int64(w.model.checksIsolated))
	})
	t.Logf("%d histories, %d steps, %d acknowledgements of versions, %d of drains and deregistrations, %d checks of bound routers, "+
		"%d of them with an instance isolated, violations: %v",
		*seedCount, steps.Load(), acks.Load(), drains.Load(), checks.Load(), checksIsolated.Load(), violations)
}

func TestMain(m *testing.M) {
	debug.SetGCPercent(400) // histories allocate many small objects for a short time
	os.Exit(m.Run())
}
