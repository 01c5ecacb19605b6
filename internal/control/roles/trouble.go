package roles

import (
	"slices"
	"time"

	"raventrestle/coordination/replica"
)

// trouble notices that the core or its links got into trouble or out of it a moment ago. A loss that lasts is none: the
// others have settled by then. It is pure.
type trouble struct {
	epoch uint64
	live  []replica.Member
	until time.Time
}

func (t *trouble) observe(now time.Time, status replica.Status) {
	isNews := t.epoch != status.View.Epoch || !slices.Equal(t.live, status.LiveMembers)
	if isNews && t.epoch != 0 {
		t.until = now.Add(troubleLasts)
	}
	t.epoch = status.View.Epoch
	t.live = status.LiveMembers
}

func (t *trouble) lasts(now time.Time) bool { return now.Before(t.until) }
