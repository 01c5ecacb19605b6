package chain

import (
	"time"
)

// batchBytes bounds the commands in one Append, as far as one entry allows.
const maxAppendBytes = 256 << 10

// An answer of more than shortAnswer bytes is not given again while it may be on its way over a link of slowLink bytes a
// second.
const (
	smallAnswerBytes       = 64 << 10
	slowLinkBytesPerSecond = 1 << 20
)

// catchUp is the node's own asking for what it lacks.
type catchUp struct {
	lastRequestID uint64        // of the newest Fetch; it goes on over epochs and starts at random in each life
	answeredUpTo  uint64        // those up to here have their answer, or were asked in an earlier epoch
	requestedAt   time.Duration // it was sent; 0 when none is out
	attempts      int           // since the last answer
	backoffUntil  time.Duration // nothing is asked before: the last answer had nothing
	laggingSince  time.Duration // since when the head is known to have more
}

// runCatchUp asks the upstream member when something is lacking.
func (n *Node) runCatchUp(now time.Duration) {
	if n.view.Epoch == 0 || n.isHead() || n.sealed() || !n.mayAcceptEntries() {
		return
	}
	if !n.lacksEntries(now) {
		return
	}
	again := n.catchUp.backoffUntil
	if n.catchUp.requestedAt > 0 {
		again = max(again, n.catchUp.requestedAt+n.fetchTimeout())
	}
	if now < again {
		n.wakeBy(again)
		return
	}
	n.sendFetch(now)
}

// fetchTimeout is how long an answer is waited for. It grows, because an answer may be large and a second one only
// gets in its way.
func (n *Node) fetchTimeout() time.Duration {
	const doublings = 3
	return n.timing.RetryInterval << min(max(n.catchUp.attempts-1, 0), doublings)
}

// mayAcceptEntries tells whether the node can take entries in: a member of the chain only with a disk that writes.
func (n *Node) mayAcceptEntries() bool { return !n.diskFailing || !n.inChain() }

// lacksEntries tells whether entries are missing that should have come by now.
func (n *Node) lacksEntries(now time.Duration) bool {
	if !n.logMatched || (n.inChain() && !n.complete()) {
		return true
	}
	target := n.detector.headCommitIndex
	if n.inChain() {
		target = n.detector.headLastIndex
	}
	if target <= n.log.lastIndex() {
		n.catchUp.laggingSince = 0
		return n.catchUp.requestedAt > 0
	}
	if n.catchUp.laggingSince == 0 {
		n.catchUp.laggingSince = now
	}
	return !n.inChain() || now-n.catchUp.laggingSince > n.timing.HeartbeatInterval
}

func (n *Node) sendFetch(now time.Duration) {
	n.catchUp.lastRequestID++
	n.catchUp.attempts++
	n.catchUp.requestedAt = now
	n.send(n.resolve(n.upstream()), Message{Fetch: &Fetch{
		RequestID:   n.catchUp.lastRequestID,
		CommitIndex: n.commitIndex,
		EpochEnds:   n.log.epochEnds(n.commitIndex),
	}})
}

// handleFetch answers a member downstream, now or once the own log is whole.
func (n *Node) handleFetch(now time.Duration, address, from string, f Fetch) {
	p := n.findPeer(from)
	if p == nil || n.sealed() || !n.isUpstreamOf(from) {
		return
	}
	if !n.complete() {
		p.deferredFetch, p.deferredFetchAddress = &f, address
		return
	}
	p.deferredFetch = nil
	n.answerFetch(p, f)
}

// isUpstreamOf tells whether the node is upstream of the identity. A member whose disk refuses passes nothing down the
// chain: it may not hold what it has read.
func (n *Node) isUpstreamOf(identity string) bool {
	if n.view.ChainIndex(identity) >= 0 {
		return !n.diskFailing && n.successor().Identity == identity
	}
	return n.isHead()
}

