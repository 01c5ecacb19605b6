package simnet

import (
	"os"
	"strconv"
	"testing"

	"raventrestle/coordination/internal/mutation"
)

// seedsPlayed is how many histories an ordinary test plays; SIMNET_SEEDS plays more, SIMNET_FIRST sets the first.
const seedsPlayed = 300

func environment(t *testing.T, name string, otherwise int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return number
}

func TestHistories(t *testing.T) {
	first, count := environment(t, "SIMNET_FIRST", 1), environment(t, "SIMNET_SEEDS", seedsPlayed)
	var trace func(string)
	if os.Getenv("SIMNET_TRACE") != "" {
		trace = func(line string) { t.Log(line) }
	}
	steps, acked := 0, 0
	for seed := first; seed < first+count; seed++ {
		w, err := Play(uint64(seed), mutation.Set{}, trace)
		if err != nil {
			t.Errorf("%v", err)
		}
		steps += w.steps
		acked += len(w.ledger.acked)
	}
	t.Logf("%d histories, %d steps, %d commands acknowledged", count, steps, acked)
}
