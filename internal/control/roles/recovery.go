package roles

import (
	"slices"
	"time"

	"raventrestle/coordination/replica"
)

// recoveryWindow is how long the replicated group counts as recovering after a change of its view or of its live members.
const recoveryWindow = 4 * time.Second

// recoveryDetector detects that members of the replicated group, or the links between them, have just failed or recovered.
// After a permanent loss, the group counts as recovering only for recoveryWindow, because the other members have adapted
// by then. The detector does no I/O and reads no clock.
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
