package chain

import (
	"time"
)

// batchBytes bounds the commands in one Append, as far as one entry allows.
const batchBytes = 256 << 10

// An answer of more than shortAnswer bytes is not given again while it may be on its way over a link of slowLink bytes a
// second.
const (
	shortAnswer = 64 << 10
	slowLink    = 1 << 20
)

// feed is the node's own asking for what it lacks.
type feed struct {
	number  uint64        // of the newest Fetch; it goes on over epochs and starts at random in each life
	settled uint64        // those up to here have their answer, or were asked in an earlier epoch
	askedAt time.Duration // it was sent; 0 when none is out
	tries   int           // since the last answer
	pause   time.Duration // nothing is asked before: the last answer had nothing
	lagging time.Duration // since when the head is known to have more
}

// runFeed asks the upstream member when something is lacking.
func (n *Node) runFeed(now time.Duration) {
	if n.view.Epoch == 0 || n.isHead() || n.wedged() || !n.mayTake() {
		return
	}
	if !n.lacking(now) {
		return
	}
	again := n.feed.pause
	if n.feed.askedAt > 0 {
		again = max(again, n.feed.askedAt+n.fetchAgain())
	}
	if now < again {
		n.wakeBy(again)
		return
	}
	n.fetch(now)
}

// fetchAgain is how long an answer is waited for. It grows, because an answer may be large and a second one only
// gets in its way.
func (n *Node) fetchAgain() time.Duration {
	const doublings = 3
	return n.timing.RetryInterval << min(max(n.feed.tries-1, 0), doublings)
}

// mayTake tells whether the node can take entries in: a member of the chain only with a disk that writes.
func (n *Node) mayTake() bool { return !n.refusing || !n.inChain() }

// lacking tells whether entries are missing that should have come by now.
func (n *Node) lacking(now time.Duration) bool {
	if !n.matched || (n.inChain() && !n.whole()) {
		return true
	}
	target := n.watch.headCommitted
	if n.inChain() {
		target = n.watch.headLast
	}
	if target <= n.log.last() {
		n.feed.lagging = 0
		return n.feed.askedAt > 0
	}
	if n.feed.lagging == 0 {
		n.feed.lagging = now
	}
	return !n.inChain() || now-n.feed.lagging > n.timing.HeartbeatInterval
}

func (n *Node) fetch(now time.Duration) {
	n.feed.number++
	n.feed.tries++
	n.feed.askedAt = now
	n.send(n.best(n.upstream()), Message{Fetch: &Fetch{
		RequestID:   n.feed.number,
		CommitIndex: n.committed,
		EpochEnds:   n.log.ends(n.committed),
	}})
}

// onFetch answers a member downstream, now or once the own log is whole.
func (n *Node) onFetch(now time.Duration, address, from string, f Fetch) {
	p := n.find(from)
	if p == nil || n.wedged() || !n.feeds(from) {
		return
	}
	if !n.whole() {
		p.asked, p.askedAs = &f, address
		return
	}
	p.asked = nil
	n.answer(p, f)
}

// feeds tells whether the node is upstream of the identity. A member whose disk refuses passes nothing down the
// chain: it may not hold what it has read.
func (n *Node) feeds(identity string) bool {
	if n.view.ChainIndex(identity) >= 0 {
		return !n.refusing && n.successor().Identity == identity
	}
	return n.isHead()
}

// answer sends what follows the newest entry that both logs hold, or the snapshot and what follows it. What may still be
// on its way is not sent again: a second one would only get in its way.
func (n *Node) answer(p *peer, f Fetch) {
	common := n.log.common(f.CommitIndex, f.EpochEnds)
	if n.underWay(p, common, f.RequestID) {
		return
	}
	asked, snapshot, bytes := common, common < n.log.base, 0
	if snapshot {
		common, bytes = n.snapshot.Index, n.snapshotBytes
	}
	p.next = common + 1
	bytes += n.push(p, f.RequestID, snapshot)
	p.backlog.common, p.backlog.until = asked, n.lastStep+arrival(bytes)
}

// backlog is the newest question of a peer, and how long its answer may be on its way over a slow link.
type backlog struct {
	common uint64 // what follows this entry was asked for
	number uint64 // of the question; 0: there was none in this epoch
	until  time.Duration
}

