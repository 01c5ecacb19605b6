package ingress

import (
	"hash/fnv"
	"io"

	"raventrestle/internal/configuration"
)

// serviceFor returns the service that a request goes to: one of the route's services, chosen in proportion to their
// weights by a hash of the request's id, so that a client's retry goes to the same one.
func serviceFor(route *configuration.Route, requestID string) string {
	if len(route.TrafficSplit) == 0 {
		return route.Backend
	}
	var total uint64
	for _, split := range route.TrafficSplit {
		total += uint64(max(0, split.Weight))
	}
	if total == 0 {
		return route.Backend
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, requestID) // a hash returns no error
	point := mix(hash.Sum64()) % total
	for _, split := range route.TrafficSplit {
		weight := uint64(max(0, split.Weight))
		if point < weight {
			return split.Backend
		}
		point -= weight
	}
	return route.Backend
}

// mix spreads a hash over all bits (half of the finalizer of MurmurHash3): the low bits of FNV depend on the last bytes of
// the input too much.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
