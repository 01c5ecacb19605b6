package roles

import (
	"testing"
	"time"

	"raventrestle/coordination/replica"
)

func TestTroubleIsAChangeNotALastingLoss(t *testing.T) {
	members := []replica.Member{{Identity: "a"}, {Identity: "b"}, {Identity: "c"}}
	status := replica.Status{View: replica.View{Epoch: 1, Voters: members}, LiveMembers: members}
	var tr trouble
	tr.observe(begin, status)
	if tr.lasts(begin) {
		t.Error("at the start")
	}
	status.LiveMembers = members[:2]
	lost := begin.Add(time.Minute)
	tr.observe(lost, status)
	if !tr.lasts(lost) || !tr.lasts(lost.Add(troubleLasts-time.Millisecond)) {
		t.Error("not seen")
	}
	later := lost.Add(troubleLasts)
	tr.observe(later, status)
	if tr.lasts(later) {
		t.Error("a loss that lasts")
	}
	status.View.Epoch = 2
	tr.observe(later, status)
	if !tr.lasts(later) {
		t.Error("a new view")
	}
}
