package chain

import (
	"time"
)

// Replication down the chain, and commitment at the tail.
//
// Invariants:
//
//   - Only the head of an epoch appends commands to the log, and only while it is not sealed. All others append the
//     entries that their upstream member sends in the same epoch, without gaps, and only after the two logs were
//     compared in that epoch (logMatched).
//   - A member forwards an entry only after the entry is on its disk, because the messages of a step are sent after
//     its records are synced. A member whose disk rejects writes forwards nothing down the chain.
//   - An entry commits when it is on the disk of every member of the chain: when the tail, complete in the epoch, has
//     synced it, and the chain has at least minChainLength members.
//   - A commit index that a member receives applies to its own log only as far as that log was compared. So a member
//     whose log has not been matched ignores it.

// maxAppendBytes bounds the commands in one Append, unless a single entry is larger.
const maxAppendBytes = 256 << 10

// replicate sends new entries to every downstream member that keeps up. A member whose next index is not known yet is
// assumed to lack only the newest entry; it fetches if it lacks more.
func (n *Node) replicate() {
	if !n.complete() || n.sealed() {
		return
	}
	for _, p := range n.peers {
		if p.fetchesMore || !n.isUpstreamOf(p.member.Identity) {
			continue
		}
		if p.nextIndex == 0 && p.deferredFetch == nil {
			p.nextIndex = n.sendLimit(p)
		}
		if p.nextIndex > 0 && n.sendLimit(p) >= p.nextIndex {
			n.sendEntries(p, 0, false)
		}
	}
}

// sendLimit returns the index of the newest entry that the peer may be sent: a learner gets only committed entries.
func (n *Node) sendLimit(p *peer) uint64 {
	if n.view.ChainIndex(p.member.Identity) >= 0 {
		return n.log.lastIndex()
	}
	return n.commitIndex
}

// sendEntries sends the peer the next entries, and returns the size of their commands.
func (n *Node) sendEntries(p *peer, inReplyTo uint64, snapshot bool) (bytes int) {
	a := Append{
		InReplyTo: inReplyTo, PreviousIndex: p.nextIndex - 1, CommitIndex: n.commitIndex,
		EpochStartIndex: n.epochStartIndex,
	}
	if snapshot {
		a.More = n.sendLimit(p) >= p.nextIndex // the snapshot alone is large enough
	} else if n.sendLimit(p) >= p.nextIndex && p.nextIndex > n.log.baseIndex {
		for _, entry := range n.log.after(p.nextIndex - 1)[:n.sendLimit(p)-p.nextIndex+1] {
			if bytes > 0 && bytes+len(entry.Command) > maxAppendBytes {
				a.More = true
				break
			}
			bytes += len(entry.Command)
			a.Entries = append(a.Entries, entry)
		}
	}
	if bytes > smallAnswerBytes && p.inFlight.afterIndex == a.PreviousIndex {
		// The peer fetched these entries before they existed.
		p.inFlight.until = n.lastStep + transmissionTime(bytes)
	}
	p.nextIndex += uint64(len(a.Entries))
	p.fetchesMore = a.More
	n.send(p.member, Message{Append: &a})
	n.out.Messages[len(n.out.Messages)-1].AttachSnapshot = snapshot
	return bytes
}

// isUpstreamOf reports whether the node sends entries to the identity. A member whose disk rejects writes forwards
// nothing down the chain: what it has received may not be on its disk.
func (n *Node) isUpstreamOf(identity string) bool {
	if n.view.ChainIndex(identity) >= 0 {
		return !n.diskFailing && n.successor().Identity == identity
	}
	return n.isHead()
}

// handleAppend appends the received entries in order. The log changes only after the upstream member has stated how
// far the two logs agree.
func (n *Node) handleAppend(now time.Duration, from string, a Append) {
	if n.isHead() || n.sealed() || !n.mayAcceptEntries() || from != n.upstream().Identity {
		if !n.config.Mutation.NoEpochCheck || n.isHead() || !n.mayAcceptEntries() {
			return
		}
	}
	// The answer to any fetch of this epoch is usable, because the log does not change until one is answered.
	answersFetch := a.InReplyTo > n.catchUp.answeredUpTo && a.InReplyTo <= n.catchUp.lastRequestID
	if n.config.Mutation.NewestFetchOnly {
		answersFetch = a.InReplyTo != 0 && a.InReplyTo == n.catchUp.lastRequestID
	}
	switch {
	case answersFetch:
		n.catchUp.answeredUpTo = n.catchUp.lastRequestID
		n.catchUp.requestedAt, n.catchUp.attempts = 0, 0
		if !n.matchLog(a) {
			return
		}
	case a.InReplyTo != 0 || !n.logMatched:
		return
	case a.PreviousIndex > n.log.lastIndex():
		if n.catchUp.requestedAt == 0 {
			n.sendFetch(now)
		}
		return
	}
	n.scheduleNextFetch(now, answersFetch, n.appendEntries(a))
	n.becomeComplete(a)
	n.advanceCommitIndex(a.CommitIndex)
	if a.More && answersFetch {
		n.sendFetch(now)
	}
	n.replicate()
}

// appendEntries appends the entries that follow the log, and reports whether there were any.
func (n *Node) appendEntries(a Append) (grown bool) {
	for i := range a.Entries {
		entry := a.Entries[i]
		if entry.Index != n.log.lastIndex()+1 {
			continue
		}
		grown = true
		n.log.append(entry)
		if !n.diskFailing {
			n.persist(record{Entry: &entry})
		}
	}
	return grown
}

// becomeComplete marks the log as complete once it has every entry that the head had at the start of the epoch.
func (n *Node) becomeComplete(a Append) {
	n.epochStartIndex = max(n.epochStartIndex, a.EpochStartIndex)
	if !n.inChain() || n.complete() || !n.logMatched || n.log.lastIndex() < a.EpochStartIndex {
		return
	}
	n.completeEpoch = n.view.Epoch
	n.persist(record{CompleteEpoch: n.completeEpoch})
	n.answerDeferredFetches()
}

// handleCommit processes the commit index that the tail announces.
func (n *Node) handleCommit(index uint64) {
	n.advanceCommitIndex(index)
}

// advanceCommitIndex raises the commit index, at most to the end of the log. It does nothing until the log is matched.
func (n *Node) advanceCommitIndex(index uint64) {
	if !n.logMatched {
		return
	}
	index = min(index, n.log.lastIndex())
	if index > n.commitIndex {
		n.commitIndex, n.unsavedProgress = index, true
		n.replicateCommitted()
	}
	n.commitAtTail()
}

// commitAtTail commits the complete log if the node is the tail: every member before it has already synced what the
// tail syncs in this step.
func (n *Node) commitAtTail() {
	commits := n.isTail() || n.config.Mutation.CommitShortChain && n.successor() == n.view.Tail()
	if !commits || !n.complete() || n.sealed() || !n.chainMayCommit() || n.diskFailing {
		return
	}
	if n.commitIndex >= n.log.lastIndex() {
		return
	}
	n.commitIndex, n.unsavedProgress = n.log.lastIndex(), true
	for _, member := range n.view.Chain {
		n.send(n.resolve(member), Message{Commit: &Commit{Index: n.commitIndex}})
	}
	n.replicateCommitted()
}

// replicateCommitted sends newly committed entries from the head to the learners.
func (n *Node) replicateCommitted() {
	if n.isHead() {
		n.replicate()
	}
}
