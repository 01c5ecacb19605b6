package subscription

import "time"

const maxPendingClaims = 16

// appliedState is what is applied, and how fresh that is proven to be.
//
// Invariant: every version of the configuration that was acknowledged anywhere before freshAsOf is applied. A claim of an
// instance therefore counts only once the generation that it names is applied.
type appliedState struct {
	generation          int64 // of the configuration; 0: none
	hasSnapshot         bool  // a complete table of endpoints was applied
	generationConfirmed bool  // at some moment since this process started the applied generation was the newest, maybe 0
	ready               bool
	freshAsOf           time.Time        // zero: unknown
	pendingClaims       []freshnessClaim // of generations that are not applied yet, oldest first
}

// freshnessClaim states that all versions that were acknowledged anywhere before a moment are at or below a generation.
type freshnessClaim struct {
	generation int64
	asOf       time.Time
}

// addClaim takes in a claim. Of each generation the newest counts; beyond maxPendingClaims the oldest is dropped, which
// makes freshAsOf rise later, never too early.
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

// configurationApplied notes a generation that is applied, and the claims of it and of earlier ones.
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

// becomesReady says whether the process is ready from now on. It stays ready: what is applied serves on while the control
// plane is out of reach.
func (a *appliedState) becomesReady() bool {
	if a.ready || !a.hasSnapshot || !a.generationConfirmed || a.generation == 0 {
		return false
	}
	a.ready = true
	return true
}
