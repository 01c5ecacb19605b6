package simnet

import (
	"testing"

	"raventrestle/coordination/internal/mutation"
)

// maxMutantHistories is within how many histories a mutant must be found.
const maxMutantHistories = 40

// Each rule of the protocol has a mutant that breaks it, and the checks must find each of them. (NoEpochCheck is found by
// TestThawedHeadIsNotLeader, VoteAfterWipe by TestVoteAfterWipeIsFound, a low proposal number that is accepted by the tests
// of package view, an echo that is taken under any number by those of package chain.)
func TestMutantsAreFound(t *testing.T) {
	for name, mutant := range map[string]mutation.Set{
		"no sync":                    {NoSync: true},
		"commit on a short chain":    {CommitShortChain: true},
		"head regardless of its log": {HeadIgnoresLog: true},

		"contact at receipt":         {ProofAtReceipt: true},
		"contact without index":      {ProofWithoutIndex: true},
		"contact by clock":           {ProofByClock: true},
		"contact outlives its epoch": {ProofOutlivesEpoch: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= maxMutantHistories; seed++ {
				if _, err := PlayHistory(seed, mutant, nil); err != nil {
					t.Logf("found: %v", err)
					return
				}
			}
			t.Errorf("not found in %d histories, want a violated invariant", maxMutantHistories)
		})
	}
}
