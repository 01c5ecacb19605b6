package simnet

import (
	"os"
	"sync/atomic"
	"testing"

	"raventrestle/coordination/internal/mutation"
)

// plans lists every plan of that many deviations among the first messages, with one lost disk at most.
func plans(messages, depth int) [][]deviation {
	all := [][]deviation{nil}
	for range depth {
		var longer [][]deviation
		for _, plan := range all {
			first := 1
			if len(plan) > 0 {
				first = plan[len(plan)-1].at
			}
			for at := first; at <= messages; at++ {
				for kind := range deviationKinds {
					next := deviation{at: at, kind: kind}
					if len(plan) > 0 && (plan[len(plan)-1] == next || plan[len(plan)-1].loses() && next.loses()) {
						continue
					}
					longer = append(longer, append(plan[:len(plan):len(plan)], next))
				}
			}
		}
		all = longer
	}
	return all
}

// TestExplore plays every single deviation at every message of two commands and a barrier; EXPLORE_DEPTH=2 plays
// every pair, in minutes.
func TestExplore(t *testing.T) {
	messages, err := explore(mutation.Set{})
	if err != nil {
		t.Fatal(err)
	}
	depth := environment(t, "EXPLORE_DEPTH", 1)
	if os.Getenv("EXPLORE_MESSAGES") != "" {
		messages = environment(t, "EXPLORE_MESSAGES", messages)
	}
	all := plans(messages, depth)
	if raceDetected {
		all = all[:len(all)/10]
	}
	var failures atomic.Int64
	eachSeed(0, len(all), func(number uint64) {
		if _, err := explore(mutation.Set{}, all[number]...); err != nil && failures.Add(1) <= 5 {
			t.Errorf("%v: %v", all[number], err)
		}
	})
	t.Logf("%d plans of %d deviations at %d messages, %d failures", len(all), depth, messages, failures.Load())
}
