package chain

import (
	"raventrestle/coordination/view"
)

// Roles of the node in its view. In chain replication (R. van Renesse and F. B. Schneider, "Chain Replication for
// Supporting High Throughput and Availability", OSDI 2004) commands enter at the head, pass down the chain, and are
// committed at the tail.

// isHead reports whether the node is the head of its view.
func (n *Node) isHead() bool {
	return n.view.Epoch > 0 && n.view.Head().Identity == n.self.Identity
}

// isTail reports whether the node is the tail of its view.
func (n *Node) isTail() bool {
	return n.view.Epoch > 0 && n.view.Tail().Identity == n.self.Identity
}

// inChain reports whether the node is in the chain of its view. Members outside it are learners, with or without a
// vote.
func (n *Node) inChain() bool { return n.view.ChainIndex(n.self.Identity) >= 0 }

// upstream returns the member from which this one takes entries: its predecessor in the chain, or the head if this
// member is a learner.
func (n *Node) upstream() view.Member {
	if position := n.view.ChainIndex(n.self.Identity); position > 0 {
		return n.view.Chain[position-1]
	}
	return n.view.Head()
}

// successor returns the next member down the chain, or the zero Member at the tail and outside the chain.
func (n *Node) successor() view.Member {
	position := n.view.ChainIndex(n.self.Identity)
	if position < 0 || position+1 >= len(n.view.Chain) {
		return view.Member{}
	}
	return n.view.Chain[position+1]
}

// sealed reports whether the node has promised a proposal for a later epoch. A sealed node takes no further part in
// replication in its own epoch, so that the report on its log in the promise stays true.
func (n *Node) sealed() bool {
	return n.acceptor.Epoch > n.view.Epoch && !n.acceptor.Promised.IsZero() && !n.config.Mutation.NoEpochCheck
}

// complete reports whether the node is in the chain and its log was complete in the node's epoch: it had everything
// that the epoch's head had when the epoch began.
func (n *Node) complete() bool {
	return n.view.Epoch > 0 && n.completeEpoch == n.view.Epoch && n.inChain()
}

// chainMayCommit reports whether the chain is long enough to commit.
func (n *Node) chainMayCommit() bool { return len(n.view.Chain) >= n.minChainLength() }

// minChainLength returns the length of the shortest chain that may commit.
func (n *Node) minChainLength() int { return n.view.MinChainLength(n.config.FaultTolerance) }