// answerFetch sends what follows the newest entry that both logs hold, or the snapshot and what follows it. What may still be
// on its way is not sent again: a second one would only get in its way.
func (n *Node) answerFetch(p *peer, f Fetch) {
	common := n.log.commonIndex(f.CommitIndex, f.EpochEnds)
	if n.answerInFlight(p, common, f.RequestID) {
		return
	}
	asked, snapshot, bytes := common, common < n.log.baseIndex, 0
	if snapshot {
		common, bytes = n.snapshot.Index, n.snapshotBytes
	}
	p.nextIndex = common + 1
	bytes += n.sendEntries(p, f.RequestID, snapshot)
	p.inFlight.afterIndex, p.inFlight.until = asked, n.lastStep+transmissionTime(bytes)
}

// inFlightAnswer is the newest question of a peer, and how long its answer may be on its way over a slow link.
type inFlightAnswer struct {
	afterIndex uint64 // what follows this entry was asked for
	requestID  uint64 // of the question; 0: there was none in this epoch
	until      time.Duration
}

// answerInFlight tells whether what a peer asks for was sent to the life of it that asks, and may still be on its way. It is
// so for a bounded time after the peer has first asked for it, whatever else is sent meanwhile.
func (n *Node) answerInFlight(p *peer, common, number uint64) bool {
	const questions = 1 << 16 // that one life asks in an epoch, about; another one begins at random
	before := p.inFlight
	if number <= before.requestID && before.requestID-number <= questions {
		return true // it comes late; a newer one is answered
	}
	sameLife := before.requestID > 0 && number > before.requestID && number-before.requestID <= questions
	p.inFlight.requestID = number
	if sameLife && common == before.afterIndex {
		return n.lastStep < before.until
	}
	p.inFlight.afterIndex, p.inFlight.until = common, 0
	bytes := 0
	if p.nextIndex > common+1 {
		bytes = n.bytesAfter(common) - n.bytesAfter(p.nextIndex-1)
	}
	if !sameLife || bytes <= smallAnswerBytes {
		return false
	}
	p.inFlight.until = n.lastStep + transmissionTime(bytes)
	return true
}

// transmissionTime is how long so many bytes take over a slow link.
func transmissionTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / slowLinkBytesPerSecond
}

// sendLimit is the newest entry that the peer is sent: a standby gets only what is committed.
func (n *Node) sendLimit(p *peer) uint64 {
	if n.view.ChainIndex(p.member.Identity) >= 0 {
		return n.log.lastIndex()
	}
	return n.commitIndex
}

