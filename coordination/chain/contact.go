package chain

import (
	"math"
	"time"
)

// freshness is how a member proves how old its knowledge is. A proof is a moment on its own steady clock and an index: a
// majority of the voters was in this epoch at the moment, and all that was acknowledged anywhere before it is at or
// below the index. It holds once the index is applied here.
//
// The head marks, whenever it pings, the time S and the last index L of its log. Once a majority of the voters (the
// head among them while it has promised nothing) has answered pings that were sent at S or later, no later epoch was
// decided at S: each of them had promised none when it answered. So until S commands came only into the log of this
// epoch's head, which is whole and holds each before anybody else does. What was acknowledged before S is at or below L.
//
// A follower learns of S and L by a ping. The ping also tells of the newest answer that the head had from it: to which
// ping (Echo), and at which time H on the head's clock it came (EchoAt). The follower noted its own time R when that
// ping came, before it answered; so R is before H, and S is at R-(H-S) or later on its own clock. Only the difference of
// two readings of one clock is used, and a share of it is taken off because two steady clocks may run a little
// unequally. How long pings are on their way, or how long a process stands still, doesn't matter. An echo from long
// before S is not used: a member that the head doesn't hear comes to prove nothing.
//
// R must be of the first time that the ping came, else one that comes twice would move it past H. So receipts are kept
// under a number that changes with each life of the follower, each epoch, each refusal of its disk and each life of the
// head. An answer carries the number, an echo counts only with the number of the receipts at hand, and under one number
// only a ping that is newer than all before is noted. What is lost, late or out of order makes a proof only older.
type freshness struct {
	generation      uint64 // of the receipts
	headIncarnation uint64 // of the receipts
	receipts        []receipt
	candidates      []proof // not held yet, oldest first: the head's marks, or what the head has told
	current         proof   // the newest that holds
}

// proof says that all that was acknowledged before the moment is at or below the index.
type proof struct {
	at    time.Duration
	index uint64
}

// receipt is when a ping of the head first came.
type receipt struct {
	sentAt     time.Duration // on the head's clock
	receivedAt time.Duration // on the own clock
}

// contactRoom bounds receipts and waiting proofs.
const maxFreshnessEntries = 64

// driftShare is the part of a time by which two steady clocks may differ over it: one in so many.
const clockDriftDivisor = 1000

// resetFreshness forgets all proofs, in a new epoch or life or after the node has fallen back to its disk.
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

// updateFreshness notes which proof holds by now.
func (n *Node) updateFreshness(now time.Duration) {
	if n.mayProve() && n.view.Majority() == 1 { // nobody has to answer
		n.recordProofCandidate(now)
		n.wakeBy(now + n.timing.HeartbeatInterval)
	}
	before := n.freshness.current
	n.freshness.setCurrent(n.currentProof(now))
	if n.isHead() && before.at == 0 && n.freshness.current.at > 0 {
		n.heartbeatLivePeersNow(now)
	}
}

// heartbeatLivePeersNow has the first proof of an epoch told to all live members.
func (n *Node) heartbeatLivePeersNow(now time.Duration) {
	for _, p := range n.peers {
		if n.isLive(now, p) {
			p.heartbeatSentAt = 0
		}
	}
}

// mayProve tells whether the node as head may count itself among the voters that are in its epoch, and its log as whole.
func (n *Node) mayProve() bool { return n.isHead() && n.complete() && !n.sealed() && !n.diskFailing }

// recordProofCandidate notes the last index at the sending of a ping.
func (n *Node) recordProofCandidate(now time.Duration) {
	if n.mayProve() {
		n.freshness.addCandidate(proof{at: now, index: n.log.lastIndex()})
	}
}

// ConfirmedAt returns the moment of the newest proof; see Status.
func (n *Node) ConfirmedAt(now time.Duration) time.Duration { return n.currentProof(now).at }

// currentProof returns the newest proof that holds now.
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

// handleProof takes in what a ping tells of the head's proof, and notes the ping's receipt.
func (n *Node) handleProof(now time.Duration, ping Heartbeat) {
	c := &n.freshness
	if ping.Incarnation != c.headIncarnation {
		c.headIncarnation = ping.Incarnation
		n.startReceiptGeneration()
	}
	at, known := c.proofMoment(ping, n.timing.SuspectTimeout)
	if n.config.Mutation.ProofAtReceipt {
		at, known = now-(ping.SentAt-ping.ProofAt), ping.ProofAt > 0
	}
	if known {
		c.addCandidate(proof{at: at, index: ping.ProofIndex})
	}
	c.addReceipt(receipt{sentAt: ping.SentAt, receivedAt: now})
}

// proofMoment returns a time on the own clock that isn't after the moment of the head's proof. An echo places no proof that
// is younger than it by more than the patience.
func (c *freshness) proofMoment(ping Heartbeat, patience time.Duration) (time.Duration, bool) {
	if ping.ProofAt == 0 || ping.EchoGeneration != c.generation || ping.ProofAt-ping.EchoReceivedAt > patience {
		return 0, false
	}
	for _, r := range c.receipts {
		if r.sentAt == ping.Echo {
			since := ping.EchoReceivedAt - ping.ProofAt
			at := r.receivedAt - since - max(since, -since)/clockDriftDivisor
			return at, at > 0
		}
	}
	return 0, false
}

// addReceipt notes a ping that is newer than all before.
func (c *freshness) addReceipt(r receipt) {
	if len(c.receipts) > 0 && r.sentAt <= c.receipts[len(c.receipts)-1].sentAt {
		return
	}
	if len(c.receipts) == maxFreshnessEntries {
		c.receipts = append(c.receipts[:0], c.receipts[1:]...)
	}
	c.receipts = append(c.receipts, r)
}

// addCandidate adds a proof that is newer than all before. Where there is no room it takes the place of the newest, so that
// the oldest can still come to hold.
func (c *freshness) addCandidate(p proof) {
	newest := c.current.at
	if len(c.candidates) > 0 {
		newest = c.candidates[len(c.candidates)-1].at
	}
	if p.at <= newest {
		return
	}
	if len(c.candidates) == maxFreshnessEntries {
		c.candidates = c.candidates[:maxFreshnessEntries-1]
	}
	c.candidates = append(c.candidates, p)
}

// newestValid returns the newest proof at or before the moment whose index is applied.
func (c *freshness) newestValid(until time.Duration, applied uint64) proof {
	newest := c.current
	for _, p := range c.candidates {
		if p.at <= until && p.index <= applied {
			newest = p
		}
	}
	return newest
}

// setCurrent notes the proof as held and forgets what is older.
func (c *freshness) setCurrent(p proof) {
	c.current = p
	keep := 0
	for keep < len(c.candidates) && c.candidates[keep].at <= p.at {
		keep++
	}
	c.candidates = append(c.candidates[:0], c.candidates[keep:]...)
}
