package quotahost

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/configuration"
	"raventrestle/internal/control/commandqueue"
	"raventrestle/internal/control/quota"
	"raventrestle/internal/control/shares"
	"raventrestle/internal/control/state"
	"raventrestle/internal/protocol"
	"raventrestle/internal/transport"
)

const (
	queueCapacity          = 1024 // commands; a caller that posts to a full queue waits
	maxStepEvents          = 256  // additional events taken from the queue for one step
	registrationTimeout    = 2 * time.Second
	registrationRetryDelay = time.Second
)

// ErrStopped is returned once the host has stopped.
var ErrStopped = errors.New("quota holder has stopped")

// Mesh sends messages to other instances. It does not block, and messages may be lost.
type Mesh interface {
	Send(address string, message any)
}

// Replicated is the replicated state as applied at this instance.
type Replicated interface {
	Current() *configuration.Configuration // nil: none yet
	Shares() shares.Table
}

// EventRecorder logs the host's events, one line each. The host calls it from one goroutine at a time.
type EventRecorder interface {
	// RecordFailed logs that a record of issued credit could not be written.
	RecordFailed(err error)
}

// Config is fixed when the process starts.
type Config struct {
	Holder    quota.Config
	Directory string // on the instance's disk, for the records of issued credit
}

// Dependencies are what a host depends on. All of them are required.
type Dependencies struct {
	Replica     replica.Interface
	Replicated  Replicated
	ConfirmedAt func() time.Time // everything that was acknowledged before this time is applied here
	Mesh        Mesh
	Events      EventRecorder
}

// Host runs a holder. Its methods are safe for concurrent use.
type Host struct {
	config       Config
	dependencies Dependencies
	queue        *commandqueue.Queue // commands, for example quota.Event and viewRequest
	stopped      chan struct{}       // closed after the attempt to write the last record
	tasks        sync.WaitGroup

	// Owned by Run.
	holder        *quota.Holder
	pendingEvents []quota.Event

	// Used by the goroutines that write records and copies, at most one of each kind.
	records       *recordStore
	queuedRecord  *quota.Record // owned by Run: to be written after the record that is being written
	writingRecord bool          // owned by Run
	stopping      bool          // owned by Run: shutting down has begun, and the record that it makes is the last one

	registering   bool                // owned by Run: a registration is in progress
	queuedCopies  []*quota.RecordCopy // owned by Run: to be written after the copies that are being written
	writingCopies bool                // owned by Run
}

// viewRequest is a command: it requests the holder's view.
type viewRequest struct{ answer chan quota.View }

// stopRequest is a command: it begins the shutdown, which makes the last record.
type stopRequest struct{}

// New returns a host with the state that an earlier process of this instance persisted. Run starts it.
func New(config Config, dependencies Dependencies) (*Host, error) {
	records, persisted, err := openRecordStore(config.Directory)
	if err != nil {
		return nil, err
	}
	return &Host{
		config:       config,
		dependencies: dependencies,
		queue:        commandqueue.New(queueCapacity),
		stopped:      make(chan struct{}),
		holder:       quota.New(config.Holder, time.Now(), persisted),
		records:      records,
	}, nil
}

// Message queues a message about credit. It reports false for other messages, which it ignores.
func (h *Host) Message(c *transport.Connection, message any) bool {
	switch message := message.(type) {
	case *protocol.CreditRequest:
		h.queue.Post(context.Background(), quota.RouterRequestReceived{Connection: c, Request: message})
	case *protocol.PeerCreditRequest, *protocol.PeerCreditGrant, *protocol.PeerCreditReturn,
		*protocol.PeerRecord, *protocol.PeerRecordAck, *protocol.PeerCopyRequest, *protocol.PeerCopy:
		h.queue.Post(context.Background(), quota.PeerMessageReceived{Message: message.(protocol.PeerMessage)})
	default:
		return false
	}
	return true
}

// View returns the state of the limits at this instance. The error is ErrStopped or wraps that of the context.
func (h *Host) View(ctx context.Context) (quota.View, error) {
	answer := make(chan quota.View, 1)
	if !h.queue.Post(ctx, viewRequest{answer: answer}) {
		return quota.View{}, ErrStopped
	}
	select {
	case view := <-answer:
		return view, nil
	case <-h.queue.Ended():
		return quota.View{}, ErrStopped
	case <-ctx.Done():
		return quota.View{}, fmt.Errorf("wait for the limits: %w", ctx.Err())
	}
}

// Stop stops issuing credit. It returns after the attempt to write the last record, or when the context ends.
func (h *Host) Stop(ctx context.Context) {
	if !h.queue.Post(ctx, stopRequest{}) {
		return
	}
	select {
	case <-h.stopped:
	case <-h.queue.Ended():
	case <-ctx.Done():
	}
}

// Run processes commands until the context ends, and then waits for the goroutines that it started.
func (h *Host) Run(ctx context.Context) {
	defer h.tasks.Wait()
	defer h.queue.End()
	timer := time.NewTimer(0)
	defer timer.Stop()
	changed := h.dependencies.Replica.Changed()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-h.queue.Commands():
			h.handle(command)
			h.queue.Drain(maxStepEvents, h.handle)
		case <-changed: // a share counts as owned or lost from the step that observes the change
			changed = h.dependencies.Replica.Changed()
		case <-timer.C:
		}
		output := h.step(time.Now())
		h.execute(ctx, output)
		h.ensureRegistered(ctx)
		if output.WakeAt.IsZero() {
			timer.Stop()
		} else {
			timer.Reset(time.Until(output.WakeAt))
		}
	}
}

