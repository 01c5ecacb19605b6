package dispatch

// Fairness between kinds of request: how often each rank of a service is served here, and its large requests.
// A more urgent rank that is served less often than a less urgent one is to be preferred, and so is whoever
// is served far less often than all.
const (
	fairnessDecay      = 0.98 // weight of what ended before, at each new end
	minFairnessSamples = 8.0  // ends, before a share says something
	fairnessNoise      = 0.1  // in shares, that may be chance
	starvationRatio    = 0.5  // of the share of all, below which a rank is starved
	largeRequestFactor = 1.7  // the mean size of a model's requests, from which on one is large
)

// servedRatio is how often requests were served, with a fading memory.
type servedRatio struct{ ended, served float64 }

func (s *servedRatio) add(served bool) {
	s.ended = s.ended*fairnessDecay + 1
	s.served *= fairnessDecay
	if served {
		s.served++
	}
}

func (s *servedRatio) isSignificant() bool { return s.ended >= minFairnessSamples }

func (s *servedRatio) ratio() float64 { return s.served / s.ended }

// fairness is the shares of one service.
type fairness struct {
	all, large servedRatio
	ranks      []rankServedRatio // the most urgent first
}

type rankServedRatio struct {
	rank   int
	served servedRatio
}

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

// record notes how a request ended.
func (f *fairness) record(r *request, served bool) {
	f.all.add(served)
	f.forRank(r.rank).add(served)
	if r.isLarge() {
		f.large.add(served)
	}
}

// starved: its rank is served far less often than all, or large requests are and it is one.
func (f *fairness) starved(r *request) bool {
	if !f.all.isSignificant() {
		return false
	}
	least := f.all.ratio() * starvationRatio
	if r.isLarge() && f.large.isSignificant() && f.large.ratio() < least {
		return true
	}
	own := f.forRank(r.rank)
	return own.isSignificant() && own.ratio() < least
}

// lags: it is served less often than it should be.
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

// large: well above the mean of its model. Its own reading fills much of its objective, and it would be
// refused again and again.
func (r *request) isLarge() bool {
	return float64(r.PromptTokens)+float64(r.OutputTokens)/2 > largeRequestFactor*r.group.meanKVTokens
}
