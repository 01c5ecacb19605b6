package simnet

import (
	"os"
	"sync/atomic"
	"testing"

	"raventrestle/coordination/internal/mutation"
)

// faultPlans returns every plan of that many faults at the first messages that loses one disk at most.
func faultPlans(messages, depth int) [][]deliveryFault {
	all := [][]deliveryFault{nil}
	for range depth {
		var longer [][]deliveryFault
		for _, plan := range all {
			first := 1
			if len(plan) > 0 {
				first = plan[len(plan)-1].message
			}
			for message := first; message <= messages; message++ {
				for kind := range deliveryFaultKinds {
					next := deliveryFault{message: message, kind: kind}
					if len(plan) > 0 && (plan[len(plan)-1] == next || plan[len(plan)-1].losesDisk() && next.losesDisk()) {
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

// TestExploredFaultsKeepAllInvariants plays every single fault at every message of two commands and a barrier;
// EXPLORE_DEPTH=2 plays every pair, in minutes, EXPLORE_MESSAGES bounds the messages.
func TestExploredFaultsKeepAllInvariants(t *testing.T) {
	messages, err := explore(mutation.Set{})
	if err != nil {
		t.Fatalf("without faults: %v, want nil", err)
	}
	depth := environment(t, "EXPLORE_DEPTH", 1)
	if os.Getenv("EXPLORE_MESSAGES") != "" {
		messages = environment(t, "EXPLORE_MESSAGES", messages)
	}
	all := faultPlans(messages, depth)
	if raceDetected {
		all = all[:len(all)/10]
	}
	var failures atomic.Int64
	eachSeed(0, len(all), func(number uint64) {
		if _, err := explore(mutation.Set{}, all[number]...); err != nil && failures.Add(1) <= 5 {
			t.Errorf("%v: %v, want nil", all[number], err)
		}
	})
	t.Logf("%d plans of %d faults at %d messages, %d failures", len(all), depth, messages, failures.Load())
}
