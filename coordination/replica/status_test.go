package replica

import (
	"testing"
	"time"
)

// Each ping renews the majority contact, so it must not wake up callers that wait for changes.
func TestNewerMajorityContactDoesNotSignalChange(t *testing.T) {
	before := Status{CommitIndex: 1}
	after := before
	after.ConfirmedAt = time.Now()
	if isStatusChange(before, after) {
		t.Error("a newer majority contact is a change, want none")
	}
	after.CommitIndex = 2
	if !isStatusChange(before, after) {
		t.Error("a newer commit index is no change, want one")
	}
}
