package placer

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// days is the number of days that each fleet is simulated: go test -run World -v -days 20 shows what the fleets earn.
var days = flag.Int("days", 1, "number of days that the tests of the simulated world run each fleet")

// noOrders is a baseline that leaves the fleet as it is.
type noOrders struct{}

func (noOrders) Step(time.Time, Input) Output { return Output{} }

// inspectingPlacer returns a placer that inspects endpoints.
func inspectingPlacer(gap time.Duration) policy {
	return New(Config{HandoverGap: gap, InspectEndpoints: true})
}

// heartbeatPlacer returns a placer that knows endpoints only by their heartbeats.
func heartbeatPlacer(gap time.Duration) policy {
	return New(Config{HandoverGap: gap})
}

// simulateDays simulates days with the seeds from 0 on, and returns the sum of their outcomes. No day may violate LIMIT
// or CEILING.
func simulateDays(t *testing.T, s fleetShape, days int, faults faultKinds, newPolicy func(time.Duration) policy) outcomes {
	t.Helper()
	var sum outcomes
	for seed := range days {
		w := newWorld(s, uint64(seed), faults, newPolicy)
		got := w.run()
		if got.limitViolation != "" || got.loadRateViolation != "" {
			t.Errorf("%s seed %d: got violations of LIMIT %q and CEILING %q, want none",
				s.name, seed, got.limitViolation, got.loadRateViolation)
		}
		sum.value += got.value
		sum.earnedValue += got.earnedValue
		sum.requests += got.requests
		sum.missed += got.missed
		sum.late += got.late
		sum.rareRequests += got.rareRequests
		sum.rareMissed += got.rareMissed
		sum.starved += got.starved
		sum.models += got.models
		sum.loads += got.loads
		sum.warmLoads += got.warmLoads
		sum.orders += got.orders
		sum.inspections += got.inspections
		sum.rejected += got.rejected
	}
	return sum
}

// summary formats the outcomes of the days. Counts of loads, orders and inspections are averages per day.
func (o outcomes) summary(days int) string {
	n := float64(days)
	return fmt.Sprintf("earned %.4f missed %.4f late %.4f rare missed %.4f starved %d/%d loads %.1f (warm %.1f) orders %.1f "+
		"inspections %.1f rejected %.2f",
		o.earnedShare(), float64(o.missed)/float64(o.requests), float64(o.late)/float64(o.requests),
		float64(o.rareMissed)/float64(max(1, o.rareRequests)), o.starved, o.models, float64(o.loads)/n, float64(o.warmLoads)/n,
		float64(o.orders)/n, float64(o.inspections)/n, float64(o.rejected)/n)
}

// TestWorldKeepsLimitsUnderAllFaults simulates fleets with faults of all kinds. No order may violate LIMIT or CEILING.
func TestWorldKeepsLimitsUnderAllFaults(t *testing.T) {
	for _, s := range []fleetShape{bookingFleet(), walletFleet()} {
		for _, test := range []struct {
			name      string
			newPolicy func(time.Duration) policy
		}{
			{"without orders", func(time.Duration) policy { return noOrders{} }},
			{"inspecting", inspectingPlacer},
			{"by heartbeats", heartbeatPlacer},
		} {
			t.Run(s.name+" "+test.name, func(t *testing.T) {
				t.Parallel()
				got := simulateDays(t, s, *days, allFaults, test.newPolicy)
				t.Logf("%-8s %-14s %s", s.name, test.name, got.summary(*days))
			})
		}
	}
}

// TestWorldKeepsLimitsUnderOneKindOfFault simulates the fleets without faults, and with one kind of fault at a time in
// addition to shifts of demand.
func TestWorldKeepsLimitsUnderOneKindOfFault(t *testing.T) {
	for name, faults := range map[string]faultKinds{
		"without faults": {},
		"bursts":         {bursts: true, demandShifts: true},
		"crashes":        {crashes: true, demandShifts: true},
		"leader changes": {leaderChanges: true, demandShifts: true},
	} {
		for _, s := range []fleetShape{bookingFleet(), walletFleet()} {
			t.Run(s.name+" "+name, func(t *testing.T) {
				t.Parallel()
				got := simulateDays(t, s, *days, faults, inspectingPlacer)
				t.Logf("%-8s %-14s %s", s.name, name, got.summary(*days))
			})
		}
	}
}
