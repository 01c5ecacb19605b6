package simnet

import (
	"encoding/binary"
	"fmt"

	"raventrestle/coordination/engine"
)

// checkedStateMachine is the replicated state machine of a simulated process. It checks each entry against the reference
// model, and keeps all commands in order, or passes them to an embedded state machine.
type checkedStateMachine struct {
	machine     *machine
	commands    []string
	index       map[string]uint64
	lastApplied uint64
	embedded    engine.StateMachine
}

func newCheckedStateMachine(m *machine) *checkedStateMachine {
	s := &checkedStateMachine{machine: m, index: map[string]uint64{}}
	if m.world.NewStateMachine != nil {
		s.embedded = m.world.NewStateMachine()
	}
	return s
}

// Apply implements engine.StateMachine.
func (s *checkedStateMachine) Apply(index uint64, command []byte) []byte {
	s.machine.world.model.checkApplied(s.machine.world, s.machine, index, string(command))
	if index <= s.lastApplied {
		s.machine.world.fail("%s applies %d after %d", s.machine.address, index, s.lastApplied)
	}
	s.lastApplied = index
	if s.embedded != nil {
		return s.embedded.Apply(index, command)
	}
	if _, twice := s.index[string(command)]; twice {
		s.machine.world.fail("%s applies %q twice", s.machine.address, command)
	}
	s.commands = append(s.commands, string(command))
	s.index[string(command)] = index
	return binary.BigEndian.AppendUint64(nil, index)
}

// Snapshot implements engine.StateMachine.
func (s *checkedStateMachine) Snapshot() []byte {
	body := binary.BigEndian.AppendUint64(nil, s.lastApplied)
	if s.embedded != nil {
		return append(body, s.embedded.Snapshot()...)
	}
	for _, command := range s.commands {
		body = binary.BigEndian.AppendUint64(body, s.index[command])
		body = binary.BigEndian.AppendUint32(body, uint32(len(command)))
		body = append(body, command...)
	}
	return body
}

// Restore implements engine.StateMachine.
func (s *checkedStateMachine) Restore(body []byte) error {
	if len(body) < 8 {
		return fmt.Errorf("simnet: a snapshot of %d bytes is too short", len(body))
	}
	s.commands, s.index = nil, map[string]uint64{}
	s.lastApplied = binary.BigEndian.Uint64(body)
	if s.embedded != nil {
		return s.embedded.Restore(body[8:])
	}
	for body = body[8:]; len(body) > 0; {
		index, length := binary.BigEndian.Uint64(body), binary.BigEndian.Uint32(body[8:])
		command := string(body[12 : 12+length])
		body = body[12+length:]
		s.commands = append(s.commands, command)
		s.index[command] = index
	}
	return nil
}
