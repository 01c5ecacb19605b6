package host

import (
	"testing"

	"raventrestle/internal/control/distribution"
	"raventrestle/internal/protocol"
)

// Grants of an earlier holder that were held up on their way must not come on top of a later one's.
func TestGrantsOfAnEarlierHolderAreDropped(t *testing.T) {
	h := &Host{}
	for _, epoch := range []uint64{4, 5, 4, 5, 7, 6} {
		h.grantHere([]protocol.RouterGrants{{Node: "r", Epoch: epoch}})
	}
	var passed []uint64
	for _, news := range h.news.Hub {
		passed = append(passed, news.(distribution.Granted).Router.Epoch)
	}
	if len(passed) != 4 || passed[0] != 4 || passed[1] != 5 || passed[2] != 5 || passed[3] != 7 {
		t.Errorf("passed on: %v", passed)
	}
}
