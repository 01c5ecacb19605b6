package dispatch

import (
	"cmp"
	"math/bits"
	"slices"
)

// Assignment by size: prompts of different sizes are sent to different endpoints of a model.
//
// An engine prefills prompts between the decoding steps of running streams, so that a large prompt makes all streams
// of its endpoint pause, and small prompts wait behind it. Routers can't know each other's requests in time, but they
// can reduce the spread of prompt sizes at each endpoint without communication (task assignment by size intervals,
// SITA, in queueing theory). The sizes are divided into as many intervals as the model has endpoints, each with the
// same part of all tokens, and each endpoint prefers the prompts of one interval. Routers agree on the order of the
// endpoints by hashing, and nearly agree on the intervals, since they see the same distribution of sizes.

const (
	sizeSeed         = 0x5a1e5eed // of the hash that orders the endpoints, which must differ from rendezvous hashing
	sizeDecay        = 0.995      // weight of earlier prompts at each new one
	sizeSubdivisions = 4          // buckets between two powers of two
	sizeBuckets      = 24 * sizeSubdivisions
	minSizeSamples   = 12.0 // decayed number of prompts before sizes are used
)

// sizeDistribution is the distribution of prompt tokens over the sizes of their prompts, with exponential decay.
type sizeDistribution struct {
	tokens [sizeBuckets]float64
	total  float64
	count  float64
}

// sizeBucket returns the bucket of a prompt with the given number of tokens.
func sizeBucket(tokens int) int {
	if tokens < sizeSubdivisions {
		return max(tokens, 0)
	}
	exponent := bits.Len(uint(tokens)) - 1
	fraction := (tokens<<2)>>exponent - sizeSubdivisions
	return min(exponent*sizeSubdivisions+fraction, sizeBuckets-1)
}

// add adds a prompt.
func (s *sizeDistribution) add(tokens int) {
	if tokens <= 0 {
		return
	}
	for i := range s.tokens {
		s.tokens[i] *= sizeDecay
	}
	s.total = s.total*sizeDecay + float64(tokens)
	s.count = s.count*sizeDecay + 1
	s.tokens[sizeBucket(tokens)] += float64(tokens)
}

// sizeInterval is an interval of the cumulative distribution of tokens over prompt sizes, from 0 to 1.
type sizeInterval struct{ from, to float64 }

// allSizes is the interval of a prompt about which nothing is known. It overlaps all others.
var allSizes = sizeInterval{0, 1}

// interval returns the interval of the prompts that have about the same size as one with the given number of tokens;
// allSizes while too little is known.
func (s *sizeDistribution) interval(tokens int) sizeInterval {
	if s.count < minSizeSamples || tokens <= 0 {
		return allSizes
	}
	bucket := sizeBucket(tokens)
	below := 0.0
	for _, sum := range s.tokens[:bucket] {
		below += sum
	}
	return sizeInterval{below / s.total, (below + s.tokens[bucket]) / s.total}
}

// assignSizeIntervals assigns an interval of sizes to each residency of the group, if residencies were added or
// removed. It is called only when a request needs the intervals: an update of the table brings many changes at once,
// and the group of all endpoints may never get a request.
func (g *modelGroup) assignSizeIntervals() {
	if !g.sizeIntervalsStale {
		return
	}
	g.sizeIntervalsStale = false
	ordered := slices.Clone(g.residencies)
	slices.SortFunc(ordered, func(a, b *residency) int {
		return cmp.Compare(mixHash(a.endpoint.hash^sizeSeed), mixHash(b.endpoint.hash^sizeSeed))
	})
	for i, res := range ordered {
		count := float64(len(ordered))
		res.sizeInterval = sizeInterval{float64(i) / count, float64(i+1) / count}
	}
}

// distance returns the fraction of all tokens that lies between two intervals, 0 if they overlap.
func (s sizeInterval) distance(other sizeInterval) float64 {
	return max(s.from-other.to, other.from-s.to, 0)
}
