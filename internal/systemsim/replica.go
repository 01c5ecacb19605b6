package systemsim

import (
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/engine"
	"raventrestle/coordination/replica"
	"raventrestle/internal/control/controller"
)

// replicaMessage is a message between replicas.
type replicaMessage struct {
	from    string
	content chain.Message
}

// scheduleStep plans the replica's next step after the delay at the latest, but not before its disk is done.
func (i *instance) scheduleStep(delay time.Duration) {
	at := max(i.world.Now()+delay, i.busyUntil)
	if i.stepAt > i.world.Now() && i.stepAt <= at {
		return
	}
	i.stepAt = at
	i.after(at-i.world.Now(), func() {
		if i.stepAt == at {
			i.stepAt = 0
			i.step()
		}
	})
}

// enqueue gives the replica an input for its next step.
func (i *instance) enqueue(input engine.Input) {
	i.inbox = append(i.inbox, input)
	i.scheduleStep(0)
}

// step has the replica step. Its output is carried out once its disk is done.
func (i *instance) step() {
	w := i.world
	i.countStep()
	inputs, syncs := i.inbox, i.disk.Syncs
	i.inbox = nil
	now := i.local()
	output := i.engine.Step(now, inputs)
	status := statusOf(i.engine.Status(now))
	syncTime := time.Duration(i.disk.Syncs-syncs) * syncDuration
	if syncTime > 0 {
		syncTime += i.syncDelay
	}
	i.busyUntil = w.Now() + syncTime
	i.after(syncTime, func() { i.carryOut(output, status) })
	syncs = i.disk.Syncs
	_ = i.engine.Maintain(now) // the engine reports a disk that fails
	i.busyUntil += time.Duration(i.disk.Syncs-syncs) * syncDuration
	i.scheduleStep(i.engine.NextStep() - now)
}

// carryOut carries out a step's output, messages first.
func (i *instance) carryOut(output engine.Output, status replica.Status) {
	for _, envelope := range output.Messages {
		i.mesh.send(envelope.Address, replicaMessage{from: i.address, content: envelope.Message})
	}
	i.publish(status)
	for _, result := range output.Results {
		i.complete(result)
	}
	for _, cancelled := range output.Cancellations {
		i.complete(engine.Result{CallID: cancelled.CallID, Err: engine.ErrOutcomeUnknown})
	}
}

// complete gives the result to the call that waits for it.
func (i *instance) complete(result engine.Result) {
	if done := i.calls[result.CallID]; done != nil {
		delete(i.calls, result.CallID)
		done(result)
	}
}

// publish gives the newest status to the rest of the process.
func (i *instance) publish(status replica.Status) {
	before := i.status
	i.status = status
	i.world.checkInstance(i)
	changed := before.View.Epoch != status.View.Epoch || before.CommitIndex != status.CommitIndex ||
		before.IsLeader != status.IsLeader || len(before.LiveMembers) != len(status.LiveMembers)
	if changed {
		i.host.post(controller.ReplicaChanged{})
		i.stepRole()
	}
}

// submit gives the replica a call, which is cancelled after the timeout.
func (i *instance) submit(input engine.Input, timeout time.Duration, done func(engine.Result)) {
	i.callID++
	id := i.callID
	input.CallID = id
	i.calls[id] = done
	i.enqueue(input)
	i.after(timeout, func() {
		if i.calls[id] != nil {
			i.enqueue(engine.Input{CallID: id, Cancel: true})
		}
	})
}

// currentStatus returns the published status, without leadership where the lease has expired since.
func (i *instance) currentStatus() replica.Status {
	status := i.status
	if status.IsLeader && !i.clock().Before(status.LeaseExpiry) {
		status.IsLeader = false
	}
	return status
}

// statusOf returns a status of the chain as package replica publishes it.
func statusOf(s chain.Status) replica.Status {
	return replica.Status{
		Self: s.Self, View: s.View, CommitIndex: s.CommitIndex, LiveMembers: s.LiveMembers, IsLeader: s.IsLeader,
		LeaseExpiry: instant(s.LeaseExpiry), LeaderSince: instant(s.LeaderSince),
		PreviousLeaseExpiry: instant(s.PreviousLeaseExpiry), ConfirmedAt: instant(s.ConfirmedAt),
	}
}
