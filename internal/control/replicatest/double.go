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
var ErrRefused = errors.New("the double refuses")

// Double is a replica that commits at once, in memory.
type Double struct {
	mutex   sync.Mutex
	machine replica.Machine
	index   uint64
	status  replica.Status
	changed chan struct{}
	refuse  bool
	stall   bool
	stopped bool
	parted  bool
	contact time.Time     // newest contact with a majority while parted
	barrier int           // barriers that passed
	given   time.Duration // to the last proposal
}

// New makes a double around a machine, which may be nil where nothing is proposed.
func New(machine replica.Machine, status replica.Status) *Double {
	return &Double{machine: machine, status: status, changed: make(chan struct{})}
}

// Propose applies the command.
func (d *Double) Propose(ctx context.Context, command []byte) ([]byte, error) {
	d.mutex.Lock()
	if deadline, bounded := ctx.Deadline(); bounded {
		d.given = time.Until(deadline)
	}
	if d.stall {
		d.mutex.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	defer d.mutex.Unlock()
	if d.refuse {
		return nil, ErrRefused
	}
	d.index++
	result := d.machine.Apply(d.index, command)
	d.status.Committed = d.index
	d.signal()
	return result, nil
}

// Barrier passes at once, unless the double refuses or stalls.
func (d *Double) Barrier(ctx context.Context) (uint64, error) {
	d.mutex.Lock()
	if d.stall {
		d.mutex.Unlock()
		<-ctx.Done()
		return 0, ctx.Err()
	}
	defer d.mutex.Unlock()
	if d.refuse {
		return 0, ErrRefused
	}
	d.barrier++
	return d.index, nil
}

// Status returns what SetStatus set, with a contact with a majority at this moment, unless the double is parted.
func (d *Double) Status() replica.Status {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	status := d.status
	status.ConfirmedAt = d.contact
	if !d.parted {
		status.ConfirmedAt = time.Now()
	}
	return status
}

// Part has the contact with a majority end at this moment, or be there again.
func (d *Double) Part(parted bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.parted, d.contact = parted, time.Now()
	d.signal()
}

// PartForever has the double be one that never had contact with a majority.
func (d *Double) PartForever() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.parted, d.contact = true, time.Time{}
	d.signal()
}

// SetStatus sets the status and tells of the change.
func (d *Double) SetStatus(status replica.Status) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.status = status
	d.signal()
}

// Refuse has proposals and barriers fail, or not any more.
func (d *Double) Refuse(refuse bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.refuse = refuse
}

// Stall has proposals and barriers wait for the end of their context, or not any more.
func (d *Double) Stall(stall bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stall = stall
}

// Barriers returns how many barriers passed.
func (d *Double) Barriers() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.barrier
}

// Patience returns how long the last proposal was to wait, 0 without a bound.
func (d *Double) Patience() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.given
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
