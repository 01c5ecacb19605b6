// Package replicatest has a stand-in for a replica: one process, one member, no disk. It is for tests only.
package replicatest

import (
	"context"
	"errors"
	"sync"
	"time"

	"raventrestle/coordination/replica"
)

// ErrRefused is what a refusing double answers.
var ErrRejected = errors.New("the double refuses")

// Double is a replica that commits at once, in memory.
type Double struct {
	mutex               sync.Mutex
	machine             replica.StateMachine
	index               uint64
	status              replica.Status
	changed             chan struct{}
	rejecting           bool
	stalled             bool
	stopped             bool
	partitioned         bool
	lastMajorityContact time.Time     // newest contact with a majority while parted
	barrierCount        int           // barriers that passed
	proposalTimeout     time.Duration // to the last proposal
}

// New makes a double around a machine, which may be nil where nothing is proposed.
func New(machine replica.StateMachine, status replica.Status) *Double {
	return &Double{machine: machine, status: status, changed: make(chan struct{})}
}

// Propose applies the command.
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

// Barrier passes at once, unless the double refuses or stalls.
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

// Status returns what SetStatus set, with a contact with a majority at this moment, unless the double is parted.
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

// SetPartitioned has the contact with a majority end at this moment, or be there again.
func (d *Double) SetPartitioned(parted bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.partitioned, d.lastMajorityContact = parted, time.Now()
	d.signal()
}

// NeverReachMajority has the double be one that never had contact with a majority.
func (d *Double) NeverReachMajority() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.partitioned, d.lastMajorityContact = true, time.Time{}
	d.signal()
}

// SetStatus sets the status and tells of the change.
func (d *Double) SetStatus(status replica.Status) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.status = status
	d.signal()
}

// SetRejecting has proposals and barriers fail, or not any more.
func (d *Double) SetRejecting(refuse bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.rejecting = refuse
}

// SetStalled has proposals and barriers wait for the end of their context, or not any more.
func (d *Double) SetStalled(stall bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stalled = stall
}

// BarrierCount returns how many barriers passed.
func (d *Double) BarrierCount() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.barrierCount
}

// ProposalTimeout returns how long the last proposal was to wait, 0 without a bound.
func (d *Double) ProposalTimeout() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.proposalTimeout
}

// Changed is closed at the next change.
func (d *Double) Changed() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.changed
}

func (d *Double) signal() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Deliver ignores the message.
func (d *Double) Deliver(string, []byte) {}

// Stop notes the end.
func (d *Double) Stop(context.Context) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stopped = true
	return nil
}

// Stopped says whether Stop was called.
func (d *Double) Stopped() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.stopped
}
