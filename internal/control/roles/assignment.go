package roles

import (
	"context"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/shares"
	"raventrestle/internal/control/state"
)

// assignmentTimeout limits the duration of a proposal to assign shares.
const assignmentTimeout = 2 * time.Second

// assignShares proposes the assignment of the limits' shares that is due, if any. The proposal may arrive late, or come from
// an instance that is no longer the leader: the state machine rejects it if the shares have changed in the meantime.
func (l *Leader) assignShares(ctx context.Context, now time.Time) {
	assignment := l.assigner.Step(now, l.assignerInput(l.dependencies.Replica.Status()))
	if assignment == nil {
		return
	}
	command, err := state.NewAssignment(*assignment)
	if err != nil {
		return // does not happen: a struct of plain fields can always be encoded
	}
	l.calls.Add(1)
	go func() {
		defer l.calls.Done()
		bounded, cancel := context.WithTimeout(ctx, assignmentTimeout)
		defer cancel()
		_, err := l.dependencies.Replica.Propose(bounded, command)
		l.dependencies.Events.SharesProposed(assignment.Sequence, err)
	}()
}

// assignerInput returns the assigner's input. The shares are read after the status, so they include everything that was
// acknowledged before status.ConfirmedAt.
func (l *Leader) assignerInput(status replica.Status) shares.AssignerInput {
	return shares.AssignerInput{
		Table:   l.dependencies.Configurations.Shares(),
		Members: append(identities(status.View.Voters), identities(status.View.Chain)...),
		Live:    identities(status.LiveMembers),
	}
}

func identities(members []replica.Member) []string {
	names := make([]string, len(members))
	for i, member := range members {
		names[i] = member.Identity
	}
	return names
}
