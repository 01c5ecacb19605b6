package replica

import (
	"errors"
	"fmt"

	"raventrestle/coordination/engine"
)

// The errors that those of Propose, Barrier and Stop wrap; match them with errors.Is.
var (
	// ErrOutcomeUnknown means that the command may or may not be applied, now or later.
	ErrOutcomeUnknown = engine.ErrOutcomeUnknown
	// ErrUnavailable means that the command was not forwarded and will never be applied, or that the barrier was not
	// answered. It is unrelated to the control API's UnavailableError, which concerns requests and tables of endpoints.
	ErrUnavailable = errors.New("no member of the group could take the call")
	// ErrStillNeeded means that the replica was stopped although the group still needs it: too few other members have
	// everything that was acknowledged.
	ErrStillNeeded = errors.New("the member is still needed")
	// ErrStopped means that the replica was stopped.
	ErrStopped = errors.New("the replica is stopped")
)

// OperationError says which operation failed and which member was the head.
type OperationError struct {
	Step string // "propose", "barrier" or "leave"
	Peer string // address of the head in this member's view; empty when it has no view
	Err  error
}

// Error implements error.
func (e *OperationError) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("replica: %s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("replica: %s by %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns Err.
func (e *OperationError) Unwrap() error { return e.Err }
