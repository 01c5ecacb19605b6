package replica

import (
	"errors"
	"fmt"

	"raventrestle/coordination/engine"
)

// The causes of failure of Propose, Barrier and Stop, for errors.Is.
var (
	// ErrOutcomeUnknown means that the command may or may not be applied, now or later.
	ErrOutcomeUnknown = engine.ErrOutcomeUnknown
	// ErrUnavailable means that the command was not forwarded, so that it is never applied, or that the barrier was not
	// answered. The control API's UnavailableError is another condition: it concerns endpoints' requests and tables.
	ErrUnavailable = errors.New("no member of the group could take the call")
	// ErrStillNeeded means that the replica was stopped although the group still needs it: too few others have
	// everything that was acknowledged.
	ErrStillNeeded = errors.New("the member is still needed")
	// ErrStopped means that the replica was stopped.
	ErrStopped = errors.New("the replica is stopped")
)

// OperationError says at which step and with which peer a call failed.
type OperationError struct {
	Step string // "propose", "barrier" or "leave"
	Peer string // address of the head as this member knows it; empty when it knows none
	Err  error
}

// Error implements error.
func (e *OperationError) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("replica: %s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("replica: %s by %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *OperationError) Unwrap() error { return e.Err }
