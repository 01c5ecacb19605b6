package dispatch

// Fairness between kinds of request: how often each rank of a service is served here, and its large requests.
// A more urgent rank that is served less often than a less urgent one is to be preferred, and so is whoever
// is served far less often than all.
const (
	fairMemory  = 0.98 // weight of what ended before, at each new end
	fairLeast   = 8.0  // ends, before a share says something
	fairMargin  = 0.1  // in shares, that may be chance
	starvedPart = 0.5  // of the share of all, below which a rank is starved
	largeTimes  = 1.7  // the mean size of a model's requests, from which on one is large
)

// share is how often requests were served, with a fading memory.
type share struct{ ended, served float64 }

func (s *share) add(served bool) {
	s.ended = s.ended*fairMemory + 1
	s.served *= fairMemory
	if served {
		s.served++
	}
}

func (s *share) known() bool { return s.ended >= fairLeast }

func (s *share) part() float64 { return s.served / s.ended }

// fairness is the shares of one service.
type fairness struct {
	all, large share
	ranks      []rankShare // the most urgent first
}

type rankShare struct {
	rank  int
	share share
}

func (f *fairness) of(rank int) *share {
	at := 0
	for at < len(f.ranks) && f.ranks[at].rank < rank {
		at++
	}
	if at == len(f.ranks) || f.ranks[at].rank != rank {
		f.ranks = append(f.ranks, rankShare{})
		copy(f.ranks[at+1:], f.ranks[at:])
		f.ranks[at] = rankShare{rank: rank}
	}
	return &f.ranks[at].share
}

// count notes how a request ended.
func (f *fairness) count(r *request, served bool) {
	f.all.add(served)
	f.of(r.rank).add(served)
	if r.large() {
		f.large.add(served)
	}
}

// starved: its rank is served far less often than all, or large requests are and it is one.
func (f *fairness) starved(r *request) bool {
	if !f.all.known() {
		return false
	}
	least := f.all.part() * starvedPart
	if r.large() && f.large.known() && f.large.part() < least {
		return true
	}
	own := f.of(r.rank)
	return own.known() && own.part() < least
}

// lags: it is served less often than it should be.
func (f *fairness) lags(r *request) bool {
	if f.starved(r) {
		return true
	}
	own := f.of(r.rank)
	if !own.known() {
		return false
	}
	for i := range f.ranks {
		other := &f.ranks[i]
		if other.rank > r.rank && other.share.known() && other.share.part() > own.part()+fairMargin {
			return true
		}
	}
	return false
}

// large: well above the mean of its model. Its own reading fills much of its objective, and it would be
// refused again and again.
func (r *request) large() bool {
	return float64(r.PromptTokens)+float64(r.OutputTokens)/2 > largeTimes*r.group.kvTokens
}
