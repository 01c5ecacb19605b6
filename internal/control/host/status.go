package host

import (
	"cmp"
	"slices"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/distribution"
	"raventrestle/internal/control/registry"
	"raventrestle/internal/protocol"
)

// statusView is what the host last drew from the replica's status.
type statusView struct {
	read       time.Time
	holder     string // transport address of the placer's holder, or of who comes next to it
	peers      []string
	members    []protocol.Member
	generation int64
	contact    distribution.Contact
	isolated   bool
	told       bool // the desk knows peers and isolated
	wakeAt     time.Time
}

// readReplica tells the desk what the replica knows at the beginning of a step.
func (h *Host) readReplica(now time.Time) {
	status := h.parts.Replica.Status()
	h.readContact(status)
	isolated := h.isolated(now)
	if isolated == h.status.isolated && now.Sub(h.status.read) < statusEvery {
		return
	}
	h.status.read = now
	h.status.holder = holderOf(status)
	h.readPeers(status, isolated)
	h.readMembers(status)
}

// readContact puts what is committed, and the contact that covers it, before all that the step takes in. The
// configuration is read after the status and given before the contact: nothing that was acknowledged before
// ConfirmedAt may be missing in a message that states it.
func (h *Host) readContact(status replica.Status) {
	later := h.news
	h.news = News{}
	h.readConfiguration()
	if contact := newestContact(h.status.contact, status); contact != h.status.contact {
		h.status.contact = contact
		h.confirmedAt.Store(&contact.ConfirmedAt)
		h.news.Hub = append(h.news.Hub, contact)
		h.news.Registry = append(h.news.Registry, registry.QuorumContact{ConfirmedAt: contact.ConfirmedAt})
	}
	h.news.Hub = append(h.news.Hub, later.Hub...)
	h.news.Registry = append(h.news.Registry, later.Registry...)
}

// newestContact keeps a contact until there is a newer one: the replica proves none in the first moments of an epoch,
// and what it proved before stays true, of the epoch that it was in.
func newestContact(known distribution.Contact, status replica.Status) distribution.Contact {
	if status.ConfirmedAt.After(known.ConfirmedAt) {
		return distribution.Contact{Epoch: status.View.Epoch, ConfirmedAt: status.ConfirmedAt}
	}
	if known.ConfirmedAt.IsZero() {
		return distribution.Contact{Epoch: status.View.Epoch}
	}
	return known
}

// ConfirmedAt returns the newest moment of which this instance knows all that was acknowledged anywhere before; zero:
// it knows of none.
func (h *Host) ConfirmedAt() time.Time {
	newest := h.parts.Replica.Status().ConfirmedAt
	if known := h.confirmedAt.Load(); known != nil && known.After(newest) {
		return *known
	}
	return newest
}

func (h *Host) readConfiguration() {
	generation, document := h.parts.Configurations.Newest()
	if generation <= h.status.generation {
		return
	}
	h.status.generation = generation
	packed := protocol.PackDocument(document)
	h.news.Hub = append(h.news.Hub, distribution.Configuration{Generation: generation, Document: packed})
}

// isolated says whether this instance has had no contact with a majority of the voters for some time, or never.
func (h *Host) isolated(now time.Time) bool {
	confirmedAt := h.status.contact.ConfirmedAt
	return confirmedAt.IsZero() || now.Sub(confirmedAt) > isolatedAfter
}

func holderOf(status replica.Status) string {
	if len(status.View.Chain) == 0 {
		return ""
	}
	return status.View.Chain[0].Address
}

func (h *Host) readPeers(status replica.Status, isolated bool) {
	peers := make([]string, 0, len(status.Live))
	for _, member := range status.Live {
		if member.Address != h.settings.Origin.Address {
			peers = append(peers, member.Address)
		}
	}
	slices.Sort(peers)
	peers = slices.Compact(peers)
	turned := isolated != h.status.isolated
	if h.status.told && !turned && slices.Equal(peers, h.status.peers) {
		return
	}
	if h.status.told && turned {
		h.parts.Events.Isolated(isolated, len(status.Live), len(status.View.Voters))
	}
	h.status.told = true
	h.status.peers, h.status.isolated = peers, isolated
	h.news.Registry = append(h.news.Registry, registry.Peers{Reachable: peers})
}

// readMembers gathers all instances that are known, for the routers.
func (h *Host) readMembers(status replica.Status) {
	known := make(map[string]replica.Member)
	for _, members := range [][]replica.Member{status.View.Voters, status.View.Chain, status.Live, {status.Self}} {
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
	if slices.Equal(members, h.status.members) {
		return
	}
	h.status.members = members
	h.news.Hub = append(h.news.Hub, distribution.Members{Members: members})
}

func (h *Host) view() View {
	return View{
		Endpoints:   h.desk.Endpoints(time.Now()),
		Routers:     h.desk.Routers(),
		RouterCount: h.desk.RouterCount(),
		Members:     h.status.members,
		Isolated:    h.status.isolated,
	}
}
