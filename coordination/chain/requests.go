package chain

import (
	"slices"
	"time"
)

// forwardAgain is when a command is sent to the same head again; a large one, which may still be on its way there or down
// the chain then, gets more.
const forwardRetryInterval = 300 * time.Millisecond

func forwardTimeout(bytes int) time.Duration {
	if bytes <= smallAnswerBytes {
		return forwardRetryInterval
	}
	return forwardRetryInterval + 3*transmissionTime(bytes)
}

// openEntries and openBytes bound what the head takes before it is committed.
const (
	maxUncommittedEntries = 1024
	maxUncommittedBytes   = 24 << 20
)

// pendingRequests are the calls of this member's own clients that are not answered yet.
type pendingRequests struct {
	lastID   uint64
	commands []*command
	barriers []*barrier
}

type command struct {
	id             uint64
	body           []byte
	sent           bool
	sentAt         time.Duration
	outcomeUnknown bool
}

type barrier struct {
	id       uint64
	sentAt   time.Duration
	answered bool
	index    uint64
}

// BarrierResult is a barrier that is answered: the member has applied everything up to Index.
type BarrierResult struct {
	RequestID uint64
	Index     uint64
}

// Propose has the command brought to the head until it is applied here. The number names it.
func (n *Node) Propose(now time.Duration, body []byte) (uint64, Output) {
	n.enterStep(now)
	n.pending.lastID++
	n.pending.commands = append(n.pending.commands, &command{id: n.pending.lastID, body: body})
	return n.pending.lastID, n.finish(now)
}

// CancelProposal stops the care for a command. It tells whether the command may have left this member.
func (n *Node) CancelProposal(number uint64) (sent bool) {
	n.pending.commands = slices.DeleteFunc(n.pending.commands, func(c *command) bool {
		if c.id == number {
			sent = c.sent
		}
		return c.id == number
	})
	return sent
}

// Barrier asks for an index that covers all that is acknowledged anywhere at this moment.
func (n *Node) Barrier(now time.Duration) (uint64, Output) {
	n.enterStep(now)
	n.pending.lastID++
	n.pending.barriers = append(n.pending.barriers, &barrier{id: n.pending.lastID})
	return n.pending.lastID, n.finish(now)
}

// CancelBarrier stops the care for a barrier.
func (n *Node) CancelBarrier(number uint64) {
	n.pending.barriers = slices.DeleteFunc(n.pending.barriers, func(b *barrier) bool { return b.id == number })
}

// IsOwnCommand tells whether the command was proposed by this start of this member.
func (n *Node) IsOwnCommand(id CommandID) bool { return id.Proposer == n.incarnation }

// TakeUnknownOutcomes returns the own commands whose fate is hidden in a snapshot.
func (n *Node) TakeUnknownOutcomes() []uint64 {
	var lost []uint64
	n.pending.commands = slices.DeleteFunc(n.pending.commands, func(c *command) bool {
		if c.outcomeUnknown {
			lost = append(lost, c.id)
		}
		return c.outcomeUnknown
	})
	return lost
}

// TakeBarrierResults returns the barriers that are answered. Call it after TakeCommitted.
func (n *Node) TakeBarrierResults() []BarrierResult {
	var passed []BarrierResult
	n.pending.barriers = slices.DeleteFunc(n.pending.barriers, func(b *barrier) bool {
		done := b.answered && b.index <= n.appliedIndex
		if done {
			passed = append(passed, BarrierResult{RequestID: b.id, Index: b.index})
		}
		return done
	})
	return passed
}

// resendAll has everything sent again at once, to the head of a new view.
func (r *pendingRequests) resendAll() {
	for _, c := range r.commands {
		c.sentAt = 0
	}
	for _, b := range r.barriers {
		b.sentAt = 0
	}
}

func (r *pendingRequests) commandApplied(id CommandID, life uint64) {
	if id.Proposer != life {
		return
	}
	r.commands = slices.DeleteFunc(r.commands, func(c *command) bool { return c.id == id.Number })
}

