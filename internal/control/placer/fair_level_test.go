package placer

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestFairLevelWithAddedEndpointEqualsFairLevelOfAll compares fairLevelWith for one more endpoint with fairLevel for all
// endpoints together.
func TestFairLevelWithAddedEndpointEqualsFairLevelOfAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		utilization := rapid.Float64Range(0, 3)
		utilizations := rapid.SliceOf(utilization).Draw(t, "utilizations")
		added := utilization.Draw(t, "added")
		load := rapid.Float64Range(0, 10).Draw(t, "load")
		slices.Sort(utilizations)
		got := fairLevelWith(utilizations, added, load)
		if want := fairLevel(append(slices.Clone(utilizations), added), load); got != want {
			t.Fatalf("got level %v, want %v", got, want)
		}
	})
}