// sendEntries sends the peer the next entries, and returns how many bytes of commands they have.
func (n *Node) sendEntries(p *peer, answer uint64, snapshot bool) (bytes int) {
	a := Append{InReplyTo: answer, PreviousIndex: p.nextIndex - 1, CommitIndex: n.commitIndex, EpochStartIndex: n.epochStartIndex}
	if snapshot {
		a.More = n.sendLimit(p) >= p.nextIndex // by itself it is large enough
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
	if bytes > smallAnswerBytes && p.inFlight.afterIndex == a.PreviousIndex { // it has asked for this before there was anything
		p.inFlight.until = n.lastStep + transmissionTime(bytes)
	}
	p.nextIndex += uint64(len(a.Entries))
	p.fetchesMore = a.More
	n.send(p.member, Message{Append: &a})
	n.out.Messages[len(n.out.Messages)-1].AttachSnapshot = snapshot
	return bytes
}

// replicate sends new entries to everybody downstream that keeps up. One that has not asked since this node's start
// is taken to lack only the newest; it asks when it lacks more.
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

// handleAppend takes entries in, in order. A log is changed only after the upstream member has told how far the
// two agree.
func (n *Node) handleAppend(now time.Duration, from string, a Append) {
	if n.isHead() || n.sealed() || !n.mayAcceptEntries() || from != n.upstream().Identity {
		if !n.config.Mutation.NoEpochCheck || n.isHead() || !n.mayAcceptEntries() {
			return
		}
	}
	// Any question of this epoch will do: until one is answered the log does not change.
	asked := a.InReplyTo > n.catchUp.answeredUpTo && a.InReplyTo <= n.catchUp.lastRequestID
	if n.config.Mutation.NewestFetchOnly {
		asked = a.InReplyTo != 0 && a.InReplyTo == n.catchUp.lastRequestID
	}
	switch {
	case asked:
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
	n.scheduleNextFetch(now, asked, n.appendEntries(a))
	n.becomeComplete(a)
	n.advanceCommitIndex(a.CommitIndex)
	if a.More && asked {
		n.sendFetch(now)
	}
	n.replicate()
}

// scheduleNextFetch says when to ask next. Where an answer had nothing, the upstream member lacks it itself. Where entries came
// by themselves, an open question is out of date: what was small has overtaken what has come now.
func (n *Node) scheduleNextFetch(now time.Duration, asked, grown bool) {
	switch {
	case grown && !asked:
		n.catchUp.requestedAt, n.catchUp.attempts, n.catchUp.backoffUntil = 0, 0, 0
	case asked && !grown:
		n.catchUp.backoffUntil = now + n.timing.RetryInterval
	case grown:
		n.catchUp.backoffUntil = 0
	}
}

// matchLog makes the log a beginning of the upstream member's, once in an epoch: what that one does not hold was
// never committed. From then on the log only grows.
func (n *Node) matchLog(a Append) bool {
	if len(a.Snapshot) > 0 && !n.installSnapshot(a) {
		return false
	}
	if n.logMatched {
		return true
	}
	if a.PreviousIndex > n.log.lastIndex() || a.PreviousIndex < n.log.baseIndex {
		return false
	}
	if a.PreviousIndex < n.log.lastIndex() {
		n.log.truncate(a.PreviousIndex)
		if !n.diskFailing {
			n.persist(record{TruncateAfter: &a.PreviousIndex})
		}
	}
	n.logMatched = true
	return true
}

// appendEntries appends the entries that follow the log, and tells whether there were any.
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

// answerDeferredFetches answers those who asked before the own log was whole.
func (n *Node) answerDeferredFetches() {
	for _, p := range n.peers {
		if p.deferredFetch != nil && n.isUpstreamOf(p.member.Identity) {
			asked := *p.deferredFetch
			p.deferredFetch = nil
			n.answerFetch(p, asked)
		}
	}
}

// installSnapshot replaces log and machine by a snapshot, where that reaches further than the log.
func (n *Node) installSnapshot(a Append) bool {
	snapshot, err := DecodeSnapshot(a.Snapshot)
	if err != nil || snapshot.Point.Index != a.PreviousIndex || n.diskFailing {
		return false
	}
	if snapshot.Point.Index <= n.commitIndex || (n.logMatched && snapshot.Point.Index <= n.log.lastIndex()) {
		return n.logMatched
	}
	n.beforeInstall = &appliedState{appliedIndex: n.appliedIndex, recent: n.recent}
	n.log = memoryLog{baseIndex: snapshot.Point.Index, baseEpoch: snapshot.Point.Epoch}
	n.snapshot = snapshot.Point
	n.commitIndex = snapshot.Point.Index
	n.appliedIndex = snapshot.Point.Index
	n.recent = newRecent(snapshot.RecentCommands)
	n.out.InstallSnapshot = &SnapshotInstall{Snapshot: a.Snapshot}
	n.pending.markUnknownOutcomes(n.incarnation, n.recent)
	return true
}

// handleCommit learns how far the tail has committed. It is true of the own log as far as that was checked.
func (n *Node) handleCommit(index uint64) {
	n.advanceCommitIndex(index)
}

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

// commitAtTail commits at the tail: every member of the chain has synced what the tail is about to sync.
func (n *Node) commitAtTail() {
	last := n.isTail() || n.config.Mutation.CommitShortChain && n.successor() == n.view.Tail()
	if !last || !n.complete() || n.sealed() || !n.chainMayCommit() || n.diskFailing || n.commitIndex >= n.log.lastIndex() {
		return
	}
	n.commitIndex, n.unsavedProgress = n.log.lastIndex(), true
	for _, member := range n.view.Chain {
		n.send(n.resolve(member), Message{Commit: &Commit{Index: n.commitIndex}})
	}
	n.replicateCommitted()
}

// replicateCommitted passes what is newly committed to the standbys.
func (n *Node) replicateCommitted() {
	if n.isHead() {
		n.replicate()
	}
}
