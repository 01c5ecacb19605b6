package pool

import (
	"fmt"
	"testing"
)

// A connection remembers the requests that were sent last on it, and no others.
func TestConnectionRemembersItsLastRequests(t *testing.T) {
	c := &Connection{}
	for i := range 3 * maxSentRequests {
		if id := fmt.Sprint("r", i); c.HasSent(id) {
			t.Errorf("%s is remembered before it was sent", id)
		}
		c.RecordRequest(fmt.Sprint("r", i))
		for last := max(0, i-maxSentRequests+1); last <= i; last++ {
			if id := fmt.Sprint("r", last); !c.HasSent(id) {
				t.Errorf("%s is forgotten after %d more, want it remembered for %d", id, i-last, maxSentRequests-1)
			}
		}
	}
	if len(c.sent.hashes) != maxSentRequests {
		t.Errorf("%d requests are remembered, want %d", len(c.sent.hashes), maxSentRequests)
	}
}
