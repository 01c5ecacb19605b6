package chain

import (
	"time"
)

// Replication down the chain, and commitment at the tail.
//
// Invariants:
//
//   - Only the head of an epoch appends commands to the log, and only while it is not sealed. All others append what
//     their upstream member sends in the same epoch, without gaps, after the logs were compared once in it
//     (logMatched).
//   - A member passes an entry on only after it has it on disk, because the messages of a step are sent after its
//     records are synced. A member whose disk rejects writes passes nothing down the chain.
//   - An entry commits when it is on the disk of every member of the chain: when the tail, complete in the epoch, has
//     synced it, and the chain has at least minChainLength members.
//   - The commit index that a member learns is true of its own log only as far as that has been compared, so a member
//     whose log is not matched learns none.

// maxAppendBytes bounds the commands in one Append, unless a single entry is larger.
const maxAppendBytes = 256 << 10

// replicate sends new entries to every member downstream that keeps up. One that has not fetched since this node's
// start is taken to lack only the newest entries; it fetches if it lacks more.
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

// sendLimit returns the newest entry that the peer is sent: a learner gets only what is committed.
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

// isUpstreamOf reports whether the node sends entries to the identity. A member whose disk rejects writes passes
// nothing down the chain: it may not have on disk what it has read.
func (n *Node) isUpstreamOf(identity string) bool {
	if n.view.ChainIndex(identity) >= 0 {
		return !n.diskFailing && n.successor().Identity == identity
	}
	return n.isHead()
}

// handleAppend takes in entries, in order. The log changes only after the upstream member has stated how far the two
// logs agree.
func (n *Node) handleAppend(now time.Duration, from string, a Append) {
	if n.isHead() || n.sealed() || !n.mayAcceptEntries() || from != n.upstream().Identity {
		if !n.config.Mutation.NoEpochCheck || n.isHead() || !n.mayAcceptEntries() {
			return
		}
	}
	// The answer to any fetch of this epoch will do: until one is answered the log does not change.
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

// becomeComplete notes that the log has reached the beginning of the epoch.
func (n *Node) becomeComplete(a Append) {
	n.epochStartIndex = max(n.epochStartIndex, a.EpochStartIndex)
	if !n.inChain() || n.complete() || !n.logMatched || n.log.lastIndex() < a.EpochStartIndex {
		return
	}
	n.completeEpoch = n.view.Epoch
	n.persist(record{CompleteEpoch: n.completeEpoch})
	n.answerDeferredFetches()
}

// handleCommit takes in how far the tail has committed.
func (n *Node) handleCommit(index uint64) {
	n.advanceCommitIndex(index)
}

// advanceCommitIndex raises the commit index as far as the own log has been compared.
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

// commitAtTail commits at the tail: every member before it has synced what the tail syncs in this step.
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

// replicateCommitted passes newly committed entries from the head to the learners.
func (n *Node) replicateCommitted() {
	if n.isHead() {
		n.replicate()
	}
}