// markUnknownOutcomes marks the own commands that a snapshot has applied.
func (r *pendingRequests) markUnknownOutcomes(life uint64, applied recentCommands) {
	for _, c := range r.commands {
		c.outcomeUnknown = c.outcomeUnknown || applied.has(CommandID{Proposer: life, Number: c.id})
	}
}

func (r *pendingRequests) barrierAnswered(number, index uint64) {
	for _, b := range r.barriers {
		if b.id == number && !b.answered {
			b.answered, b.index = true, index
		}
	}
}

// runPendingRequests sends what is due.
func (n *Node) runPendingRequests(now time.Duration) {
	for _, c := range n.pending.commands {
		again := forwardTimeout(len(c.body))
		due := c.sentAt + again
		if c.sentAt == 0 || now >= due {
			n.forwardCommand(now, c)
			due = now + again
		}
		n.wakeBy(due)
	}
	for _, b := range n.pending.barriers {
		if b.answered {
			continue
		}
		due := b.sentAt + n.timing.RetryInterval
		if b.sentAt == 0 || now >= due {
			n.sendBarrier(now, b)
			due = now + n.timing.RetryInterval
		}
		n.wakeBy(due)
	}
}

func (n *Node) forwardCommand(now time.Duration, c *command) {
	if n.view.Epoch == 0 {
		return
	}
	id := CommandID{Proposer: n.incarnation, Number: c.id}
	if n.isHead() {
		if n.handleForward(Forward{ID: id, Command: c.body}) {
			c.sent, c.sentAt = true, now
		}
		return
	}
	c.sent, c.sentAt = true, now
	n.send(n.resolve(n.view.Head()), Message{Forward: &Forward{ID: id, Command: c.body}})
}

// handleForward takes a command into the log. Only the head does, in an epoch that it has not promised to end.
func (n *Node) handleForward(f Forward) bool {
	if !n.isHead() || !n.complete() || n.sealed() || n.diskFailing {
		return false
	}
	if n.recent.has(f.ID) || !n.admitsCommand(f) {
		return true
	}
	entry := Entry{Index: n.log.lastIndex() + 1, Epoch: n.view.Epoch, ID: f.ID, Command: f.Command}
	n.log.append(entry)
	n.persist(record{Entry: &entry})
	n.replicate()
	n.commitAtTail()
	return true
}

// admitsCommand tells whether the command is new and the open part of the log short enough.
func (n *Node) admitsCommand(f Forward) bool {
	count, bytes := 0, 0
	for _, entry := range n.log.after(n.appliedIndex) {
		if entry.ID == f.ID {
			return false
		}
		if entry.Index > n.commitIndex {
			count++
			bytes += len(entry.Command)
		}
	}
	return count < maxUncommittedEntries && bytes < maxUncommittedBytes
}

func (n *Node) sendBarrier(now time.Duration, b *barrier) {
	if n.view.Epoch == 0 {
		return
	}
	b.sentAt = now
	message := Barrier{RequestID: b.id, Requester: n.self.Identity, RequesterAddress: n.self.Address}
	if n.isHead() {
		n.handleBarrier(message)
		return
	}
	n.send(n.resolve(n.view.Head()), Message{Barrier: &message})
}

// handleBarrier passes a barrier on. At the tail it has been through every member of the chain in this epoch, so at
// the moment of the question no later view had been decided: what was acknowledged is in the tail's log. (How far
// it is committed a tail that has just restarted need not know yet.)
func (n *Node) handleBarrier(b Barrier) {
	if !n.complete() || n.sealed() || !n.chainMayCommit() {
		return
	}
	if !n.isTail() {
		n.send(n.resolve(n.successor()), Message{Barrier: &b})
		return
	}
	if b.Requester == n.self.Identity {
		n.pending.barrierAnswered(b.RequestID, n.log.lastIndex())
		return
	}
	n.sendTo(b.RequesterAddress, Message{To: b.Requester, BarrierReply: &BarrierReply{RequestID: b.RequestID, Index: n.log.lastIndex()}})
}
