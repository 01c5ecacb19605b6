package roles

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/host"
	"raventrestle/internal/control/placer"
	"raventrestle/internal/control/quota"
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
		t.Errorf("it acts after %v, want %v or more", waited, testLease)
	}
	// Another instance may have acted until the status was set, a moment after this process began to wait.
	if idleFor := <-e.placersIdleFor; idleFor < testLease/handoverFraction || idleFor > waited {
		t.Errorf("idle for %v, want it between %v and %v", idleFor, testLease/handoverFraction, waited)
	}
	lost := e.replica.Status()
	lost.IsLeader = false
	e.replica.SetStatus(lost)
	await(t, "end in epoch 3", e.ended, equalTo[uint64](3))
	e.replica.SetStatus(leaderStatusNow(4))
	await(t, "begin in epoch 4", e.began, equalTo[uint64](4))
	if got := len(e.placersIdleFor); got != 0 {
		t.Errorf("%d new placers though nobody can have acted in between, want 0", got)
	}
	e.replica.SetStatus(lost)
	await(t, "end in epoch 4", e.ended, anyOf)
	e.replica.SetStatus(leaderStatusNow(9))
	await(t, "begin in epoch 9", e.began, equalTo[uint64](9))
	if got := len(e.placersIdleFor); got != 1 {
		t.Errorf("%d new placers though others may have acted in between, want 1", got)
	}
}

func TestLeaderThatSteppedDownDoesNotAct(t *testing.T) {
	e, leader := startLeader(t, leaderStatusNow(initialEpoch))
	await(t, "begin", e.began, anyOf)
	leader.StepDown()
	await(t, "end", e.ended, anyOf)
	if leader.leaseHeld(initialEpoch) {
		t.Error("the lease is held, want no order to leave")
	}
}

func TestGrantsGoToTheInstanceThatServesTheRouter(t *testing.T) {
	e, leader := startLeader(t, leaderStatusNow(initialEpoch))
	e.setView(host.View{RouterCount: 2})
	router := quota.Router{Node: "r1", Incarnation: 5}
	await(t, "step without reports", e.allocatorInputs, anyOf)
	e.setBatches(false, quota.GrantBatch{Router: router, ID: 5, Grants: []protocol.QuotaGrant{{Tenant: "t"}}})
	leader.HandleReports(&protocol.ReportBatch{
		Origin:    protocol.Origin{Address: "other"},
		Reports:   []protocol.Report{{Node: "r1", Incarnation: 5, Sequence: 1}},
		GrantAcks: []protocol.GrantAck{{Node: "r1", Incarnation: 5, Epoch: 1, Batch: 4}, {Node: "r1", Epoch: 9}},
	})
	in := await(t, "step with the report", e.allocatorInputs, func(in quota.Input) bool { return len(in.Reports) == 1 })
	if in.MinRouterCount != 2 || len(in.Routers) != 1 || in.Routers[0] != router || len(in.Confirmations) != 1 {
		t.Errorf("input is %+v, want a minimum of 2 routers, router %v and one confirmation", in, router)
	}
	batches := await(t, "grants", e.grants, anyOf)
	granted := batches["other"]
	if len(granted) != 1 || granted[0].Node != "r1" || granted[0].Epoch != 1 || granted[0].Batch != 5 {
		t.Errorf("granted through the router's instance: %+v, want batch 5 of epoch 1 for r1", granted)
	}
}

// TestNoGrantIsSentAfterTheLeaseExpired has the process suspended while the allocator decides, and the lease expired when it
// resumes: another instance may have sent grants by now.
func TestNoGrantIsSentAfterTheLeaseExpired(t *testing.T) {
	e, leader := startLeader(t, leaderStatusNow(initialEpoch))
	e.setView(host.View{RouterCount: 2})
	await(t, "step without reports", e.allocatorInputs, anyOf)
	e.setBatches(true, quota.GrantBatch{Router: quota.Router{Node: "r1"}, Grants: []protocol.QuotaGrant{{Tenant: "t"}}})
	leader.HandleReports(&protocol.ReportBatch{Reports: []protocol.Report{{Node: "r1", Sequence: 1}}})
	await(t, "end", e.ended, anyOf)
	if got := len(e.grants); got != 0 {
		t.Errorf("%d messages with grants, want 0", got)
	}
}
