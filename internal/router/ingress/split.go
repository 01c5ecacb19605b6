package ingress

import (
	"hash/fnv"
	"io"

	"raventrestle/internal/configuration"
)

// serviceFor chooses one of a route's services by weight, the same for each look at one request.
func serviceFor(route *configuration.Route, requestID string) string {
	if len(route.TrafficSplit) == 0 {
		return route.Backend
	}
	var sum uint64
	for _, split := range route.TrafficSplit {
		sum += uint64(max(0, split.Weight))
	}
	if sum == 0 {
		return route.Backend
	}
	hash := fnv.New64a()
	io.WriteString(hash, requestID)
	point := scramble(hash.Sum64()) % sum
	for _, split := range route.TrafficSplit {
		weight := uint64(max(0, split.Weight))
		if point < weight {
			return split.Backend
		}
		point -= weight
	}
	return route.Backend
}

// scramble spreads the hash over all bits: fnv's low ones follow the last bytes too closely.
func scramble(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
