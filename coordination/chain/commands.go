package chain

import (
	"slices"
	"time"
)

// Commands of this member's clients, and how they are forwarded to the head.
//
// Invariants:
//
//   - A command stays pending until it is applied here, its outcome is found to be unknown, or the client cancels it.
//     Until then it is forwarded again, under the same CommandID, so that it is applied once.
//   - The head accepts a command only while its log is complete and it is not sealed. The number and size of
//     uncommitted commands are bounded.

// forwardRetryInterval is the time after which a command is sent to the same head again. A large command gets more
// time, because it may still be in transit to the head or down the chain.
const forwardRetryInterval = 300 * time.Millisecond

// forwardTimeout returns the time after which a command of the given size is sent again.
func forwardTimeout(bytes int) time.Duration {
	if bytes <= smallAnswerBytes {
		return forwardRetryInterval
	}
	return forwardRetryInterval + 3*transmissionTime(bytes)
}

// Bounds on the entries that the head accepts before they are committed.
const (
	maxUncommittedEntries = 1024
	maxUncommittedBytes   = 24 << 20
)

// pendingRequests are the requests of this member's own clients that have no result yet.
type pendingRequests struct {
	lastID   uint64 // of commands and barriers; starts at random in each incarnation
	commands []*command
	barriers []*barrier
}

// command is a proposed command without a result.
type command struct {
	id             uint64 // CommandID.Number
	body           []byte
	sent           bool // it may have left this member
	sentAt         time.Duration
	outcomeUnknown bool
}

// Propose submits a command, which is forwarded to the head again and again until it is applied here. It returns the
// command's number.
func (n *Node) Propose(now time.Duration, body []byte) (uint64, Output) {
	n.enterStep(now)
	n.pending.lastID++
	n.pending.commands = append(n.pending.commands, &command{id: n.pending.lastID, body: body})
	return n.pending.lastID, n.finish(now)
}

// CancelProposal stops forwarding a command. It reports whether the command may have left this member, so that it may
// still be applied.
func (n *Node) CancelProposal(number uint64) (sent bool) {
	n.pending.commands = slices.DeleteFunc(n.pending.commands, func(c *command) bool {
		if c.id == number {
			sent = c.sent
		}
		return c.id == number
	})
	return sent
}

// resendAll makes all pending requests due at once, for the head of a new view.
func (r *pendingRequests) resendAll() {
	for _, c := range r.commands {
		c.sentAt = 0
	}
	for _, b := range r.barriers {
		b.sentAt = 0
	}
}

// runPendingRequests sends the requests that are due.
func (n *Node) runPendingRequests(now time.Duration) {
	for _, c := range n.pending.commands {
		timeout := forwardTimeout(len(c.body))
		due := c.sentAt + timeout
		if c.sentAt == 0 || now >= due {
			n.forwardCommand(now, c)
			due = now + timeout
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

// forwardCommand passes a command to the head, which may be this node.
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

// handleForward appends a command to the log, and reports whether the node is a head that can accept commands. A
// duplicate, or a command beyond the bounds, is dropped; the proposing member sends it again until it is applied.
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

// admitsCommand reports whether the command is new and the uncommitted part of the log is within its bounds.
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
