package replica

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

// cancelTimeout is how long a cancelled call waits for the loop to report whether the command was forwarded. If the loop
// is blocked by its disk for longer, the call returns ErrOutcomeUnknown.
const cancelTimeout = 20 * time.Millisecond

// The states of a call. The caller and the loop may both try to leave callQueued; a compare-and-swap lets only the first
// one succeed.
const (
	callQueued    int32 = iota
	callStarted         // the loop passes it to the engine
	callCancelled       // the caller cancelled it before the loop started it
)

// pendingCall is a call whose caller waits for the outcome. The loop completes it at most once.
type pendingCall struct {
	state   atomic.Int32
	outcome chan outcome // has capacity 1, so that the loop never waits for the caller
}

// outcome is what a call returns: the result of a command, or the index of a barrier.
type outcome struct {
	value []byte
	index uint64
	err   error
}

func newPendingCall() *pendingCall { return &pendingCall{outcome: make(chan outcome, 1)} }

// setStarted changes the state to callStarted. It reports false when the call was cancelled before.
func (c *pendingCall) setStarted() bool { return c.state.CompareAndSwap(callQueued, callStarted) }

// setCancelled changes the state to callCancelled, so that the loop never starts the call. It reports false when the call
// was already started.
func (c *pendingCall) setCancelled() bool { return c.state.CompareAndSwap(callQueued, callCancelled) }

func (c *pendingCall) complete(o outcome) {
	select {
	case c.outcome <- o:
	default:
	}
}

// Propose implements Interface.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if command == nil {
		command = []byte{}
	}
	o := r.call(ctx, command)
	if o.err != nil {
		return nil, &OperationError{Step: "propose", Peer: r.headAddress(), Err: o.err}
	}
	return o.value, nil
}

// Barrier implements Interface.
func (r *Replica) Barrier(ctx context.Context) (uint64, error) {
	o := r.call(ctx, nil)
	if o.err != nil {
		return 0, &OperationError{Step: "barrier", Peer: r.headAddress(), Err: o.err}
	}
	return o.index, nil
}

// call passes a command, or a barrier if the command is nil, to the loop and waits for the outcome.
func (r *Replica) call(ctx context.Context, command []byte) outcome {
	call, id := newPendingCall(), r.nextCallID.Add(1)
	r.inbox.put(inboxItem{callID: id, command: command, call: call})
	select {
	case o := <-call.outcome:
		return o
	case <-r.done:
		return r.outcomeAfterStop(call)
	case <-ctx.Done():
		return r.cancelCall(ctx, call, id)
	}
}

// cancelCall cancels a call whose context has ended, and returns what is known of its outcome.
func (r *Replica) cancelCall(ctx context.Context, call *pendingCall, id uint64) outcome {
	if call.setCancelled() {
		return outcome{err: fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())}
	}
	r.inbox.put(inboxItem{callID: id})
	timer := time.NewTimer(cancelTimeout)
	defer timer.Stop()
	select {
	case o := <-call.outcome:
		if o.err != nil {
			o.err = fmt.Errorf("%w: %w", o.err, ctx.Err())
		}
		return o
	case <-r.done:
		return r.outcomeAfterStop(call)
	case <-timer.C:
		return outcome{err: fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())}
	}
}

// outcomeAfterStop returns the outcome of a call after the loop has ended.
func (r *Replica) outcomeAfterStop(call *pendingCall) outcome {
	if call.setCancelled() {
		return outcome{err: fmt.Errorf("%w: %w", ErrUnavailable, ErrStopped)}
	}
	select {
	case o := <-call.outcome:
		return o
	default:
		return outcome{err: fmt.Errorf("%w: %w", ErrOutcomeUnknown, ErrStopped)}
	}
}
