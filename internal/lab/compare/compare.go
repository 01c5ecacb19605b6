// Package compare says whether two sets of runs differ, pair by pair, and how sure that is. It is
// pure: the same figures give the same answer.
package compare

import (
	"errors"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Pair is one day played by both sides.
type Pair struct {
	Scenario string
	Seed     uint64
	A, B     float64
}

// Result is the mean of B less A over the pairs, with the bounds that hold it in 95 of 100 resamples.
type Result struct {
	Pairs     int     `json:"pairs"`
	Mean      float64 `json:"mean"`
	Low, High float64
	Noise     bool `json:"noise"` // the bounds hold 0: nothing is shown
}

// ErrFew says that there are too few pairs to say anything.
var ErrFew = errors.New("compare: at least three days that both sides played are needed")

const resamples = 10_000

// Of compares by the bootstrap: pairs are drawn anew with replacement, over and over, and the spread
// of their means is the doubt about the mean.
func Of(pairs []Pair) (Result, error) {
	if len(pairs) < 3 {
		return Result{}, ErrFew
	}
	d := make([]float64, len(pairs))
	for i, p := range pairs {
		d[i] = p.B - p.A
	}
	rnd := rand.New(rand.NewPCG(1, 2)) // fixed: the answer is a function of the figures
	means := make([]float64, resamples)
	sample := make([]float64, len(d))
	for i := range means {
		for j := range sample {
			sample[j] = d[rnd.IntN(len(d))]
		}
		means[i] = stat.Mean(sample, nil)
	}
	slices.Sort(means)
	r := Result{
		Pairs: len(d), Mean: stat.Mean(d, nil), Low: stat.Quantile(0.025, stat.Empirical, means, nil),
		High: stat.Quantile(0.975, stat.Empirical, means, nil),
	}
	r.Noise = r.Low <= 0 && r.High >= 0
	return r, nil
}
