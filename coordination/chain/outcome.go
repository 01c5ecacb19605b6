package chain

import (
	"slices"
)

// Outcomes of this member's own commands.
//
// Invariant: a command has one outcome. It is applied here with its result; or a snapshot shows that it was applied,
// but not with which result; or its client has cancelled it.

// IsOwnCommand reports whether the command was proposed by this incarnation of this member.
func (n *Node) IsOwnCommand(id CommandID) bool { return id.Proposer == n.incarnation }

// TakeUnknownOutcomes returns the numbers of the own commands that a snapshot covers: they were applied with unknown
// results.
func (n *Node) TakeUnknownOutcomes() []uint64 {
	var unknown []uint64
	n.pending.commands = slices.DeleteFunc(n.pending.commands, func(c *command) bool {
		if c.outcomeUnknown {
			unknown = append(unknown, c.id)
		}
		return c.outcomeUnknown
	})
	return unknown
}

// commandApplied ends the care for an own command.
func (r *pendingRequests) commandApplied(id CommandID, incarnation uint64) {
	if id.Proposer != incarnation {
		return
	}
	r.commands = slices.DeleteFunc(r.commands, func(c *command) bool { return c.id == id.Number })
}

// recordUnknownOutcomes notes the own commands that an installed snapshot covers.
func (r *pendingRequests) recordUnknownOutcomes(incarnation uint64, applied recentCommands) {
	for _, c := range r.commands {
		c.outcomeUnknown = c.outcomeUnknown || applied.has(CommandID{Proposer: incarnation, Number: c.id})
	}
}
