// Package historycheck checks, after a run, the histories that couriers recorded of their actions (see internal/history)
// together with the ledger of the server side.
//
// A history that follows the rules has no violation (TestValidHistoriesPass). Each broken rule is reported under the name
// of its checker (TestEachBrokenRuleIsFound). Records that a killed courier could not write, or that a full mailbox
// dropped, are taken into account: their absence never counts as proof that the action did not happen
// (TestLostRecordsAreUnproven).
package historycheck

import "raventrestle/internal/history"

// The types of records that couriers write.
type (
	Record = history.Record
	Rest   = history.Evidence
	Kind   = history.Kind
)

// The kinds of records, and the ways in which a message ends. Package history documents them.
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

// ErrCorrupt reports a file with a record that no courier can have written.
var ErrCorrupt = history.ErrCorrupt
