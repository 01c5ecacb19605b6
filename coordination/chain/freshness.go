package chain

import (
	"math"
	"time"
)

// Proofs of freshness: how a member proves how old its applied state is at most.
//
// A proof is a moment on the own steady clock and an index: a majority of the voters was in this epoch at the moment,
// and everything that was acknowledged anywhere before it is at or below the index. It is valid once the index is
// applied here.
//
// The head notes, whenever it sends heartbeats, the time S and the last index L of its log. Once a majority of the
// voters (the head among them as long as it has promised nothing) has answered heartbeats that were sent at S or
// later, no later epoch was decided at S: each of them had promised none when it answered. So until S commands
// entered only the log of this epoch's head, which is complete and has each before anybody else. What was
// acknowledged before S is at or below L.
//
// A follower learns S and L from a heartbeat. The heartbeat also names the newest reply that the head had from it: to
// which heartbeat (Echo), and at which time H on the head's clock it came (EchoReceivedAt). The follower noted its
// own time R when that heartbeat came, before it replied; so R is before H, and S is at R-(H-S) or later on its own
// clock. Only the difference of two readings of one clock is used, and a share of it is subtracted because two steady
// clocks may run at slightly different speeds. Neither the delay of heartbeats nor a stall of a process matters. An
// echo from long before S is not used: a member that the head does not hear comes to prove nothing.
//
// R must belong to the first receipt of the heartbeat: a duplicate would move it past H. So receipts are kept under a
// generation that changes with each incarnation of the follower, each epoch, each failure of its disk and each
// incarnation of the head. A reply carries the generation, an echo counts only for the generation at hand, and in one
// generation only a heartbeat that is newer than all before is noted. Loss, delay and reordering make a proof only
// older.

// maxFreshnessEntries bounds the receipts and the candidates.
const maxFreshnessEntries = 64

// clockDriftDivisor is the reciprocal of the share by which two steady clocks may differ over a time.
const clockDriftDivisor = 1000

// freshness is the state of the node's proofs and what it needs to date them.
type freshness struct {
	generation      uint64 // of the receipts
	headIncarnation uint64 // to which the receipts belong
	receipts        []receipt
	candidates      []proof // not valid yet, oldest first: the head's own, or those that the head has reported
	current         proof   // the newest valid one
}

// proof states that everything that was acknowledged before the moment is at or below the index.
type proof struct {
	at    time.Duration
	index uint64
}

// receipt is when a heartbeat first came.
type receipt struct {
	sentAt     time.Duration // on the head's clock
	receivedAt time.Duration // on the own clock
}

// resetFreshness drops all proofs: in a new epoch or incarnation, or after the node has returned to its disk's state.
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

// updateFreshness determines which proof is valid by now.
func (n *Node) updateFreshness(now time.Duration) {
	if n.mayProve() && n.view.Majority() == 1 { // no other voter has to reply
		n.recordProofCandidate(now)
		n.wakeBy(now + n.timing.HeartbeatInterval)
	}
	before := n.freshness.current
	n.freshness.setCurrent(n.currentProof(now))
	if n.isHead() && before.at == 0 && n.freshness.current.at > 0 {
		n.heartbeatLivePeersNow(now)
	}
}

// heartbeatLivePeersNow makes heartbeats to all live members due, so that they learn of the first proof of an epoch.
func (n *Node) heartbeatLivePeersNow(now time.Duration) {
	for _, p := range n.peers {
		if n.isLive(now, p) {
			p.heartbeatSentAt = 0
		}
	}
}

// mayProve reports whether the node, as head, may count itself among the voters in its epoch and its log as complete.
func (n *Node) mayProve() bool { return n.isHead() && n.complete() && !n.sealed() && !n.diskFailing }

// recordProofCandidate notes the last index at the sending of a heartbeat.
func (n *Node) recordProofCandidate(now time.Duration) {
	if n.mayProve() {
		n.freshness.addCandidate(proof{at: now, index: n.log.lastIndex()})
	}
}

// ConfirmedAt returns the moment of the newest valid proof; see Status.
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

// handleProof takes in the head's proof from a heartbeat, and notes the heartbeat's receipt.
func (n *Node) handleProof(now time.Duration, heartbeat Heartbeat) {
	f := &n.freshness
	if heartbeat.Incarnation != f.headIncarnation {
		f.headIncarnation = heartbeat.Incarnation
		n.startReceiptGeneration()
	}
	at, known := f.proofMoment(heartbeat, n.timing.SuspectTimeout)
	if n.config.Mutation.ProofAtReceipt {
		at, known = now-(heartbeat.SentAt-heartbeat.ProofAt), heartbeat.ProofAt > 0
	}
	if known {
		f.addCandidate(proof{at: at, index: heartbeat.ProofIndex})
	}
	f.addReceipt(receipt{sentAt: heartbeat.SentAt, receivedAt: now})
}

// proofMoment returns a time on the own clock that is not after the moment of the head's proof. It returns false when
// the heartbeat's echo can't date the proof; an echo does not date a proof that is younger by more than maxEchoAge.
func (f *freshness) proofMoment(heartbeat Heartbeat, maxEchoAge time.Duration) (time.Duration, bool) {
	if heartbeat.ProofAt == 0 || heartbeat.EchoGeneration != f.generation {
		return 0, false
	}
	if heartbeat.ProofAt-heartbeat.EchoReceivedAt > maxEchoAge {
		return 0, false
	}
	for _, r := range f.receipts {
		if r.sentAt == heartbeat.Echo {
			since := heartbeat.EchoReceivedAt - heartbeat.ProofAt
			at := r.receivedAt - since - max(since, -since)/clockDriftDivisor
			return at, at > 0
		}
	}
	return 0, false
}

// addReceipt notes a heartbeat that is newer than all before.
func (f *freshness) addReceipt(r receipt) {
	if len(f.receipts) > 0 && r.sentAt <= f.receipts[len(f.receipts)-1].sentAt {
		return
	}
	if len(f.receipts) == maxFreshnessEntries {
		f.receipts = append(f.receipts[:0], f.receipts[1:]...)
	}
	f.receipts = append(f.receipts, r)
}

// addCandidate adds a proof that is newer than all before. When there is no space it replaces the newest, so that the
// oldest can still become valid.
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

// newestValid returns the newest proof at or before the moment whose index is applied.
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
	next := 0
	for next < len(f.candidates) && f.candidates[next].at <= p.at {
		next++
	}
	f.candidates = append(f.candidates[:0], f.candidates[next:]...)
}
