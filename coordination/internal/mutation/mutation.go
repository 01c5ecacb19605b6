// Package mutation names faults that the tests plant into the state machines to see that their checks find
// them. Nothing outside the tests sets one.
package mutation

// Set holds the planted faults; the zero value plants none.
type Set struct {
	NoSync            bool // the log is written but never synced
	NoEpochCheck      bool // messages of an epoch that is over are still answered
	AcceptAnyProposal bool // a voter accepts a ballot below one that it has promised
	VoteAfterWipe     bool // a member that lost its disk comes back under its old identity
	CommitShortChain  bool // a chain one member too short commits
	HeadIgnoresLog    bool // the head of a new view is chosen without regard to its log
	LeaveImmediately  bool // a leaving member goes before enough others hold everything
	CountLearners     bool // any member that answers counts as one that holds everything
	UncheckedVoters   bool // votes change although too few of the new voters hold everything
	NewestFetchOnly   bool // only the answer to the newest question is taken
	EarlyComplete     bool // a member of the chain counts as whole before its log has reached the epoch's beginning

	ProofAtReceipt     bool // a follower counts the head's proof from the receipt of the ping, not from the echo
	ProofWithoutIndex  bool // a proof holds before its index is applied
	ProofByClock       bool // the head proves by its own clock, without answers
	ProofOutlivesEpoch bool // proofs are kept over the end of their epoch
}
