package replica

import (
	"testing"
	"time"
)

// A newer majority contact comes with each ping: callers who wait for changes are not woken by it.
func TestNewerMajorityContactIsNoChange(t *testing.T) {
	before := Status{CommitIndex: 1}
	after := before
	after.ConfirmedAt = time.Now()
	if isChange(before, after) {
		t.Error("a newer majority contact is a change, want none")
	}
	after.CommitIndex = 2
	if !isChange(before, after) {
		t.Error("a newer commit index is no change, want one")
	}
}
