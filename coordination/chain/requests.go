package chain

import (
	"slices"
	"time"
)

// forwardAgain is when a command is sent to the same head again; a large one, which may still be on its way there or down
// the chain then, gets more.
const forwardAgain = 300 * time.Millisecond

func forwardWait(bytes int) time.Duration {
	if bytes <= shortAnswer {
		return forwardAgain
	}
	return forwardAgain + 3*arrival(bytes)
}

// openEntries and openBytes bound what the head takes before it is committed.
const (
	openEntries = 1024
	openBytes   = 24 << 20
)

// requests are the calls of this member's own clients that are not answered yet.
type requests struct {
	next     uint64
	commands []*command
	barriers []*barrier
}

type command struct {
	number uint64
	body   []byte
	sent   bool
	sentAt time.Duration
	lost   bool
}

type barrier struct {
	number uint64
	sentAt time.Duration
	passed bool
	index  uint64
}

// BarrierResult is a barrier that is answered: the member has applied everything up to Index.
type BarrierResult struct {
	RequestID uint64
	Index     uint64
}

// Propose has the command brought to the head until it is applied here. The number names it.
func (n *Node) Propose(now time.Duration, body []byte) (uint64, Output) {
	n.enterStep(now)
	n.requests.next++
	n.requests.commands = append(n.requests.commands, &command{number: n.requests.next, body: body})
	return n.requests.next, n.finish(now)
}

// CancelProposal stops the care for a command. It tells whether the command may have left this member.
func (n *Node) CancelProposal(number uint64) (sent bool) {
	n.requests.commands = slices.DeleteFunc(n.requests.commands, func(c *command) bool {
		if c.number == number {
			sent = c.sent
		}
		return c.number == number
	})
	return sent
}

// Barrier asks for an index that covers all that is acknowledged anywhere at this moment.
func (n *Node) Barrier(now time.Duration) (uint64, Output) {
	n.enterStep(now)
	n.requests.next++
	n.requests.barriers = append(n.requests.barriers, &barrier{number: n.requests.next})
	return n.requests.next, n.finish(now)
}

// CancelBarrier stops the care for a barrier.
func (n *Node) CancelBarrier(number uint64) {
	n.requests.barriers = slices.DeleteFunc(n.requests.barriers, func(b *barrier) bool { return b.number == number })
}

// IsOwnCommand tells whether the command was proposed by this start of this member.
func (n *Node) IsOwnCommand(id CommandID) bool { return id.Proposer == n.life }

// TakeUnknownOutcomes returns the own commands whose fate is hidden in a snapshot.
func (n *Node) TakeUnknownOutcomes() []uint64 {
	var lost []uint64
	n.requests.commands = slices.DeleteFunc(n.requests.commands, func(c *command) bool {
		if c.lost {
			lost = append(lost, c.number)
		}
		return c.lost
	})
	return lost
}

// TakeBarrierResults returns the barriers that are answered. Call it after TakeCommitted.
func (n *Node) TakeBarrierResults() []BarrierResult {
	var passed []BarrierResult
	n.requests.barriers = slices.DeleteFunc(n.requests.barriers, func(b *barrier) bool {
		done := b.passed && b.index <= n.applied
		if done {
			passed = append(passed, BarrierResult{RequestID: b.number, Index: b.index})
		}
		return done
	})
	return passed
}

// resend has everything sent again at once, to the head of a new view.
func (r *requests) resend() {
	for _, c := range r.commands {
		c.sentAt = 0
	}
	for _, b := range r.barriers {
		b.sentAt = 0
	}
}

func (r *requests) appliedCommand(id CommandID, life uint64) {
	if id.Proposer != life {
		return
	}
	r.commands = slices.DeleteFunc(r.commands, func(c *command) bool { return c.number == id.Number })
}

// lostBehind marks the own commands that a snapshot has applied.
func (r *requests) lostBehind(life uint64, applied recent) {
	for _, c := range r.commands {
		c.lost = c.lost || applied.has(CommandID{Proposer: life, Number: c.number})
	}
}

func (r *requests) barrierPassed(number, index uint64) {
	for _, b := range r.barriers {
		if b.number == number && !b.passed {
			b.passed, b.index = true, index
		}
	}
}

// runRequests sends what is due.
func (n *Node) runRequests(now time.Duration) {
	for _, c := range n.requests.commands {
		again := forwardWait(len(c.body))
		due := c.sentAt + again
		if c.sentAt == 0 || now >= due {
			n.forward(now, c)
			due = now + again
		}
		n.wakeBy(due)
	}
	for _, b := range n.requests.barriers {
		if b.passed {
			continue
		}
		due := b.sentAt + n.timing.RetryInterval
		if b.sentAt == 0 || now >= due {
			n.askBarrier(now, b)
			due = now + n.timing.RetryInterval
		}
		n.wakeBy(due)
	}
}

func (n *Node) forward(now time.Duration, c *command) {
	if n.view.Epoch == 0 {
		return
	}
	id := CommandID{Proposer: n.life, Number: c.number}
	if n.isHead() {
		if n.onForward(Forward{ID: id, Command: c.body}) {
			c.sent, c.sentAt = true, now
		}
		return
	}
	c.sent, c.sentAt = true, now
	n.send(n.best(n.view.Head()), Message{Forward: &Forward{ID: id, Command: c.body}})
}

// onForward takes a command into the log. Only the head does, in an epoch that it has not promised to end.
func (n *Node) onForward(f Forward) bool {
	if !n.isHead() || !n.whole() || n.wedged() || n.refusing {
		return false
	}
	if n.recent.has(f.ID) || !n.roomFor(f) {
		return true
	}
	entry := Entry{Index: n.log.last() + 1, Epoch: n.view.Epoch, ID: f.ID, Command: f.Command}
	n.log.append(entry)
	n.persist(record{Entry: &entry})
	n.pushAll()
	n.commitHere()
	return true
}

// roomFor tells whether the command is new and the open part of the log short enough.
func (n *Node) roomFor(f Forward) bool {
	count, bytes := 0, 0
	for _, entry := range n.log.after(n.applied) {
		if entry.ID == f.ID {
			return false
		}
		if entry.Index > n.committed {
			count++
			bytes += len(entry.Command)
		}
	}
	return count < openEntries && bytes < openBytes
}

func (n *Node) askBarrier(now time.Duration, b *barrier) {
	if n.view.Epoch == 0 {
		return
	}
	b.sentAt = now
	message := Barrier{RequestID: b.number, Requester: n.self.Identity, RequesterAddress: n.self.Address}
	if n.isHead() {
		n.onBarrier(message)
		return
	}
	n.send(n.best(n.view.Head()), Message{Barrier: &message})
}

// onBarrier passes a barrier on. At the tail it has been through every member of the chain in this epoch, so at
// the moment of the question no later view had been decided: what was acknowledged is in the tail's log. (How far
// it is committed a tail that has just restarted need not know yet.)
func (n *Node) onBarrier(b Barrier) {
	if !n.whole() || n.wedged() || !n.mayCommit() {
		return
	}
	if !n.isTail() {
		n.send(n.best(n.successor()), Message{Barrier: &b})
		return
	}
	if b.Requester == n.self.Identity {
		n.requests.barrierPassed(b.RequestID, n.log.last())
		return
	}
	n.sendTo(b.RequesterAddress, Message{To: b.Requester, BarrierReply: &BarrierReply{RequestID: b.RequestID, Index: n.log.last()}})
}
