package controller

import (
	"maps"
	"slices"
	"time"

	"raventrestle/internal/control/distribution"
	"raventrestle/internal/protocol"
)

// maxGrantDelay is how long grants may have been delayed on their way: by then a later leader may have granted the
// same quota to others.
const maxGrantDelay = 300 * time.Millisecond

// distributeGrants passes grants of this instance's allocator on to the instances that have the routers.
func (c *Controller) distributeGrants(now time.Time, batches map[string][]protocol.RouterGrants) {
	for _, address := range slices.Sorted(maps.Keys(batches)) {
		if address == c.config.Origin.Address {
			c.grantHere(batches[address])
			continue
		}
		c.sendPeer(now, address, &protocol.GrantBatch{Origin: c.config.Origin, Routers: batches[address]})
	}
}

// grantHere passes grants to routers connected here. Those of an earlier leader that come after a later one's are
// dropped: the quota is no longer the earlier one's to give.
func (c *Controller) grantHere(routers []protocol.RouterGrants) {
	for _, router := range routers {
		if router.Epoch < c.grantEpoch {
			continue
		}
		c.grantEpoch = router.Epoch
		c.toHub(distribution.GrantIssued{Router: router})
	}
}

// queueingDelays estimates by how much messages of other instances were delayed. The clocks of two processes differ by
// an unknown offset that stays the same, so the fastest message of a process is the measure of its others.
type queueingDelays struct {
	fastest map[string]transit // by the sender's address
}

// transit is a message's way from one process to another.
type transit struct {
	incarnation uint64
	span        time.Duration // from the sender's clock to this process's
}

func newQueueingDelays() queueingDelays { return queueingDelays{fastest: make(map[string]transit)} }

// observe takes in a message that arrived at a time of this process's clock and returns by how much it was slower than
// the fastest one of its sender.
func (d *queueingDelays) observe(arrived time.Duration, from *protocol.Origin) time.Duration {
	span := arrived - from.SentAt
	fastest, known := d.fastest[from.Address]
	if !known || fastest.incarnation != from.Incarnation || span < fastest.span {
		d.fastest[from.Address] = transit{incarnation: from.Incarnation, span: span}
		return 0
	}
	return span - fastest.span
}
