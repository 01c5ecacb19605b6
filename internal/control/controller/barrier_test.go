package controller

import (
	"testing"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/protocol"
)

// TestOneBarrierAtATimeAndBackoffAfterAFailure follows the barriers of two routers' subscriptions.
func TestOneBarrierAtATimeAndBackoffAfterAFailure(t *testing.T) {
	c := newTestController(start)
	step := func(at time.Duration, events ...Event) Output {
		now := start.Add(at)
		status := replica.Status{View: replica.View{Epoch: 1}, ConfirmedAt: now}
		return c.Step(now, Input{Replicated: ReplicatedState{Status: status}, Events: events})
	}
	subscribe := func(connection int, node string) Event {
		return MessageReceived{Connection: connection, Message: &protocol.Subscribe{Node: node}}
	}
	if out := step(0, subscribe(1, "r1")); out.StartBarrier != 1 {
		t.Fatalf("barrier %d started for the first router, want 1", out.StartBarrier)
	}
	if out := step(time.Millisecond, subscribe(2, "r2")); out.StartBarrier != 0 {
		t.Errorf("barrier %d started while one is in flight, want none", out.StartBarrier)
	}
	failed := step(2*time.Millisecond, BarrierFinished{Number: 1})
	if failed.StartBarrier != 0 {
		t.Errorf("barrier %d started at once after a failure, want none", failed.StartBarrier)
	}
	retryAt := 2*time.Millisecond + barrierBackoff
	if failed.WakeAt.After(start.Add(retryAt)) {
		t.Errorf("wakes %v after the start, want %v at the latest", failed.WakeAt.Sub(start), retryAt)
	}
	if out := step(retryAt - 1); out.StartBarrier != 0 {
		t.Errorf("barrier %d started within the backoff, want none", out.StartBarrier)
	}
	if out := step(retryAt); out.StartBarrier != 2 {
		t.Errorf("barrier %d started after the backoff, want 2", out.StartBarrier)
	}
	out := step(retryAt+time.Millisecond, BarrierFinished{Number: 2, Succeeded: true})
	confirmed := map[Connection]bool{}
	for _, message := range out.RouterMessages {
		if update, isUpdate := message.Message.(*protocol.Update); isUpdate && update.GenerationConfirmed {
			confirmed[message.Connection] = true
		}
	}
	if len(confirmed) != 2 || out.StartBarrier != 0 {
		t.Errorf("confirmed to %v, barrier %d; want both routers, none", confirmed, out.StartBarrier)
	}
}
