package controller

import (
	"cmp"
	"slices"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/departures"
	"raventrestle/internal/control/distribution"
	"raventrestle/internal/control/registry"
	"raventrestle/internal/protocol"
)

const (
	statusInterval   = 100 * time.Millisecond    // membership is derived from the replica's status no more often
	quorumContactTTL = registry.QuorumContactTTL // without contact with a majority
)

// replicaView is what was derived last from the replica's status.
type replicaView struct {
	observedAt time.Time // when membership was derived last; zero: it is to be derived in this step
	leader     string    // transport address of the leader of the singleton roles, or of its likely successor
	peers      []string  // other instances that are live, by transport address, sorted
	peersGiven bool      // the registry has peers
	members    []protocol.Member
	generation int64
	departures departures.Table
	contact    distribution.QuorumContact
	quorumLost bool
}

// observeCommitted gives the hub and the registry what is committed and the contact with a majority that covers it.
// This comes before the step's events, and the configuration before the contact: nothing that was acknowledged anywhere
// before ConfirmedAt may be missing in a message that states it.
func (c *Controller) observeCommitted(state ReplicatedState) {
	if state.Generation > c.replica.generation {
		c.replica.generation = state.Generation
		document := protocol.CompressDocument(state.Document)
		c.toHub(distribution.Configuration{Generation: state.Generation, Document: document})
	}
	contact := newestContact(c.replica.contact, state.Status)
	if contact == c.replica.contact {
		return
	}
	c.replica.contact = contact
	c.toHub(contact)
	c.toRegistry(registry.QuorumContact{ConfirmedAt: contact.ConfirmedAt})
}

// newestContact keeps a contact until there is a newer one: the replica proves none in the first moments of an epoch,
// and what it proved before stays true, of the epoch in which it was proved.
func newestContact(known distribution.QuorumContact, status replica.Status) distribution.QuorumContact {
	if status.ConfirmedAt.After(known.ConfirmedAt) {
		return distribution.QuorumContact{Epoch: status.View.Epoch, ConfirmedAt: status.ConfirmedAt}
	}
	if known.ConfirmedAt.IsZero() {
		return distribution.QuorumContact{Epoch: status.View.Epoch}
	}
	return known
}

// observeMembership derives leader, peers and members from the status: each statusInterval, and at once when the
// replica changed or the quorum was lost or regained.
func (c *Controller) observeMembership(now time.Time, status replica.Status) {
	quorumLost := c.quorumLostAt(now)
	if quorumLost == c.replica.quorumLost && now.Sub(c.replica.observedAt) < statusInterval {
		return
	}
	c.replica.observedAt = now
	c.replica.leader = headOf(status)
	c.observePeers(status, quorumLost)
	c.observeMembers(status)
}

// quorumLostAt says whether this instance has had no contact with a majority of the voters for quorumContactTTL, or never.
func (c *Controller) quorumLostAt(now time.Time) bool {
	confirmedAt := c.replica.contact.ConfirmedAt
	return confirmedAt.IsZero() || now.Sub(confirmedAt) > quorumContactTTL
}

// headOf returns the address of the chain's head, which leads the singleton roles during its lease.
func headOf(status replica.Status) string {
	if len(status.View.Chain) == 0 {
		return ""
	}
	return status.View.Chain[0].Address
}

// observePeers gives the registry the live instances, where they changed or the quorum was lost or regained.
func (c *Controller) observePeers(status replica.Status, quorumLost bool) {
	peers := livePeers(status, c.config.Origin.Address)
	quorumChanged := quorumLost != c.replica.quorumLost
	if c.replica.peersGiven && !quorumChanged && slices.Equal(peers, c.replica.peers) {
		return
	}
	if c.replica.peersGiven && quorumChanged {
		c.out.QuorumChange = &QuorumChange{Lost: quorumLost, Live: len(status.LiveMembers), Voters: len(status.View.Voters)}
	}
	c.replica.peersGiven = true
	c.replica.peers, c.replica.quorumLost = peers, quorumLost
	c.toRegistry(registry.Peers{Reachable: peers})
}

// livePeers returns the transport addresses of the live instances but this one, sorted.
func livePeers(status replica.Status, self string) []string {
	peers := make([]string, 0, len(status.LiveMembers))
	for _, member := range status.LiveMembers {
		if member.Address != self {
			peers = append(peers, member.Address)
		}
	}
	slices.Sort(peers)
	return slices.Compact(peers)
}

// observeMembers gives the hub all instances that are known, where they changed: routers may subscribe to any.
func (c *Controller) observeMembers(status replica.Status) {
	members := knownMembers(status)
	if slices.Equal(members, c.replica.members) {
		return
	}
	c.replica.members = members
	c.toHub(distribution.Members{Members: members})
}

// knownMembers returns the voters, the chain, the live members and this one, each once, by identity.
func knownMembers(status replica.Status) []protocol.Member {
	known := make(map[string]replica.Member)
	for _, members := range [][]replica.Member{status.View.Voters, status.View.Chain, status.LiveMembers, {status.Self}} {
		for _, member := range members {
			known[member.Identity] = member
		}
	}
	members := make([]protocol.Member, 0, len(known))
	for _, member := range known {
		members = append(members, protocol.Member{
			Identity: member.Identity, Address: member.Address, ControlAddress: member.Tag, Zone: member.Zone,
		})
	}
	slices.SortFunc(members, func(a, b protocol.Member) int { return cmp.Compare(a.Identity, b.Identity) })
	return members
}
