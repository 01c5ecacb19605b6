package subscription

import "time"

// maxPendingClaims limits the claims that are kept for generations that are not applied yet.
const maxPendingClaims = 16

// appliedState is the state that has been applied, and its proven freshness.
//
// Invariant: every version of the configuration that was acknowledged anywhere before freshAsOf is applied. The claim of an
// instance therefore takes effect only after the generation that it names is applied.
type appliedState struct {
	generation          int64 // of the applied configuration; 0: none
	hasSnapshot         bool  // a complete table of endpoints has been applied
	generationConfirmed bool  // the applied generation, or 0, was the newest at some time since this process started
	ready               bool
	freshAsOf           time.Time        // zero: unknown
	pendingClaims       []freshnessClaim // for generations that are not applied yet, oldest first
}

// freshnessClaim states that all versions that were acknowledged anywhere before asOf have at most the given generation.
type freshnessClaim struct {
	generation int64
	asOf       time.Time
}

// addClaim adds a claim. Only the newest claim for each generation is kept. If there are more than maxPendingClaims, the oldest is
// dropped, which can make freshAsOf older than necessary but never too new.
func (a *appliedState) addClaim(claim freshnessClaim) {
	if claim.generation <= a.generation {
		a.raiseFreshness(claim.asOf)
		return
	}
	for i := range a.pendingClaims {
		if a.pendingClaims[i].generation == claim.generation {
			a.pendingClaims[i].asOf = laterOf(a.pendingClaims[i].asOf, claim.asOf)
			return
		}
	}
	if len(a.pendingClaims) == maxPendingClaims {
		a.pendingClaims = a.pendingClaims[1:]
	}
	a.pendingClaims = append(a.pendingClaims, claim)
}

func (a *appliedState) raiseFreshness(asOf time.Time) {
	a.freshAsOf = laterOf(a.freshAsOf, asOf)
}

// configurationApplied records that a generation is applied, which makes the claims for it and for earlier ones effective.
func (a *appliedState) configurationApplied(generation int64) {
	a.generation = generation
	var pending []freshnessClaim
	for _, claim := range a.pendingClaims {
		if claim.generation <= generation {
			a.raiseFreshness(claim.asOf)
		} else {
			pending = append(pending, claim)
		}
	}
	a.pendingClaims = pending
}

// setReadyIfComplete makes the state ready once a configuration and a complete table of endpoints are applied and a generation is
// confirmed. It reports whether the state became ready. The state remains ready, because the process continues to serve with the
// applied state while the control plane is unreachable.
func (a *appliedState) setReadyIfComplete() bool {
	if a.ready || !a.hasSnapshot || !a.generationConfirmed || a.generation == 0 {
		return false
	}
	a.ready = true
	return true
}
