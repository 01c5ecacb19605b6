// Package history checks after a run what couriers wrote of what they did (see internal/history), all couriers'
// histories and the server-side ledger together.
//
// The invariant: a history that the rules allow has no violation (TestRightHistoriesPass), and each rule broken
// has one, by the name of its checker (TestMutants). What a killed life could not write any more, or a full
// mailbox dropped, is counted and never taken for a thing that was not done (TestLostTailIsUnproven).
package history

import "raventrestle/internal/history"

// The records and their kinds, as the couriers write them.
type (
	Record = history.Record
	Rest   = history.Evidence
	Kind   = history.Kind
)

const (
	Begun        = history.Begun
	Ended        = history.Ended
	FactTaken    = history.FactAccepted
	Decided      = history.Decided
	Lent         = history.Lent
	Borrowed     = history.Borrowed
	Returned     = history.Returned
	LoanEnded    = history.LoanEnded
	InUse        = history.InUse
	Charged      = history.Charged
	TakenOn      = history.MessageAccepted
	TryBegun     = history.AttemptBegun
	MessageEnded = history.MessageEnded
	WaitHeard    = history.WaitReceived
	CallWritten  = history.CallWritten
	Proposed     = history.Proposed
	Acknowledged = history.Acknowledged
	InForce      = history.InEffect
	Gap          = history.Gap

	Delivered       = history.Delivered
	Undeliverable   = history.Undeliverable
	Deferred        = history.Deferred
	Void            = history.Void
	LetterDelivered = history.DeadLetterDelivered
)

// ErrCorrupt is a record that can't have been written so.
var ErrCorrupt = history.ErrCorrupt
