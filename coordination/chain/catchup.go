package chain

import (
	"time"
)

// Catch-up: how a member fetches the entries that it lacks, and how its upstream member answers.
//
// Invariants:
//
//   - A log is truncated only by the first answer after the node has entered the epoch, has started or had a failed
//     write. That answer states the newest entry that both logs have. Entries that the upstream member lacks at that
//     time were never committed, because its log is complete in the epoch.
//   - A member answers fetches only when its log is complete in the epoch.
//   - Entries that may still be in transit over a slow link are not sent again for a bounded time, because a second
//     answer would only delay the first.

// An answer of more than smallAnswerBytes is not sent again while it may be in transit over a link of
// slowLinkBytesPerSecond.
const (
	smallAnswerBytes       = 64 << 10
	slowLinkBytesPerSecond = 1 << 20
)

// catchUp is the state of the node's own fetches.
type catchUp struct {
	lastRequestID uint64        // of the newest Fetch; increases across epochs, starts at random in each incarnation
	answeredUpTo  uint64        // fetches up to it were answered or belong to an earlier epoch
	requestedAt   time.Duration // when the open fetch was sent; 0: none is open
	attempts      int           // since the newest answer
	backoffUntil  time.Duration // no fetch is sent earlier, because the newest answer was empty
	laggingSince  time.Duration // when the head was first known to be ahead; 0: it is not
}

// inFlightAnswer describes the newest fetch of a peer and how long the answer may be in transit over a slow link.
type inFlightAnswer struct {
	afterIndex uint64        // the entries after it were fetched
	requestID  uint64        // of the fetch; 0: there was none in this epoch
	until      time.Duration // the answer has arrived or is lost by then
}

// runCatchUp fetches from the upstream member when entries are missing.
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

// fetchTimeout returns how long to wait for an answer. It grows with the number of attempts, because an answer may be
// large and a second one would only delay it.
func (n *Node) fetchTimeout() time.Duration {
	const doublings = 3
	return n.timing.RetryInterval << min(max(n.catchUp.attempts-1, 0), doublings)
}

// mayAcceptEntries reports whether the node can accept entries. A member of the chain can do so only if its disk
// accepts writes.
func (n *Node) mayAcceptEntries() bool { return !n.diskFailing || !n.inChain() }

// lacksEntries reports whether entries are missing that should have arrived by now.
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

// handleFetch answers a downstream member, now or once the node's own log is complete.
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

// answerFetch sends the entries that follow the newest entry that both logs have, or the snapshot if this log no
// longer has those entries. What may still be in transit is not sent again.
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

// answerDeferredFetches answers the fetches that arrived before the node's own log was complete.
func (n *Node) answerDeferredFetches() {
	for _, p := range n.peers {
		if p.deferredFetch != nil && n.isUpstreamOf(p.member.Identity) {
			fetch := *p.deferredFetch
			p.deferredFetch = nil
			n.answerFetch(p, fetch)
		}
	}
}

// answerInFlight reports whether the entries that a peer fetches were already sent to the same incarnation of the peer
// and may still be in transit. It does so for a bounded time after the peer first requested them, whatever else is
// sent meanwhile. It also reports true for a late or duplicate request.
func (n *Node) answerInFlight(p *peer, common, requestID uint64) bool {
	// An incarnation sends at most about this many requests in an epoch; another one starts at a random number.
	const maxRequests = 1 << 16
	last := p.inFlight
	if requestID <= last.requestID && last.requestID-requestID <= maxRequests {
		return true // a late or duplicate request: a newer one was answered
	}
	sameIncarnation := last.requestID > 0 && requestID > last.requestID && requestID-last.requestID <= maxRequests
	p.inFlight.requestID = requestID
	if sameIncarnation && common == last.afterIndex {
		return n.lastStep < last.until
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

// matchLog truncates the log to a prefix of the upstream member's log, once in an epoch. Entries that the upstream
// member lacks were never committed. From then on the log only grows. It reports whether the log matches.
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

// installSnapshot replaces the log and the applied state with a snapshot that extends beyond what this member has. It
// reports whether the answer that carries the snapshot can be used.
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
	n.recent = newRecentCommands(snapshot.RecentCommands)
	n.out.InstallSnapshot = &SnapshotInstall{Snapshot: a.Snapshot}
	n.pending.recordUnknownOutcomes(n.incarnation, n.recent)
	return true
}

// scheduleNextFetch determines when to fetch next. An empty answer means that the upstream member lacks the entries
// itself, so the next fetch waits for the retry interval. Unsolicited entries make an open fetch obsolete: a small
// message with them has overtaken the answer.
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