func (h *Host) handle(command any) {
	switch command := command.(type) {
	case quota.Event:
		h.pendingEvents = append(h.pendingEvents, command)
	case viewRequest:
		command.answer <- h.holder.View(time.Now())
	case recordWritten:
		h.writingRecord = false
		if command.result.Err != nil {
			h.dependencies.Events.RecordFailed(command.result.Err)
		}
		h.pendingEvents = append(h.pendingEvents, command.result)
	case copiesWritten:
		h.writingCopies = false
	case registrationEnded:
		h.registering = false
	case stopRequest:
		h.stopping = true
		h.pendingEvents = append(h.pendingEvents, quota.ShutdownBegan{})
	}
}

func (h *Host) step(now time.Time) quota.Output {
	events := h.pendingEvents
	h.pendingEvents = nil
	status := h.dependencies.Replica.Status()
	return h.holder.Step(now, quota.Input{
		ConfirmedAt:   h.dependencies.ConfirmedAt(), // read before the table, so that the table covers it
		Table:         h.dependencies.Replicated.Shares(),
		Configuration: h.dependencies.Replicated.Current(),
		Peers:         peersOf(status, h.dependencies.Replicated.Shares()),
		Events:        events,
	})
}

// peersOf returns the live instances that are registered as holders.
func peersOf(status replica.Status, table shares.Table) []quota.Peer {
	peers := make([]quota.Peer, 0, len(status.LiveMembers))
	for _, member := range status.LiveMembers {
		if table.HasHolder(member.Identity) {
			peers = append(peers, quota.Peer{Identity: member.Identity, Address: member.Address, Zone: member.Zone})
		}
	}
	return peers
}

// execute sends the messages of a step and starts writing its records.
func (h *Host) execute(ctx context.Context, output quota.Output) {
	for _, grant := range output.RouterGrants {
		_ = grant.Connection.(*transport.Connection).Send(grant.Grant) // a router that lost its connection repeats the request
	}
	for _, message := range output.PeerMessages {
		h.dependencies.Mesh.Send(message.Address, message.Message)
	}
	if output.Record != nil {
		h.queuedRecord = output.Record
	}
	h.queuedCopies = append(h.queuedCopies, output.Copies...)
	h.writeQueuedRecord(ctx)
	h.writeQueuedCopies(ctx)
}

// writeQueuedCopies starts writing the newest queued copies of other holders' records unless copies are being written.
func (h *Host) writeQueuedCopies(ctx context.Context) {
	if h.writingCopies || len(h.queuedCopies) == 0 {
		return
	}
	copies := newestCopies(h.queuedCopies)
	h.queuedCopies, h.writingCopies = nil, true
	h.tasks.Go(func() {
		for _, recordCopy := range copies {
			h.queue.Post(ctx, quota.CopyWritten{Copy: recordCopy, Err: h.records.writeCopy(recordCopy)})
		}
		h.queue.Post(ctx, copiesWritten{})
	})
}

// copiesWritten is a command: the goroutine that wrote copies has ended.
type copiesWritten struct{}

// newestCopies returns the newest copy of each holder's record, omitting the superseded ones.
func newestCopies(copies []*quota.RecordCopy) []*quota.RecordCopy {
	indexes := make(map[string]int) // in newest, by identity
	var newest []*quota.RecordCopy
	for _, c := range copies {
		if i, known := indexes[c.Record.Identity]; known {
			newest[i] = c
			continue
		}
		indexes[c.Record.Identity] = len(newest)
		newest = append(newest, c)
	}
	return newest
}

// writeQueuedRecord starts writing the queued record unless one is being written.
func (h *Host) writeQueuedRecord(ctx context.Context) {
	if h.writingRecord || h.queuedRecord == nil {
		return
	}
	record, stopping := h.queuedRecord, h.stopping
	h.queuedRecord, h.writingRecord = nil, true
	h.tasks.Go(func() {
		err := h.records.writeOwn(record)
		if stopping {
			close(h.stopped)
		}
		h.queue.Post(ctx, recordWritten{result: quota.RecordWritten{Sequence: record.Sequence, Err: err}})
	})
}

// recordWritten is a command: the goroutine that wrote a record has ended.
type recordWritten struct{ result quota.RecordWritten }

// ensureRegistered starts a registration if this instance is not listed as a holder.
func (h *Host) ensureRegistered(ctx context.Context) {
	if h.registering || h.stopping || h.dependencies.Replicated.Shares().HasHolder(h.config.Holder.Identity) {
		return
	}
	h.registering = true
	h.tasks.Go(func() {
		h.register(ctx)
		h.queue.Post(ctx, registrationEnded{})
	})
}

// registrationEnded is a command: the goroutine that registered this instance has ended.
type registrationEnded struct{}

// register proposes this instance as a holder. The result shows in the table. After a failure it waits for
// registrationRetryDelay, so that the proposal is not repeated at once.
func (h *Host) register(ctx context.Context) {
	command, err := state.NewRegistration(h.config.Holder.Identity)
	if err != nil {
		return
	}
	proposeCtx, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()
	if _, err := h.dependencies.Replica.Propose(proposeCtx, command); err != nil {
		select {
		case <-ctx.Done():
		case <-time.After(registrationRetryDelay):
		}
	}
}
