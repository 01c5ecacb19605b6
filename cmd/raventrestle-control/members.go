package main

import (
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/api"
	"raventrestle/internal/control/state"
)

// memberView is a control instance in the answer of /-/members. Its keys and those of groupView are pinned by golden tests.
type memberView struct {
	Identity string `json:"identity"`
	Address  string `json:"address"`
	Control  string `json:"control"`
	Zone     string `json:"zone"`
	Live     bool   `json:"live"`
	Voter    bool   `json:"voter"`
	Position int    `json:"place,omitempty"` // in the chain; 1: the head, 0: not in it
}

// groupView is the group as this instance knows it.
type groupView struct {
	Self       string       `json:"self"`
	Epoch      uint64       `json:"epoch"`
	Committed  uint64       `json:"committed"`
	Generation int64        `json:"generation"`
	Leader     bool         `json:"leader"`
	LeaseMS    int64        `json:"lease_ms,omitempty"` // until the lease ends
	AsOfMS     *int64       `json:"as_of_ms,omitempty"` // since the newest contact with a majority; nil: none is known
	Members    []memberView `json:"members"`
}

// statusView returns the answer of /-/members. ConfirmedAt is the moment of the newest contact with a majority.
func statusView(group replica.Interface, machine *state.Machine, confirmedAt func() time.Time) api.Status {
	return func() any {
		status := group.Status()
		generation, _ := machine.Current()
		view := groupView{
			Self:       status.Self.Identity,
			Epoch:      status.View.Epoch,
			Committed:  status.CommitIndex,
			Generation: generation,
			Leader:     status.IsLeader,
			Members:    membersOf(status),
		}
		if status.IsLeader {
			view.LeaseMS = max(0, time.Until(status.LeaseExpiry)).Milliseconds()
		}
		if newest := confirmedAt(); !newest.IsZero() {
			age := max(0, time.Since(newest)).Milliseconds()
			view.AsOfMS = &age
		}
		return view
	}
}

// membersOf lists the members of the chain in its order, then other voters, then other live members.
func membersOf(status replica.Status) []memberView {
	var views []memberView
	indexes := make(map[string]int) // in views, by identity
	add := func(member replica.Member) *memberView {
		index, known := indexes[member.Identity]
		if !known {
			index = len(views)
			indexes[member.Identity] = index
			views = append(views, memberView{
				Identity: member.Identity, Address: member.Address,
				Control: member.Tag, Zone: member.Zone,
			})
		}
		return &views[index]
	}
	for index, member := range status.View.Chain {
		add(member).Position = index + 1
	}
	for _, member := range status.View.Voters {
		add(member).Voter = true
	}
	for _, member := range status.LiveMembers {
		add(member).Live = true
	}
	return views
}
