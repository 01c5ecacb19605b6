package engine

import "raventrestle/coordination/chain"

// Input is one event for the engine. Exactly one of the fields beside CallID and Address is set.
type Input struct {
	CallID  uint64         // names a call; unique among the open calls of the engine
	Message *chain.Message // from a peer
	Address string         // where the message came from
	Command []byte         // to propose; must not be nil
	Barrier bool           // asks for an index that covers everything acknowledged so far
	Cancel  bool           // cancels the call named by CallID
	Leave   bool           // has the member prepare to leave the group
}

// Output is what a step asks of the host, in this order: send the messages, then complete the calls.
type Output struct {
	Messages      []chain.Envelope
	Results       []Result
	Cancellations []Cancellation
	// DiskError is the error with which the disk failed in this step. The engine goes on without the disk and
	// retries after a backoff.
	DiskError error
}

// Result completes a call.
type Result struct {
	CallID uint64
	Value  []byte // result of the command
	Index  uint64 // of the command in the log, or the index that the barrier covers
	Err    error  // nil or ErrOutcomeUnknown
}

// Cancellation confirms that a call was cancelled.
type Cancellation struct {
	CallID    uint64
	MaybeSent bool // the command may have left this member, so it may be applied
}
