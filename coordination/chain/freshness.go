package chain

import (
	"math"
	"time"
)

// Proofs of freshness: how a member proves the maximum age of its applied state.
//
// A proof consists of a time on the member's own steady clock and an index. It states that a majority of the voters
// was in this epoch at that time, and that everything that was acknowledged anywhere before that time is at or below
// the index. It is valid once the index is applied here.
//
// Whenever the head sends heartbeats it records the time S and the last index L of its log. Once a majority of the
// voters has answered heartbeats that were sent at S or later, no later epoch can have been decided by S, because none
// of these voters had promised a later epoch when it answered. (The head counts itself among them as long as it has
// promised nothing.) So until S only the head of this epoch appended commands, and its log is complete and has every
// entry before any other log. Therefore everything that was acknowledged before S is at or below L.
//
// A follower learns S and L from a heartbeat. The heartbeat also identifies the newest reply that the head has
// received from the follower: which heartbeat it answered (Echo), and at which time H on the head's clock it arrived
// (EchoReceivedAt). The follower recorded its own time R when that heartbeat arrived, before it replied. So R is
// before H, and S is at R-(H-S) or later on the follower's clock. Only the difference of two readings of one clock is
// used, and a fraction of it is subtracted because two steady clocks may run at slightly different speeds. Neither the
// delay of heartbeats nor a stall of a process matters. An echo from long before S is not used, so a member that the
// head no longer hears stops getting new proofs.
//
// R must be the time of the first receipt of the heartbeat: that of a duplicate could be after H. So receipts belong
// to a generation, and a new one begins with each incarnation of the follower, each epoch, each failure of its disk
// and each incarnation of the head. A reply carries the generation, and an echo counts only in the generation of its
// reply. Within a generation a receipt is recorded only for a heartbeat that is newer than all before. Loss, delay and
// reordering can only make a proof older.

// maxFreshnessEntries bounds the number of receipts and the number of candidates.
const maxFreshnessEntries = 64

// clockDriftDivisor is the reciprocal of the maximum relative drift between two steady clocks: 1/1000 of the elapsed
// time.
const clockDriftDivisor = 1000

// freshness holds the node's proofs and the receipts by which it dates them.
type freshness struct {
	generation      uint64 // of the receipts
	headIncarnation uint64 // to which the receipts belong
	receipts        []receipt
	candidates      []proof // not valid yet, oldest first: the head's own, or those that the head has reported
	current         proof   // the newest valid one
}

// proof states that everything that was acknowledged before the time at is at or below the index.
type proof struct {
	at    time.Duration
	index uint64
}

// receipt records when a heartbeat was first received.
type receipt struct {
	sentAt     time.Duration // on the head's clock
	receivedAt time.Duration // on the node's own clock
}

// resetFreshness drops all proofs: in a new epoch or incarnation, or after the node has returned to the state on its
// disk.
func (n *Node) resetFreshness() {
	if n.config.Mutation.ProofOutlivesEpoch {
		n.freshness = freshness{candidates: n.freshness.candidates, current: n.freshness.current}
	} else {
		n.freshness = freshness{}
	}
	n.startReceiptGeneration()
}

// startReceiptGeneration begins a new list of receipts.
func (n *Node) startReceiptGeneration() {
	n.receiptGenerations++
	n.freshness.generation = n.incarnation + n.receiptGenerations
	n.freshness.receipts = nil
}

// updateFreshness determines the newest proof that is valid now.
func (n *Node) updateFreshness(now time.Duration) {
	if n.canIssueProof() && n.view.Majority() == 1 { // no other voter has to reply
		n.recordProofCandidate(now)
		n.wakeBy(now + n.timing.HeartbeatInterval)
	}
	previous := n.freshness.current
	n.freshness.setCurrent(n.currentProof(now))
	if n.isHead() && previous.at == 0 && n.freshness.current.at > 0 {
		n.heartbeatLivePeersNow(now)
	}
}

// heartbeatLivePeersNow makes the heartbeats to all live members due now, so that they learn of the first proof of an
// epoch.
func (n *Node) heartbeatLivePeersNow(now time.Duration) {
	for _, p := range n.peers {
		if n.isLive(now, p) {
			p.heartbeatSentAt = 0
		}
	}
}

// canIssueProof reports whether the node is a head that may issue proofs: its log is complete, it has promised no
// later epoch, and its disk accepts writes.
func (n *Node) canIssueProof() bool {
	return n.isHead() && n.complete() && !n.sealed() && !n.diskFailing
}

