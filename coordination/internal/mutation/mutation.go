// Package mutation names the faults that tests inject into the state machines, to show that their checks detect them
// (mutation testing). Nothing outside the tests sets one.
package mutation

// Set selects the injected faults. The zero value injects none.
type Set struct {
	NoSync            bool // the log is written but never synced
	NoEpochCheck      bool // messages of an earlier epoch are still handled
	AcceptAnyProposal bool // a voter accepts a proposal below one that it has promised
	VoteAfterWipe     bool // a member that lost its disk comes back under its old identity
	CommitShortChain  bool // a chain one member too short commits
	HeadIgnoresLog    bool // the head of a new view is chosen without regard to its log
	LeaveImmediately  bool // a leaving member stops before enough others have everything
	CountLearners     bool // any member that answers counts as one that has everything
	UncheckedVoters   bool // voters change although too few of the new ones have everything
	NewestFetchOnly   bool // only the answer to the newest fetch is taken
	EarlyComplete     bool // a log counts as complete before it has reached the beginning of the epoch

	ProofAtReceipt     bool // a follower dates the head's proof by the receipt of the heartbeat, not by the echo
	ProofWithoutIndex  bool // a proof is valid before its index is applied
	ProofByClock       bool // the head proves by its own clock, without replies
	ProofOutlivesEpoch bool // proofs are kept beyond the end of their epoch
}
