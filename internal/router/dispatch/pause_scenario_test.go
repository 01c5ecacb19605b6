package dispatch

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"
)

var pauseSeeds = flag.Int("pause-seeds", 3, "seeds of TestSizeIntervalsLowerPauses")

// startStreamingFleet starts engines, a third of them slower, each with two of eight models whose demand differs, and streams with a
// target for the gap between two events, from routers that see little of each other's load.
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
			prompt: 1460, output: 172, retryable: true, clientRetries: 1, rank: 1, gapTarget: 250 * time.Millisecond,
		}, &requestKind{
			name: "help", model: fmt.Sprint("m", i), perSecond: 0.35 * rate, latencyTarget: 600 * time.Millisecond, timeout: 8 * time.Second,
			prompt: 650, output: 70, retryable: true, clientRetries: 1, rank: 2, gapTarget: 250 * time.Millisecond,
		})
	}
	w.start()
}

// pausedShare plays the fleet and returns which share of the served streams paused too long.
func pausedShare(t *testing.T, seed uint64, without Mechanism) float64 {
	t.Helper()
	w := newSimulation(t, seed, 16)
	for _, d := range w.routers {
		d.config.Without = without
	}
	w.startStreamingFleet(70)
	w.play(25 * time.Second)
	w.finish()
	paused, served := 0, 0
	for _, k := range w.kinds {
		paused += k.paused
		served += k.inTime + k.retried + k.served
	}
	return float64(paused) / float64(served)
}

// TestSizeIntervalsLowerPauses compares the same seeds with and without intervals of sizes: fewer streams must pause with them, by more
// than two standard errors of the mean difference.
func TestSizeIntervalsLowerPauses(t *testing.T) {
	var sum, squares, with float64
	for seed := range *pauseSeeds {
		paused := pausedShare(t, uint64(seed+1), 0)
		difference := pausedShare(t, uint64(seed+1), SizeIntervals) - paused
		sum, squares, with = sum+difference, squares+difference*difference, with+paused
	}
	n := float64(*pauseSeeds)
	mean := sum / n
	deviation := math.Sqrt((squares/n - mean*mean) / (n - 1))
	t.Logf("%.4f of the streams pause with intervals of sizes; %.4f +- %.4f more without", with/n, mean, deviation)
	if mean <= 2*deviation {
		t.Errorf("%.4f +- %.4f more streams pause without intervals of sizes, want clearly more", mean, deviation)
	}
}
