package chain

import (
	"math"
	"time"
)

// contact is how a member proves how old its knowledge is. A proof is a moment on its own steady clock and an index: a
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
type contact struct {
	number   uint64 // of the receipts
	headLife uint64 // of the receipts
	receipts []receipt
	waiting  []proof // not held yet, oldest first: the head's marks, or what the head has told
	held     proof   // the newest that holds
}

// proof says that all that was acknowledged before the moment is at or below the index.
type proof struct {
	at    time.Duration
	index uint64
}

// receipt is when a ping of the head first came.
type receipt struct {
	sent time.Duration // on the head's clock
	at   time.Duration // on the own clock
}

// contactRoom bounds receipts and waiting proofs.
const contactRoom = 64

// driftShare is the part of a time by which two steady clocks may differ over it: one in so many.
const driftShare = 1000

// beginContact forgets all proofs, in a new epoch or life or after the node has fallen back to its disk.
func (n *Node) beginContact() {
	if n.config.Mutation.ProofOutlivesEpoch {
		n.contact = contact{waiting: n.contact.waiting, held: n.contact.held}
	} else {
		n.contact = contact{}
	}
	n.renumberContact()
}

// renumberContact begins a new list of receipts.
func (n *Node) renumberContact() {
	n.contacts++
	n.contact.number = n.life + n.contacts
	n.contact.receipts = nil
}

// runContact notes which proof holds by now.
func (n *Node) runContact(now time.Duration) {
	if n.proves() && n.view.Majority() == 1 { // nobody has to answer
		n.mark(now)
		n.wakeBy(now + n.timing.HeartbeatInterval)
	}
	before := n.contact.held
	n.contact.hold(n.proved(now))
	if n.isHead() && before.at == 0 && n.contact.held.at > 0 {
		n.pingAtOnce(now)
	}
}

// pingAtOnce has the first proof of an epoch told to all live members.
func (n *Node) pingAtOnce(now time.Duration) {
	for _, p := range n.peers {
		if n.live(now, p) {
			p.pingedAt = 0
		}
	}
}

// proves tells whether the node as head may count itself among the voters that are in its epoch, and its log as whole.
func (n *Node) proves() bool { return n.isHead() && n.whole() && !n.wedged() && !n.refusing }

// mark notes the last index at the sending of a ping.
func (n *Node) mark(now time.Duration) {
	if n.proves() {
		n.contact.await(proof{at: now, index: n.log.last()})
	}
}

// ConfirmedAt returns the moment of the newest proof; see Status.
func (n *Node) ConfirmedAt(now time.Duration) time.Duration { return n.proved(now).at }

// proved returns the newest proof that holds now.
func (n *Node) proved(now time.Duration) proof {
	until, applied := now, n.applied
	if n.isHead() && !n.config.Mutation.ProofByClock {
		until = n.confirmedSince(now)
	}
	if n.config.Mutation.ProofWithoutIndex {
		applied = math.MaxUint64
	}
	return n.contact.newest(until, applied)
}

// onProof takes in what a ping tells of the head's proof, and notes the ping's receipt.
func (n *Node) onProof(now time.Duration, ping Heartbeat) {
	c := &n.contact
	if ping.Incarnation != c.headLife {
		c.headLife = ping.Incarnation
		n.renumberContact()
	}
	at, known := c.moment(ping, n.timing.SuspectTimeout)
	if n.config.Mutation.ProofAtReceipt {
		at, known = now-(ping.SentAt-ping.ProofAt), ping.ProofAt > 0
	}
	if known {
		c.await(proof{at: at, index: ping.ProofIndex})
	}
	c.receive(receipt{sent: ping.SentAt, at: now})
}

// moment returns a time on the own clock that isn't after the moment of the head's proof. An echo places no proof that
// is younger than it by more than the patience.
func (c *contact) moment(ping Heartbeat, patience time.Duration) (time.Duration, bool) {
	if ping.ProofAt == 0 || ping.EchoGeneration != c.number || ping.ProofAt-ping.EchoReceivedAt > patience {
		return 0, false
	}
	for _, r := range c.receipts {
		if r.sent == ping.Echo {
			since := ping.EchoReceivedAt - ping.ProofAt
			at := r.at - since - max(since, -since)/driftShare
			return at, at > 0
		}
	}
	return 0, false
}

// receive notes a ping that is newer than all before.
func (c *contact) receive(r receipt) {
	if len(c.receipts) > 0 && r.sent <= c.receipts[len(c.receipts)-1].sent {
		return
	}
	if len(c.receipts) == contactRoom {
		c.receipts = append(c.receipts[:0], c.receipts[1:]...)
	}
	c.receipts = append(c.receipts, r)
}

// await adds a proof that is newer than all before. Where there is no room it takes the place of the newest, so that
// the oldest can still come to hold.
func (c *contact) await(p proof) {
	newest := c.held.at
	if len(c.waiting) > 0 {
		newest = c.waiting[len(c.waiting)-1].at
	}
	if p.at <= newest {
		return
	}
	if len(c.waiting) == contactRoom {
		c.waiting = c.waiting[:contactRoom-1]
	}
	c.waiting = append(c.waiting, p)
}

// newest returns the newest proof at or before the moment whose index is applied.
func (c *contact) newest(until time.Duration, applied uint64) proof {
	newest := c.held
	for _, p := range c.waiting {
		if p.at <= until && p.index <= applied {
			newest = p
		}
	}
	return newest
}

// hold notes the proof as held and forgets what is older.
func (c *contact) hold(p proof) {
	c.held = p
	keep := 0
	for keep < len(c.waiting) && c.waiting[keep].at <= p.at {
		keep++
	}
	c.waiting = append(c.waiting[:0], c.waiting[keep:]...)
}
