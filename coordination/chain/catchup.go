package chain

import (
	"time"
)

// Catch-up: how a member fetches what it lacks, and how its upstream member answers.
//
// Invariants:
//
//   - A log is truncated only by the first answer after the node has entered the epoch, started or lost a write: that
//     answer states the newest entry that both logs have. What the upstream member does not have then was never
//     committed: its own log is complete in the epoch, or it is the head.
//   - A member answers fetches only when its log is complete in the epoch.
//   - What may still be on its way over a slow link is not sent again, for a bounded time: a second answer would only
//     delay the first.

// An answer of more than smallAnswerBytes is not sent again while it may be on its way over a link of
// slowLinkBytesPerSecond.
const (
	smallAnswerBytes       = 64 << 10
	slowLinkBytesPerSecond = 1 << 20
)

// catchUp is the state of the node's own fetches.
type catchUp struct {
	lastRequestID uint64        // of the newest Fetch; rises over epochs and starts at random in each incarnation
	answeredUpTo  uint64        // fetches up to it have their answer, or are of an earlier epoch
	requestedAt   time.Duration // when the open fetch was sent; 0: none is open
	attempts      int           // since the newest answer
	backoffUntil  time.Duration // nothing is fetched before, because the newest answer had nothing
	laggingSince  time.Duration // since when the head is known to have more; 0: it is not
}

// inFlightAnswer is the newest fetch of a peer, and how long its answer may be on its way over a slow link.
type inFlightAnswer struct {
	afterIndex uint64        // the entries after it were fetched
	requestID  uint64        // of the fetch; 0: there was none in this epoch
	until      time.Duration // the answer has arrived or is lost by then
}

// runCatchUp fetches from the upstream member when entries are lacking.
func (n *Node) runCatchUp(now time.Duration) {
	if n.view.Epoch == 0 || n.isHead() || n.sealed() || !n.mayAcceptEntries() {
		return
	}
	if !n.lacksEntries(now) {
		return
	}
	due := n.catchUp.backoffUntil
	if n.catchUp.requestedAt > 0 {
		due = max(due, n.catchUp.requestedAt+n.fetchTimeout())
	}
	if now < due {
		n.wakeBy(due)
		return
	}
	n.sendFetch(now)
}

// fetchTimeout returns how long an answer is awaited. It grows with the attempts, because an answer may be large and
// a second one only delays it.
func (n *Node) fetchTimeout() time.Duration {
	const doublings = 3
	return n.timing.RetryInterval << min(max(n.catchUp.attempts-1, 0), doublings)
}

// mayAcceptEntries reports whether the node can take entries: a member of the chain only with a disk that takes
// writes.
func (n *Node) mayAcceptEntries() bool { return !n.diskFailing || !n.inChain() }

// lacksEntries reports whether entries are missing that should have come by now.
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

// sendFetch asks the upstream member for the entries that follow the log.
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

// handleFetch answers a member downstream, now or once the own log is complete.
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

// answerFetch sends what follows the newest entry that both logs have, or the snapshot and what follows that. What
// may still be on its way is not sent again.
func (n *Node) answerFetch(p *peer, f Fetch) {
	common := n.log.commonIndex(f.CommitIndex, f.EpochEnds)
	if n.answerInFlight(p, common, f.RequestID) {
		return
	}
	fetched, snapshot, bytes := common, common < n.log.baseIndex, 0
	if snapshot {
		common, bytes = n.snapshot.Index, n.snapshotBytes
	}
	p.nextIndex = common + 1
	bytes += n.sendEntries(p, f.RequestID, snapshot)
	p.inFlight.afterIndex, p.inFlight.until = fetched, n.lastStep+transmissionTime(bytes)
}

// answerDeferredFetches answers those who asked before the own log was complete.
func (n *Node) answerDeferredFetches() {
	for _, p := range n.peers {
		if p.deferredFetch != nil && n.isUpstreamOf(p.member.Identity) {
			fetch := *p.deferredFetch
			p.deferredFetch = nil
			n.answerFetch(p, fetch)
		}
	}
}

// answerInFlight reports whether what a peer fetches was sent to the incarnation of it that asks, and may still be on
// its way. It is so for a bounded time after the peer has first asked for it, whatever else is sent meanwhile.
func (n *Node) answerInFlight(p *peer, common, requestID uint64) bool {
	// An incarnation sends about as many requests in an epoch at most; another incarnation begins at random.
	const maxRequests = 1 << 16
	before := p.inFlight
	if requestID <= before.requestID && before.requestID-requestID <= maxRequests {
		return true // a late or duplicate request: a newer one was answered
	}
	sameIncarnation := before.requestID > 0 && requestID > before.requestID && requestID-before.requestID <= maxRequests
	p.inFlight.requestID = requestID
	if sameIncarnation && common == before.afterIndex {
		return n.lastStep < before.until
	}
	p.inFlight.afterIndex, p.inFlight.until = common, 0
	bytes := 0
	if p.nextIndex > common+1 {
		bytes = n.bytesAfter(common) - n.bytesAfter(p.nextIndex-1)
	}
	if !sameIncarnation || bytes <= smallAnswerBytes {
		return false
	}
	p.inFlight.until = n.lastStep + transmissionTime(bytes)
	return true
}

// transmissionTime returns how long so many bytes take over a slow link.
func transmissionTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / slowLinkBytesPerSecond
}

// matchLog makes the log a prefix of the upstream member's, once in an epoch: what that one does not have was never
// committed. From then on the log only grows. It reports whether the log matches.
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

// installSnapshot replaces log and applied state by a snapshot that reaches further than the log. It reports whether
// the answer that carries it can be used.
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
	n.pending.recordUnknownOutcomes(n.incarnation, n.recent)
	return true
}

// scheduleNextFetch determines when to fetch next. If an answer had nothing, the upstream member lacks the entries
// itself. If entries came unsolicited, an open fetch is out of date: what was small has overtaken the answer to it.
func (n *Node) scheduleNextFetch(now time.Duration, answersFetch, grown bool) {
	switch {
	case grown && !answersFetch:
		n.catchUp.requestedAt, n.catchUp.attempts, n.catchUp.backoffUntil = 0, 0, 0
	case answersFetch && !grown:
		n.catchUp.backoffUntil = now + n.timing.RetryInterval
	case grown:
		n.catchUp.backoffUntil = 0
	}
}
