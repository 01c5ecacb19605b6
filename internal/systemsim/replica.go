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

// scheduleStep sees that the replica's next step comes after the delay at the latest.
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

func (i *instance) enqueue(input engine.Input) {
	i.inbox = append(i.inbox, input)
	i.scheduleStep(0)
}

// step lets the replica work. What follows from it leaves once its disk is done.
func (i *instance) step() {
	w := i.world
	i.countStep()
	inputs, syncs := i.inbox, i.disk.Syncs
	i.inbox = nil
	now := i.local()
	effects := i.engine.Step(now, inputs)
	status := statusOf(i.engine.Status(now))
	took := time.Duration(i.disk.Syncs-syncs) * syncDuration
	if took > 0 {
		took += i.syncDelay
	}
	i.busyUntil = w.Now() + took
	i.after(took, func() { i.carryOut(effects, status) })
	syncs = i.disk.Syncs
	_ = i.engine.Maintain(now) // a disk that refuses is told of by the engine
	i.busyUntil += time.Duration(i.disk.Syncs-syncs) * syncDuration
	i.scheduleStep(i.engine.NextStep() - now)
}

func (i *instance) carryOut(effects engine.Output, status replica.Status) {
	for _, envelope := range effects.Messages {
		i.mesh.send(envelope.Address, replicaMessage{from: i.address, content: envelope.Message})
	}
	i.publish(status)
	for _, result := range effects.Results {
		i.complete(result)
	}
	for _, withdrawn := range effects.Cancellations {
		i.complete(engine.Result{CallID: withdrawn.CallID, Err: engine.ErrOutcomeUnknown})
	}
}

func (i *instance) complete(result engine.Result) {
	if done := i.calls[result.CallID]; done != nil {
		delete(i.calls, result.CallID)
		done(result)
	}
}

// publish shows the newest status to the rest of the process.
func (i *instance) publish(status replica.Status) {
	before := i.status
	i.status = status
	i.world.checkInstance(i)
	moved := before.View.Epoch != status.View.Epoch || before.CommitIndex != status.CommitIndex ||
		before.IsLeader != status.IsLeader || len(before.LiveMembers) != len(status.LiveMembers)
	if moved {
		i.host.post(controller.ReplicaChanged{})
		i.stepRole()
	}
}

// submit has the replica work on a call and gives it up after a time.
func (i *instance) submit(input engine.Input, within time.Duration, done func(engine.Result)) {
	i.token++
	token := i.token
	input.CallID = token
	i.calls[token] = done
	i.enqueue(input)
	i.after(within, func() {
		if i.calls[token] != nil {
			i.enqueue(engine.Input{CallID: token, Cancel: true})
		}
	})
}

// currentStatus is the published status, with the lease looked at now.
func (i *instance) currentStatus() replica.Status {
	status := i.status
	if status.IsLeader && !i.clock().Before(status.LeaseExpiry) {
		status.IsLeader = false
	}
	return status
}

func statusOf(s chain.Status) replica.Status {
	return replica.Status{
		Self: s.Self, View: s.View, CommitIndex: s.CommitIndex, LiveMembers: s.LiveMembers, IsLeader: s.IsLeader,
		LeaseExpiry: instant(s.LeaseExpiry), LeaderSince: instant(s.LeaderSince),
		PreviousLeaseExpiry: instant(s.PreviousLeaseExpiry), ConfirmedAt: instant(s.ConfirmedAt),
	}
}
