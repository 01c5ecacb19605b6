package main

import (
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/api"
	"raventrestle/internal/control/state"
)

// memberView is a control instance as people see it.
type memberView struct {
	Identity string `json:"identity"`
	Address  string `json:"address"`
	Control  string `json:"control"`
	Zone     string `json:"zone"`
	Live     bool   `json:"live"`
	Voter    bool   `json:"voter"`
	Place    int    `json:"place,omitempty"` // in the chain, 1 is the head; 0: not in it
}

// groupView is the group as this instance knows it.
type groupView struct {
	Self       string       `json:"self"`
	Epoch      uint64       `json:"epoch"`
	Committed  uint64       `json:"committed"`
	Generation int64        `json:"generation"`
	Leader     bool         `json:"leader"`
	LeaseMS    int64        `json:"lease_ms,omitempty"` // that is left
	AsOfMS     *int64       `json:"as_of_ms,omitempty"` // since the newest contact with a majority; nil: none is known
	Members    []memberView `json:"members"`
}

// statusView shows the replica's status.
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

func membersOf(status replica.Status) []memberView {
	var views []memberView
	at := make(map[string]int)
	add := func(member replica.Member) *memberView {
		place, known := at[member.Identity]
		if !known {
			place = len(views)
			at[member.Identity] = place
			views = append(views, memberView{
				Identity: member.Identity, Address: member.Address,
				Control: member.Tag, Zone: member.Zone,
			})
		}
		return &views[place]
	}
	for place, member := range status.View.Chain {
		add(member).Place = place + 1
	}
	for _, member := range status.View.Voters {
		add(member).Voter = true
	}
	for _, member := range status.LiveMembers {
		add(member).Live = true
	}
	return views
}
