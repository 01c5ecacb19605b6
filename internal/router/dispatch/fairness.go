package dispatch

// Fairness between kinds of request: how often each rank of a service is served by this router, and how often large requests are. A more
// urgent rank that is served less often than a less urgent one is preferred, and so is one that is served far less often than all.

const (
	fairnessDecay      = 0.98 // weight of earlier ends, at each new one
	minFairnessSamples = 8.0
	fairnessNoise      = 0.1 // difference of ratios that may be chance
	starvationRatio    = 0.5 // of the ratio of all requests, below which a rank is starved
	largeRequestFactor = 1.7 // times the mean size of a model's requests
)

// servedRatio is how often requests were served, with exponential decay.
type servedRatio struct{ ended, served float64 }

// add counts the end of a request.
func (s *servedRatio) add(served bool) {
	s.ended = s.ended*fairnessDecay + 1
	s.served *= fairnessDecay
	if served {
		s.served++
	}
}

// isSignificant reports whether enough requests have ended.
func (s *servedRatio) isSignificant() bool { return s.ended >= minFairnessSamples }

// ratio returns the served fraction of the ended requests.
func (s *servedRatio) ratio() float64 { return s.served / s.ended }

// fairness holds the ratios of one service.
type fairness struct {
	all, large servedRatio
	ranks      []rankServedRatio // the most urgent first
}

// rankServedRatio is the ratio of one rank.
type rankServedRatio struct {
	rank   int
	served servedRatio
}

// forRank returns the ratio of a rank.
func (f *fairness) forRank(rank int) *servedRatio {
	at := 0
	for at < len(f.ranks) && f.ranks[at].rank < rank {
		at++
	}
	if at == len(f.ranks) || f.ranks[at].rank != rank {
		f.ranks = append(f.ranks, rankServedRatio{})
		copy(f.ranks[at+1:], f.ranks[at:])
		f.ranks[at] = rankServedRatio{rank: rank}
	}
	return &f.ranks[at].served
}

// record counts the end of a request.
func (f *fairness) record(r *request, served bool) {
	f.all.add(served)
	f.forRank(r.rank).add(served)
	if r.isLarge() {
		f.large.add(served)
	}
}

// starved reports whether the request's rank is served far less often than all, or large requests are and it is one.
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

// underserved reports whether the request's rank is served less often than it should be.
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
