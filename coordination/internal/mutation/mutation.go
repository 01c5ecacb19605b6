// Package mutation defines faults for mutation testing: tests inject them into the replication protocol to show that their
// checks detect them. Only tests set them.
package mutation

// Set selects the injected faults. The zero value injects none.
type Set struct {
	NoSync            bool // the log is written but never synced
	NoEpochCheck      bool // messages of earlier epochs are processed
	AcceptAnyProposal bool // a voter accepts proposals with a lower number than it has promised
	VoteAfterWipe     bool // a member that lost its disk restarts with its old identity
	CommitShortChain  bool // a chain with one member too few commits
	HeadIgnoresLog    bool // the head of a new view is chosen regardless of what its log contains
	LeaveImmediately  bool // a leaving member stops before enough other members have everything that was acknowledged
	CountLearners     bool // every member that answers, also a learner, counts as one that has everything
	UncheckedVoters   bool // the voters change although too few of the new ones have everything
	NewestFetchOnly   bool // only the answer to the newest fetch is accepted
	EarlyComplete     bool // a log counts as complete before it contains everything up to the beginning of the epoch

	ProofAtReceipt     bool // a follower computes a proof's time from the receipt of the heartbeat instead of the echo
	ProofWithoutIndex  bool // a proof is valid before the member has applied its index
	ProofByClock       bool // the head proves by its own clock alone, without replies of a majority
	ProofOutlivesEpoch bool // proofs remain valid after the end of their epoch
}
