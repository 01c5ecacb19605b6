package roles

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/host"
	"raventrestle/internal/control/placer"
	"raventrestle/internal/control/shares"
	"raventrestle/internal/control/state"
	"raventrestle/internal/protocol"
)

func TestLeaderCarriesOutOrders(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusAccepted)
	}))
	defer server.Close()
	e, _ := startLeader(t, replica.Status{})
	endpoint := protocol.Endpoint{ID: "i-1", Address: serverAddress(server)}
	e.setView(host.View{Endpoints: []protocol.Endpoint{endpoint}})
	e.setOrders(placer.Order{ID: 1, Endpoint: "i-1", Address: endpoint.Address, Model: "m"})
	e.replica.SetStatus(leaderStatusNow(initialEpoch))
	await(t, "accepted result", e.placerInputs, func(in placer.Input) bool {
		return len(in.Results) == 1 && in.Results[0] == placer.Result{ID: 1, Outcome: placer.Accepted}
	})
	shown := await(t, "load in progress", e.loadingTables, func(table protocol.LoadingTable) bool {
		return len(table.Loading) > 0
	})
	if load := shown.Loading[0]; load.Endpoint != "i-1" || load.Loads[0].Model != "m" {
		t.Errorf("load in progress is %+v, want model m at i-1", load)
	}
	endpoint.Models = []protocol.LoadedModel{{Name: "m"}}
	e.setView(host.View{Endpoints: []protocol.Endpoint{endpoint}})
	await(t, "end of the load", e.loadingTables, func(table protocol.LoadingTable) bool { return len(table.Loading) == 0 })
}

func TestNewLeaderWaitsAndALostLeaseEndsLeadership(t *testing.T) {
	e, _ := startLeader(t, replica.Status{})
	start := time.Now()
	e.replica.SetStatus(leaderStatusNow(3))
	await(t, "begin in epoch 3", e.began, equalTo[uint64](3))
	waited := time.Since(start)
	if waited < testLease {
		t.Errorf("acts after %v, want %v or more", waited, testLease)
	}
	// Another instance may have acted until the status was set, which was shortly after this process started to wait.
	if idleFor := <-e.placersIdleFor; idleFor < testLease/handoverDivisor || idleFor > waited {
		t.Errorf("idle for %v, want it between %v and %v", idleFor, testLease/handoverDivisor, waited)
	}
	lost := e.replica.Status()
	lost.IsLeader = false
	e.replica.SetStatus(lost)
	await(t, "end in epoch 3", e.ended, equalTo[uint64](3))
	e.replica.SetStatus(leaderStatusNow(4))
	await(t, "begin in epoch 4", e.began, equalTo[uint64](4))
	if got := len(e.placersIdleFor); got != 0 {
		t.Errorf("%d new placers although nobody can have acted in between, want 0", got)
	}
	e.replica.SetStatus(lost)
	await(t, "end in epoch 4", e.ended, anyOf)
	e.replica.SetStatus(leaderStatusNow(9))
	await(t, "begin in epoch 9", e.began, equalTo[uint64](9))
	if got := len(e.placersIdleFor); got != 1 {
		t.Errorf("%d new placers although others may have acted in between, want 1", got)
	}
}

func TestLeaderThatSteppedDownDoesNotAct(t *testing.T) {
	e, leader := startLeader(t, leaderStatusNow(initialEpoch))
	await(t, "begin", e.began, anyOf)
	leader.StepDown()
	await(t, "end", e.ended, anyOf)
	if leader.leaseHeld(initialEpoch) {
		t.Error("the lease is held after StepDown, want it not held")
	}
}

// TestLeaderAssignsSharesOnce registers two voters. The leader must assign each of them half of the shares in one change,
// and must not change the shares afterwards.
func TestLeaderAssignsSharesOnce(t *testing.T) {
	e, _ := startLeader(t, replica.Status{})
	members := []replica.Member{{Identity: "a", Address: "10.0.0.1:1"}, {Identity: "b", Address: "10.0.0.2:1"}}
	for _, member := range members {
		command, err := state.NewRegistration(member.Identity)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := e.replica.Propose(t.Context(), command); err != nil {
			t.Fatal(err)
		}
	}
	status := leaderStatusNow(initialEpoch)
	status.View.Voters, status.LiveMembers = members, members
	e.replica.SetStatus(status)
	if got := await(t, "assignment", e.proposals, anyOf); got.sequence != 3 || got.err != nil {
		t.Errorf("proposed %+v, want the third change of shares without an error", got)
	}
	owned := make(map[string]int)
	for _, share := range e.Shares().Shares {
		owned[share.Owner]++
	}
	if owned["a"] != shares.Count/2 || owned["b"] != shares.Count/2 {
		t.Errorf("owned shares are %v, want %d by each member", owned, shares.Count/2)
	}
	for range 5 {
		await(t, "step", e.placerInputs, anyOf)
	}
	if got := len(e.proposals); got != 0 {
		t.Errorf("%d more assignments, want none", got)
	}
}

// TestInstanceThatDoesNotLeadAssignsNoShares checks that a former leader proposes no assignment, because its proposal might
// be based on an outdated view.
func TestInstanceThatDoesNotLeadAssignsNoShares(t *testing.T) {
	e, _ := startLeader(t, leaderStatusNow(initialEpoch))
	await(t, "begin", e.began, anyOf)
	e.replica.SetStatus(replica.Status{})
	await(t, "end", e.ended, anyOf)
	command, err := state.NewRegistration("a")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := e.replica.Propose(t.Context(), command); err != nil {
		t.Fatal(err)
	}
	e.replica.SetStatus(replica.Status{View: replica.View{Voters: []replica.Member{{Identity: "a"}}}, LiveMembers: []replica.Member{{Identity: "a"}}})
	time.Sleep(2 * minStepInterval) // there is no event to wait for
	if got := len(e.proposals); got != 0 {
		t.Errorf("%d assignments, want none", got)
	}
}