// underWay tells whether what a peer asks for was sent to the life of it that asks, and may still be on its way. It is
// so for a bounded time after the peer has first asked for it, whatever else is sent meanwhile.
func (n *Node) underWay(p *peer, common, number uint64) bool {
	const questions = 1 << 16 // that one life asks in an epoch, about; another one begins at random
	before := p.backlog
	if number <= before.number && before.number-number <= questions {
		return true // it comes late; a newer one is answered
	}
	sameLife := before.number > 0 && number > before.number && number-before.number <= questions
	p.backlog.number = number
	if sameLife && common == before.common {
		return n.lastStep < before.until
	}
	p.backlog.common, p.backlog.until = common, 0
	bytes := 0
	if p.next > common+1 {
		bytes = n.bytesAfter(common) - n.bytesAfter(p.next-1)
	}
	if !sameLife || bytes <= shortAnswer {
		return false
	}
	p.backlog.until = n.lastStep + arrival(bytes)
	return true
}

// arrival is how long so many bytes take over a slow link.
func arrival(bytes int) time.Duration { return time.Duration(bytes) * time.Second / slowLink }

// limit is the newest entry that the peer is sent: a standby gets only what is committed.
func (n *Node) limit(p *peer) uint64 {
	if n.view.ChainIndex(p.member.Identity) >= 0 {
		return n.log.last()
	}
	return n.committed
}

// push sends the peer the next entries, and returns how many bytes of commands they have.
func (n *Node) push(p *peer, answer uint64, snapshot bool) (bytes int) {
	a := Append{InReplyTo: answer, PreviousIndex: p.next - 1, CommitIndex: n.committed, EpochStartIndex: n.start}
	if snapshot {
		a.More = n.limit(p) >= p.next // by itself it is large enough
	} else if n.limit(p) >= p.next && p.next > n.log.base {
		for _, entry := range n.log.after(p.next - 1)[:n.limit(p)-p.next+1] {
			if bytes > 0 && bytes+len(entry.Command) > batchBytes {
				a.More = true
				break
			}
			bytes += len(entry.Command)
			a.Entries = append(a.Entries, entry)
		}
	}
	if bytes > shortAnswer && p.backlog.common == a.PreviousIndex { // it has asked for this before there was anything
		p.backlog.until = n.lastStep + arrival(bytes)
	}
	p.next += uint64(len(a.Entries))
	p.waiting = a.More
	n.send(p.member, Message{Append: &a})
	n.out.Messages[len(n.out.Messages)-1].AttachSnapshot = snapshot
	return bytes
}

// pushAll sends new entries to everybody downstream that keeps up. One that has not asked since this node's start
// is taken to lack only the newest; it asks when it lacks more.
func (n *Node) pushAll() {
	if !n.whole() || n.wedged() {
		return
	}
	for _, p := range n.peers {
		if p.waiting || !n.feeds(p.member.Identity) {
			continue
		}
		if p.next == 0 && p.asked == nil {
			p.next = n.limit(p)
		}
		if p.next > 0 && n.limit(p) >= p.next {
			n.push(p, 0, false)
		}
	}
}

// onAppend takes entries in, in order. A log is changed only after the upstream member has told how far the
// two agree.
func (n *Node) onAppend(now time.Duration, from string, a Append) {
	if n.isHead() || n.wedged() || !n.mayTake() || from != n.upstream().Identity {
		if !n.config.Mutation.NoEpochCheck || n.isHead() || !n.mayTake() {
			return
		}
	}
	// Any question of this epoch will do: until one is answered the log does not change.
	asked := a.InReplyTo > n.feed.settled && a.InReplyTo <= n.feed.number
	if n.config.Mutation.NewestFetchOnly {
		asked = a.InReplyTo != 0 && a.InReplyTo == n.feed.number
	}
	switch {
	case asked:
		n.feed.settled = n.feed.number
		n.feed.askedAt, n.feed.tries = 0, 0
		if !n.adopt(a) {
			return
		}
	case a.InReplyTo != 0 || !n.matched:
		return
	case a.PreviousIndex > n.log.last():
		if n.feed.askedAt == 0 {
			n.fetch(now)
		}
		return
	}
	n.noteTaken(now, asked, n.take(a))
	n.becomeWhole(a)
	n.learnCommitted(a.CommitIndex)
	if a.More && asked {
		n.fetch(now)
	}
	n.pushAll()
}

