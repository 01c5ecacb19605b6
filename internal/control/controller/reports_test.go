package controller

import (
	"testing"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/protocol"
)

// reportStep steps a controller whose chain has the given head.
func reportStep(c *Controller, at time.Duration, head string, events ...Event) Output {
	now := start.Add(at)
	status := replica.Status{View: replica.View{Epoch: 1}, ConfirmedAt: now}
	if head != "" {
		status.View.Chain = []replica.Member{{Identity: head, Address: head}}
	}
	events = append(events, ReplicaChanged{})
	return c.Step(now, Input{Replicated: ReplicatedState{Status: status}, Events: events})
}

func report(sequence uint64) Event {
	return MessageReceived{Connection: 1, Message: &protocol.Report{Node: "r", Sequence: sequence}}
}

// TestReportsAreBatched: the first goes at once, the next ones together after the interval.
func TestReportsAreBatched(t *testing.T) {
	c := newTestController(start)
	if out := reportStep(c, 0, "self", report(1)); len(out.Reports) != 1 || len(out.Reports[0].Reports) != 1 {
		t.Fatalf("first report: batches %v, want one of one report", out.Reports)
	}
	out := reportStep(c, time.Millisecond, "self", report(2))
	if len(out.Reports) != 0 || out.WakeAt.After(start.Add(reportInterval)) {
		t.Errorf("batches %v, wakes after %v; want none, %v at the latest", out.Reports, out.WakeAt.Sub(start), reportInterval)
	}
	reportStep(c, 2*time.Millisecond, "self", report(3))
	if out := reportStep(c, reportInterval-1, "self"); len(out.Reports) != 0 {
		t.Errorf("batches %v within the interval, want none", out.Reports)
	}
	if out := reportStep(c, reportInterval, "self"); len(out.Reports) != 1 || len(out.Reports[0].Reports) != 2 {
		t.Errorf("batches %v after the interval, want one of two reports", out.Reports)
	}
}

// TestReportsGoToTheLeader: to another instance as a message with this process's origin and clock; without a leader
// they wait.
func TestReportsGoToTheLeader(t *testing.T) {
	c := newTestController(start)
	if out := reportStep(c, 0, "", report(1)); len(out.Reports)+len(out.PeerMessages) != 0 {
		t.Fatalf("batches %v, messages %v without a leader, want none", out.Reports, out.PeerMessages)
	}
	out := reportStep(c, reportInterval, "c2")
	if len(out.Reports) != 0 || len(out.PeerMessages) != 1 || out.PeerMessages[0].To != "c2" {
		t.Fatalf("batches %v, messages %v; want one message to c2", out.Reports, out.PeerMessages)
	}
	batch, isBatch := out.PeerMessages[0].Message.(*protocol.ReportBatch)
	want := protocol.Origin{Address: "self", Incarnation: 1, SentAt: reportInterval}
	if !isBatch || len(batch.Reports) != 1 || batch.Origin != want {
		t.Errorf("message %+v, want a batch of one report from %+v", out.PeerMessages[0].Message, want)
	}
}
