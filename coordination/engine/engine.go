package engine

import (
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/wal"
)

// Engine is one member of the group. It is used by one goroutine at a time.
type Engine struct {
	config Config
	node   *chain.Node
	log    *wal.Log
	calls  calls

	diskRetryAt    time.Duration // when a disk that failed is to be retried
	compactedBytes int64         // size of the log right after its newest checkpoint
	snapshotBytes  int64         // size of the newest snapshot

	// State of the current step:
	records  [][]byte         // not synced yet
	messages []chain.Envelope // to be sent after the sync
	output   Output
}

// Step processes the inputs in order, syncs once for all of them, and returns the output. It also runs the timers that
// are due. The host calls it at NextStep at the latest, even without inputs.
func (e *Engine) Step(now time.Duration, inputs []Input) Output {
	e.output = Output{}
	if e.node.DiskFailing() && now >= e.diskRetryAt {
		e.retryDisk(now)
	}
	for _, input := range inputs {
		e.handle(now, input)
	}
	e.collect(now, e.node.Tick(now))
	e.flush(now)
	return e.output
}

// handle passes one input to the chain state machine.
func (e *Engine) handle(now time.Duration, input Input) {
	switch {
	case input.Message != nil:
		e.collect(now, e.node.Receive(now, input.Address, *input.Message))
	case input.Command != nil:
		number, out := e.node.Propose(now, input.Command)
		e.calls.add(number, call{id: input.CallID})
		e.collect(now, out)
	case input.Barrier:
		number, out := e.node.Barrier(now)
		e.calls.add(number, call{id: input.CallID, barrier: true})
		e.collect(now, out)
	case input.Cancel:
		e.cancel(input.CallID)
	case input.Leave:
		e.collect(now, e.node.Leave(now))
	}
}

// NextStep returns when the next Step is due at the latest.
func (e *Engine) NextStep() time.Duration {
	if e.node.DiskFailing() {
		return min(e.node.NextTick(), e.diskRetryAt)
	}
	return e.node.NextTick()
}

// Status returns what the member knows of itself and of the group.
func (e *Engine) Status(now time.Duration) chain.Status { return e.node.Status(now) }

// IsLeader reports whether the member is the leader and its lease has not expired.
func (e *Engine) IsLeader(now time.Duration) bool { return e.node.IsLeader(now) }

// SafeToLeave reports whether the process of the member may end after Input.Leave, even if its disk is lost.
func (e *Engine) SafeToLeave() bool { return e.node.SafeToLeave() }

// LeaveBlocker returns why the member can't leave yet, or an empty string once it can.
func (e *Engine) LeaveBlocker() string { return e.node.LeaveBlocker() }

// Node returns the chain state machine, for tests that check its internals.
func (e *Engine) Node() *chain.Node { return e.node }
