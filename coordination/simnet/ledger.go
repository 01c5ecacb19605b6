package simnet

import (
	"encoding/binary"
	"fmt"
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/engine"
)

// ledger is what the world has seen, to check the members against.
type ledger struct {
	committed map[uint64]string // command by index, once applied anywhere
	acked     map[string]uint64 // index by command, once its client was told
	newest    uint64            // highest acknowledged index
	epochs    map[string]uint64 // by identity
	views     map[uint64]string // by epoch, as first seen
	ackedAt   time.Duration     // of the newest acknowledgement
	waiting   bool              // for a calm world, before a disk is lost
	contacts  contacts
}

func newLedger() ledger {
	return ledger{
		committed: map[uint64]string{}, acked: map[string]uint64{},
		epochs: map[string]uint64{}, views: map[uint64]string{}, contacts: newContacts(),
	}
}

// applied checks an entry that a machine applies.
func (l *ledger) applied(w *World, m *machine, index uint64, command string) {
	known, seen := l.committed[index]
	if seen && known != command {
		w.fail("%s applies %q at %d, another applied %q", m.address, command, index, known)
		return
	}
	if seen {
		return
	}
	l.committed[index] = command
	if w.Mutation.NoSync {
		return // the count below trusts the disks
	}
	if copies := w.copies(m, index, command); copies < w.FaultTolerance+1 {
		w.fail("%q at %d is applied with %d copies", command, index, copies)
	}
}

// copies counts the members whose disks hold, or held when they were lost, an entry at the index. The member
// that applies it now counts.
func (w *World) copies(applying *machine, index uint64, command string) int {
	held := map[string]bool{}
	if applying.last != nil && applying.engine == nil { // it is just reading its disk
		held[applying.last.Self().Identity] = true
	}
	for _, m := range w.machines {
		for _, node := range append(m.former[:len(m.former):len(m.former)], m.last) {
			if node != nil && node.HasDurable(index, command) {
				held[node.Self().Identity] = true
			}
		}
	}
	return len(held)
}

// acknowledge notes what a client was told.
func (l *ledger) acknowledge(w *World, command string, index uint64) {
	l.acked[command] = index
	l.newest = max(l.newest, index)
	l.ackedAt = w.now
	l.contacts.acknowledged(w.now, index)
	if l.committed[index] != command {
		w.fail("%q is acknowledged at %d, where %q stands", command, index, l.committed[index])
	}
}

// started checks that a member does not fall back behind an epoch that it had entered.
func (l *ledger) started(w *World, m *machine) {
	identity, epoch := m.last.Self().Identity, m.last.Epoch()
	if epoch < l.epochs[identity] {
		w.fail("%s restarts in epoch %d after %d", identity, epoch, l.epochs[identity])
	}
}

// entered checks that all members see the same view in an epoch.
func (l *ledger) entered(w *World, node *chain.Node) {
	v := node.View()
	shown := ""
	for _, member := range append(v.Chain[:len(v.Chain):len(v.Chain)], v.Voters...) {
		shown += member.Identity + " "
	}
	if known, seen := l.views[v.Epoch]; seen && known != shown {
		w.fail("%s enters epoch %d as %s, another as %s", node.Self().Identity, v.Epoch, shown, known)
	}
	l.views[v.Epoch] = shown
}

// check looks at all machines after a step.
func (w *World) check() {
	var leader *machine
	for _, m := range w.machines {
		if m.engine == nil {
			continue
		}
		node := m.engine.Node()
		identity, epoch := node.Self().Identity, node.Epoch()
		if node.DiskFailing() {
			continue // what it enters now it may forget: it takes part in nothing that must survive
		}
		if epoch < w.ledger.epochs[identity] {
			w.fail("%s falls back from epoch %d to %d", identity, w.ledger.epochs[identity], epoch)
		}
		if epoch > w.ledger.epochs[identity] {
			w.ledger.entered(w, node)
		}
		w.ledger.epochs[identity] = epoch
		if !m.engine.IsLeader(m.local()) {
			continue
		}
		if leader != nil {
			w.fail("%s and %s both lead", leader.address, m.address)
		}
		leader = m
	}
	w.checkMembership()
}

// machineState is the replicated machine of the tests: all commands in order, or an embedded machine that takes them.
type machineState struct {
	machine  *machine
	commands []string
	index    map[string]uint64
	last     uint64
	embedded engine.StateMachine
}

func newMachineState(m *machine) *machineState {
	s := &machineState{machine: m, index: map[string]uint64{}}
	if m.world.NewStateMachine != nil {
		s.embedded = m.world.NewStateMachine()
	}
	return s
}

// Apply implements engine.Machine.
func (s *machineState) Apply(index uint64, command []byte) []byte {
	s.machine.world.ledger.applied(s.machine.world, s.machine, index, string(command))
	if index <= s.last {
		s.machine.world.fail("%s applies %d after %d", s.machine.address, index, s.last)
	}
	s.last = index
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

// Snapshot implements engine.Machine.
func (s *machineState) Snapshot() []byte {
	body := binary.BigEndian.AppendUint64(nil, s.last)
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

// Restore implements engine.Machine.
func (s *machineState) Restore(body []byte) error {
	if len(body) < 8 {
		return fmt.Errorf("%d bytes", len(body))
	}
	s.commands, s.index = nil, map[string]uint64{}
	s.last = binary.BigEndian.Uint64(body)
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
