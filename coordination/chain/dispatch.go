package chain

import (
	"time"
)

// Invariant: a message that belongs to an epoch is handled in that epoch only. A member of a later epoch rejects it,
// because an answer could let the earlier epoch's chain commit entries that the later epoch's head lacks. A member
// that has only promised a proposal for the later epoch is sealed and takes no part in commits either. A later epoch
// is decided only once a majority of the voters has promised, and each chain that may commit has a member in that
// majority. From then on nothing is committed, confirmed or read in the earlier epoch.
//
// Messages for the discovery of members and views, and the first phase of a proposal, are handled in any epoch.

// receive handles a message of any epoch, or passes it on to receiveInEpoch.
func (n *Node) receive(now time.Duration, address string, m Message) {
	if m.From == n.self.Identity {
		return
	}
	if m.To != "" && m.To != n.self.Identity {
		n.handleMisdirected(now, address)
		return
	}
	switch {
	case m.Hello != nil:
		n.handleHello(now, address, m)
	case m.ViewRequest != nil:
		n.sendView(now, m.From, address)
	case m.ViewDecision != nil:
		n.handleViewDecision(now, *m.ViewDecision)
	case m.Prepare != nil:
		n.handlePrepare(now, address, m.From, *m.Prepare)
	case m.BarrierReply != nil:
		n.pending.barrierAnswered(m.BarrierReply.RequestID, m.BarrierReply.Index)
	default:
		if n.checkEpoch(now, address, m) {
			n.receiveInEpoch(now, address, m)
		}
	}
}

// checkEpoch reports whether the message belongs to the node's epoch. If the epochs differ, it makes sure that the
// member with the earlier one receives the later view.
func (n *Node) checkEpoch(now time.Duration, address string, m Message) bool {
	switch {
	case m.Epoch < n.view.Epoch && n.config.Mutation.NoEpochCheck && m.Epoch > 0:
		return true
	case m.Epoch < n.view.Epoch:
		n.sendView(now, m.From, address)
		return false
	case m.Epoch > n.view.Epoch:
		n.requestView(now, m.From, address)
		return false
	}
	return n.view.Epoch > 0
}

// receiveInEpoch handles a message of the node's own epoch.
func (n *Node) receiveInEpoch(now time.Duration, address string, m Message) {
	switch {
	case m.Heartbeat != nil:
		n.handleHeartbeat(now, address, m)
	case m.HeartbeatReply != nil:
		n.handleHeartbeatReply(now, m.From, *m.HeartbeatReply)
	case m.Fetch != nil:
		n.handleFetch(now, address, m.From, *m.Fetch)
	case m.Append != nil:
		n.handleAppend(now, m.From, *m.Append)
	case m.Commit != nil:
		n.handleCommit(m.Commit.Index)
	case m.Forward != nil:
		n.handleForward(*m.Forward)
	case m.Barrier != nil:
		n.handleBarrier(*m.Barrier)
	case m.PreVote != nil:
		n.handlePreVote(now, address, m.From, *m.PreVote)
	case m.PreVoteReply != nil:
		n.handlePreVoteReply(now, m.From, *m.PreVoteReply)
	case m.Promise != nil:
		n.handlePromise(now, *m.Promise)
	case m.Accept != nil:
		n.handleAccept(now, address, m.From, *m.Accept)
	case m.Accepted != nil:
		n.handleAccepted(now, m.From, *m.Accepted)
	}
}
