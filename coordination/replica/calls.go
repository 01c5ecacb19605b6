package replica

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

// patience is how long a call that was given up waits to hear whether it had been sent on. The owner may be held
// by its disk for longer; then the answer is unclear.
const patience = 20 * time.Millisecond

// The states of a call.
const (
	callQueued int32 = iota
	callBegun
	callGivenUp
)

// waiter is a call that waits for its outcome.
type waiter struct {
	state   atomic.Int32
	outcome chan outcome
}

type outcome struct {
	value []byte
	index uint64
	err   error
}

func newWaiter() *waiter { return &waiter{outcome: make(chan outcome, 1)} }

// begin tells whether the owner may begin the call.
func (w *waiter) begin() bool { return w.state.CompareAndSwap(callQueued, callBegun) }

// giveUp tells whether the call will never begin.
func (w *waiter) giveUp() bool { return w.state.CompareAndSwap(callQueued, callGivenUp) }

func (w *waiter) end(o outcome) {
	select {
	case w.outcome <- o:
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

func (r *Replica) call(ctx context.Context, command []byte) outcome {
	w, token := newWaiter(), r.nextToken.Add(1)
	r.queue.put(item{token: token, command: command, waiter: w})
	select {
	case o := <-w.outcome:
		return o
	case <-r.done:
		return r.afterEnd(w)
	case <-ctx.Done():
	}
	if w.giveUp() {
		return outcome{err: fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())}
	}
	r.queue.put(item{token: token})
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case o := <-w.outcome:
		if o.err != nil {
			o.err = fmt.Errorf("%w: %w", o.err, ctx.Err())
		}
		return o
	case <-r.done:
		return r.afterEnd(w)
	case <-timer.C:
		return outcome{err: fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())}
	}
}

// afterEnd returns the outcome of a call whose replica has ended.
func (r *Replica) afterEnd(w *waiter) outcome {
	if w.giveUp() {
		return outcome{err: fmt.Errorf("%w: %w", ErrUnavailable, ErrStopped)}
	}
	select {
	case o := <-w.outcome:
		return o
	default:
		return outcome{err: fmt.Errorf("%w: %w", ErrOutcomeUnknown, ErrStopped)}
	}
}
