package dispatch

// Fairness between kinds of request: how often requests of each rank of a service are served by this router, and how
// often large requests are. A more urgent rank that is served less often than a less urgent one is preferred, and so
// is a rank that is served far less often than the average.

const (
	fairnessDecay      = 0.98 // weight of earlier requests at each new one
	minFairnessSamples = 8.0  // decayed number of requests before a ratio is used
	fairnessNoise      = 0.1  // smaller differences of ratios may be random
	starvationRatio    = 0.5  // fraction of the ratio of all requests, below which a rank is starved
	largeRequestFactor = 1.7  // a large request has more than this multiple of the mean size of its model's requests
)

// servedRatio is the fraction of requests that were served, with exponential decay.
type servedRatio struct{ ended, served float64 }

// add counts a request that has ended.
func (s *servedRatio) add(served bool) {
	s.ended = s.ended*fairnessDecay + 1
	s.served *= fairnessDecay
	if served {
		s.served++
	}
}

// isSignificant reports whether enough requests have ended to use the ratio.
func (s *servedRatio) isSignificant() bool { return s.ended >= minFairnessSamples }

// ratio returns the fraction of the ended requests that were served.
func (s *servedRatio) ratio() float64 { return s.served / s.ended }

// fairness holds the served ratios of one service.
type fairness struct {
	all, large servedRatio
	ranks      []rankServedRatio // in order, the most urgent first
}

// rankServedRatio is the served ratio of one rank.
type rankServedRatio struct {
	rank   int
	served servedRatio
}

// forRank returns the served ratio of a rank, adding it if needed.
func (f *fairness) forRank(rank int) *servedRatio {
	i := 0
	for i < len(f.ranks) && f.ranks[i].rank < rank {
		i++
	}
	if i == len(f.ranks) || f.ranks[i].rank != rank {
		f.ranks = append(f.ranks, rankServedRatio{})
		copy(f.ranks[i+1:], f.ranks[i:])
		f.ranks[i] = rankServedRatio{rank: rank}
	}
	return &f.ranks[i].served
}

// record counts a request that has ended.
func (f *fairness) record(r *request, served bool) {
	f.all.add(served)
	f.forRank(r.rank).add(served)
	if r.isLarge() {
		f.large.add(served)
	}
}

// starved reports whether the request's rank is served far less often than the average, or whether it is a large
// request and those are.
func (f *fairness) starved(r *request) bool {
	if !f.all.isSignificant() {
		return false
	}
	threshold := f.all.ratio() * starvationRatio
	if r.isLarge() && f.large.isSignificant() && f.large.ratio() < threshold {
		return true
	}
	own := f.forRank(r.rank)
	return own.isSignificant() && own.ratio() < threshold
}

// underserved reports whether the request is starved, or its rank is served less often than a less urgent one.
func (f *fairness) underserved(r *request) bool {
	if f.starved(r) {
		return true
	}
	own := f.forRank(r.rank)
	if !own.isSignificant() {
		return false
	}
	for i := range f.ranks {
		other := &f.ranks[i]
		if other.rank > r.rank && other.served.isSignificant() && other.served.ratio() > own.ratio()+fairnessNoise {
			return true
		}
	}
	return false
}
