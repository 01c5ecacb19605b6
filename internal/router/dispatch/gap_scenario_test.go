package dispatch

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"
)

var gapSeeds = flag.Int("pause-seeds", 3, "number of seeds of TestSizeIntervalsReduceLongGaps")

// startStreamingFleet starts engines and streams. A third of the engines is slower, and each has two of eight models,
// whose demand differs. The streams have a target for the gap between two events, and are sent by many routers that
// know little of each other's load.
func (w *simulation) startStreamingFleet(requestsPerSecond float64) {
	const models, endpoints = 8, 12
	for i := range endpoints {
		e := w.addEngine(fmt.Sprint("m", i%models), fmt.Sprint("m", (i*5+3)%models))
		if i%3 == 2 {
			e.slow = 1.3
		}
	}
	total := 0.0
	for i := range models {
		total += 1 / float64(i+2)
	}
	for i := range models {
		rate := requestsPerSecond / float64(i+2) / total
		w.kinds = append(w.kinds, &requestKind{
			name: "card", model: fmt.Sprint("m", i), perSecond: 0.65 * rate, latencyTarget: 800 * time.Millisecond, timeout: 15 * time.Second,
			prompt: 1460, output: 172, retryable: true, clientRetries: 1, routePriority: 1, gapTarget: 250 * time.Millisecond,
		}, &requestKind{
			name: "help", model: fmt.Sprint("m", i), perSecond: 0.35 * rate, latencyTarget: 600 * time.Millisecond, timeout: 8 * time.Second,
			prompt: 650, output: 70, retryable: true, clientRetries: 1, routePriority: 2, gapTarget: 250 * time.Millisecond,
		})
	}
	w.start()
}

// longGapFraction runs the fleet and returns the fraction of the served streams that had a gap above their target.
func longGapFraction(t *testing.T, seed uint64, without Mechanism) float64 {
	t.Helper()
	w := newSimulation(t, seed, 16)
	for _, d := range w.routers {
		d.config.Without = without
	}
	w.startStreamingFleet(70)
	w.run(25 * time.Second)
	w.finish()
	longGaps, served := 0, 0
	for _, k := range w.kinds {
		longGaps += k.longGaps
		served += k.inTime + k.retried + k.served
	}
	return float64(longGaps) / float64(served)
}

// TestSizeIntervalsReduceLongGaps compares runs with the same seeds with and without size intervals. With them, a
// smaller fraction of streams must have a gap above its target, by more than two standard errors of the mean
// difference.
func TestSizeIntervalsReduceLongGaps(t *testing.T) {
	var sum, squares, sumWith float64
	for seed := range *gapSeeds {
		fraction := longGapFraction(t, uint64(seed+1), 0)
		difference := longGapFraction(t, uint64(seed+1), SizeIntervals) - fraction
		sum, squares, sumWith = sum+difference, squares+difference*difference, sumWith+fraction
	}
	n := float64(*gapSeeds)
	mean := sum / n
	deviation := math.Sqrt((squares/n - mean*mean) / (n - 1))
	t.Logf("%.4f of the streams have a long gap with size intervals; %.4f +- %.4f more without", sumWith/n, mean, deviation)
	if mean <= 2*deviation {
		t.Errorf("%.4f +- %.4f more of the streams have a long gap without size intervals, want more than two standard errors", mean, deviation)
	}
}
