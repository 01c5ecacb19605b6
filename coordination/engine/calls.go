package engine

import "raventrestle/coordination/chain"

// calls holds the open calls of this member's clients. The chain state machine identifies them by numbers of its own.
type calls struct {
	byNumber map[uint64]call
	numbers  map[uint64]uint64 // number by call ID
}

type call struct {
	id      uint64
	barrier bool
}

func newCalls() calls { return calls{byNumber: map[uint64]call{}, numbers: map[uint64]uint64{}} }

func (c *calls) add(number uint64, opened call) {
	c.byNumber[number], c.numbers[opened.id] = opened, number
}

// remove removes and returns the call with the number. It returns false if no such call is open.
func (c *calls) remove(number uint64) (call, bool) {
	removed, open := c.byNumber[number]
	if open {
		delete(c.byNumber, number)
		delete(c.numbers, removed.id)
	}
	return removed, open
}

// cancel cancels an open call. A call that has already completed is ignored.
func (e *Engine) cancel(id uint64) {
	number, open := e.calls.numbers[id]
	if !open {
		return
	}
	cancelled, _ := e.calls.remove(number)
	maybeSent := false
	if cancelled.barrier {
		e.node.CancelBarrier(number)
	} else {
		maybeSent = e.node.CancelProposal(number)
	}
	e.output.Cancellations = append(e.output.Cancellations, Cancellation{CallID: id, MaybeSent: maybeSent})
}

// applyCommitted applies the entries that are committed and durable, and completes the calls that wait for them.
func (e *Engine) applyCommitted() {
	for _, entry := range e.node.TakeCommitted() {
		e.applyEntry(entry)
	}
	for _, number := range e.node.TakeUnknownOutcomes() {
		e.complete(number, Result{Err: ErrOutcomeUnknown})
	}
	for _, barrier := range e.node.TakeBarrierResults() {
		e.complete(barrier.RequestID, Result{Index: barrier.Index})
	}
}

// applyEntry applies one entry, unless its command was applied before at another index.
func (e *Engine) applyEntry(entry chain.Applied) {
	if entry.Duplicate {
		return
	}
	value := e.config.StateMachine.Apply(entry.Index, entry.Command)
	if e.node.IsOwnCommand(entry.ID) {
		e.complete(entry.ID.Number, Result{Value: value, Index: entry.Index})
	}
}

// complete completes the call with the number. A call that was cancelled is ignored.
func (e *Engine) complete(number uint64, result Result) {
	completed, open := e.calls.remove(number)
	if !open {
		return
	}
	result.CallID = completed.id
	e.output.Results = append(e.output.Results, result)
}
