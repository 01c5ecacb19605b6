package simnet

import (
	"time"

	"raventrestle/coordination/engine"
)

// scheduleStep schedules a step after the delay, unless an earlier one is scheduled.
func (m *machine) scheduleStep(delay time.Duration) {
	at := max(m.world.now+delay, m.busyUntil)
	if m.stepScheduled && m.stepAt <= at {
		return
	}
	m.stepScheduled, m.stepAt = true, at
	incarnation := m.incarnation
	m.world.after(at-m.world.now, func() {
		if m.incarnation == incarnation && m.stepScheduled && m.stepAt == at && m.engine != nil && !m.frozen {
			m.step()
		}
	})
}

// enqueue adds an input to the inbox of the process.
func (m *machine) enqueue(input engine.Input) {
	if m.engine == nil {
		return
	}
	m.inbox = append(m.inbox, input)
	m.scheduleStep(0)
}

// step lets the process work through its inbox. Its messages leave once its disk has finished the syncs.
func (m *machine) step() {
	w := m.world
	w.steps++
	m.stepScheduled = false
	inputs, syncs := m.inbox, m.disk.Syncs
	m.inbox = nil
	if m.stepWithPowerLoss(inputs) {
		return
	}
	e := m.engine
	output := e.Step(m.localTime(), inputs)
	took := time.Duration(m.disk.Syncs-syncs) * w.SyncDuration
	if took > 0 {
		took += m.syncDelay
	}
	m.busyUntil = w.now + took
	incarnation := m.incarnation
	w.after(took, func() {
		if m.incarnation != incarnation || m.engine == nil {
			return
		}
		m.carryOut(output)
	})
	syncs = m.disk.Syncs
	if err := e.Maintain(m.localTime()); err != nil {
		w.tracef("%s: %v", m.address, err)
	}
	m.busyUntil += time.Duration(m.disk.Syncs-syncs) * w.SyncDuration
	m.scheduleStep(e.NextStep() - m.localTime())
	m.traceState()
	w.checkInvariants()
	w.checkMajorityContact(m)
}

// traceState traces a change of the member's state.
func (m *machine) traceState() {
	if m.world.Trace == nil || m.engine == nil {
		return
	}
	if state := m.engine.Node().String(); state != m.tracedState {
		m.tracedState = state
		m.world.tracef("%s %s", m.address, state)
	}
}

// carryOut carries out the output of a step.
func (m *machine) carryOut(output engine.Output) {
	for _, envelope := range output.Messages {
		m.world.send(m, envelope)
	}
	for _, result := range output.Results {
		if done := m.calls[result.CallID]; done != nil {
			delete(m.calls, result.CallID)
			done(result)
		}
	}
	if output.DiskError != nil {
		m.world.tracef("%s: %v", m.address, output.DiskError)
	}
}

// call begins a call of a client. If the process ends before the call does, done is never called.
func (m *machine) call(input engine.Input, done func(engine.Result)) {
	if m.engine == nil {
		return
	}
	m.lastCallID++
	input.CallID = m.lastCallID
	m.calls[m.lastCallID] = done
	m.enqueue(input)
}
