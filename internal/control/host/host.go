// Package host runs the controller of a control instance in the process: one goroutine owns it, takes events from a
// queue, steps it and carries out what it returns.
package host

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/commandqueue"
	"raventrestle/internal/control/controller"
	"raventrestle/internal/control/departures"
	"raventrestle/internal/control/registry"
	"raventrestle/internal/control/state"
	"raventrestle/internal/protocol"
	"raventrestle/internal/transport"
)

const (
	queueCapacity   = 1024 // commands; who posts more waits
	maxStepCommands = 256  // taken from the queue for one step, beside the one that began it
)

// Mesh sends messages to other instances. It never blocks; messages may be lost.
type Mesh interface {
	Send(address string, message any)
}

// Roles takes what concerns the singleton roles.
type Roles interface {
	// HandleReports takes what an instance's routers reported and confirmed. It does not block.
	HandleReports(batch *protocol.ReportBatch)
}

// EventRecorder records the host's events in the log, one line each. The host calls it from one goroutine.
type EventRecorder interface {
	RouterSubscribed(node, zone string, generation int64)
	RouterClosed(node, reason string)
	QuorumChanged(lost bool, live, voters int)
}

// Config is fixed at the start of the process.
type Config struct {
	Origin    protocol.Origin
	Heartbeat time.Duration // between an endpoint's heartbeats
	Codec     *transport.Codec
}

// Dependencies are the collaborators of a host. All are required.
type Dependencies struct {
	Replica        replica.Interface
	Configurations controller.Configurations
	Mesh           Mesh
	Roles          Roles
	Events         EventRecorder
}

// Host owns the soft state of one instance. Its methods are safe for concurrent use.
type Host struct {
	config       Config
	dependencies Dependencies
	queue        *commandqueue.Queue // commands: see commands.go
	tasks        sync.WaitGroup

	// confirmedAt is controller.ConfirmedAt of the newest step, for all goroutines; nil: there was no step.
	confirmedAt atomic.Pointer[time.Time]

	// Owned by Run.
	controller    *controller.Controller
	pendingEvents []controller.Event // since the last step
	encoder       updateEncoder
}

// New returns a host; Run starts it.
func New(config Config, dependencies Dependencies) *Host {
	now := time.Now()
	endpoints := registry.New(registry.Config{Origin: config.Origin, Heartbeat: config.Heartbeat}, now)
	return &Host{
		config:       config,
		dependencies: dependencies,
		queue:        commandqueue.New(queueCapacity),
		controller:   controller.New(controller.Config{Origin: config.Origin}, endpoints, now),
		encoder:      updateEncoder{codec: config.Codec},
	}
}

// Run works through the queue until the context ends, and awaits the goroutines that it started.
func (h *Host) Run(ctx context.Context) {
	defer h.tasks.Wait()
	defer h.queue.End()
	h.tasks.Add(1)
	go h.watchReplica(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-h.queue.Commands():
			h.handle(command)
			h.queue.Drain(maxStepCommands, h.handle)
		case <-timer.C:
		}
		output := h.step(time.Now())
		h.carryOut(ctx, output)
		timer.Reset(time.Until(output.WakeAt))
	}
}

// step has the controller take in the events so far.
func (h *Host) step(now time.Time) controller.Output {
	events := h.pendingEvents
	h.pendingEvents = nil
	output := h.controller.Step(now, controller.Input{
		Replicated: controller.ReadReplicatedState(h.dependencies.Replica, h.dependencies.Configurations),
		Events:     events,
		TimeOfDay:  now,
	})
	h.publishConfirmedAt()
	return output
}

func (h *Host) publishConfirmedAt() {
	newest := h.controller.ConfirmedAt()
	if published := h.confirmedAt.Load(); published == nil || !published.Equal(newest) {
		h.confirmedAt.Store(&newest)
	}
}

// ConfirmedAt returns the newest moment of which this instance knows everything that was acknowledged anywhere before;
// zero: it knows of none.
func (h *Host) ConfirmedAt() time.Time {
	newest := h.dependencies.Replica.Status().ConfirmedAt
	if published := h.confirmedAt.Load(); published != nil && published.After(newest) {
		return *published
	}
	return newest
}

// watchReplica gives the controller an event at each change of the replica's status.
func (h *Host) watchReplica(ctx context.Context) {
	defer h.tasks.Done()
	for {
		changed := h.dependencies.Replica.Changed()
		if !h.queue.Post(ctx, controller.ReplicaChanged{}) {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// runBarrier asks the chain for its newest state and gives the controller the result.
func (h *Host) runBarrier(ctx context.Context, number uint64) {
	defer h.tasks.Done()
	bounded, cancel := context.WithTimeout(ctx, controller.BarrierTimeout)
	defer cancel()
	_, err := h.dependencies.Replica.Barrier(bounded)
	h.queue.Post(ctx, controller.BarrierFinished{Number: number, Succeeded: err == nil})
}

// recordDeparture has the group commit a departure and gives the controller the result.
func (h *Host) recordDeparture(ctx context.Context, proposal controller.Proposal) {
	defer h.tasks.Done()
	bounded, cancel := context.WithTimeout(ctx, controller.RecordTimeout)
	defer cancel()
	err := h.commit(bounded, proposal.Departure)
	h.queue.Post(ctx, controller.DepartureRecorded{RequestID: proposal.RequestID, Succeeded: err == nil})
}

func (h *Host) commit(ctx context.Context, departure departures.Departure) error {
	command, err := state.NewDeparture(departure)
	if err != nil {
		return err
	}
	encoded, err := h.dependencies.Replica.Propose(ctx, command)
	if err != nil {
		return fmt.Errorf("record the end of %s: %w", departure.ID, err)
	}
	return state.CheckRecorded(encoded)
}