// recordProofCandidate records the last index when a heartbeat is sent.
func (n *Node) recordProofCandidate(now time.Duration) {
	if n.canIssueProof() {
		n.freshness.addCandidate(proof{at: now, index: n.log.lastIndex()})
	}
}

// ConfirmedAt returns the time of the newest valid proof, or 0; see Status.
func (n *Node) ConfirmedAt(now time.Duration) time.Duration { return n.currentProof(now).at }

// currentProof returns the newest proof that is valid now.
func (n *Node) currentProof(now time.Duration) proof {
	until, applied := now, n.appliedIndex
	if n.isHead() && !n.config.Mutation.ProofByClock {
		until = n.majorityConfirmedAt(now)
	}
	if n.config.Mutation.ProofWithoutIndex {
		applied = math.MaxUint64
	}
	return n.freshness.newestValid(until, applied)
}

// handleProof adds the head's proof in a heartbeat to the candidates, and records the heartbeat's receipt.
func (n *Node) handleProof(now time.Duration, heartbeat Heartbeat) {
	f := &n.freshness
	if heartbeat.Incarnation != f.headIncarnation {
		f.headIncarnation = heartbeat.Incarnation
		n.startReceiptGeneration()
	}
	at, known := f.localProofTime(heartbeat, n.timing.SuspectTimeout)
	if n.config.Mutation.ProofAtReceipt {
		at, known = now-(heartbeat.SentAt-heartbeat.ProofAt), heartbeat.ProofAt > 0
	}
	if known {
		f.addCandidate(proof{at: at, index: heartbeat.ProofIndex})
	}
	f.addReceipt(receipt{sentAt: heartbeat.SentAt, receivedAt: now})
}

// localProofTime returns a time on the node's own clock that is not after the time of the head's proof. It returns
// false if the heartbeat's echo can't date the proof, for example because the echo is older than the proof by more
// than maxEchoAge.
func (f *freshness) localProofTime(heartbeat Heartbeat, maxEchoAge time.Duration) (time.Duration, bool) {
	if heartbeat.ProofAt == 0 || heartbeat.EchoGeneration != f.generation {
		return 0, false
	}
	if heartbeat.ProofAt-heartbeat.EchoReceivedAt > maxEchoAge {
		return 0, false
	}
	for _, r := range f.receipts {
		if r.sentAt == heartbeat.Echo {
			sinceProof := heartbeat.EchoReceivedAt - heartbeat.ProofAt
			at := r.receivedAt - sinceProof - max(sinceProof, -sinceProof)/clockDriftDivisor
			return at, at > 0
		}
	}
	return 0, false
}

// addReceipt records the receipt of a heartbeat that is newer than all before.
func (f *freshness) addReceipt(r receipt) {
	if len(f.receipts) > 0 && r.sentAt <= f.receipts[len(f.receipts)-1].sentAt {
		return
	}
	if len(f.receipts) == maxFreshnessEntries {
		f.receipts = append(f.receipts[:0], f.receipts[1:]...)
	}
	f.receipts = append(f.receipts, r)
}

// addCandidate adds a proof that is newer than all before. If the list is full, it replaces the newest candidate, so
// that the oldest can still become valid.
func (f *freshness) addCandidate(p proof) {
	newest := f.current.at
	if len(f.candidates) > 0 {
		newest = f.candidates[len(f.candidates)-1].at
	}
	if p.at <= newest {
		return
	}
	if len(f.candidates) == maxFreshnessEntries {
		f.candidates = f.candidates[:maxFreshnessEntries-1]
	}
	f.candidates = append(f.candidates, p)
}

// newestValid returns the newest proof that is dated at or before until and whose index is applied.
func (f *freshness) newestValid(until time.Duration, applied uint64) proof {
	newest := f.current
	for _, p := range f.candidates {
		if p.at <= until && p.index <= applied {
			newest = p
		}
	}
	return newest
}

// setCurrent makes the proof the current one and drops the older candidates.
func (f *freshness) setCurrent(p proof) {
	f.current = p
	firstNewer := 0
	for firstNewer < len(f.candidates) && f.candidates[firstNewer].at <= p.at {
		firstNewer++
	}
	f.candidates = append(f.candidates[:0], f.candidates[firstNewer:]...)
}
