package host

import (
	"time"

	"raventrestle/internal/protocol"
)

// delays estimates how long messages of other instances were held up. Clocks of two processes differ by an
// unknown span that stays the same, so the quickest message of a process is the measure of its others. It is pure.
type delays struct {
	least map[string]quickest // by address
}

type quickest struct {
	incarnation uint64
	span        time.Duration // from the sender's clock to this one's
}

func newDelays() delays { return delays{least: make(map[string]quickest)} }

// heldUp takes in a message that arrived at a time of the own clock, and says by how much it was slower than the
// quickest one of its sender.
func (d *delays) heldUp(arrived time.Duration, from *protocol.Origin) time.Duration {
	span := arrived - from.At
	best, known := d.least[from.Address]
	if !known || best.incarnation != from.Incarnation || span < best.span {
		d.least[from.Address] = quickest{incarnation: from.Incarnation, span: span}
		return 0
	}
	return span - best.span
}
