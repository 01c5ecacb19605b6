package roles

import (
	"slices"
	"time"

	"raventrestle/coordination/replica"
)

// recoveryWindow is how long the core counts as recovering after a change of its view or of its live members.
const recoveryWindow = 4 * time.Second

// recoveryDetector notices that the core or its links have just failed or recovered. A permanent loss is no recovery: the
// other members have adapted to it by then. It is pure.
type recoveryDetector struct {
	epoch           uint64
	live            []replica.Member
	recoveringUntil time.Time
}

func (d *recoveryDetector) observe(now time.Time, status replica.Status) {
	changed := d.epoch != status.View.Epoch || !slices.Equal(d.live, status.LiveMembers)
	if changed && d.epoch != 0 {
		d.recoveringUntil = now.Add(recoveryWindow)
	}
	d.epoch = status.View.Epoch
	d.live = status.LiveMembers
}

func (d *recoveryDetector) recovering(now time.Time) bool { return now.Before(d.recoveringUntil) }
