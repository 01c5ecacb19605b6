package chain

import (
	"fmt"
	"strings"
	"time"

	"raventrestle/coordination/view"
)

// Status is what a member knows of itself and the group. All times are on the owner's clock.
type Status struct {
	Self                view.Member
	View                view.View
	CommitIndex         uint64
	LiveMembers         []view.Member // self first
	IsLeader            bool
	LeaseExpiry         time.Duration // set for the leader only
	LeaderSince         time.Duration // set for the leader only
	PreviousLeaseExpiry time.Duration // until then a leader of an earlier epoch may still act
	// ConfirmedAt is the time of the newest valid proof of freshness: a majority of the voters was in View's epoch at
	// that time, and everything that was acknowledged anywhere before it is applied here. It is 0 if there has been no
	// proof in this epoch and incarnation.
	ConfirmedAt time.Duration
}

// Status returns what the node knows of itself and the group at the given time.
func (n *Node) Status(now time.Duration) Status {
	status := Status{
		Self:                n.self,
		View:                n.resolveView(n.view),
		CommitIndex:         n.commitIndex,
		LiveMembers:         n.liveMembers(now),
		PreviousLeaseExpiry: n.detector.previousLeaseExpiry,
		ConfirmedAt:         n.ConfirmedAt(now),
	}
	if n.IsLeader(now) {
		status.IsLeader = true
		status.LeaseExpiry = n.leaseExpiry(now)
		status.LeaderSince = n.detector.leaderSince
	}
	return status
}

// liveMembers returns the node and the members that answer the head, as far as the node knows by now.
func (n *Node) liveMembers(now time.Duration) []view.Member {
	live := []view.Member{n.self}
	if n.isHead() {
		for _, p := range n.peers {
			if p.replied && n.isLive(now, p) {
				live = append(live, p.member)
			}
		}
		return live
	}
	if n.view.Epoch == 0 || now-n.detector.headHeardAt > n.timing.SuspectTimeout {
		return live
	}
	for i, member := range n.membership.members {
		if i < len(n.membership.live) && n.membership.live[i] && member.Identity != n.self.Identity {
			live = append(live, member)
		}
	}
	return live
}

// IsLeader reports whether the node may act as leader at the given time: it is the head and its lease is valid.
func (n *Node) IsLeader(now time.Duration) bool {
	return n.isHead() && n.detector.leaderSince > 0 && n.leaseExpiry(now) > now
}

// HasDurable reports whether the command is on this member's disk at the index, in its log or covered by its
// snapshot.
func (n *Node) HasDurable(index uint64, command string) bool {
	if index > n.persisted.log.lastIndex() {
		return false
	}
	return index <= n.persisted.log.baseIndex || string(n.persisted.log.after(index - 1)[0].Command) == command
}

// IsComplete reports whether the node is in the chain with a log that is complete in its epoch.
func (n *Node) IsComplete() bool { return n.complete() }

// CompleteEpoch returns the newest epoch in whose chain the log was complete, as it stands on disk.
func (n *Node) CompleteEpoch() uint64 { return n.persisted.completeEpoch }

// View returns the node's view.
func (n *Node) View() view.View { return n.view }

// Epoch returns the epoch of the node's view, as it stands on disk.
func (n *Node) Epoch() uint64 { return n.persisted.view.Epoch }

// PromisedEpoch returns the newest epoch for which the node has promised a proposal, as it stands on disk, or 0.
func (n *Node) PromisedEpoch() uint64 {
	if n.persisted.acceptor.Promised.IsZero() {
		return 0
	}
	return n.persisted.acceptor.Epoch
}

// Self returns the node's own member.
func (n *Node) Self() view.Member { return n.self }

// String describes the node's state in one line, for people who read a trace.
func (n *Node) String() string {
	names := func(members []view.Member) string {
		var list []string
		for _, member := range members {
			list = append(list, member.Identity[max(0, len(member.Identity)-8):])
		}
		return strings.Join(list, ",")
	}
	flags := ""
	for _, flag := range []struct {
		set  bool
		name string
	}{
		{n.sealed(), " sealed"},
		{n.complete(), " complete"},
		{n.logMatched, " matched"},
		{n.diskFailing, " disk-failing"},
		{n.leaving, " leaving"},
		{n.detector.leaderSince > 0, " leader"},
	} {
		if flag.set {
			flags += flag.name
		}
	}
	return fmt.Sprintf("epoch %d chain %s voters %s: log %d-%d committed %d complete-epoch %d%s",
		n.view.Epoch, names(n.view.Chain), names(n.view.Voters),
		n.log.baseIndex, n.log.lastIndex(), n.commitIndex, n.completeEpoch, flags)
}
