package placer

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var days = flag.Int("days", 1, "days of each fleet that TestWorldFigures plays")

// stands orders nothing: what a fleet earns as it was found.
type stands struct{}

func (stands) Step(time.Time, Input) Output { return Output{} }

func looking(quiet time.Duration) decider {
	return New(Config{HandoverGap: quiet, InspectEndpoints: true})
}

func blind(quiet time.Duration) decider {
	return New(Config{HandoverGap: quiet})
}

func playMany(t *testing.T, s shape, days int, trouble troubles, fresh func(time.Duration) decider) stats {
	t.Helper()
	var sum stats
	for seed := range days {
		w := newWorld(s, uint64(seed), trouble, fresh)
		got := w.run()
		if got.limit != "" || got.ceiling != "" {
			t.Errorf("%s seed %d: LIMIT %q CEILING %q", s.name, seed, got.limit, got.ceiling)
		}
		sum.owed += got.owed
		sum.earned += got.earned
		sum.asked += got.asked
		sum.missed += got.missed
		sum.late += got.late
		sum.rareAsked += got.rareAsked
		sum.rareMiss += got.rareMiss
		sum.starved += got.starved
		sum.models += got.models
		sum.loads += got.loads
		sum.warm += got.warm
		sum.orders += got.orders
		sum.looks += got.looks
		sum.refused += got.refused
	}
	return sum
}

func (s stats) line(days int) string {
	n := float64(days)
	return fmt.Sprintf("earned %.4f missed %.4f late %.4f rare missed %.4f starved %d/%d loads %.1f (warm %.1f) orders %.1f looks %.1f refused %.2f",
		s.share(), float64(s.missed)/float64(s.asked), float64(s.late)/float64(s.asked),
		float64(s.rareMiss)/float64(max(1, s.rareAsked)), s.starved, s.models, float64(s.loads)/n, float64(s.warm)/n,
		float64(s.orders)/n, float64(s.looks)/n, float64(s.refused)/n)
}

// TestWorldFigures plays fleets with all troubles: no order may break LIMIT or CEILING. A longer look at the figures:
// go test -run TestWorldFigures -v -days 20
func TestWorldFigures(t *testing.T) {
	for _, s := range []shape{bookingFleet(), walletFleet()} {
		for _, d := range []struct {
			name  string
			fresh func(time.Duration) decider
		}{
			{"stands", func(time.Duration) decider { return stands{} }},
			{"looking", looking},
			{"blind", blind},
		} {
			t.Run(s.name+" "+d.name, func(t *testing.T) {
				t.Parallel()
				got := playMany(t, s, *days, allTroubles, d.fresh)
				t.Logf("%-8s %-8s %s", s.name, d.name, got.line(*days))
			})
		}
	}
}