// noteTaken says when to ask next. Where an answer had nothing, the upstream member lacks it itself. Where entries came
// by themselves, an open question is out of date: what was small has overtaken what has come now.
func (n *Node) noteTaken(now time.Duration, asked, grown bool) {
	switch {
	case grown && !asked:
		n.feed.askedAt, n.feed.tries, n.feed.pause = 0, 0, 0
	case asked && !grown:
		n.feed.pause = now + n.timing.RetryInterval
	case grown:
		n.feed.pause = 0
	}
}

// adopt makes the log a beginning of the upstream member's, once in an epoch: what that one does not hold was
// never committed. From then on the log only grows.
func (n *Node) adopt(a Append) bool {
	if len(a.Snapshot) > 0 && !n.install(a) {
		return false
	}
	if n.matched {
		return true
	}
	if a.PreviousIndex > n.log.last() || a.PreviousIndex < n.log.base {
		return false
	}
	if a.PreviousIndex < n.log.last() {
		n.log.cut(a.PreviousIndex)
		if !n.refusing {
			n.persist(record{Cut: &a.PreviousIndex})
		}
	}
	n.matched = true
	return true
}

// take appends the entries that follow the log, and tells whether there were any.
func (n *Node) take(a Append) (grown bool) {
	for i := range a.Entries {
		entry := a.Entries[i]
		if entry.Index != n.log.last()+1 {
			continue
		}
		grown = true
		n.log.append(entry)
		if !n.refusing {
			n.persist(record{Entry: &entry})
		}
	}
	return grown
}

// becomeWhole notes that the log has reached the beginning of the epoch.
func (n *Node) becomeWhole(a Append) {
	n.start = max(n.start, a.EpochStartIndex)
	if !n.inChain() || n.whole() || !n.matched || n.log.last() < a.EpochStartIndex {
		return
	}
	n.active = n.view.Epoch
	n.persist(record{Active: n.active})
	n.answerWaiting()
}

// answerWaiting answers those who asked before the own log was whole.
func (n *Node) answerWaiting() {
	for _, p := range n.peers {
		if p.asked != nil && n.feeds(p.member.Identity) {
			asked := *p.asked
			p.asked = nil
			n.answer(p, asked)
		}
	}
}

// install replaces log and machine by a snapshot, where that reaches further than the log.
func (n *Node) install(a Append) bool {
	snapshot, err := DecodeSnapshot(a.Snapshot)
	if err != nil || snapshot.Point.Index != a.PreviousIndex || n.refusing {
		return false
	}
	if snapshot.Point.Index <= n.committed || (n.matched && snapshot.Point.Index <= n.log.last()) {
		return n.matched
	}
	n.replaced = &appliedState{applied: n.applied, recent: n.recent}
	n.log = entries{base: snapshot.Point.Index, baseEpoch: snapshot.Point.Epoch}
	n.snapshot = snapshot.Point
	n.committed = snapshot.Point.Index
	n.applied = snapshot.Point.Index
	n.recent = newRecent(snapshot.RecentCommands)
	n.out.InstallSnapshot = &SnapshotInstall{Snapshot: a.Snapshot}
	n.requests.lostBehind(n.life, n.recent)
	return true
}

// onCommit learns how far the tail has committed. It is true of the own log as far as that was checked.
func (n *Node) onCommit(index uint64) {
	n.learnCommitted(index)
}

func (n *Node) learnCommitted(index uint64) {
	if !n.matched {
		return
	}
	index = min(index, n.log.last())
	if index > n.committed {
		n.committed, n.unsaved = index, true
		n.afterCommit()
	}
	n.commitHere()
}

// commitHere commits at the tail: every member of the chain has synced what the tail is about to sync.
func (n *Node) commitHere() {
	last := n.isTail() || n.config.Mutation.CommitShortChain && n.successor() == n.view.Tail()
	if !last || !n.whole() || n.wedged() || !n.mayCommit() || n.refusing || n.committed >= n.log.last() {
		return
	}
	n.committed, n.unsaved = n.log.last(), true
	for _, member := range n.view.Chain {
		n.send(n.best(member), Message{Commit: &Commit{Index: n.committed}})
	}
	n.afterCommit()
}

// afterCommit passes what is newly committed to the standbys.
func (n *Node) afterCommit() {
	if n.isHead() {
		n.pushAll()
	}
}
