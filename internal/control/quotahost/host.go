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
	queueCapacity       = 1024 // events; who posts more waits
	maxStepEvents       = 256  // taken from the queue for one step, beside the one that began it
	registrationTimeout = 2 * time.Second
	registrationRetry   = time.Second
)

// ErrStopped says that the host has stopped.
var ErrStopped = errors.New("quota holder has stopped")

// Mesh sends messages to other instances. It never blocks; messages may be lost.
type Mesh interface {
	Send(address string, message any)
}

// Replicated is the replicated state as this instance has it.
type Replicated interface {
	Current() *configuration.Configuration // nil: there is none yet
	Shares() shares.Table
}

// EventRecorder records the host's events in the log, one line each. The host calls it from one goroutine.
type EventRecorder interface {
	// RecordFailed records that a record of issues could not be written.
	RecordFailed(err error)
}

// Config is fixed at the start of the process.
type Config struct {
	Holder    quota.Config
	Directory string // of the instance's disk, for the records of what was issued
}

// Dependencies are the collaborators of a host. All are required.
type Dependencies struct {
	Replica     replica.Interface
	Replicated  Replicated
	ConfirmedAt func() time.Time // newest moment of which this instance knows all that was acknowledged before
	Mesh        Mesh
	Events      EventRecorder
}

// Host owns a holder. Its methods are safe for concurrent use.
type Host struct {
	config       Config
	dependencies Dependencies
	queue        *commandqueue.Queue // commands: quota.Event and viewRequest
	stopped      chan struct{}       // closed once the last record is written, or could not be
	tasks        sync.WaitGroup

	// Owned by Run.
	holder  *quota.Holder
	pending []quota.Event

	// Owned by the goroutine that writes a record; at most one runs.
	records *recordStore
	queued  *quota.Record // of Run: to be written after the one that is being written
	writing bool          // of Run
	last    bool          // of Run: no record follows the one that shutting down makes

	registering  bool                // of Run: a registration is under way
	queuedCopies []*quota.RecordCopy // of Run: to be written after those that are being written
	copying      bool                // of Run
}

type viewRequest struct{ answer chan quota.View }

// stopRequest asks for the last record.
type stopRequest struct{}

// New reads what an earlier process of this instance has recorded and returns a host; Run starts it.
func New(config Config, dependencies Dependencies) (*Host, error) {
	records, former, err := openRecordStore(config.Directory)
	if err != nil {
		return nil, err
	}
	return &Host{
		config:       config,
		dependencies: dependencies,
		queue:        commandqueue.New(queueCapacity),
		stopped:      make(chan struct{}),
		holder:       quota.New(config.Holder, time.Now(), former),
		records:      records,
	}, nil
}

// Message takes a message if it is one about credit, and reports whether it is.
func (h *Host) Message(c *transport.Connection, message any) bool {
	switch message := message.(type) {
	case *protocol.CreditRequest:
		h.queue.Post(context.Background(), quota.RouterAsked{Connection: c, Request: message})
	case *protocol.PeerCreditRequest, *protocol.PeerCreditGrant, *protocol.PeerCreditReturn,
		*protocol.PeerRecord, *protocol.PeerRecordAck, *protocol.PeerCopyRequest, *protocol.PeerCopy:
		h.queue.Post(context.Background(), quota.PeerMessageReceived{Message: message.(protocol.PeerMessage)})
	default:
		return false
	}
	return true
}

// View returns the state of the limits here. The error is ErrStopped or wraps the context's.
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

// Stop ends all issues and returns once the last record is written, or the context ends.
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

// Run works through the queue until the context ends, and awaits the goroutines that it started.
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
		case <-changed: // shares may have changed: from now on they count as given to this instance
			changed = h.dependencies.Replica.Changed()
		case <-timer.C:
		}
		output := h.step(time.Now())
		h.carryOut(ctx, output)
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
		h.pending = append(h.pending, command)
	case viewRequest:
		command.answer <- h.holder.View(time.Now())
	case recordWritten:
		h.writing = false
		if command.result.Err != nil {
			h.dependencies.Events.RecordFailed(command.result.Err)
		}
		h.pending = append(h.pending, command.result)
	case copiesWritten:
		h.copying = false
	case registrationEnded:
		h.registering = false
	case stopRequest:
		h.last = true
		h.pending = append(h.pending, quota.ShutdownBegan{})
	}
}

