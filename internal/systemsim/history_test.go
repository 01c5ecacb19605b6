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
	firstSeed      = flag.Uint64("first-seed", 1, "the first seed that is played")
	seedCount      = flag.Int("seeds", historySeeds, "how many seeds are played")
	scenarioCount  = flag.Int("course-seeds", scenarioSeeds, "how often each course is played")
	measuredCount  = flag.Int("measured", measuredSeeds, "over how many seeds times are measured")
	rules          = flag.String("rules", "", "the rules that are looked at, with commas; all if empty")
	traceHistories = flag.Bool("tell", false, "tell what happens in the histories")
)

// players is how many histories are played at once.
const parallelHistories = 8

// eachSeed plays seeds from first on, some at once.
func eachSeed(first uint64, count int, play func(seed uint64)) {
	var next atomic.Int64
	var group sync.WaitGroup
	for range parallelHistories {
		group.Go(func() {
			for at := next.Add(1) - 1; at < int64(count); at = next.Add(1) - 1 {
				play(first + uint64(at))
			}
		})
	}
	group.Wait()
}

// simulated plays a seed's history as the flags say.
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
	var steps, acks, drains, looks, looksApart atomic.Int64
	var lock sync.Mutex
	broken := map[string]int{}
	eachSeed(*firstSeed, *seedCount, func(seed uint64) {
		w, err := simulated(seed, NoMutant)
		if err != nil {
			t.Error(err)
			var found *Violation
			if errors.As(err, &found) {
				lock.Lock()
				broken[found.Rule]++
				lock.Unlock()
			}
		}
		steps.Add(int64(w.steps))
		acks.Add(int64(len(w.model.acks)))
		drains.Add(int64(len(w.model.drained)))
		looks.Add(int64(w.model.checks))
		looksApart.Add(int64(w.model.checksIsolated))
	})
	t.Logf("%d histories, %d steps, %d acknowledgements of versions, %d of endpoints' ends, %d looks at routers in touch, "+
		"%d of them with an instance cut off, broken: %v",
		*seedCount, steps.Load(), acks.Load(), drains.Load(), looks.Load(), looksApart.Load(), broken)
}

func TestMain(m *testing.M) {
	debug.SetGCPercent(400) // histories are many small things of short life
	os.Exit(m.Run())
}
