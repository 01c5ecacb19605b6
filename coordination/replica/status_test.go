package replica

import (
	"testing"
	"time"
)

// A newer proof comes with each ping and is no change that anybody waits for.
func TestNewerProofIsNoChange(t *testing.T) {
	before := Status{CommitIndex: 1}
	after := before
	after.ConfirmedAt = time.Now()
	if differs(before, after) {
		t.Error("a newer proof counts as a change")
	}
	after.CommitIndex = 2
	if !differs(before, after) {
		t.Error("a newer commit doesn't count as a change")
	}
}
