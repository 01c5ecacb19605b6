package quota

import (
	"math"
	"time"
)

// tenant is one limit as this holder issues credit for it. A tenant without issues in the interval has none.
type tenant struct {
	name    string
	issued  issuance
	record  headroom
	largest float64 // newest large ask: it decays with each record
	denial  denial
	peers   map[string]time.Time // by address: not to be asked again for this tenant before
	askedOf int                  // requests to peers so far: they are asked by turns

	granted, denied float64 // since the process started
}

// denial is the most urgent rank of a tenant that was lately refused for want of credit. Small requests find what they need
// more often than large ones: for a moment, less urgent ones leave what one of the refused ones needs.
type denial struct {
	rank     int
	missing  float64 // mean of what the refused requests needed
	until    time.Time
	bypasses int // less urgent requests since then
}

const (
	denialTime      = time.Second
	denialSmoothing = 0.25 // weight of a refused request in the mean
	denialExemption = 8    // each so many less urgent requests are exempt
	maxDenialShare  = 0.5  // of this holder's part of the limit, that is left at most
)

// note takes in a refusal; less urgent ones than the noted rank don't count.
func (d *denial) note(now time.Time, rank int, missing float64) {
	active := now.Before(d.until)
	if active && rank > d.rank {
		return
	}
	if !active || rank < d.rank {
		d.missing = missing
	}
	d.rank = rank
	d.missing += (missing - d.missing) * denialSmoothing
	d.until = now.Add(denialTime)
}

// left returns what a request of a rank must leave of this holder's part of the limit.
func (d *denial) left(now time.Time, rank int, part float64) float64 {
	if !now.Before(d.until) || rank <= d.rank {
		return 0
	}
	if d.bypasses++; d.bypasses%denialExemption == 0 {
		return 0
	}
	return math.Min(d.missing, maxDenialShare*part)
}

// mayAsk reports whether a peer may be asked for this tenant's credit.
func (t *tenant) mayAsk(now time.Time, peer string) bool { return !now.Before(t.peers[peer]) }

// noteExhausted keeps a peer from being asked again for a moment.
func (t *tenant) noteExhausted(now time.Time, peer string) {
	if t.peers == nil {
		t.peers = make(map[string]time.Time)
	}
	t.peers[peer] = now.Add(exhaustedTime)
}
