package controller

import (
	"testing"
	"time"

	"raventrestle/internal/control/distribution"
	"raventrestle/internal/protocol"
)

// Grants of an earlier leader that were delayed on their way must not come on top of a later one's.
func TestGrantsOfAnEarlierLeaderAreDropped(t *testing.T) {
	c := &Controller{}
	for _, epoch := range []uint64{4, 5, 4, 5, 7, 6} {
		c.grantHere([]protocol.RouterGrants{{Node: "r", Epoch: epoch}})
	}
	var passed []uint64
	for _, input := range c.hubInputs {
		passed = append(passed, input.(distribution.GrantIssued).Router.Epoch)
	}
	if len(passed) != 4 || passed[0] != 4 || passed[1] != 5 || passed[2] != 5 || passed[3] != 7 {
		t.Errorf("passed on grants of epochs %v, want [4 5 5 7]", passed)
	}
}

// A batch of grants that was delayed longer than maxGrantDelay, beyond the fastest message of its sender, is dropped.
func TestDelayedGrantsAreDropped(t *testing.T) {
	const clockOffset = time.Hour // of the sender's clock: it doesn't matter
	c := newTestController(start)
	receive := func(sent, arrived time.Duration) {
		c.receive(start.Add(arrived), MessageReceived{Message: &protocol.GrantBatch{
			Origin:  protocol.Origin{Address: "c1", Incarnation: 7, SentAt: sent + clockOffset},
			Routers: []protocol.RouterGrants{{Node: "r", Epoch: 1}},
		}})
	}
	receive(0, time.Millisecond)
	receive(time.Second, time.Second+time.Millisecond+maxGrantDelay)
	if len(c.hubInputs) != 2 {
		t.Fatalf("%d batches passed on, want 2: the delay is within the bound", len(c.hubInputs))
	}
	receive(2*time.Second, 2*time.Second+2*time.Millisecond+maxGrantDelay)
	if len(c.hubInputs) != 2 {
		t.Errorf("%d batches passed on, want 2: the third was delayed too long", len(c.hubInputs))
	}
}
