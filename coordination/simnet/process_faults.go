package simnet

import (
	"slices"

	"raventrestle/coordination/engine"
	"raventrestle/coordination/wal/modeldisk"
)

// kill ends the process. Its files stay as they are.
func (m *machine) kill() {
	if m.engine == nil {
		return
	}
	m.world.tracef("%s is killed", m.address)
	m.endProcess()
	m.disk = m.disk.AfterKill()
}

// losePower ends the process. The disk keeps what was synced, and some of what was not.
func (m *machine) losePower() {
	m.world.tracef("%s loses power", m.address)
	m.endProcess()
	m.disk = m.disk.AfterPowerLoss(m.world.random)
}

// wipe ends the process and replaces its disk by an empty one.
func (m *machine) wipe() {
	m.world.tracef("%s loses its disk", m.address)
	m.endProcess()
	m.wiped = true
	m.disk = modeldisk.New()
}

// endProcess ends the process without any effect on its disk.
func (m *machine) endProcess() {
	m.engine, m.inbox, m.stepScheduled = nil, nil, false
	m.incarnation++
}

// freeze suspends the process until thaw, as SIGSTOP does.
func (m *machine) freeze() {
	if m.engine != nil && !m.frozen {
		m.world.tracef("%s freezes", m.address)
		m.frozen = true
	}
}

// thaw resumes the process. Half of the times its peers have closed its connections meanwhile, and its inbox is lost.
func (m *machine) thaw() {
	if m.engine == nil || !m.frozen {
		return
	}
	m.world.tracef("%s thaws", m.address)
	m.frozen, m.stepScheduled = false, false
	if m.world.random.IntN(2) == 0 {
		m.inbox = slices.DeleteFunc(m.inbox, func(input engine.Input) bool { return input.Message != nil })
	}
	m.scheduleStep(0)
}

// stepWithPowerLoss runs a step during which the power is set to fail. It reports false if it is not. Nothing of the
// step leaves the machine: if the power has not failed at the end of the step, it fails there.
func (m *machine) stepWithPowerLoss(inputs []engine.Input) (failed bool) {
	if m.disk.PowerLossAt == 0 {
		return false
	}
	operations := m.disk.Operations
	defer func() {
		if m.engine == nil {
			failed = true
		}
	}()
	defer m.recoverPowerLoss()
	m.engine.Step(m.localTime(), inputs)
	_ = m.engine.Maintain(m.localTime())
	m.world.tracef("%s: power is on through operations %d to %d", m.address, operations, m.disk.Operations)
	m.disk.PowerLossAt = 0
	m.diskUncertain = true
	m.losePower()
	return true
}

// recoverPowerLoss, deferred, turns the panic of the disk into a power loss of the machine.
func (m *machine) recoverPowerLoss() {
	cause := recover()
	if cause == nil {
		return
	}
	if _, ok := cause.(modeldisk.PowerLoss); !ok {
		panic(cause)
	}
	m.diskUncertain = true
	m.losePower()
}
