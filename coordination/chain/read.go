package chain

import (
	"slices"
	"time"
)

// Linearizable reads by barriers.
//
// Invariant: the index of a barrier covers everything that was acknowledged anywhere before the barrier was requested.
// The barrier passes through every member of the chain. Each of them handles it only in its own epoch, and only if its
// log is complete and it is not sealed. So no later view had been decided when it was requested, and what was
// acknowledged by then is in the tail's log. A barrier needs no disk and no clock.

// barrier is a requested barrier without a result.
type barrier struct {
	id       uint64
	sentAt   time.Duration
	answered bool
	index    uint64 // set when answered
}

// BarrierResult is the result of a barrier: the member has applied everything up to Index.
type BarrierResult struct {
	RequestID uint64
	Index     uint64
}

// Barrier requests an index that covers everything acknowledged anywhere by now. It returns the request's ID.
func (n *Node) Barrier(now time.Duration) (uint64, Output) {
	n.enterStep(now)
	n.pending.lastID++
	n.pending.barriers = append(n.pending.barriers, &barrier{id: n.pending.lastID})
	return n.pending.lastID, n.finish(now)
}

// CancelBarrier removes a barrier from the pending requests.
func (n *Node) CancelBarrier(requestID uint64) {
	n.pending.barriers = slices.DeleteFunc(n.pending.barriers, func(b *barrier) bool { return b.id == requestID })
}

// TakeBarrierResults returns the barriers whose index is applied. The owner calls it after TakeCommitted.
func (n *Node) TakeBarrierResults() []BarrierResult {
	var results []BarrierResult
	n.pending.barriers = slices.DeleteFunc(n.pending.barriers, func(b *barrier) bool {
		ready := b.answered && b.index <= n.appliedIndex
		if ready {
			results = append(results, BarrierResult{RequestID: b.id, Index: b.index})
		}
		return ready
	})
	return results
}

// barrierAnswered records the tail's answer.
func (r *pendingRequests) barrierAnswered(requestID, index uint64) {
	for _, b := range r.barriers {
		if b.id == requestID && !b.answered {
			b.answered, b.index = true, index
		}
	}
}

// sendBarrier sends a barrier to the head, which may be this node.
func (n *Node) sendBarrier(now time.Duration, b *barrier) {
	if n.view.Epoch == 0 {
		return
	}
	b.sentAt = now
	message := Barrier{RequestID: b.id, Requester: n.self.Identity, RequesterAddress: n.self.Address}
	if n.isHead() {
		n.handleBarrier(message)
		return
	}
	n.send(n.resolve(n.view.Head()), Message{Barrier: &message})
}

// handleBarrier forwards a barrier down the chain, and answers it at the tail. The answer is the tail's last index,
// because a tail that has just restarted may not know yet how far its log is committed.
func (n *Node) handleBarrier(b Barrier) {
	if !n.complete() || n.sealed() || !n.chainMayCommit() {
		return
	}
	if !n.isTail() {
		n.send(n.resolve(n.successor()), Message{Barrier: &b})
		return
	}
	if b.Requester == n.self.Identity {
		n.pending.barrierAnswered(b.RequestID, n.log.lastIndex())
		return
	}
	reply := BarrierReply{RequestID: b.RequestID, Index: n.log.lastIndex()}
	n.sendTo(b.RequesterAddress, Message{To: b.Requester, BarrierReply: &reply})
}
