package placer

import (
	"math"
	"slices"
)

// fairLevel returns the max-min fair level of utilization: the level up to which the load fills endpoints that already
// have the given utilizations, least utilized first (progressive filling). It sorts the utilizations. The level is
// infinite if there are none.
func fairLevel(utilizations []float64, load float64) float64 {
	slices.Sort(utilizations)
	sum := 0.0
	for i, utilization := range utilizations {
		sum += utilization
		level := (load + sum) / float64(i+1)
		if i+1 == len(utilizations) || level <= utilizations[i+1] {
			return level
		}
	}
	return math.Inf(1)
}

// fairLevelWith returns the fair level with one more endpoint. The utilizations must be sorted. It does not allocate,
// because it is called for each combination of model and endpoint.
func fairLevelWith(sorted []float64, added, load float64) float64 {
	addedAt, _ := slices.BinarySearch(sorted, added)
	utilization := func(i int) float64 {
		switch {
		case i < addedAt:
			return sorted[i]
		case i == addedAt:
			return added
		}
		return sorted[i-1]
	}
	sum := 0.0
	for i := 0; ; i++ {
		sum += utilization(i)
		level := (load + sum) / float64(i+1)
		if i == len(sorted) || level <= utilization(i+1) {
			return level
		}
	}
}