func (h *Host) step(now time.Time) quota.Output {
	events := h.pending
	h.pending = nil
	status := h.dependencies.Replica.Status()
	return h.holder.Step(now, quota.Input{
		ConfirmedAt:   h.dependencies.ConfirmedAt(), // before the table, which then has all that it covers
		Table:         h.dependencies.Replicated.Shares(),
		Configuration: h.dependencies.Replicated.Current(),
		Peers:         peersOf(status, h.dependencies.Replicated.Shares()),
		Events:        events,
	})
}

// peersOf returns the live instances that can hold shares.
func peersOf(status replica.Status, table shares.Table) []quota.Peer {
	peers := make([]quota.Peer, 0, len(status.LiveMembers))
	for _, member := range status.LiveMembers {
		if table.HasHolder(member.Identity) {
			peers = append(peers, quota.Peer{Identity: member.Identity, Address: member.Address, Zone: member.Zone})
		}
	}
	return peers
}

// carryOut sends the answers and begins the record of a step.
func (h *Host) carryOut(ctx context.Context, output quota.Output) {
	for _, grant := range output.RouterGrants {
		_ = grant.Connection.(*transport.Connection).Send(grant.Grant) // whose connection broke asks elsewhere
	}
	for _, message := range output.PeerMessages {
		h.dependencies.Mesh.Send(message.Address, message.Message)
	}
	if output.Record != nil {
		h.queued = output.Record
	}
	h.queuedCopies = append(h.queuedCopies, output.Copies...)
	h.writeQueued(ctx)
	h.writeCopies(ctx)
}

// writeCopies begins to write the newest copies of other holders' records, unless some are being written.
func (h *Host) writeCopies(ctx context.Context) {
	if h.copying || len(h.queuedCopies) == 0 {
		return
	}
	copies := newestCopies(h.queuedCopies)
	h.queuedCopies, h.copying = nil, true
	h.tasks.Go(func() {
		for _, kept := range copies {
			h.queue.Post(ctx, quota.CopyKept{Copy: kept, Err: h.records.writeCopy(kept)})
		}
		h.queue.Post(ctx, copiesWritten{})
	})
}

// copiesWritten is a command: the goroutine that wrote copies has ended.
type copiesWritten struct{}

// newestCopies leaves out copies that were superseded before they were written.
func newestCopies(copies []*quota.RecordCopy) []*quota.RecordCopy {
	newest := make(map[string]int) // in kept, by identity
	var kept []*quota.RecordCopy
	for _, c := range copies {
		if at, known := newest[c.Record.Identity]; known {
			kept[at] = c
			continue
		}
		newest[c.Record.Identity] = len(kept)
		kept = append(kept, c)
	}
	return kept
}

// writeQueued begins to write the newest record, unless one is being written.
func (h *Host) writeQueued(ctx context.Context) {
	if h.writing || h.queued == nil {
		return
	}
	record, last := h.queued, h.last
	h.queued, h.writing = nil, true
	h.tasks.Go(func() {
		err := h.records.writeOwn(record)
		if last {
			close(h.stopped)
		}
		h.queue.Post(ctx, recordWritten{result: quota.RecordWritten{Sequence: record.Sequence, Err: err}})
	})
}

// recordWritten is a command: the goroutine that wrote a record has ended.
type recordWritten struct{ result quota.RecordWritten }

// ensureRegistered begins a registration if this instance is not listed among those that can hold shares.
func (h *Host) ensureRegistered(ctx context.Context) {
	if h.registering || h.last || h.dependencies.Replicated.Shares().HasHolder(h.config.Holder.Identity) {
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

// register proposes that this instance be listed. Whether that succeeded is seen in the table; it ends a moment later than
// the proposal, so that what failed is not repeated at once.
func (h *Host) register(ctx context.Context) {
	command, err := state.NewRegistration(h.config.Holder.Identity)
	if err != nil {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()
	if _, err := h.dependencies.Replica.Propose(bounded, command); err != nil {
		select {
		case <-ctx.Done():
		case <-time.After(registrationRetry):
		}
	}
}
