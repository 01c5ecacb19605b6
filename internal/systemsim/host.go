package systemsim

import (
	"time"

	"raventrestle/coordination/engine"
	"raventrestle/coordination/replica"
	"raventrestle/internal/control/controller"
	"raventrestle/internal/control/departures"
	"raventrestle/internal/control/registry"
	"raventrestle/internal/control/state"
	"raventrestle/internal/protocol"
)

// host stands in for package host: it keeps events for the controller's next step, wakes it, and carries out its
// output on the simulated network. Everything that is decided is decided by the real controller.
type host struct {
	owner      *instance
	controller *controller.Controller
	events     []controller.Event
	stepAt     time.Duration // virtual time of the planned step; zero: none is planned
}

func newHost(i *instance) host {
	endpoints := registry.New(registry.Config{Origin: i.origin(), Heartbeat: heartbeatInterval}, i.clock())
	config := controller.Config{Origin: i.origin()}
	return host{owner: i, controller: controller.New(config, i.world.mutateRegistry(endpoints), i.clock())}
}

// scheduleStep plans a step after the delay at the latest.
func (h *host) scheduleStep(delay time.Duration) {
	now := h.owner.world.Now()
	at := now + max(0, delay)
	if h.stepAt > now && h.stepAt <= at {
		return
	}
	h.stepAt = at
	h.owner.after(at-now, func() {
		if h.stepAt == at {
			h.stepAt = 0
			h.step()
		}
	})
}

// post queues an event. It waits for a moment, as in the queue of the real host.
func (h *host) post(event controller.Event) {
	h.events = append(h.events, event)
	h.scheduleStep(h.owner.world.between(10*time.Microsecond, 500*time.Microsecond))
}

// step has the controller take in the events so far.
func (h *host) step() {
	h.owner.countStep()
	events := h.events
	h.events = nil
	now := h.owner.clock()
	replicated := replicatedState{h.owner}
	output := h.controller.Step(now, controller.Input{
		Replicated: controller.ReadReplicatedState(replicated, replicated),
		Events:     events,
		TimeOfDay:  h.owner.timeOfDay(),
	})
	h.carryOut(output)
	h.scheduleStep(output.WakeAt.Sub(now))
}

// carryOut carries out a step's output in the order of its fields. No router of the simulated system reports anything
// to the singleton roles, so there are no reports.
func (h *host) carryOut(output controller.Output) {
	process := &h.owner.process
	for _, message := range output.RouterMessages {
		h.owner.world.checkStanding(h.owner, message.Message)
		message.Connection.(*stream).endOf(process).send(message.Message)
	}
	for _, message := range output.PeerMessages {
		h.owner.mesh.send(message.To, message.Message)
	}
	for _, closing := range output.Close {
		h.owner.world.tracef("%s closes the connection of %s: %s", h.owner.address, closing.Node, closing.Reason)
		closing.Connection.(*stream).endOf(process).close()
	}
	for _, answer := range output.Answers {
		answer.Caller.(waitingCall)(!answer.Result.Rejected)
	}
	for _, proposal := range output.Proposals {
		h.recordDeparture(proposal)
	}
	if output.StartBarrier != 0 {
		h.startBarrier(output.StartBarrier)
	}
}

// recordDeparture has the group commit a departure and posts the result.
func (h *host) recordDeparture(proposal controller.Proposal) {
	command, err := state.NewDeparture(proposal.Departure)
	if err != nil {
		h.owner.world.fail(ruleDrain, "departure of %s: %v", proposal.Departure.ID, err)
		return
	}
	h.owner.submit(engine.Input{Command: command}, controller.RecordTimeout, func(result engine.Result) {
		succeeded := result.Err == nil && state.CheckRecorded(result.Value) == nil
		h.post(controller.DepartureRecorded{RequestID: proposal.RequestID, Succeeded: succeeded})
	})
}

// waitingCall ends an endpoint's call; it takes whether the instance accepted it.
type waitingCall func(accepted bool)

// startBarrier starts a barrier of the replica and posts its end.
func (h *host) startBarrier(number uint64) {
	h.owner.submit(engine.Input{Barrier: true}, controller.BarrierTimeout, func(result engine.Result) {
		h.post(controller.BarrierFinished{Number: number, Succeeded: result.Err == nil})
	})
}

// heartbeat posts an endpoint's heartbeat.
func (h *host) heartbeat(endpoint protocol.Endpoint, answer waitingCall) {
	h.post(controller.HeartbeatReceived{Caller: answer, Endpoint: endpoint})
}

// deregister posts an endpoint's deregistration.
func (h *host) deregister(id string, answer waitingCall) {
	h.post(controller.DeregistrationReceived{Caller: answer, ID: id})
}

// replicatedState is what the controller reads of the instance's replica.
type replicatedState struct{ owner *instance }

// Status implements controller.StatusReader.
func (s replicatedState) Status() replica.Status {
	return s.owner.world.mutateStatus(s.owner.currentStatus(), s.owner.clock())
}

// Newest implements controller.Configurations.
func (s replicatedState) Newest() (generation int64, document []byte) { return s.owner.newest() }

// Departures implements controller.Configurations.
func (s replicatedState) Departures() departures.Table {
	return s.owner.world.mutateDepartures(s.owner.machine.Departures())
}
