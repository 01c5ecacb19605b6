package chain

import (
	"slices"
)

// Outcomes of this member's own commands.
//
// Invariant: a command has one outcome. Either it is applied here with its result, or a snapshot shows that it was
// applied but not its result, or its client has cancelled it.

// IsOwnCommand reports whether the command was proposed by this incarnation of this member.
func (n *Node) IsOwnCommand(id CommandID) bool { return id.Proposer == n.incarnation }

// TakeUnknownOutcomes returns the numbers of this member's own commands that an installed snapshot covers: they were
// applied, but their results are unknown.
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

// commandApplied removes an own command that was applied from the pending requests.
func (r *pendingRequests) commandApplied(id CommandID, incarnation uint64) {
	if id.Proposer != incarnation {
		return
	}
	r.commands = slices.DeleteFunc(r.commands, func(c *command) bool { return c.id == id.Number })
}

// recordUnknownOutcomes marks the own commands that an installed snapshot covers.
func (r *pendingRequests) recordUnknownOutcomes(incarnation uint64, applied recentCommands) {
	for _, c := range r.commands {
		c.outcomeUnknown = c.outcomeUnknown || applied.has(CommandID{Proposer: incarnation, Number: c.id})
	}
}
