package roles

import (
	"context"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/shares"
	"raventrestle/internal/control/state"
)

// assignmentTimeout bounds the proposal of an assignment of shares.
const assignmentTimeout = 2 * time.Second

// assignShares proposes the assignment of the limits' shares that is due, if any. It may be proposed late, or by an instance that
// no longer leads: the state machine rejects it if shares have changed meanwhile.
func (l *Leader) assignShares(ctx context.Context, now time.Time) {
	assignment := l.assigner.Step(now, l.assignerInput(l.dependencies.Replica.Status()))
	if assignment == nil {
		return
	}
	command, err := state.NewAssignment(*assignment)
	if err != nil {
		return // a struct of plain fields can always be encoded
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

// assignerInput is what the assigner is to know. A table read after the status has all that the status' contact covers.
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
