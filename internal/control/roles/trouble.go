package roles

import (
	"time"

	"raventrestle/coordination/replica"
)

// trouble notices that the core or its links are in trouble, or were a moment ago. It is pure.
type trouble struct {
	epoch uint64
	until time.Time
}

func (t *trouble) observe(now time.Time, status replica.Status) {
	missing := len(status.View.Voters) > len(status.Live)
	if missing || t.epoch != 0 && status.View.Epoch != t.epoch {
		t.until = now.Add(troubleLasts)
	}
	t.epoch = status.View.Epoch
}

func (t *trouble) lasts(now time.Time) bool { return now.Before(t.until) }
