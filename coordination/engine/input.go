package engine

import "raventrestle/coordination/chain"

// Input is one event for the engine. Exactly one field is set, besides CallID and Address.
type Input struct {
	CallID  uint64         // identifies a call; unique among the open calls of the engine
	Message *chain.Message // from a peer
	Address string         // where the message came from
	Command []byte         // to propose; must not be nil
	Barrier bool           // requests an index that covers everything acknowledged so far
	Cancel  bool           // cancels the call with CallID
	Leave   bool           // makes the member prepare to leave the group
}

// Output is what the host must do after a step: first send the messages, then complete the calls.
type Output struct {
	Messages      []chain.Envelope
	Results       []Result
	Cancellations []Cancellation
	// DiskError is the error of the disk in this step, or nil. The engine continues without the disk and retries it
	// after a backoff.
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
