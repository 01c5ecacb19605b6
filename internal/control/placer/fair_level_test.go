package placer

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// One vessel more among sorted ones gives the level that all of them together give.
func TestFairLevelWithOneMoreEndpointEqualsLevelOfAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.Float64Range(0, 3)
		bases := rapid.SliceOf(base).Draw(t, "bases")
		more := base.Draw(t, "more")
		amount := rapid.Float64Range(0, 10).Draw(t, "amount")
		slices.Sort(bases)
		got := fairLevelWith(bases, more, amount)
		if want := fairLevel(append(slices.Clone(bases), more), amount); got != want {
			t.Fatalf("level %v, want %v", got, want)
		}
	})
}
