package dispatch

import (
	"cmp"
	"math/bits"
	"slices"
)

// Assignment by size: prompts of different sizes go to different endpoints of a model.
//
// An engine prefills prompts between the tokens of running streams, so that a large prompt makes all streams of its endpoint pause, and
// small prompts wait behind it. Where routers can't know each other's requests in time, the spread of sizes at one endpoint is what
// they can lower without communication (task assignment by size intervals, SITA, of queueing theory): the sizes are divided into as
// many intervals as the model has endpoints, each with the same part of all tokens, and each endpoint prefers the prompts of one.
// Routers agree on the order of the endpoints by hashing, and nearly on the intervals, as they see the same sizes.

const (
	sizeSeed           = 0x5a1e5eed // of the order of endpoints, which must differ from that of rendezvous hashing
	sizeDecay          = 0.995      // weight of earlier prompts, at each new one
	sizeSubdivisions   = 4          // buckets of sizes between two powers of two
	sizeBuckets        = 24 * sizeSubdivisions
	minSizeObservation = 12.0 // prompts, before sizes count
)

// sizeDistribution is how many tokens of prompts are in prompts up to some size, with exponential decay.
type sizeDistribution struct {
	tokens [sizeBuckets]float64
	total  float64
	count  float64
}

// sizeBucket returns the bucket of a prompt of so many tokens.
func sizeBucket(tokens int) int {
	if tokens < sizeSubdivisions {
		return max(tokens, 0)
	}
	exponent := bits.Len(uint(tokens)) - 1
	fraction := (tokens<<2)>>exponent - sizeSubdivisions
	return min(exponent*sizeSubdivisions+fraction, sizeBuckets-1)
}

// add takes in a prompt.
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

// sizeInterval is a part of all tokens, from 0 to 1, in the order of the sizes of the prompts that have them.
type sizeInterval struct{ from, to float64 }

// allSizes is the interval of a prompt of which nothing is known: it meets each other one.
var allSizes = sizeInterval{0, 1}

// interval returns the part of all tokens that is in prompts about as large as one of so many tokens; all of it while too little is known.
func (s *sizeDistribution) interval(tokens int) sizeInterval {
	if s.count < minSizeObservation || tokens <= 0 {
		return allSizes
	}
	at := sizeBucket(tokens)
	below := 0.0
	for _, sum := range s.tokens[:at] {
		below += sum
	}
	return sizeInterval{below / s.total, (below + s.tokens[at]) / s.total}
}

// orderBySize gives each residency of the group its interval of sizes, if residencies have come or gone. It is called when a request
// needs the order: tables bring many changes at once, and a group of all endpoints may never be asked.
func (g *modelGroup) orderBySize() {
	if !g.sizeOrderStale {
		return
	}
	g.sizeOrderStale = false
	ordered := slices.Clone(g.residencies)
	slices.SortFunc(ordered, func(a, b *residency) int {
		return cmp.Compare(mixHash(a.endpoint.hash^sizeSeed), mixHash(b.endpoint.hash^sizeSeed))
	})
	for i, res := range ordered {
		count := float64(len(ordered))
		res.sizes = sizeInterval{float64(i) / count, float64(i+1) / count}
	}
}

// distance returns which part of all tokens lies between two intervals, 0 if they meet.
func (s sizeInterval) distance(other sizeInterval) float64 {
	return max(s.from-other.to, other.from-s.to, 0)
}
