package quota

import (
	"cmp"
	"math"
	"slices"
)

// maxMinFairShares divides a capacity by max-min fairness (Bertsekas and Gallager, Data Networks, 6.5.2): demands are
// satisfied completely up to a common fair level, and what exceeds the level gets the level. It returns the share of each
// demand and the capacity that remains when all demands are satisfied.
func maxMinFairShares(demands []float64, capacity float64) (shares []float64, rest float64) {
	shares = make([]float64, len(demands))
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(demands[x], demands[y]) })
	for i, index := range order {
		fairLevel := capacity / float64(len(order)-i)
		shares[index] = math.Min(demands[index], fairLevel)
		capacity -= shares[index]
	}
	return shares, math.Max(0, capacity)
}
