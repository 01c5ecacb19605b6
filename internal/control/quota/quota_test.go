package quota

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// strategy is a way to divide limits.
type strategy struct {
	name             string
	withoutAllocator bool
	usesCredits      bool
}

// measureLosses simulates runs and returns which fraction of its requests each tenant lost though it was below its
// limit, and which fraction of the large requests was rejected.
func measureLosses(t *testing.T, w strategy, runs uint64, demandFraction float64, changeLeader bool) (byTenant []float64, large float64, messages int) {
	t.Helper()
	const tenants = 5
	requested, rejected := make([]float64, tenants), make([]float64, tenants)
	largeRequests, largeRejected := 0, 0
	for seed := range runs {
		s := newSimulation(seed, 9, tenants, demandFraction, w.usesCredits)
		s.withoutAllocator = w.withoutAllocator
		if changeLeader {
			s.schedule(24*time.Second, func() { s.changeLeader(time.Second, 4*time.Second) })
		}
		s.run(warmUpTime + 34*time.Second)
		if s.violation != "" {
			t.Errorf("%s, seed %d: %s", w.name, seed, s.violation)
		}
		for i, c := range s.clients {
			requested[i] += c.requested
			rejected[i] += c.wronglyRejected
			largeRequests += c.largeRequests
			largeRejected += c.largeRejected
		}
		messages += s.messages
	}
	for i := range requested {
		rejected[i] /= requested[i]
	}
	return rejected, float64(largeRejected) / math.Max(1, float64(largeRequests)), messages / int(runs)
}

// TestTenantsBelowTheirLimitsAreServed simulates tenants whose traffic is spread unevenly over the routers.
func TestTenantsBelowTheirLimitsAreServed(t *testing.T) {
	t.Parallel()
	credits := strategy{name: "credits", usesCredits: true}
	for _, w := range []strategy{{name: "floors only", withoutAllocator: true}, {name: "rates only"}, credits} {
		runs := uint64(1)
		if w == credits {
			runs = 10
		}
		rejected, large, messages := measureLosses(t, w, runs, 0.77, false)
		t.Logf("%-12s rejected though below the limit, by tenant: %.3f; of large requests: %.3f; %d messages", w.name,
			rejected, large, messages)
		if w != credits {
			continue
		}
		for i, fraction := range rejected {
			if fraction > 0.06 {
				t.Errorf("tenant %d loses %.3f of its requests, want no more than 0.06", i, fraction)
			}
		}
	}
}

// TestTenantsAreServedWhenTheLeaderChanges has no allocator act for four seconds.
func TestTenantsAreServedWhenTheLeaderChanges(t *testing.T) {
	t.Parallel()
	rejected, large, _ := measureLosses(t, strategy{name: "credits", usesCredits: true}, 10, 0.77, true)
	t.Logf("rejected though below the limit, by tenant: %.3f; of large requests: %.3f", rejected, large)
	if rejected[0] > 0.08 {
		t.Errorf("the largest tenant loses %.3f of its requests, want no more than 0.08", rejected[0])
	}
}

// TestNoWindowExceedsItsAllowance has tenants request far more than their limits while routers are partitioned and the
// leader changes.
func TestNoWindowExceedsItsAllowance(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64Range(0, 1<<40).Draw(t, "seed"), rapid.IntRange(1, 9).Draw(t, "routers"),
			rapid.IntRange(1, 2).Draw(t, "tenants"), 0.77, rapid.Bool().Draw(t, "credits"))
		factor := rapid.Float64Range(1, 12).Draw(t, "surge factor")
		seconds := func(from, to int, name string) time.Duration {
			return time.Duration(rapid.IntRange(from*10, to*10).Draw(t, name)) * 100 * time.Millisecond
		}
		for _, c := range s.clients {
			c.surgeFactor, c.surgeFrom = factor, seconds(11, 16, "surge from")
			c.surgeUntil = c.surgeFrom + seconds(2, 10, "surge for")
		}
		for i := range rapid.IntRange(0, 2).Draw(t, "partitions") {
			r := s.routers[i%len(s.routers)]
			length := seconds(1, 8, "partitioned for")
			s.schedule(seconds(11, 20, "partitioned at"), func() { r.partitionedUntil = s.now + length })
		}
		if rapid.Bool().Draw(t, "leader changes") {
			s.schedule(seconds(11, 18, "change at"), func() { s.changeLeader(time.Second, 4*time.Second) })
		}
		s.run(28 * time.Second)
		if s.violation != "" {
			t.Fatal(s.violation)
		}
	})
}

// TestSharesAreMaxMinFair satisfies small demands completely and divides the rest evenly.
func TestSharesAreMaxMinFair(t *testing.T) {
	for _, c := range []struct {
		name     string
		demands  []float64
		capacity float64
		shares   []float64
		rest     float64
	}{
		{"capacity exhausted", []float64{5, 1, 10}, 9, []float64{4, 1, 4}, 0},
		{"all demands satisfied", []float64{1, 2}, 5, []float64{1, 2}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			shares, rest := maxMinFairShares(c.demands, c.capacity)
			if !slices.Equal(shares, c.shares) || rest != c.rest {
				t.Errorf("shares %v and rest %v, want %v and %v", shares, rest, c.shares, c.rest)
			}
		})
	}
}
