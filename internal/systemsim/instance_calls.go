package systemsim

import (
	"time"

	"raventrestle/coordination/engine"
	"raventrestle/internal/control/state"
	"raventrestle/internal/protocol"
)

// applyChange carries out an operator's call.
func (i *instance) applyChange(o *change, answer func(any)) {
	w, came := i.world, i.world.Now()
	command, err := state.NewCommand(state.Replace, o.base, o.body)
	if err != nil {
		w.fail(ruleRejected, "order %s: %v", o.name, err)
		return
	}
	i.submit(engine.Input{Command: command}, proposalTimeout, func(result engine.Result) {
		decided, err := state.DecodeResult(result.Value)
		if result.Err != nil || err != nil {
			answer(changeAnswer{code: codeUnavailable})
			return
		}
		w.checkAnswered(i, came, i.partitionedSince, "order "+o.name)
		switch decided := decided.(type) {
		case state.Accepted:
			w.recordAcknowledgement(i, o, decided.Generation)
			answer(changeAnswer{code: codeAccepted, generation: decided.Generation})
		case state.VersionMismatch:
			w.checkRejection(i, o, codeMismatch)
			answer(changeAnswer{code: codeMismatch, generation: decided.Current})
		default:
			w.checkRejection(i, o, codeInvalid)
			answer(changeAnswer{code: codeInvalid})
		}
	})
}

// read carries out an operator's call for the newest version.
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

// heartbeat and left carry out endpoints' calls.
func (i *instance) heartbeat(told protocol.Endpoint, answer func(any)) {
	came := i.world.Now()
	i.host.heartbeat(told, func(taken bool) {
		if taken {
			i.checkHeartbeat(told, came)
		}
		answer(taken)
	})
}

// checkHeartbeat: those of ready endpoints, which bind nobody, are acknowledged for a while without a majority.
func (i *instance) checkHeartbeat(told protocol.Endpoint, came time.Duration) {
	apart := i.isolatedSince
	if told.State == protocol.Ready && apart != never {
		apart += readyGrace
	}
	i.world.checkAnswered(i, came, apart, "a heartbeat of "+told.ID)
}

func (i *instance) deregister(id string, answer func(any)) {
	came := i.world.Now()
	i.host.deregister(id, func(taken bool) {
		if taken {
			i.world.checkAnswered(i, came, i.isolatedSince, "the end of "+id)
		}
		answer(taken)
	})
}
