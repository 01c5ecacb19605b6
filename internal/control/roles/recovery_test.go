package roles

import (
	"testing"
	"time"

	"raventrestle/coordination/replica"
)

func TestRecoveryEndsAfterPermanentLoss(t *testing.T) {
	members := []replica.Member{{Identity: "a"}, {Identity: "b"}, {Identity: "c"}}
	status := replica.Status{View: replica.View{Epoch: 1, Voters: members}, LiveMembers: members}
	var detector recoveryDetector
	detector.observe(begin, status)
	if detector.recovering(begin) {
		t.Error("recovering at the start, want not recovering")
	}
	status.LiveMembers = members[:2]
	lost := begin.Add(time.Minute)
	detector.observe(lost, status)
	if !detector.recovering(lost) || !detector.recovering(lost.Add(recoveryWindow-time.Millisecond)) {
		t.Errorf("not recovering after the loss of a member, want recovering for %v", recoveryWindow)
	}
	later := lost.Add(recoveryWindow)
	detector.observe(later, status)
	if detector.recovering(later) {
		t.Errorf("recovering %v after a permanent loss, want not recovering", recoveryWindow)
	}
	status.View.Epoch = 2
	detector.observe(later, status)
	if !detector.recovering(later) {
		t.Error("not recovering after a new view, want recovering")
	}
}
