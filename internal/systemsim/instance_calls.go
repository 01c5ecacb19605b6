package systemsim

import (
	"time"

	"raventrestle/coordination/engine"
	"raventrestle/internal/control/state"
	"raventrestle/internal/protocol"
)

// applyChange carries out an operator's change.
func (i *instance) applyChange(c *change, answer func(any)) {
	w, arrivedAt := i.world, i.world.Now()
	command, err := state.NewCommand(state.Replace, c.base, c.body)
	if err != nil {
		w.fail(ruleRejected, "change %s: %v", c.name, err)
		return
	}
	i.submit(engine.Input{Command: command}, proposalTimeout, func(result engine.Result) {
		decided, err := state.DecodeResult(result.Value)
		if result.Err != nil || err != nil {
			answer(changeAnswer{code: codeUnavailable})
			return
		}
		w.checkAnswered(i, arrivedAt, i.partitionedSince, "change "+c.name)
		switch decided := decided.(type) {
		case state.Accepted:
			w.recordAcknowledgement(i, c, decided.Generation)
			answer(changeAnswer{code: codeAccepted, generation: decided.Generation})
		case state.VersionMismatch:
			w.checkRejection(i, c, codeMismatch)
			answer(changeAnswer{code: codeMismatch, generation: decided.Current})
		default:
			w.checkRejection(i, c, codeInvalid)
			answer(changeAnswer{code: codeInvalid})
		}
	})
}

// read carries out an operator's read of the newest version.
func (i *instance) read(answer func(any)) {
	i.submit(engine.Input{Barrier: true}, proposalTimeout, func(result engine.Result) {
		if result.Err != nil {
			answer(changeAnswer{code: codeUnavailable})
			return
		}
		generation, _ := i.newest()
		answer(changeAnswer{code: codeAccepted, generation: generation})
	})
}

// heartbeat carries out an endpoint's heartbeat.
func (i *instance) heartbeat(reported protocol.Endpoint, answer func(any)) {
	arrivedAt := i.world.Now()
	i.host.heartbeat(reported, func(accepted bool) {
		if accepted {
			i.checkHeartbeat(reported, arrivedAt)
		}
		answer(accepted)
	})
}

// checkHeartbeat checks an accepted heartbeat. Those of ready endpoints, which bind nobody, are accepted for readyGrace
// without a majority.
func (i *instance) checkHeartbeat(reported protocol.Endpoint, arrivedAt time.Duration) {
	isolatedSince := i.isolatedSince
	if reported.State == protocol.Ready && isolatedSince != never {
		isolatedSince += readyGrace
	}
	i.world.checkAnswered(i, arrivedAt, isolatedSince, "a heartbeat of "+reported.ID)
}

// deregister carries out an endpoint's deregistration.
func (i *instance) deregister(id string, answer func(any)) {
	arrivedAt := i.world.Now()
	i.host.deregister(id, func(accepted bool) {
		if accepted {
			i.world.checkAnswered(i, arrivedAt, i.isolatedSince, "the deregistration of "+id)
		}
		answer(accepted)
	})
}
