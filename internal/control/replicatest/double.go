// Package replicatest provides a test double of replica.Interface: one process, one member, no disk and no network. It is
// imported by tests only.
package replicatest

import (
	"context"
	"errors"
	"sync"
	"time"

	"raventrestle/coordination/replica"
)

var _ replica.Interface = (*Double)(nil)

// ErrRejected is returned by proposals and barriers while the double rejects them.
var ErrRejected = errors.New("replicatest: rejected on request of the test")

// Double is a replica that commits every proposal at once, in memory. A test sets its status and has it reject calls, stall
// them, or lose contact with the majority. Its methods are safe for concurrent use.
type Double struct {
	mutex               sync.Mutex
	machine             replica.StateMachine
	index               uint64 // of the newest command
	status              replica.Status
	changed             chan struct{}
	rejecting           bool
	stalled             bool
	stopped             bool
	partitioned         bool
	lastMajorityContact time.Time // newest, while partitioned
	barrierCount        int
	proposalTimeout     time.Duration
}

// New makes a double around a state machine, which may be nil where nothing is proposed.
func New(machine replica.StateMachine, status replica.Status) *Double {
	return &Double{machine: machine, status: status, changed: make(chan struct{})}
}

// Propose applies the command and returns its result, unless the double rejects or stalls.
func (d *Double) Propose(ctx context.Context, command []byte) ([]byte, error) {
	d.mutex.Lock()
	if deadline, bounded := ctx.Deadline(); bounded {
		d.proposalTimeout = time.Until(deadline)
	}
	if d.stalled {
		d.mutex.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	defer d.mutex.Unlock()
	if d.rejecting {
		return nil, ErrRejected
	}
	d.index++
	result := d.machine.Apply(d.index, command)
	d.status.CommitIndex = d.index
	d.signal()
	return result, nil
}

// Barrier returns the newest index, unless the double rejects or stalls.
func (d *Double) Barrier(ctx context.Context) (uint64, error) {
	d.mutex.Lock()
	if d.stalled {
		d.mutex.Unlock()
		<-ctx.Done()
		return 0, ctx.Err()
	}
	defer d.mutex.Unlock()
	if d.rejecting {
		return 0, ErrRejected
	}
	d.barrierCount++
	return d.index, nil
}

// Status returns what SetStatus set, confirmed by a majority at this moment unless the double is partitioned.
func (d *Double) Status() replica.Status {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	status := d.status
	status.ConfirmedAt = d.lastMajorityContact
	if !d.partitioned {
		status.ConfirmedAt = time.Now()
	}
	return status
}

// Changed returns a channel that is closed at the next change.
func (d *Double) Changed() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.changed
}

// signal closes the channel of the change before. The caller has locked the mutex.
func (d *Double) signal() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Deliver ignores the message.
func (d *Double) Deliver(string, []byte) {}

// Stop records that it was called.
func (d *Double) Stop(context.Context) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stopped = true
	return nil
}

// SetStatus sets the status and signals the change.
func (d *Double) SetStatus(status replica.Status) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.status = status
	d.signal()
}

// SetPartitioned ends the contact with the majority at this moment, or restores it.
func (d *Double) SetPartitioned(partitioned bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.partitioned, d.lastMajorityContact = partitioned, time.Now()
	d.signal()
}

// NeverReachMajority makes the double a member that has never had contact with the majority.
func (d *Double) NeverReachMajority() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.partitioned, d.lastMajorityContact = true, time.Time{}
	d.signal()
}

// SetRejecting decides whether proposals and barriers fail with ErrRejected.
func (d *Double) SetRejecting(rejecting bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.rejecting = rejecting
}

// SetStalled decides whether new proposals and barriers wait for the end of their context.
func (d *Double) SetStalled(stalled bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stalled = stalled
}

// BarrierCount returns how many barriers have succeeded.
func (d *Double) BarrierCount() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.barrierCount
}

// ProposalTimeout returns how long the newest proposal with a deadline was prepared to wait; 0: there was none.
func (d *Double) ProposalTimeout() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.proposalTimeout
}

// Stopped reports whether Stop was called.
func (d *Double) Stopped() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.stopped
}
